//! Runs the control state of five instances in a simulated cell, under seeded schedules of
//! network partitions (some of them one-way), crashes, pauses, restarts and clock skew.
//!
//! `SCHEDULES` sets the number of schedules, for example
//! `SCHEDULES=5000 cargo test --release --test cell`.

#[path = "support/cell.rs"]
mod simulation;

use plantaincross::config::{Source, merge};
use plantaincross::core::control::{Answer, Input, Query, Target};
use plantaincross::core::fleet::{EndReport, Poll};
use plantaincross::core::job::{Class, Id, Job, Size, Spec, State, Unreachable};
use plantaincross::core::registry::{Command, Key, Outcome};
use plantaincross::wire::Body;
use simulation::{CALM_PHASE_US, Cell, Disk, FAULT_PHASE_US, START_US, TICK_US};

/// Runs one schedule: a phase without faults, in which requests must be answered, two
/// phases with faults, between which a key is withdrawn, and a recovery.
fn schedule(seed: u64) -> Cell {
    let mut cell = Cell::new(seed);
    cell.configure();
    cell.run_until(START_US + CALM_PHASE_US, false);
    let calm = cell.completed;
    assert!(
        calm > 100,
        "seed {seed}: {calm} requests answered without faults\n{}",
        cell.describe()
    );
    let middle = cell.time + FAULT_PHASE_US / 2;
    cell.run_until(middle, true);
    cell.withdraw_key();
    cell.run_until(middle + FAULT_PHASE_US / 2, true);
    cell.heal_and_check();
    cell
}

