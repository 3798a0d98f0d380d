//! Simulates the task scheduler of a zone with seeded random workloads and faults: silent,
//! restarted and failing workers, lost polls and answers, wrong sizes, mass cancellations
//! and changes of leader.
//!
//! A longer run: `SCHEDULES=2000 cargo test --release --test fleet`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use plantaincross::config::{Source, merge};
use plantaincross::core::fleet::{
    Action, EndReport, Fleet, Orders, Poll, Reason, RunReport, WORKER_LEASE,
};
use plantaincross::core::job::{
    Class, Ended, Id, Job, Size, Spec, State, Table, Task, Unreachable,
};
use plantaincross::core::registry::Outcome;
use plantaincross::core::time::Moment;
use plantaincross::event::Event;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TICK: Duration = Duration::from_millis(100);
const START: Moment = Moment::from_millis(1_000_000);
const UNITS_PER_TEAM: u64 = 40;
const TEAMS: [&str; 3] = ["a", "b", "c"];

struct Run {
    attempt: u64,
    until: Moment,
    used: Size,
    size: Size,
}

/// A simulated worker that follows the worker protocol.
struct SimWorker {
    name: String,
    size: Size,
    incarnation: u64,
    number: u64,
    seen: u64,
    lease_until: Moment,
    running: BTreeMap<Task, Run>,
    ended: Vec<EndReport>,
    silent_until: Moment,
    fails_tasks: bool,
    failed_tasks: u32,
}

impl SimWorker {
    fn new(index: usize) -> Self {
        Self {
            name: format!("w{index}"),
            size: Size {
                cpu_milli: 8_000,
                memory_mb: 16_000,
                accelerators: u64::from(index.is_multiple_of(4)),
            },
            incarnation: 1,
            number: 0,
            seen: 0,
            lease_until: START,
            running: BTreeMap::new(),
            ended: Vec::new(),
            silent_until: START,
            fails_tasks: false,
            failed_tasks: 0,
        }
    }

    fn poll(&mut self) -> Poll {
        self.number += 1;
        Poll {
            name: self.name.clone(),
            incarnation: self.incarnation,
            zone: "z".to_owned(),
            rack: format!("r{}", self.name.len()),
            size: self.size,
            number: self.number,
            seen: self.seen,
            running: self
                .running
                .iter()
                .map(|(&task, run)| RunReport {
                    task,
                    attempt: run.attempt,
                    size: run.size,
                    used: Some(run.used),
                })
                .collect(),
            ended: self.ended.clone(),
            wait_ms: 0,
        }
    }

    fn apply_orders(&mut self, now: Moment, sent: Moment, orders: Orders, sim: &Simulation) {
        self.seen = orders.number;
        self.lease_until = sent + Duration::from_millis(orders.lease_ms);
        self.ended
            .retain(|e| !orders.ended.contains(&(e.task, e.attempt)));
        for stop in orders.stop {
            if stop.how == Action::Throttle {
                continue;
            }
            let is_running = self
                .running
                .get(&stop.task)
                .is_some_and(|run| run.attempt == stop.attempt);
            if is_running {
                self.end(stop.task, false, true);
            } else if !self.has_ended(stop.task, stop.attempt) {
                self.ended.push(EndReport {
                    task: stop.task,
                    attempt: stop.attempt,
                    ok: false,
                    evicted: true,
                });
            }
        }
        for start in orders.start {
            let is_running = self.running.contains_key(&start.task);
            if is_running || self.has_ended(start.task, start.attempt) || now >= self.lease_until {
                continue;
            }
            let duration = if start.run_ms == 0 {
                Duration::from_secs(1_000_000)
            } else {
                Duration::from_millis(start.run_ms)
            };
            let run = Run {
                attempt: start.attempt,
                until: now + duration,
                used: sim.actual_size(start.task),
                size: start.size,
            };
            self.running.insert(start.task, run);
            if self.fails_tasks {
                self.failed_tasks += 1;
                self.end(start.task, false, false);
            }
        }
    }

    fn has_ended(&self, task: Task, attempt: u64) -> bool {
        self.ended
            .iter()
            .any(|e| e.task == task && e.attempt == attempt)
    }

    fn end(&mut self, task: Task, ok: bool, evicted: bool) {
        if let Some(run) = self.running.remove(&task) {
            self.ended.push(EndReport {
                task,
                attempt: run.attempt,
                ok,
                evicted,
            });
        }
    }

