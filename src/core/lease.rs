//! Leader election for an availability zone: leases, promises and candidacy.
//!
//! The root group appoints the leader of each zone. The leader may act while it
//! holds an unexpired lease from the root group or unexpired promises from all
//! other members of its roster. A member becomes a candidate only after its own
//! promise has expired and makes no further promise in that term. The two sets of
//! instances that could authorise two leaders at once therefore always intersect.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::core::registry::{InstanceId, Leadership, Member};
use crate::core::time::{Moment, with_clock_margin};

/// Duration of a lease or promise, measured on the holder's clock.
pub const LEASE_DURATION: Duration = Duration::from_millis(1_200);
/// Interval at which a leader renews its lease and the promises of its roster.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);
/// Time without authority after which members that reach the root group stop
/// making promises to a leader, so that one of them can become a candidate.
const AUTHORITY_GAP_MAX: Duration = Duration::from_secs(3);
/// Silence after which the leader removes a member from its roster.
const ROSTER_SILENCE_MAX: Duration = Duration::from_secs(10);

/// Request that this instance should send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Renew the lease from the root group.
    Renew {
        /// Term to renew.
        term: u64,
        /// Proposed roster, or empty to keep the current one.
        roster: Vec<InstanceId>,
    },
    /// Ask a member for its promise.
    Ask {
        /// Member to ask.
        member: InstanceId,
        /// Term of the sender's leadership.
        term: u64,
        /// Whether the sender holds authority now.
        has_authority: bool,
    },
    /// Ask the root group for appointment as leader.
    Campaign {
        /// Latest term that the candidate knows.
        term: u64,
    },
}

/// State of one instance in the leader election of its zone.
#[derive(Debug)]
pub struct Participant {
    member: Member,
    leadership: Option<Leadership>,
    started_at: Moment,
    root_lease_until: Moment,
    promises: BTreeMap<InstanceId, Moment>,
    joining: BTreeSet<InstanceId>,
    last_heard: BTreeMap<InstanceId, Moment>,
    promised_until: Moment,
    refused_term: Option<u64>,
    authority_heard_at: Moment,
    roster_disputed: bool,
    next_action_at: Moment,
    resigned: bool,
}

impl Participant {
    /// Creates the state of an instance that starts at `now`. Promises made before
    /// a restart are not stored.
    pub const fn new(member: Member, now: Moment) -> Self {
        Self {
            member,
            leadership: None,
            started_at: now,
            root_lease_until: Moment::ZERO,
            promises: BTreeMap::new(),
            joining: BTreeSet::new(),
            last_heard: BTreeMap::new(),
            promised_until: Moment::ZERO,
            refused_term: None,
            authority_heard_at: now,
            roster_disputed: false,
            next_action_at: Moment::ZERO,
            resigned: false,
        }
    }

    /// Returns the latest leadership known to this instance.
    pub const fn leadership(&self) -> Option<&Leadership> {
        self.leadership.as_ref()
    }

    /// Returns the current term, or 0 before the first.
    pub fn term(&self) -> u64 {
        self.leadership
            .as_ref()
            .map_or(0, |leadership| leadership.term)
    }

    /// Returns whether this instance is the appointed leader.
    pub fn is_appointed(&self) -> bool {
        self.leadership
            .as_ref()
            .is_some_and(|leadership| leadership.leader == self.member.id)
    }

    /// Updates the leadership from the registry. Earlier terms are ignored.
    pub fn observe(&mut self, now: Moment, leadership: Option<&Leadership>) {
        let Some(leadership) = leadership else {
            return;
        };
        if leadership.term <= self.term() {
            return;
        }
        let keeps_leader = self
            .leadership
            .as_ref()
            .is_some_and(|old| old.leader == leadership.leader);
        if !keeps_leader {
            self.promises.clear();
            self.joining.clear();
            self.root_lease_until = Moment::ZERO;
        }
        self.roster_disputed = false;
        self.authority_heard_at = now;
        self.joining
            .retain(|id| !leadership.roster.iter().any(|m| m.id == *id));
        self.leadership = Some(leadership.clone());
        self.next_action_at = now;
    }

