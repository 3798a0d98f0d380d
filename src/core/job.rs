//! Jobs and their tasks in the replicated state of the root group.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::core::registry::Outcome;
use crate::core::room::Amount;
use crate::error::{Error, Kind};

/// Maximum number of ended jobs that are kept.
const ENDED_JOBS_MAX: usize = 5_000;
/// Memory of a job apart from its texts and tasks, in bytes.
const JOB_BYTES: usize = 2 << 10;
/// Memory of a task, in bytes, also while a new leader waits for the leases of the former one.
const TASK_BYTES: usize = 16;
/// Maximum number of tasks in one job.
pub const TASKS_PER_JOB_MAX: u32 = 20_000;

/// Identifies a job.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
#[display("{_0}")]
pub struct Id(pub u64);

/// Identifies a task of a job.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
#[display("{job}/{index}")]
pub struct Task {
    /// Job that the task belongs to.
    pub job: Id,
    /// Index of the task in its job, from 0.
    pub index: u32,
}

/// Amounts of the resources that a worker offers or a task needs.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Processor time in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u64,
}

impl Size {
    /// Returns whether `need` fits into this size in every dimension.
    pub const fn fits(self, need: Self) -> bool {
        need.cpu_milli <= self.cpu_milli
            && need.memory_mb <= self.memory_mb
            && need.accelerators <= self.accelerators
    }

    /// Returns the sum of both sizes.
    pub const fn plus(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli + other.cpu_milli,
            memory_mb: self.memory_mb + other.memory_mb,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// Returns the difference of both sizes, at least zero in each dimension.
    pub const fn minus(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the larger amount in each dimension.
    pub fn max(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the dominant share: the largest fraction of `total` that this size
    /// takes in any dimension.
    pub fn dominant_share(self, total: Self) -> f64 {
        let part = |need: u64, all: u64| {
            if all == 0 {
                0.0
            } else {
                need as f64 / all as f64
            }
        };
        part(self.cpu_milli, total.cpu_milli)
            .max(part(self.memory_mb, total.memory_mb))
            .max(part(self.accelerators, total.accelerators))
    }
}

/// Kind of work that a job does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Runs until cancelled.
    Service,
    /// Its tasks run and end independently.
    Batch,
    /// Its tasks start all together or not at all (gang scheduling).
    AllAtOnce,
}

/// Handling of a task whose worker is unreachable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Unreachable {
    /// The task is placed on another worker once its lease has expired even on the
    /// slowest clock allowed.
    #[default]
    Replace,
    /// The task waits until its worker can be reached again.
    Keep,
}

/// Job specification submitted by a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Display name. Declared sizes are corrected by the usage measured for the same
    /// team and name.
    pub name: String,
    /// Kind of work that the job does.
    pub class: Class,
    /// Number of tasks in the job.
    pub tasks: u32,
    /// Declared size of one task.
    pub size: Size,
    /// Name of the queue, whose settings determine the placement policy.
    #[serde(default)]
    pub queue: String,
    /// Estimated run time of one task, in milliseconds.
    #[serde(default)]
    pub run_ms: u64,
    /// Whether the job may preempt work of lower priority by checkpointing it.
    #[serde(default)]
    pub urgent: bool,
    /// Deadline in milliseconds after submission, or 0 for none.
    #[serde(default)]
    pub deadline_ms: u64,
    /// Value of completing the job by its deadline.
    #[serde(default)]
    pub worth: u64,
    /// Whether a task may run again after a failure.
    #[serde(default = "yes")]
    pub rerun: bool,
    /// Handling of tasks whose workers are unreachable.
    #[serde(default)]
    pub unreachable: Unreachable,
}

const fn yes() -> bool {
    true
}

/// State of a job.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Tasks of the job wait or run.
    #[display("open")]
    Open,
    /// All tasks ended successfully.
    #[display("done")]
    Done,
    /// The job was cancelled.
    #[display("cancelled")]
    Cancelled,
    /// The job failed, for the given reason.
    #[display("failed: {_0}")]
    Failed(String),
}

/// A registered job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// ID, assigned at registration.
    pub id: Id,
    /// Team whose key authenticated the submission.
    pub team: String,
    /// Idempotency key of the submission, or empty.
    pub request: String,
    /// Specification as submitted.
    pub spec: Spec,
    /// Zone that places the tasks.
    pub zone: String,
    /// State of the job.
    pub state: State,
    /// Bitmap of tasks that ended successfully, by index.
    pub ended: Vec<u64>,
    /// Number of failed task runs that count against the job.
    pub failures: u32,
}

impl Job {
    /// Returns whether the task at `index` ended successfully.
    pub fn has_ended(&self, index: u32) -> bool {
        let word = self.ended.get(index as usize / 64).copied().unwrap_or(0);
        word >> (index % 64) & 1 == 1
    }

    /// Returns the number of tasks that ended successfully.
    pub fn ended_count(&self) -> u32 {
        self.ended.iter().map(|word| word.count_ones()).sum()
    }

    /// Returns the tasks that have not ended successfully.
    pub fn open_tasks(&self) -> impl Iterator<Item = Task> {
        let job = self.id;
        (0..self.spec.tasks)
            .filter(|&index| !self.has_ended(index))
            .map(move |index| Task { job, index })
    }

