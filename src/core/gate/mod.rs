//! Admission control of one entry instance: which request runs next, and on which
//! upstream.
//!
//! Zone leaders allot slots of upstreams and units of team limits to the entry
//! instance in advance, so that each request is admitted from local state without a
//! network round trip.

mod allotment;
mod queue;
mod types;
mod upstream;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

pub use queue::Queue;
pub use types::{
    Admission, Assignment, Completion, Demand, Refusal, Request, ServiceKey, SourceKey, TeamKey,
    TeamStat, Ticket, UpstreamKey,
};
pub use upstream::{Announcement, Index, Upstream, resource_of};

use crate::core::escrow::{Account, Holding, ResourceId};
use crate::core::time::Moment;
use crate::error::Kind;

/// Default limit for the waiting requests of one team for one service.
pub const DEFAULT_MAX_QUEUED_REQUESTS: usize = 1_000;
/// Lower bound of the retry delay given with a refusal.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);

/// A team, its usage and the units of its limit allotted to this entry instance.
#[derive(Debug)]
struct Team {
    name: String,
    resource: ResourceId,
    share: u32,
    holding: Holding,
    completed: u64,
    slot_time: Duration,
}

/// A service, its queue and its upstreams with an idle slot.
#[derive(Debug)]
struct Service {
    name: String,
    queue: Queue,
    index: Index,
    allowed: u64,
    queue_limit: usize,
    running: BTreeMap<TeamKey, u64>,
}

/// Admission state of one entry instance.
#[derive(Debug, Default)]
pub struct Gate {
    teams: Vec<Team>,
    team_names: HashMap<String, TeamKey>,
    services: Vec<Service>,
    service_names: HashMap<String, ServiceKey>,
    upstreams: BTreeMap<UpstreamKey, Upstream>,
    resources: HashMap<ResourceId, UpstreamKey>,
    /// Accounts of removed upstreams.
    retired: HashMap<ResourceId, (SourceKey, Account)>,
    /// Units given to teams that have not been added yet.
    pending_units: HashMap<ResourceId, u64>,
    next_upstream: u32,
    expiries: Vec<Moment>,
    team_source: SourceKey,
    next_ticket: u64,
    draining: bool,
}

impl Gate {
    /// Returns a gate without teams, services or upstreams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the key of a team, adding it if it is new, and sets its share.
    pub fn put_team(&mut self, name: &str, share: u32) -> TeamKey {
        if let Some(&key) = self.team_names.get(name) {
            self.teams[key.0 as usize].share = share;
            return key;
        }
        let key = TeamKey(u32::try_from(self.teams.len()).expect("fewer than 2^32 teams"));
        let resource = crate::util::resource_id(name);
        let mut holding = Holding::default();
        if let Some(given) = self.pending_units.remove(&resource) {
            holding.receive(given);
        }
        self.teams.push(Team {
            name: name.to_owned(),
            resource,
            share,
            holding,
            completed: 0,
            slot_time: Duration::ZERO,
        });
        self.team_names.insert(name.to_owned(), key);
        key
    }

    /// Returns the key of a service, adding it if it is new, and sets its queue limit.
    pub fn put_service(&mut self, name: &str, queue_limit: usize) -> ServiceKey {
        if let Some(&key) = self.service_names.get(name) {
            self.services[key.0 as usize].queue_limit = queue_limit;
            return key;
        }
        let count = u32::try_from(self.services.len()).expect("fewer than 2^32 services");
        let key = ServiceKey(count);
        self.services.push(Service {
            name: name.to_owned(),
            queue: Queue::default(),
            index: Index::default(),
            allowed: 0,
            queue_limit,
            running: BTreeMap::new(),
        });
        self.service_names.insert(name.to_owned(), key);
        key
    }

    /// Returns the key of a team, or `None` if it has not been added.
    pub fn team(&self, name: &str) -> Option<TeamKey> {
        self.team_names.get(name).copied()
    }

    /// Returns the key of a service, or `None` if it has not been added.
    pub fn service(&self, name: &str) -> Option<ServiceKey> {
        self.service_names.get(name).copied()
    }

