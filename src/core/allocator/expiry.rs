//! Expiry of holders and upstreams that stopped reporting, and reconciliation of the
//! slots that they used.

use std::collections::BTreeMap;

use super::{ALLOTMENT_TERM, Allocator, FORGET_AFTER, Host, Linger, SILENT_AFTER};
use crate::core::escrow::Cell;
use crate::core::registry::InstanceId;
use crate::core::time::{Moment, with_clock_margin};

impl Allocator {
    /// Removes holders whose allotments have expired. Their accounts stay open until the
    /// run limit has passed, as requests that they sent may still be running.
    pub(super) fn expire_holders(&mut self, now: Moment) {
        let term = with_clock_margin(ALLOTMENT_TERM);
        let expired: Vec<InstanceId> = self
            .holders
            .iter()
            .filter(|(_, h)| now >= h.heard + term)
            .map(|(&id, _)| id)
            .collect();
        for id in expired {
            self.holders.remove(&id);
            let linger = Linger {
                expired_at: now,
                until: now + with_clock_margin(self.run_limit),
            };
            self.lingering.insert(id, linger);
        }
        let ended: Vec<InstanceId> = self
            .lingering
            .iter()
            .filter(|(_, l)| now >= l.until)
            .map(|(&id, _)| id)
            .collect();
        for id in ended {
            self.lingering.remove(&id);
            if self.holders.get(&id).is_some_and(|h| h.open) {
                continue;
            }
            self.close_accounts(id);
        }
    }

    pub(super) fn close_accounts(&mut self, id: InstanceId) {
        let retired = self.retired.values_mut();
        let hosts = self.hosts.values_mut().map(Host::issuer_mut);
        for issuer in hosts.chain(retired) {
            issuer.forget(id);
        }
        for units in self.units.values_mut() {
            units.issuer.forget(id);
        }
    }

    /// Stops the use of silent upstreams, and removes those that stay silent.
    pub(super) fn expire_hosts(&mut self, now: Moment) {
        let safe_at = self.safe_at();
        let run_limit = with_clock_margin(self.run_limit);
        let mut changed = Vec::new();
        let mut gone = Vec::new();
        for (&cell, host) in &mut self.hosts {
            if self.first || now >= safe_at + run_limit {
                host.clear();
            }
            if !host.is_leaving() && now.since(host.heard()) >= SILENT_AFTER {
                host.leave();
                changed.push(cell);
            }
            let forgotten = now.since(host.heard()) >= FORGET_AFTER;
            if forgotten && host.is_leaving() && host.issuer().outstanding() == 0 {
                gone.push(cell);
            }
        }
        for cell in changed {
            self.mark_host(cell);
        }
        for cell in gone {
            if let Some(host) = self.hosts.remove(&cell) {
                let name = &host.announcement().name;
                self.retired.insert(cell, host.issuer().clone());
                if self.names.get(name) == Some(&cell) {
                    self.names.remove(name);
                }
            }
        }
    }

    // The upstream's own count of running requests replaces the accounts of lost holders
    // if it was made after their allotments expired, when they could send no more.
    pub(super) fn settle_lingering(
        &mut self,
        now: Moment,
        cell: Cell,
        running: &BTreeMap<InstanceId, u32>,
        counted_after: Option<Moment>,
    ) {
        let Some(counted_after) = counted_after else {
            return;
        };
        let settled = self.first || counted_after >= self.safe_at();
        let host = self.hosts.get_mut(&cell).expect("announced upstream");
        for (&id, linger) in &self.lingering {
            if counted_after <= linger.expired_at || self.holders.get(&id).is_some_and(|h| h.open) {
                continue;
            }
            match running.get(&id) {
                Some(&count) => host.issuer_mut().adopt(id, u64::from(count)),
                None => host.issuer_mut().forget(id),
            }
        }
        if host.is_clear() || !settled {
            return;
        }
        // Requests of holders that have not reported to this leader yet.
        for (&id, &count) in running {
            let known = self.holders.get(&id).is_some_and(|h| h.open);
            if !known && count > 0 {
                host.issuer_mut().adopt(id, u64::from(count));
                let linger = Linger {
                    expired_at: now,
                    until: now + with_clock_margin(self.run_limit),
                };
                self.lingering.insert(id, linger);
            }
        }
        host.clear();
    }
}
