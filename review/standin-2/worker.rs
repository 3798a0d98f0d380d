//! A worker as the users' pages describe it: runs under a lease, fencing tokens, listed ends.

use std::collections::BTreeMap;
use std::io::Result;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::cell::{Record, unix_ms};
use crate::http::{self, Request, Response};
use crate::json::Json;

/// Longest lease that a worker grants, as in the settings of the cell.
pub const LEASE_MAX_MS: u64 = 6_000;
/// Time that stopping a run takes; the settings allow 200 ms.
const STOP_MS: u64 = 50;
/// Interval of a worker's reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Interval at which runs and leases are looked at.
const UPDATE_INTERVAL: Duration = Duration::from_millis(10);
/// Capacity of a worker: processor time in thousandths of a core, and memory.
const CPU: u64 = 16_000;
const MEMORY_MB: u64 = 32_768;
/// Refused starts of a task that are recorded one by one.
const REFUSALS_RECORDED_MAX: u64 = 5;

/// Run on a worker.
#[derive(Clone, Debug)]
struct Run {
    number: u64,
    started_ms: u64,
    duration_ms: u64,
    fails: bool,
    stops_at_ms: Option<u64>,
}

#[derive(Clone, Debug)]
struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

#[derive(Debug, Default)]
struct State {
    id: String,
    is_up: bool,
    started: Option<Instant>,
    born_ms: u64,
    sequence: u64,
    fence: u64,
    lease_until_ms: u64,
    runs: BTreeMap<String, Run>,
    ends: Vec<End>,
    last_end: u64,
    /// Highest run of each task that ended or was stopped here.
    refused: BTreeMap<String, u64>,
}

impl State {
    // Returns the worker's clock, which starts with each of its lives.
    fn clock(&self) -> u64 {
        let started = self.started.expect("started before it serves");
        started.elapsed().as_millis() as u64 + 1_000
    }

    fn end(&mut self, task: &str, how: &'static str, record: &Record) {
        let Some(run) = self.runs.remove(task) else {
            return;
        };
        let refused = self.refused.entry(task.to_owned()).or_default();
        *refused = run.number.max(*refused);
        self.last_end += 1;
        record.line(&format!("{} ends {task} run {} {how}", self.id, run.number));
        self.ends.push(End {
            number: self.last_end,
            task: task.to_owned(),
            run: run.number,
            how,
        });
    }

    fn update(&mut self, record: &Record) -> bool {
        if !self.is_up {
            return false;
        }
        let clock = self.clock();
        let lapsed = clock > self.lease_until_ms;
        let mut ended = Vec::new();
        for (task, run) in &self.runs {
            let worked = clock - run.started_ms;
            if lapsed {
                ended.push((task.clone(), "lapsed"));
            } else if run.stops_at_ms.is_some_and(|at| clock >= at) {
                ended.push((task.clone(), "stopped"));
            } else if worked >= run.duration_ms {
                ended.push((task.clone(), if run.fails { "failed" } else { "done" }));
            }
        }
        for (task, how) in &ended {
            self.end(task, how, record);
        }
        !ended.is_empty()
    }

    fn lists(&self) -> String {
        let clock = self.clock();
        let percent = |run: &Run| (clock - run.started_ms) * 100 / run.duration_ms.max(1);
        let running = self.runs.iter().map(|(task, run)| {
            format!(
                "[\"{task}\",{},\"\",{},0]",
                run.number,
                percent(run).min(100)
            )
        });
        let ends = self.ends.iter().take(500);
        let ended =
            ends.map(|e| format!("[{},\"{}\",{},\"{}\",\"\"]", e.number, e.task, e.run, e.how));
        let running: Vec<String> = running.collect();
        let ended: Vec<String> = ended.collect();
        format!(
            "{{\"wallClockMs\":{clock},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            self.born_ms,
            running.join(","),
            ended.join(",")
        )
    }

    fn extend_lease(&mut self, deadline_ms: u64) {
        let granted = deadline_ms.min(self.clock() + LEASE_MAX_MS);
        self.lease_until_ms = self.lease_until_ms.max(granted);
    }
}

/// Handle to a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    pub name: String,
    address: SocketAddr,
    zone: usize,
    state: Arc<(Mutex<State>, Condvar)>,
    needs_ticket: Arc<AtomicBool>,
    delays: Delays,
    record: Record,
}

