//! Allocation of capacity by a zone leader: how many slots of each upstream and how
//! many units of each team's limit each entry instance may use.

mod division;
mod expiry;
mod host;
mod reports;

use std::collections::BTreeMap;
use std::time::Duration;

pub use host::{Heartbeat, Host, Seen};

use crate::core::escrow::{Cell, Issuer};
use crate::core::fleet::WORKER_LEASE;
use crate::core::gate::{Announcement, cell_of};
use crate::core::registry::InstanceId;
use crate::core::time::{Moment, with_clock_margin};
use crate::error::{Error, Kind, Result};
use crate::event::Event;
use crate::util::cell_named;
use crate::wire;

/// Time for which an entry instance may use an allotment, on its own clock.
pub const ALLOTMENT_TERM: Duration = Duration::from_millis(1_000);
/// Shortest interval between divisions of the capacity on reports; a tick always divides.
const DIVIDE_EVERY: Duration = Duration::from_millis(50);
/// Time without a heartbeat after which an upstream is sent no new requests.
pub const SILENT_AFTER: Duration = Duration::from_millis(2_500);
/// Time without a heartbeat after which an upstream is removed, once no holder has any
/// of its slots.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Holder of the units that tasks placed in the zone use.
pub const FLEET: InstanceId = InstanceId(0);

/// Units of one team's limit in this zone.
#[derive(Debug)]
struct Units {
    issuer: Issuer<InstanceId>,
    share: u32,
    returned: u64,
    owed: u64,
    tasks: u64,
}

/// State of one entry instance that holds slots and units.
#[derive(Debug)]
struct Holder {
    epoch: u64,
    open: bool,
    local: bool,
    leaving: bool,
    heard: Moment,
    number: u64,
    report: u64,
    demands: Vec<wire::Demand>,
    dirty_slots: BTreeMap<Cell, u64>,
    dirty_units: BTreeMap<String, u64>,
    dirty_hosts: BTreeMap<Cell, u64>,
    recall_slots: BTreeMap<String, u64>,
    recall_units: BTreeMap<String, u64>,
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
struct Linger {
    expired_at: Moment,
    until: Moment,
}

/// Allocation state of a zone leader, kept while it leads.
#[derive(Debug)]
pub struct Allocator {
    zone: String,
    term: u64,
    taken_at: Moment,
    first: bool,
    run_limit: Duration,
    hosts: BTreeMap<Cell, Host>,
    names: BTreeMap<String, Cell>,
    retired: BTreeMap<Cell, Issuer<InstanceId>>,
    units: BTreeMap<String, Units>,
    unit_names: BTreeMap<Cell, String>,
    holders: BTreeMap<InstanceId, Holder>,
    lingering: BTreeMap<InstanceId, Linger>,
    sessions: u64,
    divide_at: Moment,
}

impl Allocator {
    /// Returns the state of a leader elected at `now`. `first` marks the first term of a
    /// zone, which has no earlier leader whose allotments could still be in use.
    /// `run_limit` is the longest time that work continues after its holder was lost.
    pub const fn new(
        zone: String,
        term: u64,
        first: bool,
        now: Moment,
        run_limit: Duration,
    ) -> Self {
        Self {
            zone,
            term,
            taken_at: now,
            first,
            run_limit,
            hosts: BTreeMap::new(),
            names: BTreeMap::new(),
            retired: BTreeMap::new(),
            units: BTreeMap::new(),
            unit_names: BTreeMap::new(),
            holders: BTreeMap::new(),
            lingering: BTreeMap::new(),
            sessions: 0,
            divide_at: now,
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
    pub fn hosts(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values()
    }

    /// Sets a team's share, and the units of its limit that the zone holds, by the
    /// counters of the zone's account in the registry.
    pub fn set_units(&mut self, team: &str, share: u32, given: u64, returned: u64) {
        let units = self.units.entry(team.to_owned()).or_insert_with(|| Units {
            issuer: Issuer::new(0),
            share,
            returned,
            owed: 0,
            tasks: 0,
        });
        units.share = share;
        units.returned = units.returned.max(returned);
        units
            .issuer
            .set_capacity(given.saturating_sub(units.returned));
        self.unit_names.insert(cell_named(team), team.to_owned());
    }

    // Holders unknown to this leader may use units given by earlier ones until their
    // allotments have expired and their requests and tasks have ended. Until then no
    // units are given.
    fn units_clear(&self, now: Moment) -> bool {
        let longest = self.run_limit.max(WORKER_LEASE);
        self.first || now >= self.safe_at() + with_clock_margin(longest)
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
                demand: requests.get(team.as_str()).copied().unwrap_or(0) + units.tasks,
                capacity: units.issuer.capacity(),
                returned: units.returned,
            })
            .collect()
    }

    /// Sets how many units each team could use for tasks now. Teams that are not listed
    /// could use none.
    pub fn set_task_demands(&mut self, demands: &BTreeMap<String, u64>) {
        for (team, units) in &mut self.units {
            units.tasks = demands.get(team).copied().unwrap_or(0);
        }
    }

    /// Reserves up to `units` of a team's limit for tasks and returns how many.
    pub fn take_units(&mut self, now: Moment, team: &str, units: u64) -> u64 {
        if !self.units_clear(now) {
            return 0;
        }
        self.units
            .get_mut(team)
            .map_or(0, |u| u.issuer.give(FLEET, units))
    }

