//! Simulated cell: the control state of five instances on a network with partitions (some
//! of them one-way), crashes, pauses, restarts and clock skew. Times are in microseconds.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use plantaincross::config::{Config, Source, merge};
use plantaincross::core::allocator::{Heartbeat, Seen};
use plantaincross::core::consensus::Stored;
use plantaincross::core::control::{Answer, Control, Effect, Identity, Input, Peer, Query, Target};
use plantaincross::core::gate::{Admission, Announcement, Assignment, Completion, Gate, Request};
use plantaincross::core::registry::{Command, InstanceId, Key, Outcome};
use plantaincross::core::time::Moment;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Interval of the instances' ticks.
pub const TICK_US: u64 = 25_000;
/// Time at which the simulation starts.
pub const START_US: u64 = 10_000_000;
/// Time after the start until which a schedule injects no faults.
pub const CALM_PHASE_US: u64 = 12_000_000;
/// Duration of the faults in a schedule.
pub const FAULT_PHASE_US: u64 = 30_000_000;
/// Run limit of the service in the configuration.
pub const RUN_LIMIT_US: u64 = 2_000_000;
/// Freshness bound for keys in the configuration.
pub const FRESHNESS_US: u64 = 1_500_000;
pub const ZONES: [&str; 2] = ["a", "b"];
/// Slots of each upstream.
pub const SLOTS_PER_UPSTREAM: u32 = 4;
/// Limit of each team, in units.
pub const TEAM_LIMIT_UNITS: u64 = 7;

/// Request that runs on an upstream. It runs on if its sender crashes.
pub struct RunningRequest {
    /// Time at which it ends.
    pub until: u64,
    /// Id of the sending instance when it started the request.
    pub sender: InstanceId,
    /// Index of the sending instance.
    pub instance: usize,
    pub assignment: Assignment,
    pub upstream: String,
    pub team: String,
}

/// Stored state of an instance, which survives a crash.
#[derive(Default)]
pub struct Disk {
    pub stored: Stored,
}

/// Simulated instance.
pub struct Instance {
    pub name: String,
    pub zone: String,
    pub id: InstanceId,
    pub replica: u64,
    pub durable: bool,
    pub control: Option<Control>,
    pub gate: Arc<Mutex<Gate>>,
    pub disk: Disk,
    /// Clock drift in microseconds a millisecond.
    pub skew: i64,
    /// Offset of the clock.
    pub offset: u64,
    pub paused_until: u64,
    /// Latest configuration version seen at the instance.
    pub version: u64,
    pub was_leading: bool,
}

impl Instance {
    /// Returns the instance's clock at the simulated time.
    pub fn clock(&self, time: u64) -> Moment {
        let drift = time as i64 / 1_000 * self.skew;
        Moment((time as i64 + drift) as u64 + self.offset)
    }

    pub fn runs(&self, time: u64) -> bool {
        self.control.is_some() && self.paused_until <= time
    }
}

/// Simulated cell. Instances are identified by their index in it.
pub struct Cell {
    pub seed: u64,
    pub rng: ChaCha8Rng,
    pub time: u64,
    pub instances: Vec<Instance>,
    /// Messages in flight by time of arrival and sequence number: index of the sending
    /// instance, its id, index of the receiver and the message.
    pub in_flight: BTreeMap<(u64, u64), (usize, InstanceId, usize, Input)>,
    /// Latest arrival on each link, which keeps messages in order.
    pub latest_arrivals: BTreeMap<(usize, usize), u64>,
    /// Number of messages sent, which also orders messages with the same time of arrival.
    pub sent: u64,
    /// Pairs of sender and receiver between which messages are lost.
    pub blocked: BTreeSet<(usize, usize)>,
    pub running: Vec<RunningRequest>,
    pub next_call: u64,
    /// Upstream by the call of its heartbeat that awaits an answer.
    pub pending_heartbeats: BTreeMap<u64, usize>,
    pub replies: BTreeMap<u64, Answer>,
    /// Instances that are not restarted.
    pub not_restarted: BTreeSet<usize>,
    /// Latest answer to the heartbeats of each upstream.
    pub seen: BTreeMap<usize, Seen>,
    /// Time at which the withdrawal of key `k` was confirmed.
    pub key_withdrawn_at: Option<u64>,
    pub withdraw_call: Option<u64>,
    pub completed: u64,
    /// Number of requests started by each instance.
    pub started_by: BTreeMap<usize, u64>,
}

