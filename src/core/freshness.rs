//! How recent this instance's knowledge of the root group's state is.

use std::time::Duration;

use crate::core::time::Moment;

/// Statements that wait for the log to catch up.
const PENDING_MAX: usize = 32;

/// Tracks the latest moment at which this instance surely knew all commits.
#[derive(Debug, Default)]
pub struct Tracker {
    as_of: Option<Moment>,
    pending: Vec<(Moment, u64)>,
}

impl Tracker {
    /// Records a statement: at `as_of` nothing after `index` was committed.
    pub fn hear(&mut self, as_of: Moment, index: u64, applied: u64) {
        if index <= applied {
            self.as_of = self.as_of.max(Some(as_of));
            return;
        }
        if self.pending.len() == PENDING_MAX {
            self.pending.remove(0);
        }
        self.pending.push((as_of, index));
    }

    /// Records that the log has been applied up to `applied`.
    pub fn apply(&mut self, applied: u64) {
        let ready = self.pending.iter().filter(|(_, index)| *index <= applied);
        let newest = ready.map(|&(as_of, _)| as_of).max();
        self.as_of = self.as_of.max(newest);
        self.pending.retain(|(_, index)| *index > applied);
    }

    /// Returns the moment up to which all commits are known.
    pub const fn as_of(&self) -> Option<Moment> {
        self.as_of
    }

    /// Returns the age of the knowledge, or `None` if there is none yet.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.as_of.map(|as_of| now.since(as_of))
    }
}
