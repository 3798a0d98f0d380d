//! A Raft replica: a voter of the root group, or an observer that follows its log.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use snafu::Snafu;

use super::ballot::ElectionEvent;
use super::log::{Log, Snapshot};
use super::progress::Progress;
use super::restart::Restart;
use super::transfer::Incoming;
use crate::core::time::{Moment, with_clock_margin};
use crate::wire::{Entry, Raft, RaftBody, Voter};

/// Interval between a leader's heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(120);
/// Shortest election timeout. A replica grants no vote within this time of hearing from
/// a leader, unless that leader has stepped down. The leader lease relies on this.
pub const ELECTION_TIMEOUT_MIN: Duration = Duration::from_millis(500);
/// Longest election timeout.
pub const ELECTION_TIMEOUT_MAX: Duration = Duration::from_millis(1_000);

/// Raft's hard state, which must be synced before messages are sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Latest term that the replica has seen.
    pub term: u64,
    /// Replica that got this replica's vote in `term`, or 0 for none.
    pub vote: u64,
}

/// Persistent state from which a replica starts.
#[derive(Clone, Debug, Default)]
pub struct Stored {
    /// Stored term and vote.
    pub hard_state: HardState,
    /// Latest stored snapshot, or the default one if there is none.
    pub snapshot: Snapshot,
    /// Log entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// Work for the driver, which stores, then sends, then applies.
#[derive(Debug, Default)]
pub struct Ready {
    /// Term and vote to store.
    pub hard_state: Option<HardState>,
    /// Snapshot received from another replica, to be stored and loaded into the state
    /// machine.
    pub snapshot: Option<Snapshot>,
    /// Index from which on the stored log is to be truncated.
    pub truncate_from: Option<u64>,
    /// Entries to append to the stored log, after any truncation.
    pub entries: Vec<Entry>,
    /// Messages to send once everything above is stored.
    pub messages: Vec<Raft>,
    /// Committed entries to apply to the state machine.
    pub committed: Vec<Entry>,
    /// Election events to write to the journal.
    pub election_events: Vec<ElectionEvent>,
}

/// Error for a proposal to a replica that does not lead, or that cannot change the
/// voters at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("not the leader of the root group"))]
pub struct NotLeader {
    /// Current leader, if known.
    pub leader: Option<u64>,
}

#[derive(Debug)]
pub(super) enum Role {
    Follower,
    PreCandidate(BTreeSet<u64>),
    Candidate(BTreeSet<u64>),
    Leader(LeaderState),
}

#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) progress: BTreeMap<u64, Progress>,
    pub(super) heartbeat_at: Moment,
    pub(super) since: Moment,
    /// Index of the first entry of the leader's term.
    pub(super) first_index: u64,
}

/// State machine of one replica.
///
/// It does no I/O: the driver passes messages and the time in, and carries out the work
/// that [`Replica::take_ready`] returns.
#[derive(Debug)]
pub struct Replica {
    pub(super) id: u64,
    pub(super) name: String,
    pub(super) durable: bool,
    pub(super) hard_state: HardState,
    pub(super) role: Role,
    pub(super) log: Log,
    pub(super) snapshot_crc: u32,
    pub(super) voters: Vec<Voter>,
    /// Index of the entry or snapshot that set `voters`.
    pub(super) voters_index: u64,
    pub(super) commit: u64,
    /// Index of the last entry returned to the driver for applying.
    pub(super) delivered: u64,
    /// Index up to which the own log is known to be stored.
    pub(super) stable: u64,
    pub(super) leader: Option<u64>,
    pub(super) leader_heard_at: Moment,
    /// Set from a restart until this replica hears from a leader or votes.
    pub(super) restart: Option<Restart>,
    pub(super) election_at: Moment,
    pub(super) observe_at: Moment,
    pub(super) rng: ChaCha8Rng,
    pub(super) incoming: Option<Incoming>,
    pub(super) ready: Ready,
}

impl Ready {
    /// Returns whether there is anything to store.
    pub const fn must_sync(&self) -> bool {
        self.hard_state.is_some()
            || self.snapshot.is_some()
            || self.truncate_from.is_some()
            || !self.entries.is_empty()
    }

    /// Returns whether there is nothing to store, send or apply.
    pub const fn is_idle(&self) -> bool {
        !self.must_sync() && self.messages.is_empty() && self.committed.is_empty()
    }
}

impl Replica {
    /// Makes a replica that starts at `now` from its stored state. `seed` determines its
    /// election timeouts.
    ///
    /// A restarted replica does not vote before the shortest election timeout has
    /// passed, since it may have heard from a leader just before the restart, unless every
    /// other voter replies that it does not lead.
    pub fn new(id: u64, name: &str, durable: bool, stored: Stored, now: Moment, seed: u64) -> Self {
        let crc = crc32fast::hash(&stored.snapshot.data);
        let commit = stored.snapshot.index;
        let log = Log::new(stored.snapshot, stored.entries);
        let mut replica = Self {
            id,
            name: name.to_owned(),
            durable,
            hard_state: stored.hard_state,
            role: Role::Follower,
            snapshot_crc: crc,
            voters: Vec::new(),
            voters_index: 0,
            commit,
            delivered: commit,
            stable: log.last_index(),
            log,
            leader: None,
            leader_heard_at: now,
            restart: Some(Restart::new(now, seed)),
            election_at: now,
            observe_at: now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            incoming: None,
            ready: Ready::default(),
        };
        replica.refresh_voters();
        replica.reset_election_timeout(now);
        replica
    }

