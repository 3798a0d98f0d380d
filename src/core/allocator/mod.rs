//! Allocation of capacity by a zone leader: how many slots of each upstream and how
//! many units of each team's limit each entry instance may use.

mod division;
mod expiry;
mod host;
mod reports;

use std::collections::BTreeMap;
use std::time::Duration;

pub use host::{Heartbeat, Seen, Upstream};

use crate::core::escrow::{Issuer, ResourceId};
use crate::core::fleet::WORKER_LEASE;
use crate::core::gate::{Announcement, resource_of};
use crate::core::registry::InstanceId;
use crate::core::time::{Moment, with_clock_margin};
use crate::error::{Error, Kind, Result};
use crate::event::Event;
use crate::util::resource_id;
use crate::wire;

/// Time for which an entry instance may use an allotment, on its own clock.
pub const ALLOTMENT_LEASE: Duration = Duration::from_millis(1_000);
/// Shortest interval between divisions of the capacity on reports; a tick always divides.
const DIVISION_INTERVAL: Duration = Duration::from_millis(50);
/// Time without a heartbeat after which an upstream is sent no new requests.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time without a heartbeat after which an upstream is removed, once no holder has any
/// of its slots.
const UPSTREAM_RETENTION: Duration = Duration::from_secs(30);
/// Holder of the units that tasks placed in the zone use.
pub const TASK_HOLDER: InstanceId = InstanceId(0);

/// Units of one team's limit in this zone.
#[derive(Debug)]
struct Units {
    issuer: Issuer<InstanceId>,
    share: u32,
    returned: u64,
    /// Units recalled by the pool of the root group that the zone has yet to return.
    recalled: u64,
    /// Units that tasks could use now.
    task_demand: u64,
}

/// State of one entry instance that holds slots and units.
#[derive(Debug)]
struct Holder {
    epoch: u64,
    open: bool,
    local: bool,
    leaving: bool,
    last_heard: Moment,
    last_allotment: u64,
    last_report: u64,
    demands: Vec<wire::Demand>,
    /// Slots, units and upstreams with changes that the holder has not acknowledged, each
    /// with the number of the first allotment that carries its change.
    dirty_slots: BTreeMap<ResourceId, u64>,
    dirty_units: BTreeMap<String, u64>,
    dirty_upstreams: BTreeMap<ResourceId, u64>,
    recall_slots: BTreeMap<String, u64>,
    recall_units: BTreeMap<String, u64>,
    /// Whether an allotment is to be sent before the next report.
    urgent: bool,
    sent_at: u64,
}

impl Holder {
    /// Returns the demands for units of this zone. Entry instances of other zones may
    /// borrow slots here, but use units of their own zone for them.
    fn unit_demands(&self) -> &[wire::Demand] {
        if self.local && !self.leaving {
            &self.demands
        } else {
            &[]
        }
    }
}

/// A lost holder whose accounts stay open until its requests have certainly ended.
#[derive(Clone, Copy, Debug)]
struct LostHolder {
    expired_at: Moment,
    close_at: Moment,
}

/// Allocation state of a zone leader, kept while it leads.
#[derive(Debug)]
pub struct Allocator {
    zone: String,
    term: u64,
    leader_since: Moment,
    first_term: bool,
    run_limit: Duration,
    upstreams: BTreeMap<ResourceId, Upstream>,
    resources_by_name: BTreeMap<String, ResourceId>,
    /// Accounts of upstreams that were removed or have not announced themselves yet.
    retired: BTreeMap<ResourceId, Issuer<InstanceId>>,
    units: BTreeMap<String, Units>,
    teams_by_resource: BTreeMap<ResourceId, String>,
    holders: BTreeMap<InstanceId, Holder>,
    lost_holders: BTreeMap<InstanceId, LostHolder>,
    epochs: u64,
    next_division: Moment,
}

impl Allocator {
    /// Returns the state of a leader elected at `now`. `first_term` marks the first term of a
    /// zone, which has no earlier leader whose allotments could still be in use.
    /// `run_limit` is the longest time that work continues after its holder was lost.
    pub const fn new(
        zone: String,
        term: u64,
        first_term: bool,
        now: Moment,
        run_limit: Duration,
    ) -> Self {
        Self {
            zone,
            term,
            leader_since: now,
            first_term,
            run_limit,
            upstreams: BTreeMap::new(),
            resources_by_name: BTreeMap::new(),
            retired: BTreeMap::new(),
            units: BTreeMap::new(),
            teams_by_resource: BTreeMap::new(),
            holders: BTreeMap::new(),
            lost_holders: BTreeMap::new(),
            epochs: 0,
            next_division: now,
        }
    }

