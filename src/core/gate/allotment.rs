//! Slots and units that zone leaders have allotted to this entry instance.

use std::collections::{BTreeSet, HashMap};

use super::{
    Announcement, DEFAULT_MAX_QUEUED_REQUESTS, Gate, SourceKey, TeamKey, Upstream, UpstreamKey,
    resource_of,
};
use crate::core::escrow::{Account, Holding, ResourceId};
use crate::core::time::Moment;
use crate::wire::Balance;

impl Gate {
    /// Extends the lease on what `source` has allotted to `until`. A time before its
    /// present expiry is ignored.
    pub fn renew(&mut self, source: SourceKey, until: Moment) {
        let at = usize::from(source.0);
        if self.expiries.len() <= at {
            self.expiries.resize(at + 1, Moment::ZERO);
        }
        if until <= self.expiries[at] {
            return;
        }
        self.expiries[at] = until;
        for key in self.upstreams_of(source) {
            self.refresh_index(key);
        }
    }

    /// Returns when the lease on what `source` has allotted expires.
    pub fn expiry(&self, source: SourceKey) -> Moment {
        self.expiries
            .get(usize::from(source.0))
            .copied()
            .unwrap_or_default()
    }

    /// Sets the zone whose leader allots the units of team limits.
    pub const fn set_team_source(&mut self, source: SourceKey) {
        self.team_source = source;
    }

    /// Adds an upstream, or updates the announcement of a known one.
    pub fn put_upstream(
        &mut self,
        announcement: Announcement,
        source: SourceKey,
        remote: bool,
    ) -> UpstreamKey {
        let service = self.put_service(&announcement.service, DEFAULT_MAX_QUEUED_REQUESTS);
        let resource = resource_of(&announcement);
        if let Some(&key) = self.resources.get(&resource) {
            let upstream = self
                .upstreams
                .get_mut(&key)
                .expect("resource of an upstream");
            upstream.announcement = announcement;
            return key;
        }
        let key = UpstreamKey(self.next_upstream);
        self.next_upstream += 1;
        let mut upstream = Upstream::new(announcement, service, source, remote);
        if let Some((_, account)) = self.retired.remove(&resource) {
            upstream.holding = Holding::resumed(account);
        }
        self.resources.insert(resource, key);
        self.upstreams.insert(key, upstream);
        key
    }

    /// Sets whether an upstream is leaving. A leaving one is sent no new requests.
    pub fn set_leaving(&mut self, resource: ResourceId, leaving: bool) {
        if let Some(&key) = self.resources.get(&resource) {
            if let Some(upstream) = self.upstreams.get_mut(&key) {
                upstream.leaving = leaving;
            }
            self.refresh_index(key);
        }
    }

    /// Removes leaving upstreams of which no slots are held or in use.
    ///
    /// Their counters are kept until the accounts are reopened, since the issuer
    /// continues from them if the same incarnation returns.
    pub fn remove_drained_upstreams(&mut self) {
        let idle: Vec<UpstreamKey> = self
            .upstreams
            .iter()
            .filter(|(_, u)| u.leaving && u.holding.allowed() == 0 && u.holding.in_use() == 0)
            .map(|(&key, _)| key)
            .collect();
        for key in idle {
            let mut upstream = self.upstreams.remove(&key).expect("known key");
            let service = &mut self.services[upstream.service.0 as usize];
            service.index.remove(&mut upstream);
            self.resources.remove(&upstream.resource());
            self.retired.insert(
                upstream.resource(),
                (upstream.source, upstream.holding.account()),
            );
        }
    }

    /// Records the total of slots of an upstream given since its account was opened.
    pub fn receive_slots(&mut self, resource: ResourceId, given: u64) {
        let Some(&key) = self.resources.get(&resource) else {
            return;
        };
        self.change_holding(key, |holding| holding.receive(given));
    }

    /// Records the totals of team units given since their accounts were opened.
    pub fn receive_unit_balances(&mut self, balances: &[Balance]) {
        let by_resource: HashMap<u64, u64> =
            balances.iter().map(|b| (b.resource, b.given)).collect();
        if by_resource.is_empty() {
            return;
        }
        for team in &mut self.teams {
            if let Some(&given) = by_resource.get(&team.resource.0) {
                team.holding.receive(given);
            }
        }
        // Balances may arrive before the configuration that adds their team.
        for balance in balances {
            self.pending_units
                .insert(ResourceId(balance.resource), balance.given);
        }
        let known: BTreeSet<ResourceId> = self.teams.iter().map(|t| t.resource).collect();
        self.pending_units
            .retain(|resource, _| !known.contains(resource));
    }

