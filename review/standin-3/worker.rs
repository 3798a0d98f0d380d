//! Stand-in of a worker: runs tasks, keeps leases and fencing tokens, lists ends and reports to
//! the control instances.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::cell::MAX_LEASE_MS;
use crate::http::{self, Client, Request, Response};
use crate::json::{Json, quoted};
use crate::record::Record;

/// Interval of the reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time until an answer to a report counts as missing.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for which a task that lasts runs if nothing ends it, in milliseconds.
const LASTING_MS: u64 = 24 * 3_600 * 1_000;
/// Time until a task that lasts is at work.
const STARTUP: Duration = Duration::from_millis(200);
/// Number of ends in one list.
const LISTED_ENDS_MAX: usize = 500;
/// Interval at which the ends of runs are noticed.
const STEP: Duration = Duration::from_millis(2);

/// A run as it was seen on a worker, with times since the start of the script.
#[derive(Clone, Debug)]
pub struct Seen {
    pub worker: String,
    pub task: String,
    pub run: u32,
    pub started_ms: u64,
    /// End and its cause; absent while the run goes on.
    pub ended: Option<(u64, &'static str)>,
}

/// All runs on all workers.
pub type History = Arc<Mutex<Vec<Seen>>>;

#[derive(Debug)]
struct Run {
    run: u32,
    ends_at: Instant,
    began: Instant,
    work: Duration,
    lasts: bool,
    seen: usize,
}

#[derive(Debug, Default)]
struct State {
    /// Whether this life of the worker has ended.
    is_gone: bool,
    /// Whether it ended without a word: its connections stay open and silent.
    is_dark: bool,
    draining: bool,
    fence: u64,
    lease_until: u64,
    sequence: u64,
    runs: BTreeMap<String, Run>,
    /// Highest run of each task that ended or was stopped here.
    closed: HashMap<String, u32>,
    finished: Vec<(u64, String, u32, &'static str)>,
    ends: u64,
}

#[derive(Debug)]
struct Inner {
    id: String,
    machine: String,
    born_ms: u64,
    began: Instant,
    /// Address that the reports name.
    address: SocketAddr,
    zone: &'static str,
    kind: &'static str,
    rack: String,
    cpu: u64,
    cold: Duration,
    state: Mutex<State>,
    changed: Condvar,
    history: History,
    record: Arc<Record>,
}

/// One life of a worker.
#[derive(Clone, Debug)]
pub struct Worker(Arc<Inner>);

/// What a worker says of itself.
#[derive(Clone, Debug)]
pub struct Site {
    pub id: String,
    /// Machine of which this is one life.
    pub machine: String,
    pub zone: &'static str,
    /// First label.
    pub kind: &'static str,
    pub rack: String,
    pub cpu: u64,
    /// Time for which this life is slow after its start.
    pub cold: Duration,
    /// Address that the reports name: that of the listener, or of a proxy before it.
    pub address: SocketAddr,
}

impl Worker {
    /// Starts a worker that serves orders on `listener`.
    pub fn start(listener: TcpListener, site: Site, history: History, record: Arc<Record>) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let worker = Self(Arc::new(Inner {
            id: site.id,
            machine: site.machine,
            born_ms: since_epoch.map_or(0, |d| d.as_millis() as u64),
            began: Instant::now(),
            address: site.address,
            zone: site.zone,
            kind: site.kind,
            rack: site.rack,
            cpu: site.cpu,
            cold: site.cold,
            state: Mutex::default(),
            changed: Condvar::new(),
            history,
            record,
        }));
        let server = worker.clone();
        http::serve(listener, move |request| server.handle(&request));
        let stepper = worker.clone();
        thread::spawn(move || {
            while !stepper.is_gone() {
                stepper.step();
                thread::sleep(STEP);
            }
        });
        worker
    }

    /// Reports to the control instances until this life ends.
    pub fn report_to(&self, controls: Vec<SocketAddr>) {
        let worker = self.clone();
        thread::spawn(move || {
            let mut clients: Vec<Client> = controls.into_iter().map(Client::new).collect();
            while !worker.is_gone() {
                worker.report(&mut clients);
                thread::sleep(REPORT_INTERVAL);
            }
        });
    }

