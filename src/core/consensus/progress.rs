//! A leader's view of one follower or observer.

use std::time::Duration;

use crate::core::time::Moment;

/// Replication progress of one follower or observer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Name of the replica's instance.
    pub name: String,
    /// Whether the replica stores its log on disk.
    pub durable: bool,
    /// Highest index up to which the replica's log is known to match the leader's.
    pub match_index: u64,
    /// Index of the next entry to send.
    pub next_index: u64,
    /// Time at which the latest acknowledged request was sent.
    pub acked_at: Moment,
    /// Time of the latest message received from the replica.
    pub heard_at: Moment,
    /// Time of the latest message sent to the replica.
    pub sent_at: Moment,
    /// Latest commit index sent to the replica.
    pub sent_commit: u64,
    /// Snapshot being transferred: its index and the number of bytes acknowledged.
    pub snapshot: Option<(u64, u64)>,
    /// Whether the leader is looking for the matching index, with one message of entries
    /// in flight at a time.
    pub probing: bool,
    /// Time at which the outstanding probe was sent. The reply repeats it.
    pub probed_at: Option<Moment>,
}

/// Largest number of unacknowledged entries in flight to one replica. Covers about four
/// round trips at a thousand entries per second.
const IN_FLIGHT_MAX_ENTRIES: u64 = 256;
/// Time after which an unanswered probe is sent again.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

impl Progress {
    /// Makes the progress of a replica whose log is not known yet. Entries are sent from
    /// `next` on.
    pub fn new(name: &str, next_index: u64, now: Moment) -> Self {
        Self {
            name: name.to_owned(),
            next_index,
            heard_at: now,
            ..Self::default()
        }
    }

    /// Returns whether flow control lets entries be sent now.
    pub fn can_send_entries(&self, now: Moment) -> bool {
        if self.probing {
            return self
                .probed_at
                .is_none_or(|at| now.since(at) >= PROBE_TIMEOUT);
        }
        self.next_index.saturating_sub(self.match_index + 1) < IN_FLIGHT_MAX_ENTRIES
    }

    /// Records that the replica's log matches up to `index`.
    pub fn record_match(&mut self, index: u64) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        self.snapshot = None;
        self.probing = false;
        self.probed_at = None;
    }

    /// Records that the request sent at `sent_at` was rejected because its preceding
    /// entry did not match. Returns whether the rejection was used.
    ///
    /// While a probe is outstanding, only the reply to it is used. All requests in
    /// flight after a lost one are rejected, and reacting to each would send the same
    /// entries as many times.
    pub fn record_mismatch(&mut self, hint: u64, sent_at: Moment) -> bool {
        if self.probing && self.probed_at.is_some_and(|at| at != sent_at) {
            return false;
        }
        self.next_index = (hint + 1).clamp(
            self.match_index + 1,
            self.next_index.max(self.match_index + 1),
        );
        self.snapshot = None;
        self.probing = true;
        self.probed_at = None;
        true
    }
}