    /// Returns whether this instance may act as leader at `now`.
    pub fn may_act(&self, now: Moment) -> bool {
        self.is_appointed() && now < self.authority_until()
    }

    /// Returns the moment until which this instance may act as leader.
    pub fn authority_until(&self) -> Moment {
        if !self.is_appointed() || self.resigned {
            return Moment::ZERO;
        }
        self.root_lease_until.max(self.promises_until())
    }

    fn promises_until(&self) -> Moment {
        let Some(leadership) = &self.leadership else {
            return Moment::ZERO;
        };
        leadership
            .roster
            .iter()
            .map(|m| m.id)
            .chain(self.joining.iter().copied())
            .filter(|id| *id != self.member.id)
            .map(|id| self.promises.get(&id).copied().unwrap_or_default())
            .min()
            // No other member could become leader, so the authority does not expire.
            .unwrap_or(Moment(u64::MAX))
    }

    /// Gives up the leadership permanently before a planned stop.
    pub const fn resign(&mut self) {
        self.resigned = true;
    }

    /// Records a message from `peer` of this zone.
    pub fn record_message(&mut self, now: Moment, peer: InstanceId) {
        self.last_heard.insert(peer, now);
    }

    /// Returns the requests due at `now`. `peers` are the connected peers of this
    /// zone; `root_heard` tells whether the state of the root group is recent.
    pub fn tick(&mut self, now: Moment, peers: &[InstanceId], root_heard: bool) -> Vec<Action> {
        if now < self.next_action_at || self.resigned {
            return Vec::new();
        }
        self.next_action_at = now + RENEWAL_INTERVAL;
        if self.is_appointed() {
            return self.renew(now, peers);
        }
        self.maybe_campaign(now, root_heard)
    }

    fn renew(&mut self, now: Moment, peers: &[InstanceId]) -> Vec<Action> {
        let Some(leadership) = &self.leadership else {
            return Vec::new();
        };
        let known: BTreeSet<InstanceId> = leadership.roster.iter().map(|m| m.id).collect();
        // A new member's promise is required from now on, before the root group
        // adds it to the roster and thereby allows its candidacy.
        self.joining
            .extend(peers.iter().filter(|id| !known.contains(id)));
        let is_silent = |id: &InstanceId| {
            let last_heard = self.last_heard.get(id).copied().unwrap_or(self.started_at);
            *id != self.member.id
                && !peers.contains(id)
                && now.since(last_heard) > ROSTER_SILENCE_MAX
        };
        let roster: Vec<InstanceId> = known
            .iter()
            .chain(&self.joining)
            .copied()
            .filter(|id| !is_silent(id))
            .collect();
        let changed = roster.iter().copied().collect::<BTreeSet<_>>() != known;
        let has_authority = now < self.authority_until();
        let term = leadership.term;
        let mut actions = vec![Action::Renew {
            term,
            roster: if changed || self.roster_disputed {
                roster
            } else {
                Vec::new()
            },
        }];
        let others = known.iter().chain(&self.joining);
        actions.extend(
            others
                .filter(|id| **id != self.member.id)
                .map(|&member| Action::Ask {
                    member,
                    term,
                    has_authority,
                }),
        );
        actions
    }

    fn maybe_campaign(&mut self, now: Moment, root_heard: bool) -> Vec<Action> {
        let term = self.term();
        // Promises made before a restart must have expired.
        if now < self.started_at + with_clock_margin(LEASE_DURATION) {
            return Vec::new();
        }
        if let Some(leadership) = &self.leadership {
            let is_member = leadership
                .roster
                .iter()
                .any(|m| m.id == self.member.id || m.address == self.member.address);
            let waited = now >= self.promised_until
                && now >= self.authority_heard_at + with_clock_margin(LEASE_DURATION);
            if !is_member || !waited || !root_heard {
                return Vec::new();
            }
        }
        self.refused_term = Some(term);
        vec![Action::Campaign { term }]
    }

