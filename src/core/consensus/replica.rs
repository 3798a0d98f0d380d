//! One replica of the root group, or an observer that follows it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use snafu::Snafu;

use super::log::{Log, Snapshot};
use super::progress::Progress;
use super::transfer::{Incoming, part_of};
use crate::core::time::{Moment, with_clock_margin};
use crate::wire::{
    Append, AppendReply, Entry, Observe, Raft, RaftBody, SnapshotPart, SnapshotReply, Vote,
    VoteReply, Voter,
};

/// Interval of a leader's heartbeats.
pub const HEARTBEAT_EVERY: Duration = Duration::from_millis(200);
/// Shortest election timeout. No replica votes within this of a leader's word.
pub const ELECTION_MIN: Duration = Duration::from_millis(1_000);
/// Longest election timeout.
pub const ELECTION_MAX: Duration = Duration::from_millis(2_000);
/// Interval at which observers ask to be replicated to.
const OBSERVE_EVERY: Duration = Duration::from_millis(500);
/// A leader forgets observers that were silent for this long.
const OBSERVER_SILENCE_MAX: Duration = Duration::from_secs(10);
/// A part of a snapshot is sent again when it was not answered for this long.
const PART_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Bytes of entries in one message.
const APPEND_BYTES: usize = 256 << 10;

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
}

/// The replica does not lead, so it cannot take proposals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("not the leader of the root group"))]
pub struct NotLeader {
    /// Leader, if known.
    pub leader: Option<u64>,
}

#[derive(Debug)]
enum Role {
    Follower,
    PreCandidate(BTreeSet<u64>),
    Candidate(BTreeSet<u64>),
    Leader(Lead),
}

#[derive(Debug)]
struct Lead {
    progress: BTreeMap<u64, Progress>,
    heartbeat_at: Moment,
    since: Moment,
    first_index: u64,
}

