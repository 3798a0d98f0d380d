//! Replication as seen by followers and observers.

use std::time::Duration;

use super::log::Snapshot;
use super::replica::{ELECTION_TIMEOUT_MAX, Replica, Role};
use super::transfer::Incoming;
use crate::core::time::Moment;
use crate::wire::{Append, AppendReply, Observe, RaftBody, SnapshotPart, SnapshotReply};

/// Interval at which observers request replication.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(1_000);

impl Replica {
    pub(super) fn tick_observer(&mut self, now: Moment) {
        if now < self.observe_at {
            return;
        }
        self.observe_at = now + OBSERVE_INTERVAL;
        if now.since(self.leader_heard_at) > ELECTION_TIMEOUT_MAX {
            self.leader = None;
        }
        // Sent to every peer, since a new leader does not know its observers.
        self.send_observe(0);
    }

    // The driver sends a message addressed to replica 0 to every peer. Only a leader
    // acts on it.
    pub(super) fn send_observe(&mut self, to: u64) {
        let observe = Observe {
            last_index: self.log.last_index(),
            durable: self.durable,
            name: self.name.clone(),
        };
        self.send(to, RaftBody::Observe(observe));
    }

    pub(super) fn follow_leader(&mut self, now: Moment, from: u64, term: u64) -> bool {
        if term < self.hard_state.term {
            let reply = AppendReply {
                ok: false,
                index: self.log.last_index(),
                sent_at: 0,
            };
            self.send(from, RaftBody::AppendReply(reply));
            return false;
        }
        self.role = Role::Follower;
        self.leader = Some(from);
        self.leader_heard_at = now;
        self.restart = None;
        self.reset_election_timeout(now);
        true
    }

    pub(super) fn step_append(&mut self, now: Moment, from: u64, term: u64, append: Append) {
        if !self.follow_leader(now, from, term) {
            return;
        }
        let sent_at = append.sent_at;
        let (ok, index) = self.accept_entries(append);
        let reply = AppendReply { ok, index, sent_at };
        self.send(from, RaftBody::AppendReply(reply));
    }

    pub(super) fn accept_entries(&mut self, append: Append) -> (bool, u64) {
        if append.prev_index < self.commit {
            let end = append.prev_index + append.entries.len() as u64;
            if end <= self.commit {
                return (true, self.commit);
            }
        } else if self.log.term_at(append.prev_index) != Some(append.prev_term) {
            return (
                false,
                self.mismatch_hint(append.prev_index, append.prev_term),
            );
        }
        let end = append.prev_index + append.entries.len() as u64;
        for entry in append.entries {
            if entry.index <= self.commit {
                continue;
            }
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => {}
                Some(_) => {
                    self.truncate(entry.index);
                    self.append(entry);
                }
                None => self.append(entry),
            }
        }
        self.commit = self.commit.max(append.commit.min(end));
        (true, end)
    }

    pub(super) fn truncate(&mut self, index: u64) {
        assert!(
            index > self.commit,
            "committed entry {index} must not be truncated"
        );
        self.log.truncate(index);
        self.ready.entries.retain(|entry| entry.index < index);
        let from = self.ready.truncate_from.map_or(index, |at| at.min(index));
        self.ready.truncate_from = Some(from);
        self.stable = self.stable.min(index - 1);
        self.refresh_voters();
    }

    // Returns the index from which the leader should retry. It skips all entries whose
    // term is later than the leader's at `prev_index`, instead of one entry per round
    // trip.
    pub(super) fn mismatch_hint(&self, prev_index: u64, prev_term: u64) -> u64 {
        let mut hint = self.log.last_index().min(prev_index.saturating_sub(1));
        while hint > self.commit && self.log.term_at(hint).is_some_and(|term| term > prev_term) {
            hint -= 1;
        }
        hint
    }

    pub(super) fn step_snapshot(&mut self, now: Moment, from: u64, term: u64, part: &SnapshotPart) {
        if !self.follow_leader(now, from, term) {
            return;
        }
        if part.index <= self.commit {
            let reply = AppendReply {
                ok: true,
                index: self.commit,
                sent_at: part.sent_at,
            };
            self.send(from, RaftBody::AppendReply(reply));
            return;
        }
        let mut incoming = match self.incoming.take() {
            Some(incoming) if incoming.matches(part) => incoming,
            _ => Incoming::new(part),
        };
        incoming.add(part);
        if !incoming.is_complete() {
            let reply = SnapshotReply {
                index: part.index,
                received: incoming.received(),
                sent_at: part.sent_at,
            };
            self.incoming = Some(incoming);
            self.send(from, RaftBody::SnapshotReply(reply));
            return;
        }
        let Some(snapshot) = incoming.finish() else {
            return;
        };
        self.install_snapshot(snapshot);
        let reply = AppendReply {
            ok: true,
            index: self.commit,
            sent_at: part.sent_at,
        };
        self.send(from, RaftBody::AppendReply(reply));
    }

    pub(super) fn install_snapshot(&mut self, snapshot: Snapshot) {
        self.commit = snapshot.index;
        self.delivered = snapshot.index;
        self.stable = snapshot.index;
        self.snapshot_crc = crc32fast::hash(&snapshot.data);
        self.ready.entries.clear();
        self.ready.truncate_from = None;
        self.ready.committed.clear();
        self.ready.snapshot = Some(snapshot.clone());
        self.log.reset(snapshot);
        self.refresh_voters();
    }
}
