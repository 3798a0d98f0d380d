//! Changes of queues by new configurations.

#[path = "support/plane.rs"]
mod support;

use plantaincross::core::plane::codec::{decode_state, encode};
use plantaincross::core::plane::job::{StepSpec, Submission};
use plantaincross::core::plane::plan::{Config, Permission, Queue};
use plantaincross::core::plane::state::{Command, State};
use plantaincross::core::plane::types::{JobId, QueueKey, Resources};
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

// Checks that a job of two steps, accepted before its queue was changed, completes. The first run
// fails after the change.
fn assert_accepted_job_follows(before: &Queue, changed: &Queue, take_over: fn(&mut Cell)) {
    let mut cell = cell(before);
    cell.workers
        .iter_mut()
        .for_each(|w| w.failure_percent = 100);
    let second = StepSpec {
        after: vec![0],
        ..tasks(2, 1, TASK_MS)
    };
    cell.submit("batch", 1, vec![tasks(1, 1, TASK_MS), second], TASK_MS);
    cell.run_for(100);
    configure(&mut cell, changed);
    take_over(&mut cell);
    cell.run_for(50);
    cell.workers.iter_mut().for_each(|w| w.failure_percent = 0);
    cell.run_for(20 * TASK_MS);
    assert!(cell.unfinished().is_empty());
}

macro_rules! accepted_jobs {
    ($($name:ident: $before:expr, $changed:expr, $take_over:expr;)*) => {
        $(#[test] fn $name() { assert_accepted_job_follows(&$before, &$changed, $take_over); })*
    };
}

// Guards against accepted jobs that never run again, or fail, because they use their queue as it
// was when they were accepted.
accepted_jobs! {
    an_accepted_job_gets_permits_once_its_queue_needs_them:
        permission(None), permission(Some(PERMISSION)), |_| {};
    an_accepted_job_gets_permits_once_its_queue_needs_them_after_a_take_over:
        permission(None), permission(Some(PERMISSION)), Cell::take_over;
    an_accepted_job_gets_permits_once_its_queue_needs_them_after_a_snapshot:
        permission(None), permission(Some(PERMISSION)), Cell::take_over_from_snapshot;
    an_accepted_job_goes_on_once_its_queue_needs_no_permits:
        permission(Some(PERMISSION)), permission(None), |_| {};
    an_accepted_job_gets_the_attempts_that_its_queue_allows_later: attempts(1), attempts(3), |_| {};
}

// Returns the state after a job was accepted and its queue was changed.
fn state_after_change(before: Queue, changed: Queue) -> State {
    let configure = |version, queue| Command::Configure {
        plan: Box::new(Config {
            version,
            queues: vec![queue],
            ..Config::default()
        }),
        document: Vec::new(),
    };
    let submission = Submission {
        id: JobId(1),
        steps: vec![tasks(1, 1, TASK_MS)],
        ..Submission::default()
    };
    let submit = Command::Submit {
        submission: Box::new(submission),
        queue: before.name.clone(),
        account: None,
        at_ms: 1,
    };
    let mut state = State::default();
    for command in [configure(1, before), submit, configure(2, changed)] {
        state.apply(command);
    }
    state
}

// Guards against jobs that are stuck after an update because their snapshot holds each version of
// their queue.
#[test]
fn jobs_of_a_snapshot_with_all_versions_of_a_queue_follow_the_one_in_force() {
    let (before, changed) = (permission(None), permission(Some(PERMISSION)));
    let mut state = state_after_change(before.clone(), changed.clone());
    state.queues = vec![before, changed.clone()];
    let restored = decode_state(&encode(&state)).expect("a snapshot is decoded");
    assert_eq!(restored.queue(QueueKey(0)), &changed);
    assert_eq!(restored.queue(QueueKey(1)), &changed);
}

// Guards against a state that grows with each change of a queue.
#[test]
fn a_queue_has_one_entry_however_often_it_changes() {
    let mut state = state_after_change(attempts(1), attempts(2));
    for version in 3..10 {
        let plan = Config {
            version,
            queues: vec![attempts(version as u32)],
            ..Config::default()
        };
        state.apply(Command::Configure {
            plan: Box::new(plan),
            document: Vec::new(),
        });
    }
    assert_eq!(state.queues, [attempts(9)]);
}

// Guards against jobs that are lost with their queue: a removed one stays as it was last.
#[test]
fn a_job_of_a_removed_queue_goes_on() {
    let mut cell = cell(&permission(None));
    cell.submit("batch", 1, vec![tasks(1, 1, TASK_MS)], TASK_MS);
    cell.workers
        .iter_mut()
        .for_each(|w| w.failure_percent = 100);
    cell.run_for(100);
    cell.configure(Vec::new());
    cell.run_for(100);
    cell.workers.iter_mut().for_each(|w| w.failure_percent = 0);
    cell.run_for(10 * TASK_MS);
    assert!(cell.unfinished().is_empty());
}
