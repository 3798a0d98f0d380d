//! A client account with more waiting steps than a planning round can handle must not keep the
//! jobs of another account, or its own, from being placed.

#[path = "support/plane.rs"]
mod support;

use plantaincross::core::plane::job::StepSpec;
use plantaincross::core::plane::lead::Query;
use plantaincross::core::plane::plan::{Account, Config};
use plantaincross::core::plane::types::Resources;
use support::{Cell, queue, tasks};

const WORKERS: usize = 60;
/// Run time of each task.
const TASK_MS: u64 = 300;
/// Largest number of workers and steps that a planning round may examine, whatever waits.
const EXAMINED_MAX: u32 = 100_000;
/// Jobs of the small account and the interval between them.
const JOBS: u64 = 40;
const INTERVAL_MS: u64 = 100;
/// First id of the small account's jobs.
const SMALL_ID: u64 = 1_000_000;

// Starts a cell whose accounts are the usual one and one with the key `small-key`.
fn cell(seed: u64) -> Cell {
    let queues = vec![queue("urgent", 0, None), queue("batch", 1, None)];
    let mut cell = Cell::new(seed, WORKERS, queues, Resources::default());
    let mut accounts = cell.state.config.accounts.clone();
    accounts.push(Account {
        name: "small".to_owned(),
        keys: vec!["small-key".to_owned()],
        weight: 10,
        cap: Resources::default(),
    });
    let plan = Config {
        version: 2,
        accounts,
        ..cell.state.config.clone()
    };
    cell.query(Query::Configure {
        plan: Box::new(plan),
        document: Vec::new(),
    });
    cell.run_for(100);
    cell
}

/// Step of a task that only a worker with a label may run, which none has.
fn unplaceable() -> StepSpec {
    StepSpec {
        label: Some("none".to_owned()),
        ..tasks(1, 1, TASK_MS)
    }
}

// The large account submits `jobs` jobs, then the small one its own to `queue`.
fn small_account_is_served(jobs: u64, steps: &[StepSpec], queue: &str, take_over: bool) {
    let mut cell = cell(1);
    for id in 1..=jobs {
        cell.submit("urgent", id, steps.to_vec(), TASK_MS);
    }
    cell.run_for(100);
    cell.key = "small-key";
    for at in 0..JOBS {
        cell.submit(queue, SMALL_ID + at, vec![tasks(2, 1, TASK_MS)], TASK_MS);
        cell.run_for(INTERVAL_MS);
        if take_over && at == JOBS / 2 {
            cell.take_over_from_snapshot();
        }
    }
    cell.run_for(4_000);
    let unfinished = cell.unfinished();
    let small = unfinished.iter().filter(|id| id.0 >= SMALL_ID).count();
    assert_eq!(small, 0, "unfinished jobs of the small account");
    let examined = cell.examined_max;
    assert!(examined <= EXAMINED_MAX, "a round examined {examined}");
}

macro_rules! small_account_is_served {
    ($($name:ident: $jobs:literal, $steps:expr, $queue:literal, $take_over:literal;)*) => {
        $(#[test]
        fn $name() { small_account_is_served($jobs, &$steps, $queue, $take_over); })*
    };
}

small_account_is_served! {
    beside_many_steps_that_fit_nowhere: 100, vec![unplaceable(); 200], "urgent", false;
    in_a_queue_of_lower_priority: 100, vec![unplaceable(); 200], "batch", false;
    over_a_take_over: 100, vec![unplaceable(); 200], "batch", true;
    beside_few_jobs_of_many_steps: 8, vec![unplaceable(); 4_000], "batch", false;
}

// More steps than one round lists are placed in the end, also those of the account itself.
#[test]
fn all_steps_of_a_large_account_run() {
    let mut cell = cell(2);
    for id in 1..=5 {
        cell.submit("urgent", id, vec![tasks(1, 0, 20); 4_000], 20);
    }
    cell.run_for(60_000);
    assert_eq!(cell.unfinished(), Vec::new());
    assert!(cell.examined_max <= EXAMINED_MAX);
}
