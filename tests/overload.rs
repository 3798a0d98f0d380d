//! Load tests of a leader that is behind: it sends orders and handles replies late, or its
//! planning rounds take long.

#[path = "support/plane.rs"]
mod support;

use plantaincross::core::plane::job::StepSpec;
use plantaincross::core::plane::lead::Query;
use plantaincross::core::plane::plan::{Permission, Queue};
use plantaincross::core::plane::types::{JobId, Resources};
use support::{Cell, queue, tasks};

const WORKERS: usize = 60;
const TASKS: u16 = 4;
/// Run time of each task.
const TASK_MS: u64 = 600;
/// Time in which a job is to be done: one and a half run times and 250 ms.
const GOAL_MS: u64 = 1_150;

fn urgent() -> Queue {
    queue("urgent", 0, None)
}

fn cell_with(seed: u64, queue: Queue) -> Cell {
    let mut cell = Cell::new(seed, WORKERS, vec![queue], Resources::default());
    cell.run_for(100);
    cell
}

fn cell(seed: u64) -> Cell {
    cell_with(seed, urgent())
}

fn job(id: u64) -> Vec<StepSpec> {
    vec![StepSpec {
        gang: id.is_multiple_of(3),
        ..tasks(TASKS, 4, TASK_MS)
    }]
}

// Submits `count` jobs at intervals of `every_ms`.
fn submit_jobs(cell: &mut Cell, first: u64, count: u64, every_ms: u64) -> Vec<(JobId, u64)> {
    cell.submit_series("urgent", (first, count), every_ms, job, TASK_MS)
}

fn share_in_time(cell: &Cell, sent: &[(JobId, u64)]) -> f64 {
    cell.share_in_time(sent, GOAL_MS)
}

fn assert_each_task_runs_once(seed: u64, delay_ms: u64) {
    const JOBS: u64 = 150;
    let mut cell = cell(seed);
    cell.leader_delay_ms = delay_ms;
    submit_jobs(&mut cell, 1, JOBS, 30);
    cell.run_for(8_000);
    let starts: u64 = cell.workers.iter().map(|w| w.starts).sum();
    assert_eq!(cell.stops, 0, "runs stopped on workers that answer");
    assert_eq!(starts, JOBS * u64::from(TASKS), "starts of all tasks");
    assert!(cell.unfinished().is_empty());
}

macro_rules! delays {
    ($($name:ident: $seed:expr, $delay_ms:expr;)*) => {
        $(#[test] fn $name() { assert_each_task_runs_once($seed, $delay_ms); })*
    };
}

delays! {
    a_leader_that_is_150_ms_behind_stops_no_run_it_has_just_started: 1, 150;
    a_leader_that_is_250_ms_behind_stops_no_run_it_has_just_started: 2, 250;
}

// Returns the number of permission requests for 150 jobs.
fn permission_requests(seed: u64, delay_ms: u64) -> u64 {
    let permission = Permission {
        decide_ms: 9.0,
        each_ms: 0.1,
        valid_ms: 10_000,
    };
    let queue = Queue {
        permission: Some(permission),
        ..urgent()
    };
    let mut cell = cell_with(seed, queue);
    cell.leader_delay_ms = delay_ms;
    submit_jobs(&mut cell, 1, 150, 60);
    cell.run_for(4_000);
    assert!(cell.unfinished().is_empty());
    cell.permission_requests
}

#[test]
fn a_leader_that_is_behind_does_not_repeat_permission_requests() {
    let on_time = permission_requests(4, 0);
    let behind = permission_requests(4, 250);
    assert!(
        behind <= on_time,
        "{behind} permission requests by a leader that is behind, {on_time} by one that is not"
    );
}

#[test]
fn a_leader_that_is_behind_does_not_repeat_stops() {
    const JOBS: u64 = 30;
    let mut cell = cell(5);
    submit_jobs(&mut cell, 1, JOBS, 5);
    cell.run_for(50);
    cell.leader_delay_ms = 300;
    for id in 1..=JOBS {
        cell.cancel("urgent", id);
    }
    cell.run_for(3_000);
    assert_eq!(cell.stop_orders, JOBS * u64::from(TASKS));
}

#[test]
fn steps_over_their_accounts_cap_are_not_searched_in_each_round() {
    const WAITING: u64 = 50;
    const SECONDS: u64 = 2;
    const SEARCHES_PER_SECOND_MAX: u64 = 10;
    let cap = Resources {
        cpu: 80_000,
        ..Resources::default()
    };
    let mut cell = Cell::new(6, WORKERS, vec![urgent()], cap);
    cell.run_for(100);
    cell.submit_series(
        "urgent",
        (1, WAITING + 5),
        1,
        |_| vec![tasks(4, 4, 10_000)],
        10_000,
    );
    cell.run_for(500);
    cell.searches = 0;
    for _ in 0..SECONDS * 100 {
        // Reports that change the state make each round due.
        let mut report = cell.workers[0].report.clone();
        report.sequence += 1;
        report.labels.swap(0, 2);
        cell.workers[0].report = report.clone();
        cell.query(Query::Report(Box::new(report)));
        cell.run_for(10);
    }
    let max = WAITING * SECONDS * SEARCHES_PER_SECOND_MAX;
    assert!(
        cell.searches <= max,
        "{} searches for {WAITING} steps in {SECONDS} s, none of which could start",
        cell.searches
    );
}

#[test]
fn slow_planning_rounds_do_not_hold_up_inputs() {
    let mut cell = cell(3);
    cell.costs.round = 12_000;
    let sent = submit_jobs(&mut cell, 1, 300, 12);
    cell.run_for(4_000);
    let in_time = share_in_time(&cell, &sent);
    assert!(
        in_time >= 0.95,
        "{in_time:.2} of the jobs are in time while a planning round takes 12 ms"
    );
}
