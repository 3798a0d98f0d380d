//! Jobs, steps and tasks.

use serde::{Deserialize, Serialize};

use super::types::{AccountKey, JobId, QueueKey, Resources, StepName, TaskName, WorkerKey};

/// Step of a job as submitted by the caller.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u16,
    /// Resources that each task needs.
    pub need: Resources,
    /// Caller's estimate of a task's run time, in milliseconds.
    pub estimate_ms: u64,
    /// Indexes of earlier steps whose tasks must all be done first.
    pub after: Vec<u16>,
    /// Whether tasks save checkpoints that a later run can resume from.
    pub checkpointing: bool,
    /// Whether the tasks are gang-scheduled: all of them start together or none does.
    pub gang: bool,
    /// Whether tasks run slower when spread over several racks.
    pub rack_sensitive: bool,
    /// Label that a worker must have.
    pub label: Option<String>,
    /// Rack that holds the step's data.
    pub data_rack: Option<String>,
    /// Maximum number of this step's tasks on one worker; 0 means no limit.
    pub max_per_worker: u16,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Response time that a long-running task must give its own users, in milliseconds; 0
    /// if it has none.
    pub target_ms: u64,
    /// Whether the tasks use only processor time that other tasks leave idle.
    pub best_effort: bool,
    /// Number of long-running tasks that may be missing at the same time for reasons of
    /// the system.
    pub may_miss: u16,
}

impl StepSpec {
    /// Returns what a task takes of a worker's capacity. Best-effort tasks reserve no
    /// processor time.
    pub const fn room(&self) -> Resources {
        let mut need = self.need;
        if self.best_effort {
            need.cpu = 0;
        }
        need
    }
}

/// Maximum length of the name of an image. References with a registry and a digest are shorter.
pub const IMAGE_BYTES_MAX: usize = 256;

/// Properties of a step that [`StepSpec`] does not hold: the log and snapshots encode fields by
/// position, so that no field can be added to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Annotation {
    /// Name of what the tasks run. Tasks of one image behave alike.
    pub image: Option<Box<str>>,
}

impl Annotation {
    /// Returns whether nothing is known beyond the step's specification.
    pub const fn is_empty(&self) -> bool {
        self.image.is_none()
    }

    /// Checks that there is none, or one for each step, and that names are not too long.
    ///
    /// # Errors
    ///
    /// Returns a description of the first problem found.
    pub fn validate(annotations: &[Self], submission: &Submission) -> Result<(), String> {
        if !annotations.is_empty() && annotations.len() != submission.steps.len() {
            return Err("the annotations do not match the steps".to_owned());
        }
        for (at, Self { image }) in annotations.iter().enumerate() {
            if image
                .as_ref()
                .is_some_and(|name| name.len() > IMAGE_BYTES_MAX)
            {
                return Err(format!(
                    "the image name of step {at} is longer than {IMAGE_BYTES_MAX} bytes"
                ));
            }
        }
        Ok(())
    }
}

/// Job as submitted by the caller.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Submission {
    /// Job id, chosen by the caller.
    pub id: JobId,
    /// Text passed to the workers with each start.
    pub text: String,
    /// Steps, in an order in which each depends on earlier ones only.
    pub steps: Vec<StepSpec>,
    /// Number of occurrences; 0 runs the steps once, without a due time.
    pub repeat: u32,
    /// Due time of the first occurrence, in milliseconds since the Unix epoch.
    pub first_ms: u64,
    /// Interval between occurrences, in milliseconds.
    pub every_ms: u64,
}

/// Memory of a job apart from its text and steps, in bytes.
const JOB_BYTES: usize = 512;
/// Memory of the specification of a step apart from its texts, in bytes, with its annotation.
const SPEC_BYTES: usize = 208;
/// Memory of an occurrence of a step apart from its tasks, in bytes.
const STEP_BYTES: usize = 80;
/// Memory of a task with its checkpoint, in bytes.
const TASK_BYTES: usize = 64;

