//! Sizes corrected by what tasks really used, by team and job name.

use std::collections::HashMap;

use crate::core::job::{Size, Spec};

/// Reports after which a declared size may be lowered.
const SAMPLES_MIN: u32 = 8;
/// Margin above the estimated peak, in percent.
const MARGIN_PERCENT: u64 = 110;
/// Names that are remembered.
const NAMES_MAX: usize = 20_000;

#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    peak: Size,
    samples: u32,
}

/// Estimated peaks by team and job name.
#[derive(Debug, Default)]
pub struct Estimates {
    by_name: HashMap<(String, String), Estimate>,
}

impl Estimates {
    /// Takes in what a task uses: upwards at once, downwards slowly.
    pub fn record(&mut self, team: &str, name: &str, used: Size) {
        if self.by_name.len() >= NAMES_MAX {
            self.by_name.clear();
        }
        let key = (team.to_owned(), name.to_owned());
        let estimate = self.by_name.entry(key).or_default();
        estimate.samples = estimate.samples.saturating_add(1);
        let decay = |old: u64, new: u64| new.max(old - old / 128);
        estimate.peak = Size {
            cpu_milli: decay(estimate.peak.cpu_milli, used.cpu_milli),
            memory_mb: decay(estimate.peak.memory_mb, used.memory_mb),
            accelerators: 0,
        };
    }

    /// Returns the size to reserve for a task.
    pub fn size(&self, team: &str, spec: &Spec) -> Size {
        let key = (team.to_owned(), spec.name.clone());
        let declared = spec.size;
        let Some(estimate) = self.by_name.get(&key) else {
            return declared;
        };
        let with_margin = |peak: u64| (peak * MARGIN_PERCENT).div_ceil(100);
        let corrected = |declared: u64, peak: u64| {
            let needed = with_margin(peak).max(1);
            if needed > declared || estimate.samples >= SAMPLES_MIN {
                needed
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
