//! Responsibilities of the root leader: appointing zone leaders, dividing team limits among
//! zones and replacing lost voters.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Answer, Control, Effect, Origin, Query, Target};
use crate::core::lease::LEASE_DURATION;
use crate::core::registry::{Command, InstanceId, Member, Transfer};
use crate::core::room::Holdings;
use crate::core::share::{UnitClaimant, targets};
use crate::core::time::{Moment, with_clock_margin};
use crate::error::{Error, Kind};
use crate::event::Event;
use crate::wire::{Body, LeaseReply, LeaseRequest, Voter};

/// Origin of calls and proposals whose answer is discarded.
pub const NO_REPLY: Origin = Origin::Local(u64::MAX);
/// Age at which a zone's reported demand expires. A zone repeats its complete
/// demand every 4 s, so single lost reports do not expire it.
const DEMAND_AGE_MAX: Duration = Duration::from_secs(12);
/// Maximum lag in log entries at which a spare may become a voter.
const CAUGHT_UP_LAG_ENTRIES: u64 = 64;

/// Demand of one team in one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamDemand {
    /// Name of the team.
    pub team: String,
    /// Units that the team could use now.
    pub demand: u64,
    /// Counter of units that the zone has returned.
    pub returned: u64,
}

/// Demands of all teams in one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDemand {
    /// Name of the zone.
    pub zone: String,
    /// Term of the zone's leadership.
    pub term: u64,
    /// Teams whose demand has changed, or periodically all teams.
    pub teams: Vec<TeamDemand>,
}

/// Latest demand of a team in a zone that was reported to the root leader.
#[derive(Clone, Copy, Debug)]
pub struct RecordedDemand {
    units: u64,
    recorded_at: Moment,
}

impl Control {
    pub(super) fn tick_root(&mut self, now: Moment) {
        let term = self.replica.is_leader().then(|| self.replica.term());
        if term != self.root_term {
            self.handle_root_change(now, term);
        }
        if term.is_some() && self.replica.holds_lease(now) {
            self.replace_voters(now);
        }
    }

    fn handle_root_change(&mut self, now: Moment, term: Option<u64>) {
        let event = match (term, self.root_term) {
            (Some(term), _) => Event::RootLed { term },
            (None, Some(term)) => Event::RootLost { term },
            (None, None) => return,
        };
        self.effects.push(Effect::Event(event));
        self.root_term = term;
        self.lease_grants.clear();
        self.demands.clear();
        if term.is_none() {
            self.job_proposals.clear();
            self.proposed_jobs = Holdings::default();
            let proposals = std::mem::take(&mut self.proposals);
            for (_, origin, _) in proposals.into_values() {
                let err = Error::new(Kind::NoQuorum, "the root leader changed");
                if let Some(origin) = origin {
                    self.answer(now, origin, Answer::Failed(err));
                }
            }
        }
    }

    // Membership changes by one voter at a time: a caught-up spare is added before
    // the lost voter is removed.
    fn replace_voters(&mut self, now: Moment) {
        let voters = self.replica.voters().to_vec();
        let voter_count = self.identity.founders.len().max(1);
        let is_lost = |v: &Voter| {
            self.replica
                .progress()
                .find(|(id, _)| *id == v.replica)
                .is_some_and(|(_, p)| now.since(p.heard_at) > self.identity.replace_after)
        };
        let lost = voters.iter().find(|v| is_lost(v)).cloned();
        let Some(lost) = lost else {
            return;
        };
        let next = if voters.len() > voter_count {
            voters.into_iter().filter(|v| *v != lost).collect()
        } else {
            let commit = self.replica.commit();
            let spare = self
                .replica
                .progress()
                .filter(|(id, p)| {
                    let is_voter = voters.iter().any(|v| v.replica == *id);
                    let is_recent = now.since(p.heard_at) < super::PEER_SILENCE_MAX;
                    !is_voter
                        && p.durable
                        && is_recent
                        && p.match_index + CAUGHT_UP_LAG_ENTRIES >= commit
                })
                .map(|(id, p)| (self.zone_of_replica(id), id, p.name.clone()))
                .min_by_key(|(zone, id, _)| {
                    let same_zone = voters
                        .iter()
                        .filter(|v| self.zone_of_replica(v.replica) == *zone)
                        .count();
                    (same_zone, *id)
                });
            let Some((_, replica, name)) = spare else {
                return;
            };
            let mut next = voters;
            next.push(Voter { replica, name });
            next
        };
        // Refused while another membership change is in progress; retried on the next
        // tick.
        let _ = self.replica.propose_voters(next);
    }

    fn zone_of_replica(&self, replica: u64) -> Option<String> {
        if replica == self.identity.replica {
            return Some(self.identity.zone.clone());
        }
        self.peers
            .values()
            .find(|state| state.peer.replica == replica)
            .map(|state| state.peer.zone.clone())
    }

