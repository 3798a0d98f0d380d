//! Workers in the replicated state.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::types::{AccountKey, Resources, TaskName};

/// Self-description that a worker sends at intervals.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// Worker id, the same in all incarnations.
    pub id: String,
    /// Start of this incarnation, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Machine that the worker runs on, if known.
    pub machine: Option<String>,
    /// Service that the worker belongs to.
    pub service: String,
    /// Address that accepts orders.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Whether the worker accepts no new runs.
    pub draining: bool,
    /// Total resources for runs.
    pub capacity: Resources,
    /// Labels; the last one names the rack.
    pub labels: Vec<String>,
    /// Sequence number of the report within the incarnation.
    pub sequence: u64,
}

impl Report {
    /// Returns whether two reports are equal apart from their sequence numbers.
    pub fn equals_except_sequence(&self, other: &Self) -> bool {
        Self {
            sequence: other.sequence,
            ..self.clone()
        } == *other
    }

    /// Returns whether a departure is that of this incarnation. One that names no start counts
    /// only if this incarnation drains, as workers do before they shut down: otherwise it is
    /// a late one of an earlier incarnation.
    pub fn is_ended_by(&self, departure: &Departure) -> bool {
        departure
            .born_ms
            .map_or(self.draining, |born_ms| born_ms == self.born_ms)
    }

    /// Returns whether this incarnation started after that of `other`.
    pub const fn is_later(&self, other: &Self) -> bool {
        self.born_ms > other.born_ms
    }
}

/// Temporary condition of a worker, as reported with a heartbeat. It is not part of the replicated
/// state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Condition {
    /// Time for which the worker is still cold, in milliseconds; 0 if it is not.
    pub cold_remaining_ms: u64,
    /// Time until the worker leaves, in milliseconds; 0 if it has not announced that.
    pub drain_remaining_ms: u64,
}

/// Announcement of a worker that it shuts down.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Departure {
    /// Worker id, the same in all incarnations.
    pub id: String,
    /// Start of the incarnation that shuts down, in milliseconds since the Unix epoch, if the
    /// announcement names it.
    pub born_ms: Option<u64>,
}

/// Run that is assigned to a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Run number.
    pub run: u32,
    /// Share of the worker's capacity that the run takes.
    pub room: Resources,
    /// Resources counted towards the account's cap.
    pub need: Resources,
    /// Client account that the run is counted for.
    pub account: Option<AccountKey>,
}

/// Incarnation of a worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// Latest report that differs from the one before in more than its sequence number.
    pub report: Report,
    /// Whether this incarnation has ended. It never comes back.
    pub departed: bool,
    /// Runs whose start is in the log and whose end is not.
    pub runs: BTreeMap<TaskName, Run>,
    /// Capacity taken by the runs.
    pub used: Resources,
}

impl Worker {
    /// Returns the label that names the rack: the last one, which follows the worker's
    /// kind.
    pub fn rack(&self) -> Option<&str> {
        self.report.labels.last().map(String::as_str)
    }
}
