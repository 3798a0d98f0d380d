//! Division of slots and units among entry instances by their demands.

use std::collections::BTreeMap;

use super::{Allocator, DIVISION_INTERVAL, Holder, TASK_HOLDER};
use crate::core::escrow::ResourceId;
use crate::core::registry::InstanceId;
use crate::core::share::{Claimant, UnitClaimant, divide, round_down, targets};
use crate::core::time::Moment;

/// Target and present allotment of one holder.
#[derive(Clone, Copy, Debug)]
struct Allocation {
    holder: InstanceId,
    target: u64,
    held: u64,
}

impl Allocation {
    const fn deficit(self) -> u64 {
        self.target.saturating_sub(self.held)
    }

    const fn surplus(self) -> u64 {
        self.held.saturating_sub(self.target)
    }
}

impl Allocator {
    /// Gives free slots and units to holders below their targets and recalls the rest
    /// from holders above theirs. Without `force`, at most once per interval.
    pub(super) fn divide(&mut self, now: Moment, force: bool) {
        if !self.predecessors_expired(now) || (!force && now < self.next_division) {
            return;
        }
        self.next_division = now + DIVISION_INTERVAL;
        for service in self.services() {
            self.divide_slots(&service);
        }
        if !self.predecessor_work_ended(now) {
            return;
        }
        let teams: Vec<String> = self.units.keys().cloned().collect();
        for team in teams {
            self.divide_units(&team);
        }
    }

