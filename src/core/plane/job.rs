//! Jobs, their steps and tasks.

use serde::{Deserialize, Serialize};

use super::types::{AccountKey, Amount, JobId, QueueKey, StepName, TaskName, WorkerKey};

/// What a caller says of one step.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u16,
    /// Need of each task.
    pub need: Amount,
    /// Rough run time of a task, in milliseconds.
    pub estimate_ms: u64,
    /// Steps whose tasks must all be done first.
    pub after: Vec<u16>,
    /// Whether tasks save their progress.
    pub checkpointing: bool,
    /// Whether tasks run all at once or not at all.
    pub gang: bool,
    /// Whether tasks are slower when spread over several racks.
    pub rack_sensitive: bool,
    /// Label that a worker must have.
    pub label: Option<String>,
    /// Rack where the data is.
    pub data_rack: Option<String>,
    /// Tasks of the step that may be on one worker; 0 means no limit.
    pub most_per_worker: u16,
    /// Whether the tasks run until the job is cancelled.
    pub lasting: bool,
    /// Response time that a lasting task owes its own users, in milliseconds; 0 if
    /// it has none.
    pub target_ms: u64,
    /// Whether the tasks only use processor time that others leave.
    pub filling: bool,
    /// Lasting tasks that may be away at once because of the system.
    pub may_miss: u16,
}

impl StepSpec {
    /// Returns what a task takes of a worker's capacity.
    pub const fn room(&self) -> Amount {
        let mut need = self.need;
        if self.filling {
            need.cpu = 0;
        }
        need
    }
}

/// What a caller hands in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Submission {
    /// Id.
    pub id: JobId,
    /// Text that the workers get.
    pub text: String,
    /// Steps.
    pub steps: Vec<StepSpec>,
    /// How often the steps run; 0 for once, without a due time.
    pub repeat: u32,
    /// Due time of the first occurrence, in milliseconds since 1970.
    pub first_ms: u64,
    /// Time between occurrences, in milliseconds.
    pub every_ms: u64,
}

/// Most occurrences of a job.
const OCCURRENCES_MAX: u32 = 10_000;
/// Most tasks of a job, over all occurrences.
const TASKS_MAX: u64 = 100_000;

/// Longest estimate of a run time, in milliseconds: a year.
const ESTIMATE_MAX_MS: u64 = 365 * 24 * 3_600 * 1_000;
/// Latest first due time, in milliseconds since 1970: the largest whole number that every
/// writer of JSON can express.
const FIRST_MAX_MS: u64 = 1 << 53;
/// Longest time between two occurrences, in milliseconds: a hundred years.
const EVERY_MAX_MS: u64 = 100 * ESTIMATE_MAX_MS;

impl Submission {
    /// Checks that the steps refer to earlier ones only and sizes are in range.
    ///
    /// # Errors
    ///
    /// Returns what is wrong.
    pub fn check(&self) -> Result<(), String> {
        if self.steps.is_empty() {
            return Err("a job needs a step".to_owned());
        }
        for (at, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(format!("step {at} has no tasks"));
            }
            if step.after.iter().any(|&before| usize::from(before) >= at) {
                return Err(format!("step {at} must come after earlier steps only"));
            }
            let need = step.need;
            if need.cpu < 0 || need.memory < 0 || need.accelerators < 0 {
                return Err(format!("step {at} needs less than nothing"));
            }
            if !need.is_in_range() {
                return Err(format!("step {at} needs more than any worker can have"));
            }
            if step.estimate_ms > ESTIMATE_MAX_MS {
                return Err(format!("step {at} is estimated at more than a year"));
            }
        }
        if self.first_ms > FIRST_MAX_MS || self.every_ms > EVERY_MAX_MS {
            return Err("the due times are out of range".to_owned());
        }
        let tasks: u64 = self.steps.iter().map(|s| u64::from(s.count)).sum();
        let occurrences = u64::from(self.repeat.max(1));
        if self.repeat > OCCURRENCES_MAX || tasks * occurrences > TASKS_MAX {
            return Err("the job has too many tasks".to_owned());
        }
        Ok(())
    }

    /// Returns when an occurrence is due, in milliseconds since 1970.
    pub const fn due_ms(&self, occurrence: u32) -> Option<u64> {
        if self.repeat == 0 {
            return None;
        }
        Some(self.first_ms + occurrence as u64 * self.every_ms)
    }
}