/// Orders that the network holds up, shared by all workers.
#[derive(Clone, Debug, Default)]
pub struct Delays {
    /// Task whose next start is held up, with the time until it is delivered.
    next_start: Arc<Mutex<Option<(String, Duration)>>>,
}

impl Delays {
    /// Holds the next start of a task up.
    pub fn delay_start_of(&self, task: &str, time: Duration) {
        *self.next_start.lock().expect("delays lock") = Some((task.to_owned(), time));
    }

    // Returns the time for which this order is held up, if it is.
    fn take(&self, request: &Request) -> Option<Duration> {
        if request.path != "/run-start" {
            return None;
        }
        let task = Json::parse(&request.body)?.text("task");
        let mut next = self.next_start.lock().expect("delays lock");
        next.take_if(|(wanted, _)| *wanted == task)
            .map(|(_, time)| time)
    }
}

impl Worker {
    /// Starts a worker that reports to the control addresses.
    pub fn start(
        name: &str,
        address: SocketAddr,
        zone: usize,
        control: &[SocketAddr],
        delays: &Delays,
        record: &Record,
    ) -> Result<Self> {
        let worker = Self {
            name: name.to_owned(),
            address,
            zone,
            state: Arc::default(),
            needs_ticket: Arc::default(),
            delays: delays.clone(),
            record: record.clone(),
        };
        worker.boot(0);
        let (server, updater, reporter) = (worker.clone(), worker.clone(), worker.clone());
        http::serve(address, move |request| server.handle(&request))?;
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(UPDATE_INTERVAL);
                let record = updater.record.clone();
                if updater.state().update(&record) {
                    updater.state.1.notify_all();
                }
            }
        });
        let control = control.to_vec();
        std::thread::spawn(move || reporter.report_forever(&control));
        Ok(worker)
    }

    /// Requires a ticket for each start from now on, or no longer.
    pub fn set_needs_ticket(&self, needed: bool) {
        self.needs_ticket.store(needed, Ordering::Relaxed);
    }

    /// Crashes the worker: it loses its runs and answers nothing.
    pub fn crash(&self) {
        let mut state = self.state();
        state.is_up = false;
        let lost: Vec<String> = state.runs.keys().cloned().collect();
        self.record
            .line(&format!("{} crashes with {}", state.id, lost.join(" ")));
        state.runs.clear();
        drop(state);
        self.state.1.notify_all();
    }

    /// Starts another life of the worker. Its id holds the number of the life; it is the former one if
    /// the number is.
    pub fn boot(&self, life: u64) {
        let mut state = self.state();
        *state = State {
            id: format!("{}-{life}", self.name),
            is_up: true,
            started: Some(Instant::now()),
            born_ms: unix_ms(),
            ..State::default()
        };
        self.record.line(&format!("{} starts", state.id));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("worker lock")
    }

    fn report_forever(&self, control: &[SocketAddr]) {
        let mut next = self.zone;
        loop {
            let body = {
                let mut state = self.state();
                state.sequence += 1;
                let is_up = state.is_up;
                let body = format!(
                    "{{\"backend\":\"s\",\"address\":\"{}\",\"zone\":\"z{}\",\"version\":\"v1\",\"slots\":8,\
                     \"state\":\"ready\",\"coldRemainingMs\":0,\"capacity\":{{\"cpu\":{CPU},\"memMb\":{MEMORY_MB},\
                     \"gpu\":0}},\"labels\":[\"a\",\"r{}\"],\"wallClockMs\":{},\"sequence\":{},\"born\":{},\
                     \"machine\":\"m-{}\"}}",
                    self.address,
                    self.zone,
                    self.zone,
                    state.clock(),
                    state.sequence,
                    state.born_ms,
                    self.name,
                );
                is_up.then(|| (format!("/instances/{}", state.id), body))
            };
            let mut accepted = true;
            if let Some((path, body)) = body {
                let address = control[next % control.len()];
                let limit = Duration::from_secs(1);
                let answer = http::call(address, "PUT", &path, &[], &body, limit);
                accepted = answer.is_ok_and(|(status, _)| status / 100 == 2);
            }
            if accepted {
                // A new life reports at once.
                let born = self.state().born_ms;
                let until = Instant::now() + REPORT_INTERVAL;
                while Instant::now() < until && self.state().born_ms == born {
                    std::thread::sleep(UPDATE_INTERVAL);
                }
            } else {
                next += 1;
                std::thread::sleep(Duration::from_millis(100));
            }
        }
    }

    fn handle(&self, request: &Request) -> Response {
        if let Some(time) = self.delays.take(request) {
            let Self { name, record, .. } = self;
            record.line(&format!("a start for {name} is held up: {}", request.body));
            std::thread::sleep(time);
            let result = self.respond(request);
            record.line(&format!("the start for {name} arrives: {result:?}"));
            // Nobody waits for the answer any more.
            return None;
        }
        self.respond(request)
    }

    fn respond(&self, request: &Request) -> Response {
        let body = Json::parse(&request.body)?;
        let mut state = self.state();
        if !state.is_up {
            return None;
        }
        if request.header("expect-instance") != state.id {
            return Some((421, "{}".to_owned()));
        }
        let clock = state.clock();
        let reply = |status: u16, reason: &str| {
            let reason = if reason.is_empty() {
                String::new()
            } else {
                format!(",\"reason\":\"{reason}\"")
            };
            Some((status, format!("{{\"wallClockMs\":{clock}{reason}}}")))
        };
        let fence = body.number("fencingToken");
        if fence < state.fence {
            return reply(409, "fence");
        }
        state.fence = fence;
        match request.path.as_str() {
            "/run-start" => {
                let reason = self.start_run(&mut state, &body);
                reply(if reason.is_empty() { 200 } else { 409 }, reason)
            }
            "/run-stop" => {
                let (task, run) = (body.text("task"), body.number("run"));
                self.record
                    .line(&format!("{} is told to stop {task} run {run}", state.id));
                let refused = state.refused.entry(task.clone()).or_default();
                *refused = run.max(*refused);
                if let Some(found) = state.runs.get_mut(&task).filter(|f| f.number <= run) {
                    found.stops_at_ms.get_or_insert(clock + STOP_MS);
                }
                reply(200, "")
            }
            "/hold" => {
                state.extend_lease(body.number("deadlineMs"));
                let seen = body.number("lastSeen");
                for end in state.ends.iter().filter(|end| end.number <= seen) {
                    let End { task, run, how, .. } = end;
                    self.record
                        .line(&format!("{} forgets {task} run {run} {how}", state.id));
                }
                state.ends.retain(|end| end.number > seen);
                let wait = Duration::from_millis(body.number("waitMs").min(2_000));
                let life = state.born_ms;
                let (state, _) = self
                    .state
                    .1
                    .wait_timeout_while(state, wait, |s| s.is_up && s.ends.is_empty())
                    .expect("worker lock");
                (state.is_up && state.born_ms == life).then(|| (200, state.lists()))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    // Starts a run. Returns why it is refused, or an empty text.
    fn start_run(&self, state: &mut State, body: &Json) -> &'static str {
        let (task, run) = (body.text("task"), body.number("run"));
        let deadline_ms = body.number("deadlineMs");
        if state.runs.get(&task).is_some_and(|r| r.number == run) {
            state.extend_lease(deadline_ms);
            return "";
        }
        let is_refused = state.refused.get(&task).is_some_and(|&r| run <= r);
        if is_refused || state.runs.contains_key(&task) {
            state.extend_lease(deadline_ms);
            return "old";
        }
        if deadline_ms <= state.clock() {
            return "late";
        }
        let spec = body.text("spec");
        let word = |prefix: &str| {
            let found = spec.split(' ').find_map(|word| word.strip_prefix(prefix));
            found.and_then(|number| number.parse::<u64>().ok())
        };
        if self.needs_ticket.load(Ordering::Relaxed)
            && spec.contains("permit")
            && body.text("ticket").is_empty()
        {
            // The first refusals of a task are enough.
            if run <= REFUSALS_RECORDED_MAX || run.is_multiple_of(100) {
                self.record
                    .line(&format!("{} refuses {task} run {run}: no ticket", state.id));
            }
            return "ticket";
        }
        state.extend_lease(deadline_ms);
        self.record
            .line(&format!("{} starts {task} run {run}", state.id));
        let started = Run {
            number: run,
            started_ms: state.clock(),
            duration_ms: word("ms=").unwrap_or(0),
            fails: run <= word("fails=").unwrap_or(0),
            stops_at_ms: None,
        };
        state.runs.insert(task, started);
        ""
    }
}
