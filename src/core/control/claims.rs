//! Claims on request IDs at their home zone: granting, replication and recovery.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{Answer, Control, Origin, Query, Target};
use crate::core::claim::{Attempt, Batch, End, Id, Settlement, Verdict};
use crate::core::registry::{InstanceId, Leadership};
use crate::core::time::Moment;
use crate::error::{Error, Kind};

/// First call number of the range used by the control state itself.
const FIRST_INTERNAL_CALL: u64 = 1 << 63;
/// Call number of a zone's demand reports to the root leader.
pub const DEMAND_CALL: u64 = FIRST_INTERNAL_CALL;
/// Maximum time that a new leader waits for copies from the former roster.
const RECOVERY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval at which all claims are sent to members that lack some.
const SYNC_INTERVAL: Duration = Duration::from_millis(1_000);
/// Maximum number of claims in one message.
const BATCH_CLAIMS_MAX: usize = 4_000;
/// Number of instances in other zones that get copies if the zone has no other
/// instance.
const COPIES_OUTSIDE_ZONE: usize = 2;

/// A claim that is granted once its first copy is confirmed.
#[derive(Debug)]
struct PendingClaim {
    origin: Origin,
    id: Id,
    owner: InstanceId,
    copies_left: usize,
}

/// Replication state of the claims.
#[derive(Debug, Default)]
pub struct Replication {
    last_number: u64,
    pending_claims: BTreeMap<u64, PendingClaim>,
    calls: BTreeMap<u64, Purpose>,
    recovery: Option<Recovery>,
    synced: BTreeSet<InstanceId>,
    next_sync_at: Moment,
}

/// Purpose of an internal call.
#[derive(Clone, Copy, Debug)]
enum Purpose {
    Copy(u64),
    Sync(InstanceId),
    Fetch(InstanceId),
    Update,
}

/// Recovery of claims by a new zone leader.
#[derive(Debug)]
struct Recovery {
    missing: BTreeSet<InstanceId>,
    former: InstanceId,
    complete: bool,
    deadline: Moment,
}

/// Returns whether `call` was made by the control state itself.
pub const fn is_internal(call: u64) -> bool {
    call >= FIRST_INTERNAL_CALL
}

impl Control {
    pub(super) fn handle_claim(&mut self, now: Moment, origin: Origin, attempt: &Attempt) {
        let ready = self.participant.may_act(now)
            && attempt.home == self.identity.zone
            && self.replication.recovery.is_none();
        if !ready {
            let message = "the home zone of this request id has no leader ready to grant claims";
            let err = Error::new(Kind::ClaimUnavailable, message);
            self.answer(now, origin, Answer::Failed(err));
            return;
        }
        let retention = self.registry.config.cell.claim_retention;
        let zone = self.identity.zone.clone();
        let verdict = self.claims_of(&zone).claim(
            now,
            attempt.id,
            attempt.body,
            attempt.owner,
            attempt.generated_age,
            retention,
        );
        if verdict != Verdict::Granted {
            self.answer(now, origin, Answer::Verdict(verdict));
            return;
        }
        let targets = self.copy_targets();
        if targets.is_empty() {
            self.claims_of(&zone).release(attempt.id, attempt.owner);
            let refused = Verdict::Refused(Kind::ClaimUnavailable);
            self.answer(now, origin, Answer::Verdict(refused));
            return;
        }
        self.replication.last_number += 1;
        let number = self.replication.last_number;
        let pending = PendingClaim {
            origin,
            id: attempt.id,
            owner: attempt.owner,
            copies_left: targets.len(),
        };
        self.replication.pending_claims.insert(number, pending);
        self.copy_record(now, attempt.id, &targets, Purpose::Copy(number));
    }

    pub(super) fn handle_settlement(
        &mut self,
        now: Moment,
        origin: Origin,
        settlement: Settlement,
    ) {
        if !self.participant.may_act(now) || settlement.home != self.identity.zone {
            let err = Error::from(Kind::ClaimUnavailable);
            self.answer(now, origin, Answer::Failed(err));
            return;
        }
        let Settlement { id, owner, end, .. } = settlement;
        let zone = self.identity.zone.clone();
        let table = self.claims_of(&zone);
        match end {
            End::Answered(answer) => table.finish(id, owner, answer),
            End::Lost => table.mark_unknown(id, owner),
            End::Released => table.release(id, owner),
        }
        let targets = self.copy_targets();
        self.copy_record(now, id, &targets, Purpose::Update);
        self.answer(now, origin, Answer::Done);
    }

    // All other instances of the zone, so that each of them can become leader.
    fn copy_targets(&self) -> Vec<InstanceId> {
        let peers = self.peers.values().map(|state| &state.peer);
        let same_zone: Vec<InstanceId> = peers
            .clone()
            .filter(|p| p.zone == self.identity.zone)
            .map(|p| p.id)
            .collect();
        if !same_zone.is_empty() {
            return same_zone;
        }
        peers.map(|p| p.id).take(COPIES_OUTSIDE_ZONE).collect()
    }

    fn copy_record(&mut self, now: Moment, id: Id, targets: &[InstanceId], purpose: Purpose) {
        let zone = self.identity.zone.clone();
        let record = self.claims_of(&zone).record(now, id);
        let batch = Batch {
            zone,
            removed: if record.is_none() {
                vec![id]
            } else {
                Vec::new()
            },
            records: record.into_iter().collect(),
            synced_by: None,
        };
        for &to in targets {
            self.call_internal(now, to, Query::Copy(batch.clone()), purpose);
        }
    }

