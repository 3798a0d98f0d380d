//! The scripts of the cases.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::cell::{Caller, Cell, ZONES, configuration};
use crate::http::Client;
use crate::proxy::{self, Cut};
use crate::worker::{History, Seen, Site, Worker};
use crate::{Context, Verdict};

const SECOND: Duration = Duration::from_secs(1);

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

// Starts a worker whose links can be cut.
fn linked_worker(context: &Context, cell: &Cell, at: u8, cpu: u64, history: &History) -> Linked {
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
        id: format!("i-{at:04}"),
        zone: ZONES[usize::from(at) % ZONES.len()],
        rack: format!("r{}-{at}", at % 3),
        cpu,
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
    let (status, _) = cell.operate("PUT", "/config", &configuration(1, 0), 20 * SECOND);
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
    let id = "5c0e7a21d94b36f8";
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
    record.line(&format!("{host}: the report that it drains is confirmed: {is_confirmed}"));
    if !is_confirmed {
        return Verdict::NotRun;
    }
    sleep(DRAIN);
    if context.trouble {
        linked.orders.forth.store(true, Ordering::SeqCst);
        linked.reports.back.store(true, Ordering::SeqCst);
        record.line(&format!("what the control instances send to {host} is held up"));
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
