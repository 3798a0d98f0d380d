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
pub const TERM: Duration = Duration::from_millis(1_200);
/// Interval at which a leader renews its lease and the promises of its roster.
pub const RENEW_EVERY: Duration = Duration::from_millis(300);
/// Time without authority after which members that reach the root group stop
/// making promises to a leader, so that one of them can become a candidate.
const UNLED_MAX: Duration = Duration::from_secs(3);
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
    me: Member,
    led: Option<Leadership>,
    started: Moment,
    root_until: Moment,
    promises: BTreeMap<InstanceId, Moment>,
    joining: BTreeSet<InstanceId>,
    heard: BTreeMap<InstanceId, Moment>,
    promised_until: Moment,
    refused_term: Option<u64>,
    authority_heard: Moment,
    roster_disputed: bool,
    act_at: Moment,
    resigned: bool,
}

impl Participant {
    /// Creates the state of an instance that starts at `now`. Promises made before
    /// a restart are not stored.
    pub const fn new(me: Member, now: Moment) -> Self {
        Self {
            me,
            led: None,
            started: now,
            root_until: Moment::ZERO,
            promises: BTreeMap::new(),
            joining: BTreeSet::new(),
            heard: BTreeMap::new(),
            promised_until: Moment::ZERO,
            refused_term: None,
            authority_heard: now,
            roster_disputed: false,
            act_at: Moment::ZERO,
            resigned: false,
        }
    }

    /// Returns the latest leadership known to this instance.
    pub const fn led(&self) -> Option<&Leadership> {
        self.led.as_ref()
    }

    /// Returns the current term, or 0 before the first.
    pub fn term(&self) -> u64 {
        self.led.as_ref().map_or(0, |led| led.term)
    }

    /// Returns whether this instance is the appointed leader.
    pub fn is_named(&self) -> bool {
        self.led
            .as_ref()
            .is_some_and(|led| led.leader == self.me.id)
    }

    /// Updates the leadership from the registry. Earlier terms are ignored.
    pub fn observe(&mut self, now: Moment, led: Option<&Leadership>) {
        let Some(led) = led else {
            return;
        };
        if led.term <= self.term() {
            return;
        }
        let keeps_leader = self
            .led
            .as_ref()
            .is_some_and(|old| old.leader == led.leader);
        if !keeps_leader {
            self.promises.clear();
            self.joining.clear();
            self.root_until = Moment::ZERO;
        }
        self.roster_disputed = false;
        self.authority_heard = now;
        self.joining
            .retain(|id| !led.roster.iter().any(|m| m.id == *id));
        self.led = Some(led.clone());
        self.act_at = now;
    }

    /// Returns whether this instance may act as leader at `now`.
    pub fn may_act(&self, now: Moment) -> bool {
        self.is_named() && now < self.authority_until()
    }

    /// Returns the moment until which this instance may act as leader.
    pub fn authority_until(&self) -> Moment {
        if !self.is_named() || self.resigned {
            return Moment::ZERO;
        }
        self.root_until.max(self.promised_by_all_until())
    }

