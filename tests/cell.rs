//! Whole control states of several instances under seeded schedules of silent and
//! one-way cuts, deaths, pauses, restarts and skewed clocks.
//!
//! A longer run: `SCHEDULES=5000 cargo test --release --test cell`.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use plantaincross::config::{Config, Source, merge};
use plantaincross::core::allocator::{Heartbeat, Seen};
use plantaincross::core::consensus::Stored;
use plantaincross::core::control::{Answer, Control, Effect, Identity, Input, Peer, Query, Target};
use plantaincross::core::gate::{Admission, Announcement, Assignment, Exchange, Gate, Request};
use plantaincross::core::registry::{Command, InstanceId, Key, Outcome};
use plantaincross::core::time::Moment;
use plantaincross::wire::Body;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TICK: u64 = 25_000;
const START: u64 = 10_000_000;
const CALM: u64 = 12_000_000;
const LENGTH: u64 = 30_000_000;
const RUN_LIMIT: u64 = 2_000_000;
const FRESHNESS: u64 = 1_500_000;
const ZONES: [&str; 2] = ["a", "b"];
const SLOTS: u32 = 4;
const LIMIT: u64 = 7;

/// A request that an upstream runs, whatever became of its sender.
struct Running {
    until: u64,
    sender: InstanceId,
    host: usize,
    assignment: Assignment,
    upstream: String,
    team: String,
}

#[derive(Default)]
struct Disk {
    stored: Stored,
}

struct Host {
    name: String,
    zone: String,
    id: InstanceId,
    replica: u64,
    durable: bool,
    control: Option<Control>,
    gate: Arc<Mutex<Gate>>,
    disk: Disk,
    skew: i64,
    offset: u64,
    paused_until: u64,
    version: u64,
    was_leading: bool,
}

impl Host {
    fn clock(&self, time: u64) -> Moment {
        let drift = time as i64 / 1_000 * self.skew;
        Moment((time as i64 + drift) as u64 + self.offset)
    }

    fn runs(&self, time: u64) -> bool {
        self.control.is_some() && self.paused_until <= time
    }
}

struct Cell {
    seed: u64,
    rng: ChaCha8Rng,
    time: u64,
    hosts: Vec<Host>,
    network: BTreeMap<(u64, u64), (usize, InstanceId, usize, Input)>,
    link_busy: BTreeMap<(usize, usize), u64>,
    sent: u64,
    cut: BTreeSet<(usize, usize)>,
    running: Vec<Running>,
    next_call: u64,
    beats: BTreeMap<u64, usize>,
    replies: BTreeMap<u64, Answer>,
    stays_down: BTreeSet<usize>,
    seen: BTreeMap<usize, Seen>,
    withdrawn: Option<u64>,
    withdraw_call: Option<u64>,
    completed: u64,
    started_by: BTreeMap<usize, u64>,
}

impl Cell {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let hosts = (0..5)
            .map(|at| Host {
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
            time: START,
            hosts,
            network: BTreeMap::new(),
            link_busy: BTreeMap::new(),
            sent: 0,
            cut: BTreeSet::new(),
            running: Vec::new(),
            next_call: 0,
            beats: BTreeMap::new(),
            replies: BTreeMap::new(),
            stays_down: BTreeSet::new(),
            seen: BTreeMap::new(),
            withdrawn: None,
            withdraw_call: None,
            completed: 0,
            started_by: BTreeMap::new(),
        };
        for at in 0..cell.hosts.len() {
            cell.start(at);
        }
        cell
    }

    fn start(&mut self, at: usize) {
        let id = InstanceId(self.rng.random::<u64>().max(1));
        let seed = self.rng.random::<u64>() >> 8;
        let host = &mut self.hosts[at];
        host.id = id;
        host.gate = Arc::default();
        let replica = if host.durable { host.replica } else { id.0 };
        let identity = Identity {
            id,
            name: host.name.clone(),
            zone: host.zone.clone(),
            address: host.name.clone(),
            replica,
            durable: host.durable,
            founders: ["i0", "i1", "i2"].map(str::to_owned).to_vec(),
            replace_after: Duration::from_secs(5),
        };
        let now = host.clock(self.time);
        let stored = host.disk.stored.clone();
        let gate = Arc::clone(&host.gate);
        host.control = Some(Control::new(identity, gate, stored, now, seed));
    }

