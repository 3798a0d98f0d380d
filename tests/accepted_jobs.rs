//! Jobs of legal size that are accepted must not make an instance run out of memory, nor keep it
//! from answering others.

#[path = "support/crowd.rs"]
mod crowd;
#[path = "support/memory.rs"]
mod memory;
#[path = "support/pipeline.rs"]
mod pipeline;
mod support;

use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use memory::{MEGABYTE, Watch};
use plantaincross::core::job::Size;
use plantaincross::standin::worker;
use support::Cell;

/// Memory of the smallest machine.
const MEMORY_MAX: usize = 120 * MEGABYTE;
/// Clients that send one job after the other.
const CLIENTS: usize = 4;

async fn start() -> Cell {
    let cell = Cell::serving(&["a"], 1, Duration::from_millis(5)).await;
    let options = worker::Options {
        name: "w".into(),
        zone: "a".into(),
        rack: "r".into(),
        size: Size {
            cpu_milli: 1_000,
            memory_mb: 1_000,
            accelerators: 0,
        },
        fails_tasks: false,
    };
    let (entries, token) = (vec![cell.instances[0].http], cell.token.child_token());
    let stats = Arc::new(Mutex::default());
    tokio::spawn(worker::run(options, entries, None, stats, token));
    cell
}

/// Returns a request for a job whose tasks run until it is cancelled, one at a time.
fn job(key: &str, tasks: usize) -> String {
    let body = format!(
        r#"{{"name":"n","class":"service","tasks":{tasks},
        "size":{{"cpu_milli":1000,"memory_mb":1000}}}}"#
    );
    format!(
        "POST /v1/jobs HTTP/1.1\r\nhost: any\r\nauthorization: Bearer {key}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

async fn withstands(count: usize, tasks: usize) {
    let mut cell = start().await;
    let address = cell.instances[0].http;
    let small = job("small-key", 3);
    let expect_accepted = async |text: &str| {
        let text = text.to_owned();
        let asked = move || crowd::expect_answer(address, &text, 200);
        tokio::task::spawn_blocking(asked).await.expect("answered");
    };
    expect_accepted(&small).await;
    let watch = |cell: &Cell| {
        let pid = cell.instances[0].pid();
        Watch::start(pid, Ipv4Addr::LOCALHOST, Some(address.port()))
    };
    let watched = watch(&cell);
    let large = job("big-key", tasks);
    let clients = (0..CLIENTS).map(|_| {
        let large = large.clone();
        tokio::task::spawn_blocking(move || {
            let answers = (0..count / CLIENTS).map(|_| crowd::request(address, &large));
            answers.filter(|answer| *answer == Some(200)).count()
        })
    });
    let clients: Vec<_> = clients.collect();
    let mut accepted = 0;
    for client in clients {
        accepted += client.await.expect("sent");
    }
    expect_accepted(&small).await;
    expect_accepted(&job("big-key", 3)).await;
    let peak = watched.stop();
    cell.kill(0);
    cell.restart(0);
    let watched = watch(&cell);
    expect_accepted(&small).await;
    // A new leader places the jobs when the leases of the old one have run out.
    tokio::time::sleep(Duration::from_secs(15)).await;
    expect_accepted(&small).await;
    let later = watched.stop();
    println!("{accepted} of {count} accepted, {peak} B, {later} B after a restart");
    assert!(peak <= MEMORY_MAX, "{peak} of {MEMORY_MAX} B");
    assert!(
        later <= MEMORY_MAX,
        "{later} of {MEMORY_MAX} B after a restart"
    );
}

// Responses that nobody reads: a list of a thousand jobs takes 200 KB.
#[test]
fn lists_of_jobs_that_nobody_reads() {
    const JOBS: usize = 1_000;
    const CONNECTIONS: usize = 800;
    const REQUESTS: usize = 100;
    const OBSERVATION: Duration = Duration::from_secs(12);
    let _one = crowd::exclusive();
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    let cell = runtime.block_on(start());
    let (address, pid) = (cell.instances[0].http, cell.instances[0].pid());
    crowd::expect_answer(address, &job("big-key", 1), 200);
    for _ in 1..JOBS {
        crowd::request(address, &job("big-key", 1));
    }
    let list = "GET /v1/jobs HTTP/1.1\r\nhost: any\r\nauthorization: Bearer big-key\r\n\r\n";
    let watch = Watch::start(pid, Ipv4Addr::LOCALHOST, Some(address.port()));
    let requests = list.repeat(REQUESTS).into_bytes();
    let clients = pipeline::send_without_reading(address, CONNECTIONS, &requests);
    // The instance makes the responses one after the other.
    std::thread::sleep(OBSERVATION);
    crowd::expect_answer(address, &job("small-key", 1), 200);
    crowd::expect_answer(address, list, 200);
    let peak = watch.stop();
    drop(clients);
    println!("{peak} B");
    assert!(peak <= MEMORY_MAX, "{peak} of {MEMORY_MAX} B");
}

macro_rules! withstands {
    ($($name:ident: $count:literal, $tasks:literal;)*) => {
        $(#[test]
        fn $name() {
            let _one = crowd::exclusive();
            let runtime = tokio::runtime::Runtime::new().expect("runtime");
            runtime.block_on(withstands($count, $tasks));
        })*
    };
}

withstands! {
    jobs_of_the_largest_number_of_tasks: 1_600, 20_000;
}
