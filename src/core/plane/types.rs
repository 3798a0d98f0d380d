//! Keys, names and amounts.

use std::str::FromStr;

use derive_more::{Add, AddAssign, Display, Sub, SubAssign};
use serde::{Deserialize, Serialize};

/// A queue in the arena of the state.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct QueueKey(pub u32);

/// A client account in the arena of the state.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct AccountKey(pub u32);

/// A worker's incarnation in the arena of the state.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WorkerKey(pub u32);

/// A job's id, chosen by its caller.
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

/// Digits of a job's id.
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

/// One occurrence of a step of a job.
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
    /// Job.
    pub job: JobId,
    /// Occurrence, from 0.
    pub occurrence: u32,
    /// Step, from 0.
    pub step: u16,
}

/// A task.
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
    /// Its step.
    pub step: StepName,
    /// Position in the step, from 0.
    pub index: u16,
}

impl FromStr for TaskName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bad = || format!("`{text}` is not the name of a task");
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

/// An amount of what workers have.
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
pub struct Amount {
    /// Thousandths of a core.
    pub cpu: i64,
    /// Memory in megabytes.
    pub memory: i64,
    /// Accelerators.
    pub accelerators: i64,
}

/// Most of anything that one task or worker can have; sums over a fleet and all its tasks
/// stay in range.
const AMOUNT_MAX: i64 = 1 << 40;

impl Amount {
    /// Returns whether no part is below nothing or beyond what can be.
    pub fn is_in_range(&self) -> bool {
        let range = 0..=AMOUNT_MAX;
        range.contains(&self.cpu)
            && range.contains(&self.memory)
            && range.contains(&self.accelerators)
    }

    /// Returns whether each part is at most that of `room`.
    pub const fn fits(&self, room: &Self) -> bool {
        self.cpu <= room.cpu && self.memory <= room.memory && self.accelerators <= room.accelerators
    }

    /// Returns whether this stays within `cap`, where 0 means no limit.
    pub const fn is_within_cap(&self, cap: &Self) -> bool {
        (cap.cpu == 0 || self.cpu <= cap.cpu)
            && (cap.memory == 0 || self.memory <= cap.memory)
            && (cap.accelerators == 0 || self.accelerators <= cap.accelerators)
    }

    /// Returns this amount `n` times.
    pub const fn times(&self, n: i64) -> Self {
        Self {
            cpu: self.cpu * n,
            memory: self.memory * n,
            accelerators: self.accelerators * n,
        }
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display(rename_all = "snake_case")]
pub enum How {
    /// With success.
    Done,
    /// With an error, the task's own or the worker's.
    Failed,
    /// By an order.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come in time.
    Alone,
    /// It never began, or its worker is gone.
    Void,
}