    fn promised_by_all_until(&self) -> Moment {
        let Some(led) = &self.led else {
            return Moment::ZERO;
        };
        led.roster
            .iter()
            .map(|m| m.id)
            .chain(self.joining.iter().copied())
            .filter(|id| *id != self.me.id)
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
    pub fn hear(&mut self, now: Moment, peer: InstanceId) {
        self.heard.insert(peer, now);
    }

    /// Returns the requests due at `now`. `peers` are the connected peers of this
    /// zone; `root_heard` tells whether the state of the root group is recent.
    pub fn tick(&mut self, now: Moment, peers: &[InstanceId], root_heard: bool) -> Vec<Action> {
        if now < self.act_at || self.resigned {
            return Vec::new();
        }
        self.act_at = now + RENEW_EVERY;
        if self.is_named() {
            return self.renew(now, peers);
        }
        self.maybe_campaign(now, root_heard)
    }

    fn renew(&mut self, now: Moment, peers: &[InstanceId]) -> Vec<Action> {
        let Some(led) = &self.led else {
            return Vec::new();
        };
        let known: BTreeSet<InstanceId> = led.roster.iter().map(|m| m.id).collect();
        // A new member's promise is required from now on, before the root group
        // adds it to the roster and thereby allows its candidacy.
        self.joining
            .extend(peers.iter().filter(|id| !known.contains(id)));
        let is_silent = |id: &InstanceId| {
            let heard = self.heard.get(id).copied().unwrap_or(self.started);
            *id != self.me.id && !peers.contains(id) && now.since(heard) > ROSTER_SILENCE_MAX
        };
        let wanted: Vec<InstanceId> = known
            .iter()
            .chain(&self.joining)
            .copied()
            .filter(|id| !is_silent(id))
            .collect();
        let changed = wanted.iter().copied().collect::<BTreeSet<_>>() != known;
        let has_authority = now < self.authority_until();
        let term = led.term;
        let mut actions = vec![Action::Renew {
            term,
            roster: if changed || self.roster_disputed {
                wanted
            } else {
                Vec::new()
            },
        }];
        let others = known.iter().chain(&self.joining);
        actions.extend(
            others
                .filter(|id| **id != self.me.id)
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
        if now < self.started + with_clock_margin(TERM) {
            return Vec::new();
        }
        if let Some(led) = &self.led {
            let is_member = led
                .roster
                .iter()
                .any(|m| m.id == self.me.id || m.address == self.me.address);
            let waited =
                now >= self.promised_until && now >= self.authority_heard + with_clock_margin(TERM);
            if !is_member || !waited || !root_heard {
                return Vec::new();
            }
        }
        self.refused_term = Some(term);
        vec![Action::Campaign { term }]
    }

    /// Handles the root group's reply to a renewal sent at `sent_at`.
    pub fn take_lease(&mut self, term: u64, sent_at: Moment, granted: bool) {
        if granted && self.is_named() && term == self.term() {
            self.root_until = self.root_until.max(sent_at + TERM);
        }
    }

    /// Handles a member's reply to a promise request sent at `sent_at`.
    pub fn take_promise(&mut self, from: InstanceId, term: u64, sent_at: Moment, granted: bool) {
        if !self.is_named() || term != self.term() {
            return;
        }
        if granted {
            let until = self.promises.entry(from).or_default();
            *until = (*until).max(sent_at + TERM);
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
        if let Some(led) = &self.led
            && term == led.term
            && led.leader != from
        {
            return false;
        }
        if has_authority {
            self.authority_heard = now;
        }
        if root_heard && now > self.authority_heard + UNLED_MAX {
            return false;
        }
        self.promised_until = self.promised_until.max(now + with_clock_margin(TERM));
        true
    }
}

/// Leases granted by the root leader and appointments that it has proposed.
#[derive(Debug, Default)]
pub struct Register {
    until: BTreeMap<String, Moment>,
    naming: BTreeSet<String>,
}

impl Register {
    /// Decides whether to renew the lease of `from` in `term`.
    pub fn renew(
        &mut self,
        now: Moment,
        zone: &str,
        led: Option<&Leadership>,
        from: InstanceId,
        term: u64,
    ) -> bool {
        let holds = led.is_some_and(|led| led.leader == from && led.term == term);
        if !holds || self.naming.contains(zone) {
            return false;
        }
        self.until
            .insert(zone.to_owned(), now + with_clock_margin(TERM));
        true
    }

    /// Decides whether `candidate` may be appointed. The previous lease must have
    /// expired, and so must any lease granted by an earlier root leader before
    /// `since`, the start of this root leadership.
    pub fn may_name(
        &self,
        now: Moment,
        since: Moment,
        zone: &str,
        led: Option<&Leadership>,
        candidate: &Member,
        term: u64,
    ) -> bool {
        let until = self.until.get(zone).copied().unwrap_or_default();
        if now < since + with_clock_margin(TERM) || now < until || self.naming.contains(zone) {
            return false;
        }
        led.is_none_or(|led| {
            led.term == term
                && led
                    .roster
                    .iter()
                    .any(|m| m.id == candidate.id || m.address == candidate.address)
        })
    }

    /// Refuses renewals until the proposed appointment is decided.
    pub fn begin_naming(&mut self, zone: &str) {
        self.naming.insert(zone.to_owned());
    }

    /// Records that the proposed appointment is decided.
    pub fn end_naming(&mut self, zone: &str) {
        self.naming.remove(zone);
    }

    /// Clears all state when the root leadership begins or ends.
    pub fn clear(&mut self) {
        self.until.clear();
        self.naming.clear();
    }
}
