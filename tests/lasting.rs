//! Long-running tasks: each is running again soon after it ends, whatever else waits.

#[path = "support/plane.rs"]
mod support;

use plantaincross::core::plane::job::StepSpec;
use plantaincross::core::plane::plan::Permission;
use plantaincross::core::plane::types::Resources;
use support::{Cell, queue, tasks};

const SLOW_PERMISSION: Permission = Permission {
    decide_ms: 410.0,
    each_ms: 5.9,
    valid_ms: 2_500,
};
const QUICK_PERMISSION: Permission = Permission {
    decide_ms: 9.3,
    each_ms: 0.13,
    valid_ms: 2_500,
};
/// Maximum time that a long-running task may be down while the fleet has twice the capacity
/// it needs, as the users' platform requires.
const GAP_MAX_MS: u64 = 3_000;

// Returns a fleet with permits on one worker of three.
fn cell(seed: u64, workers: usize, requesters: u64) -> Cell {
    let queues = vec![
        queue("urgent", 0, Some(QUICK_PERMISSION)),
        queue("gang", 1, Some(SLOW_PERMISSION)),
        queue("live", 2, Some(SLOW_PERMISSION)),
        queue("batch", 3, None),
    ];
    let mut cell = Cell::new(seed, workers, queues, Resources::default());
    cell.is_strict = true;
    cell.requesters = requesters;
    cell.take_over();
    cell.run_for(500);
    cell
}

fn long_running(count: u16, cores: i64) -> StepSpec {
    StepSpec {
        long_running: true,
        may_miss: 1,
        max_per_worker: 1,
        ..tasks(count, cores, 400)
    }
}

// Returns the sorted times in milliseconds that tasks waited for each of their starts,
// including those of tasks that still wait.
fn gaps(cell: &Cell) -> Vec<u64> {
    let open_gaps = cell.waiting_since.values().map(|since| cell.now - since);
    let mut gaps: Vec<u64> = cell
        .gaps
        .iter()
        .map(|(_, gap)| *gap)
        .chain(open_gaps)
        .collect();
    gaps.sort_unstable();
    gaps
}

fn assert_short_gaps(cell: &Cell) {
    let gaps = gaps(cell);
    let longest = &gaps[gaps.len().saturating_sub(10)..];
    assert!(
        gaps.last().is_none_or(|gap| *gap <= GAP_MAX_MS),
        "the longest of {} gaps: {longest:?} ms; {} tasks still wait to start",
        gaps.len(),
        cell.waiting_since.len()
    );
}

// Guards against a step that stops requesting permits although the permitted workers are at
// its limit of one task per worker. The first permission request grants nine workers, too few
// for 15 tasks.
#[test]
fn a_step_with_a_limit_per_worker_finds_further_workers() {
    let mut cell = cell(1, 60, 13);
    let limited = StepSpec {
        max_per_worker: 1,
        ..tasks(15, 2, 10_000)
    };
    cell.submit("live", 1, vec![long_running(15, 2)], 2_000);
    cell.submit("gang", 2, vec![limited], 10_000);
    cell.run_for(12_000);
    assert_short_gaps(&cell);
    assert_eq!(cell.starts_of(2), 15);
}

// Guards against long-running tasks that wait behind gangs and urgent bursts after a failure.
// 350 workers run 40 long-running jobs of 20 tasks, a tenth of which fail every 6 s.
#[test]
fn long_running_tasks_restart_beside_gangs_and_bursts() {
    let mut cell = cell(2, 350, 33);
    let mut next_id = 1_000;
    for second in 0..30 {
        if second < 20 {
            for at in 0..2 {
                cell.submit(
                    "live",
                    second * 2 + at + 1,
                    vec![long_running(20, 1)],
                    6_000,
                );
            }
        }
        let burst = if second % 10 > 6 { 3 } else { 1 };
        for _ in 0..4 * burst {
            let gang = StepSpec {
                gang: true,
                ..tasks(14, 9, 6_000)
            };
            cell.submit("gang", next_id, vec![gang], 6_000);
            next_id += 1;
        }
        for _ in 0..36 * burst {
            cell.submit("urgent", next_id, vec![tasks(10, 4, 800)], 800);
            next_id += 1;
            cell.run_for(1_000 / (36 * burst));
        }
    }
    assert_short_gaps(&cell);
}

// Guards against long-running tasks that are lost when workers crash and restart under the
// same ids and a new leader takes over in between.
#[test]
fn long_running_tasks_restart_after_a_change_of_leader() {
    let mut cell = cell(3, 60, 13);
    for id in 1..=6 {
        cell.submit("live", id, vec![long_running(10, 2)], 4_000);
    }
    cell.run_for(6_000);
    for at in 0..8 {
        cell.restart(at * 3);
        cell.run_for(300);
        if at == 3 {
            cell.take_over();
        }
        cell.run_for(2_000);
    }
    assert_short_gaps(&cell);
}
