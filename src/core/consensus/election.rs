//! Leader election: votes, candidacies and role changes.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;

use super::ballot::{ElectionEvent, VoteRefusal};
use super::progress::Progress;
use super::replica::{ELECTION_TIMEOUT_MAX, ELECTION_TIMEOUT_MIN, LeaderState, Replica, Role};
use super::restart::{PROBE_INTERVAL_MAX, PROBE_INTERVAL_MIN, Restart};
use crate::core::time::{Moment, with_clock_margin};
use crate::wire::{Entry, RaftBody, TimeoutNow, Vote, VoteReply};

/// Shortest time after which a candidate without a majority starts another election.
/// A round of votes takes this long if each disk sync takes 120 ms, thirty times its usual
/// duration.
const CANDIDATE_TIMEOUT_MIN: Duration = Duration::from_millis(250);
/// Longest time after which such a candidate starts another election. The range lets
/// candidates that split the vote draw different times.
const CANDIDATE_TIMEOUT_MAX: Duration = Duration::from_millis(500);

impl Replica {
    pub(super) fn reset_election_timeout(&mut self, now: Moment) {
        let (min, max) = match &self.restart {
            Some(restart) if restart.is_recent(now) => (PROBE_INTERVAL_MIN, PROBE_INTERVAL_MAX),
            _ => (ELECTION_TIMEOUT_MIN, ELECTION_TIMEOUT_MAX),
        };
        self.election_at = now + self.random_duration(min, max);
    }

    fn random_duration(&mut self, min: Duration, max: Duration) -> Duration {
        let span = (max - min).as_micros() as u64;
        min + Duration::from_micros(self.rng.random_range(0..=span))
    }

    pub(super) fn become_follower(&mut self, now: Moment, term: u64) {
        if term > self.hard_state.term {
            self.set_hard_state(term, 0);
            self.leader = None;
        }
        self.role = Role::Follower;
        self.reset_election_timeout(now);
    }

    pub(super) fn campaign(&mut self, now: Moment, pre: bool) {
        self.start_election(now, pre, false);
    }

    fn start_election(&mut self, now: Moment, pre: bool, leader_transfer: bool) {
        self.leader = None;
        let own = BTreeSet::from([self.id]);
        if pre {
            self.reset_election_timeout(now);
            self.role = Role::PreCandidate(own);
        } else {
            self.election_at =
                now + self.random_duration(CANDIDATE_TIMEOUT_MIN, CANDIDATE_TIMEOUT_MAX);
            self.set_hard_state(self.hard_state.term + 1, self.id);
            self.role = Role::Candidate(own);
        }
        let vote = Vote {
            pre,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            for_term: self.hard_state.term + u64::from(pre),
            leader_transfer,
            restart: self.restart.as_ref().map_or(0, Restart::number),
        };
        self.ready.election_events.push(ElectionEvent::Stood {
            pre,
            term: vote.for_term,
            last_index: vote.last_index,
        });
        for id in self.other_voters() {
            self.send(id, RaftBody::Vote(vote));
        }
        self.count_votes(now);
    }