/// Where a task stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It is to be placed.
    #[default]
    Waiting,
    /// A worker may run it.
    Placed(WorkerKey),
    /// It ended with success.
    Done,
}

/// A task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Number of its latest run; 0 before the first.
    pub run: u32,
    /// Runs that failed.
    pub failed: u32,
    /// Where it stands.
    pub phase: Phase,
    /// Progress that a next run resumes from.
    pub checkpoint: Option<Box<str>>,
}

/// One occurrence of a step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Tasks.
    pub tasks: Vec<Task>,
    /// Tasks that are done.
    pub done: u16,
    /// Tasks that are placed.
    pub placed: u16,
    /// Failed runs of a gang as a whole.
    pub gang_failed: u32,
    /// Latest run of a gang that counted as failed.
    pub gang_failed_run: u32,
    /// Whether a run of a gang has ended and its other members have not yet.
    pub breaking: bool,
}

impl Step {
    /// Returns whether all tasks are done.
    pub fn is_done(&self) -> bool {
        usize::from(self.done) == self.tasks.len()
    }

    /// Returns how many tasks are to be placed.
    pub fn waiting(&self) -> usize {
        self.tasks.len() - usize::from(self.done) - usize::from(self.placed)
    }
}

/// How a job stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// No task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task or gang failed as often as allowed.
    Failed,
    /// Its caller gave it up.
    Cancelled,
}

impl Standing {
    /// Returns whether nothing more is to be placed.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// A job that was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// What was handed in. Emptied when the job has ended.
    pub submission: Submission,
    /// Queue.
    pub queue: QueueKey,
    /// Client account; absent on an open queue without a key.
    pub account: Option<AccountKey>,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// How it stands.
    pub standing: Standing,
    /// Steps of each occurrence.
    pub occurrences: Vec<Vec<Step>>,
}

impl Job {
    /// Makes an accepted job.
    pub fn new(
        submission: Submission,
        queue: QueueKey,
        account: Option<AccountKey>,
        accepted_ms: u64,
    ) -> Self {
        let steps: Vec<Step> = submission
            .steps
            .iter()
            .map(|spec| Step {
                tasks: vec![Task::default(); usize::from(spec.count)],
                ..Step::default()
            })
            .collect();
        let occurrences = vec![steps; submission.repeat.max(1) as usize];
        Self {
            submission,
            queue,
            account,
            accepted_ms,
            standing: Standing::Queued,
            occurrences,
        }
    }

    /// Returns a step by name, if this job has it.
    pub fn step(&self, name: StepName) -> Option<(&StepSpec, &Step)> {
        let spec = self.submission.steps.get(usize::from(name.step))?;
        let steps = self.occurrences.get(name.occurrence as usize)?;
        Some((spec, steps.get(usize::from(name.step))?))
    }

    /// Returns a task by name, if this job has it.
    pub fn task(&self, name: TaskName) -> Option<(&StepSpec, &Step, &Task)> {
        let (spec, step) = self.step(name.step)?;
        Some((spec, step, step.tasks.get(usize::from(name.index))?))
    }

    /// Returns whether all predecessors of a step are done.
    pub fn is_unblocked(&self, occurrence: usize, step: usize) -> bool {
        let steps = &self.occurrences[occurrence];
        let mut before = self.submission.steps[step].after.iter();
        before.all(|&at| steps[usize::from(at)].is_done())
    }

    /// Returns the estimated time of the longest chain of steps that are not done,
    /// in milliseconds; of all steps if `whole`.
    pub fn chain_ms(&self, occurrence: usize, whole: bool) -> u64 {
        if let [only] = self.submission.steps.as_slice() {
            return only.estimate_ms;
        }
        let mut ends = Vec::with_capacity(self.submission.steps.len());
        for (at, spec) in self.submission.steps.iter().enumerate() {
            let before = spec.after.iter().map(|&b| ends[usize::from(b)]).max();
            let is_done = !whole && self.occurrences[occurrence][at].is_done();
            let own = if is_done { 0 } else { spec.estimate_ms };
            ends.push(before.unwrap_or(0) + own);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Drops what an ended job no longer needs.
    pub fn trim(&mut self) {
        self.submission.text = String::new();
        self.submission.steps = Vec::new();
        self.occurrences = Vec::new();
    }
}