    /// Sends one report, to the next instance after each failure. Returns whether one confirmed
    /// it.
    pub fn report(&self, clients: &mut [Client]) -> bool {
        let body = {
            let mut state = self.state();
            state.sequence += 1;
            let drain = if state.draining {
                r#","drainRemainingMs":2000"#
            } else {
                ""
            };
            let inner = &self.0;
            let cold_ms = inner.cold.saturating_sub(inner.began.elapsed()).as_millis();
            format!(
                r#"{{"backend":"svc","address":"{}","zone":"{}","version":"v1","slots":8,"state":"{}","coldRemainingMs":{cold_ms}{drain},"capacity":{{"cpu":{},"memMb":32768,"gpu":0}},"labels":["{}","{}"],"wallClockMs":{},"sequence":{},"born":{},"machine":"{}"}}"#,
                inner.address,
                inner.zone,
                if state.draining { "draining" } else { "ready" },
                inner.cpu,
                inner.kind,
                inner.rack,
                self.clock_ms(),
                state.sequence,
                inner.born_ms,
                inner.machine,
            )
        };
        let path = format!("/instances/{}", self.0.id);
        for at in 0..clients.len() {
            if self.is_gone() {
                return false;
            }
            let answer = clients[at].call("PUT", &path, "", &body, REPORT_TIMEOUT);
            if matches!(answer, Some((200..=299, _))) {
                clients.swap(0, at);
                return true;
            }
        }
        false
    }

    /// Makes the worker report that it drains.
    pub fn drain(&self) {
        self.state().draining = true;
        self.0.record.line(&format!("{} drains", self.0.id));
    }

    /// Ends this life. Everything that runs terminates; the connections are closed as they are
    /// used.
    pub fn end(&self, cause: &'static str) {
        let mut state = self.state();
        state.is_gone = true;
        let now_ms = self.0.record.now_ms();
        for (_, run) in std::mem::take(&mut state.runs) {
            self.history()[run.seen].ended = Some((now_ms, cause));
        }
        drop(state);
        self.0.changed.notify_all();
        self.0.record.line(&format!("{} ends ({cause})", self.0.id));
    }

    /// Ends this life as a loss of power does: nobody hears of it.
    pub fn lose_power(&self) {
        self.state().is_dark = true;
        self.end("power lost");
    }

    pub fn id(&self) -> &str {
        &self.0.id
    }

    /// Returns whether this life has ended.
    pub fn is_gone(&self) -> bool {
        self.state().is_gone
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.state.lock().expect("state lock")
    }

    fn history(&self) -> std::sync::MutexGuard<'_, Vec<Seen>> {
        self.0.history.lock().expect("history lock")
    }

    fn clock_ms(&self) -> u64 {
        self.0.began.elapsed().as_millis() as u64 + 1_000
    }

