//! Replication as driven by the leader.

use std::time::Duration;

use super::progress::Progress;
use super::replica::{ELECTION_TIMEOUT_MAX, HEARTBEAT_INTERVAL, Replica, Role};
use super::transfer::part_at;
use crate::core::time::Moment;
use crate::wire::{Append, AppendReply, Observe, RaftBody, SnapshotReply};

/// Interval between heartbeats to an observer.
const OBSERVER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time without a message after which a leader drops an observer.
const OBSERVER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which an unanswered part of a snapshot is sent again.
const PART_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Approximate limit for the entries in one message.
const APPEND_MAX_BYTES: usize = 256 << 10;

impl Replica {
    pub(super) fn tick_leader(&mut self, now: Moment) {
        let contact = self.quorum_contact(now);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if now.since(contact.max(leader.since)) > ELECTION_TIMEOUT_MAX {
            let term = self.hard_state.term;
            self.become_follower(now, term);
            self.leader = None;
            return;
        }
        let voters = &self.voters;
        leader.progress.retain(|id, p| {
            now.since(p.heard_at) < OBSERVER_TIMEOUT || voters.iter().any(|v| v.replica == *id)
        });
        if now >= leader.heartbeat_at {
            leader.heartbeat_at = now + HEARTBEAT_INTERVAL;
            self.replicate(now, true);
        }
    }

    pub(super) fn step_observe(&mut self, now: Moment, from: u64, observe: &Observe) {
        let next = self.log.last_index() + 1;
        let is_voting = self.is_voting(from);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let known = leader.progress.contains_key(&from);
        let progress = leader
            .progress
            .entry(from)
            .or_insert_with(|| Progress::new(&observe.name, next, now));
        progress.heard_at = now;
        progress.durable = observe.durable;
        if !known && !is_voting {
            progress.next_index = (observe.last_index + 1).min(next);
            self.send_append(now, from, true);
        }
    }

    /// Returns the latest time such that a quorum of the voters has answered requests
    /// sent at or after it. If this leader is a voter, it counts as having answered now.
    pub(super) fn quorum_contact(&self, now: Moment) -> Moment {
        let Role::Leader(leader) = &self.role else {
            return Moment::ZERO;
        };
        let mut acks: Vec<Moment> = self
            .voters
            .iter()
            .map(|v| {
                if v.replica == self.id {
                    return now;
                }
                leader
                    .progress
                    .get(&v.replica)
                    .map_or(Moment::ZERO, |p| p.acked_at)
            })
            .collect();
        acks.sort_unstable_by(|a, b| b.cmp(a));
        acks.get(self.quorum() - 1).copied().unwrap_or_default()
    }

    pub(super) fn replicate(&mut self, now: Moment, heartbeat: bool) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let last = self.log.last_index();
        for voter in &self.voters {
            if voter.replica != self.id {
                leader
                    .progress
                    .entry(voter.replica)
                    .or_insert_with(|| Progress::new(&voter.name, last + 1, now));
            }
        }
        let targets: Vec<u64> = leader.progress.keys().copied().collect();
        for id in targets {
            self.send_append(now, id, heartbeat);
        }
    }

    pub(super) fn send_append(&mut self, now: Moment, to: u64, heartbeat: bool) {
        let quorum_age = now.since(self.quorum_contact(now)).as_micros() as u64;
        let last = self.log.last_index();
        let first = self.log.first_index();
        let commit = self.commit;
        let is_voting = self.is_voting(to);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&to) else {
            return;
        };
        if progress.next_index < first {
            self.send_snapshot_part(now, to);
            return;
        }
        let is_due = if is_voting {
            heartbeat
        } else {
            heartbeat && now.since(progress.sent_at) >= OBSERVER_HEARTBEAT_INTERVAL
                || progress.sent_commit < commit
        };
        let sends_entries = progress.next_index <= last && progress.can_send_entries(now);
        if !sends_entries && !is_due {
            return;
        }
        progress.sent_commit = commit;
        let prev_index = progress.next_index - 1;
        let entries = if sends_entries {
            self.log.slice(progress.next_index, APPEND_MAX_BYTES)
        } else {
            Vec::new()
        };
        if progress.probing && sends_entries {
            progress.probed_at = Some(now);
        } else if !progress.probing {
            progress.next_index += entries.len() as u64;
        }
        progress.sent_at = now;
        let append = Append {
            prev_index,
            prev_term: self.log.term_at(prev_index).unwrap_or(0),
            entries,
            commit: self.commit,
            sent_at: now.0,
            quorum_age,
        };
        self.send(to, RaftBody::Append(append));
    }

    pub(super) fn send_snapshot_part(&mut self, now: Moment, to: u64) {
        let snapshot = self.log.snapshot();
        let index = snapshot.index;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&to) else {
            return;
        };
        let offset = match progress.snapshot {
            Some((at, received)) if at == index => {
                if now.since(progress.sent_at) < PART_TIMEOUT {
                    return;
                }
                received
            }
            _ => 0,
        };
        progress.snapshot = Some((index, offset));
        progress.sent_at = now;
        let part = part_at(snapshot, self.snapshot_crc, offset, now.0);
        self.send(to, RaftBody::Snapshot(part));
    }

    // Records that a replica answered, in this term, the request sent at `sent_at`.
    fn acknowledge(
        &mut self,
        now: Moment,
        from: u64,
        term: u64,
        sent_at: u64,
    ) -> Option<&mut Progress> {
        let Role::Leader(leader) = &mut self.role else {
            return None;
        };
        if term != self.hard_state.term {
            return None;
        }
        let progress = leader.progress.get_mut(&from)?;
        progress.heard_at = now;
        progress.acked_at = progress.acked_at.max(Moment(sent_at));
        Some(progress)
    }

    pub(super) fn step_append_reply(
        &mut self,
        now: Moment,
        from: u64,
        term: u64,
        reply: AppendReply,
    ) {
        let last = self.log.last_index();
        let Some(progress) = self.acknowledge(now, from, term, reply.sent_at) else {
            return;
        };
        if reply.ok {
            progress.record_match(reply.index.min(last));
            self.advance_commit(now);
        } else {
            let sent_at = Moment(reply.sent_at);
            if !progress.record_mismatch(reply.index, sent_at) {
                return;
            }
        }
        self.send_append(now, from, false);
    }

    pub(super) fn advance_commit(&mut self, now: Moment) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let mut matched: Vec<u64> = self
            .voters
            .iter()
            .map(|v| {
                if v.replica == self.id {
                    return self.stable;
                }
                leader.progress.get(&v.replica).map_or(0, |p| p.match_index)
            })
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = matched.get(self.quorum() - 1) else {
            return;
        };
        if index > self.commit && self.log.term_at(index) == Some(self.hard_state.term) {
            self.commit = index;
            self.replicate(now, true);
            self.step_down_if_removed(now);
        }
    }

    pub(super) fn step_snapshot_reply(
        &mut self,
        now: Moment,
        from: u64,
        term: u64,
        reply: SnapshotReply,
    ) {
        let index = self.log.snapshot().index;
        let Some(progress) = self.acknowledge(now, from, term, reply.sent_at) else {
            return;
        };
        if reply.index == index && progress.snapshot.is_some() {
            progress.snapshot = Some((index, reply.received));
            progress.sent_at = Moment::ZERO;
            self.send_snapshot_part(now, from);
        }
    }
}
