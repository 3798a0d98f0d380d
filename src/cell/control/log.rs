//! The replicated log: sends messages, stores and applies entries, compacts the log.

use super::{COMPACT_LOG_BYTES, COMPACT_LOG_ENTRIES, Control};
use crate::cell::Transport;
use crate::cell::journal::Line;
use crate::cell::metrics::Metrics;
use crate::cell::storage::{Completion, Request};
use crate::core::consensus::{ElectionEvent, Ready};
use crate::core::plane::codec;
use crate::core::plane::state::Command;
use crate::wire::{Body, Entry, Raft};

impl<P: Transport> Control<P> {
    // Processes the replica's output until there is none: sends messages, hands entries to
    // the disk thread and applies committed entries. While a write is in progress, only
    // output that needs no further write is processed.
    pub(super) fn process_ready(&mut self) {
        loop {
            let now = self.clock.now();
            self.replica.flush(now);
            if self.storing {
                let ready = self.replica.take_unstored();
                if ready.is_idle() {
                    break;
                }
                self.send_all(ready.messages);
                self.apply_all(ready.committed);
                continue;
            }
            let mut ready = self.replica.take_ready();
            self.log_election_events(std::mem::take(&mut ready.election_events));
            if ready.is_idle() {
                break;
            }
            // A leader may send entries to followers before its own write completes.
            if self.replica.is_leader() && ready.hard_state.is_none() || !ready.must_sync() {
                let messages = std::mem::take(&mut ready.messages);
                self.send_all(messages);
            }
            if let Some(snapshot) = &ready.snapshot {
                self.restore_snapshot(snapshot.index, &snapshot.data);
            }
            let committed = std::mem::take(&mut ready.committed);
            if ready.must_sync() {
                self.store(ready);
            }
            self.apply_all(committed);
        }
        self.compact();
    }

    fn log_election_events(&self, events: Vec<ElectionEvent>) {
        for event in events {
            let line = match event {
                ElectionEvent::Stood {
                    pre,
                    term,
                    last_index,
                } => Line::Stood {
                    pre,
                    term,
                    last_index,
                },
                ElectionEvent::Asked {
                    candidate,
                    pre,
                    term,
                    refused,
                } => Line::VoteAsked {
                    candidate: self.name_of(candidate),
                    pre,
                    term,
                    refused,
                },
            };
            self.journal.write(&line);
        }
    }

    // Returns the instance name of a replica, or its number if it is not linked.
    fn name_of(&self, replica: u64) -> String {
        let peer = self.peers.values().find(|p| p.replica == replica);
        peer.map_or_else(|| replica.to_string(), |p| p.name.clone())
    }

    pub(super) fn store(&mut self, ready: Ready) {
        let log = self.replica.log();
        let last = (log.last_index(), log.last_term());
        let ready = Box::new(ready);
        if self
            .disk_requests
            .send(Request::Store { ready, last })
            .is_err()
        {
            self.journal.write(&Line::DiskRefused {
                error: "disk thread has ended; stopping this instance".to_owned(),
            });
            self.token.cancel();
        }
        self.storing = true;
    }

    pub(super) fn handle_disk_result(&mut self, completion: Completion) {
        self.load.record_input();
        match completion {
            Completion::Stored { ready, last } => {
                self.storing = false;
                let now = self.clock.now();
                self.replica.mark_persisted_to(now, last.0, last.1);
                self.send_all(ready.messages);
                self.process_ready();
            }
            Completion::Compacted => self.compacting = false,
        }
    }

    pub(super) fn restore_snapshot(&mut self, index: u64, data: &[u8]) {
        match codec::decode_state(data) {
            Ok(state) => {
                self.state = state;
                self.state.applied = index;
            }
            Err(err) => {
                // Continuing would apply later entries to the wrong state.
                self.log_unreadable("state in a snapshot", &err);
                self.token.cancel();
            }
        }
    }

    pub(super) fn apply_all(&mut self, committed: Vec<Entry>) {
        for entry in committed {
            self.apply(&entry);
        }
    }

    pub(super) fn apply(&mut self, entry: &Entry) {
        if !entry.voters.is_empty() {
            let voters = entry.voters.iter().map(|v| v.name.clone()).collect();
            let index = entry.index;
            self.journal.write(&Line::Voters { index, voters });
            self.mesh.set_founded();
        }
        if !entry.command.is_empty() {
            match codec::decode::<Command>(&entry.command) {
                Ok(command) => self.apply_command(command),
                Err(err) => self.log_unreadable("command in a log entry", &err),
            }
        }
        self.state.applied = entry.index;
        let now = self.clock.now();
        if let Some(at) = self.proposed_at.remove(&entry.index) {
            Metrics::observe(&self.metrics.commit_seconds, now.since(at));
        }
        for (call, answer) in self
            .deferred_answers
            .remove(&entry.index)
            .unwrap_or_default()
        {
            self.send_answer(call, answer);
        }
    }

    pub(super) fn apply_command(&mut self, command: Command) {
        if self.lead.is_none() {
            self.state.apply(command);
            return;
        }
        self.state.apply(command.clone());
        self.decide(|lead, now, state| lead.handle_applied(now, state, &command));
    }

    pub(super) fn send_all(&mut self, messages: Vec<Raft>) {
        for raft in messages {
            // Replica 0 addresses all durable peers.
            if raft.to == 0 {
                let durable = self.peers.values().filter(|p| p.durable);
                for peer in durable {
                    if let Some(link) = self.link(peer.id) {
                        link.send(Body::Raft(raft.clone()));
                    }
                }
            } else if let Some(link) = self.instance_of(raft.to).and_then(|id| self.link(id)) {
                link.send(Body::Raft(raft));
            }
        }
    }

    pub(super) fn compact(&mut self) {
        let log = self.replica.log();
        let is_long = log.bytes() >= COMPACT_LOG_BYTES || log.len() >= COMPACT_LOG_ENTRIES;
        if !is_long || self.compacting || self.storing {
            return;
        }
        let data = codec::encode(&self.state);
        let bytes = data.len();
        let index = self.state.applied;
        let Some(snapshot) = self.replica.compact(index, data) else {
            return;
        };
        let log = self.replica.log();
        let entries = log.slice(log.first_index(), usize::MAX);
        self.journal.write(&Line::Compacted { index, bytes });
        self.compacting = true;
        let request = Request::Compact(Box::new(snapshot), entries);
        if self.disk_requests.send(request).is_err() {
            self.token.cancel();
        }
    }
}
