//! Responsibilities of a zone's leader and of the members of its roster.

use std::time::Duration;

use super::root::{NOBODY, Want, ZoneWants};
use super::{Answer, Control, Effect, Origin, Query, Target};
use crate::core::allocator::{Allocator, Heartbeat, Seen, UnitDemand};
use crate::core::claim;
use crate::core::fleet::Fleet;
use crate::core::lease::Action;
use crate::core::registry::InstanceId;
use crate::core::time::Moment;
use crate::error::{Error, Kind};
use crate::event::Event;
use crate::wire::{Allotment, Body, LeaseReply, LeaseRequest, Report};

/// Interval of a zone's demand reports to the root leader.
const WANTS_EVERY: Duration = Duration::from_millis(500);
/// Interval of demand reports while a team lacks units.
const WANTS_PRESSING_EVERY: Duration = Duration::from_millis(100);
/// Interval at which a zone reports the demand of all teams.
const WANTS_ALL_EVERY: Duration = Duration::from_secs(4);
/// Maximum age of the known root group state at which the root group counts as
/// reachable.
const ROOT_HEARD_MAX: Duration = Duration::from_millis(2_000);

fn want_of(demand: &UnitDemand) -> Want {
    Want {
        team: demand.team.clone(),
        demand: demand.demand,
        returned: demand.returned,
    }
}

impl Control {
    pub(super) fn root_heard(&self, now: Moment) -> bool {
        self.fresh.age(now).is_some_and(|age| age < ROOT_HEARD_MAX)
    }

    pub(super) fn tick_zone(&mut self, now: Moment) {
        let peers: Vec<InstanceId> = self
            .peers
            .values()
            .filter(|k| k.peer.zone == self.me.zone)
            .map(|k| k.peer.id)
            .collect();
        let root_heard = self.root_heard(now);
        for action in self.participant.tick(now, &peers, root_heard) {
            self.act(now, action);
        }
        self.settle_authority(now);
        if !self.participant.may_act(now) {
            return;
        }
        let Some(allocator) = &mut self.allocator else {
            return;
        };
        for (to, allotment) in allocator.tick(now) {
            self.send_allotment(now, to, allotment);
        }
        self.report_wants(now);
    }

    fn act(&mut self, now: Moment, action: Action) {
        let mut request = LeaseRequest {
            zone: self.me.zone.clone(),
            sent_at: now.0,
            ..LeaseRequest::default()
        };
        match action {
            Action::Renew { term, roster } => {
                request.term = term;
                request.roster = roster.iter().map(|id| id.0).collect();
                self.ask_root_lease(now, request);
            }
            Action::Campaign { term } => {
                if self.leaving {
                    return;
                }
                request.term = term;
                request.campaign = true;
                self.ask_root_lease(now, request);
            }
            Action::Ask {
                member,
                term,
                has_authority,
            } => {
                request.term = term;
                request.has_authority = has_authority;
                self.send(member, Body::PromiseRequest(request));
            }
        }
    }

    fn ask_root_lease(&mut self, now: Moment, request: LeaseRequest) {
        match self.root_leader() {
            Some(id) if id == self.me.id => self.take_lease_request(now, id, &request),
            Some(id) => self.send(id, Body::LeaseRequest(request)),
            None => {}
        }
    }

    pub(super) fn take_promise_request(
        &mut self,
        now: Moment,
        from: InstanceId,
        request: &LeaseRequest,
    ) {
        if request.zone != self.me.zone {
            return;
        }
        let root_heard = self.root_heard(now);
        let granted =
            self.participant
                .promise(now, from, request.term, request.has_authority, root_heard);
        let reply = LeaseReply {
            zone: request.zone.clone(),
            term: request.term,
            sent_at: request.sent_at,
            granted,
        };
        self.send(from, Body::PromiseReply(reply));
    }

    pub(super) fn observe_leadership(&mut self, now: Moment) {
        let led = self.registry.zones.get(&self.me.zone).cloned();
        let before = self.participant.led().cloned();
        self.participant.observe(now, led.as_ref());
        let Some(led) = led else {
            return;
        };
        if before.as_ref().is_some_and(|old| old.term == led.term) {
            self.sync_units();
            return;
        }
        let stays = before.as_ref().is_some_and(|old| old.leader == led.leader);
        if led.leader == self.me.id && !stays {
            let first = led.term == 1;
            let run_limit = self.longest_run();
            let allocator = Allocator::new(self.me.zone.clone(), led.term, first, now, run_limit);
            self.allocator = Some(allocator);
            self.fleet = Some(Fleet::new(led.term, first, now));
            self.jobs_seen = u64::MAX;
            self.recover_claims(now, before.as_ref());
        } else if led.leader != self.me.id {
            self.allocator = None;
            self.close_fleet(now);
        } else if let Some(allocator) = &mut self.allocator {
            allocator.set_term(led.term);
        }
        self.sync_units();
    }

    fn longest_run(&self) -> Duration {
        let services = self.registry.config.services.values();
        services
            .map(|s| s.run_limit)
            .max()
            .unwrap_or(crate::config::Service::default().run_limit)
    }