    /// Returns this replica's number, by which the others address it.
    pub const fn id(&self) -> u64 {
        self.id
    }

    /// Returns the current term.
    pub const fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Returns the current leader, as far as this replica knows.
    pub const fn leader(&self) -> Option<u64> {
        self.leader
    }

    /// Returns whether this replica leads.
    pub const fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the commit index.
    pub const fn commit(&self) -> u64 {
        self.commit
    }

    /// Returns the log.
    pub const fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the latest voters in the log, committed or not.
    pub fn voters(&self) -> &[Voter] {
        &self.voters
    }

    /// Returns whether this replica is among the voters.
    pub fn is_voter(&self) -> bool {
        self.is_voting(self.id)
    }

    /// Returns whether this replica knows no voters, so that the group may not have been
    /// founded yet.
    pub const fn is_uninitialized(&self) -> bool {
        self.voters.is_empty()
    }

    /// Returns the progress of each follower and observer. Empty unless this replica
    /// leads.
    pub fn progress(&self) -> impl Iterator<Item = (u64, &Progress)> {
        let progress = match &self.role {
            Role::Leader(leader) => Some(&leader.progress),
            _ => None,
        };
        progress.into_iter().flatten().map(|(&id, p)| (id, p))
    }

    /// Founds the group with `voters`, which become the first log entry. Does nothing if
    /// this replica knows voters or has log entries.
    pub fn found(&mut self, now: Moment, voters: Vec<Voter>) {
        if !self.is_uninitialized() || self.log.last_index() > 0 {
            return;
        }
        self.set_hard_state(1, 0);
        self.append(Entry {
            term: 1,
            index: 1,
            command: Bytes::new(),
            voters,
        });
        self.election_at = now;
        self.leader_heard_at = Moment::ZERO;
        self.restart = None;
    }