    /// Returns the upstream under `key`, or `None` if it has been removed.
    pub fn upstream(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(&key)
    }

    /// Returns all upstreams in the order of their keys.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Refuses new requests from now on. Waiting requests are still started.
    pub const fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns whether no request is waiting or running.
    pub fn is_idle(&self) -> bool {
        self.services.iter().all(|s| s.queue.is_empty())
            && self.upstreams.values().all(|u| u.holding.in_use() == 0)
    }

    /// Returns the numbers of waiting and running requests for each service and team
    /// that has any.
    pub fn demands(&self) -> Vec<Demand> {
        let mut demands = Vec::new();
        for (i, service) in (0u32..).zip(&self.services) {
            let waiting: BTreeMap<TeamKey, usize> = service.queue.demands().collect();
            let teams: BTreeSet<TeamKey> = waiting
                .keys()
                .chain(service.running.keys())
                .copied()
                .collect();
            for team in teams {
                demands.push(Demand {
                    service: ServiceKey(i),
                    team,
                    waiting: waiting.get(&team).copied().unwrap_or(0) as u64,
                    running: service.running.get(&team).copied().unwrap_or(0),
                });
            }
        }
        demands
    }

    /// Returns the name of a service.
    pub fn service_name(&self, key: ServiceKey) -> &str {
        &self.services[key.0 as usize].name
    }

    /// Returns the name of a team.
    pub fn team_name(&self, key: TeamKey) -> &str {
        &self.teams[key.0 as usize].name
    }

    /// Returns the slots in use and the slots allotted, summed over all upstreams.
    pub fn slots(&self) -> (u64, u64) {
        self.upstreams.values().fold((0, 0), |(used, allowed), u| {
            (used + u.holding.in_use(), allowed + u.holding.allowed())
        })
    }

    /// Returns whether a request is waiting, for lack of slots or of units.
    pub fn has_queued_requests(&self) -> bool {
        self.services.iter().any(|s| !s.queue.is_empty())
    }

    /// Returns the names of all services in the order of their keys.
    pub fn service_names(&self) -> impl Iterator<Item = (ServiceKey, &str)> {
        (0u32..)
            .zip(&self.services)
            .map(|(i, s)| (ServiceKey(i), s.name.as_str()))
    }

    /// Returns the statistics of each team in the order of their keys.
    pub fn team_stats(&self) -> Vec<TeamStat> {
        (0u32..)
            .zip(&self.teams)
            .map(|(i, t)| TeamStat {
                team: t.name.clone(),
                share: t.share,
                completed: t.completed,
                slot_time: t.slot_time,
                running: t.holding.in_use(),
                allowed: t.holding.allowed(),
                waiting: self
                    .services
                    .iter()
                    .map(|s| s.queue.team_len(TeamKey(i)) as u64)
                    .sum(),
            })
            .collect()
    }

    /// Starts, queues or refuses a request.
    ///
    /// Refuses it with [`Kind::Draining`] while draining, with
    /// [`Kind::DeadlineUnmeetable`] if it is not expected to be answered in time, and
    /// with [`Kind::Overloaded`] if its team's queue is full of requests that rank
    /// before it.
    pub fn submit(&mut self, now: Moment, request: Request) -> Admission {
        if self.draining {
            return refuse(Kind::Draining, Duration::ZERO);
        }
        if now >= request.deadline {
            return refuse(Kind::DeadlineUnmeetable, Duration::ZERO);
        }
        let service = &mut self.services[request.service.0 as usize];
        service.queue.ensure_team(request.team);
        if service.queue.is_empty()
            && let Some(assignment) = self.assign(now, request.service, request.team, None)
        {
            return Admission::Start(assignment);
        }
        if let Some(wait) = self.unmeetable_wait(now, &request) {
            return refuse(Kind::DeadlineUnmeetable, wait);
        }
        self.enqueue(now, request)
    }

    /// Removes a waiting request whose caller has disconnected. The result is whether it
    /// was still waiting.
    pub fn cancel(&mut self, service: ServiceKey, ticket: Ticket) -> bool {
        let service = &mut self.services[service.0 as usize];
        service.queue.remove(ticket).is_some()
    }

