//! The scripts of the cases.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::cell::{Caller, Cell, ZONES, configuration};
use crate::http::Client;
use crate::proxy::{self, Cut};
use crate::record::Record;
use crate::worker::{History, Seen, Site, Worker};
use crate::{Context, Verdict};

const SECOND: Duration = Duration::from_secs(1);
/// Time for which a worker is slow after it has come back.
const COLD: Duration = Duration::from_secs(8);
/// Time after the end of the traffic at which jobs are asked for.
const FINISH: Duration = Duration::from_secs(14);

/// A worker and the cuts of its links.
struct Linked {
    worker: Worker,
    /// Link from the control instances to the worker.
    orders: Arc<Cut>,
    /// Link from the worker to the control instances.
    reports: Arc<Cut>,
    /// Addresses of the control instances as seen from the worker.
    controls: Vec<SocketAddr>,
}

// Starts a worker whose links can be cut, in the first life of its machine.
fn linked_worker(context: &Context, cell: &Cell, at: u8, cpu: u64, history: &History) -> Linked {
    linked_life(context, cell, at, 0, cpu, history)
}

fn linked_life(
    context: &Context,
    cell: &Cell,
    at: u8,
    life: u8,
    cpu: u64,
    history: &History,
) -> Linked {
    let orders = Arc::new(Cut::default());
    let reports = Arc::new(Cut::default());
    let listener = cell.listener(50 + at);
    let own = listener.local_addr().expect("bound");
    let link = cell.listener(80 + at);
    let address = link.local_addr().expect("bound");
    proxy::start(link, own, Arc::clone(&orders));
    let controls = cell.control_addresses().into_iter().map(|control| {
        let link = cell.listener(110 + at);
        let address = link.local_addr().expect("bound");
        proxy::start(link, control, Arc::clone(&reports));
        address
    });
    let controls = controls.collect();
    let site = Site {
        id: format!("i-{at:02}-{life}"),
        machine: format!("m-{at:02}"),
        zone: ZONES[usize::from(at) % ZONES.len()],
        kind: match at {
            0 => "g",
            4..=6 => "h",
            _ => "a",
        },
        rack: format!("r{}-{at}", at % 3),
        cpu,
        cold: if life > 0 { COLD } else { Duration::ZERO },
        address,
    };
    let record = Arc::clone(&context.record);
    Linked {
        worker: Worker::start(listener, site, Arc::clone(history), record),
        orders,
        reports,
        controls,
    }
}

// Waits until the condition holds. Returns whether it did within the limit.
fn wait_for(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    while !holds() {
        if Instant::now() > deadline {
            return false;
        }
        sleep(Duration::from_millis(20));
    }
    true
}

// Returns the pairs of runs of one task that overlap, and starts after an end `done`.
fn doubled(history: &[Seen]) -> Vec<String> {
    let mut found = Vec::new();
    for (at, first) in history.iter().enumerate() {
        for second in history[at + 1..].iter().filter(|s| s.task == first.task) {
            let (end_ms, how) = first.ended.unwrap_or((u64::MAX, "running"));
            if second.started_ms < end_ms || how == "done" {
                found.push(format!(
                    "TWICE: {} run {} on {} from {} ms to {} ms ({how}), run {} on {} from {} ms",
                    first.task,
                    first.run,
                    first.worker,
                    first.started_ms,
                    end_ms,
                    second.run,
                    second.worker,
                    second.started_ms
                ));
            }
        }
    }
    found
}

