//! Runs the task scheduler with real daemons and simulated workers, through crashes and
//! pauses of zone leaders.

mod support;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use plantaincross::core::job::Size;
use plantaincross::http::{JobInfo, Submitted};
use plantaincross::standin::worker::{self, Stats};
use support::{Cell, WAIT_TIMEOUT, kind};
use tokio::time::{Instant, sleep};

fn start_workers(cell: &Cell, zone: &str, count: usize) -> Arc<Mutex<Stats>> {
    let stats: Arc<Mutex<Stats>> = Arc::default();
    let entries: Vec<_> = cell.instances.iter().map(|i| i.http).collect();
    for at in 0..count {
        let options = worker::Options {
            name: format!("w-{zone}-{at}"),
            zone: zone.to_owned(),
            rack: format!("r{at}"),
            size: Size {
                cpu_milli: 4_000,
                memory_mb: 8_000,
                accelerators: 0,
            },
            fails_tasks: false,
        };
        let token = cell.token.child_token();
        let stats = Arc::clone(&stats);
        tokio::spawn(worker::run(options, entries.clone(), None, stats, token));
    }
    stats
}

async fn submit(cell: &Cell, at: usize, id: &str, tasks: u32) -> Option<Submitted> {
    let body = format!(
        r#"{{"name":"j","class":"batch","tasks":{tasks},"run_ms":400,
            "size":{{"cpu_milli":1000,"memory_mb":500}}}}"#
    );
    let mut client = cell.client(at, "big-key");
    let headers = [("idempotency-key", id)];
    let answer = client.send("POST", "/v1/jobs", &headers, body).await.ok()?;
    plantaincross::client::read(&answer).ok()
}

async fn submit_until_accepted(cell: &Cell, at: usize, id: &str, tasks: u32) -> Submitted {
    let started = Instant::now();
    loop {
        if let Some(submitted) = submit(cell, at, id, tasks).await {
            return submitted;
        }
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "job {id} was not accepted in time"
        );
        sleep(Duration::from_millis(100)).await;
    }
}

async fn wait_done(cell: &Cell, at: usize, job: &Submitted, tasks: u32) {
    let started = Instant::now();
    loop {
        let path = format!("/v1/jobs/{}", job.id);
        let mut client = cell.client(at, "big-key");
        let shown = client.call::<JobInfo>("GET", &path, None::<&()>).await;
        if shown.as_ref().is_ok_and(|job| job.ended == tasks) {
            return;
        }
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "the job did not complete in time: {shown:?}"
        );
        sleep(Duration::from_millis(200)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_survive_crash_and_pause_of_the_zone_leader() {
    let mut cell = Cell::serving(&["a", "a", "a"], 1, Duration::from_millis(5)).await;
    let stats = start_workers(&cell, "a", 3);
    let leader = cell.zone_leader(0, "a").await;
    let other = (leader + 1) % 3;
    let first = submit_until_accepted(&cell, other, "one", 60).await;
    sleep(Duration::from_millis(800)).await;
    cell.kill(leader);
    let second = submit_until_accepted(&cell, other, "two", 20).await;
    wait_done(&cell, other, &first, 60).await;
    wait_done(&cell, other, &second, 20).await;
    cell.restart(leader);
    cell.wait_serving(leader).await;
    let paused = cell.zone_leader(leader, "a").await;
    let follower = (paused + 1) % 3;
    let third = submit_until_accepted(&cell, follower, "three", 40).await;
    cell.pause(paused);
    sleep(Duration::from_secs(3)).await;
    cell.resume(paused);
    wait_done(&cell, follower, &third, 40).await;
    // Submitting with the same idempotency key again returns the same job.
    let again = submit_until_accepted(&cell, follower, "three", 40).await;
    assert_eq!(again.id, third.id);
    let stats = stats.lock().expect("stats");
    assert_eq!(
        stats.max_copies, 1,
        "a task ran on {} workers",
        stats.max_copies
    );
    assert_eq!(stats.completed, 120);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unplaceable_job_is_refused_naming_the_dimension() {
    let cell = Cell::serving(&["a"], 1, Duration::from_millis(5)).await;
    let _record = start_workers(&cell, "a", 1);
    submit_until_accepted(&cell, 0, "fits", 1).await;
    let body =
        r#"{"name":"j","class":"batch","tasks":1,"size":{"cpu_milli":1000,"memory_mb":9000}}"#;
    let mut client = cell.client(0, "big-key");
    let answer = client
        .send("POST", "/v1/jobs", &[], body)
        .await
        .expect("answers");
    assert_eq!(
        kind(answer.body()),
        ("unplaceable".to_owned(), "not_run".to_owned())
    );
    assert!(String::from_utf8_lossy(answer.body()).contains("memory"));
}