/// Maximum number of occurrences of a job.
const OCCURRENCES_MAX: u32 = 10_000;
/// Maximum number of tasks of a job over all occurrences.
const TASKS_PER_JOB_MAX: u64 = 100_000;

/// Maximum estimate of a run time: one year.
const ESTIMATE_MAX_MS: u64 = 365 * 24 * 3_600 * 1_000;
/// Latest due time of the first occurrence, in milliseconds since the Unix epoch: the
/// largest integer that every JSON implementation represents exactly.
const FIRST_DUE_MAX_MS: u64 = 1 << 53;
/// Maximum interval between occurrences: one hundred years.
const INTERVAL_MAX_MS: u64 = 100 * ESTIMATE_MAX_MS;

impl Submission {
    /// Checks that steps depend only on earlier ones and that all sizes are in range.
    ///
    /// # Errors
    ///
    /// Returns a description of the first problem found.
    pub fn validate(&self) -> Result<(), String> {
        if self.steps.is_empty() {
            return Err("a job must have at least one step".to_owned());
        }
        for (at, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(format!("step {at} has no tasks"));
            }
            if step.after.iter().any(|&before| usize::from(before) >= at) {
                return Err(format!("step {at} may depend on earlier steps only"));
            }
            let need = step.need;
            if need.cpu < 0 || need.memory < 0 || need.accelerators < 0 {
                return Err(format!(
                    "step {at} requests a negative amount of a resource"
                ));
            }
            if !need.is_in_range() {
                return Err(format!("step {at} requests more than any worker can offer"));
            }
            if step.estimate_ms > ESTIMATE_MAX_MS {
                return Err(format!(
                    "the estimated run time of step {at} exceeds one year"
                ));
            }
        }
        if self.first_ms > FIRST_DUE_MAX_MS || self.every_ms > INTERVAL_MAX_MS {
            return Err("the first due time or the interval is out of range".to_owned());
        }
        let tasks: u64 = self.steps.iter().map(|s| u64::from(s.count)).sum();
        let occurrences = u64::from(self.repeat.max(1));
        if self.repeat > OCCURRENCES_MAX || tasks * occurrences > TASKS_PER_JOB_MAX {
            return Err("the job has too many tasks or occurrences".to_owned());
        }
        Ok(())
    }

    /// Returns an upper estimate of the memory that the job takes until it ends, in bytes, its
    /// tasks and their checkpoints included. Its encoded form is smaller.
    pub fn held_bytes(&self, annotations: &[Annotation]) -> usize {
        let text = |text: &Option<String>| text.as_ref().map_or(0, String::len);
        let specs = self.steps.iter().map(|step| {
            let after = step.after.len() * size_of::<u16>();
            SPEC_BYTES + after + text(&step.label) + text(&step.data_rack)
        });
        let records = self
            .steps
            .iter()
            .map(|step| STEP_BYTES + usize::from(step.count) * TASK_BYTES);
        let images = annotations
            .iter()
            .filter_map(|annotation| annotation.image.as_ref());
        let occurrences = self.repeat.max(1) as usize;
        JOB_BYTES
            + self.text.len()
            + specs.sum::<usize>()
            + images.map(|image| image.len()).sum::<usize>()
            + occurrences * records.sum::<usize>()
    }

    /// Returns the due time of an occurrence, in milliseconds since the Unix epoch, or
    /// `None` if the job does not repeat.
    pub const fn due_ms(&self, occurrence: u32) -> Option<u64> {
        if self.repeat == 0 {
            return None;
        }
        Some(self.first_ms + occurrence as u64 * self.every_ms)
    }
}

/// Scheduling phase of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Waits for placement.
    #[default]
    Waiting,
    /// Assigned to a worker.
    Placed(WorkerKey),
    /// Completed successfully.
    Done,
}

/// Replicated record of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Number of the latest run; 0 before the first one.
    pub run: u32,
    /// Number of failed runs.
    pub failed: u32,
    /// Scheduling phase.
    pub phase: Phase,
    /// Checkpoint that the next run resumes from.
    pub checkpoint: Option<Box<str>>,
}

