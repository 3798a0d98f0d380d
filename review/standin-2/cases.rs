//! The cases. Each returns whether the rule held.

use std::io::{Error, Result};
use std::path::Path;
use std::time::{Duration, Instant};

use crate::cell::{Cell, KEY};

/// Time after its confirmation from which a configuration is in force (`configApplyMs`), and some more.
const CONFIG_APPLIED: Duration = Duration::from_millis(2_500);

/// Runs a case.
pub fn run(case: &str, folder: &Path, trouble: bool) -> Result<bool> {
    match case {
        "rollback" => rollback(folder, trouble),
        "permission" => permission(folder, trouble),
        "best_effort" => best_effort(folder, trouble),
        "late_start" => late_start(folder, trouble),
        "large_config" => large_config(folder, trouble),
        other => Err(Error::other(format!("unknown case {other}"))),
    }
}

fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

fn config(version: u64, routes: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"s\",\"healthPath\":\"/health\",\
         \"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"enforcesCapacity\":false,\"spare\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"t\",\"apiKeys\":[\"{KEY}\"],\"priority\":1,\
         \"weight\":10,\"cap\":{{\"cpu\":0,\"memMb\":0,\"gpu\":0}}}}]}}",
        routes.join(",")
    )
}

fn route(name: &str, attempts: u64, advice: bool) -> String {
    let advice = if advice {
        ",\"advice\":{\"decideMs\":10.0,\"eachMs\":0.1,\"validMs\":2500}"
    } else {
        ""
    };
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{}\",\"pathPrefix\":\"/{name}/\",\"type\":\"non_idempotent\",\
         \"timeoutMs\":3000,\"sloMs\":1000,\"priority\":1,\"backend\":\"s\",\"maxAttempts\":{attempts},\
         \"stretch\":2.0{advice},\"public\":false}}",
        crate::cell::HOST
    )
}

fn job(spec: &str, estimate_ms: u64) -> String {
    format!(
        "{{\"spec\":\"{spec}\",\"steps\":[{{\"count\":1,\"cpu\":1000,\"memMb\":256,\"estimateMs\":{estimate_ms}}}]}}"
    )
}

// Waits until all control instances have elected a leader and a worker has run something.
fn warm_up(cell: &Cell, path: &str) -> Result<()> {
    cell.submit(path, &job("ms=200", 200))?;
    await_end(cell, path, Duration::from_secs(20), &["completed"]).map_or_else(
        || Err(Error::other("the first job did not complete")),
        |_| Ok(()),
    )
}

// Returns the state of a job once it is one of those named.
fn await_end(cell: &Cell, path: &str, limit: Duration, wanted: &[&str]) -> Option<String> {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        let state = cell.state_of(path);
        if wanted.contains(&state.as_str()) {
            return Some(state);
        }
        pause(500);
    }
    None
}

// A configuration is changed and then rolled back. Jobs that are handed in after that must be
// handled by what the configuration in force says, not by the version that was rolled back.
fn rollback(folder: &Path, trouble: bool) -> Result<bool> {
    let cell = Cell::start(folder, 6)?;
    let good = [route("a", 3, false), route("b", 3, true)];
    let bad = [route("a", 1, false), route("b", 3, false)];
    cell.configure(&config(3, &good))?;
    warm_up(&cell, "/a/00000000000000aa")?;
    let mut version = 3;
    if trouble {
        cell.configure(&config(8, &bad))?;
        pause(4_000);
        version = 8;
    }
    // The same content again, as the newest version.
    cell.configure(&config(version + 4, &good))?;
    std::thread::sleep(CONFIG_APPLIED);
    for worker in &cell.workers {
        worker.set_needs_ticket(true);
    }
    // The first of three attempts fails.
    cell.submit("/a/000000000000a01a", &job("ms=300 fails=1", 300))?;
    cell.submit("/b/000000000000b01b", &job("ms=300 permit", 300))?;
    let all = ["completed", "failed", "cancelled"];
    let a = await_end(&cell, "/a/000000000000a01a", Duration::from_secs(20), &all);
    let b = await_end(&cell, "/b/000000000000b01b", Duration::from_secs(14), &all);
    cell.record.line(&format!("verdict: /a {a:?}, /b {b:?}"));
    Ok(a.as_deref() == Some("completed") && b.as_deref() == Some("completed"))
}

/// Routes by which the configuration grows with each version.
const GROWTH: usize = 350;
/// Versions before the loss of a control instance.
const VERSIONS_BEFORE: usize = 30;
/// Versions in all.
const VERSIONS: usize = 40;

// A control instance is lost and replaced, and meanwhile the configuration grows by many routes.
// Accepted jobs must go on and their callers must get answers.
fn large_config(folder: &Path, trouble: bool) -> Result<bool> {
    let mut cell = Cell::start(folder, 6)?;
    let first = route("a", 3, false);
    cell.configure(&config(3, std::slice::from_ref(&first)))?;
    warm_up(&cell, "/a/00000000000000aa")?;
    let path = "/a/000000000000d01d";
    let mut routes = vec![first];
    let mut grow = |cell: &Cell, step: usize| {
        let next = (0..GROWTH).map(|at| route(&format!("r-{:08x}", step * GROWTH + at), 3, true));
        routes.extend(next);
        let body = config(7 + step as u64, &routes);
        let (count, size) = (routes.len(), body.len());
        cell.record.line(&format!("{count} routes in {size} bytes"));
        cell.configure(&body)
    };
    if trouble {
        for step in 0..VERSIONS_BEFORE {
            grow(&cell, step)?;
        }
    }
    cell.submit(path, &job("ms=20000", 20_000))?;
    pause(1_000);
    let lost = cell.follower();
    cell.remove_control(lost)?;
    pause(500);
    if trouble {
        let refused = (VERSIONS_BEFORE..VERSIONS).find(|&step| grow(&cell, step).is_err());
        cell.record.line(&format!(
            "first version without acknowledgement: {refused:?}"
        ));
    }
    cell.add_control(lost)?;
    let state = await_end(
        &cell,
        path,
        Duration::from_secs(45),
        &["completed", "failed"],
    );
    cell.record.line(&format!("verdict: {state:?}"));
    Ok(state.as_deref() == Some("completed"))
}