    /// Handles the root group's reply to a renewal sent at `sent_at`.
    pub fn handle_lease_reply(&mut self, term: u64, sent_at: Moment, granted: bool) {
        if granted && self.is_appointed() && term == self.term() {
            self.root_lease_until = self.root_lease_until.max(sent_at + LEASE_DURATION);
        }
    }

    /// Handles a member's reply to a promise request sent at `sent_at`.
    pub fn handle_promise_reply(
        &mut self,
        from: InstanceId,
        term: u64,
        sent_at: Moment,
        granted: bool,
    ) {
        if !self.is_appointed() || term != self.term() {
            return;
        }
        if granted {
            let until = self.promises.entry(from).or_default();
            *until = (*until).max(sent_at + LEASE_DURATION);
        } else {
            // A member that refused promises again only in a new term.
            self.roster_disputed = true;
        }
    }

    /// Decides whether to promise `from`, the leader of `term`, not to become a
    /// candidate before the promise expires.
    pub fn promise(
        &mut self,
        now: Moment,
        from: InstanceId,
        term: u64,
        has_authority: bool,
        root_heard: bool,
    ) -> bool {
        if term < self.term() || self.refused_term.is_some_and(|refused| term <= refused) {
            return false;
        }
        if let Some(leadership) = &self.leadership
            && term == leadership.term
            && leadership.leader != from
        {
            return false;
        }
        if has_authority {
            self.authority_heard_at = now;
        }
        if root_heard && now > self.authority_heard_at + AUTHORITY_GAP_MAX {
            return false;
        }
        self.promised_until = self
            .promised_until
            .max(now + with_clock_margin(LEASE_DURATION));
        true
    }
}

/// Leases granted by the root leader and appointments that it has proposed.
#[derive(Debug, Default)]
pub struct Grants {
    lease_until: BTreeMap<String, Moment>,
    appointing: BTreeSet<String>,
}

impl Grants {
    /// Decides whether to renew the lease of `from` in `term`.
    pub fn renew(
        &mut self,
        now: Moment,
        zone: &str,
        leadership: Option<&Leadership>,
        from: InstanceId,
        term: u64,
    ) -> bool {
        let holds = leadership
            .is_some_and(|leadership| leadership.leader == from && leadership.term == term);
        if !holds || self.appointing.contains(zone) {
            return false;
        }
        self.lease_until
            .insert(zone.to_owned(), now + with_clock_margin(LEASE_DURATION));
        true
    }

    /// Decides whether `candidate` may be appointed. The previous lease must have
    /// expired, and so must any lease granted by an earlier root leader before
    /// `since`, the start of this root leadership.
    pub fn may_appoint(
        &self,
        now: Moment,
        since: Moment,
        zone: &str,
        leadership: Option<&Leadership>,
        candidate: &Member,
        term: u64,
    ) -> bool {
        let lease_until = self.lease_until.get(zone).copied().unwrap_or_default();
        if now < since + with_clock_margin(LEASE_DURATION)
            || now < lease_until
            || self.appointing.contains(zone)
        {
            return false;
        }
        leadership.is_none_or(|leadership| {
            leadership.term == term
                && leadership
                    .roster
                    .iter()
                    .any(|m| m.id == candidate.id || m.address == candidate.address)
        })
    }

    /// Refuses renewals until the proposed appointment is decided.
    pub fn begin_appointment(&mut self, zone: &str) {
        self.appointing.insert(zone.to_owned());
    }

    /// Records that the proposed appointment is decided.
    pub fn end_appointment(&mut self, zone: &str) {
        self.appointing.remove(zone);
    }

    /// Clears all state when the root leadership begins or ends.
    pub fn clear(&mut self) {
        self.lease_until.clear();
        self.appointing.clear();
    }
}
