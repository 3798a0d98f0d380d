//! The entry instance's side of allotments: reports demand to the zone leaders and
//! applies their allotments to the gate.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::allocator::ALLOTMENT_LEASE;
use crate::core::escrow::ResourceId;
use crate::core::gate::{Announcement, Gate, SourceKey, resource_of};
use crate::core::registry::InstanceId;
use crate::core::time::Moment;
use crate::wire;

/// Interval of reports while no requests wait.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of reports while requests wait.
const REPORT_QUEUED_INTERVAL: Duration = Duration::from_millis(40);
/// Waiting time of requests after which other zones are asked for slots.
const REMOTE_AFTER: Duration = Duration::from_millis(300);

/// Initial balances that are reported when accounts are reopened.
#[derive(Clone, Debug, Default)]
struct OpeningBalances {
    slots: Vec<(ResourceId, u64)>,
    units: Vec<(ResourceId, u64)>,
    kept_idle: bool,
}

/// State of the exchange with the leader of one zone.
#[derive(Debug)]
struct Source {
    key: SourceKey,
    local: bool,
    leader: InstanceId,
    epoch: u64,
    opening: Option<OpeningBalances>,
    number: u64,
    received: u64,
    sent_at: Moment,
    unacked: BTreeMap<ResourceId, (u64, u64)>,
    acked: BTreeMap<ResourceId, u64>,
    applied: u64,
}

/// Exchange of one entry instance with the leaders of all zones.
#[derive(Debug)]
pub struct Agent {
    zone: String,
    sources: BTreeMap<String, Source>,
    queued_since: Option<Moment>,
    leaving: bool,
}

impl Agent {
    /// Creates the agent of an entry instance in `zone`.
    pub const fn new(zone: String) -> Self {
        Self {
            zone,
            sources: BTreeMap::new(),
            queued_since: None,
            leaving: false,
        }
    }

    /// Announces the planned stop in every further report.
    pub const fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Returns the log index that the leader of this instance's zone had applied at
    /// its latest allotment, or 0.
    pub fn zone_applied(&self) -> u64 {
        self.sources.get(&self.zone).map_or(0, |s| s.applied)
    }

    /// Returns the gate's key for the leader of this instance's zone, if known.
    pub fn own_source(&self) -> Option<SourceKey> {
        self.sources.get(&self.zone).map(|s| s.key)
    }

    /// Sets the leader of a zone.
    pub fn set_leader(&mut self, gate: &mut Gate, zone: &str, leader: InstanceId) {
        let next = u16::try_from(self.sources.len()).expect("fewer than 65,536 zones");
        let local = zone == self.zone;
        let source = self
            .sources
            .entry(zone.to_owned())
            .or_insert_with(|| Source {
                key: SourceKey(next),
                local,
                leader,
                epoch: 0,
                opening: None,
                number: 0,
                received: 0,
                sent_at: Moment::ZERO,
                unacked: BTreeMap::new(),
                acked: BTreeMap::new(),
                applied: 0,
            });
        source.leader = leader;
        if local {
            gate.set_team_source(source.key);
        }
    }

    /// Returns the reports due at `now`, each with its receiver.
    pub fn tick(&mut self, now: Moment, gate: &mut Gate) -> Vec<(InstanceId, wire::Report)> {
        let has_queued = gate.has_queued_requests();
        if !has_queued {
            self.queued_since = None;
        } else if self.queued_since.is_none() {
            self.queued_since = Some(now);
        }
        let ask_remote = self
            .queued_since
            .is_some_and(|since| now.since(since) >= REMOTE_AFTER);
        let interval = if has_queued || self.leaving {
            REPORT_QUEUED_INTERVAL
        } else {
            REPORT_INTERVAL
        };
        let zone = self.zone.clone();
        let mut reports = Vec::new();
        for (name, source) in &mut self.sources {
            if now.since(source.sent_at) < interval {
                continue;
            }
            if !source.local && !ask_remote && !gate.return_all_slots(source.key) {
                continue;
            }
            let include_demands = source.local || ask_remote;
            let mut report = source.report(now, gate, include_demands);
            report.zone.clone_from(name);
            report.from_zone.clone_from(&zone);
            report.leaving = self.leaving;
            reports.push((source.leader, report));
        }
        reports
    }

