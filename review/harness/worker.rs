//! Stand-ins of workers ("minions" on the platform's pages), which follow the page on running
//! tasks: leases, fencing tokens, run numbers, lists of runs and ends.
//!
//! The text of a job says how long its tasks work: `ms=2000`, or `lasts`.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Reply, Request, Server};
use crate::json::{Json, quote};
use crate::record::Record;

/// `bounds.maxHoldMs` of the settings.
pub const LEASE_MAX_MS: u64 = 6_000;
/// `bounds.stopMs` of the settings is 200.
const STOP_MS: u64 = 100;
const HEARTBEAT_MS: u64 = 1_500;
const STARTUP_MS: u64 = 400;

/// One run of a task, as its worker saw it. Times are in milliseconds of the record.
#[derive(Clone, Debug)]
#[expect(dead_code, reason = "some fields are only written to the record")]
pub struct Seen {
    pub task: String,
    pub run: u32,
    pub worker: String,
    pub from: u64,
    pub to: Option<u64>,
    pub how: &'static str,
}

struct Run {
    number: u32,
    started: u64,
    works_ms: Option<u64>,
    stops_at: Option<u64>,
    seen: usize,
}

struct End {
    number: u64,
    task: String,
    run: u32,
    how: &'static str,
}

struct Life {
    id: String,
    born: u64,
    started: u64,
    fence: u64,
    lease: u64,
    sequence: u64,
    runs: BTreeMap<String, Run>,
    /// Highest run of each task that was stopped or has ended here.
    refused: HashMap<String, u32>,
    ends: Vec<End>,
    last_end: u64,
    draining: bool,
    up: bool,
}

struct State {
    lives: Vec<Life>,
    seen: Vec<Seen>,
}

/// All workers of a run.
#[derive(Clone)]
pub struct Fleet {
    state: Arc<Mutex<State>>,
    servers: Arc<Mutex<Vec<Option<Server>>>>,
    addresses: Vec<SocketAddr>,
    labels: Vec<Vec<String>>,
    controls: Arc<Mutex<Vec<SocketAddr>>>,
    record: Record,
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

impl Fleet {
    /// Starts a worker at each address, with these labels; the last one names the rack.
    pub fn start(
        addresses: Vec<SocketAddr>,
        labels: Vec<Vec<String>>,
        controls: Vec<SocketAddr>,
        record: Record,
    ) -> Self {
        let now = record.now();
        let lives = (0..addresses.len())
            .map(|at| new_life(format!("i-{at:02}"), now))
            .collect();
        let fleet = Self {
            state: Arc::new(Mutex::new(State {
                lives,
                seen: Vec::new(),
            })),
            servers: Arc::default(),
            addresses,
            labels,
            controls: Arc::new(Mutex::new(controls)),
            record,
        };
        for at in 0..fleet.addresses.len() {
            let server = fleet.serve(at);
            fleet.servers.lock().expect("servers").push(Some(server));
            let copy = fleet.clone();
            std::thread::spawn(move || copy.send_heartbeats(at));
        }
        let copy = fleet.clone();
        std::thread::spawn(move || {
            loop {
                copy.update();
                sleep(Duration::from_millis(5));
            }
        });
        fleet
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("fleet")
    }

    fn serve(&self, at: usize) -> Server {
        let fleet = self.clone();
        let handler = move |request: &Request| fleet.handle(at, request);
        Server::start(self.addresses[at], handler).expect("the worker's address is free")
    }

    /// Ends a worker at once. It runs nothing any more and does not answer.
    pub fn crash(&self, at: usize) {
        self.take_down(at, "gone");
    }

    /// Ends a worker that has said that it leaves.
    pub fn end(&self, at: usize) {
        self.take_down(at, "left");
    }

    fn take_down(&self, at: usize, how: &'static str) {
        let server = self.servers.lock().expect("servers")[at].take();
        let now = self.record.now();
        {
            let mut state = self.state();
            let state = &mut *state;
            let life = &mut state.lives[at];
            life.up = false;
            for (_, run) in std::mem::take(&mut life.runs) {
                let seen = &mut state.seen[run.seen];
                seen.to = Some(now);
                seen.how = how;
            }
            let (id, born) = (&life.id, life.born);
            self.record
                .write(&format!("worker {id} (born {born}) ends: {how}"));
        }
        if let Some(server) = server {
            server.stop();
        }
    }

    /// Starts a worker again that is down: under the id that it had, or a new one.
    pub fn restart(&self, at: usize, new_id: Option<String>) {
        let now = self.record.now();
        {
            let mut state = self.state();
            let id = new_id.unwrap_or_else(|| state.lives[at].id.clone());
            state.lives[at] = new_life(id.clone(), now);
            let born = state.lives[at].born;
            self.record
                .write(&format!("worker {id} (born {born}) starts"));
        }
        let server = self.serve(at);
        self.servers.lock().expect("servers")[at] = Some(server);
        self.heartbeat(at, &mut 0);
    }

