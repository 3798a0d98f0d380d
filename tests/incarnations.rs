//! Messages from and orders to a worker that arrive after it has started again under its id.

#[path = "support/plane.rs"]
mod support;

use plantaincross::core::plane::job::StepSpec;
use plantaincross::core::plane::lead::{Answer, Query, Work};
use plantaincross::core::plane::types::Resources;
use plantaincross::core::plane::worker::Departure;
use support::{BOUNDS, Cell, OrderKind, ZONES, queue, tasks};

const WORKERS: u16 = 4;
const TASK_MS: u64 = 3_000;

// Returns a step of one task for each worker, which has room for no other.
fn one_task_per_worker(count: u16) -> Vec<StepSpec> {
    vec![tasks(count, 20, TASK_MS)]
}

// Returns a cell whose first worker has drained, shut down and started again under its id,
// with its earlier start.
fn cell_with_restarted_worker(seed: u64) -> (Cell, u64) {
    let queues = vec![queue("batch", 1, None)];
    let mut cell = Cell::new(seed, WORKERS.into(), queues, Resources::default());
    cell.run_for(100);
    let born_ms = cell.workers[0].report.born_ms;
    cell.drain(0);
    cell.run_for(2_000);
    cell.restart(0);
    cell.run_for(100);
    (cell, born_ms)
}

fn depart(cell: &mut Cell, at: usize, born_ms: Option<u64>) -> u64 {
    let id = cell.workers[at].report.id.clone();
    cell.query(Query::Depart(Departure { id, born_ms }))
}

// Checks that the first worker keeps its run when a departure of its earlier incarnation
// arrives, and gets further work. The simulation checks that no task runs twice.
fn assert_late_departure_is_ignored(seed: u64, names_start: bool) {
    let (mut cell, born_ms) = cell_with_restarted_worker(seed);
    cell.submit("batch", 1, one_task_per_worker(WORKERS), TASK_MS);
    cell.run_for(200);
    assert_eq!(cell.running(), usize::from(WORKERS));
    cell.add_worker("idle", 4);
    cell.run_for(100);
    let call = depart(&mut cell, 0, names_start.then_some(born_ms));
    cell.run_for(TASK_MS);
    assert_eq!(cell.answers.get(&call), Some(&Answer::Done));
    assert!(cell.unfinished().is_empty());
    assert_eq!(cell.workers[4].starts, 0);
    cell.submit("batch", 2, one_task_per_worker(WORKERS + 1), TASK_MS);
    cell.run_for(200);
    assert_eq!(cell.running(), usize::from(WORKERS) + 1);
}