    /// Reopens all slot accounts of `source` and returns the opening balances. Idle
    /// slots are kept only if the allotment has not expired, since another entry
    /// instance may hold them after that; slots in use are always kept.
    pub fn reopen_slots(&mut self, now: Moment, source: SourceKey) -> Vec<(ResourceId, u64)> {
        let keep = now < self.expiry(source);
        self.retired.retain(|_, (of, _)| *of != source);
        let mut opening = Vec::new();
        for key in self.upstreams_of(source) {
            self.change_holding(key, |h| *h = reopened(*h, keep));
            let upstream = &self.upstreams[&key];
            if upstream.holding.allowed() > 0 {
                opening.push((upstream.resource(), upstream.holding.allowed()));
            }
        }
        opening
    }

    /// Reopens all team unit accounts by the rules of [`Gate::reopen_slots`].
    pub fn reopen_units(&mut self, now: Moment) -> Vec<(ResourceId, u64)> {
        let keep = now < self.expiry(self.team_source);
        self.pending_units.clear();
        let mut opening = Vec::new();
        for team in &mut self.teams {
            team.holding = reopened(team.holding, keep);
            if team.holding.allowed() > 0 {
                opening.push((team.resource, team.holding.allowed()));
            }
        }
        opening
    }

    pub(super) fn upstreams_of(&self, source: SourceKey) -> Vec<UpstreamKey> {
        self.upstreams
            .iter()
            .filter(|(_, u)| u.source == source)
            .map(|(&key, _)| key)
            .collect()
    }

    /// Returns up to `units` idle slots of a service to the leader of `source`.
    pub fn return_slots(&mut self, source: SourceKey, service: &str, units: u64) {
        let Some(service) = self.service(service) else {
            return;
        };
        let mut left = units;
        let keys: Vec<UpstreamKey> = self
            .upstreams
            .iter()
            .filter(|(_, u)| u.source == source && u.service == service && u.holding.idle() > 0)
            .map(|(&key, _)| key)
            .collect();
        for key in keys {
            if left == 0 {
                break;
            }
            self.change_holding(key, |h| left -= h.give_back(left));
        }
    }

    /// Returns all idle slots to the leader of `source`. The result is whether any slots
    /// were held before.
    pub fn return_all_slots(&mut self, source: SourceKey) -> bool {
        let mut held = false;
        for key in self.upstreams_of(source) {
            let before = self.upstreams[&key].holding.allowed();
            self.change_holding(key, |h| {
                h.give_back(u64::MAX);
            });
            held |= before > 0;
        }
        held
    }

    /// Returns all idle slots of one upstream.
    pub fn return_upstream(&mut self, resource: ResourceId) {
        if let Some(&key) = self.resources.get(&resource) {
            self.change_holding(key, |h| {
                h.give_back(u64::MAX);
            });
        }
    }

    /// Returns up to `units` idle units of a team's limit.
    pub fn return_units(&mut self, team: TeamKey, units: u64) {
        self.teams[team.0 as usize].holding.give_back(units);
    }

    /// Returns all idle slots and units, before a planned shutdown.
    pub fn return_all(&mut self) {
        let keys: Vec<UpstreamKey> = self.upstreams.keys().copied().collect();
        for key in keys {
            self.change_holding(key, |h| {
                h.give_back(u64::MAX);
            });
        }
        for team in &mut self.teams {
            team.holding.give_back(u64::MAX);
        }
    }

    /// Returns the slot accounts of `source`.
    pub fn slot_accounts(&self, source: SourceKey) -> Vec<(ResourceId, Account)> {
        self.upstreams
            .values()
            .filter(|u| u.source == source)
            .map(|u| (u.resource(), u.holding.account()))
            .collect()
    }

    /// Returns the team unit accounts.
    pub fn unit_accounts(&self) -> Vec<(ResourceId, Account)> {
        self.teams
            .iter()
            .map(|t| (t.resource, t.holding.account()))
            .collect()
    }
}

const fn reopened(holding: Holding, keep_idle: bool) -> Holding {
    let units = if keep_idle {
        holding.allowed()
    } else {
        holding.in_use()
    };
    Holding::opened_with(units, holding.in_use())
}
