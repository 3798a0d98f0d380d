//! Observations of interference: run times of tasks relative to the others of their step, and
//! response-time tails of serving tasks.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::channel::{Channel, Live};
use super::interference::{Image, Interference, Marks};
use super::io::{EndRow, Note, RunningRow};
use super::place::{Requirement, Targets};
use super::{Lead, Now};
use crate::core::plane::job::StepSpec;
use crate::core::plane::state::State;
use crate::core::plane::types::{StepName, WorkerKey};
use crate::core::time::Moment;

/// Number of finished tasks of a step that are compared with each other at once.
const BATCH: usize = 16;
/// Time after the latest finished task of a step after which those known are compared.
const BATCH_AGE_MAX: Duration = Duration::from_secs(1);
/// Maximum number of steps with tasks that wait for comparison. Tasks of further ones are not
/// used as evidence.
const STEPS_MAX: usize = 1_024;
/// Minimum interval between observations of one serving task. A tail covers half a second, and
/// successive ones are much alike.
const TAIL_INTERVAL: Duration = Duration::from_secs(1);

/// Finished task of a step.
#[derive(Clone, Debug)]
struct Finished {
    took: Duration,
    beside: Vec<Image>,
}

/// Finished tasks of one step.
#[derive(Clone, Debug)]
struct Cohort {
    image: Image,
    finished: Vec<Finished>,
    latest_at: Moment,
}

impl Cohort {
    // Compares each task with the median of the others.
    fn evaluate(&self, interference: &mut Interference, now: Moment) {
        let mut sorted: Vec<Duration> = self.finished.iter().map(|task| task.took).collect();
        sorted.sort_unstable();
        for Finished { took, beside } in &self.finished {
            if let Some(expected) = median_of_others(&sorted, *took) {
                let ratio = took.as_secs_f64() / expected.as_secs_f64();
                interference.record(self.image, beside, ratio, now);
            }
        }
    }
}

// Returns the median of the sorted run times without one equal to `own`.
fn median_of_others(sorted: &[Duration], own: Duration) -> Option<Duration> {
    let own_at = sorted.binary_search(&own).ok()?;
    let other = |index: usize| sorted[index + usize::from(index >= own_at)];
    let count = sorted.len() - 1;
    if count == 0 {
        return None;
    }
    let median = (other((count - 1) / 2) + other(count / 2)) / 2;
    (!median.is_zero()).then_some(median)
}

/// Finished tasks that wait for comparison, by step.
#[derive(Clone, Debug, Default)]
pub(super) struct Cohorts {
    steps: HashMap<StepName, Cohort>,
}

impl Cohorts {
    fn record(
        &mut self,
        (step, count): (StepName, usize),
        image: Image,
        task: Finished,
        interference: &mut Interference,
        now: Moment,
    ) {
        if self.steps.len() >= STEPS_MAX && !self.steps.contains_key(&step) {
            return;
        }
        let cohort = self.steps.entry(step).or_insert_with(|| Cohort {
            image,
            finished: Vec::new(),
            latest_at: now,
        });
        cohort.finished.push(task);
        cohort.latest_at = now;
        if cohort.finished.len() >= count.min(BATCH)
            && let Some(cohort) = self.steps.remove(&step)
        {
            cohort.evaluate(interference, now);
        }
    }

    // Returns the images of the finished tasks, and those that ran beside them.
    fn images(&self) -> impl Iterator<Item = Image> {
        self.steps.values().flat_map(|cohort| {
            let beside = cohort.finished.iter().flat_map(|task| &task.beside);
            beside.copied().chain([cohort.image])
        })
    }

    fn evaluate_old(&mut self, interference: &mut Interference, now: Moment) {
        self.steps.retain(|_, cohort| {
            let is_old = now.since(cohort.latest_at) >= BATCH_AGE_MAX;
            if is_old {
                cohort.evaluate(interference, now);
            }
            !is_old
        });
    }
}

