//! Replication to followers that lose messages, leadership transfer and split votes, in
//! a simulated group of three.

use std::collections::VecDeque;

use bytes::Bytes;
use plantaincross::core::consensus::{
    ELECTION_TIMEOUT_MAX, ElectionEvent, Replica, Stored, VoteRefusal,
};
use plantaincross::core::time::Moment;
use plantaincross::wire::{Raft, RaftBody, Vote, Voter};

const START_US: u64 = 10_000_000;
const ENTRY_BYTES: usize = 1_000;

struct Group {
    /// Simulated time, in microseconds.
    now: u64,
    replicas: Vec<Replica>,
    /// Messages in flight, with their time of arrival.
    network: VecDeque<(u64, Raft)>,
    isolated: Option<u64>,
    entry_bytes_to_third: usize,
    /// Interval between ticks of the replicas, in milliseconds.
    tick_interval_ms: u64,
    /// Election events of each replica.
    election_events: Vec<Vec<ElectionEvent>>,
}

impl Group {
    fn new() -> Self {
        Self::seeded(0)
    }

    fn seeded(seed: u64) -> Self {
        let replicas = (1..=3)
            .map(|id| {
                Replica::new(
                    id,
                    &format!("i{id}"),
                    true,
                    Stored::default(),
                    Moment(START_US),
                    seed * 3 + id,
                )
            })
            .collect();
        let mut group = Self {
            now: START_US + 2_000_000,
            replicas,
            network: VecDeque::new(),
            isolated: None,
            entry_bytes_to_third: 0,
            tick_interval_ms: 1,
            election_events: vec![Vec::new(); 3],
        };
        let voters = (1..=3)
            .map(|id| Voter {
                replica: id,
                name: format!("i{id}"),
            })
            .collect();
        group.replicas[0].found(Moment(group.now), voters);
        for _ in 0..4_000 {
            group.step();
            if group.replicas[0].holds_lease(Moment(group.now)) {
                return group;
            }
        }
        panic!("the founder did not become leader");
    }

    // Simulates one millisecond. Messages take five milliseconds.
    fn step(&mut self) {
        self.now += 1_000;
        let now = Moment(self.now);
        while self.network.front().is_some_and(|(at, _)| *at <= self.now) {
            let (_, raft) = self.network.pop_front().expect("not empty");
            let to = raft.to as usize - 1;
            self.replicas[to].step(now, raft);
        }
        let is_tick = (self.now / 1_000).is_multiple_of(self.tick_interval_ms);
        for (index, replica) in self.replicas.iter_mut().enumerate() {
            if is_tick {
                replica.tick(now);
            }
            replica.flush(now);
            let ready = replica.take_ready();
            self.election_events[index].extend(&ready.election_events);
            replica.mark_persisted(now);
            for raft in ready.messages {
                let is_lost = self.isolated == Some(raft.to) || self.isolated == Some(raft.from);
                if raft.to != 0 && !is_lost {
                    if let (3, Some(RaftBody::Append(append))) = (raft.to, &raft.body) {
                        let bytes: usize = append.entries.iter().map(|e| e.command.len()).sum();
                        self.entry_bytes_to_third += bytes;
                    }
                    self.network.push_back((self.now + 5_000, raft));
                }
            }
        }
    }

    fn run(&mut self, duration_ms: u64, proposal_interval_ms: u64) {
        for elapsed_ms in 0..duration_ms {
            if elapsed_ms % proposal_interval_ms == 0 {
                let command = Bytes::from(vec![7; ENTRY_BYTES]);
                self.replicas[0].propose(command).expect("leads");
            }
            self.step();
        }
    }
}

#[test]
fn lost_entries_are_resent_once() {
    let mut group = Group::new();
    group.run(200, 2);
    group.isolated = Some(3);
    group.run(700, 2);
    group.isolated = None;
    group.entry_bytes_to_third = 0;
    group.run(1_500, 2);
    for _ in 0..500 {
        group.step();
    }
    let last = group.replicas[0].log().last_index();
    assert_eq!(
        group.replicas[2].log().last_index(),
        last,
        "the follower has caught up"
    );
    // 350 entries were lost and 750 are new. The same amount again is allowed for probing.
    let needed_bytes = (350 + 750) * ENTRY_BYTES;
    assert!(
        group.entry_bytes_to_third <= 2 * needed_bytes,
        "{} bytes of entries were sent, but {needed_bytes} were lost or new",
        group.entry_bytes_to_third
    );
}