    fn services(&self) -> Vec<String> {
        let mut services: Vec<String> = self
            .upstreams
            .values()
            .map(|u| u.announcement().service.clone())
            .collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    fn open_holders(&self) -> impl Iterator<Item = (InstanceId, &Holder)> {
        self.holders
            .iter()
            .filter(|(_, h)| h.open)
            .map(|(&id, h)| (id, h))
    }

    fn divide_slots(&mut self, service: &str) {
        let resources: Vec<ResourceId> = self
            .upstreams
            .iter()
            .filter(|(_, u)| u.announcement().service == service && u.is_usable())
            .map(|(&resource, _)| resource)
            .collect();
        let capacity: u64 = resources
            .iter()
            .map(|resource| self.upstreams[resource].issuer().capacity())
            .sum();
        let mut held: BTreeMap<InstanceId, u64> = BTreeMap::new();
        for resource in &resources {
            for (id, account) in self.upstreams[resource].issuer().accounts() {
                *held.entry(id).or_default() += account.balance();
            }
        }
        let demands = self.slot_demands(service, capacity);
        let claimants: Vec<UnitClaimant> = self
            .open_holders()
            .map(|(id, h)| UnitClaimant {
                weight: 1,
                demand: demands.get(&id).copied().unwrap_or(0),
                takes_surplus: h.local && !h.leaving,
            })
            .collect();
        let ids: Vec<InstanceId> = self.open_holders().map(|(id, _)| id).collect();
        let allocations = allocations(capacity, &ids, &claimants, &held);
        self.give_slots(&resources, &allocations);
        let free: u64 = resources
            .iter()
            .map(|resource| self.upstreams[resource].issuer().free())
            .sum();
        let held = |id| {
            resources
                .iter()
                .map(|resource| self.upstreams[resource].issuer().account(id).balance())
                .sum()
        };
        let after: Vec<Allocation> = allocations
            .iter()
            .map(|a| Allocation {
                held: held(a.holder),
                ..*a
            })
            .collect();
        for (id, units) in plan_recalls(free, 0, &after) {
            let holder = self.holders.get_mut(&id).expect("open holder");
            holder.recall_slots.insert(service.to_owned(), units);
            holder.urgent = true;
        }
    }

    /// Divides slots between teams by share, over all holders, and returns the sum that
    /// each holder gets for its teams.
    fn slot_demands(&self, service: &str, capacity: u64) -> BTreeMap<InstanceId, u64> {
        let mut by_team: BTreeMap<&str, Vec<(InstanceId, u64)>> = BTreeMap::new();
        for (id, holder) in self.open_holders().filter(|(_, h)| !h.leaving) {
            for demand in holder.demands.iter().filter(|d| d.service == service) {
                let units = demand.waiting + demand.running;
                by_team.entry(&demand.team).or_default().push((id, units));
            }
        }
        let claimants: Vec<Claimant> = by_team
            .iter()
            .map(|(team, demands)| Claimant {
                weight: f64::from(self.units.get(*team).map_or(1, |u| u.share.max(1))),
                demand: demands.iter().map(|&(_, units)| units as f64).sum(),
            })
            .collect();
        let mut shares: BTreeMap<InstanceId, f64> = BTreeMap::new();
        for (given, (claimant, demands)) in divide(capacity as f64, &claimants)
            .into_iter()
            .zip(claimants.iter().zip(by_team.values()))
        {
            for &(id, units) in demands {
                let part = given * units as f64 / claimant.demand.max(1.0);
                *shares.entry(id).or_default() += part;
            }
        }
        let amounts: Vec<f64> = shares.values().copied().collect();
        let units = round_down(capacity, &amounts);
        shares.into_keys().zip(units).collect()
    }

    fn give_slots(&mut self, resources: &[ResourceId], allocations: &[Allocation]) {
        let count = resources.len();
        // Each holder starts at a different upstream, to spread the load.
        for (index, allocation) in allocations.iter().enumerate() {
            let mut left = allocation.deficit();
            let mut step = 0;
            while left > 0 && step < count {
                let resource = resources[(step + index * count / allocations.len().max(1)) % count];
                step += 1;
                let upstream = self.upstreams.get_mut(&resource).expect("listed upstream");
                // Even parts first; the second pass gives what uneven free slots left.
                let even = left.div_ceil((count - step + 1) as u64);
                let given = upstream.issuer_mut().give(allocation.holder, even);
                left -= given;
                if given > 0 {
                    self.mark_slots_dirty(allocation.holder, resource);
                }
            }
            for &resource in resources {
                if left == 0 {
                    break;
                }
                let upstream = self.upstreams.get_mut(&resource).expect("listed upstream");
                let given = upstream.issuer_mut().give(allocation.holder, left);
                left -= given;
                if given > 0 {
                    self.mark_slots_dirty(allocation.holder, resource);
                }
            }
        }
    }

    fn mark_slots_dirty(&mut self, id: InstanceId, resource: ResourceId) {
        let holder = self.holders.get_mut(&id).expect("open holder");
        holder
            .dirty_slots
            .insert(resource, holder.last_allotment + 1);
        holder.urgent = true;
    }

    fn divide_units(&mut self, team: &str) {
        let issuer = &self.units[team].issuer;
        let held: BTreeMap<InstanceId, u64> =
            issuer.accounts().map(|(id, a)| (id, a.balance())).collect();
        let capacity = issuer.capacity().saturating_sub(self.units[team].recalled);
        let mut ids: Vec<InstanceId> = self.open_holders().map(|(id, _)| id).collect();
        let mut claimants: Vec<UnitClaimant> = self
            .open_holders()
            .map(|(_, h)| UnitClaimant {
                weight: 1,
                demand: h
                    .unit_demands()
                    .iter()
                    .filter(|d| d.team == team)
                    .map(|d| d.waiting + d.running)
                    .sum(),
                takes_surplus: h.local && !h.leaving,
            })
            .collect();
        // Tasks reserve their units themselves; here these are only kept free.
        ids.push(TASK_HOLDER);
        claimants.push(UnitClaimant {
            weight: 1,
            demand: self.units[team].task_demand,
            takes_surplus: false,
        });
        let mut allocations = allocations(capacity, &ids, &claimants, &held);
        let task_allocation = allocations.pop().expect("just added");
        let mut after = Vec::new();
        for allocation in &allocations {
            let units = self.units.get_mut(team).expect("known team");
            let reserved = units.recalled + task_allocation.deficit();
            let spare = units.issuer.free().saturating_sub(reserved);
            let given = units
                .issuer
                .give(allocation.holder, allocation.deficit().min(spare));
            after.push(Allocation {
                held: allocation.held + given,
                ..*allocation
            });
            if given > 0 {
                let holder = self
                    .holders
                    .get_mut(&allocation.holder)
                    .expect("open holder");
                holder
                    .dirty_units
                    .insert(team.to_owned(), holder.last_allotment + 1);
                holder.urgent = true;
            }
        }
        let issuer = &self.units[team].issuer;
        let recalled = self.units[team].recalled;
        let free = issuer.free().saturating_sub(recalled);
        let task_deficit = task_allocation.deficit();
        let mut recalls = plan_recalls(
            free.saturating_sub(task_deficit),
            task_deficit.saturating_sub(free),
            &after,
        );
        if (issuer.excess() > 0 || recalled > issuer.free()) && recalls.is_empty() {
            recalls = after
                .iter()
                .filter(|a| a.surplus() > 0)
                .map(|a| (a.holder, a.surplus()))
                .collect();
        }
        for (id, units) in recalls {
            let holder = self.holders.get_mut(&id).expect("open holder");
            holder.recall_units.insert(team.to_owned(), units);
            holder.urgent = true;
        }
    }
}

fn allocations(
    capacity: u64,
    ids: &[InstanceId],
    claimants: &[UnitClaimant],
    held: &BTreeMap<InstanceId, u64>,
) -> Vec<Allocation> {
    ids.iter()
        .zip(targets(capacity, claimants))
        .map(|(&holder, target)| Allocation {
            holder,
            target,
            held: held.get(&holder).copied().unwrap_or(0),
        })
        .collect()
}

/// Returns how many units to recall from holders above their targets, so that together
/// with `free` they cover the deficits of the others and `extra` more units.
fn plan_recalls(free: u64, extra: u64, allocations: &[Allocation]) -> Vec<(InstanceId, u64)> {
    let deficit: u64 = allocations.iter().map(|a| a.deficit()).sum();
    let mut missing = deficit.saturating_sub(free) + extra;
    let mut recalls = Vec::new();
    for allocation in allocations {
        let units = allocation.surplus().min(missing);
        if units > 0 {
            missing -= units;
            recalls.push((allocation.holder, units));
        }
    }
    recalls
}