impl Cell {
    pub fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let instances = (0..5)
            .map(|at| Instance {
                name: format!("i{at}"),
                zone: ZONES[at % 2].to_owned(),
                id: InstanceId(0),
                replica: 100 + at as u64,
                durable: at < 4,
                control: None,
                gate: Arc::default(),
                disk: Disk::default(),
                skew: rng.random_range(-3..=3),
                offset: rng.random_range(0..1_000_000_000),
                paused_until: 0,
                version: 0,
                was_leading: false,
            })
            .collect();
        let mut cell = Self {
            seed,
            rng,
            time: START_US,
            instances,
            in_flight: BTreeMap::new(),
            latest_arrivals: BTreeMap::new(),
            sent: 0,
            blocked: BTreeSet::new(),
            running: Vec::new(),
            next_call: 0,
            pending_heartbeats: BTreeMap::new(),
            replies: BTreeMap::new(),
            not_restarted: BTreeSet::new(),
            seen: BTreeMap::new(),
            key_withdrawn_at: None,
            withdraw_call: None,
            completed: 0,
            started_by: BTreeMap::new(),
        };
        for at in 0..cell.instances.len() {
            cell.start(at);
        }
        cell
    }

    /// Starts an instance from its disk, under a new instance id.
    pub fn start(&mut self, at: usize) {
        let id = InstanceId(self.rng.random::<u64>().max(1));
        let seed = self.rng.random::<u64>() >> 8;
        let instance = &mut self.instances[at];
        instance.id = id;
        instance.gate = Arc::default();
        let replica = if instance.durable {
            instance.replica
        } else {
            id.0
        };
        let identity = Identity {
            id,
            name: instance.name.clone(),
            zone: instance.zone.clone(),
            address: instance.name.clone(),
            replica,
            durable: instance.durable,
            founders: ["i0", "i1", "i2"].map(str::to_owned).to_vec(),
            replace_after: Duration::from_secs(5),
            room_bytes: 0,
        };
        let now = instance.clock(self.time);
        let stored = instance.disk.stored.clone();
        let gate = Arc::clone(&instance.gate);
        instance.control = Some(Control::new(identity, gate, stored, now, seed));
    }

    /// Crashes an instance.
    pub fn crash(&mut self, at: usize) {
        let id = self.instances[at].id;
        self.instances[at].control = None;
        // Peers that it can reach see their connections reset.
        for other in 0..self.instances.len() {
            if other != at && !self.blocked.contains(&(at, other)) {
                self.send(at, id, other, Input::PeerDown(id));
            }
        }
    }

    /// Sends a message with a random delay, in order with earlier ones on the link.
    pub fn send(&mut self, from: usize, sender: InstanceId, to: usize, input: Input) {
        let delay = if self.rng.random_ratio(1, 50) {
            self.rng.random_range(1_000..300_000)
        } else {
            self.rng.random_range(300..5_000)
        };
        let arrival = self.latest_arrivals.entry((from, to)).or_default();
        *arrival = (self.time + delay).max(*arrival + 1);
        self.sent += 1;
        self.in_flight
            .insert((*arrival, self.sent), (from, sender, to, input));
    }

    /// Passes an input to an instance and processes its output.
    pub fn step(&mut self, at: usize, input: Input) {
        let now = self.instances[at].clock(self.time);
        let Some(control) = &mut self.instances[at].control else {
            return;
        };
        let effects = control.step(now, input);
        self.execute(at, effects);
        self.process_ready(at);
    }

    /// Stores and acknowledges the replica's output until there is none.
    pub fn process_ready(&mut self, at: usize) {
        loop {
            let now = self.instances[at].clock(self.time);
            let Some(control) = &mut self.instances[at].control else {
                return;
            };
            let ready = control.take_ready(now);
            let idle = ready.hard_state.is_none()
                && ready.snapshot.is_none()
                && ready.truncate_from.is_none()
                && ready.entries.is_empty()
                && ready.messages.is_empty()
                && ready.committed.is_empty();
            if idle {
                break;
            }
            let stored = &mut self.instances[at].disk.stored;
            if let Some(hard_state) = ready.hard_state {
                stored.hard_state = hard_state;
            }
            if let Some(snapshot) = &ready.snapshot {
                stored.snapshot = snapshot.clone();
                stored.entries.clear();
            }
            if let Some(from) = ready.truncate_from {
                stored.entries.retain(|e| e.index < from);
            }
            stored.entries.extend(ready.entries.iter().cloned());
            let control = self.instances[at].control.as_mut().expect("running");
            let effects = control.advance(now, ready);
            self.execute(at, effects);
        }
        self.dispatch(at);
    }

    pub fn execute(&mut self, at: usize, effects: Vec<Effect>) {
        let sender = self.instances[at].id;
        for effect in effects {
            match effect {
                Effect::Send(to, body) => {
                    let Some(to) = self.instances.iter().position(|i| i.id == to) else {
                        continue;
                    };
                    if !self.blocked.contains(&(at, to)) {
                        self.send(at, sender, to, Input::Message(sender, body));
                    }
                }
                Effect::Reply(call, answer) => self.handle_reply(call, &answer),
                Effect::Event(_) | Effect::Publish => {}
            }
        }
    }

    pub fn handle_reply(&mut self, call: u64, answer: &Answer) {
        self.replies.insert(call, answer.clone());
        while self.replies.len() > 1_000 {
            self.replies.pop_first();
        }
        if let (Some(upstream), Answer::HeartbeatAccepted(seen)) =
            (self.pending_heartbeats.remove(&call), answer)
        {
            self.seen.insert(upstream, *seen);
        }
        if self.withdraw_call == Some(call)
            && let Answer::Outcome(Outcome::Withdrawn { .. }) = answer
        {
            self.key_withdrawn_at.get_or_insert(self.time);
        }
    }

    pub fn ask(&mut self, at: usize, target: Target, query: Query) -> u64 {
        self.next_call += 1;
        let call = self.next_call;
        let input = Input::Ask {
            call,
            target,
            query,
        };
        self.step(at, input);
        call
    }

    // Sends the requests that the gate dispatches, as the traffic threads do.
    pub fn dispatch(&mut self, at: usize) {
        if !self.instances[at].runs(self.time) {
            return;
        }
        let now = self.instances[at].clock(self.time);
        let started = {
            let mut gate = self.instances[at].gate.lock().expect("gate");
            gate.expire(now);
            gate.dispatch(now)
        };
        for (_, assignment) in started {
            self.send_request(at, assignment);
        }
    }

    pub fn send_request(&mut self, at: usize, assignment: Assignment) {
        let (upstream, team) = {
            let gate = self.instances[at].gate.lock().expect("gate");
            let upstream = gate.upstream(assignment.upstream).expect("assigned");
            (
                upstream.announcement.name.clone(),
                gate.team_name(assignment.team).to_owned(),
            )
        };
        *self.started_by.entry(at).or_default() += 1;
        let duration = self.rng.random_range(5_000..200_000);
        let duration = if self.rng.random_ratio(1, 50) {
            RUN_LIMIT_US - 50_000
        } else {
            duration
        };
        self.running.push(RunningRequest {
            until: self.time + duration,
            sender: self.instances[at].id,
            instance: at,
            assignment,
            upstream,
            team,
        });
    }

    pub fn submit(&mut self, at: usize) {
        let now = self.instances[at].clock(self.time);
        let team = if self.rng.random_ratio(1, 3) {
            "big"
        } else {
            "small"
        };
        let admission = {
            let mut gate = self.instances[at].gate.lock().expect("gate");
            let (Some(team), Some(service)) = (gate.team(team), gate.service("orders")) else {
                return;
            };
            gate.submit(
                now,
                Request {
                    team,
                    service,
                    worth: 1,
                    deadline: now + Duration::from_secs(2),
                },
            )
        };
        if let Admission::Start(assignment) = admission {
            self.send_request(at, assignment);
        }
    }

    /// Ends requests whose time has come and releases them at the gate of their sender,
    /// unless it crashed.
    pub fn finish_requests(&mut self) {
        let time = self.time;
        let (done, running): (Vec<RunningRequest>, Vec<RunningRequest>) =
            std::mem::take(&mut self.running)
                .into_iter()
                .partition(|r| r.until <= time);
        self.running = running;
        for run in done {
            let instance = &self.instances[run.instance];
            if instance.id != run.sender || instance.control.is_none() {
                continue;
            }
            let now = instance.clock(time);
            instance
                .gate
                .lock()
                .expect("gate")
                .finish(now, run.assignment, Completion::Answered);
            self.completed += 1;
        }
    }

    /// Sends an upstream's heartbeat to a random instance.
    pub fn send_heartbeat(&mut self, upstream: usize) {
        let at = self.rng.random_range(0..self.instances.len());
        if !self.instances[at].runs(self.time) {
            return;
        }
        let name = format!("u{upstream}");
        let mut running: BTreeMap<InstanceId, u32> = BTreeMap::new();
        for run in self.running.iter().filter(|r| r.upstream == name) {
            *running.entry(run.sender).or_default() += 1;
        }
        let zone = ZONES[upstream % 2].to_owned();
        let heartbeat = Heartbeat {
            announcement: Announcement {
                name,
                incarnation: 1,
                service: "orders".to_owned(),
                zone: zone.clone(),
                address: ([127, 0, 0, 1], 9_000 + upstream as u16).into(),
                slots: SLOTS_PER_UPSTREAM,
                connections: 64,
            },
            leaving: false,
            running: Some(running),
            seen: self.seen.get(&upstream).copied(),
        };
        self.pending_heartbeats.insert(self.next_call + 1, upstream);
        self.ask(at, Target::Zone(zone), Query::Announce(heartbeat));
    }

    /// Opens links between running instances that are not partitioned from each other.
    pub fn open_links(&mut self) {
        for a in 0..self.instances.len() {
            for b in 0..self.instances.len() {
                let open = !self.blocked.contains(&(a, b)) && !self.blocked.contains(&(b, a));
                if a == b || !open || !self.instances[a].runs(self.time) {
                    continue;
                }
                let peer = peer_of(&self.instances[b]);
                let known = self.instances[a]
                    .control
                    .as_ref()
                    .is_some_and(|c| c.has_peer(peer.id));
                if !known && self.instances[b].runs(self.time) {
                    self.step(a, Input::PeerUp(peer));
                }
            }
        }
    }

    /// Runs the simulation up to `end`, with random faults if `with_faults`.
    pub fn run_until(&mut self, end: u64, with_faults: bool) {
        let mut next_tick = self.time;
        let mut ticks = 0u64;
        while self.time < end {
            while let Some((&(at, number), _)) = self.in_flight.first_key_value() {
                if at > next_tick {
                    break;
                }
                let (_, sender, to, input) = self.in_flight.remove(&(at, number)).expect("first");
                self.time = self.time.max(at);
                self.finish_requests();
                self.deliver(sender, to, input);
                self.check();
            }
            self.time = next_tick;
            next_tick += TICK_US;
            ticks += 1;
            self.finish_requests();
            for at in 0..self.instances.len() {
                if self.instances[at].runs(self.time) {
                    self.step(at, Input::Tick);
                    for _ in 0..3 {
                        self.submit(at);
                    }
                } else if self.instances[at].control.is_none()
                    && !self.not_restarted.contains(&at)
                    && ticks.is_multiple_of(80)
                {
                    self.start(at);
                }
            }
            if ticks.is_multiple_of(16) {
                for upstream in 0..4 {
                    self.send_heartbeat(upstream);
                }
            }
            if ticks.is_multiple_of(20) {
                self.open_links();
            }
            if with_faults {
                self.inject_fault();
            }
            self.check();
        }
    }

    /// Delivers a message, or delays it while its receiver is paused.
    pub fn deliver(&mut self, sender: InstanceId, to: usize, input: Input) {
        if self.instances[to].paused_until > self.time {
            self.sent += 1;
            let later = self.instances[to].paused_until + self.sent % 100;
            self.in_flight
                .insert((later, self.sent), (to, sender, to, input));
            return;
        }
        self.step(to, input);
    }

    /// Injects or heals a random fault, with a probability of about 2 % a tick.
    pub fn inject_fault(&mut self) {
        let count = self.instances.len();
        match self.rng.random_range(0..400) {
            0 => {
                let at = self.rng.random_range(0..count);
                self.crash(at);
            }
            1 => {
                let at = self.rng.random_range(0..count);
                let duration = self.rng.random_range(300_000..5_000_000);
                self.instances[at].paused_until = self.time + duration;
            }
            2 => self.partition(),
            3..7 => self.blocked.clear(),
            _ => {}
        }
    }

    // Partitions one instance, one zone or a random set of instances from the rest, at times
    // in one direction only. Links are not closed.
    pub fn partition(&mut self) {
        let count = self.instances.len();
        let one = self.rng.random_range(0..count);
        let side: Vec<usize> = match self.rng.random_range(0..3) {
            0 => vec![one],
            1 => (0..count).filter(|at| at % 2 == one % 2).collect(),
            _ => (0..count).filter(|_| self.rng.random()).collect(),
        };
        let one_way = self.rng.random_ratio(1, 4);
        for &a in &side {
            for b in (0..count).filter(|b| !side.contains(b)) {
                self.blocked.insert((a, b));
                if !one_way {
                    self.blocked.insert((b, a));
                }
            }
        }
    }

    pub fn check(&mut self) {
        self.check_running();
        self.check_leaders();
        self.check_versions();
        self.check_key();
    }

    /// Asserts that no upstream exceeds its slots and no team its limit.
    pub fn check_running(&self) {
        let seed = self.seed;
        let mut slots: BTreeMap<&str, u32> = BTreeMap::new();
        let mut units: BTreeMap<&str, u64> = BTreeMap::new();
        for run in &self.running {
            *slots.entry(&run.upstream).or_default() += 1;
            *units.entry(&run.team).or_default() += 1;
        }
        for (upstream, count) in slots {
            assert!(
                count <= SLOTS_PER_UPSTREAM,
                "seed {seed} at {}: {upstream} runs {count} requests in {SLOTS_PER_UPSTREAM} slots\n{}\n{}",
                self.time,
                self.describe_upstream(upstream),
                self.describe()
            );
        }
        for (team, count) in units {
            assert!(
                count <= TEAM_LIMIT_UNITS,
                "seed {seed} at {}: team {team} runs {count} units, limit {TEAM_LIMIT_UNITS}",
                self.time
            );
        }
    }

    /// Asserts that at most one instance of a zone acts as its leader.
    pub fn check_leaders(&mut self) {
        for zone in ZONES {
            let acting: Vec<&str> = self
                .instances
                .iter()
                .filter(|i| i.zone == zone)
                .filter(|i| {
                    i.control
                        .as_ref()
                        .is_some_and(|c| c.participant().may_act(i.clock(self.time)))
                })
                .map(|i| i.name.as_str())
                .collect();
            assert!(
                acting.len() <= 1,
                "seed {} at {}: {acting:?} all lead zone {zone}",
                self.seed,
                self.time
            );
        }
        for instance in &mut self.instances {
            instance.was_leading |= instance
                .control
                .as_ref()
                .is_some_and(|c| c.participant().is_appointed());
        }
    }

    /// Asserts that the configuration version of an instance never decreases.
    pub fn check_versions(&mut self) {
        let seed = self.seed;
        for instance in &mut self.instances {
            let Some(control) = &instance.control else {
                // An instance without a disk restarts from an empty state.
                if !instance.durable {
                    instance.version = 0;
                }
                continue;
            };
            let version = control.registry().version;
            if version > 0 {
                assert!(
                    version >= instance.version,
                    "seed {seed}: configuration version of {} decreased",
                    instance.name
                );
                instance.version = version;
            }
        }
    }

    /// Asserts that a withdrawn key is refused everywhere once the freshness bound, with 1 %
    /// allowed for clock drift, has passed.
    pub fn check_key(&self) {
        let Some(at) = self.key_withdrawn_at else {
            return;
        };
        for instance in &self.instances {
            let Some(control) = &instance.control else {
                continue;
            };
            let now = instance.clock(self.time);
            let fresh = control
                .fresh_as_of()
                .is_some_and(|as_of| now.0 < as_of.0 + FRESHNESS_US);
            let refused = control.tombstones().contains("k")
                || control
                    .registry()
                    .keys
                    .get("k")
                    .is_some_and(|k| k.withdrawn);
            let bound = FRESHNESS_US + FRESHNESS_US / 100;
            assert!(
                refused || !fresh || self.time < at + bound,
                "seed {}: {} accepts a key that was withdrawn {} us ago",
                self.seed,
                instance.name,
                self.time - at
            );
        }
    }

    /// Pushes the configuration and adds key `k`.
    pub fn configure(&mut self) {
        self.run_until(START_US + 3_000_000, false);
        let text = format!(
            "[cell]\nfreshness = 1500ms\n[team big]\nshare = 3\nlimit = {TEAM_LIMIT_UNITS}\n\
             [team small]\nshare = 1\nlimit = {TEAM_LIMIT_UNITS}\n[service orders]\nrun-limit = 2s\n"
        );
        let source = Source {
            name: "a.ini".to_owned(),
            text,
        };
        let config = merge(&[source]).expect("merges");
        let push = Command::push(0, &Config::default(), &config, "test");
        self.ask(0, Target::Root, Query::Propose(push));
        self.run_until(self.time + 1_000_000, false);
        let key = Key {
            team: "big".to_owned(),
            digest: [7; 32],
            home_zone: None,
            withdrawn: false,
            withdrawn_at: 0,
        };
        let give = Command::GiveKey {
            id: "k".to_owned(),
            key,
        };
        self.ask(1, Target::Root, Query::Propose(give));
    }

    /// Withdraws key `k` through a random instance.
    pub fn withdraw_key(&mut self) {
        let at = self.rng.random_range(0..self.instances.len());
        let query = Query::Propose(Command::WithdrawKey { id: "k".to_owned() });
        let call = self.ask(at, Target::Root, query);
        self.withdraw_call = Some(call);
    }

    /// Heals all faults and asserts that every instance serves requests again.
    pub fn heal_and_check(&mut self) {
        self.blocked.clear();
        for instance in &mut self.instances {
            instance.paused_until = 0;
        }
        self.run_until(self.time + 25_000_000, false);
        self.started_by.clear();
        self.run_until(self.time + 4_000_000, false);
        for at in 0..self.instances.len() {
            let started = self.started_by.get(&at).copied().unwrap_or(0);
            assert!(
                started > 0,
                "seed {}: {} starts no requests after all faults were healed: {}",
                self.seed,
                self.instances[at].name,
                self.describe()
            );
        }
    }

    pub fn describe_upstream(&self, upstream: &str) -> String {
        let mut lines = Vec::new();
        for run in self.running.iter().filter(|r| r.upstream == upstream) {
            let instance = &self.instances[run.instance];
            lines.push(format!(
                "run of {} ({}) until {}",
                instance.name,
                if instance.id == run.sender {
                    "same process"
                } else {
                    "dead process"
                },
                run.until
            ));
        }
        for instance in &self.instances {
            let Some(control) = &instance.control else {
                continue;
            };
            let gate = instance.gate.lock().expect("gate");
            for u in gate.upstreams().filter(|u| u.announcement.name == upstream) {
                lines.push(format!(
                    "{} ({}): {:?}",
                    instance.name, instance.id, u.holding
                ));
            }
            for u in control.allocator().into_iter().flat_map(|a| a.upstreams()) {
                if u.announcement().name == upstream {
                    lines.push(format!("allocator {}: {:?}", instance.name, u));
                }
            }
        }
        lines.join("\n")
    }

    pub fn describe(&self) -> String {
        let lines: Vec<String> = self
            .instances
            .iter()
            .map(|i| {
                let Some(control) = &i.control else {
                    return format!("{}: down", i.name);
                };
                let gate = i.gate.lock().expect("gate");
                format!(
                    "{} {}: zone term {} appointed {} may act {} root leader {:?} applied {} teams {:?} slots {:?}",
                    i.name,
                    i.zone,
                    control.participant().term(),
                    control.participant().is_appointed(),
                    control.participant().may_act(i.clock(self.time)),
                    control.replica().leader(),
                    control.registry().applied,
                    gate.team_stats()
                        .iter()
                        .map(|t| (t.running, t.allowed, t.waiting))
                        .collect::<Vec<_>>(),
                    gate.upstreams()
                        .map(|u| (u.holding.in_use(), u.holding.allowed()))
                        .collect::<Vec<_>>(),
                )
            })
            .collect();
        lines.join("\n")
    }
}

pub fn peer_of(instance: &Instance) -> Peer {
    Peer {
        room_bytes: 0,
        id: instance.id,
        name: instance.name.clone(),
        zone: instance.zone.clone(),
        address: instance.name.clone(),
        replica: if instance.durable {
            instance.replica
        } else {
            instance.id.0
        },
        durable: instance.durable,
        founded: instance
            .control
            .as_ref()
            .is_some_and(|c| !c.replica().is_uninitialized()),
    }
}