    pub(super) fn handle_lease_request(
        &mut self,
        now: Moment,
        from: InstanceId,
        request: &LeaseRequest,
    ) {
        if !self.replica.holds_lease(now) {
            return;
        }
        if request.campaign {
            self.handle_campaign(now, from, request);
            return;
        }
        let leadership = self.registry.zones.get(&request.zone).cloned();
        let granted =
            self.lease_grants
                .renew(now, &request.zone, leadership.as_ref(), from, request.term);
        let reply = LeaseReply {
            zone: request.zone.clone(),
            term: request.term,
            sent_at: request.sent_at,
            granted,
        };
        if from == self.identity.id {
            self.participant
                .handle_lease_reply(reply.term, Moment(reply.sent_at), granted);
        } else {
            self.send(from, Body::LeaseReply(reply));
        }
        if granted && !request.roster.is_empty() {
            let roster: Vec<Member> = request
                .roster
                .iter()
                .filter_map(|&id| self.member(InstanceId(id)))
                .collect();
            self.propose_leadership(now, &request.zone, request.term, from, roster);
        }
    }

    fn handle_campaign(&mut self, now: Moment, from: InstanceId, request: &LeaseRequest) {
        let Some(candidate) = self.member(from) else {
            return;
        };
        let since = self.replica.leader_since().unwrap_or(now);
        let leadership = self.registry.zones.get(&request.zone);
        let may_appoint = self.lease_grants.may_appoint(
            now,
            since,
            &request.zone,
            leadership,
            &candidate,
            request.term,
        );
        if !may_appoint {
            return;
        }
        self.appoint_leader(now, &request.zone, request.term, &candidate);
    }

    fn appoint_leader(&mut self, now: Moment, zone: &str, term: u64, candidate: &Member) {
        let mut roster: Vec<Member> = self.members_of(zone);
        if !roster.iter().any(|m| m.id == candidate.id) {
            roster.push(candidate.clone());
        }
        self.propose_leadership(now, zone, term, candidate.id, roster);
    }

    fn propose_leadership(
        &mut self,
        now: Moment,
        zone: &str,
        seen_term: u64,
        leader: InstanceId,
        roster: Vec<Member>,
    ) {
        self.lease_grants.begin_appointment(zone);
        let command = Command::Lead {
            zone: zone.to_owned(),
            seen_term,
            leader,
            roster,
        };
        self.propose(now, NO_REPLY, &command, Some(zone.to_owned()));
    }

    fn member(&self, id: InstanceId) -> Option<Member> {
        if id == self.identity.id {
            return Some(Member {
                id,
                address: self.identity.address.clone(),
            });
        }
        self.peers.get(&id).map(|state| Member {
            id,
            address: state.peer.address.clone(),
        })
    }

    fn members_of(&self, zone: &str) -> Vec<Member> {
        let own = (self.identity.zone == zone).then_some(self.identity.id);
        let peers = self
            .peers
            .values()
            .filter(|state| state.peer.zone == zone)
            .map(|state| state.peer.id);
        own.into_iter()
            .chain(peers)
            .filter_map(|id| self.member(id))
            .collect()
    }

    /// Appoints a new leader for a zone on an operator's request, regardless of the
    /// current roster.
    pub(super) fn replace_zone(&mut self, now: Moment, origin: Origin, zone: &str) {
        let Some(leadership) = self.registry.zones.get(zone).cloned() else {
            let err = Error::new(Kind::NotFound, format!("no zone {zone}"));
            self.answer(now, origin, Answer::Failed(err));
            return;
        };
        let roster = self.members_of(zone);
        let Some(first) = roster.first().cloned() else {
            let message = format!("no instance of zone {zone} can be reached");
            self.answer(
                now,
                origin,
                Answer::Failed(Error::new(Kind::NoQuorum, message)),
            );
            return;
        };
        let since = self.replica.leader_since().unwrap_or(now);
        if !self.replica.holds_lease(now) || now < since + with_clock_margin(LEASE_DURATION) {
            let err = Error::new(
                Kind::NoQuorum,
                "the root leader has not established its lease; try again",
            );
            self.answer(now, origin, Answer::Failed(err));
            return;
        }
        self.lease_grants.begin_appointment(zone);
        let command = Command::Lead {
            zone: zone.to_owned(),
            seen_term: leadership.term,
            leader: first.id,
            roster,
        };
        self.propose(now, origin, &command, Some(zone.to_owned()));
    }