    fn advance(&mut self, now: Moment) {
        let lease_expired = now >= self.lease_until;
        let due: Vec<Task> = self
            .running
            .iter()
            .filter(|(_, run)| lease_expired || run.until <= now)
            .map(|(&task, _)| task)
            .collect();
        for task in due {
            self.end(task, !lease_expired, lease_expired);
        }
    }

    fn restart(&mut self) {
        self.incarnation += 1;
        self.running.clear();
        self.ended.clear();
        self.seen = 0;
        self.number = 0;
    }
}

struct Simulation {
    seed: u64,
    rng: ChaCha8Rng,
    now: Moment,
    fleet: Fleet,
    term: u64,
    table: Table,
    workers: Vec<SimWorker>,
    granted_units: BTreeMap<String, u64>,
    misdeclared: bool,
    unrecorded_ends: Vec<Ended>,
    cancelled: BTreeSet<Id>,
    quarantined: Vec<String>,
}

impl Simulation {
    fn new(seed: u64, workers: usize) -> Self {
        let mut fleet = Fleet::new(1, true, START);
        configure_teams(&mut fleet);
        Self {
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: START,
            fleet,
            term: 1,
            table: Table::default(),
            workers: (0..workers).map(SimWorker::new).collect(),
            granted_units: BTreeMap::new(),
            misdeclared: false,
            unrecorded_ends: Vec::new(),
            cancelled: BTreeSet::new(),
            quarantined: Vec::new(),
        }
    }

    // The usage of a task: its declared size, or from a tenth to ten times that.
    fn actual_size(&self, task: Task) -> Size {
        let declared = self
            .table
            .get(task.job)
            .map_or(Size::default(), |j| j.spec.size);
        if !self.misdeclared {
            return declared;
        }
        let factor = [1, 3, 5, 10, 100][(task.job.0 % 5) as usize];
        Size {
            cpu_milli: (declared.cpu_milli * factor / 10).max(10),
            memory_mb: (declared.memory_mb * factor / 10).max(10),
            accelerators: 0,
        }
    }

    fn submit(&mut self, team: &str, spec: Spec) -> Id {
        let job = Job {
            id: Id(0),
            team: team.to_owned(),
            request: String::new(),
            spec,
            zone: "z".to_owned(),
            state: State::Open,
            ended: Vec::new(),
            failures: 0,
        };
        let Outcome::Submitted(id) = self.table.submit(&job) else {
            panic!("the registry did not accept the job");
        };
        id
    }

    fn step(&mut self, lossy: bool) {
        self.now = self.now + TICK;
        let now = self.now;
        self.sync();
        self.grant_units();
        self.fleet.tick(now);
        self.reclaim_units();
        let mut workers = std::mem::take(&mut self.workers);
        for worker in &mut workers {
            worker.advance(now);
            if now < worker.silent_until {
                continue;
            }
            let poll = worker.poll();
            let poll_lost = lossy && self.rng.random_ratio(1, 20);
            if poll_lost {
                continue;
            }
            if self.fleet.poll(now, &poll).is_err() {
                continue;
            }
            self.sync();
            let orders = self.fleet.orders(now, &worker.name, true);
            let answer_lost = lossy && self.rng.random_ratio(1, 20);
            if let Some(orders) = orders.filter(|_| !answer_lost) {
                worker.apply_orders(now, now, orders, self);
            }
        }
        self.workers = workers;
        self.check();
    }

    fn sync(&mut self) {
        self.unrecorded_ends.extend(self.fleet.take_ended());
        for event in self.fleet.take_events() {
            if let Event::WorkerQuarantined { worker, .. } = event {
                self.quarantined.push(worker);
            }
        }
        // Delays the registry's record of ended tasks at random.
        if self.rng.random() {
            let ends = std::mem::take(&mut self.unrecorded_ends);
            self.table.end(&ends);
            for end in ends {
                self.fleet.confirm_end(end.task);
            }
        }
        for job in self.table.open() {
            self.fleet.add_job(self.now, job);
        }
        let known: Vec<Id> = self.fleet.job_ids().collect();
        for id in known {
            if self.table.get(id).is_none_or(|j| j.state != State::Open) {
                self.fleet.drop_job(self.now, id);
            }
        }
    }

