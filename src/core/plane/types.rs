//! Identifiers, resources and results of runs.

use std::str::FromStr;

use derive_more::{Add, AddAssign, Display, Sub, SubAssign};
use serde::{Deserialize, Serialize};

/// Index of a queue in the replicated state.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct QueueKey(pub u32);

/// Index of a client account in the replicated state.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct AccountKey(pub u32);

/// Index of a worker incarnation in the replicated state.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WorkerKey(pub u32);

/// Job id, chosen by the caller.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
#[display("{_0:016x}")]
pub struct JobId(pub u64);

/// Number of hexadecimal digits of a job id in text form.
const JOB_ID_DIGITS: usize = 16;

impl FromStr for JobId {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_hex = text.bytes().all(|b| b.is_ascii_hexdigit());
        if text.len() != JOB_ID_DIGITS || !is_hex {
            return Err(format!("`{text}` is not a job id of 16 hexadecimal digits"));
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|err| err.to_string())
    }
}

/// Identifies one occurrence of a step of a job.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{job}.{occurrence}.{step}")]
pub struct StepName {
    /// Job that the step belongs to.
    pub job: JobId,
    /// Occurrence of the job, counted from 0.
    pub occurrence: u32,
    /// Index of the step in the job, from 0.
    pub step: u16,
}

/// Identifies a task.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{step}.{index}")]
pub struct TaskName {
    /// Step that the task belongs to.
    pub step: StepName,
    /// Index of the task in the step, from 0.
    pub index: u16,
}

impl FromStr for TaskName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bad = || format!("`{text}` is not a task name of the form job.occurrence.step.index");
        let mut parts = text.split('.');
        let mut part = || parts.next().ok_or_else(bad);
        let step = StepName {
            job: part()?.parse()?,
            occurrence: part()?.parse().map_err(|_| bad())?,
            step: part()?.parse().map_err(|_| bad())?,
        };
        let index = part()?.parse().map_err(|_| bad())?;
        if parts.next().is_some() {
            return Err(bad());
        }
        Ok(Self { step, index })
    }
}

/// Resources of a worker, or that a task needs.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Add,
    AddAssign,
    Sub,
    SubAssign,
    Serialize,
    Deserialize,
)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu: i64,
    /// Memory, in megabytes.
    pub memory: i64,
    /// Number of accelerators.
    pub accelerators: i64,
}

/// Maximum of each resource of a task or worker. Sums over a fleet and all its tasks stay
/// within 64 bits.
const RESOURCE_MAX: i64 = 1 << 40;

impl Resources {
    /// Returns whether no resource is negative or above the maximum.
    pub fn is_in_range(&self) -> bool {
        let range = 0..=RESOURCE_MAX;
        range.contains(&self.cpu)
            && range.contains(&self.memory)
            && range.contains(&self.accelerators)
    }

    /// Returns whether every resource is at most that of `room`.
    pub const fn fits(&self, room: &Self) -> bool {
        self.cpu <= room.cpu && self.memory <= room.memory && self.accelerators <= room.accelerators
    }

    /// Returns whether every resource is at most that of `cap`, where 0 means no limit.
    pub const fn is_within_cap(&self, cap: &Self) -> bool {
        (cap.cpu == 0 || self.cpu <= cap.cpu)
            && (cap.memory == 0 || self.memory <= cap.memory)
            && (cap.accelerators == 0 || self.accelerators <= cap.accelerators)
    }

    /// Returns `n` times the resources.
    pub const fn times(&self, n: i64) -> Self {
        Self {
            cpu: self.cpu * n,
            memory: self.memory * n,
            accelerators: self.accelerators * n,
        }
    }
}

/// Result of a run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display(rename_all = "snake_case")]
pub enum Termination {
    /// The task succeeded.
    Done,
    /// The task or its worker reported an error.
    Failed,
    /// The worker was ordered to stop the run.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
    /// The run never started, or its worker is gone.
    Void,
    /// The worker crashed shortly after the start of the run.
    Crashed,
    /// The worker crashed long after the start of the run.
    Lost,
}