    fn call_internal(&mut self, now: Moment, to: InstanceId, query: Query, purpose: Purpose) {
        self.replication.last_number += 1;
        let call = FIRST_INTERNAL_CALL + self.replication.last_number;
        self.replication.calls.insert(call, purpose);
        self.route(now, Origin::Local(call), &Target::Instance(to), query);
    }

    pub(super) fn handle_claims_answer(&mut self, now: Moment, call: u64, answer: &Answer) {
        let Some(purpose) = self.replication.calls.remove(&call) else {
            return;
        };
        let ok = !matches!(answer, Answer::Failed(_));
        match purpose {
            Purpose::Copy(number) => self.handle_copy_answer(now, number, ok),
            Purpose::Sync(member) if ok => {
                self.replication.synced.insert(member);
            }
            Purpose::Fetch(member) => self.handle_fetched(now, member, answer),
            Purpose::Sync(_) | Purpose::Update => {}
        }
    }

    fn handle_copy_answer(&mut self, now: Moment, number: u64, ok: bool) {
        let Some(pending) = self.replication.pending_claims.get_mut(&number) else {
            return;
        };
        pending.copies_left -= 1;
        if !ok && pending.copies_left > 0 {
            return;
        }
        let pending = self
            .replication
            .pending_claims
            .remove(&number)
            .expect("present");
        let verdict = if ok {
            Verdict::Granted
        } else {
            let zone = self.identity.zone.clone();
            self.claims_of(&zone).release(pending.id, pending.owner);
            Verdict::Refused(Kind::ClaimUnavailable)
        };
        self.answer(now, pending.origin, Answer::Verdict(verdict));
    }

    pub(super) fn store_copies(&mut self, now: Moment, batch: Batch) {
        let table = self.claims_of(&batch.zone);
        for id in batch.removed {
            table.remove(id);
        }
        table.merge(now, batch.records);
        if let Some(leader) = batch.synced_by {
            table.set_synced_by(leader);
        }
    }

    pub(super) fn copies_of(&mut self, now: Moment, zone: &str) -> Batch {
        let table = self.claims_of(zone);
        Batch {
            zone: zone.to_owned(),
            records: table.records(now),
            removed: Vec::new(),
            synced_by: table.synced_by(),
        }
    }

    /// Starts to collect the former leader's claims from the members of its roster.
    pub(super) fn recover_claims(&mut self, now: Moment, former: Option<&Leadership>) {
        self.replication.synced.clear();
        let Some(former) = former else {
            return;
        };
        let zone = self.identity.zone.clone();
        let others: BTreeSet<InstanceId> = former
            .roster
            .iter()
            .map(|m| m.id)
            .filter(|id| *id != former.leader)
            .collect();
        let complete = others.contains(&self.identity.id)
            && self.claims_of(&zone).synced_by() == Some(former.leader);
        let missing: BTreeSet<InstanceId> = others
            .iter()
            .copied()
            .filter(|id| *id != self.identity.id)
            .collect();
        self.replication.recovery = Some(Recovery {
            complete,
            missing: missing.clone(),
            former: former.leader,
            deadline: now + RECOVERY_TIMEOUT,
        });
        for member in missing {
            let query = Query::Fetch(zone.clone());
            self.call_internal(now, member, query, Purpose::Fetch(member));
        }
    }

    fn handle_fetched(&mut self, now: Moment, member: InstanceId, answer: &Answer) {
        let Answer::Copies(batch) = answer else {
            return;
        };
        let zone = self.identity.zone.clone();
        self.claims_of(&zone).merge(now, batch.records.clone());
        if let Some(recovery) = &mut self.replication.recovery {
            recovery.missing.remove(&member);
            recovery.complete &= batch.synced_by == Some(recovery.former);
        }
    }

    pub(super) fn tick_claims(&mut self, now: Moment) {
        if !self.participant.may_act(now) {
            return;
        }
        if let Some(recovery) = &self.replication.recovery {
            if !recovery.missing.is_empty() && now < recovery.deadline {
                return;
            }
            let is_complete = recovery.complete && recovery.missing.is_empty();
            self.replication.recovery = None;
            if !is_complete {
                let zone = self.identity.zone.clone();
                self.claims_of(&zone).mark_incomplete(now);
            }
        }
        if now >= self.replication.next_sync_at {
            self.replication.next_sync_at = now + SYNC_INTERVAL;
            self.sync_members(now);
        }
    }

    fn sync_members(&mut self, now: Moment) {
        let zone = self.identity.zone.clone();
        let unsynced: Vec<InstanceId> = self
            .peers
            .values()
            .filter(|s| s.peer.zone == zone && !self.replication.synced.contains(&s.peer.id))
            .map(|state| state.peer.id)
            .collect();
        if unsynced.is_empty() {
            return;
        }
        let records = self.claims_of(&zone).records(now);
        for member in unsynced {
            let mut batches: Vec<_> = records
                .chunks(BATCH_CLAIMS_MAX)
                .map(<[_]>::to_vec)
                .collect();
            let last = batches.pop().unwrap_or_default();
            for batch in batches {
                self.send_batch(now, member, batch, Purpose::Update);
            }
            self.send_batch(now, member, last, Purpose::Sync(member));
        }
    }

    fn send_batch(
        &mut self,
        now: Moment,
        member: InstanceId,
        records: Vec<crate::core::claim::Record>,
        purpose: Purpose,
    ) {
        let synced_by = matches!(purpose, Purpose::Sync(_)).then_some(self.identity.id);
        let batch = Batch {
            zone: self.identity.zone.clone(),
            records,
            removed: Vec::new(),
            synced_by,
        };
        self.call_internal(now, member, Query::Copy(batch), purpose);
    }
}