    /// Returns the leadership term.
    pub const fn term(&self) -> u64 {
        self.term
    }

    /// Sets the term after a change of voters under the same leader. Accounts stay open.
    pub const fn set_term(&mut self, term: u64) {
        self.term = term;
    }

    /// Sets the longest time that work continues after its holder was lost.
    pub const fn set_run_limit(&mut self, run_limit: Duration) {
        self.run_limit = run_limit;
    }

    /// Returns the upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Sets a team's share, and the units of its limit that the zone holds, by the
    /// counters of the zone's account in the registry.
    pub fn set_units(&mut self, team: &str, share: u32, given: u64, returned: u64) {
        let units = self.units.entry(team.to_owned()).or_insert_with(|| Units {
            issuer: Issuer::new(0),
            share,
            returned,
            recalled: 0,
            task_demand: 0,
        });
        units.share = share;
        units.returned = units.returned.max(returned);
        units
            .issuer
            .set_capacity(given.saturating_sub(units.returned));
        self.teams_by_resource
            .insert(resource_id(team), team.to_owned());
    }

    // Holders unknown to this leader may use units given by earlier ones until their
    // allotments have expired and their requests and tasks have ended. Until then no
    // units are given.
    fn predecessor_work_ended(&self, now: Moment) -> bool {
        let longest = self.run_limit.max(WORKER_LEASE);
        self.first_term || now >= self.predecessors_expired_at() + with_clock_margin(longest)
    }

    /// Returns the unit demand of each team.
    pub fn unit_demands(&self) -> Vec<UnitDemand> {
        let mut requests: BTreeMap<&str, u64> = BTreeMap::new();
        for demand in self.holders.values().flat_map(Holder::unit_demands) {
            *requests.entry(&demand.team).or_default() += demand.waiting + demand.running;
        }
        self.units
            .iter()
            .map(|(team, units)| UnitDemand {
                team: team.clone(),
                demand: requests.get(team.as_str()).copied().unwrap_or(0) + units.task_demand,
                capacity: units.issuer.capacity(),
                returned: units.returned,
            })
            .collect()
    }

    /// Sets how many units each team could use for tasks now. Teams that are not listed
    /// could use none.
    pub fn set_task_demands(&mut self, demands: &BTreeMap<String, u64>) {
        for (team, units) in &mut self.units {
            units.task_demand = demands.get(team).copied().unwrap_or(0);
        }
    }

    /// Reserves up to `units` of a team's limit for tasks and returns how many.
    pub fn reserve_task_units(&mut self, now: Moment, team: &str, units: u64) -> u64 {
        if !self.predecessor_work_ended(now) {
            return 0;
        }
        self.units
            .get_mut(team)
            .map_or(0, |u| u.issuer.give(TASK_HOLDER, units))
    }

    /// Releases units of a team's limit that tasks no longer use.
    pub fn release_task_units(&mut self, team: &str, units: u64) {
        if let Some(u) = self.units.get_mut(team) {
            let account = u.issuer.account(TASK_HOLDER);
            u.issuer.settle(TASK_HOLDER, account.returned + units);
        }
    }

    /// Reserves units for tasks that were found running, even above the zone's units.
    pub fn adopt_task_units(&mut self, team: &str, units: u64) {
        if let Some(u) = self.units.get_mut(team) {
            let held = u.issuer.account(TASK_HOLDER).balance();
            u.issuer.adopt(TASK_HOLDER, held + units);
        }
    }