macro_rules! late_departures {
    ($($name:ident: $seed:expr, $names_start:expr;)*) => {
        $(#[test] fn $name() { assert_late_departure_is_ignored($seed, $names_start); })*
    };
}

// Guards against runs that start twice because a late departure ends those of the worker's
// next incarnation.
late_departures! {
    a_late_departure_does_not_end_the_runs_of_the_next_incarnation: 1, true;
    a_late_departure_without_a_start_does_not_end_the_runs_of_the_next_incarnation: 2, false;
}

/// Time by which a start order is late.
const START_DELAY_MS: u64 = 6_000;
/// Run time of a task that is still running when the late order arrives.
const LONG_TASK_MS: u64 = 12_000;

fn is_start(work: &Work) -> bool {
    matches!(work, Work::Start { .. })
}

// Checks that a start order which arrives late, after its run was given up and the worker has
// started again, starts nothing. The simulation checks that no task runs twice.
fn assert_late_start_is_refused(seed: u64, restarts: u32, takes_over: bool) {
    let queues = vec![queue("batch", 1, None)];
    let mut cell = Cell::new(seed, WORKERS.into(), queues, Resources::default());
    cell.run_for(100);
    cell.next_late_order = Some((is_start, START_DELAY_MS));
    cell.submit("batch", 1, one_task_per_worker(1), LONG_TASK_MS);
    cell.run_for(1_500);
    let at = cell.late_order_at.expect("one start is late");
    for _ in 0..restarts {
        cell.restart(at);
        // The next run is placed on another worker.
        cell.drain(at);
        cell.run_for(500);
    }
    if takes_over {
        cell.take_over();
    }
    cell.run_for(START_DELAY_MS);
    assert!(cell.workers[at].runs_are_empty());
    cell.run_for(2 * LONG_TASK_MS);
    assert!(cell.unfinished().is_empty());
}

macro_rules! late_starts {
    ($($name:ident: $seed:expr, $restarts:expr, $takes_over:expr;)*) => {
        $(#[test] fn $name() { assert_late_start_is_refused($seed, $restarts, $takes_over); })*
    };
}

// Guards against tasks that run twice because a start order for an earlier incarnation of a
// worker is carried out by a later one.
late_starts! {
    a_late_start_does_not_run_on_the_next_incarnation: 4, 1, false;
    a_late_start_does_not_run_on_the_second_next_incarnation: 5, 2, false;
    a_late_start_does_not_run_on_the_next_incarnation_under_the_next_leader: 6, 1, true;
}

/// Time by which an inspection is late.
const INSPECTION_DELAY_MS: u64 = 4_000;

fn is_acknowledgement(work: &Work) -> bool {
    matches!(work, Work::Inspect { seen, .. } if *seen > 0)
}

fn is_renewal(work: &Work) -> bool {
    matches!(work, Work::Inspect { until: Some(_), .. })
}

// Has a worker get an inspection late, in its next incarnation, while it is cut off with a run of
// `ms`. The simulation checks that no task runs twice.
fn assert_late_inspection_is_ignored(is_kind: OrderKind, ms: u64, takes_over: bool) {
    let queues = vec![queue("batch", 1, None)];
    let mut cell = Cell::new(7, WORKERS.into(), queues, Resources::default());
    // The clock of this incarnation gets ahead of that of the next one.
    cell.run_for(20_000);
    cell.next_late_order = Some((is_kind, INSPECTION_DELAY_MS));
    cell.submit("batch", 1, one_task_per_worker(1), 200);
    while cell.late_order_at.is_none() {
        cell.step();
    }
    let at = cell.late_order_at.expect("one inspection is late");
    cell.crash_for(at, 100);
    cell.run_for(2_500);
    assert!(cell.unfinished().is_empty());
    cell.submit("batch", 2, one_task_per_worker(WORKERS), ms);
    cell.run_for(200);
    assert_eq!(cell.running(), usize::from(WORKERS));
    cell.add_worker("idle", 4);
    let lease_ms = BOUNDS.max_lease.as_millis() as u64;
    // The run ends during the cut, or its lease does.
    let cut_ms = if ms < lease_ms {
        lease_ms / 2
    } else {
        2 * lease_ms
    };
    cell.cut(at, cut_ms);
    if takes_over {
        cell.take_over();
    }
    cell.run_for(5 * lease_ms + 2 * ms);
    assert!(cell.unfinished().is_empty());
}

macro_rules! late_inspections {
    ($($name:ident: $is_kind:expr, $ms:expr, $takes_over:expr;)*) => {
        $(#[test] fn $name() { assert_late_inspection_is_ignored($is_kind, $ms, $takes_over); })*
    };
}

// Guards against tasks that are started again after they were done, or while they run, because an
// inspection of an earlier incarnation drops ends or renews the lease of a later one that is cut off.
late_inspections! {
    a_late_acknowledgement_does_not_drop_ends_of_the_next_incarnation:
        is_acknowledgement, 1_000, false;
    a_late_acknowledgement_does_not_drop_ends_of_the_next_incarnation_under_the_next_leader:
        is_acknowledgement, 1_000, true;
    a_late_renewal_does_not_keep_runs_of_the_next_incarnation: is_renewal, 20_000, false;
    a_late_renewal_does_not_keep_runs_of_the_next_incarnation_under_the_next_leader:
        is_renewal, 20_000, true;
}

/// Rounds in which the workers of a zone start again and are cut off.
const ROUNDS: u64 = 6;
/// Orders per thousand that are carried out late.
const LATE_PER_MILLE: u32 = 60;

// Has the workers of a zone start again under their ids in each round and cuts them off soon after,
// while orders are carried out late and long tasks run. The simulation checks each start.
fn assert_restarts_before_cuts_are_survived(seed: u64, takes_over: bool) {
    let queues = vec![queue("batch", 1, None)];
    let mut cell = Cell::new(seed, 12, queues, Resources::default());
    cell.run_for(10_000);
    cell.faults.delayed_per_mille = LATE_PER_MILLE;
    let mut job = 0;
    let submit = |cell: &mut Cell, job: &mut u64, count: u64| {
        for _ in 0..count {
            *job += 1;
            let ms = if job.is_multiple_of(3) {
                7_000
            } else {
                300 + cell.draw(900)
            };
            cell.submit("batch", *job, vec![tasks(2, 8, ms)], ms);
            cell.run_for(50);
        }
    };
    for round in 0..ROUNDS {
        submit(&mut cell, &mut job, 8);
        let zone = round as usize % ZONES;
        let dark_ms = 100 + cell.draw(500);
        for at in (zone..12).step_by(ZONES) {
            cell.crash_for(at, dark_ms);
        }
        cell.run_for(dark_ms);
        let before_cut = 2 + cell.draw(6);
        submit(&mut cell, &mut job, before_cut);
        let cut_ms = 2_500 + cell.draw(7_000);
        cell.cut_zone(zone, cut_ms);
        if takes_over {
            let after = cell.draw(1_000);
            cell.run_for(after);
            cell.take_over();
        }
        submit(&mut cell, &mut job, 20);
        let rest = cell.draw(9_000);
        cell.run_for(rest);
    }
    cell.faults.delayed_per_mille = 0;
    cell.run_for(60_000);
    // A job under whose tasks workers have crashed again and again may be given up.
    assert!(cell.state.open.is_empty());
}

macro_rules! restarts_before_cuts {
    ($($name:ident: $seeds:expr, $takes_over:expr;)*) => {
        $(#[test] fn $name() {
            for seed in $seeds {
                println!("seed {seed}");
                assert_restarts_before_cuts_are_survived(seed, $takes_over);
            }
        })*
    };
}

// Guards against tasks that run twice because workers start again under their ids and are cut off
// soon after, with calls still under way that were meant for their earlier incarnations.
restarts_before_cuts! {
    workers_that_start_again_and_are_cut_off: 1..=20, false;
    workers_that_start_again_and_are_cut_off_while_the_leader_changes: 21..=40, true;
}

/// Maximum time from the start of an incarnation to its first answer if the first call gets lost.
const SECOND_CALL_MAX_MS: u64 = 200;

// Guards against a long time in which a new incarnation carries out late orders for earlier ones,
// because the first call to it got lost and the next one waits for its time-out.
#[test]
fn a_first_call_that_gets_lost_is_repeated_at_once() {
    let queues = vec![queue("batch", 1, None)];
    let mut cell = Cell::new(8, 1, queues, Resources::default());
    cell.run_for(100);
    cell.next_late_order = Some((|_| true, 8_000));
    cell.restart(0);
    cell.run_for(SECOND_CALL_MAX_MS);
    assert_eq!(cell.late_order_at, Some(0));
    let lead = cell.lead.as_ref().expect("a leader");
    assert!(lead.channels()[cell.state.worker_keys["w0"]].adopted);
}

// Has a worker start again while a start order is on its way to it, and cuts it off with the run
// that its next incarnation has started. The leader changes before it hears of the run.
fn assert_next_leader_looks_for_the_run(ms: u64, cut_ms: u64, registers_other: bool) {
    let queues = vec![queue("batch", 1, None)];
    let mut cell = Cell::new(9, 1, queues, Resources::default());
    cell.run_for(100);
    cell.submit("batch", 1, one_task_per_worker(1), ms);
    while cell.state.workers[0].runs.is_empty() {
        cell.step();
    }
    cell.restart(0);
    while cell.workers[0].starts == 0 {
        cell.step();
    }
    cell.cut(0, cut_ms);
    while cell.state.workers.len() == 1 {
        cell.step();
    }
    cell.take_over();
    if registers_other {
        cell.add_worker("idle", 1);
    }
    cell.run_for(cut_ms + 20_000 + 2 * ms);
    assert!(cell.unfinished().is_empty());
}

macro_rules! leader_changes {
    ($($name:ident: $ms:expr, $cut_ms:expr, $registers_other:expr;)*) => {
        $(#[test] fn $name() {
            assert_next_leader_looks_for_the_run($ms, $cut_ms, $registers_other);
        })*
    };
}

// Guards against tasks that run again after they were done, or while they run, because a new leader
// does not look for the runs of an earlier incarnation on the one that has started them.
leader_changes! {
    a_run_that_is_done_on_the_next_incarnation_counts_under_the_next_leader: 1_000, 2_000, false;
    a_run_that_goes_on_at_the_next_incarnation_is_not_started_again_when_another_worker_registers:
        12_000, 4_000, true;
}