/// Replicated record of one occurrence of a step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Tasks, by index.
    pub tasks: Vec<Task>,
    /// Number of tasks that are done.
    pub done: u16,
    /// Number of tasks that are assigned to a worker.
    pub placed: u16,
    /// Number of failed runs of the gang as a whole.
    pub gang_failed: u32,
    /// Latest run of the gang that was counted as failed.
    pub gang_failed_run: u32,
    /// Whether a member of the gang has ended while others are still assigned to workers.
    pub aborting: bool,
}

impl Step {
    /// Returns whether all tasks are done.
    pub fn is_done(&self) -> bool {
        usize::from(self.done) == self.tasks.len()
    }

    /// Returns the number of tasks that wait for placement.
    pub fn waiting(&self) -> usize {
        self.tasks.len() - usize::from(self.done) - usize::from(self.placed)
    }
}

/// State of a job as callers see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// No task has started.
    #[default]
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task or gang used up its attempts, or crashed its workers.
    Failed,
    /// Cancelled by the caller.
    Cancelled,
}

impl Status {
    /// Returns whether the job has ended, so that none of its tasks is placed any more.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Accepted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Job as submitted. Its text and steps are cleared when the job ends.
    pub submission: Submission,
    /// Queue, which follows the configuration in force.
    pub queue: QueueKey,
    /// Client account; absent on an open queue without a key.
    pub account: Option<AccountKey>,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// State as callers see it.
    pub status: Status,
    /// Steps of each occurrence; cleared when the job ends.
    pub occurrences: Vec<Vec<Step>>,
}

impl Job {
    /// Creates a job without any started task.
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
            status: Status::Queued,
            occurrences,
        }
    }

    /// Returns a step and its specification, or `None` if the job has no such step.
    pub fn step(&self, name: StepName) -> Option<(&StepSpec, &Step)> {
        let spec = self.submission.steps.get(usize::from(name.step))?;
        let steps = self.occurrences.get(name.occurrence as usize)?;
        Some((spec, steps.get(usize::from(name.step))?))
    }

    /// Returns a task, its step and the step's specification, or `None` if the job has no
    /// such task.
    pub fn task(&self, name: TaskName) -> Option<(&StepSpec, &Step, &Task)> {
        let (spec, step) = self.step(name.step)?;
        Some((spec, step, step.tasks.get(usize::from(name.index))?))
    }

    /// Returns whether a task's latest run is this one, and the task waits for another run
    /// because this one was given up. Gangs and long-running tasks always run again.
    pub fn is_given_up(&self, name: TaskName, run: u32) -> bool {
        self.task(name).is_some_and(|(spec, _, task)| {
            !spec.gang
                && !spec.long_running
                && !self.status.is_final()
                && task.phase == Phase::Waiting
                && task.run == run
        })
    }

    /// Returns whether all steps that this step depends on are done.
    pub fn is_unblocked(&self, occurrence: usize, step: usize) -> bool {
        let steps = &self.occurrences[occurrence];
        let mut dependencies = self.submission.steps[step].after.iter();
        dependencies.all(|&index| steps[usize::from(index)].is_done())
    }

    /// Returns the estimated length of the critical path through the steps that are not
    /// done, or through all steps if `include_done` is set, in milliseconds.
    pub fn critical_path_ms(&self, occurrence: usize, include_done: bool) -> u64 {
        if let [only] = self.submission.steps.as_slice() {
            return only.estimate_ms;
        }
        let mut ends = Vec::with_capacity(self.submission.steps.len());
        for (at, spec) in self.submission.steps.iter().enumerate() {
            let before = spec.after.iter().map(|&b| ends[usize::from(b)]).max();
            let is_done = !include_done && self.occurrences[occurrence][at].is_done();
            let own = if is_done { 0 } else { spec.estimate_ms };
            ends.push(before.unwrap_or(0) + own);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Frees the parts of the job that are not needed after its end.
    pub fn trim(&mut self) {
        self.submission.text = String::new();
        self.submission.steps = Vec::new();
        self.occurrences = Vec::new();
    }
}