    /// Returns whether this replica leads and no other replica can: it holds an
    /// unexpired leader lease and has committed an entry of its own term.
    pub fn holds_lease(&self, now: Moment) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let margin = with_clock_margin(ELECTION_TIMEOUT_MIN) - ELECTION_TIMEOUT_MIN;
        self.commit >= leader.first_index
            && now < self.quorum_contact(now) + (ELECTION_TIMEOUT_MIN - margin)
    }

    /// Returns the time at which this replica became leader, or `None` if it does not
    /// lead.
    pub const fn leader_since(&self) -> Option<Moment> {
        match &self.role {
            Role::Leader(leader) => Some(leader.since),
            _ => None,
        }
    }

    /// Appends a command to the log and returns its index.
    ///
    /// # Errors
    ///
    /// Fails if this replica does not lead.
    pub fn propose(&mut self, command: Bytes) -> Result<u64, NotLeader> {
        if !self.is_leader() {
            return Err(NotLeader {
                leader: self.leader,
            });
        }
        let index = self.log.last_index() + 1;
        self.append(Entry {
            term: self.hard_state.term,
            index,
            command,
            voters: Vec::new(),
        });
        Ok(index)
    }

    /// Proposes voters that differ from the current ones by one replica, and returns the
    /// index of the entry.
    ///
    /// # Errors
    ///
    /// Fails if this replica does not lead, if `voters` is empty or differs by another
    /// number of replicas, if an earlier change is not committed yet, or if no entry of
    /// this term is.
    pub fn propose_voters(&mut self, voters: Vec<Voter>) -> Result<u64, NotLeader> {
        let refused = NotLeader {
            leader: self.leader,
        };
        let Role::Leader(leader) = &self.role else {
            return Err(refused);
        };
        let old: BTreeSet<u64> = self.voters.iter().map(|v| v.replica).collect();
        let new: BTreeSet<u64> = voters.iter().map(|v| v.replica).collect();
        let changes = old.symmetric_difference(&new).count();
        let settled = self.commit >= self.voters_index && self.commit >= leader.first_index;
        if changes != 1 || new.is_empty() || !settled {
            return Err(refused);
        }
        let index = self.log.last_index() + 1;
        self.append(Entry {
            term: self.hard_state.term,
            index,
            command: Bytes::new(),
            voters,
        });
        Ok(index)
    }

    /// Sends entries proposed since the last call, without waiting for a heartbeat.
    pub fn flush(&mut self, now: Moment) {
        if self.is_leader() {
            self.replicate(now, false);
        }
    }

    /// Handles timeouts that have expired by `now`.
    pub fn tick(&mut self, now: Moment) {
        match &self.role {
            Role::Leader(_) => self.tick_leader(now),
            _ if self.is_voter() => {
                if now >= self.election_at {
                    self.campaign(now, true);
                    // A voter that was removed while it was unreachable gets no answer
                    // to its vote requests. It learns of its removal as an observer.
                    self.send_observe(0);
                }
            }
            _ => self.tick_observer(now),
        }
    }

    /// Handles a message from another replica. A message without a body or for another
    /// replica is ignored.
    pub fn step(&mut self, now: Moment, message: Raft) {
        let from = message.from;
        let Some(body) = message.body else {
            return;
        };
        if message.to != self.id && !matches!(body, RaftBody::Observe(_)) {
            return;
        }
        if let RaftBody::Vote(vote) = body {
            self.step_vote(now, from, message.term, vote);
            return;
        }
        let is_pre_reply =
            matches!(&body, RaftBody::VoteReply(reply) if reply.pre && reply.granted);
        let is_observe = matches!(body, RaftBody::Observe(_));
        if message.term > self.hard_state.term && !is_pre_reply && !is_observe {
            self.become_follower(now, message.term);
        }
        match body {
            RaftBody::Vote(_) => {}
            RaftBody::VoteReply(reply) => self.step_vote_reply(now, from, message.term, reply),
            RaftBody::Append(append) => self.step_append(now, from, message.term, append),
            RaftBody::AppendReply(reply) => self.step_append_reply(now, from, message.term, reply),
            RaftBody::Snapshot(part) => self.step_snapshot(now, from, message.term, &part),
            RaftBody::SnapshotReply(reply) => {
                self.step_snapshot_reply(now, from, message.term, reply);
            }
            RaftBody::Observe(observe) => self.step_observe(now, from, &observe),
            RaftBody::TimeoutNow(_) => self.step_timeout_now(now, from, message.term),
        }
    }

    /// Returns the work collected since the last call.
    pub fn take_ready(&mut self) -> Ready {
        let mut ready = std::mem::take(&mut self.ready);
        ready.committed = self.take_committed();
        ready
    }

    fn take_committed(&mut self) -> Vec<Entry> {
        let mut committed = Vec::new();
        while self.delivered < self.commit {
            let Some(entry) = self.log.get(self.delivered + 1) else {
                break;
            };
            self.delivered += 1;
            committed.push(entry.clone());
        }
        committed
    }

    /// Records that everything returned by [`Replica::take_ready`] so far has been
    /// stored.
    pub fn mark_persisted(&mut self, now: Moment) {
        self.stable = self.log.last_index();
        if self.is_leader() {
            self.advance_commit(now);
        }
    }

    /// Records that the log is stored up to the entry at `index`, while later entries
    /// may still be in flight to the disk. Ignored if the entry at `index` no longer has
    /// the given term.
    pub fn mark_persisted_to(&mut self, now: Moment, index: u64, term: u64) {
        if self.log.term_at(index) != Some(term) {
            return;
        }
        self.stable = self.stable.max(index);
        if self.is_leader() {
            self.advance_commit(now);
        }
    }

    /// Returns the messages and committed entries that a leader may send and apply while
    /// its own disk is still writing.
    ///
    /// A leader's own entries count towards a quorum only once they are recorded as
    /// stored, so followers may receive them earlier. Replicas in other roles must store
    /// before they reply; for them the result is empty.
    pub fn take_unstored(&mut self) -> Ready {
        if !self.is_leader() || self.ready.hard_state.is_some() {
            return Ready::default();
        }
        let messages = std::mem::take(&mut self.ready.messages);
        Ready {
            messages,
            committed: self.take_committed(),
            ..Ready::default()
        }
    }

    /// Compacts the log with `data`, a snapshot of the state after the entry at `index`.
    /// Returns the snapshot to store, or `None` if the entry has not been returned for
    /// applying or is already covered by a snapshot.
    pub fn compact(&mut self, index: u64, data: Bytes) -> Option<Snapshot> {
        let term = self.log.term_at(index)?;
        if index > self.delivered || index <= self.log.snapshot().index {
            return None;
        }
        let snapshot = Snapshot {
            index,
            term,
            voters: self.log.voters_at(index),
            data,
        };
        self.snapshot_crc = crc32fast::hash(&snapshot.data);
        self.log.compact(snapshot.clone());
        Some(snapshot)
    }

    pub(super) fn is_voting(&self, replica: u64) -> bool {
        self.voters.iter().any(|v| v.replica == replica)
    }

    pub(super) fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    pub(super) fn refresh_voters(&mut self) {
        let (voters, index) = self.log.voters();
        self.voters_index = index;
        self.voters = voters.to_vec();
    }

    pub(super) fn set_hard_state(&mut self, term: u64, vote: u64) {
        self.hard_state = HardState { term, vote };
        self.ready.hard_state = Some(self.hard_state);
    }

    pub(super) fn append(&mut self, entry: Entry) {
        let changes_voters = !entry.voters.is_empty();
        self.ready.entries.push(entry.clone());
        self.log.push(entry);
        if changes_voters {
            self.refresh_voters();
        }
    }

    pub(super) fn send(&mut self, to: u64, body: RaftBody) {
        self.ready.messages.push(Raft {
            term: self.hard_state.term,
            from: self.id,
            to,
            body: Some(body),
        });
    }
}
