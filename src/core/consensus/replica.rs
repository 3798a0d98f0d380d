//! One replica of the root group, or an observer that follows it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use snafu::Snafu;

use super::ballot::Ballot;
use super::log::{Log, Snapshot};
use super::progress::Progress;
use super::transfer::Incoming;
use crate::core::time::{Moment, with_clock_margin};
use crate::wire::{Entry, Raft, RaftBody, Voter};

/// Interval of a leader's heartbeats.
pub const HEARTBEAT_EVERY: Duration = Duration::from_millis(120);
/// Shortest election timeout. No replica votes within this of a leader's word.
pub const ELECTION_MIN: Duration = Duration::from_millis(500);
/// Longest election timeout.
pub const ELECTION_MAX: Duration = Duration::from_millis(1_000);

/// What must be synced before messages are sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Hard {
    /// Latest term seen.
    pub term: u64,
    /// Replica voted for in that term, or 0.
    pub vote: u64,
}

/// What a replica starts from.
#[derive(Clone, Debug, Default)]
pub struct Stored {
    /// Term and vote.
    pub hard: Hard,
    /// Snapshot.
    pub snapshot: Snapshot,
    /// Entries after it.
    pub entries: Vec<Entry>,
}

/// Work for the driver, in this order: store, send, apply.
#[derive(Debug, Default)]
pub struct Ready {
    /// Term and vote to store.
    pub hard: Option<Hard>,
    /// Snapshot of another replica to store and to load into the state machine.
    pub snapshot: Option<Snapshot>,
    /// First index to remove from the stored log.
    pub truncate_from: Option<u64>,
    /// Entries to store.
    pub entries: Vec<Entry>,
    /// Messages to send once all that is stored.
    pub messages: Vec<Raft>,
    /// Entries to apply.
    pub committed: Vec<Entry>,
    /// Decisions of elections, to be logged.
    pub ballots: Vec<Ballot>,
}

/// The replica does not lead, so it cannot take proposals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("not the leader of the root group"))]
pub struct NotLeader {
    /// Leader, if known.
    pub leader: Option<u64>,
}

#[derive(Debug)]
pub(super) enum Role {
    Follower,
    PreCandidate(BTreeSet<u64>),
    Candidate(BTreeSet<u64>),
    Leader(Lead),
}

#[derive(Debug)]
pub(super) struct Lead {
    pub(super) progress: BTreeMap<u64, Progress>,
    pub(super) heartbeat_at: Moment,
    pub(super) since: Moment,
    pub(super) first_index: u64,
}

/// One replica.
#[derive(Debug)]
pub struct Replica {
    pub(super) id: u64,
    pub(super) name: String,
    pub(super) durable: bool,
    pub(super) hard: Hard,
    pub(super) role: Role,
    pub(super) log: Log,
    pub(super) snapshot_crc: u32,
    pub(super) voters: Vec<Voter>,
    pub(super) voters_index: u64,
    pub(super) commit: u64,
    pub(super) handed: u64,
    pub(super) stable: u64,
    pub(super) leader: Option<u64>,
    pub(super) contact: Moment,
    pub(super) election_at: Moment,
    pub(super) observe_at: Moment,
    pub(super) rng: ChaCha8Rng,
    pub(super) incoming: Option<Incoming>,
    pub(super) ready: Ready,
}

impl Ready {
    /// Returns whether the disk has something to store.
    pub const fn needs_disk(&self) -> bool {
        self.hard.is_some()
            || self.snapshot.is_some()
            || self.truncate_from.is_some()
            || !self.entries.is_empty()
    }

    /// Returns whether there is nothing to do.
    pub const fn is_idle(&self) -> bool {
        !self.needs_disk() && self.messages.is_empty() && self.committed.is_empty()
    }
}

impl Replica {
    /// Makes a replica that starts at `now` from what it stored.
    ///
    /// A replica that restarts does not vote before [`ELECTION_MIN`] has passed,
    /// since it may have heard a leader just before.
    pub fn new(id: u64, name: &str, durable: bool, stored: Stored, now: Moment, seed: u64) -> Self {
        let crc = crc32fast::hash(&stored.snapshot.data);
        let commit = stored.snapshot.index;
        let log = Log::new(stored.snapshot, stored.entries);
        let mut replica = Self {
            id,
            name: name.to_owned(),
            durable,
            hard: stored.hard,
            role: Role::Follower,
            snapshot_crc: crc,
            voters: Vec::new(),
            voters_index: 0,
            commit,
            handed: commit,
            stable: log.last_index(),
            log,
            leader: None,
            contact: now,
            election_at: now,
            observe_at: now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            incoming: None,
            ready: Ready::default(),
        };
        replica.refresh_voters();
        replica.reset_election(now);
        replica
    }

    /// Returns this replica's identity.
    pub const fn id(&self) -> u64 {
        self.id
    }

    /// Returns the current term.
    pub const fn term(&self) -> u64 {
        self.hard.term
    }

    /// Returns the replica that leads, as far as known.
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

    /// Returns the voters in force.
    pub fn voters(&self) -> &[Voter] {
        &self.voters
    }

    /// Returns whether this replica votes.
    pub fn is_voter(&self) -> bool {
        self.is_voting(self.id)
    }