    /// Lets a worker say from now on that it drains, and says so at once.
    pub fn drain(&self, at: usize) -> bool {
        self.state().lives[at].draining = true;
        self.heartbeat(at, &mut 0)
    }

    pub fn id(&self, at: usize) -> String {
        self.state().lives[at].id.clone()
    }

    /// Returns the start of a worker's present life, in milliseconds since 1970.
    pub fn born(&self, at: usize) -> u64 {
        self.state().lives[at].born
    }

    /// Returns the position of the worker that runs a task, and since when.
    pub fn runs_on(&self, task: &str) -> Option<(usize, u64)> {
        let state = self.state();
        let mut lives = state.lives.iter().enumerate();
        lives.find_map(|(at, life)| life.runs.get(task).map(|run| (at, run.started)))
    }

    /// Returns the number of runs on a worker.
    pub fn run_count(&self, at: usize) -> usize {
        self.state().lives[at].runs.len()
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.state().seen.clone()
    }

    /// Replaces the addresses to which workers send heartbeats.
    pub fn set_controls(&self, controls: Vec<SocketAddr>) {
        *self.controls.lock().expect("controls") = controls;
    }

    fn send_heartbeats(&self, at: usize) {
        let mut turn = at;
        loop {
            if self.state().lives[at].up {
                self.heartbeat(at, &mut turn);
            }
            sleep(Duration::from_millis(HEARTBEAT_MS));
        }
    }

    // Sends a heartbeat to one control address after the other until it is acknowledged.
    fn heartbeat(&self, at: usize, turn: &mut usize) -> bool {
        let (path, body) = {
            let now = self.record.now();
            let mut state = self.state();
            let life = &mut state.lives[at];
            life.sequence += 1;
            let labels: Vec<String> = self.labels[at].iter().map(|l| quote(l)).collect();
            let body = format!(
                "{{\"backend\":\"booking\",\"address\":\"{}\",\"zone\":\"z{}\",\"version\":\"v1\",\
                 \"slots\":8,\"state\":\"{}\",\"coldRemainingMs\":0,\"capacity\":{{\"cpu\":16000,\
                 \"memMb\":32768,\"gpu\":0}},\"labels\":[{}],\"wallClockMs\":{},\"sequence\":{},\
                 \"born\":{},\"machine\":\"m-{at:02}\"}}",
                self.addresses[at],
                at % 3,
                if life.draining { "draining" } else { "ready" },
                labels.join(","),
                now - life.started,
                life.sequence,
                life.born,
            );
            (format!("/instances/{}", life.id), body)
        };
        let controls = self.controls.lock().expect("controls").clone();
        for _ in 0..controls.len() {
            let to = controls[*turn % controls.len()];
            let answer = http::call(to, Duration::from_secs(1), "PUT", &path, &[], &body);
            if answer.is_ok_and(|(status, _)| (200..300).contains(&status)) {
                return true;
            }
            *turn += 1;
        }
        false
    }

