//! Room that is withheld from ready work: for gangs that wait and for tasks that may have crashed a
//! worker.

#[path = "support/plane.rs"]
mod support;

use plantaincross::core::plane::job::StepSpec;
use plantaincross::core::plane::lead::Query;
use plantaincross::core::plane::plan::Permission;
use plantaincross::core::plane::types::{JobId, Resources, StepName};
use support::{Cell, queue, tasks};

const WORKERS: u16 = 8;
/// Processors of a worker.
const CORES: i64 = 32;
const LONG_MS: u64 = 60_000;
const SHORT_MS: u64 = 600;
/// Time for which a job may have nothing running on a fleet that is less than half full, as
/// promised to users.
const IDLE_MAX_MS: u64 = 3_000;
const PERMISSION: Permission = Permission {
    decide_ms: 30.0,
    each_ms: 0.5,
    valid_ms: 2_500,
};
/// Label of a single worker.
const LABEL: &str = "special";
/// Time in which a worker that has crashed is back, and what can start has started.
const RETURN_MAX_MS: u64 = 5_000;
/// Time in which a task runs again after the crash of its worker, as promised to users.
const RESTART_MAX_MS: u64 = 9_000;
/// Time in which all tasks that run when a gang is submitted have ended, with a second for the rest.
const TURN_MAX_MS: u64 = 2_000;
/// Job for which room may be withheld.
const BLOCKED: u64 = 1;
/// Further job of a case.
const OTHER: u64 = 2;
/// First one of the small jobs.
const SMALL: u64 = 100;

fn cell(seed: u64, cap_cores: i64) -> Cell {
    let queues = vec![
        queue("urgent", 0, None),
        queue("wide", 1, None),
        queue("permitted", 1, Some(PERMISSION)),
        queue("batch", 2, None),
    ];
    let cap = Resources {
        cpu: cap_cores * 1_000,
        ..Resources::default()
    };
    let mut cell = Cell::new(seed, WORKERS.into(), queues, cap);
    cell.add_account("other", "other-key");
    cell.run_for(100);
    cell
}

fn gang(count: u16, cores: i64) -> StepSpec {
    StepSpec {
        gang: true,
        ..tasks(count, cores, LONG_MS)
    }
}

fn lasting(count: u16, cores: i64) -> StepSpec {
    StepSpec {
        long_running: true,
        max_per_worker: 1,
        ..tasks(count, cores, LONG_MS)
    }
}

fn first_step(job: u64) -> StepName {
    StepName {
        job: JobId(job),
        ..StepName::default()
    }
}

// Submits small jobs of another account for the worker with the label, and checks that each starts in
// time.
fn assert_small_jobs_start(cell: &mut Cell) {
    const JOBS: u64 = 12;
    const INTERVAL_MS: u64 = 400;
    let step = StepSpec {
        label: Some(LABEL.to_owned()),
        ..tasks(2, 1, SHORT_MS)
    };
    cell.key = "other-key";
    let small = SMALL..SMALL + JOBS;
    let sent = cell.submit_series(
        "batch",
        (SMALL, JOBS),
        INTERVAL_MS,
        |_| vec![step.clone()],
        SHORT_MS,
    );
    cell.run_for(IDLE_MAX_MS);
    for (job, (_, sent_at)) in small.zip(sent) {
        let started_at = cell.first_start.get(&first_step(job));
        let waited_ms = started_at.map(|at| at - sent_at);
        assert!(
            waited_ms.is_some_and(|ms| ms < IDLE_MAX_MS),
            "job {job} waited for {waited_ms:?} ms"
        );
    }
}

fn assert_gang_withholds_nothing(seed: u64, cap_cores: i64, prepare: fn(&mut Cell)) {
    let mut cell = cell(seed, cap_cores);
    label(&mut cell, 0);
    prepare(&mut cell);
    cell.run_for(100);
    assert!(!cell.first_start.contains_key(&first_step(BLOCKED)));
    assert_small_jobs_start(&mut cell);
}

