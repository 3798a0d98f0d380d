//! Speeds of workers, learned from the run times of tasks of the same step.
//!
//! The load mixes steps with tight goals and steps with slack on workers whose speeds differ
//! by a factor of up to 2.4. Estimates of run times are off by half to nine tenths, but apply
//! to all tasks of a step alike, so a task is compared with the other tasks of its step. Three
//! tasks in a hundred take seven times as long as the others; each observation therefore moves
//! an estimate by a limited step.

use std::collections::HashMap;
use std::time::Duration;

use crate::core::plane::types::{StepName, WorkerKey};
use crate::core::time::Moment;

/// Minimum number of finished tasks of a step to compare: a task and two others.
const COMPARED_MIN: usize = 3;
/// Maximum number of tasks of a step to compare, which bounds the run times kept for it. Of a larger
/// step, only those that finish first could be compared.
const RUN_TIMES_MAX: usize = 256;
/// Maximum number of steps whose run times are kept: several seconds of the heaviest load.
const STEPS_MAX: usize = 2_000;
/// Minimum run time that is used. The leader measures it with an error of several
/// milliseconds.
const TOOK_MIN: Duration = Duration::from_millis(50);
/// Logarithm of the ratio between the run times of the two only other tasks of a step from which
/// on one of them counts as heavy. As it is unknown which, the third task is not compared.
const HEAVY_LOG_RATIO: f64 = std::f64::consts::LN_2;
/// Maximum difference between an observation and the estimate, as a logarithm. A heavy task
/// moves a settled estimate by 2.5 %.
const STEP_MAX: f64 = 0.5;
/// Minimum weight of an observation.
const WEIGHT_MIN: f64 = 0.05;
/// Maximum of the logarithm of an estimate: a factor of 4.
const ESTIMATE_MAX: f64 = 2.0 * std::f64::consts::LN_2;
/// Number of observations that the assumption of an average speed counts for.
const PRIOR_COUNT: f64 = 2.0;
/// Minimum number of observations for an estimate to count in comparisons of the fleet.
const COUNT_MIN: f64 = 6.0;
/// Age up to which an estimate does not decay. An estimate on a worker that gets tasks is
/// younger; decay with each observation would pull the estimates together.
const FRESH_FOR: Duration = Duration::from_secs(30);
/// Half-life of an estimate beyond that age.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// Interval between comparisons of the fleet.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum number of workers with estimates for a comparison of the fleet.
const WORKERS_MIN: usize = 6;
/// Logarithm of the ratio of the upper to the lower decile from which on a fleet is uneven: 1.75.
/// Placement on nearly equal workers, of speeds 0.8 to 1.25, stays as it is.
const UNEVEN_MIN: f64 = 0.560;
/// Logarithm of that ratio below which an uneven fleet becomes even: 1.5.
const EVEN_MAX: f64 = 0.405;
/// Minimum of the same ratio in standard errors of an estimate. Between equal workers, the
/// deciles are 2.6 standard errors apart.
const UNEVEN_ERRORS_MIN: f64 = 4.0;
/// Logarithm of the slowness from which on a worker is outside the normal band: 1.25.
const BAND_LEAVE: f64 = 0.223;
/// Logarithm of the slowness up to which it re-enters that band: 1.1.
const BAND_ENTER: f64 = 0.095;
/// Maximum number of log lines on speeds for each comparison of the fleet.
const CHANGES_MAX: usize = 20;

/// Step whose tasks are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peers {
    /// Name of the step.
    pub step: StepName,
    /// Number of its tasks.
    pub tasks: u16,
}

/// Change of a worker's estimate that is worth a log line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// Worker.
    pub worker: WorkerKey,
    /// Run time as a multiple of the fleet's median.
    pub slowness: f64,
    /// Number of observations, reduced with age.
    pub observations: f64,
    /// Mean deviation of the observations from the estimate, as a logarithm.
    pub spread: f64,
    /// Whether the estimate is in the normal band.
    pub is_normal: bool,
}

/// Estimate of a worker's slowness.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    /// Logarithm of the slowness.
    log: f64,
    /// Number of observations.
    count: f64,
    /// Mean deviation of the observations, as a logarithm.
    spread: f64,
    /// Time of the latest observation.
    at: Moment,
    /// Whether the estimate was outside the normal band at the latest comparison.
    is_outside: bool,
}

impl Estimate {
    const fn new(at: Moment) -> Self {
        Self {
            log: 0.0,
            count: 0.0,
            spread: STEP_MAX,
            at,
            is_outside: false,
        }
    }

