//! Waiting requests of one service: weighted fair queueing between teams, worth
//! and deadline within a team.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{Request, TeamKey, Ticket};
use crate::core::time::Moment;

/// Fixed-point scale of virtual time for each unit of share.
const VIRTUAL_SCALE: u64 = 1_000;
/// Waiting time assumed for one request before any has been measured.
const UNMEASURED: Duration = Duration::ZERO;
/// The estimate halves each time this long passes without a sample.
const ESTIMATE_HALF_LIFE: Duration = Duration::from_secs(1);

/// Place in a team's queue: most worth first, then earliest deadline, then arrival.
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

/// Requests of one team that wait for one service.
#[derive(Debug, Default)]
struct Line {
    waiting: BTreeMap<Rank, Request>,
    virtual_time: u64,
}

/// Requests of all teams that wait for one service.
#[derive(Debug, Default)]
pub struct Queue {
    lines: BTreeMap<TeamKey, Line>,
    active: BTreeSet<(u64, TeamKey)>,
    deadlines: BTreeMap<(Moment, Ticket), Rank>,
    ranks: BTreeMap<Ticket, (TeamKey, Rank)>,
    clock: u64,
    estimate: Duration,
    sampled: Moment,
}

impl Queue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.ranks.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }

    /// Returns the number of waiting requests of `team`.
    pub fn len_of(&self, team: TeamKey) -> usize {
        self.lines.get(&team).map_or(0, |line| line.waiting.len())
    }

    /// Returns the teams with waiting requests and how many each has.
    pub fn demands(&self) -> impl Iterator<Item = (TeamKey, usize)> {
        self.active
            .iter()
            .map(|&(_, team)| (team, self.len_of(team)))
    }

    /// Returns the expected time that an upstream takes for one request.
    pub fn estimate(&self, now: Moment) -> Duration {
        let halvings = now.since(self.sampled).as_secs() / ESTIMATE_HALF_LIFE.as_secs();
        let shift = u32::try_from(halvings).unwrap_or(u32::MAX).min(31);
        self.estimate / (1 << shift)
    }

    /// Takes one measured service time into the estimate.
    pub fn sample(&mut self, now: Moment, took: Duration) {
        let old = self.estimate(now);
        self.estimate = if old == UNMEASURED {
            took
        } else {
            (old * 7 + took) / 8
        };
        self.sampled = now;
    }

    /// Returns how many of `team`'s waiting requests would go before `request`.
    pub fn ahead_of(&self, request: &Request) -> usize {
        let rank = Rank::of(Ticket::MAX, request);
        self.lines
            .get(&request.team)
            .map_or(0, |line| line.waiting.range(..rank).count())
    }

    /// Adds a request.
    pub fn push(&mut self, ticket: Ticket, request: Request) {
        let rank = Rank::of(ticket, &request);
        let line = self.lines.entry(request.team).or_default();
        if line.waiting.is_empty() {
            line.virtual_time = line.virtual_time.max(self.clock);
            self.active.insert((line.virtual_time, request.team));
        }
        line.waiting.insert(rank, request);
        self.deadlines.insert((request.deadline, ticket), rank);
        self.ranks.insert(ticket, (request.team, rank));
    }

    /// Removes one waiting request.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Request> {
        let (team, rank) = self.ranks.remove(&ticket)?;
        let line = self.lines.get_mut(&team)?;
        let request = line.waiting.remove(&rank)?;
        self.deadlines.remove(&(request.deadline, ticket));
        if line.waiting.is_empty() {
            self.active.remove(&(line.virtual_time, team));
        }
        Some(request)
    }

    /// Removes and returns the last-ranked request of `team` if `request` ranks
    /// before it.
    pub fn displace(&mut self, request: &Request) -> Option<Ticket> {
        let rank = Rank::of(Ticket::MAX, request);
        let (&last, _) = self.lines.get(&request.team)?.waiting.last_key_value()?;
        if rank >= last {
            return None;
        }
        self.remove(last.ticket)?;
        Some(last.ticket)
    }

    /// Returns the next request by fair queueing, among teams that `may_run` admits.
    pub fn peek(&self, mut may_run: impl FnMut(TeamKey) -> bool) -> Option<(Ticket, Request)> {
        let &(_, team) = self.active.iter().find(|&&(_, team)| may_run(team))?;
        let (rank, request) = self.lines.get(&team)?.waiting.first_key_value()?;
        Some((rank.ticket, *request))
    }

    /// Charges `took` of slot time to `team`, which has the given share.
    pub fn charge(&mut self, team: TeamKey, took: Duration, share: u32) {
        let Some(line) = self.lines.get_mut(&team) else {
            return;
        };
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        let cost = micros.max(1).saturating_mul(VIRTUAL_SCALE) / u64::from(share.max(1));
        let was_active = self.active.remove(&(line.virtual_time, team));
        line.virtual_time = line.virtual_time.saturating_add(cost.max(1));
        if was_active {
            self.active.insert((line.virtual_time, team));
        } else if self.active.is_empty() {
            self.clock = self.clock.max(line.virtual_time);
        }
        self.advance();
    }

    /// Makes sure that `team` has a line to charge.
    pub fn open_line(&mut self, team: TeamKey) {
        let clock = self.clock;
        let line = self.lines.entry(team).or_default();
        if line.waiting.is_empty() {
            line.virtual_time = line.virtual_time.max(clock);
        }
    }

    /// Removes requests that can no longer be answered by their deadlines.
    pub fn expire(&mut self, now: Moment) -> Vec<Ticket> {
        let horizon = now + self.estimate(now);
        let late: Vec<Ticket> = self
            .deadlines
            .range(..(horizon, Ticket::MAX))
            .map(|(&(_, ticket), _)| ticket)
            .collect();
        for &ticket in &late {
            self.remove(ticket);
        }
        late
    }

    /// Removes everything.
    pub fn drain(&mut self) -> Vec<Ticket> {
        let tickets: Vec<Ticket> = self.ranks.keys().copied().collect();
        for &ticket in &tickets {
            self.remove(ticket);
        }
        tickets
    }

    // The queue's clock is the least virtual time of an active team: a team that
    // was away starts from there and claims nothing for its absence.
    fn advance(&mut self) {
        if let Some(&(first, _)) = self.active.first() {
            self.clock = self.clock.max(first);
        }
    }
}