    /// Returns an upper estimate of the memory that the job takes until it ends, in bytes, at the
    /// leader of its zone.
    pub fn held_bytes(&self) -> usize {
        let text = self.request.len() + self.spec.name.len() + self.spec.queue.len();
        JOB_BYTES + text + self.spec.tasks as usize * TASK_BYTES
    }

    fn mark_ended(&mut self, index: u32) {
        let word = index as usize / 64;
        if self.ended.len() <= word {
            self.ended.resize(word + 1, 0);
        }
        self.ended[word] |= 1 << (index % 64);
    }
}

/// Outcome of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ended {
    /// Task that ended.
    pub task: Task,
    /// Whether the task ended successfully.
    pub ok: bool,
    /// Reason why the whole job fails, if it does, for example because a failed task
    /// may not run again.
    pub fatal: Option<String>,
}

/// All registered jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Table {
    next: u64,
    changes: u64,
    jobs: BTreeMap<Id, Job>,
    requests: BTreeMap<(String, String), Id>,
    ended: VecDeque<Id>,
}

impl Table {
    /// Returns the job with this ID.
    pub fn get(&self, id: Id) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Returns a counter that increases with every change.
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns all jobs in the order of submission.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Job> {
        self.jobs.values()
    }

    /// Returns the jobs whose tasks wait or run.
    pub fn open(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().filter(|job| job.state == State::Open)
    }

    /// Returns what the open jobs of all teams and those of one team hold.
    pub fn held(&self, team: &str) -> (Amount, Amount) {
        let (mut total, mut own) = (Amount::default(), Amount::default());
        for job in self.open() {
            let bytes = job.held_bytes();
            total += Amount { jobs: 1, bytes };
            if job.team == team {
                own += Amount { jobs: 1, bytes };
            }
        }
        (total, own)
    }

    /// Returns whether a job was submitted with this idempotency key and is kept.
    pub fn is_submitted(&self, team: &str, request: &str) -> bool {
        let key = (team.to_owned(), request.to_owned());
        !request.is_empty() && self.requests.contains_key(&key)
    }

    /// Registers a job, or returns the earlier submission with the same idempotency
    /// key. Fails if that one had a different specification.
    pub fn submit(&mut self, job: &Job) -> Outcome {
        let request = (job.team.clone(), job.request.clone());
        if !job.request.is_empty()
            && let Some(&id) = self.requests.get(&request)
        {
            if self.jobs.get(&id).is_some_and(|old| old.spec != job.spec) {
                let message = "this request id was already used for a different job";
                return Outcome::Refused(Error::new(Kind::IdReused, message));
            }
            return Outcome::Submitted(id);
        }
        self.next += 1;
        self.changes += 1;
        let id = Id(self.next);
        let job = Job {
            id,
            state: State::Open,
            ended: Vec::new(),
            failures: 0,
            ..job.clone()
        };
        if !job.request.is_empty() {
            self.requests.insert(request, id);
        }
        self.jobs.insert(id, job);
        Outcome::Submitted(id)
    }

    /// Cancels a job of `team`, or of any team if `team` is `None` (an operator).
    pub fn cancel(&mut self, id: Id, team: Option<&str>) -> Outcome {
        let job = self.jobs.get_mut(&id);
        let Some(job) = job.filter(|job| team.is_none_or(|team| team == job.team)) else {
            return Outcome::Refused(Error::new(Kind::NotFound, format!("no job {id}")));
        };
        if job.state == State::Open {
            job.state = State::Cancelled;
            self.changes += 1;
            self.retire(id);
        }
        Outcome::Done
    }

    /// Records ended tasks. Tasks of unknown or ended jobs are ignored, and repeated
    /// successes have no further effect.
    pub fn end(&mut self, ended: &[Ended]) {
        self.changes += 1;
        for end in ended {
            let id = end.task.job;
            let Some(job) = self.jobs.get_mut(&id).filter(|j| j.state == State::Open) else {
                continue;
            };
            if end.task.index >= job.spec.tasks {
                continue;
            }
            if end.ok {
                job.mark_ended(end.task.index);
                if job.ended_count() == job.spec.tasks {
                    job.state = State::Done;
                }
            } else {
                job.failures += 1;
                if let Some(reason) = &end.fatal {
                    job.state = State::Failed(reason.clone());
                }
            }
            if job.state != State::Open {
                self.retire(id);
            }
        }
    }

    fn retire(&mut self, id: Id) {
        self.ended.push_back(id);
        while self.ended.len() > ENDED_JOBS_MAX {
            let oldest = self.ended.pop_front().expect("not empty");
            if let Some(job) = self.jobs.remove(&oldest)
                && !job.request.is_empty()
            {
                self.requests.remove(&(job.team, job.request));
            }
        }
    }
}

/// Returns the estimated run time of a task, or `None` if it runs until cancelled.
pub fn run_time(spec: &Spec) -> Option<Duration> {
    match spec.class {
        Class::Service => None,
        Class::Batch | Class::AllAtOnce => Some(Duration::from_millis(spec.run_ms.max(1))),
    }
}
