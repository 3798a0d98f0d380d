//! Workers as the replicated state knows them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::types::{AccountKey, Amount, TaskName};

/// What a worker says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// Id.
    pub id: String,
    /// Start of this incarnation, in milliseconds since 1970.
    pub born_ms: u64,
    /// Machine that it runs on, if it says so.
    pub machine: Option<String>,
    /// Service.
    pub service: String,
    /// Address for orders.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Whether it takes nothing new.
    pub draining: bool,
    /// Capacity.
    pub capacity: Amount,
    /// Labels; one of them names its rack.
    pub labels: Vec<String>,
    /// Number of the report within the incarnation.
    pub sequence: u64,
}

impl Report {
    /// Returns whether another report of the same incarnation says the same, apart
    /// from its number.
    pub fn says_same(&self, other: &Self) -> bool {
        Self {
            sequence: other.sequence,
            ..self.clone()
        } == *other
    }

    /// Returns whether this incarnation came after `other` of the same worker.
    pub const fn is_later(&self, other: &Self) -> bool {
        self.born_ms > other.born_ms
    }
}

/// A run that a worker may have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Number.
    pub run: u32,
    /// What it takes of the worker's capacity.
    pub room: Amount,
    /// What it takes of the account's cap.
    pub need: Amount,
    /// Client account.
    pub account: Option<AccountKey>,
}

/// A worker's incarnation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// Latest report that changed anything.
    pub report: Report,
    /// Whether this incarnation has ended for good.
    pub gone: bool,
    /// Runs that were logged as started and not as ended.
    pub runs: BTreeMap<TaskName, Run>,
    /// Sum of what the runs take.
    pub used: Amount,
}

impl Worker {
    /// Returns the label that names the rack. Labels are the worker's kind followed
    /// by its rack.
    pub fn rack(&self) -> Option<&str> {
        self.report.labels.last().map(String::as_str)
    }
}