#[test]
fn entries_in_flight_to_a_silent_follower_are_bounded() {
    let mut group = Group::new();
    group.run(200, 2);
    // The follower's replies are lost, as on a link that is cut in one direction.
    let mut sent = 0;
    for elapsed_ms in 0..900_u64 {
        if elapsed_ms % 2 == 0 {
            let command = Bytes::from(vec![7; ENTRY_BYTES]);
            group.replicas[0].propose(command).expect("leads");
        }
        group.network.retain(|(_, raft)| raft.from != 3);
        let before = group.entry_bytes_to_third;
        group.step();
        sent += group.entry_bytes_to_third - before;
    }
    // Of 450 entries, not all may be in flight without a reply.
    assert!(
        sent <= 300 * ENTRY_BYTES,
        "{sent} bytes of entries are in flight without a reply"
    );
}

#[test]
fn resigning_transfers_leadership_at_once() {
    let mut group = Group::new();
    group.run(100, 2);
    let now = Moment(group.now);
    group.replicas[0].resign(now);
    assert!(
        !group.replicas[0].holds_lease(now),
        "a leader that resigned holds no lease"
    );
    for _ in 0..60 {
        group.step();
    }
    let now = Moment(group.now);
    let leaders = group.replicas.iter().filter(|r| r.holds_lease(now)).count();
    assert_eq!(leaders, 1, "another leads within six round trips");
    assert!(!group.replicas[0].is_leader());
}

#[test]
fn a_delayed_timeout_now_starts_no_election() {
    let mut group = Group::new();
    group.run(100, 2);
    let now = Moment(group.now);
    group.replicas[0].resign(now);
    let messages: Vec<Raft> = group.replicas[0]
        .take_ready()
        .messages
        .into_iter()
        .filter(|raft| matches!(raft.body, Some(RaftBody::TimeoutNow(_))))
        .collect();
    assert_eq!(messages.len(), 1);
    // The message is delayed until another election has been held.
    for _ in 0..3_000 {
        group.step();
    }
    let now = Moment(group.now);
    let term = group.replicas[0].term();
    for raft in messages {
        let to = raft.to as usize - 1;
        group.replicas[to].step(now, raft);
    }
    for _ in 0..100 {
        group.step();
    }
    assert_eq!(group.replicas[0].term(), term, "no further election");
}

// Two voters that become candidates at once split the votes. Waiting for a whole election
// timeout before the next candidacy would leave the group without a leader for too long.
#[test]
fn a_split_vote_delays_the_next_leader_briefly() {
    // One election timeout, half of one until the next candidacy, and two rounds of votes
    // of up to 50 ms each.
    const LEADERLESS_MAX_MS: u64 = ELECTION_TIMEOUT_MAX.as_millis() as u64 + 600;
    for seed in 0..300 {
        let mut group = Group::seeded(seed);
        group.run(100, 2);
        group.tick_interval_ms = 50;
        group.isolated = Some(1);
        let has_leader = |group: &Group| {
            group.replicas[1..]
                .iter()
                .any(|r| r.holds_lease(Moment(group.now)))
        };
        let elapsed_ms = (0..10_000).find(|_| {
            group.step();
            has_leader(&group)
        });
        assert!(
            elapsed_ms.is_some_and(|elapsed_ms| elapsed_ms <= LEADERLESS_MAX_MS),
            "seed {seed}: the next leader came after {elapsed_ms:?} ms: {:?}",
            group.election_events
        );
    }
}

#[test]
fn election_events_are_reported() {
    let mut group = Group::new();
    group.run(100, 2);
    group.election_events = vec![Vec::new(); 3];
    group.isolated = Some(3);
    group.run(3_000, 2);
    group.isolated = None;
    group.run(50, 2);
    let stood = |event: &ElectionEvent| matches!(event, ElectionEvent::Stood { pre: true, .. });
    assert!(
        group.election_events[2].iter().any(stood),
        "the isolated replica reports its pre-vote"
    );
    let refused = |event: &ElectionEvent| {
        matches!(
            event,
            ElectionEvent::Asked {
                candidate: 3,
                refused: Some(VoteRefusal::HearsLeader),
                ..
            }
        )
    };
    let request = RaftBody::Vote(Vote {
        pre: true,
        for_term: group.replicas[1].term() + 1,
        ..Vote::default()
    });
    let now = Moment(group.now);
    let term = group.replicas[1].term();
    group.replicas[1].step(
        now,
        Raft {
            term,
            from: 3,
            to: 2,
            body: Some(request),
        },
    );
    group.step();
    assert!(
        group.election_events[1].iter().any(refused),
        "{:?}",
        group.election_events[1]
    );
}