/// Runs a quarter of the schedules, with seeds from `from` on.
fn schedules(from: u64) {
    let total: u64 = std::env::var("SCHEDULES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(80);
    for seed in from..from + total / 4 {
        schedule(seed);
    }
}

macro_rules! parts {
    ($($name:ident: $from:expr;)*) => {
        $(#[test] fn $name() { schedules($from); })*
    };
}

parts! {
    schedules_first_quarter: 0;
    schedules_second_quarter: 1_000_000;
    schedules_third_quarter: 2_000_000;
    schedules_last_quarter: 3_000_000;
}

/// Makes a cell in which zone b is partitioned from the rest, without its links being
/// closed. One key has zone b as its home zone, another one has no home zone.
fn partition_zone() -> Cell {
    let mut cell = Cell::new(77);
    cell.configure();
    let key = Key {
        team: "small".to_owned(),
        digest: [8; 32],
        home_zone: Some("b".to_owned()),
        withdrawn: false,
        withdrawn_at: 0,
    };
    let give = Command::GiveKey {
        id: "home".to_owned(),
        key,
    };
    cell.ask(0, Target::Root, Query::Propose(give));
    cell.run_until(START_US + CALM_PHASE_US, false);
    let (inside, outside): (Vec<usize>, Vec<usize>) = (0..5).partition(|at| at % 2 == 1);
    for &a in &inside {
        for &b in &outside {
            cell.blocked.insert((a, b));
            cell.blocked.insert((b, a));
        }
    }
    cell
}

impl Cell {
    /// Returns whether instance `at` may accept keys without a home zone and keys of its
    /// own zone, by the last confirmations of the root group and of its zone.
    fn verified(&self, at: usize) -> (bool, bool) {
        let instance = &self.instances[at];
        let control = instance.control.as_ref().expect("runs");
        let now = instance.clock(self.time);
        (
            now < control.root_verified_until(),
            now < control.zone_verified_until(),
        )
    }

    /// Returns whether instance `at` has key `id` as withdrawn.
    fn has_withdrawn(&self, at: usize, id: &str) -> bool {
        let control = self.instances[at].control.as_ref().expect("runs");
        control
            .registry()
            .keys
            .get(id)
            .is_some_and(|key| key.withdrawn)
    }
}

#[test]
fn partitioned_zone_keeps_serving_and_accepts_only_its_home_keys() {
    let mut cell = partition_zone();
    cell.started_by.clear();
    cell.run_until(cell.time + 60_000_000, false);
    for at in 0..5 {
        let home = at % 2 == 1;
        assert!(cell.started_by[&at] > 0, "i{at} starts no requests");
        assert_eq!(cell.verified(at), (!home, true), "i{at}");
    }
}

#[test]
fn withdrawal_of_a_home_key_waits_for_its_zone() {
    let mut cell = partition_zone();
    cell.run_until(cell.time + 5_000_000, false);
    let withdraw = Command::WithdrawKey {
        id: "home".to_owned(),
    };
    cell.ask(0, Target::Root, Query::Propose(withdraw));
    cell.run_until(cell.time + 2_000_000, false);
    assert!((0..5).all(|at| cell.has_withdrawn(at, "home") == (at % 2 == 0)));
    let at = cell.instances[0]
        .control
        .as_ref()
        .expect("runs")
        .registry()
        .keys["home"]
        .withdrawn_at;
    let call = cell.ask(0, Target::Zone("b".to_owned()), Query::Applied(at));
    cell.run_until(cell.time + 4_000_000, false);
    assert!(matches!(cell.replies.get(&call), Some(Answer::Failed(_))));
    cell.blocked.clear();
    cell.run_until(cell.time + 4_000_000, false);
    let call = cell.ask(0, Target::Zone("b".to_owned()), Query::Applied(at));
    cell.run_until(cell.time + 1_000_000, false);
    assert_eq!(cell.replies.get(&call), Some(&Answer::Done));
    assert!((0..5).all(|at| cell.has_withdrawn(at, "home")));
}

#[test]
fn instances_partitioned_for_an_hour_do_not_revert_the_state() {
    let mut cell = partition_zone();
    cell.run_until(cell.time + 5_000_000, false);
    let version = cell.instances[0].version;
    // Time jumps by an hour and messages in flight are lost. Zone b runs again by then, so
    // its timers act, but its partition is healed only later.
    let hour = 3_600_000_000;
    for at in [1, 3] {
        cell.instances[at].paused_until = cell.time + hour - 10_000_000;
    }
    cell.time += hour;
    cell.in_flight.clear();
    let withdraw = Command::WithdrawKey {
        id: "home".to_owned(),
    };
    cell.run_until(cell.time + 5_000_000, false);
    cell.ask(0, Target::Root, Query::Propose(withdraw));
    cell.blocked.clear();
    cell.run_until(cell.time + 10_000_000, false);
    assert!((0..5).all(|at| cell.has_withdrawn(at, "home")));
    assert!(cell.instances.iter().all(|i| i.version >= version));
    cell.heal_and_check();
}

impl Cell {
    /// Returns the names of the voters as known to instance `at`.
    fn voters(&self, at: usize) -> Vec<String> {
        let control = self.instances[at].control.as_ref().expect("runs");
        let voters = control.replica().voters().iter();
        voters.map(|v| v.name.clone()).collect()
    }

    /// Pushes a configuration change through instance `at` and asserts that it is in force
    /// at all running instances.
    fn push_team_limit(&mut self, at: usize, limit: u64) {
        let control = self.instances[at].control.as_ref().expect("runs");
        let (version, base) = (
            control.registry().version,
            control.registry().config.clone(),
        );
        let mut config = base.clone();
        config.teams.get_mut("big").expect("known").limit = limit;
        let push = Command::push(version, &base, &config, "test");
        let call = self.ask(at, Target::Root, Query::Propose(push));
        self.run_until(self.time + 2_000_000, false);
        let pushed = Answer::Outcome(Outcome::Pushed(version + 1));
        assert_eq!(self.replies.get(&call), Some(&pushed));
        for instance in self.instances.iter().filter(|i| i.control.is_some()) {
            assert_eq!(instance.version, version + 1, "{}", instance.name);
        }
    }

    /// Crashes instance `at` for good.
    fn crash_for_good(&mut self, at: usize) {
        self.not_restarted.insert(at);
        self.crash(at);
    }
}

#[test]
fn spare_replaces_a_lost_voter_before_a_second_one_is_lost() {
    let mut cell = Cell::new(79);
    cell.configure();
    cell.run_until(cell.time + 2_000_000, false);
    assert_eq!(cell.voters(0), ["i0", "i1", "i2"]);
    cell.crash_for_good(2);
    cell.run_until(cell.time + 10_000_000, false);
    assert_eq!(cell.voters(0), ["i0", "i1", "i3"]);
    cell.push_team_limit(0, 5);
    // The second voter is lost right after the first one was replaced.
    cell.crash_for_good(1);
    cell.run_until(cell.time + 4_000_000, false);
    cell.push_team_limit(0, 6);
    cell.push_team_limit(3, 4);
}

#[test]
fn voter_that_lost_its_disk_rejoins_as_another_replica() {
    let mut cell = Cell::new(80);
    cell.configure();
    cell.run_until(cell.time + 2_000_000, false);
    let before = cell.voters(0);
    cell.crash_for_good(2);
    cell.instances[2].disk = Disk::default();
    cell.instances[2].replica = 777;
    cell.instances[2].version = 0;
    cell.not_restarted.clear();
    cell.start(2);
    cell.run_until(cell.time + 3_000_000, false);
    let control = cell.instances[2].control.as_ref().expect("runs");
    assert!(
        !control.replica().is_voter(),
        "a replica that lost its stored vote must not vote"
    );
    assert_eq!(cell.voters(0), before);
    cell.run_until(cell.time + 10_000_000, false);
    assert_eq!(cell.voters(0).len(), 3);
    cell.push_team_limit(2, 5);
}

#[test]
fn concurrent_pushes_have_one_winner_and_resends_get_the_same_answer() {
    let mut cell = Cell::new(78);
    cell.configure();
    let control = cell.instances[0].control.as_ref().expect("runs");
    let base = control.registry().config.clone();
    let push = |limit: u64| {
        let text = format!("[team big]\nshare = 1\nlimit = {limit}\n");
        let source = Source {
            name: "a.ini".to_owned(),
            text,
        };
        let config = merge(&[source]).expect("merges");
        let operator = format!("operator {limit}");
        Query::Propose(Command::push(1, &base, &config, &operator))
    };
    let calls: Vec<u64> = (1..6)
        .flat_map(|turn| [turn, turn])
        .map(|turn| cell.ask(turn as usize % 5, Target::Root, push(turn)))
        .collect();
    cell.run_until(cell.time + 3_000_000, false);
    let won: Vec<bool> = calls
        .iter()
        .map(|call| cell.replies.get(call) == Some(&Answer::Outcome(Outcome::Pushed(2))))
        .collect();
    assert_eq!(won.iter().filter(|won| **won).count(), 2, "{won:?}");
    let winner = won.iter().position(|won| *won).expect("one");
    assert!(won[winner ^ 1], "a resent push gets the same answer");
    assert!(cell.instances.iter().all(|i| i.version == 2));
}

#[test]
fn same_seed_gives_same_run() {
    let (one, two) = (schedule(42), schedule(42));
    assert_eq!(one.completed, two.completed);
    assert_eq!(one.sent, two.sent);
}

#[test]
fn encoded_ping_is_small() {
    // Every instance sends two pings a second to every other one.
    let ping = plantaincross::wire::Ping {
        sent_at: u64::MAX >> 8,
        echo: u64::MAX >> 8,
        echo_delay: 400_000,
        peers: Vec::new(),
        leaving: false,
        fresh_age: Some(300_000),
        fresh_index: 1_000_000,
        stamp_millis: u64::MAX >> 22,
        stamp_count: 100,
    };
    let frame = plantaincross::wire::Frame {
        body: Some(Body::Ping(ping)),
    };
    assert!(prost::Message::encoded_len(&frame) < 48);
}

const WORKER_SIZE: Size = Size {
    cpu_milli: 4_000,
    memory_mb: 8_000,
    accelerators: 0,
};

fn batch(tasks: u32) -> Spec {
    Spec {
        name: "batch".to_owned(),
        class: Class::Batch,
        tasks,
        size: Size {
            cpu_milli: 1_000,
            memory_mb: 500,
            accelerators: 0,
        },
        queue: String::new(),
        run_ms: 400,
        urgent: false,
        deadline_ms: 0,
        worth: 1,
        rerun: true,
        unreachable: Unreachable::default(),
    }
}

fn worker_poll(number: u64, ended: Vec<EndReport>) -> Poll {
    Poll {
        name: "w".to_owned(),
        incarnation: 1,
        zone: "a".to_owned(),
        rack: "r".to_owned(),
        size: WORKER_SIZE,
        number,
        seen: 0,
        running: Vec::new(),
        ended,
        wait_ms: 0,
    }
}

impl Cell {
    /// Returns the index of the instance that leads zone a.
    fn zone_leader(&self) -> Option<usize> {
        self.instances.iter().position(|instance| {
            let allocator = instance.control.as_ref().and_then(|c| c.allocator());
            instance.zone == "a" && allocator.is_some()
        })
    }

    /// Delivers the next message that is due. Returns whether there was one.
    fn deliver_next(&mut self) -> bool {
        let due = self.in_flight.first_key_value();
        if due.is_none_or(|(&(at, _), _)| at > self.time) {
            return false;
        }
        let (_, (_, sender, to, input)) = self.in_flight.pop_first().expect("first");
        self.deliver(sender, to, input);
        true
    }

    /// Sends a worker's poll that reports `ended` to the leader of zone a, after each
    /// message and each tick of an instance, until a leader accepts it.
    fn report_until_accepted(&mut self, ended: &[EndReport]) {
        let end = self.time + FAULT_PHASE_US;
        let mut number = 1;
        let mut ticks = (0..self.instances.len()).cycle();
        while self.time < end {
            if !self.deliver_next() {
                let at = ticks.next().expect("cycles");
                self.time += TICK_US / self.instances.len() as u64;
                self.step(at, Input::Tick);
            }
            let Some(leader) = self.zone_leader() else {
                continue;
            };
            number += 1;
            let poll = Query::Poll(Box::new(worker_poll(number, ended.to_vec())));
            let call = self.ask(leader, Target::Zone("a".to_owned()), poll);
            if !matches!(self.replies.get(&call), Some(Answer::Failed(_))) {
                return;
            }
        }
        panic!(
            "no leader of zone a accepted the report in time\n{}",
            self.describe()
        );
    }
}

/// A worker may report the end of a task to a leader that has just taken over and has not
/// processed the jobs yet. The report must not be dropped.
#[test]
fn task_end_reported_right_after_a_leader_change_is_not_lost() {
    let mut cell = Cell::new(81);
    cell.configure();
    cell.run_until(START_US + CALM_PHASE_US, false);
    let old = cell.zone_leader().expect("a leader");
    let job = Job {
        id: Id(0),
        team: "big".to_owned(),
        request: "r".to_owned(),
        spec: batch(1),
        zone: "a".to_owned(),
        state: State::Open,
        ended: Vec::new(),
        failures: 0,
    };
    let submit = Command::Submit(Box::new(job));
    let call = cell.ask(old, Target::Root, Query::Propose(submit));
    cell.run_until(cell.time + 2_000_000, false);
    let Some(&Answer::Outcome(Outcome::Submitted(id))) = cell.replies.get(&call) else {
        panic!("{:?}", cell.replies.get(&call));
    };
    let zone = || Target::Zone("a".to_owned());
    let poll = worker_poll(1, Vec::new());
    let call = cell.ask(old, zone(), Query::Poll(Box::new(poll)));
    cell.run_until(cell.time + 2_000_000, false);
    let Some(Answer::Orders(orders)) = cell.replies.get(&call) else {
        panic!("{:?}", cell.replies.get(&call));
    };
    let ended: Vec<EndReport> = orders
        .start
        .iter()
        .map(|start| EndReport {
            task: start.task,
            attempt: start.attempt,
            ok: true,
            evicted: false,
        })
        .collect();
    assert_eq!(ended.len(), 1);
    cell.crash_for_good(old);
    cell.report_until_accepted(&ended);
    cell.run_until(cell.time + 3_000_000, false);
    let at = cell.zone_leader().expect("a leader");
    let control = cell.instances[at].control.as_ref().expect("runs");
    let job = control.registry().jobs.get(id).expect("known");
    assert_eq!(job.state, State::Done);
}
