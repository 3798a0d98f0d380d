//! Responsibilities of a zone's leader and of the members of its roster.

use std::time::Duration;

use super::root::{NO_REPLY, TeamDemand, ZoneDemand};
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
const DEMAND_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of demand reports while a team lacks units.
const PRESSING_DEMAND_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a zone reports the demand of all teams.
const FULL_DEMAND_REPORT_INTERVAL: Duration = Duration::from_secs(4);
/// Maximum age of the known root group state at which the root group counts as
/// reachable.
const ROOT_HEARD_MAX: Duration = Duration::from_millis(2_000);

fn demand_of(demand: &UnitDemand) -> TeamDemand {
    TeamDemand {
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
            .filter(|state| state.peer.zone == self.identity.zone)
            .map(|state| state.peer.id)
            .collect();
        let root_heard = self.root_heard(now);
        for action in self.participant.tick(now, &peers, root_heard) {
            self.perform(now, action);
        }
        self.record_authority_change(now);
        if !self.participant.may_act(now) {
            return;
        }
        let Some(allocator) = &mut self.allocator else {
            return;
        };
        for (to, allotment) in allocator.tick(now) {
            self.send_allotment(now, to, allotment);
        }
        self.report_demand(now);
    }

    fn perform(&mut self, now: Moment, action: Action) {
        let mut request = LeaseRequest {
            zone: self.identity.zone.clone(),
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
            Some(id) if id == self.identity.id => self.handle_lease_request(now, id, &request),
            Some(id) => self.send(id, Body::LeaseRequest(request)),
            None => {}
        }
    }

    pub(super) fn handle_promise_request(
        &mut self,
        now: Moment,
        from: InstanceId,
        request: &LeaseRequest,
    ) {
        if request.zone != self.identity.zone {
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
        let leadership = self.registry.zones.get(&self.identity.zone).cloned();
        let before = self.participant.leadership().cloned();
        self.participant.observe(now, leadership.as_ref());
        let Some(leadership) = leadership else {
            return;
        };
        if before
            .as_ref()
            .is_some_and(|old| old.term == leadership.term)
        {
            self.sync_units();
            return;
        }
        let stays = before
            .as_ref()
            .is_some_and(|old| old.leader == leadership.leader);
        if leadership.leader == self.identity.id && !stays {
            let first = leadership.term == 1;
            let run_limit = self.longest_run_limit();
            let allocator = Allocator::new(
                self.identity.zone.clone(),
                leadership.term,
                first,
                now,
                run_limit,
            );
            self.allocator = Some(allocator);
            self.fleet = Some(Fleet::new(leadership.term, first, now));
            self.synced_job_changes = u64::MAX;
            self.recover_claims(now, before.as_ref());
        } else if leadership.leader != self.identity.id {
            self.allocator = None;
            self.close_fleet(now);
        } else if let Some(allocator) = &mut self.allocator {
            allocator.set_term(leadership.term);
        }
        self.sync_units();
    }

    fn longest_run_limit(&self) -> Duration {
        let services = self.registry.config.services.values();
        services
            .map(|s| s.run_limit)
            .max()
            .unwrap_or(crate::config::Service::default().run_limit)
    }

    fn sync_units(&mut self) {
        let run_limit = self.longest_run_limit();
        let zone = self.registry.zone_index(&self.identity.zone);
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

    fn record_authority_change(&mut self, now: Moment) {
        let may_act = self.participant.may_act(now);
        if may_act == self.had_authority {
            return;
        }
        self.had_authority = may_act;
        let zone = self.identity.zone.clone();
        let term = self.participant.term();
        let event = if may_act {
            Event::ZoneLed { zone, term }
        } else {
            Event::ZoneLost { zone, term }
        };
        self.effects.push(Effect::Event(event));
    }

    fn report_demand(&mut self, now: Moment) {
        if now < self.next_report_at {
            return;
        }
        let Some(allocator) = &mut self.allocator else {
            return;
        };
        allocator.return_recalled(now);
        if let Some(fleet) = &self.fleet {
            allocator.set_task_demands(&fleet.unit_demands());
        }
        let demands = allocator.unit_demands();
        let is_pressing = |d: &UnitDemand| d.demand > d.capacity;
        let every = if demands.iter().any(is_pressing) {
            PRESSING_DEMAND_REPORT_INTERVAL
        } else {
            DEMAND_REPORT_INTERVAL
        };
        self.next_report_at = now + every;
        let all = now.since(self.full_report_at) >= FULL_DEMAND_REPORT_INTERVAL;
        if all {
            self.full_report_at = now;
        }
        let demands: Vec<UnitDemand> = demands
            .into_iter()
            .filter(|d| all || is_pressing(d) || self.reported.get(&d.team) != Some(&demand_of(d)))
            .collect();
        for demand in &demands {
            self.reported.insert(demand.team.clone(), demand_of(demand));
        }
        if demands.is_empty() {
            return;
        }
        let zone_demand = ZoneDemand {
            zone: self.identity.zone.clone(),
            term: allocator.term(),
            teams: demands.iter().map(demand_of).collect(),
        };
        let origin = Origin::Local(super::claims::DEMAND_CALL);
        self.route(now, origin, &Target::Root, Query::Demand(zone_demand));
    }

    pub(super) fn handle_recalls(&mut self, now: Moment, recalls: &[(String, u64)]) {
        if !self.participant.may_act(now) {
            return;
        }
        let Some(allocator) = &mut self.allocator else {
            return;
        };
        for (team, units) in recalls {
            allocator.recall(now, team, *units);
        }
        self.next_report_at = now;
    }

    pub(super) fn handle_heartbeat(&mut self, now: Moment, heartbeat: &Heartbeat) -> Answer {
        if !self.participant.may_act(now) {
            let message = "this instance is not the leader of its zone";
            return Answer::Failed(Error::new(Kind::NoQuorum, message));
        }
        let Some(allocator) = &mut self.allocator else {
            return Answer::Failed(Error::from(Kind::NoQuorum));
        };
        let term = allocator.term();
        match allocator.receive_heartbeat(now, heartbeat) {
            Ok(events) => {
                self.effects.extend(events.into_iter().map(Effect::Event));
                Answer::HeartbeatAccepted(Seen { term, at: now })
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

    pub(super) fn handle_report(&mut self, now: Moment, from: InstanceId, report: &Report) {
        if report.zone != self.identity.zone || !self.participant.may_act(now) {
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
        if to == self.identity.id {
            self.handle_allotment(now, to, &allotment);
        } else {
            self.send(to, Body::Allotment(allotment));
        }
    }

    pub(super) fn handle_allotment(
        &mut self,
        now: Moment,
        from: InstanceId,
        allotment: &Allotment,
    ) {
        if self.zone_leader(&allotment.zone) != Some(from) {
            return;
        }
        let mut gate = self.gate.lock().expect("gate lock");
        self.agent.apply_allotment(&mut gate, now, allotment);
        drop(gate);
        self.effects.push(Effect::Publish);
    }

    pub(super) fn handle_internal_answer(&mut self, now: Moment, call: u64, answer: &Answer) {
        if Origin::Local(call) == NO_REPLY {
            return;
        }
        if call == super::claims::DEMAND_CALL {
            if let Answer::Recalls(recalls) = answer {
                let recalls = recalls.clone();
                self.handle_recalls(now, &recalls);
            }
            return;
        }
        self.handle_claims_answer(now, call, answer);
    }

    pub(super) fn claims_of(&mut self, zone: &str) -> &mut claim::Table {
        self.claims.entry(zone.to_owned()).or_default()
    }
}