impl Lead {
    /// Records the run time of a task that succeeded. Members of a gang end together, so that their
    /// run times are no evidence about one worker. The start of runs of an earlier leader, or of an
    /// earlier incarnation of the worker, is unknown.
    pub(super) fn observe_end(
        &mut self,
        now: Now,
        key: WorkerKey,
        spec: &StepSpec,
        row: &EndRow,
        live: &Live,
    ) {
        let is_own = live.ordered_at > self.since && live.from.is_none();
        let (Some(started), Some(image)) = (live.confirmed_at, live.traits.image) else {
            return;
        };
        if spec.gang || spec.best_effort || spec.count < 2 || !is_own {
            return;
        }
        // A slow worker is no evidence against the images on it.
        let slowness = self.speeds.slowness(key, now.at);
        let task = Finished {
            took: now.at.since(started).div_f64(slowness),
            beside: self.channels[key].beside(row.task, started, now.at),
        };
        let step = (row.task.step, usize::from(spec.count));
        self.cohorts
            .record(step, image, task, &mut self.interference, now.at);
    }

    /// Records the response-time tail of a serving task. A tail within the target counts as no
    /// slow-down. A tail of 0 tells that there were no requests, or that none is reported.
    pub(super) fn observe_tail(
        &mut self,
        now: Now,
        state: &State,
        key: WorkerKey,
        row: &RunningRow,
    ) {
        let Some(tail_ms) = row.recent.filter(|tail_ms| *tail_ms > 0) else {
            return;
        };
        let job = state.jobs.get(&row.task.step.job);
        let Some((spec, _)) = job.and_then(|job| job.step(row.task.step)) else {
            return;
        };
        let Some(channel) = self.channels.get_mut(key) else {
            return;
        };
        let Some(live) = channel.run_mut(row.task, row.run) else {
            return;
        };
        let is_due = live
            .tail_at
            .is_none_or(|at| now.at.since(at) >= TAIL_INTERVAL);
        let (Some(image), true) = (live.traits.image, is_due && spec.target_ms > 0) else {
            return;
        };
        live.tail_at = Some(now.at);
        let since = now.at - TAIL_INTERVAL / 2;
        let beside = channel.beside(row.task, since, now.at);
        let ratio = (f64::from(tail_ms) / spec.target_ms as f64).max(1.0);
        self.interference.record(image, &beside, ratio, now.at);
    }

    /// Checks which pairs of images count as interfering, and logs the changes.
    pub(super) fn tick_interference(&mut self, now: Now) {
        self.cohorts.evaluate_old(&mut self.interference, now.at);
        self.interference.tick(now.at);
        if self.interference.needs_keys(now.at) {
            self.reclaim_images(now);
        }
        for change in self.interference.take_changes() {
            self.note(Note::Interference {
                image: change.image,
                beside: change.beside,
                interferes: change.interferes,
                ratio: change.ratio,
                observations: change.observations,
            });
        }
    }

    // Makes the keys of images reusable that no run or finished task refers to.
    fn reclaim_images(&mut self, now: Now) {
        let running = self.channels.values().flat_map(Channel::images);
        let used: HashSet<Image> = running.chain(self.cohorts.images()).collect();
        let unused = self.interference.reclaim(&used, now.at);
        if unused.is_empty() {
            return;
        }
        let workers: Vec<WorkerKey> = self.channels.keys().collect();
        for worker in workers {
            if let Some(channel) = self.channels.get_mut(worker) {
                channel.remove_past_runs(&unused);
            }
        }
    }

    /// Marks the targets that run an image of an interfering pair, or will once their starts are
    /// committed.
    pub(super) fn mark_images(&mut self, state: &State, targets: &mut Targets) {
        if self.interference.interfering() == 0 {
            return;
        }
        for (key, channel) in self.channels.iter() {
            let mut marks = Marks::default();
            for image in channel.images() {
                marks.insert(self.interference.marks(image));
            }
            targets.mark(key, marks);
        }
        for (task, worker) in &self.uncommitted_starts {
            if let Some(image) = self.interference.image_of(state, task.step) {
                targets.mark(*worker, self.interference.marks(image));
            }
        }
    }

    /// Adds to a requirement which images the tasks should be kept apart from.
    pub(super) fn avoid_interference(
        &mut self,
        state: &State,
        step: StepName,
        required: &mut Requirement,
    ) {
        if self.interference.interfering() == 0 {
            return;
        }
        if let Some(image) = self.interference.image_of(state, step) {
            required.marks = self.interference.marks(image);
            required.avoided = self.interference.avoided(image).to_vec();
        }
    }

    /// Returns the number of ordered pairs of images that count as interfering.
    pub fn interfering_pairs(&self) -> usize {
        self.interference.interfering()
    }
}