/// One replica.
#[derive(Debug)]
pub struct Replica {
    id: u64,
    name: String,
    durable: bool,
    hard: Hard,
    role: Role,
    log: Log,
    snapshot_crc: u32,
    voters: Vec<Voter>,
    voters_index: u64,
    commit: u64,
    handed: u64,
    stable: u64,
    leader: Option<u64>,
    contact: Moment,
    election_at: Moment,
    observe_at: Moment,
    rng: ChaCha8Rng,
    incoming: Option<Incoming>,
    ready: Ready,
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
        }
    }

    /// Returns the work collected since the last call.
    pub fn take_ready(&mut self) -> Ready {
        let mut ready = std::mem::take(&mut self.ready);
        while self.handed < self.commit {
            let Some(entry) = self.log.get(self.handed + 1) else {
                break;
            };
            self.handed += 1;
            ready.committed.push(entry.clone());
        }
        ready
    }

    /// Records that all work returned so far has been stored.
    pub fn persisted(&mut self, now: Moment) {
        self.stable = self.log.last_index();
        if self.is_leader() {
            self.advance_commit(now);
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

    fn is_voting(&self, replica: u64) -> bool {
        self.voters.iter().any(|v| v.replica == replica)
    }

    fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    fn refresh_voters(&mut self) {
        let (voters, index) = self.log.voters();
        self.voters_index = index;
        self.voters = voters.to_vec();
    }

    fn set_hard(&mut self, term: u64, vote: u64) {
        self.hard = Hard { term, vote };
        self.ready.hard = Some(self.hard);
    }

    fn append(&mut self, entry: Entry) {
        let changes_voters = !entry.voters.is_empty();
        self.ready.entries.push(entry.clone());
        self.log.push(entry);
        if changes_voters {
            self.refresh_voters();
        }
    }

    fn send(&mut self, to: u64, body: RaftBody) {
        self.ready.messages.push(Raft {
            term: self.hard.term,
            from: self.id,
            to,
            body: Some(body),
        });
    }

    fn reset_election(&mut self, now: Moment) {
        let span = (ELECTION_MAX - ELECTION_MIN).as_micros() as u64;
        let extra = Duration::from_micros(self.rng.random_range(0..=span));
        self.election_at = now + ELECTION_MIN + extra;
    }

    fn become_follower(&mut self, now: Moment, term: u64) {
        if term > self.hard.term {
            self.set_hard(term, 0);
            self.leader = None;
        }
        self.role = Role::Follower;
        self.reset_election(now);
    }

    fn campaign(&mut self, now: Moment, pre: bool) {
        self.leader = None;
        self.reset_election(now);
        let own = BTreeSet::from([self.id]);
        if pre {
            self.role = Role::PreCandidate(own);
        } else {
            self.set_hard(self.hard.term + 1, self.id);
            self.role = Role::Candidate(own);
        }
        let vote = Vote {
            pre,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            for_term: self.hard.term + u64::from(pre),
        };
        for id in self.other_voters() {
            self.send(id, RaftBody::Vote(vote));
        }
        self.count_votes(now);
    }

    fn other_voters(&self) -> Vec<u64> {
        self.voters
            .iter()
            .map(|v| v.replica)
            .filter(|&id| id != self.id)
            .collect()
    }

    fn step_vote(&mut self, now: Moment, from: u64, term: u64, vote: Vote) {
        // A replica that hears its leader takes no part, so that one that was cut
        // off cannot disturb the group.
        let hears_leader = self.is_leader() || now < self.contact + with_clock_margin(ELECTION_MIN);
        if hears_leader {
            return;
        }
        if !vote.pre && term > self.hard.term {
            self.become_follower(now, term);
        }
        let current = (self.log.last_term(), self.log.last_index());
        let up_to_date = (vote.last_term, vote.last_index) >= current;
        let granted = if vote.pre {
            up_to_date && vote.for_term > self.hard.term
        } else {
            let free = self.hard.vote == 0 || self.hard.vote == from;
            up_to_date && term == self.hard.term && free
        };
        if granted && !vote.pre {
            self.set_hard(self.hard.term, from);
            self.reset_election(now);
        }
        let reply = VoteReply {
            pre: vote.pre,
            granted,
            for_term: vote.for_term,
        };
        self.send(from, RaftBody::VoteReply(reply));
    }

    fn step_vote_reply(&mut self, now: Moment, from: u64, term: u64, reply: VoteReply) {
        if !reply.granted || !self.is_voting(from) {
            return;
        }
        let own_term = self.hard.term;
        match &mut self.role {
            Role::PreCandidate(votes) if reply.pre && reply.for_term == own_term + 1 => {
                votes.insert(from);
            }
            Role::Candidate(votes) if !reply.pre && term == own_term => {
                votes.insert(from);
            }
            _ => return,
        }
        self.count_votes(now);
    }

    fn count_votes(&mut self, now: Moment) {
        let quorum = self.quorum();
        match &self.role {
            Role::PreCandidate(votes) if votes.len() >= quorum => self.campaign(now, false),
            Role::Candidate(votes) if votes.len() >= quorum => self.become_leader(now),
            _ => {}
        }
    }

    fn become_leader(&mut self, now: Moment) {
        let next = self.log.last_index() + 1;
        let progress = self
            .voters
            .iter()
            .filter(|v| v.replica != self.id)
            .map(|v| {
                let mut progress = Progress::new(&v.name, next, now);
                progress.durable = true;
                (v.replica, progress)
            })
            .collect();
        self.role = Role::Leader(Lead {
            progress,
            heartbeat_at: now,
            since: now,
            first_index: next,
        });
        self.leader = Some(self.id);
        // The entry of the new term lets earlier entries commit.
        let noop = crate::core::registry::Command::Noop;
        let command = postcard::to_allocvec(&noop).expect("command encodes");
        self.append(Entry {
            term: self.hard.term,
            index: next,
            command: command.into(),
            voters: Vec::new(),
        });
        self.replicate(now, true);
    }

    fn tick_leader(&mut self, now: Moment) {
        let contact = self.quorum_contact(now);
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        if now.since(contact.max(lead.since)) > ELECTION_MAX {
            let term = self.hard.term;
            self.become_follower(now, term);
            self.leader = None;
            return;
        }
        let voters = &self.voters;
        lead.progress.retain(|id, p| {
            now.since(p.heard_at) < OBSERVER_SILENCE_MAX || voters.iter().any(|v| v.replica == *id)
        });
        if now >= lead.heartbeat_at {
            lead.heartbeat_at = now + HEARTBEAT_EVERY;
            self.replicate(now, true);
        }
    }

    fn tick_observer(&mut self, now: Moment) {
        if now < self.observe_at {
            return;
        }
        self.observe_at = now + OBSERVE_EVERY;
        if now.since(self.contact) > ELECTION_MAX {
            self.leader = None;
        }
        self.send_observe(self.leader.unwrap_or(0));
    }

    // Addressed to replica 0, the driver sends it to every peer; only a leader
    // takes it.
    fn send_observe(&mut self, to: u64) {
        let observe = Observe {
            last_index: self.log.last_index(),
            durable: self.durable,
            name: self.name.clone(),
        };
        self.send(to, RaftBody::Observe(observe));
    }

    fn step_observe(&mut self, now: Moment, from: u64, observe: &Observe) {
        let next = self.log.last_index() + 1;
        let is_voting = self.is_voting(from);
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let known = lead.progress.contains_key(&from);
        let progress = lead
            .progress
            .entry(from)
            .or_insert_with(|| Progress::new(&observe.name, next, now));
        progress.heard_at = now;
        progress.durable = observe.durable;
        if !known && !is_voting {
            progress.next = (observe.last_index + 1).min(next);
            self.send_append(now, from, true);
        }
    }

    /// Returns when the latest requests answered by a quorum were sent.
    fn quorum_contact(&self, now: Moment) -> Moment {
        let Role::Leader(lead) = &self.role else {
            return Moment::ZERO;
        };
        let mut acks: Vec<Moment> = self
            .voters
            .iter()
            .map(|v| {
                if v.replica == self.id {
                    return now;
                }
                lead.progress
                    .get(&v.replica)
                    .map_or(Moment::ZERO, |p| p.acked_at)
            })
            .collect();
        acks.sort_unstable_by(|a, b| b.cmp(a));
        acks.get(self.quorum() - 1).copied().unwrap_or_default()
    }

    fn replicate(&mut self, now: Moment, heartbeat: bool) {
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let last = self.log.last_index();
        for voter in &self.voters {
            if voter.replica != self.id {
                lead.progress
                    .entry(voter.replica)
                    .or_insert_with(|| Progress::new(&voter.name, last + 1, now));
            }
        }
        let targets: Vec<u64> = lead.progress.keys().copied().collect();
        for id in targets {
            self.send_append(now, id, heartbeat);
        }
    }

    fn send_append(&mut self, now: Moment, to: u64, heartbeat: bool) {
        let quorum_age = now.since(self.quorum_contact(now)).as_micros() as u64;
        let last = self.log.last_index();
        let first = self.log.first_index();
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let Some(progress) = lead.progress.get_mut(&to) else {
            return;
        };
        if progress.next < first {
            self.send_part(now, to);
            return;
        }
        if progress.next > last && !heartbeat {
            return;
        }
        let prev_index = progress.next - 1;
        let entries = self.log.slice(progress.next, APPEND_BYTES);
        progress.next += entries.len() as u64;
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

    fn send_part(&mut self, now: Moment, to: u64) {
        let snapshot = self.log.snapshot();
        let index = snapshot.index;
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let Some(progress) = lead.progress.get_mut(&to) else {
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
        let part = part_of(snapshot, self.snapshot_crc, offset, now.0);
        self.send(to, RaftBody::Snapshot(part));
    }

    fn follow(&mut self, now: Moment, from: u64, term: u64) -> bool {
        if term < self.hard.term {
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
        self.contact = now;
        self.reset_election(now);
        true
    }

    fn step_append(&mut self, now: Moment, from: u64, term: u64, append: Append) {
        if !self.follow(now, from, term) {
            return;
        }
        let sent_at = append.sent_at;
        let (ok, index) = self.take_entries(append);
        let reply = AppendReply { ok, index, sent_at };
        self.send(from, RaftBody::AppendReply(reply));
    }

    fn take_entries(&mut self, append: Append) -> (bool, u64) {
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

    fn truncate(&mut self, index: u64) {
        assert!(index > self.commit, "a committed entry never changes");
        self.log.truncate(index);
        self.ready.entries.retain(|entry| entry.index < index);
        let from = self.ready.truncate_from.map_or(index, |at| at.min(index));
        self.ready.truncate_from = Some(from);
        self.stable = self.stable.min(index - 1);
        self.refresh_voters();
    }

    // Skips back over all entries of the conflicting term at once.
    fn mismatch_hint(&self, prev_index: u64, prev_term: u64) -> u64 {
        let mut hint = self.log.last_index().min(prev_index.saturating_sub(1));
        while hint > self.commit && self.log.term_at(hint).is_some_and(|term| term > prev_term) {
            hint -= 1;
        }
        hint
    }

    fn step_append_reply(&mut self, now: Moment, from: u64, term: u64, reply: AppendReply) {
        if term != self.hard.term {
            return;
        }
        let last = self.log.last_index();
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let Some(progress) = lead.progress.get_mut(&from) else {
            return;
        };
        progress.heard_at = now;
        progress.acked_at = progress.acked_at.max(Moment(reply.sent_at));
        if reply.ok {
            progress.record_match(reply.index.min(last));
            self.advance_commit(now);
        } else {
            progress.record_mismatch(reply.index);
        }
        self.send_append(now, from, false);
    }

    fn advance_commit(&mut self, now: Moment) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let mut matched: Vec<u64> = self
            .voters
            .iter()
            .map(|v| {
                if v.replica == self.id {
                    return self.stable;
                }
                lead.progress.get(&v.replica).map_or(0, |p| p.matched)
            })
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = matched.get(self.quorum() - 1) else {
            return;
        };
        if index > self.commit && self.log.term_at(index) == Some(self.hard.term) {
            self.commit = index;
            self.replicate(now, true);
            self.leave_if_removed(now);
        }
    }

    // A leader that its group has voted out steps down once that is committed.
    fn leave_if_removed(&mut self, now: Moment) {
        if self.commit >= self.voters_index && !self.is_voter() {
            let term = self.hard.term;
            self.become_follower(now, term);
            self.leader = None;
        }
    }

    fn step_snapshot(&mut self, now: Moment, from: u64, term: u64, part: &SnapshotPart) {
        if !self.follow(now, from, term) {
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
        self.install(snapshot);
        let reply = AppendReply {
            ok: true,
            index: self.commit,
            sent_at: part.sent_at,
        };
        self.send(from, RaftBody::AppendReply(reply));
    }

    fn install(&mut self, snapshot: Snapshot) {
        self.commit = snapshot.index;
        self.handed = snapshot.index;
        self.stable = snapshot.index;
        self.snapshot_crc = crc32fast::hash(&snapshot.data);
        self.ready.entries.clear();
        self.ready.truncate_from = None;
        self.ready.committed.clear();
        self.ready.snapshot = Some(snapshot.clone());
        self.log.reset(snapshot);
        self.refresh_voters();
    }

    fn step_snapshot_reply(&mut self, now: Moment, from: u64, term: u64, reply: SnapshotReply) {
        if term != self.hard.term {
            return;
        }
        let index = self.log.snapshot().index;
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let Some(progress) = lead.progress.get_mut(&from) else {
            return;
        };
        progress.heard_at = now;
        progress.acked_at = progress.acked_at.max(Moment(reply.sent_at));
        if reply.index == index && progress.snapshot.is_some() {
            progress.snapshot = Some((index, reply.received));
            progress.sent_at = Moment::ZERO;
            self.send_part(now, from);
        }
    }
}
