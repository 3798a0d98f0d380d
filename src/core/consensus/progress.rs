//! What a leader knows of one follower.

use std::time::Duration;

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
    /// Whether its log is being probed: entries go out one message at a time.
    pub probing: bool,
    /// When the latest probe was sent; its answer repeats that.
    pub probed_at: Option<Moment>,
}

/// Entries that may be under way to a follower without an answer. It is some four
/// round trips at a thousand entries a second.
const IN_FLIGHT_MAX: u64 = 256;
/// A probe without an answer for this long is sent again.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

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

    /// Returns whether entries may be sent now.
    pub fn takes_entries(&self, now: Moment) -> bool {
        if self.probing {
            return self
                .probed_at
                .is_none_or(|at| now.since(at) >= PROBE_TIMEOUT);
        }
        self.next.saturating_sub(self.matched + 1) < IN_FLIGHT_MAX
    }

    /// Records that entries up to `index` match.
    pub fn record_match(&mut self, index: u64) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        self.snapshot = None;
        self.probing = false;
        self.probed_at = None;
    }

    /// Records that the entry before the request sent at `sent_at` did not match.
    /// While a probe is under way only its own answer counts: each request that
    /// followed a lost one fails alike, and answering each would send the same
    /// entries as often. Returns whether the answer counts.
    pub fn record_mismatch(&mut self, hint: u64, sent_at: Moment) -> bool {
        if self.probing && self.probed_at.is_some_and(|at| at != sent_at) {
            return false;
        }
        self.next = (hint + 1).clamp(self.matched + 1, self.next.max(self.matched + 1));
        self.snapshot = None;
        self.probing = true;
        self.probed_at = None;
        true
    }
}