    /// Releases units of a team's limit that tasks no longer use.
    pub fn put_units(&mut self, team: &str, units: u64) {
        if let Some(u) = self.units.get_mut(team) {
            let account = u.issuer.account(FLEET);
            u.issuer.settle(FLEET, account.returned + units);
        }
    }

    /// Reserves units for tasks that were found running, even above the zone's units.
    pub fn adopt_units(&mut self, team: &str, units: u64) {
        if let Some(u) = self.units.get_mut(team) {
            let held = u.issuer.account(FLEET).balance();
            u.issuer.adopt(FLEET, held + units);
        }
    }

    /// Records an upstream's heartbeat. Returns an event if the upstream is new or has
    /// begun to leave.
    ///
    /// # Errors
    ///
    /// Fails with [`Kind::BadAnnouncement`] if the announcement is invalid, is for another
    /// zone, or conflicts with a newer incarnation or another live upstream of its name.
    pub fn announce(&mut self, now: Moment, beat: &Heartbeat) -> Result<Option<Event>> {
        host::check(&beat.announcement)?;
        if beat.announcement.zone != self.zone {
            let message = format!("this leader serves zone {}", self.zone);
            return Err(Error::new(Kind::BadAnnouncement, message));
        }
        let cell = cell_of(&beat.announcement);
        let name = beat.announcement.name.clone();
        if let Some(old) = self.names.get(&name).copied()
            && old != cell
        {
            self.supersede(now, old, &beat.announcement)?;
        }
        self.names.insert(name, cell);
        let limit = beat.announcement.slots.min(beat.announcement.connections);
        let retired = &mut self.retired;
        let is_new = !self.hosts.contains_key(&cell);
        let host = self.hosts.entry(cell).or_insert_with(|| {
            let issuer = retired.remove(&cell);
            let issuer = issuer.unwrap_or_else(|| Issuer::new(u64::from(limit)));
            Host::new(beat.announcement.clone(), issuer, now)
        });
        if host.announcement().address != beat.announcement.address {
            let message = "this name and incarnation are announced from another address";
            return Err(Error::new(Kind::BadAnnouncement, message));
        }
        let changed = host.take(now, beat);
        if changed || is_new {
            self.mark_host(cell);
        }
        let upstream = beat.announcement.name.clone();
        let event = match (is_new, changed && beat.leaving) {
            (true, _) => Some(Event::UpstreamUp { upstream }),
            (_, true) => Some(Event::UpstreamLeaving { upstream }),
            _ => None,
        };
        if let Some(running) = &beat.running {
            let counted_after = beat.seen.filter(|seen| seen.term == self.term);
            self.settle_lingering(now, cell, running, counted_after.map(|seen| seen.at));
        }
        Ok(event)
    }

    /// Sets how many units of a team the zone must return to the pool of the root group,
    /// and returns the free ones. The rest is recalled from holders.
    pub fn recall(&mut self, now: Moment, team: &str, units: u64) {
        if let Some(state) = self.units.get_mut(team) {
            state.owed = units.min(state.issuer.capacity());
        }
        self.return_owed(now);
    }

    /// Returns free units to the pool of the root group, up to what it has recalled.
    pub fn return_owed(&mut self, now: Moment) {
        if !self.units_clear(now) {
            return;
        }
        for units in self.units.values_mut() {
            let free = units.issuer.free().min(units.owed);
            units.owed -= free;
            units.returned += free;
            units.issuer.set_capacity(units.issuer.capacity() - free);
        }
    }

    /// Retires the previous incarnation of an upstream that was restarted.
    fn supersede(&mut self, now: Moment, old: Cell, new: &Announcement) -> Result<()> {
        let Some(host) = self.hosts.get_mut(&old) else {
            return Ok(());
        };
        let known = host.announcement();
        if new.incarnation < known.incarnation {
            let message = format!("newer incarnation {} is known", known.incarnation);
            return Err(Error::new(Kind::BadAnnouncement, message));
        }
        let alive = !host.is_leaving() && now.since(host.heard()) < SILENT_AFTER;
        if alive && new.address != known.address {
            let message = format!("{} announces from {}", known.name, known.address);
            return Err(Error::new(Kind::BadAnnouncement, message));
        }
        host.leave();
        self.mark_host(old);
        Ok(())
    }

    /// Expires silent holders and upstreams, divides the capacity, and returns the
    /// allotments to be sent before the next report of their holders.
    pub fn tick(&mut self, now: Moment) -> Vec<(InstanceId, wire::Allotment)> {
        self.expire_holders(now);
        self.expire_hosts(now);
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
    pub fn may_give(&self, now: Moment) -> bool {
        self.first || now >= self.safe_at()
    }

    fn safe_at(&self) -> Moment {
        self.taken_at + with_clock_margin(ALLOTMENT_TERM)
    }

    fn mark_host(&mut self, cell: Cell) {
        for holder in self.holders.values_mut() {
            holder.dirty_hosts.insert(cell, holder.number + 1);
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

const fn balance(cell: Cell, given: u64, returned: u64) -> wire::Balance {
    wire::Balance {
        cell: cell.0,
        given,
        returned,
    }
}
