//! Workers that are unreachable or do not reply for less than their lease keep their
//! runs.

#[path = "support/plane.rs"]
mod support;

use plantaincross::core::plane::job::StepSpec;
use plantaincross::core::plane::types::{JobId, Resources};
use support::{Cell, queue, tasks};

/// Number of workers in the fleet.
const WORKERS: usize = 4;
const RUN_MS: u64 = 9_000;

fn cell_with_job(seed: u64, step: StepSpec) -> Cell {
    let queues = vec![queue("batch", 2, None)];
    let mut cell = Cell::new(seed, WORKERS, queues, Resources::default());
    cell.run_for(100);
    cell.submit("batch", 1, vec![step], RUN_MS);
    cell.run_for(1_000);
    cell
}

fn starts(cell: &Cell) -> u64 {
    cell.workers.iter().map(|w| w.starts).sum()
}

// Waits for the job to end, and checks that each task ran exactly once.
fn assert_ran_once(mut cell: Cell, count: u64) {
    cell.run_for(RUN_MS + 3_000);
    assert_eq!(cell.stops, 0, "runs were stopped");
    assert_eq!(starts(&cell), count, "starts of {count} tasks");
    assert!(cell.completed.contains_key(&JobId(1)));
}

macro_rules! interruptions {
    ($($name:ident: $step:expr, $interrupt:expr;)*) => {
        $(#[test] fn $name() {
            let step: StepSpec = $step;
            let count = u64::from(step.count);
            let mut cell = cell_with_job(1, step);
            let interrupt: fn(&mut Cell) = $interrupt;
            interrupt(&mut cell);
            assert_ran_once(cell, count);
        })*
    };
}

fn gang() -> StepSpec {
    StepSpec {
        gang: true,
        ..tasks(8, 9, RUN_MS)
    }
}

// The lease of 6 s outlasts each of these interruptions, in which two to three inspections,
// one per second, are missed.
interruptions! {
    unreachable_for_four_seconds: tasks(8, 4, RUN_MS), |cell| {
        cell.workers[0].unreachable_until = cell.now + 4_000;
    };
    replies_lost_for_four_seconds: tasks(8, 4, RUN_MS), |cell| {
        cell.workers[0].replies_lost_until = cell.now + 4_000;
    };
    all_unreachable_at_once: tasks(8, 4, RUN_MS), |cell| {
        for worker in 0..WORKERS {
            cell.workers[worker].unreachable_until = cell.now + 4_000;
        }
    };
    a_gang_with_an_unreachable_worker: gang(), |cell| {
        cell.workers[0].unreachable_until = cell.now + 4_000;
    };
    unreachable_twice: tasks(8, 4, RUN_MS), |cell| {
        cell.workers[0].unreachable_until = cell.now + 2_900;
        cell.run_for(3_300);
        cell.workers[0].unreachable_until = cell.now + 2_900;
    };
    unreachable_around_a_change_of_leader: tasks(8, 4, RUN_MS), |cell| {
        cell.workers[0].unreachable_until = cell.now + 4_000;
        cell.run_for(1_500);
        cell.take_over();
    };
}