    fn sync_units(&mut self) {
        let run_limit = self.longest_run();
        let zone = self.registry.zone_index(&self.me.zone);
        let (Some(allocator), Some(zone)) = (&mut self.allocator, zone) else {
            return;
        };
        allocator.set_run_limit(run_limit);
        for (team, issuer) in &self.registry.limits {
            let share = self.registry.config.teams.get(team).map_or(1, |t| t.share);
            let account = issuer.account(zone);
            allocator.set_units(team, share, account.given, account.returned);
        }
        if let Some(fleet) = &mut self.fleet {
            fleet.configure(&self.registry.config);
        }
    }

    fn settle_authority(&mut self, now: Moment) {
        let may_act = self.participant.may_act(now);
        if may_act == self.acting {
            return;
        }
        self.acting = may_act;
        let zone = self.me.zone.clone();
        let term = self.participant.term();
        let event = if may_act {
            Event::ZoneLed { zone, term }
        } else {
            Event::ZoneLost { zone, term }
        };
        self.effects.push(Effect::Event(event));
    }

    fn report_wants(&mut self, now: Moment) {
        if now < self.wants_at {
            return;
        }
        let Some(allocator) = &mut self.allocator else {
            return;
        };
        allocator.return_owed(now);
        if let Some(fleet) = &self.fleet {
            allocator.set_task_demands(&fleet.unit_demands());
        }
        let demands = allocator.unit_demands();
        let is_pressing = |d: &UnitDemand| d.demand > d.capacity;
        let every = if demands.iter().any(is_pressing) {
            WANTS_PRESSING_EVERY
        } else {
            WANTS_EVERY
        };
        self.wants_at = now + every;
        let all = now.since(self.told_at) >= WANTS_ALL_EVERY;
        if all {
            self.told_at = now;
        }
        let demands: Vec<UnitDemand> = demands
            .into_iter()
            .filter(|d| all || is_pressing(d) || self.told.get(&d.team) != Some(&want_of(d)))
            .collect();
        for demand in &demands {
            self.told.insert(demand.team.clone(), want_of(demand));
        }
        if demands.is_empty() {
            return;
        }
        let wants = ZoneWants {
            zone: self.me.zone.clone(),
            term: allocator.term(),
            wants: demands.iter().map(want_of).collect(),
        };
        let origin = Origin::Local(super::claims::WANTS_CALL);
        self.route(now, origin, &Target::Root, Query::Wants(wants));
    }

    pub(super) fn take_recalls(&mut self, now: Moment, recalls: &[(String, u64)]) {
        if !self.participant.may_act(now) {
            return;
        }
        let Some(allocator) = &mut self.allocator else {
            return;
        };
        for (team, units) in recalls {
            allocator.recall(now, team, *units);
        }
        self.wants_at = now;
    }

    pub(super) fn announce(&mut self, now: Moment, beat: &Heartbeat) -> Answer {
        if !self.participant.may_act(now) {
            let message = "this instance is not the leader of its zone";
            return Answer::Failed(Error::new(Kind::NoQuorum, message));
        }
        let Some(allocator) = &mut self.allocator else {
            return Answer::Failed(Error::from(Kind::NoQuorum));
        };
        let term = allocator.term();
        match allocator.announce(now, beat) {
            Ok(events) => {
                self.effects.extend(events.into_iter().map(Effect::Event));
                Answer::Heard(Seen { term, at: now })
            }
            Err(err) => Answer::Failed(err),
        }
    }

    pub(super) fn confirm_applied(&self, now: Moment, at: u64) -> Answer {
        if self.participant.may_act(now) && self.registry.applied >= at {
            Answer::Done
        } else {
            Answer::Failed(Error::from(Kind::NoQuorum))
        }
    }

    pub(super) fn take_report(&mut self, now: Moment, from: InstanceId, report: &Report) {
        if report.zone != self.me.zone || !self.participant.may_act(now) {
            return;
        }
        let Some(allocator) = &mut self.allocator else {
            return;
        };
        let allotment = allocator.report(now, from, report);
        self.send_allotment(now, from, allotment);
    }

    fn send_allotment(&mut self, now: Moment, to: InstanceId, mut allotment: Allotment) {
        allotment.applied = self.registry.applied;
        if to == self.me.id {
            self.take_allotment(now, to, &allotment);
        } else {
            self.send(to, Body::Allotment(allotment));
        }
    }

    pub(super) fn take_allotment(&mut self, now: Moment, from: InstanceId, allotment: &Allotment) {
        if self.zone_leader(&allotment.zone) != Some(from) {
            return;
        }
        let mut gate = self.gate.lock().expect("gate lock");
        self.agent.take(&mut gate, now, allotment);
        drop(gate);
        self.effects.push(Effect::Publish);
    }

    pub(super) fn take_internal(&mut self, now: Moment, call: u64, answer: &Answer) {
        if Origin::Local(call) == NOBODY {
            return;
        }
        if call == super::claims::WANTS_CALL {
            if let Answer::Recalls(recalls) = answer {
                let recalls = recalls.clone();
                self.take_recalls(now, &recalls);
            }
            return;
        }
        self.take_claims_answer(now, call, answer);
    }

    pub(super) fn claims_of(&mut self, zone: &str) -> &mut claim::Table {
        self.claims.entry(zone.to_owned()).or_default()
    }
}
