//! Division of slots and units among entry instances by their demands.

use std::collections::BTreeMap;

use super::{Allocator, DIVIDE_EVERY, FLEET, Holder};
use crate::core::escrow::Cell;
use crate::core::registry::InstanceId;
use crate::core::share::{Claim, Claimant, divide, round_down, targets};
use crate::core::time::Moment;

/// Target and present allotment of one holder.
#[derive(Clone, Copy, Debug)]
struct Position {
    holder: InstanceId,
    target: u64,
    has: u64,
}

impl Position {
    const fn deficit(self) -> u64 {
        self.target.saturating_sub(self.has)
    }

    const fn surplus(self) -> u64 {
        self.has.saturating_sub(self.target)
    }
}

impl Allocator {
    /// Gives free slots and units to holders below their targets and recalls the rest
    /// from holders above theirs. Without `force`, at most once per interval.
    pub(super) fn divide(&mut self, now: Moment, force: bool) {
        if !self.may_give(now) || (!force && now < self.divide_at) {
            return;
        }
        self.divide_at = now + DIVIDE_EVERY;
        for service in self.services() {
            self.divide_slots(&service);
        }
        if !self.units_clear(now) {
            return;
        }
        let teams: Vec<String> = self.units.keys().cloned().collect();
        for team in teams {
            self.divide_units(&team);
        }
    }

