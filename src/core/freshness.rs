//! Age of the root group state that this instance has applied.

use std::time::Duration;

use crate::core::time::Moment;

/// Maximum number of statements that wait until the log has been applied.
const PENDING_STATEMENTS_MAX: usize = 32;

/// Tracks the latest moment for which all commits are known to be applied here.
#[derive(Debug, Default)]
pub struct Tracker {
    as_of: Option<Moment>,
    pending: Vec<(Moment, u64)>,
}

impl Tracker {
    /// Records the statement that nothing after `index` was committed at `as_of`.
    pub fn record(&mut self, as_of: Moment, index: u64, applied: u64) {
        if index <= applied {
            self.as_of = self.as_of.max(Some(as_of));
            return;
        }
        if self.pending.len() == PENDING_STATEMENTS_MAX {
            self.pending.remove(0);
        }
        self.pending.push((as_of, index));
    }

    /// Records that the log has been applied up to index `applied`.
    pub fn advance(&mut self, applied: u64) {
        let ready = self.pending.iter().filter(|(_, index)| *index <= applied);
        let newest = ready.map(|&(as_of, _)| as_of).max();
        self.as_of = self.as_of.max(newest);
        self.pending.retain(|(_, index)| *index > applied);
    }

    /// Returns the moment up to which all commits are applied, if known.
    pub const fn as_of(&self) -> Option<Moment> {
        self.as_of
    }

    /// Returns the age of the applied state at `now`, or `None` if it is not known yet.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.as_of.map(|as_of| now.since(as_of))
    }
}