    fn kill(&mut self, at: usize) {
        let id = self.hosts[at].id;
        self.hosts[at].control = None;
        // Its sockets are reset, where the path is open.
        for other in 0..self.hosts.len() {
            if other != at && !self.cut.contains(&(at, other)) {
                self.post(at, id, other, Input::PeerDown(id));
            }
        }
    }

    fn post(&mut self, from: usize, sender: InstanceId, to: usize, input: Input) {
        let delay = if self.rng.random_ratio(1, 50) {
            self.rng.random_range(1_000..300_000)
        } else {
            self.rng.random_range(300..5_000)
        };
        let busy = self.link_busy.entry((from, to)).or_default();
        *busy = (self.time + delay).max(*busy + 1);
        self.sent += 1;
        self.network
            .insert((*busy, self.sent), (from, sender, to, input));
    }

    fn step(&mut self, at: usize, input: Input) {
        let now = self.hosts[at].clock(self.time);
        let Some(control) = &mut self.hosts[at].control else {
            return;
        };
        let effects = control.step(now, input);
        self.carry_out(at, effects);
        self.settle(at);
    }

    fn settle(&mut self, at: usize) {
        loop {
            let now = self.hosts[at].clock(self.time);
            let Some(control) = &mut self.hosts[at].control else {
                return;
            };
            let ready = control.take_ready(now);
            let idle = ready.hard.is_none()
                && ready.snapshot.is_none()
                && ready.truncate_from.is_none()
                && ready.entries.is_empty()
                && ready.messages.is_empty()
                && ready.committed.is_empty();
            if idle {
                break;
            }
            let stored = &mut self.hosts[at].disk.stored;
            if let Some(hard) = ready.hard {
                stored.hard = hard;
            }
            if let Some(snapshot) = &ready.snapshot {
                stored.snapshot = snapshot.clone();
                stored.entries.clear();
            }
            if let Some(from) = ready.truncate_from {
                stored.entries.retain(|e| e.index < from);
            }
            stored.entries.extend(ready.entries.iter().cloned());
            let control = self.hosts[at].control.as_mut().expect("running");
            let effects = control.stored(now, ready);
            self.carry_out(at, effects);
        }
        self.pump(at);
    }

    fn carry_out(&mut self, at: usize, effects: Vec<Effect>) {
        let sender = self.hosts[at].id;
        for effect in effects {
            match effect {
                Effect::Send(to, body) => {
                    let Some(to) = self.hosts.iter().position(|h| h.id == to) else {
                        continue;
                    };
                    if !self.cut.contains(&(at, to)) {
                        self.post(at, sender, to, Input::Message(sender, body));
                    }
                }
                Effect::Reply(call, answer) => self.take_reply(call, &answer),
                Effect::Event(_) | Effect::Publish => {}
            }
        }
    }

    fn take_reply(&mut self, call: u64, answer: &Answer) {
        self.replies.insert(call, answer.clone());
        while self.replies.len() > 1_000 {
            self.replies.pop_first();
        }
        if let (Some(upstream), Answer::Heard(seen)) = (self.beats.remove(&call), answer) {
            self.seen.insert(upstream, *seen);
        }
        if self.withdraw_call == Some(call)
            && let Answer::Outcome(Outcome::Withdrawn { .. }) = answer
        {
            self.withdrawn.get_or_insert(self.time);
        }
    }