macro_rules! gangs_that_cannot_start {
    ($($name:ident: $seed:expr, $cap_cores:expr, $prepare:expr;)*) => {
        $(#[test] fn $name() { assert_gang_withholds_nothing($seed, $cap_cores, $prepare); })*
    };
}

// Guards against jobs that never start on idle workers, because room is withheld from them for a
// gang that cannot start there.
gangs_that_cannot_start! {
    a_gang_larger_than_the_fleet_withholds_no_room: 1, 0, |cell| {
        cell.submit("wide", BLOCKED, vec![gang(300, 1)], LONG_MS);
    };
    a_gang_beside_tasks_that_last_withholds_no_room: 2, 0, |cell| {
        cell.submit("wide", OTHER, vec![lasting(WORKERS, 10)], LONG_MS);
        cell.run_for(500);
        cell.submit("wide", BLOCKED, vec![gang(WORKERS, 28)], LONG_MS);
    };
    a_gang_that_may_run_on_few_workers_withholds_no_room: 3, 0, |cell| {
        cell.is_strict = true;
        cell.submit("permitted", BLOCKED, vec![gang(WORKERS, CORES)], LONG_MS);
        cell.run_for(2_000);
    };
    a_gang_beyond_its_cap_withholds_no_room: 4, 64, |cell| {
        cell.submit("wide", BLOCKED, vec![gang(WORKERS, CORES)], LONG_MS);
    };
}

// Gives a worker a label that no other one has.
fn label(cell: &mut Cell, at: usize) {
    let report = &mut cell.workers[at].report;
    report.labels.insert(0, LABEL.to_owned());
    report.sequence += 1;
    let report = Box::new(report.clone());
    cell.query(Query::Report(report));
    cell.run_for(100);
}

// Guards against jobs that wait on a mostly idle fleet until a long task ends, because room is
// withheld from them for a gang that waits for that.
gangs_that_cannot_start! {
    a_gang_that_waits_for_a_long_task_does_not_withhold_room_for_long: 9, 0, |cell| {
        cell.submit("wide", OTHER, vec![tasks(1, 8, LONG_MS)], LONG_MS);
        cell.run_for(500);
        cell.submit("wide", BLOCKED, vec![gang(WORKERS, CORES)], LONG_MS);
    };
}

// Guards against tasks of a whole worker that wait on an idle fleet, because part of each worker is
// withheld from them for urgent work that has ended.
#[test]
fn a_task_of_a_whole_worker_starts_after_a_burst_of_urgent_work() {
    let mut cell = cell(10, 0);
    cell.submit_series(
        "urgent",
        (SMALL, 20),
        50,
        |_| vec![tasks(8, 4, SHORT_MS)],
        SHORT_MS,
    );
    cell.run_for(IDLE_MAX_MS);
    assert_eq!(cell.running(), 0);
    cell.submit("batch", BLOCKED, vec![tasks(1, CORES, SHORT_MS)], SHORT_MS);
    cell.run_for(IDLE_MAX_MS);
    assert!(cell.first_start.contains_key(&first_step(BLOCKED)));
}

// Starts a job, and crashes its worker soon after, so that its task waits for a worker of its own.
// By then a task that lasts has started.
fn crash_before_service(cell: &mut Cell, step: StepSpec, service: StepSpec) {
    cell.submit("wide", BLOCKED, vec![step], LONG_MS);
    while cell.running() == 0 {
        cell.step();
    }
    let at = cell.workers.iter().position(|w| !w.runs_are_empty());
    let at = at.expect("a worker with the task");
    cell.submit("wide", OTHER, vec![service], LONG_MS);
    cell.run_for(10);
    // It comes back with less room.
    cell.workers[at].report.capacity.cpu /= 2;
    cell.cut_power(at..at + 1);
    cell.run_for(RETURN_MAX_MS);
    assert!(cell.state.has_suspects());
    assert!(!cell.has_run(BLOCKED), "the suspect runs");
}

fn assert_suspect_withholds_nothing(seed: u64, cap_cores: i64, prepare: fn(&mut Cell)) {
    let mut cell = cell(seed, cap_cores);
    // The worker that is kept: the first one in use by neither task.
    label(&mut cell, 1);
    prepare(&mut cell);
    assert_small_jobs_start(&mut cell);
    assert!(!cell.has_run(BLOCKED), "the suspect runs");
}

macro_rules! suspects_that_cannot_start {
    ($($name:ident: $seed:expr, $cap_cores:expr, $prepare:expr;)*) => {
        $(#[test] fn $name() { assert_suspect_withholds_nothing($seed, $cap_cores, $prepare); })*
    };
}

// Guards against jobs that never start because the one worker that they may run on is kept for a
// task that may have crashed another and cannot start there.
suspects_that_cannot_start! {
    a_suspect_beyond_its_cap_keeps_no_worker: 5, 4, |cell| {
        crash_before_service(cell, tasks(1, 4, LONG_MS), lasting(1, 4));
    };
    a_suspect_without_room_beside_tasks_that_last_keeps_no_worker: 6, 0, |cell| {
        crash_before_service(cell, tasks(1, 28, LONG_MS), lasting(WORKERS, 10));
    };
}

// Guards against jobs that wait on a mostly idle fleet until a long task ends, because their worker is
// kept for a task that may have crashed another and waits for that.
suspects_that_cannot_start! {
    a_suspect_that_waits_for_a_long_task_does_not_keep_a_worker_for_long: 11, 0, |cell| {
        let long = StepSpec {
            max_per_worker: 1,
            ..tasks(WORKERS, 10, LONG_MS)
        };
        crash_before_service(cell, tasks(1, 28, LONG_MS), long);
    };
}

// Submits small jobs that fill the fleet until the condition holds. Returns the time that took.
fn fill_until(cell: &mut Cell, is_over: impl Fn(&Cell) -> bool) -> u64 {
    const STREAM: u64 = 1_000;
    const INTERVAL_MS: u64 = 100;
    const TASK_MS: u64 = 1_000;
    let began_at = cell.now;
    let mut job = STREAM;
    while !is_over(cell) && cell.now < began_at + LONG_MS {
        cell.submit("batch", job, vec![tasks(4, 8, TASK_MS)], TASK_MS);
        job += 1;
        cell.run_for(INTERVAL_MS);
    }
    cell.now - began_at
}

// Guards against large gangs that never find room because smaller jobs take what comes free.
#[test]
fn a_gang_of_the_whole_fleet_gets_its_turn_on_a_full_fleet() {
    let mut cell = cell(7, 0);
    let full_at = cell.now + 3_000;
    fill_until(&mut cell, |cell| cell.now >= full_at);
    cell.submit("wide", BLOCKED, vec![gang(WORKERS, CORES)], SHORT_MS);
    let is_started = |cell: &Cell| cell.first_start.contains_key(&first_step(BLOCKED));
    let waited_ms = fill_until(&mut cell, is_started);
    assert!(
        waited_ms <= TURN_MAX_MS,
        "the gang waited for {waited_ms} ms"
    );
}

// Guards against tasks that may have crashed a worker and find none because other jobs take it.
#[test]
fn a_suspect_gets_its_turn_on_a_full_fleet() {
    let mut cell = cell(8, 0);
    cell.submit("wide", BLOCKED, vec![tasks(1, 4, LONG_MS)], LONG_MS);
    while cell.running() == 0 {
        cell.step();
    }
    let at = cell.workers.iter().position(|w| !w.runs_are_empty());
    let at = at.expect("a worker with the task");
    cell.run_for(10);
    cell.cut_power(at..at + 1);
    let waited_ms = fill_until(&mut cell, |cell| {
        cell.state.has_suspects() && cell.has_run(BLOCKED)
    });
    assert!(
        waited_ms <= RESTART_MAX_MS,
        "the suspect waited for {waited_ms} ms"
    );
}