    fn services(&self) -> Vec<String> {
        let mut services: Vec<String> = self
            .hosts
            .values()
            .map(|h| h.announcement().service.clone())
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
        let cells: Vec<Cell> = self
            .hosts
            .iter()
            .filter(|(_, h)| h.announcement().service == service && h.is_usable())
            .map(|(&cell, _)| cell)
            .collect();
        let capacity: u64 = cells
            .iter()
            .map(|c| self.hosts[c].issuer().capacity())
            .sum();
        let mut has: BTreeMap<InstanceId, u64> = BTreeMap::new();
        for cell in &cells {
            for (id, account) in self.hosts[cell].issuer().accounts() {
                *has.entry(id).or_default() += account.balance();
            }
        }
        let demands = self.slot_demands(service, capacity);
        let claims: Vec<Claim> = self
            .open_holders()
            .map(|(id, h)| Claim {
                weight: 1,
                demand: demands.get(&id).copied().unwrap_or(0),
                standing: h.local && !h.leaving,
            })
            .collect();
        let ids: Vec<InstanceId> = self.open_holders().map(|(id, _)| id).collect();
        let positions = positions(capacity, &ids, &claims, &has);
        self.give_slots(&cells, &positions);
        let free: u64 = cells.iter().map(|c| self.hosts[c].issuer().free()).sum();
        let has = |id| {
            cells
                .iter()
                .map(|c| self.hosts[c].issuer().account(id).balance())
                .sum()
        };
        let after: Vec<Position> = positions
            .iter()
            .map(|p| Position {
                has: has(p.holder),
                ..*p
            })
            .collect();
        for (id, units) in recalls(free, 0, &after) {
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
            .map(|(team, parts)| Claimant {
                weight: f64::from(self.units.get(*team).map_or(1, |u| u.share.max(1))),
                demand: parts.iter().map(|&(_, units)| units as f64).sum(),
            })
            .collect();
        let mut shares: BTreeMap<InstanceId, f64> = BTreeMap::new();
        for (given, (claimant, parts)) in divide(capacity as f64, &claimants)
            .into_iter()
            .zip(claimants.iter().zip(by_team.values()))
        {
            for &(id, units) in parts {
                let part = given * units as f64 / claimant.demand.max(1.0);
                *shares.entry(id).or_default() += part;
            }
        }
        let amounts: Vec<f64> = shares.values().copied().collect();
        let units = round_down(capacity, &amounts);
        shares.into_keys().zip(units).collect()
    }

    fn give_slots(&mut self, cells: &[Cell], positions: &[Position]) {
        let count = cells.len();
        // Each holder starts at a different upstream, to spread the load.
        for (turn, position) in positions.iter().enumerate() {
            let mut left = position.deficit();
            let mut step = 0;
            while left > 0 && step < count {
                let cell = cells[(step + turn * count / positions.len().max(1)) % count];
                step += 1;
                let host = self.hosts.get_mut(&cell).expect("listed upstream");
                // Even parts first; the second pass gives what uneven free slots left.
                let even = left.div_ceil((count - step + 1) as u64);
                let given = host.issuer_mut().give(position.holder, even);
                left -= given;
                if given > 0 {
                    self.mark_slots(position.holder, cell);
                }
            }
            for &cell in cells {
                if left == 0 {
                    break;
                }
                let host = self.hosts.get_mut(&cell).expect("listed upstream");
                let given = host.issuer_mut().give(position.holder, left);
                left -= given;
                if given > 0 {
                    self.mark_slots(position.holder, cell);
                }
            }
        }
    }

    fn mark_slots(&mut self, id: InstanceId, cell: Cell) {
        let holder = self.holders.get_mut(&id).expect("open holder");
        holder.dirty_slots.insert(cell, holder.number + 1);
        holder.urgent = true;
    }

    fn divide_units(&mut self, team: &str) {
        let issuer = &self.units[team].issuer;
        let has: BTreeMap<InstanceId, u64> =
            issuer.accounts().map(|(id, a)| (id, a.balance())).collect();
        let capacity = issuer.capacity().saturating_sub(self.units[team].owed);
        let mut ids: Vec<InstanceId> = self.open_holders().map(|(id, _)| id).collect();
        let mut claims: Vec<Claim> = self
            .open_holders()
            .map(|(_, h)| Claim {
                weight: 1,
                demand: h
                    .unit_demands()
                    .iter()
                    .filter(|d| d.team == team)
                    .map(|d| d.waiting + d.running)
                    .sum(),
                standing: h.local && !h.leaving,
            })
            .collect();
        // Tasks reserve their units themselves; here these are only kept free.
        ids.push(FLEET);
        claims.push(Claim {
            weight: 1,
            demand: self.units[team].tasks,
            standing: false,
        });
        let mut positions = positions(capacity, &ids, &claims, &has);
        let tasks = positions.pop().expect("just added");
        let mut after = Vec::new();
        for position in &positions {
            let units = self.units.get_mut(team).expect("known team");
            let kept = units.owed + tasks.deficit();
            let spare = units.issuer.free().saturating_sub(kept);
            let given = units
                .issuer
                .give(position.holder, position.deficit().min(spare));
            after.push(Position {
                has: position.has + given,
                ..*position
            });
            if given > 0 {
                let holder = self.holders.get_mut(&position.holder).expect("open holder");
                holder
                    .dirty_units
                    .insert(team.to_owned(), holder.number + 1);
                holder.urgent = true;
            }
        }
        let issuer = &self.units[team].issuer;
        let owed = self.units[team].owed;
        let free = issuer.free().saturating_sub(owed);
        let lack = tasks.deficit();
        let mut wanted = recalls(free.saturating_sub(lack), lack.saturating_sub(free), &after);
        if (issuer.excess() > 0 || owed > issuer.free()) && wanted.is_empty() {
            wanted = after
                .iter()
                .filter(|p| p.surplus() > 0)
                .map(|p| (p.holder, p.surplus()))
                .collect();
        }
        for (id, units) in wanted {
            let holder = self.holders.get_mut(&id).expect("open holder");
            holder.recall_units.insert(team.to_owned(), units);
            holder.urgent = true;
        }
    }
}

fn positions(
    capacity: u64,
    ids: &[InstanceId],
    claims: &[Claim],
    has: &BTreeMap<InstanceId, u64>,
) -> Vec<Position> {
    ids.iter()
        .zip(targets(capacity, claims))
        .map(|(&holder, target)| Position {
            holder,
            target,
            has: has.get(&holder).copied().unwrap_or(0),
        })
        .collect()
}

/// Returns how many units to recall from holders above their targets, so that together
/// with `free` they cover the deficits of the others and `besides` more units.
fn recalls(free: u64, besides: u64, positions: &[Position]) -> Vec<(InstanceId, u64)> {
    let deficit: u64 = positions.iter().map(|p| p.deficit()).sum();
    let mut wanted = deficit.saturating_sub(free) + besides;
    let mut recalls = Vec::new();
    for position in positions {
        let units = position.surplus().min(wanted);
        if units > 0 {
            wanted -= units;
            recalls.push((position.holder, units));
        }
    }
    recalls
}