/// Time for which the network holds a start up.
const HELD_UP: Duration = Duration::from_millis(6_000);

// A start is held up on its way and a run elsewhere takes its place. The worker it was for starts again
// under its id, and then the start arrives. No two runs of the task may be at work at the same time.
fn late_start(folder: &Path, trouble: bool) -> Result<bool> {
    let cell = Cell::start(folder, 8)?;
    cell.configure(&config(3, &[route("a", 3, false)]))?;
    warm_up(&cell, "/a/00000000000000aa")?;
    // Lets the clocks of the workers get ahead of those of their next lives.
    pause(4_000);
    let path = "/a/000000000000f01f";
    let task = "000000000000f01f.0.0.0";
    if trouble {
        cell.delays.delay_start_of(task, HELD_UP);
    }
    cell.submit(path, &job("ms=12000", 12_000))?;
    pause(1_500);
    if trouble {
        let lines = cell.record.lines();
        let mut held = lines.iter().filter_map(|l| l.strip_prefix("a start for "));
        let name = held.next().and_then(|rest| rest.split(' ').next());
        let worker = cell.workers.iter().find(|w| Some(w.name.as_str()) == name);
        let worker = worker.ok_or_else(|| Error::other("no start was held up"))?;
        worker.crash();
        // Another job makes a worker that is up the preferred one for the next run.
        pause(700);
        cell.submit("/a/000000000000f02f", &job("ms=15000", 15_000))?;
        pause(800);
        worker.boot(0);
    }
    let state = await_end(
        &cell,
        path,
        Duration::from_secs(30),
        &["completed", "failed"],
    );
    cell.record.line(&format!("verdict: {state:?}"));
    // The runs of the task that are at work, by worker, as the workers saw it.
    let (mut running, mut doubled) = (Vec::new(), 0);
    for line in &cell.record.lines() {
        let words: Vec<&str> = line.split(' ').collect();
        match (words.get(1), words.get(2)) {
            (Some(&"starts"), Some(&of)) if of == task => {
                running.push(words[0].to_owned());
                doubled += u64::from(running.len() > 1);
            }
            (Some(&"ends"), Some(&of)) if of == task => running.retain(|w| w != words[0]),
            (Some(&"crashes"), _) => running.retain(|w| w != words[0]),
            _ => {}
        }
    }
    cell.record
        .line(&format!("{doubled} starts beside another run of the task"));
    Ok(doubled == 0 && state.as_deref() == Some("completed"))
}

// A queue gets a permission service while one of its jobs waits for an earlier step. The job must go on.
fn permission(folder: &Path, trouble: bool) -> Result<bool> {
    let cell = Cell::start(folder, 6)?;
    cell.configure(&config(3, &[route("a", 3, false)]))?;
    warm_up(&cell, "/a/00000000000000aa")?;
    let path = "/a/000000000000a02a";
    cell.submit(
        path,
        "{\"spec\":\"ms=6000 permit\",\"steps\":[{\"count\":2,\"cpu\":1000,\"memMb\":256,\"estimateMs\":6000},\
         {\"count\":2,\"cpu\":1000,\"memMb\":256,\"estimateMs\":6000,\"after\":[0]}]}",
    )?;
    pause(1_000);
    cell.configure(&config(7, &[route("a", 3, trouble)]))?;
    std::thread::sleep(CONFIG_APPLIED);
    for worker in &cell.workers {
        worker.set_needs_ticket(trouble);
    }
    let state = await_end(
        &cell,
        path,
        Duration::from_secs(60),
        &["completed", "failed"],
    );
    cell.record.line(&format!("verdict: {state:?}"));
    Ok(state.as_deref() == Some("completed"))
}

// Each worker runs a task that serves users of its own, and is idle otherwise. A job that fills
// must run beside them.
fn best_effort(folder: &Path, trouble: bool) -> Result<bool> {
    const WORKERS: usize = 6;
    let cell = Cell::start(folder, WORKERS)?;
    cell.configure(&config(3, &[route("a", 3, false)]))?;
    warm_up(&cell, "/a/00000000000000aa")?;
    if trouble {
        let serving = format!(
            "{{\"spec\":\"ms=600000\",\"steps\":[{{\"count\":{WORKERS},\"cpu\":1000,\"memMb\":256,\"estimateMs\":1000,\
             \"longRunning\":true,\"maxPerServer\":1,\"targetMs\":500}}]}}"
        );
        cell.submit("/a/000000000000a03a", &serving)?;
        pause(2_000);
    }
    let path = "/a/000000000000a04a";
    cell.submit(
        path,
        "{\"spec\":\"ms=1000\",\"steps\":[{\"count\":2,\"cpu\":1000,\"memMb\":256,\"estimateMs\":1000,\
         \"fills\":true}]}",
    )?;
    let state = await_end(
        &cell,
        path,
        Duration::from_secs(40),
        &["completed", "failed"],
    );
    cell.record.line(&format!("verdict: {state:?}"));
    Ok(state.as_deref() == Some("completed"))
}