    /// Returns whether the group has not been founded, as far as this replica knows.
    pub const fn is_blank(&self) -> bool {
        self.voters.is_empty()
    }

    /// Returns the followers and observers of a leader.
    pub fn progress(&self) -> impl Iterator<Item = (u64, &Progress)> {
        let progress = match &self.role {
            Role::Leader(lead) => Some(&lead.progress),
            _ => None,
        };
        progress.into_iter().flatten().map(|(&id, p)| (id, p))
    }

    /// Founds the group: the first entry names its voters.
    pub fn found(&mut self, now: Moment, voters: Vec<Voter>) {
        if !self.is_blank() || self.log.last_index() > 0 {
            return;
        }
        self.set_hard(1, 0);
        self.append(Entry {
            term: 1,
            index: 1,
            command: Bytes::new(),
            voters,
        });
        self.election_at = now;
        self.contact = Moment::ZERO;
    }

    /// Returns whether this replica leads and no other replica can: its lease of
    /// leadership holds and an entry of its own term is committed.
    pub fn is_leased(&self, now: Moment) -> bool {
        let Role::Leader(lead) = &self.role else {
            return false;
        };
        let margin = with_clock_margin(ELECTION_MIN) - ELECTION_MIN;
        self.commit >= lead.first_index && now < self.quorum_contact(now) + (ELECTION_MIN - margin)
    }

    /// Returns when this replica began to lead.
    pub const fn leader_since(&self) -> Option<Moment> {
        match &self.role {
            Role::Leader(lead) => Some(lead.since),
            _ => None,
        }
    }

    /// Adds a command to the log.
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
            term: self.hard.term,
            index,
            command,
            voters: Vec::new(),
        });
        Ok(index)
    }

    /// Changes the voters by one replica. Refused while another change is under
    /// way or before an entry of this term is committed.
    ///
    /// # Errors
    ///
    /// Fails if this replica does not lead or may not change the group now.
    pub fn propose_voters(&mut self, voters: Vec<Voter>) -> Result<u64, NotLeader> {
        let refused = NotLeader {
            leader: self.leader,
        };
        let Role::Leader(lead) = &self.role else {
            return Err(refused);
        };
        let old: BTreeSet<u64> = self.voters.iter().map(|v| v.replica).collect();
        let new: BTreeSet<u64> = voters.iter().map(|v| v.replica).collect();
        let changes = old.symmetric_difference(&new).count();
        let settled = self.commit >= self.voters_index && self.commit >= lead.first_index;
        if changes != 1 || new.is_empty() || !settled {
            return Err(refused);
        }
        let index = self.log.last_index() + 1;
        self.append(Entry {
            term: self.hard.term,
            index,
            command: Bytes::new(),
            voters,
        });
        Ok(index)
    }

    /// Sends what was proposed since the last call, without waiting for a heartbeat.
    pub fn flush(&mut self, now: Moment) {
        if self.is_leader() {
            self.replicate(now, false);
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Moment) {
        match &self.role {
            Role::Leader(_) => self.tick_leader(now),
            _ if self.is_voter() => {
                if now >= self.election_at {
                    self.campaign(now, true);
                    // A voter that was voted out while it was away learns of it as
                    // an observer; nobody answers its votes.
                    self.send_observe(0);
                }
            }
            _ => self.tick_observer(now),
        }
    }

    /// Takes a message.
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
        if message.term > self.hard.term && !is_pre_reply && !is_observe {
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
            RaftBody::Yield(_) => self.step_yield(now, from, message.term),
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
        while self.handed < self.commit {
            let Some(entry) = self.log.get(self.handed + 1) else {
                break;
            };
            self.handed += 1;
            committed.push(entry.clone());
        }
        committed
    }

    /// Records that all work returned so far has been stored.
    pub fn persisted(&mut self, now: Moment) {
        self.stable = self.log.last_index();
        if self.is_leader() {
            self.advance_commit(now);
        }
    }

    /// Records that the log is stored up to the entry `index` of `term`, while later
    /// entries may still be on their way to the disk.
    pub fn persisted_to(&mut self, now: Moment, index: u64, term: u64) {
        if self.log.term_at(index) != Some(term) {
            return;
        }
        self.stable = self.stable.max(index);
        if self.is_leader() {
            self.advance_commit(now);
        }
    }

    /// Returns what a leader may send and apply before its own disk is done. Its
    /// entries count for it only after [`Replica::persisted_to`], so followers may
    /// have them first. Others must store before they answer, and get nothing here.
    pub fn take_unstored(&mut self) -> Ready {
        if !self.is_leader() || self.ready.hard.is_some() {
            return Ready::default();
        }
        let messages = std::mem::take(&mut self.ready.messages);
        Ready {
            messages,
            committed: self.take_committed(),
            ..Ready::default()
        }
    }

    /// Compacts the log by a snapshot of the state after entry `index`.
    pub fn compact(&mut self, index: u64, data: Bytes) -> Option<Snapshot> {
        let term = self.log.term_at(index)?;
        if index > self.handed || index <= self.log.snapshot().index {
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

    pub(super) fn set_hard(&mut self, term: u64, vote: u64) {
        self.hard = Hard { term, vote };
        self.ready.hard = Some(self.hard);
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
            term: self.hard.term,
            from: self.id,
            to,
            body: Some(body),
        });
    }
}