    /// Applies an allotment from the leader of a zone. Balances and recalls of another
    /// epoch are ignored.
    pub fn apply_allotment(&mut self, gate: &mut Gate, now: Moment, allotment: &wire::Allotment) {
        let Some(source) = self.sources.get_mut(&allotment.zone) else {
            return;
        };
        for info in &allotment.upstreams {
            apply_upstream(gate, source, &allotment.zone, info);
        }
        if allotment.reopen {
            source.reopen(now, gate, allotment.epoch);
            return;
        }
        if allotment.epoch != source.epoch {
            return;
        }
        source.opening = None;
        source.received = source.received.max(allotment.number);
        source.applied = source.applied.max(allotment.applied);
        gate.renew(source.key, Moment(allotment.sent_at) + ALLOTMENT_LEASE);
        for balance in &allotment.slots {
            gate.receive_slots(ResourceId(balance.resource), balance.given);
        }
        if source.local {
            gate.receive_unit_balances(&allotment.units);
        }
        source.acknowledge(allotment.report_number);
        for recall in &allotment.recall_slots {
            gate.return_slots(source.key, &recall.name, recall.units);
        }
        for recall in &allotment.recall_units {
            if let Some(team) = gate.team(&recall.name) {
                gate.return_units(team, recall.units);
            }
        }
        if !allotment.recall_slots.is_empty() || !allotment.recall_units.is_empty() {
            // Reports the returned units at the next tick instead of waiting for the
            // regular interval.
            source.sent_at = Moment::ZERO;
        }
    }
}

impl Source {
    fn reopen(&mut self, now: Moment, gate: &mut Gate, epoch: u64) {
        if self.epoch == epoch {
            return;
        }
        self.epoch = epoch;
        self.received = 0;
        self.number = 0;
        self.unacked.clear();
        self.acked.clear();
        let kept_idle = now < gate.expiry(self.key);
        let slots = gate.reopen_slots(now, self.key);
        let units = if self.local {
            gate.reopen_units(now)
        } else {
            Vec::new()
        };
        self.opening = Some(OpeningBalances {
            slots,
            units,
            kept_idle,
        });
        self.sent_at = Moment::ZERO;
    }

    fn report(&mut self, now: Moment, gate: &mut Gate, include_demands: bool) -> wire::Report {
        self.sent_at = now;
        self.number += 1;
        let mut report = wire::Report {
            epoch: self.epoch,
            sent_at: now.0,
            received: self.received,
            number: self.number,
            ..wire::Report::default()
        };
        if include_demands {
            report.demands = demands(gate);
        }
        if let Some(OpeningBalances {
            slots,
            units,
            kept_idle,
        }) = &self.opening
        {
            report.opening = true;
            report.kept_idle = *kept_idle;
            report.slots = slots
                .iter()
                .map(|&(resource, given)| opening_balance(resource, given))
                .collect();
            report.units = units
                .iter()
                .map(|&(resource, given)| opening_balance(resource, given))
                .collect();
            return report;
        }
        let slots: Vec<(ResourceId, u64)> = gate
            .slot_accounts(self.key)
            .into_iter()
            .map(|(resource, account)| (resource, account.returned))
            .collect();
        report.slots = self.changed_balances(&slots);
        if self.local {
            let units: Vec<(ResourceId, u64)> = gate
                .unit_accounts()
                .into_iter()
                .map(|(resource, account)| (resource, account.returned))
                .collect();
            report.units = self.changed_balances(&units);
        }
        report
    }

    fn changed_balances(&mut self, counters: &[(ResourceId, u64)]) -> Vec<wire::Balance> {
        let mut balances = Vec::new();
        for &(resource, returned) in counters {
            if self.acked.get(&resource).copied().unwrap_or(0) == returned {
                continue;
            }
            let number = self.number;
            let unacked = self.unacked.entry(resource).or_insert((returned, number));
            if unacked.0 != returned {
                *unacked = (returned, number);
            }
            balances.push(wire::Balance {
                resource: resource.0,
                given: 0,
                returned,
            });
        }
        balances
    }

    fn acknowledge(&mut self, answered: u64) {
        let acked = &mut self.acked;
        self.unacked.retain(|&resource, &mut (returned, number)| {
            if number <= answered {
                acked.insert(resource, returned);
                return false;
            }
            true
        });
    }
}

fn apply_upstream(gate: &mut Gate, source: &Source, zone: &str, info: &wire::UpstreamInfo) {
    let Ok(address) = info.address.parse() else {
        return;
    };
    let announcement = Announcement {
        name: info.name.clone(),
        incarnation: info.incarnation,
        service: info.service.clone(),
        zone: zone.to_owned(),
        address,
        slots: info.slots,
        connections: info.connections,
    };
    let resource = resource_of(&announcement);
    gate.put_upstream(announcement, source.key, !source.local);
    gate.set_leaving(resource, info.leaving);
    if info.leaving {
        gate.return_upstream(resource);
    }
}

fn demands(gate: &Gate) -> Vec<wire::Demand> {
    gate.demands()
        .into_iter()
        .map(|d| wire::Demand {
            service: gate.service_name(d.service).to_owned(),
            team: gate.team_name(d.team).to_owned(),
            waiting: d.waiting,
            running: d.running,
        })
        .collect()
}

const fn opening_balance(resource: ResourceId, given: u64) -> wire::Balance {
    wire::Balance {
        resource: resource.0,
        given,
        returned: 0,
    }
}
