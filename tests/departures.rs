//! Workers that announce their shutdown: those that work on behind a cut, and those that leave.

#[path = "support/plane.rs"]
mod support;

use plantaincross::core::plane::job::StepSpec;
use plantaincross::core::plane::lead::Query;
use plantaincross::core::plane::types::Resources;
use plantaincross::core::plane::worker::{Condition, Departure};
use support::{BOUNDS, Cell, queue, tasks};

const WORKERS: usize = 4;
const TASK_MS: u64 = 12_000;
/// Time for which a worker drains before it leaves.
const DRAIN_MS: u64 = 2_000;
/// Maximum time from the departure of a worker to the start of its tasks elsewhere.
const GONE_MAX_MS: u64 = 1_000;
/// The same for a worker that cannot be reached, whose runs may go on until their leases end.
const LEASE_MAX_MS: u64 = BOUNDS.max_lease.as_millis() as u64 + 1_000;

// Returns a cell with a task on each worker, and an idle worker.
fn busy_cell(seed: u64, is_lasting: bool) -> Cell {
    let queues = vec![queue("batch", 1, None)];
    let mut cell = Cell::new(seed, WORKERS, queues, Resources::default());
    cell.run_for(100);
    let step = StepSpec {
        long_running: is_lasting,
        // Only one task of the step is on each worker.
        max_per_worker: 1,
        ..tasks(WORKERS as u16, 20, TASK_MS)
    };
    cell.submit("batch", 1, vec![step], TASK_MS);
    cell.run_for(200);
    assert_eq!(cell.running(), WORKERS);
    cell.add_worker("idle", WORKERS);
    cell.run_for(100);
    cell
}

fn drain(cell: &mut Cell, at: usize) {
    let worker = &mut cell.workers[at];
    worker.report.draining = true;
    worker.report.sequence += 1;
    let condition = Condition {
        drain_remaining_ms: DRAIN_MS,
        ..Condition::default()
    };
    let report = Box::new(worker.report.clone());
    cell.query(Query::Heartbeat { report, condition });
}

fn depart(cell: &mut Cell, at: usize) -> u64 {
    let id = cell.workers[at].report.id.clone();
    cell.query(Query::Depart(Departure { id, born_ms: None }))
}

/// What happens while the confirmation of a shutdown does not arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cut {
    /// Nothing arrives at the worker or from it.
    Silent,
    /// Connections to the worker are refused.
    Refused,
    /// What the worker answers is lost.
    Answers,
}

// Has a worker announce its shutdown while it is cut off and works on. The simulation checks that no
// task runs twice.
fn assert_cut_worker_keeps_its_runs(seed: u64, cut: Cut, takes_over: bool, registers: bool) {
    let mut cell = busy_cell(seed, false);
    drain(&mut cell, 0);
    cell.run_for(500);
    match cut {
        Cut::Silent => cell.cut(0, 3_500),
        Cut::Refused => {
            cell.refuses_connections = true;
            cell.cut(0, 3_500);
        }
        Cut::Answers => cell.workers[0].replies_lost_until = cell.now + 3_500,
    }
    cell.run_for(500);
    depart(&mut cell, 0);
    cell.run_for(100);
    if takes_over {
        cell.take_over();
    }
    if registers {
        cell.add_worker("late", WORKERS + 1);
    }
    cell.run_for(2_400);
    cell.crash(0);
    cell.run_for(LEASE_MAX_MS);
    assert_eq!(cell.running(), WORKERS, "tasks that run again in time");
    cell.run_for(2 * TASK_MS);
    assert!(cell.unfinished().is_empty());
}

macro_rules! unconfirmed_departures {
    ($($name:ident: $seed:expr, $cut:expr, $takes_over:expr, $registers:expr;)*) => {
        $(#[test] fn $name() {
            assert_cut_worker_keeps_its_runs($seed, $cut, $takes_over, $registers);
        })*
    };
}

// Guards against tasks that run twice because a worker that announced its shutdown counts as gone
// as soon as it is silent, although it did not get the confirmation and works on.
unconfirmed_departures! {
    a_departing_worker_behind_a_cut_keeps_its_runs: 1, Cut::Silent, false, false;
    a_departing_worker_that_refuses_connections_keeps_its_runs: 2, Cut::Refused, false, false;
    a_departing_worker_whose_answers_are_lost_keeps_its_runs: 3, Cut::Answers, false, false;
    a_departing_worker_behind_a_cut_keeps_its_runs_under_the_next_leader:
        4, Cut::Silent, true, false;
    a_departing_worker_behind_a_cut_keeps_its_runs_when_another_registers:
        5, Cut::Silent, false, true;
    a_departing_worker_behind_a_cut_keeps_its_runs_when_another_registers_with_the_next_leader:
        6, Cut::Silent, true, true;
}

// Checks that the tasks of a worker that leaves at the announced time run elsewhere soon after.
fn assert_tasks_move_in_time(seed: u64, is_lasting: bool, takes_over: bool) {
    let mut cell = busy_cell(seed, is_lasting);
    drain(&mut cell, 0);
    if takes_over {
        cell.run_for(500);
        cell.take_over();
        drain(&mut cell, 0);
    }
    cell.run_for(DRAIN_MS);
    depart(&mut cell, 0);
    cell.crash(0);
    cell.run_for(GONE_MAX_MS);
    assert_eq!(cell.running(), WORKERS);
    let key = cell.state.worker_keys["w0"];
    assert!(cell.state.worker(key).departed);
    if !is_lasting {
        cell.run_for(2 * TASK_MS);
        assert!(cell.unfinished().is_empty());
    }
}

macro_rules! departures {
    ($($name:ident: $seed:expr, $is_lasting:expr, $takes_over:expr;)*) => {
        $(#[test] fn $name() { assert_tasks_move_in_time($seed, $is_lasting, $takes_over); })*
    };
}

// Guards against tasks that wait for the leases of a worker that has left as it announced.
departures! {
    tasks_of_a_worker_that_leaves_move_in_time: 7, false, false;
    tasks_of_a_worker_that_leaves_move_in_time_under_the_next_leader: 8, false, true;
    tasks_that_last_move_in_time_when_their_worker_leaves: 9, true, false;
}

// Guards against tasks that wait until a worker has left that cannot be told from a silent one: one
// that still answers stops its runs first.
#[test]
fn tasks_of_a_departing_worker_that_answers_move_at_once() {
    let mut cell = busy_cell(10, false);
    cell.drain(0);
    cell.run_for(500);
    depart(&mut cell, 0);
    cell.run_for(GONE_MAX_MS);
    assert!(cell.workers[0].runs_are_empty());
    assert_eq!(cell.running(), WORKERS);
    cell.run_for(2 * TASK_MS);
    assert!(cell.unfinished().is_empty());
}