    /// Starts all waiting requests for which there is capacity.
    pub fn dispatch(&mut self, now: Moment) -> Vec<(Ticket, Assignment)> {
        let mut started = Vec::new();
        for i in 0..self.services.len() {
            let key = ServiceKey(u32::try_from(i).expect("fewer than 2^32 services"));
            while let Some(next) = self.start_next(now, key) {
                started.push(next);
            }
        }
        started
    }

    /// Starts the next waiting request of one service if there is capacity.
    pub fn start_next(&mut self, now: Moment, key: ServiceKey) -> Option<(Ticket, Assignment)> {
        if now >= self.expiry(self.team_source) {
            return None;
        }
        let teams = &self.teams;
        let service = &self.services[key.0 as usize];
        let (ticket, request) = service
            .queue
            .peek(|team| teams[team.0 as usize].holding.idle() > 0)?;
        let assignment = self.assign(now, key, request.team, None)?;
        self.services[key.0 as usize].queue.remove(ticket);
        Some((ticket, assignment))
    }

    /// Removes and returns the waiting requests that can no longer meet their deadlines.
    pub fn expire(&mut self, now: Moment) -> Vec<Ticket> {
        self.services
            .iter_mut()
            .flat_map(|s| s.queue.expire(now))
            .collect()
    }

    /// Assigns a retry to an upstream other than `avoid`, if there is capacity.
    pub fn retry(
        &mut self,
        now: Moment,
        service: ServiceKey,
        team: TeamKey,
        avoid: UpstreamKey,
    ) -> Option<Assignment> {
        self.assign(now, service, team, Some(avoid))
    }

    /// Ends an assignment: releases its slot and unit, and records the exchange.
    ///
    /// The team was charged the estimated service time at the start. An answered
    /// exchange is charged the time by which it exceeded the present estimate, a failed one
    /// its whole time in addition, and an unsent one nothing more.
    pub fn finish(&mut self, now: Moment, assignment: Assignment, completion: Completion) {
        let elapsed = now.since(assignment.at);
        let team = &mut self.teams[assignment.team.0 as usize];
        team.holding.release();
        let share = team.share;
        if completion != Completion::Unsent {
            team.slot_time += elapsed;
        }
        if completion == Completion::Answered {
            team.completed += 1;
        }
        self.settle_upstream(now, assignment.upstream, completion);
        let service = &mut self.services[assignment.service.0 as usize];
        if let Some(running) = service.running.get_mut(&assignment.team) {
            *running = running.saturating_sub(1);
        }
        service.running.retain(|_, running| *running > 0);
        let queue = &mut service.queue;
        match completion {
            Completion::Answered => {
                let estimate = queue.estimate(now);
                queue.charge(assignment.team, elapsed.saturating_sub(estimate), share);
                queue.sample(now, elapsed);
            }
            Completion::Failed => queue.charge(assignment.team, elapsed, share),
            Completion::Unsent => {}
        }
    }

    fn settle_upstream(&mut self, now: Moment, key: UpstreamKey, completion: Completion) {
        let Some(upstream) = self.upstreams.get_mut(&key) else {
            return;
        };
        upstream.holding.release();
        match completion {
            Completion::Answered => upstream.record_success(),
            Completion::Failed => upstream.record_failure(now),
            Completion::Unsent => {}
        }
        self.refresh_index(key);
    }

