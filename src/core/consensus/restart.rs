//! What a restarted replica learns about the promises that it made before.
//!
//! A replica promises its leader not to vote for others for a while, and the leader's lease
//! rests on that. The promise is not stored, so a restarted replica cannot tell whether one
//! is in force. It waits for as long as a promise lasts, unless every other voter says that
//! it does not lead: then nobody holds a lease. After a power failure this ends the wait as
//! soon as all voters are back.

use std::collections::BTreeSet;
use std::time::Duration;

use super::replica::ELECTION_TIMEOUT_MAX;
use crate::core::time::Moment;
use crate::wire::VoteReply;

/// Shortest interval between the pre-votes of a restarted replica.
pub(super) const PROBE_INTERVAL_MIN: Duration = Duration::from_millis(40);
/// Longest interval between the pre-votes of a restarted replica. The range lets replicas
/// that restart together take turns.
pub(super) const PROBE_INTERVAL_MAX: Duration = Duration::from_millis(80);

/// Restart of a replica that has neither heard from a leader nor voted since.
#[derive(Debug)]
pub(super) struct Restart {
    /// Tells replies to this replica from replies to an earlier run of its process.
    number: u64,
    at: Moment,
    not_leading: BTreeSet<u64>,
}

impl Restart {
    pub(super) fn new(at: Moment, seed: u64) -> Self {
        Self {
            number: seed.max(1),
            at,
            not_leading: BTreeSet::new(),
        }
    }

    pub(super) const fn number(&self) -> u64 {
        self.number
    }

    /// Returns whether the restart is recent enough for pre-votes at short intervals.
    pub(super) fn is_recent(&self, now: Moment) -> bool {
        now.since(self.at) < ELECTION_TIMEOUT_MAX
    }

    /// Records a reply. Returns false if it is not for this restart.
    pub(super) fn record(&mut self, from: u64, reply: VoteReply) -> bool {
        if reply.restart != self.number {
            return false;
        }
        if reply.leads {
            self.not_leading.remove(&from);
        } else {
            self.not_leading.insert(from);
        }
        true
    }

    pub(super) fn is_known_not_to_lead(&self, replica: u64) -> bool {
        self.not_leading.contains(&replica)
    }
}
