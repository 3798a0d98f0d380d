//! Well-formed messages with extreme values must neither cause a panic nor affect other
//! jobs.

#[path = "support/plane.rs"]
mod support;

use plantaincross::core::plane::job::{StepSpec, Submission};
use plantaincross::core::plane::lead::{Action, Query};
use plantaincross::core::plane::types::{Amount, JobId};
use plantaincross::core::plane::worker::Report;
use support::{Cell, queue, tasks};

fn cell() -> Cell {
    let queues = vec![queue("urgent", 0, None), queue("batch", 2, None)];
    let mut cell = Cell::new(1, 4, queues, Amount::default());
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

fn hand_in(cell: &mut Cell, submission: Submission) {
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
            hand_in(&mut cell, submission);
            assert_serves(&mut cell);
        })*
    };
}

submissions! {
    a_need_beyond_all_workers: |s| s.steps[0].need = all(i64::MAX);
    a_need_below_nothing: |s| s.steps[0].need = all(i64::MIN);
    no_need_at_all: |s| s.steps[0].need = all(0);
    an_endless_estimate: |s| s.steps[0].estimate_ms = u64::MAX;
    a_chain_of_endless_estimates: |s| {
        s.steps[0].estimate_ms = u64::MAX;
        let next = StepSpec { after: vec![0], ..s.steps[0].clone() };
        s.steps.push(next);
    };
    as_many_tasks_as_can_be: |s| s.steps[0].count = u16::MAX;
    as_many_occurrences_as_can_be: |s| { s.repeat = u32::MAX; s.every_ms = 1; };
    a_due_time_at_the_end_of_time: |s| { s.repeat = 3; s.first_ms = u64::MAX; s.every_ms = 1; };
    an_endless_interval: |s| { s.repeat = 3; s.first_ms = 1; s.every_ms = u64::MAX; };
    a_gang_beyond_all_workers: |s| {
        s.steps[0].gang = true;
        s.steps[0].count = u16::MAX;
        s.steps[0].need = all(i64::MAX / 2);
    };
    endless_lasting_work: |s| {
        s.steps[0].lasting = true;
        s.steps[0].target_ms = u64::MAX;
        s.steps[0].may_miss = u16::MAX;
    };
}

const fn all(amount: i64) -> Amount {
    Amount {
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
            let sound = (0..1 << 40).contains(&report.capacity.cpu);
            cell.query(Query::Report(Box::new(report)));
            cell.run_for(500);
            assert_eq!(cell.state.worker_keys.contains_key(&id), sound);
            assert_serves(&mut cell);
        })*
    };
}

reports! {
    an_endless_capacity: |r| r.capacity = all(i64::MAX);
    a_capacity_below_nothing: |r| r.capacity = all(i64::MIN);
    born_at_the_end_of_time: |r| r.born_ms = u64::MAX;
    born_at_the_beginning_of_time: |r| r.born_ms = 0;
    a_last_sequence: |r| r.sequence = u64::MAX;
    no_name_at_all: |r| { r.id = String::new(); r.address = String::new(); };
    an_address_that_is_none: |r| r.address = "nowhere".to_owned();
}
