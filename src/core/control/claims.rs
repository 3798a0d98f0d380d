//! Claims on request IDs at their home zone: granting, replication and recovery.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{Answer, Control, Origin, Query, Target};
use crate::core::claim::{Attempt, Batch, End, Id, Settlement, Verdict};
use crate::core::registry::{InstanceId, Leadership};
use crate::core::time::Moment;
use crate::error::{Error, Kind};

/// First call number of the range used by the control state itself.
const INTERNAL: u64 = 1 << 63;
/// Call number of a zone's demand reports to the root leader.
pub const WANTS_CALL: u64 = INTERNAL;
/// Maximum time that a new leader waits for copies from the former roster.
const RECOVERY_MAX: Duration = Duration::from_millis(1_500);
/// Interval at which all claims are sent to members that lack some.
const SYNC_EVERY: Duration = Duration::from_millis(1_000);
/// Maximum number of claims in one message.
const BATCH_MAX: usize = 4_000;
/// Number of instances in other zones that get copies if the zone has no other
/// instance.
const OUTSIDE_COPIES: usize = 2;

/// A claim that is granted once its first copy is confirmed.
#[derive(Debug)]
struct Waiting {
    origin: Origin,
    id: Id,
    owner: InstanceId,
    left: usize,
}

/// Replication state of the claims.
#[derive(Debug, Default)]
pub struct Copies {
    next: u64,
    waiting: BTreeMap<u64, Waiting>,
    calls: BTreeMap<u64, Purpose>,
    recovery: Option<Recovery>,
    synced: BTreeSet<InstanceId>,
    sync_at: Moment,
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
    until: Moment,
}

/// Returns whether `call` was made by the control state itself.
pub const fn is_internal(call: u64) -> bool {
    call >= INTERNAL
}

