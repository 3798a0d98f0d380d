//! Changes of queues by new configurations.

#[path = "support/plane.rs"]
mod support;

use plantaincross::core::plane::plan::{Permission, Queue};
use plantaincross::core::plane::types::Resources;
use support::{Cell, queue, tasks};

const WORKERS: usize = 6;
const TASK_MS: u64 = 300;
const PERMISSION: Permission = Permission {
    decide_ms: 10.0,
    each_ms: 0.1,
    valid_ms: 2_500,
};

fn cell(queue: &Queue) -> Cell {
    let mut cell = Cell::new(1, WORKERS, vec![queue.clone()], Resources::default());
    cell.run_for(100);
    cell
}

fn configure(cell: &mut Cell, queue: &Queue) {
    cell.configure(vec![queue.clone()]);
    cell.run_for(100);
}

// Checks that a job whose first run fails completes after a change of its queue was taken back.
fn assert_change_is_taken_back(before: &Queue, changed: &Queue, take_over: fn(&mut Cell)) {
    let mut cell = cell(before);
    configure(&mut cell, changed);
    configure(&mut cell, before);
    take_over(&mut cell);
    cell.run_for(100);
    cell.workers
        .iter_mut()
        .for_each(|w| w.failure_percent = 100);
    cell.submit("batch", 1, vec![tasks(1, 1, TASK_MS)], TASK_MS);
    cell.run_for(200);
    cell.workers.iter_mut().for_each(|w| w.failure_percent = 0);
    cell.run_for(10 * TASK_MS);
    assert_eq!(cell.starts_of(1), 1);
    assert!(cell.unfinished().is_empty());
}

fn attempts(attempts: u32) -> Queue {
    Queue {
        attempts,
        ..queue("batch", 1, None)
    }
}

fn permission(permission: Option<Permission>) -> Queue {
    queue("batch", 1, permission)
}

macro_rules! withdrawn_changes {
    ($($name:ident: $before:expr, $changed:expr, $take_over:expr;)*) => {
        $(#[test] fn $name() { assert_change_is_taken_back(&$before, &$changed, $take_over); })*
    };
}

// Guards against jobs that use a version of their queue that was withdrawn, and fail too early
// or never run.
withdrawn_changes! {
    attempts_that_were_withdrawn_do_not_apply: attempts(3), attempts(1), |_| {};
    a_permission_service_that_is_back_is_asked:
        permission(Some(PERMISSION)), permission(None), |_| {};
    a_permission_service_that_is_back_is_asked_after_a_take_over:
        permission(Some(PERMISSION)), permission(None), Cell::take_over;
    attempts_that_were_withdrawn_do_not_apply_after_a_snapshot:
        attempts(3), attempts(1), Cell::take_over_from_snapshot;
}
