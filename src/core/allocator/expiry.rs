//! Expiry of holders and upstreams that stopped reporting, and reconciliation of the
//! slots that they used.

use std::collections::BTreeMap;

use super::{
    ALLOTMENT_LEASE, Allocator, HEARTBEAT_TIMEOUT, LostHolder, UPSTREAM_RETENTION, Upstream,
};
use crate::core::escrow::ResourceId;
use crate::core::registry::InstanceId;
use crate::core::time::{Moment, with_clock_margin};

impl Allocator {
    /// Removes holders whose allotments have expired. Their accounts stay open until the
    /// run limit has passed, as requests that they sent may still be running.
    pub(super) fn expire_holders(&mut self, now: Moment) {
        let lease = with_clock_margin(ALLOTMENT_LEASE);
        let expired: Vec<InstanceId> = self
            .holders
            .iter()
            .filter(|(_, h)| now >= h.last_heard + lease)
            .map(|(&id, _)| id)
            .collect();
        for id in expired {
            self.holders.remove(&id);
            let lost = LostHolder {
                expired_at: now,
                close_at: now + with_clock_margin(self.run_limit),
            };
            self.lost_holders.insert(id, lost);
        }
        let ended: Vec<InstanceId> = self
            .lost_holders
            .iter()
            .filter(|(_, l)| now >= l.close_at)
            .map(|(&id, _)| id)
            .collect();
        for id in ended {
            self.lost_holders.remove(&id);
            if self.holders.get(&id).is_some_and(|h| h.open) {
                continue;
            }
            self.close_accounts(id);
        }
    }

    pub(super) fn close_accounts(&mut self, id: InstanceId) {
        let retired = self.retired.values_mut();
        let upstreams = self.upstreams.values_mut().map(Upstream::issuer_mut);
        for issuer in upstreams.chain(retired) {
            issuer.close(id);
        }
        for units in self.units.values_mut() {
            units.issuer.close(id);
        }
    }

    /// Stops the use of silent upstreams, and removes those that stay silent.
    pub(super) fn expire_upstreams(&mut self, now: Moment) {
        let predecessors_expired_at = self.predecessors_expired_at();
        let run_limit = with_clock_margin(self.run_limit);
        let mut changed = Vec::new();
        let mut removed = Vec::new();
        for (&resource, upstream) in &mut self.upstreams {
            if self.first_term || now >= predecessors_expired_at + run_limit {
                upstream.set_reconciled();
            }
            if !upstream.is_leaving() && now.since(upstream.last_heard()) >= HEARTBEAT_TIMEOUT {
                upstream.set_silent();
                changed.push(resource);
            }
            let forgotten = now.since(upstream.last_heard()) >= UPSTREAM_RETENTION;
            if forgotten && upstream.is_leaving() && upstream.issuer().outstanding() == 0 {
                removed.push(resource);
            }
        }
        for resource in changed {
            self.mark_upstream_dirty(resource);
        }
        for resource in removed {
            if let Some(upstream) = self.upstreams.remove(&resource) {
                let name = &upstream.announcement().name;
                self.retired.insert(resource, upstream.issuer().clone());
                if self.resources_by_name.get(name) == Some(&resource) {
                    self.resources_by_name.remove(name);
                }
            }
        }
    }

    // The upstream's own count of running requests replaces the accounts of lost holders
    // if it was made after their allotments expired, when they could send no more.
    pub(super) fn reconcile_running(
        &mut self,
        now: Moment,
        resource: ResourceId,
        running: &BTreeMap<InstanceId, u32>,
        counted_after: Option<Moment>,
    ) {
        let Some(counted_after) = counted_after else {
            return;
        };
        let settled = self.first_term || counted_after >= self.predecessors_expired_at();
        let upstream = self
            .upstreams
            .get_mut(&resource)
            .expect("announced upstream");
        for (&id, lost) in &self.lost_holders {
            if counted_after <= lost.expired_at || self.holders.get(&id).is_some_and(|h| h.open) {
                continue;
            }
            match running.get(&id) {
                Some(&count) => upstream.issuer_mut().adopt(id, u64::from(count)),
                None => upstream.issuer_mut().close(id),
            }
        }
        if upstream.is_reconciled() || !settled {
            return;
        }
        // Requests of holders that have not reported to this leader yet.
        for (&id, &count) in running {
            let known = self.holders.get(&id).is_some_and(|h| h.open);
            if !known && count > 0 {
                upstream.issuer_mut().adopt(id, u64::from(count));
                let lost = LostHolder {
                    expired_at: now,
                    close_at: now + with_clock_margin(self.run_limit),
                };
                self.lost_holders.insert(id, lost);
            }
        }
        upstream.set_reconciled();
    }
}
