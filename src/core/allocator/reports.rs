//! Reports of entry instances and the allotments that answer them.

use std::collections::BTreeMap;

use super::{Allocator, Holder, Upstream, balance};
use crate::core::escrow::{Issuer, ResourceId};
use crate::core::registry::InstanceId;
use crate::core::time::Moment;
use crate::util::resource_id;
use crate::wire;

impl Allocator {
    /// Processes the report of an entry instance and returns the allotment in answer.
    ///
    /// A report of another epoch, an opening of idle units that have expired, or a report
    /// without an opening while the accounts are closed is answered with a request to
    /// reopen them.
    pub fn report(
        &mut self,
        now: Moment,
        from: InstanceId,
        report: &wire::Report,
    ) -> wire::Allotment {
        let local = report.from_zone == self.zone;
        if !self.holders.contains_key(&from) {
            let holder = self.new_holder(now, local);
            self.holders.insert(from, holder);
        }
        let epoch = self.holders[&from].epoch;
        let open = self.holders[&from].open;
        if report.epoch != epoch || (report.opening == open) {
            if report.epoch == epoch && open {
                // A repeated opening; the accounts were opened by the first one.
                return self.allot(now, from, report);
            }
            return self.request_reopen(now, from, report);
        }
        if report.opening {
            if report.kept_idle && now >= self.predecessors_expired_at() {
                // Idle units given by an earlier leader have expired and may have been
                // given to other holders since.
                let holder = self.new_holder(now, local);
                self.holders.insert(from, holder);
                return self.request_reopen(now, from, report);
            }
            self.open_accounts(now, from, report);
        }
        self.settle(now, from, report);
        self.divide(now, false);
        self.allot(now, from, report)
    }

    /// Returns a holder with closed accounts and a new epoch.
    pub(super) fn new_holder(&mut self, now: Moment, local: bool) -> Holder {
        self.epochs += 1;
        Holder {
            epoch: (self.term << 32) | self.epochs,
            open: false,
            local,
            leaving: false,
            last_heard: now,
            last_allotment: 0,
            last_report: 0,
            demands: Vec::new(),
            dirty_slots: BTreeMap::new(),
            dirty_units: BTreeMap::new(),
            dirty_upstreams: BTreeMap::new(),
            recall_slots: BTreeMap::new(),
            recall_units: BTreeMap::new(),
            urgent: false,
            sent_at: 0,
        }
    }

    /// Returns an allotment that asks the holder to reopen its accounts.
    pub(super) fn request_reopen(
        &mut self,
        now: Moment,
        from: InstanceId,
        report: &wire::Report,
    ) -> wire::Allotment {
        let holder = self.holders.get_mut(&from).expect("known holder");
        holder.last_heard = now;
        wire::Allotment {
            zone: self.zone.clone(),
            epoch: holder.epoch,
            sent_at: report.sent_at,
            reopen: true,
            upstreams: self.upstreams.values().map(Upstream::info).collect(),
            ..wire::Allotment::default()
        }
    }

    /// Opens the accounts of a holder with the balances that it reports.
    pub(super) fn open_accounts(&mut self, now: Moment, from: InstanceId, report: &wire::Report) {
        // Counters of an earlier epoch are not comparable with those of this one.
        self.close_accounts(from);
        for balance in &report.slots {
            let resource = ResourceId(balance.resource);
            // Accounts of an upstream that has not announced itself to this leader yet
            // are kept aside until it does.
            let issuer = match self.upstreams.get_mut(&resource) {
                Some(upstream) => upstream.issuer_mut(),
                None => self
                    .retired
                    .entry(resource)
                    .or_insert_with(|| Issuer::new(0)),
            };
            issuer.adopt(from, balance.given);
        }
        for balance in &report.units {
            if let Some(name) = self.teams_by_resource.get(&ResourceId(balance.resource)) {
                let units = self.units.get_mut(name).expect("named units");
                units.issuer.adopt(from, balance.given);
            }
        }
        let holder = self.holders.get_mut(&from).expect("known holder");
        holder.open = true;
        holder.last_heard = now;
        holder.last_report = 0;
        let next = holder.last_allotment + 1;
        holder.dirty_upstreams = self
            .upstreams
            .keys()
            .map(|&resource| (resource, next))
            .collect();
    }

    /// Records the counters, demands and acknowledgement of a report.
    pub(super) fn settle(&mut self, now: Moment, from: InstanceId, report: &wire::Report) {
        for balance in &report.slots {
            let resource = ResourceId(balance.resource);
            let issuer = match self.upstreams.get_mut(&resource) {
                Some(upstream) => Some(upstream.issuer_mut()),
                None => self.retired.get_mut(&resource),
            };
            if let Some(issuer) = issuer {
                issuer.settle(from, balance.returned);
            }
        }
        for balance in &report.units {
            if let Some(name) = self.teams_by_resource.get(&ResourceId(balance.resource)) {
                let units = self.units.get_mut(name).expect("named units");
                units.issuer.settle(from, balance.returned);
            }
        }
        let holder = self.holders.get_mut(&from).expect("known holder");
        holder.last_heard = now;
        holder.leaving = report.leaving;
        if report.number > holder.last_report {
            holder.last_report = report.number;
            holder.demands.clone_from(&report.demands);
        }
        let received = report.received;
        holder.dirty_slots.retain(|_, first| *first > received);
        holder.dirty_units.retain(|_, first| *first > received);
        holder.dirty_upstreams.retain(|_, first| *first > received);
    }

    /// Returns the allotment for `to` that answers `report`.
    pub(super) fn allot(
        &mut self,
        now: Moment,
        to: InstanceId,
        report: &wire::Report,
    ) -> wire::Allotment {
        let holder = self.holders.get_mut(&to).expect("known holder");
        holder.sent_at = holder.sent_at.max(report.sent_at);
        holder.last_heard = now;
        self.build_allotment(to, report.number)
    }

    /// Returns an allotment of all changes that the holder has not acknowledged yet.
    pub(super) fn build_allotment(&mut self, to: InstanceId, answers: u64) -> wire::Allotment {
        let holder = self.holders.get_mut(&to).expect("known holder");
        holder.last_allotment += 1;
        holder.urgent = false;
        let recall = |(name, units): (String, u64)| wire::Recall { name, units };
        let upstreams = &self.upstreams;
        let units = &self.units;
        wire::Allotment {
            zone: self.zone.clone(),
            epoch: holder.epoch,
            sent_at: holder.sent_at,
            number: holder.last_allotment,
            report_number: answers,
            upstreams: holder
                .dirty_upstreams
                .keys()
                .filter_map(|resource| upstreams.get(resource))
                .map(Upstream::info)
                .collect(),
            slots: holder
                .dirty_slots
                .keys()
                .filter_map(|&resource| {
                    let account = upstreams.get(&resource)?.issuer().account(to);
                    Some(balance(resource, account.given, account.returned))
                })
                .collect(),
            units: holder
                .dirty_units
                .keys()
                .filter_map(|name| {
                    let account = units.get(name)?.issuer.account(to);
                    Some(balance(resource_id(name), account.given, account.returned))
                })
                .collect(),
            recall_slots: std::mem::take(&mut holder.recall_slots)
                .into_iter()
                .map(recall)
                .collect(),
            recall_units: std::mem::take(&mut holder.recall_units)
                .into_iter()
                .map(recall)
                .collect(),
            reopen: false,
            applied: 0,
        }
    }
}