    /// Records a zone's demand, proposes transfers of units to the zone and answers
    /// with the units that it should return.
    pub(super) fn handle_zone_demand(&mut self, now: Moment, zone_demand: &ZoneDemand) -> Answer {
        if !self.replica.holds_lease(now) {
            return Answer::Failed(Error::new(
                Kind::NoQuorum,
                "this instance is not the root leader",
            ));
        }
        let mut transfers = Vec::new();
        let mut recalls = Vec::new();
        let mut recalls_by_zone: BTreeMap<String, Vec<(String, u64)>> = BTreeMap::new();
        for team_demand in &zone_demand.teams {
            let recorded = RecordedDemand {
                units: team_demand.demand,
                recorded_at: now,
            };
            let key = (zone_demand.zone.clone(), team_demand.team.clone());
            self.demands.insert(key, recorded);
            self.divide_limit(now, zone_demand, team_demand, &mut transfers, &mut recalls);
            for (zone, units) in self.surplus_of_other_zones(now, zone_demand, team_demand) {
                let recall = (team_demand.team.clone(), units);
                recalls_by_zone.entry(zone).or_default().push(recall);
            }
        }
        for (zone, recalls) in recalls_by_zone {
            let query = Query::Return(recalls);
            self.route(now, NO_REPLY, &Target::Zone(zone), query);
        }
        if !transfers.is_empty() {
            self.propose(now, NO_REPLY, &Command::Transfer(transfers), None);
        }
        Answer::Recalls(recalls)
    }

    fn divide_limit(
        &self,
        now: Moment,
        zone_demand: &ZoneDemand,
        team_demand: &TeamDemand,
        transfers: &mut Vec<Transfer>,
        recalls: &mut Vec<(String, u64)>,
    ) {
        let Some(issuer) = self.registry.limits.get(&team_demand.team) else {
            return;
        };
        let zones = &self.registry.zone_names;
        let claimants = self.claimants_for(now, zone_demand, team_demand);
        let Some(index) = self.registry.zone_index(&zone_demand.zone) else {
            return;
        };
        let target = targets(issuer.capacity(), &claimants)[usize::from(index.0)];
        let account = issuer.account(index);
        let balance = account
            .given
            .saturating_sub(account.returned.max(team_demand.returned));
        let mut give = target.saturating_sub(balance).min(issuer.free());
        // Without unmet demand, transfers below an eighth of the target are skipped
        // to save log entries.
        let pressing = team_demand.demand > balance;
        if !pressing && give * 8 < target {
            give = 0;
        }
        if give > 0 || team_demand.returned > account.returned {
            transfers.push(Transfer {
                team: team_demand.team.clone(),
                zone: zone_demand.zone.clone(),
                term: zone_demand.term,
                give,
                returned: team_demand.returned,
            });
        }
        let others_need_units = zones.iter().zip(&claimants).any(|(zone, claimant)| {
            let held = self
                .registry
                .zone_index(zone)
                .map_or(0, |z| issuer.account(z).balance());
            *zone != zone_demand.zone && claimant.demand > held
        });
        let is_new_zone = zones.len() > issuer.accounts().filter(|(_, a)| a.balance() > 0).count();
        if balance > target && (others_need_units || is_new_zone || issuer.excess() > 0) {
            recalls.push((team_demand.team.clone(), balance - target));
        }
    }

    // Units that other zones hold above their targets while this zone lacks units.
    fn surplus_of_other_zones(
        &self,
        now: Moment,
        zone_demand: &ZoneDemand,
        team_demand: &TeamDemand,
    ) -> Vec<(String, u64)> {
        let zones = &self.registry.zone_names;
        let (Some(issuer), Some(index)) = (
            self.registry.limits.get(&team_demand.team),
            self.registry.zone_index(&zone_demand.zone),
        ) else {
            return Vec::new();
        };
        if team_demand.demand <= issuer.account(index).balance() || issuer.free() > 0 {
            return Vec::new();
        }
        let claimants = self.claimants_for(now, zone_demand, team_demand);
        let zone_targets = targets(issuer.capacity(), &claimants);
        zones
            .iter()
            .zip(zone_targets)
            .filter(|(zone, _)| **zone != zone_demand.zone)
            .filter_map(|(zone, target)| {
                let held = issuer.account(self.registry.zone_index(zone)?).balance();
                (held > target).then(|| (zone.clone(), held - target))
            })
            .collect()
    }

    fn claimants_for(
        &self,
        now: Moment,
        zone_demand: &ZoneDemand,
        team_demand: &TeamDemand,
    ) -> Vec<UnitClaimant> {
        let zones = self.registry.zone_names.iter();
        zones
            .map(|zone| UnitClaimant {
                weight: 1,
                demand: if *zone == zone_demand.zone {
                    team_demand.demand
                } else {
                    self.recorded_demand(now, zone, &team_demand.team)
                },
                takes_surplus: true,
            })
            .collect()
    }

    fn recorded_demand(&self, now: Moment, zone: &str, team: &str) -> u64 {
        self.demands
            .get(&(zone.to_owned(), team.to_owned()))
            .filter(|recorded| now.since(recorded.recorded_at) < DEMAND_AGE_MAX)
            .map_or(0, |recorded| recorded.units)
    }
}