// Asks for jobs after the end of the traffic, and returns the number of those that are lost: they
// get no answer, or are not completed and have had nothing running for 3 s. Nothing else may run
// for most of that time, so that there is room for their tasks.
fn lost_jobs(
    record: &Record,
    caller: &mut Caller,
    accepted: &[String],
    tasks: usize,
    history: &History,
) -> u32 {
    const ANSWER: Duration = Duration::from_secs(5);
    const IDLE_MS: u64 = 3_000;
    let mut lost = 0;
    let mut without_answer = 0;
    for id in accepted.iter().rev() {
        let deadline = Instant::now() + if without_answer == 0 { ANSWER } else { SECOND };
        let mut state = (0, String::new());
        while Instant::now() < deadline && state.0 != 200 {
            state = caller.state(id);
            sleep(Duration::from_millis(50));
        }
        without_answer += u32::from(state.0 != 200);
        let history = history.lock().expect("history");
        let runs = history
            .iter()
            .filter(|seen| seen.task.starts_with(id.as_str()));
        let is_idle = |seen: &Seen| {
            seen.ended
                .is_some_and(|(at_ms, _)| at_ms + IDLE_MS < record.now_ms())
        };
        let done = runs
            .clone()
            .filter(|seen| matches!(seen.ended, Some((_, "done"))))
            .count();
        let stands_still = done < tasks && runs.clone().all(is_idle);
        if state.0 != 200 || state.1 != "completed" && stands_still {
            lost += 1;
            record.line(&format!(
                "LOST: GET {id}: {} {}; {done} of {tasks} tasks are done, none has run for 3 s",
                state.0, state.1
            ));
        }
        if without_answer > 5 {
            record.line("no answer for six jobs; the others are not asked for");
            break;
        }
    }
    lost
}