    fn update(&self) {
        let now = self.record.now();
        let mut state = self.state();
        let state = &mut *state;
        for life in state.lives.iter_mut().filter(|life| life.up) {
            let lapsed = now - life.started > life.lease;
            let over: Vec<(String, &'static str)> = life
                .runs
                .iter()
                .filter_map(|(task, run)| {
                    let stopped = run.stops_at.is_some_and(|at| now >= at);
                    let done = run.works_ms.is_some_and(|ms| now >= run.started + ms);
                    let how = match (lapsed, stopped, done) {
                        (_, true, _) => "stopped",
                        (_, _, true) => "done",
                        (true, ..) => "lapsed",
                        _ => return None,
                    };
                    Some((task.clone(), how))
                })
                .collect();
            for (task, how) in over {
                let run = life.runs.remove(&task).expect("listed above");
                life.last_end += 1;
                let refused = life.refused.entry(task.clone()).or_insert(0);
                *refused = run.number.max(*refused);
                let seen = &mut state.seen[run.seen];
                seen.to = Some(now);
                seen.how = how;
                self.record.write(&format!(
                    "{} run {} on {} ends: {how}",
                    task, run.number, life.id
                ));
                life.ends.push(End {
                    number: life.last_end,
                    task,
                    run: run.number,
                    how,
                });
            }
        }
    }

    fn handle(&self, at: usize, request: &Request) -> Reply {
        if request.path == "/health" {
            return Some((200, "{}".to_owned()));
        }
        let expected = request.fields.get("expect-instance").cloned();
        let Some(order) = Json::parse(&request.body) else {
            return Some((400, "{}".to_owned()));
        };
        let now = self.record.now();
        let born = {
            let mut state = self.state();
            let state = &mut *state;
            let life = &mut state.lives[at];
            if !life.up {
                return None;
            }
            let clock = now - life.started;
            if expected.is_some_and(|id| id != life.id) {
                return Some((421, format!("{{\"wallClockMs\":{clock}}}")));
            }
            let fence = order.number("fencingToken").unwrap_or(0);
            if fence < life.fence {
                return refusal(clock, "fence");
            }
            life.fence = fence;
            match request.path.as_str() {
                "/run-start" => return self.start_run(state, at, now, &order),
                "/run-stop" => {
                    let (Some(task), Some(run)) = (order.text("task"), order.number("run")) else {
                        return Some((400, "{}".to_owned()));
                    };
                    let refused = life.refused.entry(task.to_owned()).or_insert(0);
                    *refused = (run as u32).max(*refused);
                    if let Some(found) = life.runs.get_mut(task)
                        && u64::from(found.number) <= run
                    {
                        found.stops_at.get_or_insert(now + STOP_MS);
                    }
                    self.record
                        .write(&format!("{task} run {run} on {}: stop ordered", life.id));
                    return Some((200, format!("{{\"wallClockMs\":{clock}}}")));
                }
                "/hold" => {
                    let seen = order.number("lastSeen").unwrap_or(0);
                    life.ends.retain(|end| end.number > seen);
                    if let Some(until) = order.number("deadlineMs") {
                        life.lease = life.lease.max(until.min(clock + LEASE_MAX_MS));
                    }
                }
                _ => return Some((404, "{}".to_owned())),
            }
            life.born
        };
        let until = Instant::now() + Duration::from_millis(order.number("waitMs").unwrap_or(0));
        loop {
            let state = self.state();
            let life = &state.lives[at];
            if !life.up || life.born != born {
                return None;
            }
            if !life.ends.is_empty() || Instant::now() >= until {
                return Some((200, lists(life, self.record.now())));
            }
            drop(state);
            sleep(Duration::from_millis(5));
        }
    }

    fn start_run(&self, state: &mut State, at: usize, now: u64, order: &Json) -> Reply {
        let fields = (
            order.text("task"),
            order.number("run"),
            order.text("spec"),
            order.number("deadlineMs"),
        );
        let (Some(task), Some(number), Some(spec), Some(until)) = fields else {
            return Some((400, "{}".to_owned()));
        };
        let number = number as u32;
        let life = &mut state.lives[at];
        let clock = now - life.started;
        let lease = life.lease.max(until.min(clock + LEASE_MAX_MS));
        let done = Some((200, format!("{{\"wallClockMs\":{clock}}}")));
        if life.runs.get(task).is_some_and(|run| run.number == number) {
            life.lease = lease;
            return done;
        }
        let is_old = life.refused.get(task).is_some_and(|run| number <= *run);
        if is_old || life.runs.contains_key(task) {
            life.lease = lease;
            return refusal(clock, "old");
        }
        if until <= clock {
            return refusal(clock, "late");
        }
        life.lease = lease;
        let works_ms = spec
            .split(' ')
            .find_map(|word| word.strip_prefix("ms="))
            .and_then(|ms| ms.parse().ok());
        self.record
            .write(&format!("{task} run {number} on {} starts", life.id));
        state.seen.push(Seen {
            task: task.to_owned(),
            run: number,
            worker: life.id.clone(),
            from: now,
            to: None,
            how: "",
        });
        let run = Run {
            number,
            started: now,
            works_ms,
            stops_at: None,
            seen: state.seen.len() - 1,
        };
        life.runs.insert(task.to_owned(), run);
        done
    }
}

fn new_life(id: String, now: u64) -> Life {
    Life {
        id,
        born: unix_ms(),
        started: now,
        fence: 0,
        lease: 0,
        sequence: 0,
        runs: BTreeMap::new(),
        refused: HashMap::new(),
        ends: Vec::new(),
        last_end: 0,
        draining: false,
        up: true,
    }
}

fn refusal(clock: u64, reason: &str) -> Reply {
    Some((
        409,
        format!("{{\"wallClockMs\":{clock},\"reason\":\"{reason}\"}}"),
    ))
}

fn lists(life: &Life, now: u64) -> String {
    let running: Vec<String> = life
        .runs
        .iter()
        .map(|(task, run)| {
            let worked = now - run.started;
            let percent = match run.works_ms {
                Some(ms) => (worked * 100 / ms.max(1)).min(100),
                None => (worked * 100 / STARTUP_MS).min(100),
            };
            format!("[\"{task}\",{},\"\",{percent},0]", run.number)
        })
        .collect();
    let finished: Vec<String> = life
        .ends
        .iter()
        .take(500)
        .map(|e| format!("[{},\"{}\",{},\"{}\",\"\"]", e.number, e.task, e.run, e.how))
        .collect();
    format!(
        "{{\"wallClockMs\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
        now - life.started,
        life.born,
        running.join(","),
        finished.join(",")
    )
}