    fn grant_units(&mut self) {
        for team in self.fleet.take_adopted_teams() {
            *self.granted_units.entry(team).or_default() += 1;
        }
        self.reclaim_units();
        for (team, missing) in self.fleet.missing_units() {
            let granted = self.granted_units.entry(team.clone()).or_default();
            let units = missing.min(UNITS_PER_TEAM.saturating_sub(*granted));
            *granted += units;
            self.fleet.add_units(&team, units, missing);
        }
    }

    fn reclaim_units(&mut self) {
        for (team, units) in self.fleet.take_available_units() {
            let granted = self.granted_units.entry(team).or_default();
            *granted = granted
                .checked_sub(units)
                .expect("at most the granted units are returned");
        }
    }

    fn change_leader(&mut self) {
        self.term += 1;
        self.fleet = Fleet::new(self.term, false, self.now);
        configure_teams(&mut self.fleet);
        self.granted_units.clear();
        self.unrecorded_ends.clear();
    }

    fn check(&self) {
        let seed = self.seed;
        let mut worker_counts: BTreeMap<Task, u32> = BTreeMap::new();
        for worker in &self.workers {
            for task in worker.running.keys() {
                *worker_counts.entry(*task).or_default() += 1;
            }
        }
        for (task, count) in worker_counts {
            assert!(
                count <= 1,
                "seed {seed}: task {task} runs on {count} workers"
            );
        }
        for worker in self.fleet.workers() {
            let status = worker.status();
            assert!(
                status.total.fits(status.reserved),
                "seed {seed}: worker {} has reserved {:?} of {:?}",
                status.name,
                status.reserved,
                status.total
            );
        }
        if self.misdeclared {
            return;
        }
        for worker in &self.workers {
            let used = worker
                .running
                .values()
                .fold(Size::default(), |sum, run| sum.plus(run.used));
            assert!(
                worker.size.fits(used),
                "seed {seed}: the tasks of worker {} use {used:?}, more than it has",
                worker.name
            );
        }
    }

    fn check_limits(&self) {
        let mut running: BTreeMap<&str, u64> = BTreeMap::new();
        for worker in &self.workers {
            for task in worker.running.keys() {
                let team = self.table.get(task.job).map_or("", |job| &job.team);
                *running.entry(team).or_default() += 1;
            }
        }
        for (team, count) in running {
            assert!(
                count <= UNITS_PER_TEAM,
                "seed {}: team {team} runs {count} tasks, over its limit of {UNITS_PER_TEAM}",
                self.seed
            );
        }
    }

    fn inject_fault(&mut self) {
        let count = self.workers.len();
        let index = self.rng.random_range(0..count);
        match self.rng.random_range(0..60) {
            0 => {
                let duration = Duration::from_millis(self.rng.random_range(500..20_000));
                self.workers[index].silent_until = self.now + duration;
            }
            1 => self.workers[index].restart(),
            2 => self.change_leader(),
            3 => {
                // Cancels about a third of the open jobs.
                let open: Vec<Id> = self.table.open().map(|job| job.id).collect();
                for id in open {
                    if self.rng.random_ratio(1, 3) {
                        self.table.cancel(id, None);
                        self.cancelled.insert(id);
                    }
                }
            }
            _ => {}
        }
    }

    fn random_spec(&mut self) -> Spec {
        let class = match self.rng.random_range(0..6) {
            0 => Class::AllAtOnce,
            _ => Class::Batch,
        };
        Spec {
            tasks: self.rng.random_range(1..8),
            size: Size {
                cpu_milli: self.rng.random_range(200..3_000),
                memory_mb: self.rng.random_range(100..5_000),
                accelerators: u64::from(self.rng.random_ratio(1, 20)),
            },
            run_ms: self.rng.random_range(200..5_000),
            urgent: self.rng.random_ratio(1, 10),
            unreachable: Unreachable::Replace,
            ..spec("job", class, 1)
        }
    }
}

fn configure_teams(fleet: &mut Fleet) {
    let text = TEAMS.map(|t| format!("[team {t}]\nshare = 1\nlimit = {UNITS_PER_TEAM}\n"));
    let source = Source {
        name: "a.ini".to_owned(),
        text: text.concat(),
    };
    fleet.configure(&merge(&[source]).expect("merges"));
}

