//! Estimates of task sizes from measured usage, by team, job name and declared size.

use std::collections::HashMap;

use crate::core::job::{Size, Spec};

/// Usage reports after which the reservation may be below the declared size.
const REPORTS_MIN: u32 = 8;
/// Reserved size in percent of the estimated peak.
const RESERVED_PERCENT_OF_PEAK: u64 = 110;
/// Most estimates that are kept; all are discarded when it is reached.
const ESTIMATES_MAX: usize = 20_000;

#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    peak: Size,
    reports: u32,
}

/// Key of jobs whose tasks are assumed to have similar usage.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Key {
    team: String,
    name: String,
    declared: Size,
}

impl Key {
    fn of(team: &str, spec: &Spec) -> Self {
        Self {
            team: team.to_owned(),
            name: spec.name.clone(),
            declared: spec.size,
        }
    }
}

/// Estimated peak usage of tasks.
#[derive(Debug, Default)]
pub struct Estimates {
    peaks: HashMap<Key, Estimate>,
}

impl Estimates {
    /// Records a task's reported usage. A higher peak applies at once; the peak decays by
    /// 1/128 per report.
    pub fn record(&mut self, team: &str, spec: &Spec, used: Size) {
        if self.peaks.len() >= ESTIMATES_MAX {
            self.peaks.clear();
        }
        let estimate = self.peaks.entry(Key::of(team, spec)).or_default();
        estimate.reports = estimate.reports.saturating_add(1);
        let decay = |old: u64, new: u64| new.max(old - old / 128);
        estimate.peak = Size {
            cpu_milli: decay(estimate.peak.cpu_milli, used.cpu_milli),
            memory_mb: decay(estimate.peak.memory_mb, used.memory_mb),
            accelerators: 0,
        };
    }

    /// Returns the size to reserve for a task: above the declared size as soon as the
    /// estimate needs it, below it only after enough reports.
    pub fn size(&self, team: &str, spec: &Spec) -> Size {
        let declared = spec.size;
        let Some(estimate) = self.peaks.get(&Key::of(team, spec)) else {
            return declared;
        };
        let reserved_for = |peak: u64| (peak * RESERVED_PERCENT_OF_PEAK).div_ceil(100);
        let corrected = |declared: u64, peak: u64| {
            let estimated = reserved_for(peak).max(1);
            if estimated > declared || estimate.reports >= REPORTS_MIN {
                estimated
            } else {
                declared
            }
        };
        Size {
            cpu_milli: corrected(declared.cpu_milli, estimate.peak.cpu_milli),
            memory_mb: corrected(declared.memory_mb, estimate.peak.memory_mb),
            accelerators: declared.accelerators,
        }
    }
}