    // Ends the runs that are done, and all of them once the lease has expired.
    fn step(&self) {
        let mut state = self.state();
        let now = Instant::now();
        let has_lapsed = self.clock_ms() > state.lease_until;
        let ended: Vec<(String, &'static str)> = state
            .runs
            .iter()
            .filter(|(_, run)| has_lapsed || now >= run.ends_at)
            .map(|(task, run)| {
                let is_done = now >= run.ends_at;
                (task.clone(), if is_done { "done" } else { "lapsed" })
            })
            .collect();
        for (task, how) in &ended {
            self.close(&mut state, task, how);
        }
        drop(state);
        if !ended.is_empty() {
            self.0.changed.notify_all();
        }
    }

    fn close(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.runs.remove(task) else {
            return;
        };
        let highest = state.closed.entry(task.to_owned()).or_default();
        *highest = run.run.max(*highest);
        state.ends += 1;
        let number = state.ends;
        state.finished.push((number, task.to_owned(), run.run, how));
        self.history()[run.seen].ended = Some((self.0.record.now_ms(), how));
        let id = &self.0.id;
        self.0
            .record
            .line(&format!("{id} {task} run {}: {how}", run.run));
    }

    fn handle(&self, request: &Request) -> Response {
        let answer = self.answer_to(request);
        while self.state().is_dark {
            thread::sleep(REPORT_INTERVAL);
        }
        answer
    }

    fn answer_to(&self, request: &Request) -> Response {
        if self.is_gone() {
            return None;
        }
        if request.path == "/health" {
            return Some((200, "{}".to_owned()));
        }
        if request
            .header("expect-instance")
            .is_some_and(|id| id != self.0.id)
        {
            return Some((421, "{}".to_owned()));
        }
        let body = Json::parse(&request.body)?;
        let fence = body.number("fencingToken").unwrap_or(0);
        let mut state = self.state();
        if fence < state.fence {
            return self.refuse("fence");
        }
        state.fence = fence;
        match request.path.as_str() {
            "/run-start" => self.start_run(state, &body),
            "/run-stop" => {
                let (task, run) = (body.text("task")?, body.number("run")? as u32);
                let highest = state.closed.entry(task.to_owned()).or_default();
                *highest = run.max(*highest);
                if state.runs.get(task).is_some_and(|found| found.run == run) {
                    self.close(&mut state, task, "stopped");
                    self.0.changed.notify_all();
                }
                self.answer()
            }
            "/hold" => self.hold(state, &body),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn refuse(&self, reason: &str) -> Response {
        let clock = self.clock_ms();
        Some((
            409,
            format!(r#"{{"wallClockMs":{clock},"reason":"{reason}"}}"#),
        ))
    }

    fn answer(&self) -> Response {
        Some((200, format!(r#"{{"wallClockMs":{}}}"#, self.clock_ms())))
    }

    fn extend_lease(&self, state: &mut State, body: &Json) {
        let Some(until) = body.number("deadlineMs") else {
            return;
        };
        let until = until.min(self.clock_ms() + MAX_LEASE_MS);
        state.lease_until = state.lease_until.max(until);
    }

    fn start_run(&self, mut state: std::sync::MutexGuard<'_, State>, body: &Json) -> Response {
        let (task, run) = (body.text("task")?.to_owned(), body.number("run")? as u32);
        if state.runs.get(&task).is_some_and(|found| found.run == run) {
            self.extend_lease(&mut state, body);
            return self.answer();
        }
        let is_old = state
            .closed
            .get(&task)
            .is_some_and(|highest| run <= *highest)
            || state.runs.get(&task).is_some_and(|found| run <= found.run);
        if is_old {
            self.extend_lease(&mut state, body);
            return self.refuse("old");
        }
        if body
            .number("deadlineMs")
            .is_none_or(|until| until <= self.clock_ms())
        {
            return self.refuse("late");
        }
        self.extend_lease(&mut state, body);
        let text = body.text("spec")?;
        let lasts = text.starts_with("lasts");
        let work_ms = if lasts {
            LASTING_MS
        } else {
            text.parse().unwrap_or(1_000)
        };
        let work = Duration::from_millis(work_ms);
        let now = Instant::now();
        let mut history = self.history();
        let seen = history.len();
        history.push(Seen {
            worker: self.0.id.clone(),
            task: task.clone(),
            run,
            started_ms: self.0.record.now_ms(),
            ended: None,
        });
        drop(history);
        self.0
            .record
            .line(&format!("{} {task} run {run}: started", self.0.id));
        let entry = Run {
            run,
            ends_at: now + work,
            began: now,
            work,
            lasts,
            seen,
        };
        state.runs.insert(task, entry);
        self.answer()
    }

    fn hold(&self, mut state: std::sync::MutexGuard<'_, State>, body: &Json) -> Response {
        self.extend_lease(&mut state, body);
        let seen = body.number("lastSeen").unwrap_or(0);
        state.finished.retain(|(number, ..)| *number > seen);
        let wait = Duration::from_millis(body.number("waitMs").unwrap_or(0).min(2_000));
        let deadline = Instant::now() + wait;
        while state.finished.is_empty() && !state.is_gone {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self
                .0
                .changed
                .wait_timeout(state, left)
                .expect("state lock")
                .0;
        }
        if state.is_gone {
            return None;
        }
        let running: Vec<String> = state
            .runs
            .iter()
            .map(|(task, run)| {
                let share = run.began.elapsed().as_secs_f64() / run.work.as_secs_f64();
                // A task that lasts is at work after a short startup.
                let percent = match run.lasts {
                    true if run.began.elapsed() > STARTUP => 100,
                    true => 0,
                    false => (share * 100.0).min(99.0) as u32,
                };
                format!(r#"[{},{},"",{percent},1000]"#, quoted(task), run.run)
            })
            .collect();
        let finished: Vec<String> = state
            .finished
            .iter()
            .take(LISTED_ENDS_MAX)
            .map(|(number, task, run, how)| {
                format!(r#"[{number},{},{run},"{how}",""]"#, quoted(task))
            })
            .collect();
        Some((
            200,
            format!(
                r#"{{"wallClockMs":{},"born":{},"running":[{}],"finished":[{}]}}"#,
                self.clock_ms(),
                self.0.born_ms,
                running.join(","),
                finished.join(",")
            ),
        ))
    }
}