impl Control {
    pub(super) fn take_claim(&mut self, now: Moment, origin: Origin, attempt: &Attempt) {
        let ready = self.participant.may_act(now)
            && attempt.home == self.me.zone
            && self.copies.recovery.is_none();
        if !ready {
            let message = "the home zone of this request id has no leader ready to grant claims";
            let err = Error::new(Kind::ClaimUnavailable, message);
            self.answer(now, origin, Answer::Failed(err));
            return;
        }
        let retention = self.registry.config.cell.claim_retention;
        let zone = self.me.zone.clone();
        let verdict = self.claims_of(&zone).claim(
            now,
            attempt.id,
            attempt.body,
            attempt.owner,
            attempt.minted_age,
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
        self.copies.next += 1;
        let number = self.copies.next;
        let waiting = Waiting {
            origin,
            id: attempt.id,
            owner: attempt.owner,
            left: targets.len(),
        };
        self.copies.waiting.insert(number, waiting);
        self.copy_record(now, attempt.id, &targets, Purpose::Copy(number));
    }

    pub(super) fn take_settlement(&mut self, now: Moment, origin: Origin, settlement: Settlement) {
        if !self.participant.may_act(now) || settlement.home != self.me.zone {
            let err = Error::from(Kind::ClaimUnavailable);
            self.answer(now, origin, Answer::Failed(err));
            return;
        }
        let Settlement { id, owner, end, .. } = settlement;
        let zone = self.me.zone.clone();
        let table = self.claims_of(&zone);
        match end {
            End::Answered(answer) => table.finish(id, owner, answer),
            End::Lost => table.lose(id, owner),
            End::Released => table.release(id, owner),
        }
        let targets = self.copy_targets();
        self.copy_record(now, id, &targets, Purpose::Update);
        self.answer(now, origin, Answer::Done);
    }

    // All other instances of the zone, so that each of them can become leader.
    fn copy_targets(&self) -> Vec<InstanceId> {
        let peers = self.peers.values().map(|k| &k.peer);
        let own: Vec<InstanceId> = peers
            .clone()
            .filter(|p| p.zone == self.me.zone)
            .map(|p| p.id)
            .collect();
        if !own.is_empty() {
            return own;
        }
        peers.map(|p| p.id).take(OUTSIDE_COPIES).collect()
    }

    fn copy_record(&mut self, now: Moment, id: Id, targets: &[InstanceId], purpose: Purpose) {
        let zone = self.me.zone.clone();
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
        self.copies.next += 1;
        let call = INTERNAL + self.copies.next;
        self.copies.calls.insert(call, purpose);
        self.route(now, Origin::Local(call), &Target::Instance(to), query);
    }

    pub(super) fn take_claims_answer(&mut self, now: Moment, call: u64, answer: &Answer) {
        let Some(purpose) = self.copies.calls.remove(&call) else {
            return;
        };
        let ok = !matches!(answer, Answer::Failed(_));
        match purpose {
            Purpose::Copy(number) => self.take_copy_answer(now, number, ok),
            Purpose::Sync(member) if ok => {
                self.copies.synced.insert(member);
            }
            Purpose::Fetch(member) => self.take_fetched(now, member, answer),
            Purpose::Sync(_) | Purpose::Update => {}
        }
    }

    fn take_copy_answer(&mut self, now: Moment, number: u64, ok: bool) {
        let Some(waiting) = self.copies.waiting.get_mut(&number) else {
            return;
        };
        waiting.left -= 1;
        if !ok && waiting.left > 0 {
            return;
        }
        let waiting = self.copies.waiting.remove(&number).expect("present");
        let verdict = if ok {
            Verdict::Granted
        } else {
            let zone = self.me.zone.clone();
            self.claims_of(&zone).release(waiting.id, waiting.owner);
            Verdict::Refused(Kind::ClaimUnavailable)
        };
        self.answer(now, waiting.origin, Answer::Verdict(verdict));
    }

    pub(super) fn take_copies(&mut self, now: Moment, batch: Batch) {
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
        self.copies.synced.clear();
        let Some(former) = former else {
            return;
        };
        let zone = self.me.zone.clone();
        let others: BTreeSet<InstanceId> = former
            .roster
            .iter()
            .map(|m| m.id)
            .filter(|id| *id != former.leader)
            .collect();
        let own = others.contains(&self.me.id)
            && self.claims_of(&zone).synced_by() == Some(former.leader);
        let missing: BTreeSet<InstanceId> = others
            .iter()
            .copied()
            .filter(|id| *id != self.me.id)
            .collect();
        self.copies.recovery = Some(Recovery {
            complete: own,
            missing: missing.clone(),
            former: former.leader,
            until: now + RECOVERY_MAX,
        });
        for member in missing {
            let query = Query::Fetch(zone.clone());
            self.call_internal(now, member, query, Purpose::Fetch(member));
        }
    }

    fn take_fetched(&mut self, now: Moment, member: InstanceId, answer: &Answer) {
        let Answer::Copies(batch) = answer else {
            return;
        };
        let zone = self.me.zone.clone();
        self.claims_of(&zone).merge(now, batch.records.clone());
        if let Some(recovery) = &mut self.copies.recovery {
            recovery.missing.remove(&member);
            recovery.complete &= batch.synced_by == Some(recovery.former);
        }
    }

    pub(super) fn tick_claims(&mut self, now: Moment) {
        if !self.participant.may_act(now) {
            return;
        }
        if let Some(recovery) = &self.copies.recovery {
            if !recovery.missing.is_empty() && now < recovery.until {
                return;
            }
            let is_complete = recovery.complete && recovery.missing.is_empty();
            self.copies.recovery = None;
            if !is_complete {
                let zone = self.me.zone.clone();
                self.claims_of(&zone).lose_memory(now);
            }
        }
        if now >= self.copies.sync_at {
            self.copies.sync_at = now + SYNC_EVERY;
            self.sync_members(now);
        }
    }

    fn sync_members(&mut self, now: Moment) {
        let zone = self.me.zone.clone();
        let unsynced: Vec<InstanceId> = self
            .peers
            .values()
            .filter(|k| k.peer.zone == zone && !self.copies.synced.contains(&k.peer.id))
            .map(|k| k.peer.id)
            .collect();
        if unsynced.is_empty() {
            return;
        }
        let records = self.claims_of(&zone).records(now);
        for member in unsynced {
            let mut batches: Vec<_> = records.chunks(BATCH_MAX).map(<[_]>::to_vec).collect();
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
        let synced_by = matches!(purpose, Purpose::Sync(_)).then_some(self.me.id);
        let batch = Batch {
            zone: self.me.zone.clone(),
            records,
            removed: Vec::new(),
            synced_by,
        };
        self.call_internal(now, member, Query::Copy(batch), purpose);
    }
}
