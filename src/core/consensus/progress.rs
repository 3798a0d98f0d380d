//! What a leader knows of one follower.

use crate::core::time::Moment;

/// Replication state of one follower or observer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Name of its instance.
    pub name: String,
    /// Whether it keeps its log on a disk.
    pub durable: bool,
    /// Last index known to match the leader's log.
    pub matched: u64,
    /// Next index to send.
    pub next: u64,
    /// When the latest request that it answered was sent.
    pub acked_at: Moment,
    /// When anything was last heard of it.
    pub heard_at: Moment,
    /// When anything was last sent to it.
    pub sent_at: Moment,
    /// Latest commit index sent to it.
    pub told_commit: u64,
    /// Snapshot on its way to it, as its index and the bytes received.
    pub snapshot: Option<(u64, u64)>,
}

impl Progress {
    /// Makes the state of a follower whose log is not known yet.
    pub fn new(name: &str, next: u64, now: Moment) -> Self {
        Self {
            name: name.to_owned(),
            next,
            heard_at: now,
            ..Self::default()
        }
    }

    /// Records that entries up to `index` match.
    pub fn record_match(&mut self, index: u64) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        self.snapshot = None;
    }

    /// Records that the entry before `next` did not match.
    pub fn record_mismatch(&mut self, hint: u64) {
        self.next = (hint + 1).clamp(self.matched + 1, self.next.max(self.matched + 1));
        self.snapshot = None;
    }
}