    /// Transfers leadership to the voter with the most complete log, so that the group
    /// need not wait for an election timeout. This replica steps down at once and does
    /// not lead again in its term, even if the message to its successor is lost.
    ///
    /// See "leadership transfer extension" in Ongaro's dissertation, section 3.10.
    pub fn resign(&mut self, now: Moment) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let successor = leader
            .progress
            .iter()
            .filter(|(id, _)| self.is_voting(**id))
            .max_by_key(|(_, p)| (p.match_index, p.acked_at))
            .map(|(&id, _)| id);
        let term = self.hard_state.term;
        self.become_follower(now, term);
        self.leader = None;
        self.election_at = now + ELECTION_TIMEOUT_MAX * 2;
        if let Some(successor) = successor {
            self.send(successor, RaftBody::TimeoutNow(TimeoutNow {}));
        }
    }

    // A delayed message is harmless: by then its term has passed, and a replica that
    // voted in the next term cannot vote in it again.
    pub(super) fn step_timeout_now(&mut self, now: Moment, from: u64, term: u64) {
        if term == self.hard_state.term
            && self.is_voter()
            && self.is_voting(from)
            && !self.is_leader()
        {
            self.leader_heard_at = Moment::ZERO;
            self.start_election(now, false, true);
        }
    }

    pub(super) fn other_voters(&self) -> Vec<u64> {
        self.voters
            .iter()
            .map(|v| v.replica)
            .filter(|&id| id != self.id)
            .collect()
    }

    pub(super) fn step_vote(&mut self, now: Moment, from: u64, term: u64, vote: Vote) {
        // A replica in contact with its leader ignores vote requests, so that a replica
        // returning from a partition cannot depose the leader.
        let hears_leader = self.is_leader()
            || now < self.leader_heard_at + with_clock_margin(ELECTION_TIMEOUT_MIN);
        if hears_leader && (self.is_leader() || !vote.leader_transfer) {
            self.record_vote_request(from, vote, Some(VoteRefusal::HearsLeader));
            if vote.restart != 0 {
                self.reply_to_vote(from, vote, false);
            }
            return;
        }
        if !vote.pre && term > self.hard_state.term {
            self.become_follower(now, term);
        }
        let current = (self.log.last_term(), self.log.last_index());
        let up_to_date = (vote.last_term, vote.last_index) >= current;
        let vote_available = if vote.pre {
            vote.for_term > self.hard_state.term
        } else {
            term == self.hard_state.term
                && (self.hard_state.vote == 0 || self.hard_state.vote == from)
        };
        // Of two concurrent pre-candidates with equal logs, the one with the higher
        // replica number proceeds. If both did, they would split the vote.
        let own = (self.log.last_term(), self.log.last_index(), self.id);
        let is_rival = vote.pre && matches!(self.role, Role::PreCandidate(_));
        let outranked = (vote.last_term, vote.last_index, from) > own;
        let refusal = match (up_to_date, vote_available) {
            (false, _) => Some(VoteRefusal::Behind),
            (true, false) => Some(VoteRefusal::Voted),
            (true, true) if is_rival && !outranked => Some(VoteRefusal::StandsItself),
            (true, true) => None,
        };
        if is_rival && refusal.is_none() {
            self.role = Role::Follower;
            self.reset_election_timeout(now);
        }
        self.record_vote_request(from, vote, refusal);
        let granted = refusal.is_none();
        if granted && !vote.pre {
            self.set_hard_state(self.hard_state.term, from);
            self.restart = None;
            self.reset_election_timeout(now);
        }
        self.reply_to_vote(from, vote, granted);
    }

    fn reply_to_vote(&mut self, candidate: u64, vote: Vote, granted: bool) {
        let reply = VoteReply {
            pre: vote.pre,
            granted,
            for_term: vote.for_term,
            restart: vote.restart,
            leads: self.is_leader(),
        };
        self.send(candidate, RaftBody::VoteReply(reply));
    }

    // Ends the wait after a restart once every other voter has replied that it does not
    // lead. A promise from before the restart was made to one of them, and the lease that
    // rested on it went with the role.
    fn record_standing(&mut self, from: u64, reply: VoteReply) {
        let others = self.other_voters();
        if let Some(restart) = &mut self.restart
            && restart.record(from, reply)
            && others.iter().all(|id| restart.is_known_not_to_lead(*id))
        {
            self.leader_heard_at = Moment::ZERO;
        }
    }

    fn record_vote_request(&mut self, candidate: u64, vote: Vote, refused: Option<VoteRefusal>) {
        self.ready.election_events.push(ElectionEvent::Asked {
            candidate,
            pre: vote.pre,
            term: vote.for_term,
            refused,
        });
    }

    pub(super) fn step_vote_reply(&mut self, now: Moment, from: u64, term: u64, reply: VoteReply) {
        self.record_standing(from, reply);
        if !reply.granted || !self.is_voting(from) {
            return;
        }
        let own_term = self.hard_state.term;
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

    pub(super) fn count_votes(&mut self, now: Moment) {
        let quorum = self.quorum();
        match &self.role {
            Role::PreCandidate(votes) if votes.len() >= quorum => self.campaign(now, false),
            Role::Candidate(votes) if votes.len() >= quorum => self.become_leader(now),
            _ => {}
        }
    }

    pub(super) fn become_leader(&mut self, now: Moment) {
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
        self.role = Role::Leader(LeaderState {
            progress,
            heartbeat_at: now,
            since: now,
            first_index: next,
        });
        self.leader = Some(self.id);
        // A leader may only commit entries of earlier terms along with one of its own.
        self.append(Entry {
            term: self.hard_state.term,
            index: next,
            command: Bytes::new(),
            voters: Vec::new(),
        });
        self.replicate(now, true);
    }

    // A leader that was removed from the group steps down once the change is committed.
    pub(super) fn step_down_if_removed(&mut self, now: Moment) {
        if self.commit >= self.voters_index && !self.is_voter() {
            let term = self.hard_state.term;
            self.become_follower(now, term);
            self.leader = None;
        }
    }
}