fn spec(name: &str, class: Class, tasks: u32) -> Spec {
    Spec {
        name: name.to_owned(),
        class,
        tasks,
        size: Size {
            cpu_milli: 1_000,
            memory_mb: 1_000,
            accelerators: 0,
        },
        queue: String::new(),
        run_ms: 1_000,
        urgent: false,
        deadline_ms: 0,
        worth: 0,
        rerun: true,
        unreachable: Unreachable::Replace,
    }
}

fn schedule(seed: u64) {
    let mut sim = Simulation::new(seed, 6);
    for step in 0..900 {
        if step % 10 == 0 {
            let team = TEAMS[sim.rng.random_range(0..TEAMS.len())];
            let spec = sim.random_spec();
            // Jobs that can never run are rejected before they are registered.
            if sim.fleet.unplaceable_reason(&spec).is_none() {
                sim.submit(team, spec);
            }
        }
        sim.inject_fault();
        sim.step(true);
        sim.check_limits();
    }
    // Every accepted job must complete all its tasks or have been cancelled.
    for worker in &mut sim.workers {
        worker.silent_until = START;
    }
    for _ in 0..4_000 {
        if sim.table.open().next().is_none() {
            break;
        }
        sim.step(false);
        sim.check_limits();
    }
    let open: Vec<String> = sim
        .table
        .open()
        .map(|job| format!("{job:?} {:?}", sim.fleet.explain(sim.now, job.id)))
        .collect();
    assert!(
        open.is_empty(),
        "seed {seed}: {} jobs never ended: {}",
        open.len(),
        open[0]
    );
    for job in sim.table.iter() {
        let complete = job.state == State::Done && job.ended_count() == job.spec.tasks;
        let cancelled = job.state == State::Cancelled && sim.cancelled.contains(&job.id);
        assert!(complete || cancelled, "seed {seed}: {job:?}");
    }
}