    /// Records an upstream's heartbeat. Returns an event if the upstream is new or has
    /// begun to leave.
    ///
    /// # Errors
    ///
    /// Fails with [`Kind::BadAnnouncement`] if the announcement is invalid, is for another
    /// zone, or conflicts with a newer incarnation or another live upstream of its name.
    pub fn receive_heartbeat(
        &mut self,
        now: Moment,
        heartbeat: &Heartbeat,
    ) -> Result<Option<Event>> {
        host::validate(&heartbeat.announcement)?;
        if heartbeat.announcement.zone != self.zone {
            let message = format!("this leader serves zone {}", self.zone);
            return Err(Error::new(Kind::BadAnnouncement, message));
        }
        let resource = resource_of(&heartbeat.announcement);
        let name = heartbeat.announcement.name.clone();
        if let Some(old) = self.resources_by_name.get(&name).copied()
            && old != resource
        {
            self.supersede(now, old, &heartbeat.announcement)?;
        }
        self.resources_by_name.insert(name, resource);
        let limit = heartbeat
            .announcement
            .slots
            .min(heartbeat.announcement.connections);
        let retired = &mut self.retired;
        let is_new = !self.upstreams.contains_key(&resource);
        let state = self.upstreams.entry(resource).or_insert_with(|| {
            let issuer = retired.remove(&resource);
            let issuer = issuer.unwrap_or_else(|| Issuer::new(u64::from(limit)));
            Upstream::new(heartbeat.announcement.clone(), issuer, now)
        });
        if state.announcement().address != heartbeat.announcement.address {
            let message = "this name and incarnation are announced from another address";
            return Err(Error::new(Kind::BadAnnouncement, message));
        }
        let changed = state.update(now, heartbeat);
        if changed || is_new {
            self.mark_upstream_dirty(resource);
        }
        let upstream = heartbeat.announcement.name.clone();
        let event = match (is_new, changed && heartbeat.leaving) {
            (true, _) => Some(Event::UpstreamUp { upstream }),
            (_, true) => Some(Event::UpstreamLeaving { upstream }),
            _ => None,
        };
        if let Some(running) = &heartbeat.running {
            let counted_after = heartbeat.seen.filter(|seen| seen.term == self.term);
            self.reconcile_running(now, resource, running, counted_after.map(|seen| seen.at));
        }
        Ok(event)
    }

    /// Sets how many units of a team the zone must return to the pool of the root group,
    /// and returns the free ones. The rest is recalled from holders.
    pub fn recall(&mut self, now: Moment, team: &str, units: u64) {
        if let Some(state) = self.units.get_mut(team) {
            state.recalled = units.min(state.issuer.capacity());
        }
        self.return_recalled(now);
    }

    /// Returns free units to the pool of the root group, up to what it has recalled.
    pub fn return_recalled(&mut self, now: Moment) {
        if !self.predecessor_work_ended(now) {
            return;
        }
        for units in self.units.values_mut() {
            let free = units.issuer.free().min(units.recalled);
            units.recalled -= free;
            units.returned += free;
            units.issuer.set_capacity(units.issuer.capacity() - free);
        }
    }

    /// Retires the previous incarnation of an upstream that was restarted.
    fn supersede(&mut self, now: Moment, old: ResourceId, new: &Announcement) -> Result<()> {
        let Some(upstream) = self.upstreams.get_mut(&old) else {
            return Ok(());
        };
        let known = upstream.announcement();
        if new.incarnation < known.incarnation {
            let message = format!("newer incarnation {} is known", known.incarnation);
            return Err(Error::new(Kind::BadAnnouncement, message));
        }
        let alive = !upstream.is_leaving() && now.since(upstream.last_heard()) < HEARTBEAT_TIMEOUT;
        if alive && new.address != known.address {
            let message = format!("{} announces from {}", known.name, known.address);
            return Err(Error::new(Kind::BadAnnouncement, message));
        }
        upstream.set_silent();
        self.mark_upstream_dirty(old);
        Ok(())
    }

    /// Expires silent holders and upstreams, divides the capacity, and returns the
    /// allotments to be sent before the next report of their holders.
    pub fn tick(&mut self, now: Moment) -> Vec<(InstanceId, wire::Allotment)> {
        self.expire_holders(now);
        self.expire_upstreams(now);
        self.divide(now, true);
        let urgent: Vec<InstanceId> = self
            .holders
            .iter()
            .filter(|(_, h)| h.open && h.urgent)
            .map(|(&id, _)| id)
            .collect();
        urgent
            .into_iter()
            .map(|id| (id, self.build_allotment(id, 0)))
            .collect()
    }

    /// Returns whether all allotments of earlier leaders have expired, with a margin for
    /// clock drift.
    pub fn predecessors_expired(&self, now: Moment) -> bool {
        self.first_term || now >= self.predecessors_expired_at()
    }

    fn predecessors_expired_at(&self) -> Moment {
        self.leader_since + with_clock_margin(ALLOTMENT_LEASE)
    }

    fn mark_upstream_dirty(&mut self, resource: ResourceId) {
        for holder in self.holders.values_mut() {
            holder
                .dirty_upstreams
                .insert(resource, holder.last_allotment + 1);
            holder.urgent = true;
        }
    }
}

/// Demand of one zone for units of one team's limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnitDemand {
    /// Team name.
    pub team: String,
    /// Units that the team's requests and tasks in the zone could use now.
    pub demand: u64,
    /// Units that the zone holds.
    pub capacity: u64,
    /// Total of units that the zone has returned to the pool of the root group.
    pub returned: u64,
}

const fn balance(resource: ResourceId, given: u64, returned: u64) -> wire::Balance {
    wire::Balance {
        resource: resource.0,
        given,
        returned,
    }
}