    /// Suspends an upstream before the exchange with it has ended.
    pub fn suspend(&mut self, now: Moment, key: UpstreamKey) {
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            upstream.record_failure(now);
        }
    }

    /// Takes one unit of the team's limit and one slot of an upstream, if both are idle.
    fn assign(
        &mut self,
        now: Moment,
        service: ServiceKey,
        team: TeamKey,
        avoid: Option<UpstreamKey>,
    ) -> Option<Assignment> {
        if now >= self.expiry(self.team_source) || self.teams[team.0 as usize].holding.idle() == 0 {
            return None;
        }
        let upstream = self.choose_upstream(now, service, avoid)?;
        let share = self.teams[team.0 as usize].share;
        self.teams[team.0 as usize].holding.acquire();
        self.change_holding(upstream, |h| {
            h.acquire();
        });
        let state = &mut self.services[service.0 as usize];
        let estimate = state.queue.estimate(now);
        state.queue.charge(team, estimate, share);
        *state.running.entry(team).or_default() += 1;
        Some(Assignment {
            upstream,
            team,
            service,
            at: now,
        })
    }

    /// Chooses an upstream with an idle slot, other than `avoid`. A suspended one is
    /// chosen only if there is no other.
    fn choose_upstream(
        &mut self,
        now: Moment,
        service: ServiceKey,
        avoid: Option<UpstreamKey>,
    ) -> Option<UpstreamKey> {
        let mut expired = Vec::new();
        let mut fallback = None;
        let mut chosen = None;
        for key in self.services[service.0 as usize].index.candidates() {
            let upstream = &self.upstreams[&key];
            if now >= self.expiry(upstream.source) {
                expired.push(key);
                continue;
            }
            if Some(key) == avoid {
                continue;
            }
            if upstream.is_suspended(now) {
                fallback = fallback.or(Some(key));
                continue;
            }
            chosen = Some(key);
            break;
        }
        // Upstreams with an expired allotment are added to the index again when it is
        // renewed.
        for key in expired {
            let upstream = self.upstreams.get_mut(&key).expect("indexed upstream");
            self.services[service.0 as usize].index.remove(upstream);
        }
        chosen.or(fallback)
    }

    /// Returns the expected wait if it would make the request miss its deadline.
    ///
    /// The team is expected to run its share of the service's slots among the teams
    /// with waiting requests. Without slots or an estimate the wait is unknown.
    fn unmeetable_wait(&self, now: Moment, request: &Request) -> Option<Duration> {
        let service = &self.services[request.service.0 as usize];
        let estimate = service.queue.estimate(now);
        if service.allowed == 0 || estimate.is_zero() {
            return None;
        }
        let team_share = u64::from(self.teams[request.team.0 as usize].share);
        let shares: u64 = service
            .queue
            .demands()
            .filter(|&(team, _)| team != request.team)
            .map(|(team, _)| u64::from(self.teams[team.0 as usize].share))
            .sum::<u64>()
            + team_share;
        let slots = service.allowed as f64 * team_share as f64 / shares.max(1) as f64;
        let rounds = service.queue.ahead_of(request) as f64 / slots.max(0.1);
        let wait = estimate.mul_f64(rounds);
        (now + wait + estimate > request.deadline).then_some(wait)
    }

    fn enqueue(&mut self, now: Moment, request: Request) -> Admission {
        let service = &mut self.services[request.service.0 as usize];
        let mut displaced = None;
        if service.queue.team_len(request.team) >= service.queue_limit {
            displaced = service.queue.displace(&request);
            if displaced.is_none() {
                let wait = service.queue.estimate(now) * 2;
                return refuse(Kind::Overloaded, wait);
            }
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        service.queue.push(ticket, request);
        Admission::Wait { ticket, displaced }
    }

    /// Changes the holding of an upstream, and the index and the service's sum with it.
    pub(super) fn change_holding(&mut self, key: UpstreamKey, change: impl FnOnce(&mut Holding)) {
        let upstream = self.upstreams.get_mut(&key).expect("known upstream");
        let service = &mut self.services[upstream.service.0 as usize];
        service.allowed -= upstream.holding.allowed();
        change(&mut upstream.holding);
        service.allowed += upstream.holding.allowed();
        service.index.refresh(key, upstream);
    }

    pub(super) fn refresh_index(&mut self, key: UpstreamKey) {
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            let service = &mut self.services[upstream.service.0 as usize];
            service.index.refresh(key, upstream);
        }
    }
}

const fn refuse(kind: Kind, wait: Duration) -> Admission {
    let retry_after = if wait.as_millis() > RETRY_AFTER_MIN.as_millis() {
        wait
    } else {
        RETRY_AFTER_MIN
    };
    Admission::Refuse(Refusal { kind, retry_after })
}