#[test]
fn random_schedules_complete_all_jobs() {
    let total: u64 = std::env::var("SCHEDULES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(100);
    for seed in 0..total {
        schedule(seed);
    }
}

#[test]
fn failing_worker_is_quarantined_and_its_job_completes() {
    let mut sim = Simulation::new(1, 6);
    sim.workers[2].fails_tasks = true;
    let id = sim.submit("a", spec("job", Class::Batch, 60));
    for _ in 0..300 {
        sim.step(false);
    }
    assert!(
        sim.workers[2].failed_tasks <= 8,
        "{} failed starts",
        sim.workers[2].failed_tasks
    );
    assert!(sim.quarantined.iter().all(|name| name == "w2"));
    assert!(!sim.quarantined.is_empty());
    let job = sim.table.get(id).expect("known");
    assert_eq!(job.state, State::Done, "{job:?}");
}

#[test]
fn crash_looping_job_backs_off() {
    let mut sim = Simulation::new(2, 6);
    for worker in &mut sim.workers {
        worker.fails_tasks = true;
    }
    let id = sim.submit("a", spec("loop", Class::Batch, 1));
    for _ in 0..600 {
        sim.step(false);
    }
    let failed: u32 = sim.workers.iter().map(|w| w.failed_tasks).sum();
    assert!(failed < 20, "{failed} failed starts in a minute");
    let explanation = sim.fleet.explain(sim.now, id).expect("open");
    assert!(
        explanation
            .reasons
            .iter()
            .any(|r| matches!(r, Reason::Backoff { .. } | Reason::Quarantine { .. })),
        "{explanation:?}"
    );
}

#[test]
fn urgent_job_preempts_others_on_a_full_fleet() {
    let mut sim = Simulation::new(3, 6);
    let mut low = spec("low", Class::Batch, 24);
    low.size.cpu_milli = 2_000;
    low.run_ms = 600_000;
    sim.submit("a", low);
    for _ in 0..20 {
        sim.step(false);
    }
    let (running, _) = sim.fleet.counts();
    assert_eq!(running, 24);
    let mut urgent = spec("urgent", Class::Batch, 2);
    urgent.urgent = true;
    urgent.size.cpu_milli = 4_000;
    let id = sim.submit("b", urgent);
    let mut started = None;
    for step in 0..19 {
        sim.step(false);
        let runs = |w: &SimWorker| w.running.keys().filter(|t| t.job == id).count();
        if sim.workers.iter().map(runs).sum::<usize>() == 2 {
            started = Some(step);
            break;
        }
    }
    // The 19 steps are 1.9 s, within which urgent tasks must start.
    assert!(started.is_some(), "{:?}", sim.fleet.explain(sim.now, id));
}

#[test]
fn gang_starts_under_a_stream_of_small_jobs() {
    let mut sim = Simulation::new(4, 6);
    let mut gang = spec("gang", Class::AllAtOnce, 6);
    gang.size.cpu_milli = 8_000;
    let mut id = None;
    let mut partial = 0;
    for step in 0..1_200 {
        if step % 2 == 0 {
            let mut stream = spec("small", Class::Batch, 1);
            stream.run_ms = 2_000;
            stream.size.cpu_milli = 2_000;
            sim.submit("a", stream);
        }
        if step == 50 {
            id = Some(sim.submit("b", gang.clone()));
        }
        sim.step(false);
        let Some(id) = id else {
            continue;
        };
        let count = sim
            .workers
            .iter()
            .flat_map(|w| w.running.keys())
            .filter(|t| t.job == id)
            .count();
        partial += usize::from(count > 0 && count < 6);
        if sim.table.get(id).is_some_and(|j| j.state == State::Done) {
            // The workers of a gang start and end its tasks at polls a few ticks apart.
            assert!(partial <= 6, "{partial} steps with only some tasks running");
            return;
        }
    }
    panic!("{:?}", id.and_then(|id| sim.fleet.explain(sim.now, id)));
}

#[test]
fn misdeclared_sizes_are_corrected_and_overloaded_workers_relieved() {
    let mut sim = Simulation::new(5, 6);
    sim.misdeclared = true;
    for index in 0..40 {
        let name = format!("n{}", index % 5);
        let mut small = spec(&name, Class::Batch, 4);
        small.size.memory_mb = 300;
        small.size.cpu_milli = 300;
        small.run_ms = 3_000;
        sim.submit(TEAMS[index % 3], small);
    }
    let mut overloaded = 0;
    for _ in 0..1_500 {
        sim.step(false);
        for worker in &sim.workers {
            let used = worker
                .running
                .values()
                .fold(Size::default(), |sum, run| sum.plus(run.used));
            overloaded += u32::from(used.memory_mb > worker.size.memory_mb);
        }
    }
    assert!(
        overloaded < 60,
        "workers exceeded their memory in {overloaded} samples"
    );
    assert!(
        sim.table.open().next().is_none(),
        "{:?}",
        sim.table.open().next()
    );
}

#[test]
fn kept_task_waits_for_its_silent_worker() {
    let mut sim = Simulation::new(6, 2);
    let mut keep = spec("keep", Class::Service, 1);
    keep.unreachable = Unreachable::Keep;
    let id = sim.submit("a", keep);
    for _ in 0..20 {
        sim.step(false);
    }
    let index = sim
        .workers
        .iter()
        .position(|w| !w.running.is_empty())
        .expect("runs");
    sim.workers[index].silent_until = sim.now + WORKER_LEASE * 2;
    for _ in 0..150 {
        sim.step(false);
    }
    let explanation = sim.fleet.explain(sim.now, id).expect("open");
    assert_eq!(explanation.reasons, [Reason::Unreachable { tasks: 1 }]);
    for _ in 0..200 {
        sim.step(false);
    }
    assert!(sim.workers.iter().any(|w| !w.running.is_empty()));
}

#[test]
fn mass_cancellation_stops_all_tasks() {
    let mut sim = Simulation::new(7, 6);
    let ids: Vec<Id> = (0..1_000)
        .map(|index| {
            let mut job = spec("wave", Class::Batch, 10);
            job.run_ms = 100_000;
            sim.submit(TEAMS[index % 3], job)
        })
        .collect();
    for _ in 0..10 {
        sim.step(false);
    }
    assert!(sim.fleet.counts().0 > 0);
    for id in ids {
        sim.table.cancel(id, None);
    }
    for _ in 0..5 {
        sim.step(false);
    }
    assert_eq!(sim.fleet.counts(), (0, 0));
    assert!(sim.workers.iter().all(|w| w.running.is_empty()));
    assert!(
        sim.fleet
            .workers()
            .all(|w| w.status().reserved == Size::default())
    );
}