    // Returns the factor by which age reduces the estimate and the number of observations.
    fn decay(&self, now: Moment) -> f64 {
        let age = now.since(self.at);
        if age <= FRESH_FOR {
            return 1.0;
        }
        0.5_f64.powf((age - FRESH_FOR).as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    // Returns the logarithm of the slowness, weighted by the number of observations.
    fn weighted(&self, now: Moment) -> f64 {
        let decay = self.decay(now);
        let count = self.count * decay;
        self.log * decay * count / (count + PRIOR_COUNT)
    }

    fn observe(&mut self, log: f64, now: Moment) {
        let decay = self.decay(now);
        self.log *= decay;
        self.count *= decay;
        self.at = self.at.max(now);
        let weight = (1.0 / (self.count + 1.0)).max(WEIGHT_MIN);
        let difference = (log - self.log).clamp(-STEP_MAX, STEP_MAX);
        self.log = (self.log + weight * difference).clamp(-ESTIMATE_MAX, ESTIMATE_MAX);
        self.spread += weight * (difference.abs() - self.spread);
        self.count = (self.count + 1.0).min(1.0 / WEIGHT_MIN);
    }

    fn standard_error(&self) -> f64 {
        self.spread / self.count.max(1.0).sqrt()
    }
}

/// Run times of a step's tasks.
#[derive(Clone, Debug)]
enum RunTimes {
    /// Too few tasks have finished: workers with the logarithms of the run times.
    Collecting(Vec<(WorkerKey, f64)>),
    /// Logarithm of the median run time of a worker of average speed, and the number of
    /// tasks that have not finished.
    Compared(f64, usize),
}

/// Learned speeds of the workers.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    /// Indexed by worker key.
    estimates: Vec<Option<Estimate>>,
    steps: HashMap<StepName, RunTimes>,
    is_uneven: bool,
    /// Logarithm of the slowness of the fleet's upper decile.
    upper_decile: f64,
    refreshed_at: Moment,
}

impl Speeds {
    /// Records that a task of a step, run from its start, took this long on a worker.
    pub fn record(&mut self, step: Peers, worker: WorkerKey, took: Duration, now: Moment) {
        let tasks = usize::from(step.tasks);
        if !(COMPARED_MIN..=RUN_TIMES_MAX).contains(&tasks) || took < TOOK_MIN {
            return;
        }
        if !self.steps.contains_key(&step.step) && self.steps.len() >= STEPS_MAX {
            return;
        }
        let log = took.as_secs_f64().ln();
        let empty = || RunTimes::Collecting(Vec::new());
        let run_times = self.steps.entry(step.step).or_insert_with(empty);
        let remaining = match run_times {
            RunTimes::Compared(median, remaining) => {
                let difference = log - *median;
                *remaining = remaining.saturating_sub(1);
                let remaining = *remaining;
                self.observe(worker, difference, now);
                remaining
            }
            RunTimes::Collecting(finished) => {
                finished.push((worker, log));
                if finished.len() < quorum(tasks) {
                    return;
                }
                let finished = std::mem::take(finished);
                let remaining = tasks - finished.len();
                let median = self.compare(&finished, tasks, now);
                self.steps
                    .insert(step.step, RunTimes::Compared(median, remaining));
                remaining
            }
        };
        if remaining == 0 {
            self.steps.remove(&step.step);
        }
    }

    // Compares the finished tasks of a step with each other. Those that still run count as
    // slower, so that the median is not biased towards the tasks that finish first. Returns the
    // median for the tasks that finish later.
    fn compare(&mut self, finished: &[(WorkerKey, f64)], tasks: usize, now: Moment) -> f64 {
        let mut sorted: Vec<(f64, WorkerKey, f64)> = finished
            .iter()
            .map(|&(worker, log)| (log - self.log(worker, now), worker, log))
            .collect();
        sorted.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let others = tasks - 1;
        let (low, high) = ((others - 1) / 2, others / 2);
        for (at, &(_, worker, log)) in sorted.iter().enumerate() {
            let other = |index: usize| sorted[index + usize::from(index >= at)].0;
            let is_ambiguous = others == 2 && other(high) - other(low) > HEAVY_LOG_RATIO;
            if !is_ambiguous {
                self.observe(worker, log - f64::midpoint(other(low), other(high)), now);
            }
        }
        f64::midpoint(sorted[low].0, sorted[high].0)
    }

    fn observe(&mut self, worker: WorkerKey, log: f64, now: Moment) {
        let index = worker.0 as usize;
        if self.estimates.len() <= index {
            self.estimates.resize(index + 1, None);
        }
        self.estimates[index]
            .get_or_insert_with(|| Estimate::new(now))
            .observe(log, now);
    }

