//! Well-formed messages with extreme values must neither cause a panic nor affect other
//! jobs.

#[path = "support/plane.rs"]
mod support;

use plantaincross::core::plane::job::{StepSpec, Submission};
use plantaincross::core::plane::lead::{Action, Query};
use plantaincross::core::plane::types::{JobId, Resources};
use plantaincross::core::plane::worker::Report;
use support::{Cell, queue, tasks};

fn cell() -> Cell {
    let queues = vec![queue("urgent", 0, None), queue("batch", 2, None)];
    let mut cell = Cell::new(1, 4, queues, Resources::default());
    cell.run_for(100);
    cell
}

// Checks that other jobs still complete.
fn assert_serves(cell: &mut Cell) {
    for id in 1..=8 {
        cell.submit("batch", id, vec![tasks(4, 2, 200)], 200);
    }
    cell.run_for(3_000);
    for id in 1..=8 {
        assert!(cell.completed.contains_key(&JobId(id)), "job {id}");
    }
}

fn submit(cell: &mut Cell, submission: Submission) {
    let path = format!("/batch/{}", submission.id);
    cell.request(&path, Action::Submit(Box::new(submission)));
    cell.run_for(500);
}

macro_rules! submissions {
    ($($name:ident: $change:expr;)*) => {
        $(#[test] fn $name() {
            let mut cell = cell();
            let mut submission = Submission {
                id: JobId(99),
                // No worker has the label, so that none of the tasks starts.
                steps: vec![StepSpec { label: Some("none".to_owned()), ..tasks(2, 1, 200) }],
                ..Submission::default()
            };
            let change: fn(&mut Submission) = $change;
            change(&mut submission);
            submit(&mut cell, submission);
            assert_serves(&mut cell);
        })*
    };
}

submissions! {
    a_need_beyond_all_workers: |s| s.steps[0].need = uniform(i64::MAX);
    a_negative_need: |s| s.steps[0].need = uniform(i64::MIN);
    a_need_of_zero: |s| s.steps[0].need = uniform(0);
    an_extreme_estimate: |s| s.steps[0].estimate_ms = u64::MAX;
    a_chain_of_extreme_estimates: |s| {
        s.steps[0].estimate_ms = u64::MAX;
        let next = StepSpec { after: vec![0], ..s.steps[0].clone() };
        s.steps.push(next);
    };
    the_maximum_number_of_tasks: |s| s.steps[0].count = u16::MAX;
    the_maximum_number_of_occurrences: |s| { s.repeat = u32::MAX; s.every_ms = 1; };
    the_latest_due_time: |s| { s.repeat = 3; s.first_ms = u64::MAX; s.every_ms = 1; };
    an_extreme_interval: |s| { s.repeat = 3; s.first_ms = 1; s.every_ms = u64::MAX; };
    a_gang_beyond_all_workers: |s| {
        s.steps[0].gang = true;
        s.steps[0].count = u16::MAX;
        s.steps[0].need = uniform(i64::MAX / 2);
    };
    extreme_long_running_tasks: |s| {
        s.steps[0].long_running = true;
        s.steps[0].target_ms = u64::MAX;
        s.steps[0].may_miss = u16::MAX;
    };
}

const fn uniform(amount: i64) -> Resources {
    Resources {
        cpu: amount,
        memory: amount,
        accelerators: amount,
    }
}

macro_rules! reports {
    ($($name:ident: $change:expr;)*) => {
        $(#[test] fn $name() {
            let mut cell = cell();
            let mut report = Report {
                id: "odd".to_owned(),
                born_ms: cell.now,
                sequence: 1,
                // Of a service that no queue uses, so that nothing is started there.
                service: "other".to_owned(),
                ..cell.workers[0].report.clone()
            };
            report.address = "10.0.0.9:1".to_owned();
            let change: fn(&mut Report) = $change;
            change(&mut report);
            let id = report.id.clone();
            let is_valid = (0..1 << 40).contains(&report.capacity.cpu)
                && report.born_ms != u64::MAX
                && report.sequence != u64::MAX;
            cell.query(Query::Report(Box::new(report)));
            cell.run_for(500);
            assert_eq!(cell.state.worker_keys.contains_key(&id), is_valid);
            assert_serves(&mut cell);
        })*
    };
}

reports! {
    an_extreme_capacity: |r| r.capacity = uniform(i64::MAX);
    a_negative_capacity: |r| r.capacity = uniform(i64::MIN);
    the_latest_start_time: |r| r.born_ms = u64::MAX;
    the_earliest_start_time: |r| r.born_ms = 0;
    the_last_sequence_number: |r| r.sequence = u64::MAX;
    an_empty_id: |r| { r.id = String::new(); r.address = String::new(); };
    an_invalid_address: |r| r.address = "nowhere".to_owned();
}

macro_rules! reports_of_another_writer {
    ($($name:ident: $change:expr;)*) => {
        $(#[test] fn $name() {
            let mut cell = cell();
            for worker in &cell.workers.clone() {
                let mut report = worker.report.clone();
                let change: fn(&mut Report) = $change;
                change(&mut report);
                cell.query(Query::Report(Box::new(report)));
            }
            cell.run_for(500);
            for at in 0..cell.workers.len() {
                cell.drain(at);
            }
            cell.run_for(500);
            let mut workers = cell.state.live_workers();
            assert!(workers.all(|(_, worker)| worker.report.draining), "own reports are ignored");
        })*
    };
}

reports_of_another_writer! {
    the_last_sequence_number_under_a_known_id: |r| { r.sequence = u64::MAX; r.service.clear(); };
    the_latest_start_time_under_a_known_id: |r| { r.born_ms = u64::MAX; r.service.clear(); };
}
