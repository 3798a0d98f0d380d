//! Request queue of one service: weighted fair queueing between teams; by worth, then
//! deadline within a team.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{Request, TeamKey, Ticket};
use crate::core::time::Moment;

/// Fixed-point factor of virtual time: one microsecond of slot time advances a team of
/// share 1 by this much.
const VIRTUAL_TIME_SCALE: u64 = 1_000;
/// Service time estimate before the first sample.
const NO_ESTIMATE: Duration = Duration::ZERO;
/// Time without a sample after which the service time estimate halves.
const ESTIMATE_HALF_LIFE: Duration = Duration::from_secs(1);

/// Sort key in a team's queue: highest worth first, then earliest deadline, then arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    worth: std::cmp::Reverse<u64>,
    deadline: Moment,
    ticket: Ticket,
}

impl Rank {
    const fn of(ticket: Ticket, request: &Request) -> Self {
        Self {
            worth: std::cmp::Reverse(request.worth),
            deadline: request.deadline,
            ticket,
        }
    }
}

/// Waiting requests of one team and the virtual time up to which it has been charged.
#[derive(Debug, Default)]
struct TeamQueue {
    waiting: BTreeMap<Rank, Request>,
    virtual_time: u64,
}

/// Waiting requests of all teams for one service, and its service time estimate.
#[derive(Debug, Default)]
pub struct Queue {
    teams: BTreeMap<TeamKey, TeamQueue>,
    active: BTreeSet<(u64, TeamKey)>,
    deadlines: BTreeMap<(Moment, Ticket), Rank>,
    ranks: BTreeMap<Ticket, (TeamKey, Rank)>,
    virtual_time: u64,
    estimate: Duration,
    sampled_at: Moment,
}

impl Queue {
    /// Returns the number of waiting requests of all teams.
    pub fn len(&self) -> usize {
        self.ranks.len()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }

    /// Returns the number of waiting requests of `team`.
    pub fn team_len(&self, team: TeamKey) -> usize {
        self.teams.get(&team).map_or(0, |queue| queue.waiting.len())
    }

    /// Returns the teams with waiting requests and how many each has.
    pub fn demands(&self) -> impl Iterator<Item = (TeamKey, usize)> {
        self.active
            .iter()
            .map(|&(_, team)| (team, self.team_len(team)))
    }

    /// Returns the expected service time of one request. It halves with each half-life
    /// without a sample, so that an outdated estimate does not refuse requests for long.
    pub fn estimate(&self, now: Moment) -> Duration {
        let halvings = now.since(self.sampled_at).as_secs() / ESTIMATE_HALF_LIFE.as_secs();
        let shift = u32::try_from(halvings).unwrap_or(u32::MAX).min(31);
        self.estimate / (1 << shift)
    }

    /// Adds one measured service time to the estimate, a moving average of weight 1/8.
    pub fn sample(&mut self, now: Moment, service_time: Duration) {
        let old = self.estimate(now);
        self.estimate = if old == NO_ESTIMATE {
            service_time
        } else {
            (old * 7 + service_time) / 8
        };
        self.sampled_at = now;
    }

    /// Returns how many waiting requests of the same team rank before `request`.
    pub fn ahead_of(&self, request: &Request) -> usize {
        let rank = Rank::of(Ticket::MAX, request);
        self.teams
            .get(&request.team)
            .map_or(0, |queue| queue.waiting.range(..rank).count())
    }

    /// Adds a request. A team without waiting requests joins no earlier than the
    /// queue's virtual time, so that it earns no credit while idle.
    pub fn push(&mut self, ticket: Ticket, request: Request) {
        let rank = Rank::of(ticket, &request);
        let queue = self.teams.entry(request.team).or_default();
        if queue.waiting.is_empty() {
            queue.virtual_time = queue.virtual_time.max(self.virtual_time);
            self.active.insert((queue.virtual_time, request.team));
        }
        queue.waiting.insert(rank, request);
        self.deadlines.insert((request.deadline, ticket), rank);
        self.ranks.insert(ticket, (request.team, rank));
    }

    /// Removes a waiting request and returns it, or `None` if it is not waiting.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Request> {
        let (team, rank) = self.ranks.remove(&ticket)?;
        let queue = self.teams.get_mut(&team)?;
        let request = queue.waiting.remove(&rank)?;
        self.deadlines.remove(&(request.deadline, ticket));
        if queue.waiting.is_empty() {
            self.active.remove(&(queue.virtual_time, team));
        }
        Some(request)
    }

    /// Removes the last-ranked request of the same team if `request` ranks before it,
    /// and returns its ticket.
    pub fn displace(&mut self, request: &Request) -> Option<Ticket> {
        let rank = Rank::of(Ticket::MAX, request);
        let (&last, _) = self.teams.get(&request.team)?.waiting.last_key_value()?;
        if rank >= last {
            return None;
        }
        self.remove(last.ticket)?;
        Some(last.ticket)
    }

    /// Returns the first request of the team with the least virtual time among those for
    /// which `may_run` holds.
    pub fn peek(&self, mut may_run: impl FnMut(TeamKey) -> bool) -> Option<(Ticket, Request)> {
        let &(_, team) = self.active.iter().find(|&&(_, team)| may_run(team))?;
        let (rank, request) = self.teams.get(&team)?.waiting.first_key_value()?;
        Some((rank.ticket, *request))
    }

    /// Advances the virtual time of `team` by `slot_time` divided by its share.
    pub fn charge(&mut self, team: TeamKey, slot_time: Duration, share: u32) {
        let Some(queue) = self.teams.get_mut(&team) else {
            return;
        };
        let micros = u64::try_from(slot_time.as_micros()).unwrap_or(u64::MAX);
        let cost = micros.max(1).saturating_mul(VIRTUAL_TIME_SCALE) / u64::from(share.max(1));
        let was_active = self.active.remove(&(queue.virtual_time, team));
        queue.virtual_time = queue.virtual_time.saturating_add(cost.max(1));
        if was_active {
            self.active.insert((queue.virtual_time, team));
        } else if self.active.is_empty() {
            self.virtual_time = self.virtual_time.max(queue.virtual_time);
        }
        self.advance_virtual_time();
    }

    /// Adds `team` if it is missing, so that it can be charged. Without waiting requests
    /// it starts no earlier than the queue's virtual time.
    pub fn ensure_team(&mut self, team: TeamKey) {
        let virtual_time = self.virtual_time;
        let queue = self.teams.entry(team).or_default();
        if queue.waiting.is_empty() {
            queue.virtual_time = queue.virtual_time.max(virtual_time);
        }
    }

    /// Removes requests that would miss their deadlines even if started at `now`, and
    /// returns their tickets.
    pub fn expire(&mut self, now: Moment) -> Vec<Ticket> {
        let horizon = now + self.estimate(now);
        let expired: Vec<Ticket> = self
            .deadlines
            .range(..(horizon, Ticket::MAX))
            .map(|(&(_, ticket), _)| ticket)
            .collect();
        for &ticket in &expired {
            self.remove(ticket);
        }
        expired
    }

    /// Removes all requests and returns their tickets.
    pub fn drain(&mut self) -> Vec<Ticket> {
        let tickets: Vec<Ticket> = self.ranks.keys().copied().collect();
        for &ticket in &tickets {
            self.remove(ticket);
        }
        tickets
    }

    // The queue's virtual time is the least one of a team with waiting requests. A team
    // that was idle joins no earlier, so that it earns no credit for that time.
    fn advance_virtual_time(&mut self) {
        if let Some(&(first, _)) = self.active.first() {
            self.virtual_time = self.virtual_time.max(first);
        }
    }
}