    fn ask(&mut self, at: usize, target: Target, query: Query) -> u64 {
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

    // Starts what the gate admits, as the traffic threads do.
    fn pump(&mut self, at: usize) {
        if !self.hosts[at].runs(self.time) {
            return;
        }
        let now = self.hosts[at].clock(self.time);
        let started = {
            let mut gate = self.hosts[at].gate.lock().expect("gate");
            gate.expire(now);
            gate.pump(now)
        };
        for (_, assignment) in started {
            self.send_request(at, assignment);
        }
    }

    fn send_request(&mut self, at: usize, assignment: Assignment) {
        let (upstream, team) = {
            let gate = self.hosts[at].gate.lock().expect("gate");
            let upstream = gate.upstream(assignment.upstream).expect("assigned");
            (
                upstream.announcement.name.clone(),
                gate.team_name(assignment.team).to_owned(),
            )
        };
        *self.started_by.entry(at).or_default() += 1;
        let length = self.rng.random_range(5_000..200_000);
        let length = if self.rng.random_ratio(1, 50) {
            RUN_LIMIT - 50_000
        } else {
            length
        };
        self.running.push(Running {
            until: self.time + length,
            sender: self.hosts[at].id,
            host: at,
            assignment,
            upstream,
            team,
        });
    }

    fn submit(&mut self, at: usize) {
        let now = self.hosts[at].clock(self.time);
        let team = if self.rng.random_ratio(1, 3) {
            "big"
        } else {
            "small"
        };
        let admission = {
            let mut gate = self.hosts[at].gate.lock().expect("gate");
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

    fn end_requests(&mut self) {
        let time = self.time;
        let (done, running): (Vec<Running>, Vec<Running>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|r| r.until <= time);
        self.running = running;
        for run in done {
            let host = &self.hosts[run.host];
            if host.id != run.sender || host.control.is_none() {
                continue;
            }
            let now = host.clock(time);
            host.gate
                .lock()
                .expect("gate")
                .finish(now, run.assignment, Exchange::Answered);
            self.completed += 1;
        }
    }

    fn announce(&mut self, upstream: usize) {
        let at = self.rng.random_range(0..self.hosts.len());
        if !self.hosts[at].runs(self.time) {
            return;
        }
        let name = format!("u{upstream}");
        let mut running: BTreeMap<InstanceId, u32> = BTreeMap::new();
        for run in self.running.iter().filter(|r| r.upstream == name) {
            *running.entry(run.sender).or_default() += 1;
        }
        let zone = ZONES[upstream % 2].to_owned();
        let beat = Heartbeat {
            announcement: Announcement {
                name,
                incarnation: 1,
                service: "orders".to_owned(),
                zone: zone.clone(),
                address: ([127, 0, 0, 1], 9_000 + upstream as u16).into(),
                slots: SLOTS,
                connections: 64,
            },
            leaving: false,
            running: Some(running),
            seen: self.seen.get(&upstream).copied(),
        };
        self.beats.insert(self.next_call + 1, upstream);
        self.ask(at, Target::Zone(zone), Query::Announce(beat));
    }

    fn link_up(&mut self) {
        for a in 0..self.hosts.len() {
            for b in 0..self.hosts.len() {
                let open = !self.cut.contains(&(a, b)) && !self.cut.contains(&(b, a));
                if a == b || !open || !self.hosts[a].runs(self.time) {
                    continue;
                }
                let peer = peer_of(&self.hosts[b]);
                let known = self.hosts[a]
                    .control
                    .as_ref()
                    .is_some_and(|c| c.knows(peer.id));
                if !known && self.hosts[b].runs(self.time) {
                    self.step(a, Input::PeerUp(peer));
                }
            }
        }
    }

    fn run_until(&mut self, end: u64, disturbed: bool) {
        let mut next_tick = self.time;
        let mut ticks = 0u64;
        while self.time < end {
            while let Some((&(at, number), _)) = self.network.first_key_value() {
                if at > next_tick {
                    break;
                }
                let (_, sender, to, input) = self.network.remove(&(at, number)).expect("first");
                self.time = self.time.max(at);
                self.end_requests();
                self.deliver(sender, to, input);
                self.check();
            }
            self.time = next_tick;
            next_tick += TICK;
            ticks += 1;
            self.end_requests();
            for at in 0..self.hosts.len() {
                if self.hosts[at].runs(self.time) {
                    self.step(at, Input::Tick);
                    for _ in 0..3 {
                        self.submit(at);
                    }
                } else if self.hosts[at].control.is_none()
                    && !self.stays_down.contains(&at)
                    && ticks.is_multiple_of(80)
                {
                    self.start(at);
                }
            }
            if ticks.is_multiple_of(16) {
                for upstream in 0..4 {
                    self.announce(upstream);
                }
            }
            if ticks.is_multiple_of(20) {
                self.link_up();
            }
            if disturbed {
                self.disturb();
            }
            self.check();
        }
    }

    fn deliver(&mut self, sender: InstanceId, to: usize, input: Input) {
        if self.hosts[to].paused_until > self.time {
            self.sent += 1;
            let later = self.hosts[to].paused_until + self.sent % 100;
            self.network
                .insert((later, self.sent), (to, sender, to, input));
            return;
        }
        self.step(to, input);
    }

    fn disturb(&mut self) {
        let count = self.hosts.len();
        match self.rng.random_range(0..400) {
            0 => {
                let at = self.rng.random_range(0..count);
                self.kill(at);
            }
            1 => {
                let at = self.rng.random_range(0..count);
                let length = self.rng.random_range(300_000..5_000_000);
                self.hosts[at].paused_until = self.time + length;
            }
            2 => self.cut_off(),
            3..7 => self.cut.clear(),
            _ => {}
        }
    }

    // One instance, one zone or any two sides; silent, and at times one way.
    fn cut_off(&mut self) {
        let count = self.hosts.len();
        let one = self.rng.random_range(0..count);
        let side: Vec<usize> = match self.rng.random_range(0..3) {
            0 => vec![one],
            1 => (0..count).filter(|at| at % 2 == one % 2).collect(),
            _ => (0..count).filter(|_| self.rng.random()).collect(),
        };
        let one_way = self.rng.random_ratio(1, 4);
        for &a in &side {
            for b in (0..count).filter(|b| !side.contains(b)) {
                self.cut.insert((a, b));
                if !one_way {
                    self.cut.insert((b, a));
                }
            }
        }
    }

    fn check(&mut self) {
        self.check_running();
        self.check_leaders();
        self.check_versions();
        self.check_key();
    }

    fn check_running(&self) {
        let seed = self.seed;
        let mut slots: BTreeMap<&str, u32> = BTreeMap::new();
        let mut units: BTreeMap<&str, u64> = BTreeMap::new();
        for run in &self.running {
            *slots.entry(&run.upstream).or_default() += 1;
            *units.entry(&run.team).or_default() += 1;
        }
        for (upstream, count) in slots {
            assert!(
                count <= SLOTS,
                "seed {seed} at {}: {upstream} runs {count}\n{}\n{}",
                self.time,
                self.describe_upstream(upstream),
                self.describe()
            );
        }
        for (team, count) in units {
            assert!(
                count <= LIMIT,
                "seed {seed} at {}: {team} runs {count}",
                self.time
            );
        }
    }

    fn check_leaders(&mut self) {
        for zone in ZONES {
            let acting: Vec<&str> = self
                .hosts
                .iter()
                .filter(|h| h.zone == zone)
                .filter(|h| {
                    h.control
                        .as_ref()
                        .is_some_and(|c| c.participant().may_act(h.clock(self.time)))
                })
                .map(|h| h.name.as_str())
                .collect();
            assert!(
                acting.len() <= 1,
                "seed {} at {}: {acting:?} lead zone {zone}",
                self.seed,
                self.time
            );
        }
        for host in &mut self.hosts {
            host.was_leading |= host
                .control
                .as_ref()
                .is_some_and(|c| c.participant().is_named());
        }
    }

    fn check_versions(&mut self) {
        let seed = self.seed;
        for host in &mut self.hosts {
            let Some(control) = &host.control else {
                // An instance without a disk starts from nothing and says so.
                if !host.durable {
                    host.version = 0;
                }
                continue;
            };
            let version = control.registry().version;
            if version > 0 {
                assert!(version >= host.version, "seed {seed}: {} fell", host.name);
                host.version = version;
            }
        }
    }

    fn check_key(&self) {
        let Some(at) = self.withdrawn else {
            return;
        };
        for host in &self.hosts {
            let Some(control) = &host.control else {
                continue;
            };
            let now = host.clock(self.time);
            let fresh = control
                .fresh_as_of()
                .is_some_and(|as_of| now.0 < as_of.0 + FRESHNESS);
            let dead = control.tombstones().contains("k")
                || control
                    .registry()
                    .keys
                    .get("k")
                    .is_some_and(|k| k.withdrawn);
            let bound = FRESHNESS + FRESHNESS / 100;
            assert!(
                dead || !fresh || self.time < at + bound,
                "seed {}: {} takes a key withdrawn {} us ago",
                self.seed,
                host.name,
                self.time - at
            );
        }
    }

    fn prepare(&mut self) {
        self.run_until(START + 3_000_000, false);
        let text = format!(
            "[cell]\nfreshness = 1500ms\n[team big]\nshare = 3\nlimit = {LIMIT}\n\
             [team small]\nshare = 1\nlimit = {LIMIT}\n[service orders]\nrun-limit = 2s\n"
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

    fn withdraw(&mut self) {
        let at = self.rng.random_range(0..self.hosts.len());
        let query = Query::Propose(Command::WithdrawKey { id: "k".to_owned() });
        let call = self.ask(at, Target::Root, query);
        self.withdraw_call = Some(call);
    }

    /// Heals everything and requires that every instance serves again.
    fn recover(&mut self) {
        self.cut.clear();
        for host in &mut self.hosts {
            host.paused_until = 0;
        }
        self.run_until(self.time + 25_000_000, false);
        self.started_by.clear();
        self.run_until(self.time + 4_000_000, false);
        for at in 0..self.hosts.len() {
            let started = self.started_by.get(&at).copied().unwrap_or(0);
            assert!(
                started > 0,
                "seed {}: {} starts nothing after everything was healed: {}",
                self.seed,
                self.hosts[at].name,
                self.describe()
            );
        }
    }

    fn describe_upstream(&self, upstream: &str) -> String {
        let mut lines = Vec::new();
        for run in self.running.iter().filter(|r| r.upstream == upstream) {
            let host = &self.hosts[run.host];
            lines.push(format!(
                "run of {} ({}) until {}",
                host.name,
                if host.id == run.sender {
                    "same process"
                } else {
                    "dead process"
                },
                run.until
            ));
        }
        for host in &self.hosts {
            let Some(control) = &host.control else {
                continue;
            };
            let gate = host.gate.lock().expect("gate");
            for u in gate.upstreams().filter(|u| u.announcement.name == upstream) {
                lines.push(format!("{} ({}): {:?}", host.name, host.id, u.holding));
            }
            for h in control.allocator().into_iter().flat_map(|o| o.hosts()) {
                if h.announcement().name == upstream {
                    lines.push(format!("allocator {}: {:?}", host.name, h));
                }
            }
        }
        lines.join("\n")
    }

    fn describe(&self) -> String {
        let lines: Vec<String> = self
            .hosts
            .iter()
            .map(|h| {
                let Some(control) = &h.control else {
                    return format!("{}: down", h.name);
                };
                let gate = h.gate.lock().expect("gate");
                format!(
                    "{} {}: zone term {} named {} acts {} root {:?} applied {} teams {:?} slots {:?}",
                    h.name,
                    h.zone,
                    control.participant().term(),
                    control.participant().is_named(),
                    control.participant().may_act(h.clock(self.time)),
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

fn peer_of(host: &Host) -> Peer {
    Peer {
        id: host.id,
        name: host.name.clone(),
        zone: host.zone.clone(),
        address: host.name.clone(),
        replica: if host.durable {
            host.replica
        } else {
            host.id.0
        },
        durable: host.durable,
        founded: host
            .control
            .as_ref()
            .is_some_and(|c| !c.replica().is_blank()),
    }
}

fn schedule(seed: u64) -> Cell {
    let mut cell = Cell::new(seed);
    cell.prepare();
    cell.run_until(START + CALM, false);
    let calm = cell.completed;
    assert!(
        calm > 100,
        "seed {seed}: {calm} requests in calm\n{}",
        cell.describe()
    );
    let middle = cell.time + LENGTH / 2;
    cell.run_until(middle, true);
    cell.withdraw();
    cell.run_until(middle + LENGTH / 2, true);
    cell.recover();
    cell
}

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

/// Cuts zone b off, silently, with a key at home there and one without a home.
fn cut_off_zone() -> Cell {
    let mut cell = Cell::new(77);
    cell.prepare();
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
    cell.run_until(START + CALM, false);
    let (inside, outside): (Vec<usize>, Vec<usize>) = (0..5).partition(|at| at % 2 == 1);
    for &a in &inside {
        for &b in &outside {
            cell.cut.insert((a, b));
            cell.cut.insert((b, a));
        }
    }
    cell
}

impl Cell {
    fn vouched(&self, at: usize) -> (bool, bool) {
        let host = &self.hosts[at];
        let control = host.control.as_ref().expect("runs");
        let now = host.clock(self.time);
        (
            now < control.root_vouches_until(),
            now < control.zone_vouches_until(),
        )
    }

    fn withdrawn_at(&self, at: usize, id: &str) -> bool {
        let control = self.hosts[at].control.as_ref().expect("runs");
        control
            .registry()
            .keys
            .get(id)
            .is_some_and(|key| key.withdrawn)
    }
}

#[test]
fn cut_off_zone_serves_on_and_takes_its_home_keys_only() {
    let mut cell = cut_off_zone();
    cell.started_by.clear();
    cell.run_until(cell.time + 60_000_000, false);
    for at in 0..5 {
        let home = at % 2 == 1;
        assert!(cell.started_by[&at] > 0, "i{at} starts nothing");
        assert_eq!(cell.vouched(at), (!home, true), "i{at}");
    }
}

#[test]
fn withdrawal_of_a_home_key_waits_for_its_zone() {
    let mut cell = cut_off_zone();
    cell.run_until(cell.time + 5_000_000, false);
    let withdraw = Command::WithdrawKey {
        id: "home".to_owned(),
    };
    cell.ask(0, Target::Root, Query::Propose(withdraw));
    cell.run_until(cell.time + 2_000_000, false);
    assert!((0..5).all(|at| cell.withdrawn_at(at, "home") == (at % 2 == 0)));
    let at = cell.hosts[0]
        .control
        .as_ref()
        .expect("runs")
        .registry()
        .keys["home"]
        .withdrawn_at;
    let call = cell.ask(0, Target::Zone("b".to_owned()), Query::Applied(at));
    cell.run_until(cell.time + 4_000_000, false);
    assert!(matches!(cell.replies.get(&call), Some(Answer::Failed(_))));
    cell.cut.clear();
    cell.run_until(cell.time + 4_000_000, false);
    let call = cell.ask(0, Target::Zone("b".to_owned()), Query::Applied(at));
    cell.run_until(cell.time + 1_000_000, false);
    assert_eq!(cell.replies.get(&call), Some(&Answer::Done));
    assert!((0..5).all(|at| cell.withdrawn_at(at, "home")));
}

#[test]
fn instance_that_was_away_for_an_hour_comes_back_without_reverting() {
    let mut cell = cut_off_zone();
    cell.run_until(cell.time + 5_000_000, false);
    let version = cell.hosts[0].version;
    // An hour away: its own timers go on, but nothing passes.
    let hour = 3_600_000_000;
    for at in [1, 3] {
        cell.hosts[at].paused_until = cell.time + hour - 10_000_000;
    }
    cell.time += hour;
    cell.network.clear();
    let withdraw = Command::WithdrawKey {
        id: "home".to_owned(),
    };
    cell.run_until(cell.time + 5_000_000, false);
    cell.ask(0, Target::Root, Query::Propose(withdraw));
    cell.cut.clear();
    cell.run_until(cell.time + 10_000_000, false);
    assert!((0..5).all(|at| cell.withdrawn_at(at, "home")));
    assert!(cell.hosts.iter().all(|h| h.version >= version));
    cell.recover();
}

impl Cell {
    fn voters(&self, at: usize) -> Vec<String> {
        let control = self.hosts[at].control.as_ref().expect("runs");
        let voters = control.replica().voters().iter();
        voters.map(|v| v.name.clone()).collect()
    }

    /// Pushes a change and requires that it is in force at the instances that run.
    fn push_limit(&mut self, at: usize, limit: u64) {
        let control = self.hosts[at].control.as_ref().expect("runs");
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
        for host in self.hosts.iter().filter(|h| h.control.is_some()) {
            assert_eq!(host.version, version + 1, "{}", host.name);
        }
    }

    fn lose(&mut self, at: usize) {
        self.stays_down.insert(at);
        self.kill(at);
    }
}

#[test]
fn spare_replaces_a_lost_voter_before_a_second_one_is_lost() {
    let mut cell = Cell::new(79);
    cell.prepare();
    cell.run_until(cell.time + 2_000_000, false);
    assert_eq!(cell.voters(0), ["i0", "i1", "i2"]);
    cell.lose(2);
    cell.run_until(cell.time + 10_000_000, false);
    assert_eq!(cell.voters(0), ["i0", "i1", "i3"]);
    cell.push_limit(0, 5);
    // The second loss comes right after the repair.
    cell.lose(1);
    cell.run_until(cell.time + 4_000_000, false);
    cell.push_limit(0, 6);
    cell.push_limit(3, 4);
}

#[test]
fn voter_that_lost_its_disk_comes_back_as_another_replica() {
    let mut cell = Cell::new(80);
    cell.prepare();
    cell.run_until(cell.time + 2_000_000, false);
    let before = cell.voters(0);
    cell.lose(2);
    cell.hosts[2].disk = Disk::default();
    cell.hosts[2].replica = 777;
    cell.hosts[2].version = 0;
    cell.stays_down.clear();
    cell.start(2);
    cell.run_until(cell.time + 3_000_000, false);
    let control = cell.hosts[2].control.as_ref().expect("runs");
    assert!(
        !control.replica().is_voter(),
        "it must not vote with a lost memory"
    );
    assert_eq!(cell.voters(0), before);
    cell.run_until(cell.time + 10_000_000, false);
    assert_eq!(cell.voters(0).len(), 3);
    cell.push_limit(2, 5);
}

#[test]
fn racing_operators_have_one_winner_and_resends_get_the_first_answer() {
    let mut cell = Cell::new(78);
    cell.prepare();
    let control = cell.hosts[0].control.as_ref().expect("runs");
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
    assert!(won[winner ^ 1], "the same push gets the same answer");
    assert!(cell.hosts.iter().all(|h| h.version == 2));
}

#[test]
fn same_seed_gives_same_run() {
    let (one, two) = (schedule(42), schedule(42));
    assert_eq!(one.completed, two.completed);
    assert_eq!(one.sent, two.sent);
}

#[test]
fn body_of_a_ping_is_small() {
    // Kept small, since every instance sends two a second to every other.
    let ping = plantaincross::wire::Ping {
        sent_at: u64::MAX >> 8,
        echo: u64::MAX >> 8,
        held: 400_000,
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