    fn estimate(&self, worker: WorkerKey) -> Option<&Estimate> {
        self.estimates.get(worker.0 as usize)?.as_ref()
    }

    fn log(&self, worker: WorkerKey, now: Moment) -> f64 {
        self.estimate(worker).map_or(0.0, |e| e.weighted(now))
    }

    /// Returns the run time on a worker as a multiple of the fleet's median; 1.0 for workers
    /// about which nothing is known.
    pub fn slowness(&self, worker: WorkerKey, now: Moment) -> f64 {
        self.log(worker, now).exp()
    }

    /// Returns whether the speeds differ by more than the errors of the estimates, as of the
    /// latest comparison.
    pub fn is_uneven(&self, now: Moment) -> bool {
        self.is_uneven && now.since(self.refreshed_at) <= FRESH_FOR
    }

    /// Returns the slowness that nine tenths of the workers do not exceed, as of the latest
    /// comparison.
    pub fn upper_decile(&self) -> f64 {
        self.upper_decile.exp()
    }

    /// Removes a worker.
    pub fn remove(&mut self, worker: WorkerKey) {
        if let Some(estimate) = self.estimates.get_mut(worker.0 as usize) {
            *estimate = None;
        }
    }

    /// Removes the run times of steps that are not open.
    pub fn retain_steps(&mut self, is_open: impl Fn(&StepName) -> bool) {
        self.steps.retain(|step, _| is_open(step));
    }

    /// Returns the number of steps whose run times are kept.
    pub fn steps(&self) -> usize {
        self.steps.len()
    }

    /// Compares the workers with each other, if this is due: makes the fleet's median 1.0 and
    /// decides whether the fleet is uneven. Returns the workers whose estimates have left the
    /// normal band or re-entered it.
    pub fn refresh_if_due(&mut self, now: Moment) -> Vec<Change> {
        if now < self.refreshed_at + REFRESH_INTERVAL {
            return Vec::new();
        }
        self.refreshed_at = now;
        let is_known = |e: &&Estimate| e.count * e.decay(now) >= COUNT_MIN;
        let known = self.estimates.iter().flatten().filter(is_known);
        let (mut logs, mut errors): (Vec<f64>, Vec<f64>) =
            known.map(|e| (e.weighted(now), e.standard_error())).unzip();
        if logs.len() < WORKERS_MIN {
            self.is_uneven = false;
            return Vec::new();
        }
        logs.sort_unstable_by(f64::total_cmp);
        errors.sort_unstable_by(f64::total_cmp);
        let quantile = |sorted: &[f64], tenths: usize| sorted[(sorted.len() - 1) * tenths / 10];
        let difference = quantile(&logs, 9) - quantile(&logs, 1);
        let min = if self.is_uneven { EVEN_MAX } else { UNEVEN_MIN };
        let error = quantile(&errors, 5);
        self.is_uneven = difference >= min && difference >= UNEVEN_ERRORS_MIN * error;
        let median = quantile(&logs, 5);
        self.upper_decile = quantile(&logs, 9) - median;
        for estimate in self.estimates.iter_mut().flatten() {
            // An old estimate counts for less, and so does the median it was relative to.
            let log = estimate.log - median * estimate.decay(now);
            estimate.log = log.clamp(-ESTIMATE_MAX, ESTIMATE_MAX);
        }
        self.changes(now)
    }

    fn changes(&mut self, now: Moment) -> Vec<Change> {
        let mut changes = Vec::new();
        for (worker, slot) in (0..).map(WorkerKey).zip(&mut self.estimates) {
            let Some(estimate) = slot else {
                continue;
            };
            let log = estimate.weighted(now);
            let is_known = estimate.count >= COUNT_MIN;
            let has_left = !estimate.is_outside && is_known && log.abs() > BAND_LEAVE;
            let has_entered = estimate.is_outside && log.abs() < BAND_ENTER;
            if !has_left && !has_entered {
                continue;
            }
            estimate.is_outside = has_left;
            changes.push(Change {
                worker,
                slowness: log.exp(),
                observations: estimate.count * estimate.decay(now),
                spread: estimate.spread,
                is_normal: has_entered,
            });
            if changes.len() == CHANGES_MAX {
                break;
            }
        }
        changes
    }
}

// Returns the number of finished tasks from which on a step's tasks are compared. The others
// are heavy or started late; waiting for them would delay learning by several run times.
const fn quorum(tasks: usize) -> usize {
    let share = tasks - tasks / 4;
    if share < COMPARED_MIN {
        COMPARED_MIN
    } else {
        share
    }
}