/// A client account submits a gang that is larger than the fleet. Another account submits small
/// jobs on a queue of less priority.
pub fn large_gang(context: &Context) -> Verdict {
    const WORKERS: u8 = 6;
    // One of 20 jobs of the account is hopeless: the share of `poison` in the site file.
    const JOBS: u32 = 20;
    const HOPELESS: u32 = 10;
    const INTERVAL: Duration = Duration::from_millis(800);

    let record = &context.record;
    let cell = Cell::start(&context.program, &context.folder, 2);
    let (status, _) = cell.operate("PUT", "/config", &configuration(0), 20 * SECOND);
    record.line(&format!("PUT /config: {status}"));
    let history = History::default();
    let workers: Vec<Linked> = (0..WORKERS)
        .map(|at| linked_worker(context, &cell, at, 8_000, &history))
        .collect();
    for linked in &workers {
        linked.worker.report_to(linked.controls.clone());
    }
    if status != 200 || !cell.await_ready(10 * SECOND) {
        return Verdict::NotRun;
    }
    sleep(2 * SECOND);
    let mut first = Caller::new(cell.front_addresses());
    let mut second = Caller::bulk(cell.front_addresses());
    let mut accepted = Vec::new();
    for number in 0..JOBS {
        let id = format!("{:015x}a", 0xa00 + number);
        let is_hopeless = number == HOPELESS;
        // 100 tasks of a core each, on a fleet of 48 cores.
        let job = if is_hopeless {
            r#"{"spec":"60000","steps":[{"count":100,"cpu":1000,"memMb":128,"estimateMs":60000,"gang":true}]}"#
        } else {
            r#"{"spec":"1000","steps":[{"count":4,"cpu":1000,"memMb":128,"estimateMs":1000,"gang":true}]}"#
        };
        if !is_hopeless || context.trouble {
            let status = first.submit(&id, job, 5);
            let what = if is_hopeless { " (100 tasks)" } else { "" };
            record.line(&format!("POST /w/{id}{what}: {status}"));
        }
        let id = format!("{:015x}b", 0xb00 + number);
        let job =
            r#"{"spec":"1000","steps":[{"count":2,"cpu":500,"memMb":128,"estimateMs":1000}]}"#;
        let status = second.submit(&id, job, 5);
        record.line(&format!("POST /b/{id}: {status}"));
        if status == 200 {
            accepted.push(id);
        }
        sleep(INTERVAL);
    }
    record.line("end of the traffic");
    sleep(FINISH);
    let lost = lost_jobs(record, &mut second, &accepted, 2, &history);
    record.line(&format!(
        "{} jobs on /b/ were accepted, {lost} are lost",
        accepted.len()
    ));
    if accepted.is_empty() {
        Verdict::NotRun
    } else if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// A worker loses power shortly after it has started a task. The task's account has reached its
/// cap by the time at which it could start again. Another account submits a job for the one worker
/// that has a label.
pub fn kept_worker(context: &Context) -> Verdict {
    // One of seven workers crashes: the share of `srv_crash` in a site file is 0.14.
    const WORKERS: u8 = 7;
    const UP_AFTER_START: Duration = Duration::from_millis(400);
    const DOWN: Duration = Duration::from_secs(2);
    const CAP: u64 = 2_000;

    let record = &context.record;
    let cell = Cell::start(&context.program, &context.folder, 2);
    let configuration = configuration(CAP);
    let (status, _) = cell.operate("PUT", "/config", &configuration, 20 * SECOND);
    record.line(&format!("PUT /config: {status}"));
    if status != 200 || !cell.await_ready(10 * SECOND) {
        return Verdict::NotRun;
    }
    let history = History::default();
    let mut workers: Vec<Linked> = Vec::new();
    for at in 0..WORKERS {
        // The worker with the label is larger than the others, which suit small tasks better.
        let cpu = if at == 0 { 16_000 } else { 8_000 };
        let linked = linked_worker(context, &cell, at, cpu, &history);
        linked.worker.report_to(linked.controls.clone());
        workers.push(linked);
        // The worker with the label is known first.
        sleep(Duration::from_millis(150));
    }
    sleep(2 * SECOND);
    let mut first = Caller::new(cell.front_addresses());
    let mut second = Caller::bulk(cell.front_addresses());
    let (crashed, service, labelled) = ("000000000000001a", "000000000000002a", "000000000000001b");
    let job = r#"{"spec":"60000","steps":[{"count":1,"cpu":2000,"memMb":128,"estimateMs":60000}]}"#;
    let status = first.submit(crashed, job, 5);
    record.line(&format!("POST /w/{crashed}: {status}"));
    if status != 200 || !wait_for(5 * SECOND, || !history.lock().expect("history").is_empty()) {
        return Verdict::NotRun;
    }
    let job = r#"{"spec":"lasts","steps":[{"count":1,"cpu":2000,"memMb":128,"longRunning":true}]}"#;
    let status = first.submit(service, job, 5);
    record.line(&format!("POST /w/{service}: {status}"));
    if context.trouble {
        let host = history.lock().expect("history")[0].worker.clone();
        let Some(at) = workers.iter().position(|linked| linked.worker.id() == host) else {
            return Verdict::NotRun;
        };
        sleep(UP_AFTER_START);
        workers[at].worker.lose_power();
        sleep(DOWN);
        let life = linked_life(context, &cell, at as u8, 1, 8_000, &history);
        life.worker.report_to(life.controls.clone());
        record.line(&format!("{host} is up again as {}", life.worker.id()));
        workers[at] = life;
    }
    sleep(3 * SECOND);
    let job = r#"{"spec":"1000","steps":[{"count":1,"cpu":1000,"memMb":128,"estimateMs":1000,"requirements":"g"}]}"#;
    let status = second.submit(labelled, job, 5);
    record.line(&format!("POST /b/{labelled}: {status}"));
    record.line("end of the traffic");
    sleep(FINISH);
    for id in [crashed, service] {
        let (status, state) = first.state(id);
        record.line(&format!("GET /w/{id}: {status} {state}"));
    }
    let accepted = if status == 200 {
        vec![labelled.to_owned()]
    } else {
        Vec::new()
    };
    let lost = lost_jobs(record, &mut second, &accepted, 1, &history);
    if accepted.is_empty() {
        Verdict::NotRun
    } else if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// One job of twenty takes far longer than its estimate, on a label that two of six workers have.
/// The workers list its progress in whole percent.
pub fn long_task(context: &Context) -> Verdict {
    const WORKERS: u8 = 6;
    const JOBS: u32 = 20;
    const INTERVAL: Duration = Duration::from_millis(400);
    const WORK_MS: u64 = 300_000;
    const ESTIMATE_MS: u64 = 30_000;
    const WATCHED: Duration = Duration::from_secs(70);
    // Time for which a job whose turn has come may have nothing running.
    const IDLE_MS: u64 = 3_000;

    let record = &context.record;
    let cell = Cell::start(&context.program, &context.folder, 2);
    let (status, _) = cell.operate("PUT", "/config", &configuration(0), 20 * SECOND);
    record.line(&format!("PUT /config: {status}"));
    let history = History::default();
    let workers: Vec<Linked> = (0..WORKERS)
        .map(|at| linked_worker(context, &cell, at, 8_000, &history))
        .collect();
    for linked in &workers {
        linked.worker.report_to(linked.controls.clone());
    }
    if status != 200 || !cell.await_ready(10 * SECOND) {
        return Verdict::NotRun;
    }
    sleep(2 * SECOND);
    let mut caller = Caller::new(cell.front_addresses());
    for number in 1..JOBS {
        let id = format!("{number:015x}a");
        let job =
            r#"{"spec":"1000","steps":[{"count":2,"cpu":500,"memMb":128,"estimateMs":1000}]}"#;
        let status = caller.submit(&id, job, 5);
        record.line(&format!("POST {id}: {status}"));
        sleep(INTERVAL);
    }
    let id = "00000000000000ff";
    let estimate_ms = if context.trouble {
        ESTIMATE_MS
    } else {
        WORK_MS
    };
    let job = format!(
        r#"{{"spec":"{WORK_MS}","steps":[{{"count":1,"cpu":2000,"memMb":128,"estimateMs":{estimate_ms},"requirements":"h"}}]}}"#
    );
    let status = caller.submit(id, &job, 5);
    record.line(&format!(
        "POST {id} (estimate {estimate_ms} ms, work {WORK_MS} ms): {status}"
    ));
    if status != 200 {
        return Verdict::NotRun;
    }
    record.line("end of the traffic");
    sleep(FINISH);
    let from_ms = record.now_ms();
    sleep(WATCHED);
    let to_ms = record.now_ms();
    let (status, state) = caller.state(id);
    record.line(&format!("GET {id}: {status} {state}"));
    let history = history.lock().expect("history");
    let runs: Vec<&Seen> = history.iter().filter(|s| s.task.starts_with(id)).collect();
    let mut idle_since_ms = from_ms;
    let mut longest_idle_ms = 0;
    for run in &runs {
        let end_ms = run.ended.map_or(to_ms, |(at_ms, _)| at_ms);
        longest_idle_ms = longest_idle_ms.max(run.started_ms.saturating_sub(idle_since_ms));
        idle_since_ms = idle_since_ms.max(end_ms);
    }
    longest_idle_ms = longest_idle_ms.max(to_ms.saturating_sub(idle_since_ms));
    let stopped = runs
        .iter()
        .filter(|s| matches!(s.ended, Some((_, "stopped"))))
        .count();
    let longest_ms = runs
        .iter()
        .map(|s| s.ended.map_or(to_ms, |(at, _)| at) - s.started_ms)
        .max();
    record.line(&format!(
        "{} runs of its task, {stopped} of them stopped, the longest of {} ms; longest time without a run: {longest_idle_ms} ms",
        runs.len(),
        longest_ms.unwrap_or(0)
    ));
    if runs.is_empty() {
        Verdict::NotRun
    } else if longest_idle_ms > IDLE_MS {
        record.line(&format!(
            "LOST: {id} has had nothing running for {longest_idle_ms} ms, on idle workers"
        ));
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Three workers lose power in turn and come back. A job waits for a worker with their label; each
/// of them is down already when the job's task is ordered to start there, so that it never starts.
pub fn innocent_task(context: &Context) -> Verdict {
    // Two of fourteen workers are down at a time: the share of `srv_crash` in a site file is 0.14.
    const WORKERS: u8 = 14;
    const DOWN: Duration = Duration::from_millis(2_000);
    const CALM: Duration = Duration::from_secs(12);

    let record = &context.record;
    let cell = Cell::start(&context.program, &context.folder, 2);
    let (status, _) = cell.operate("PUT", "/config", &configuration(0), 20 * SECOND);
    record.line(&format!("PUT /config: {status}"));
    let history = History::default();
    let mut workers: Vec<Linked> = (0..WORKERS)
        .map(|at| linked_worker(context, &cell, at, 8_000, &history))
        .collect();
    for linked in &workers {
        linked.worker.report_to(linked.controls.clone());
        // The choice among equal workers follows the order of their first reports.
        sleep(Duration::from_millis(100));
    }
    if status != 200 || !cell.await_ready(10 * SECOND) {
        return Verdict::NotRun;
    }
    sleep(2 * SECOND);
    let mut caller = Caller::new(cell.front_addresses());
    let id = "5c0e7a21d94b36fa";
    let job = r#"{"spec":"1000","steps":[{"count":1,"cpu":7000,"memMb":128,"estimateMs":1000,"requirements":"h"}]}"#;
    let labelled = [4, 5, 6_usize];
    // Loses power right after a report, so that nothing shows it to the leader for two seconds.
    let lose_power = |workers: &[Linked], at: usize| {
        let linked = &workers[at];
        let mut clients: Vec<Client> = linked.controls.iter().copied().map(Client::new).collect();
        let is_confirmed = linked.worker.report(&mut clients);
        linked.worker.lose_power();
        is_confirmed
    };
    let come_back = |workers: &mut Vec<Linked>, at: usize| {
        let life = linked_life(context, &cell, at as u8, 1, 8_000, &history);
        life.worker.report_to(life.controls.clone());
        record.line(&format!("{} is up", life.worker.id()));
        workers[at] = life;
    };
    if context.trouble {
        lose_power(&workers, labelled[0]);
    }
    let status = caller.submit(id, job, 1);
    record.line(&format!("POST {id}: {status}"));
    if status != 200 {
        return Verdict::NotRun;
    }
    if context.trouble {
        sleep(DOWN - SECOND);
        lose_power(&workers, labelled[2]);
        sleep(SECOND);
        come_back(&mut workers, labelled[0]);
        sleep(SECOND / 2);
        lose_power(&workers, labelled[1]);
        sleep(SECOND / 2);
        come_back(&mut workers, labelled[2]);
        sleep(DOWN - SECOND / 2);
        come_back(&mut workers, labelled[1]);
    }
    sleep(CALM);
    let (status, state) = caller.state(id);
    record.line(&format!("GET {id}: {status} {state}"));
    let history = history.lock().expect("history");
    let runs: Vec<&Seen> = history.iter().filter(|s| s.task.starts_with(id)).collect();
    let crashed = runs
        .iter()
        .filter(|s| matches!(s.ended, Some((_, "power lost"))))
        .count();
    let failed = runs
        .iter()
        .filter(|s| matches!(s.ended, Some((_, "failed"))))
        .count();
    record.line(&format!(
        "{} runs of its task, {failed} ended `failed`, {crashed} ended with their worker",
        runs.len()
    ));
    // A task under which two workers have crashed may be given up.
    if state == "failed" && failed == 0 && crashed < 2 {
        record.line("LOST: shown as failed without cause");
        Verdict::Broken
    } else if status == 200 {
        Verdict::Held
    } else {
        Verdict::NotRun
    }
}

/// A worker drains and announces its end while the link from the control instances to it is cut.
/// It gets no confirmation and ends some seconds later, as the protocol says.
pub fn departure(context: &Context) -> Verdict {
    // One of five workers is cut off: the share of `srv_cut`.
    const WORKERS: u8 = 5;
    const WORK_MS: u64 = 8_000;
    const DRAIN: Duration = Duration::from_millis(2_000);
    // Time from the start of the cut to the announcement, and length of the cut.
    const CUT_BEFORE: Duration = Duration::from_millis(500);
    const CUT: Duration = Duration::from_millis(4_000);
    const ENDS_AFTER: Duration = Duration::from_millis(3_000);

    let record = &context.record;
    let cell = Cell::start(&context.program, &context.folder, 2);
    let (status, _) = cell.operate("PUT", "/config", &configuration(0), 20 * SECOND);
    record.line(&format!("PUT /config: {status}"));
    let history = History::default();
    let workers: Vec<Linked> = (0..WORKERS)
        .map(|at| linked_worker(context, &cell, at, 4_000, &history))
        .collect();
    for linked in &workers {
        linked.worker.report_to(linked.controls.clone());
    }
    if status != 200 || !cell.await_ready(10 * SECOND) {
        return Verdict::NotRun;
    }
    sleep(2 * SECOND);
    let mut caller = Caller::new(cell.front_addresses());
    let id = "5c0e7a21d94b36fa";
    let job = format!(
        r#"{{"spec":"{WORK_MS}","steps":[{{"count":1,"cpu":3000,"memMb":1024,"estimateMs":{WORK_MS}}}]}}"#
    );
    let status = caller.submit(id, &job, 5);
    record.line(&format!("POST {id}: {status}"));
    let is_started = wait_for(5 * SECOND, || !history.lock().expect("history").is_empty());
    if status != 200 || !is_started {
        return Verdict::NotRun;
    }
    let host = history.lock().expect("history")[0].worker.clone();
    let Some(linked) = workers.iter().find(|linked| linked.worker.id() == host) else {
        return Verdict::NotRun;
    };
    let worker = &linked.worker;
    let mut clients: Vec<Client> = linked.controls.iter().copied().map(Client::new).collect();
    worker.drain();
    let is_confirmed = worker.report(&mut clients);
    record.line(&format!(
        "{host}: the report that it drains is confirmed: {is_confirmed}"
    ));
    if !is_confirmed {
        return Verdict::NotRun;
    }
    sleep(DRAIN);
    if context.trouble {
        linked.orders.forth.store(true, Ordering::SeqCst);
        linked.reports.back.store(true, Ordering::SeqCst);
        record.line(&format!(
            "what the control instances send to {host} is held up"
        ));
    }
    let cut_at = Instant::now();
    sleep(CUT_BEFORE);
    let announced_at = Instant::now();
    record.line(&format!("{host}: DELETE /instances/{host}"));
    let path = format!("/instances/{host}");
    let mut is_confirmed = false;
    for client in &mut clients {
        let answer = client.call("DELETE", &path, "", "", SECOND);
        is_confirmed = matches!(answer, Some((200..=299, _)));
        record.line(&format!("{host}: confirmed: {is_confirmed}"));
        if is_confirmed || announced_at.elapsed() >= ENDS_AFTER {
            break;
        }
    }
    if !is_confirmed {
        sleep(ENDS_AFTER.saturating_sub(announced_at.elapsed()));
    }
    worker.end("left");
    sleep(CUT.saturating_sub(cut_at.elapsed()));
    linked.orders.forth.store(false, Ordering::SeqCst);
    linked.reports.back.store(false, Ordering::SeqCst);
    let mut state = (0, String::new());
    wait_for(40 * SECOND, || {
        sleep(Duration::from_millis(300));
        state = caller.state(id);
        state.1 == "completed"
    });
    record.line(&format!("GET {id}: {} {}", state.0, state.1));
    let history = history.lock().expect("history");
    let doubled = doubled(&history);
    for line in &doubled {
        record.line(line);
    }
    if doubled.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
