//! Performance figures of a cell of nine daemons in four zones, checked against their bounds.
//! The results depend on the machine, so these tests are ignored by default. Run them with:
//!
//! `cargo test --release --test figures -- --ignored --nocapture --test-threads 1`

mod support;

use std::io::Write;
use std::time::Duration;

use plantaincross::client::Client;
use plantaincross::cmd::push::push;
use plantaincross::config::Source;
use support::{CONFIG, Cell, WAIT_TIMEOUT};
use tokio::time::{Instant, sleep};

const ZONES_OF_NINE: [&str; 9] = ["a", "b", "c", "d", "a", "b", "c", "d", "a"];

fn show(name: &str, value: Duration, bound: Duration) {
    println!("{name:<44}{value:>12.1?}{bound:>12.1?}");
    assert!(value <= bound, "{name}");
}

/// Returns the CPU time that a process has used, and its resident memory in bytes.
fn usage(pid: u32) -> (Duration, u64) {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("stat");
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .expect("fields")
        .split_whitespace()
        .collect();
    let ticks = |at: usize| fields[at].parse::<u64>().expect("number");
    let cpu = Duration::from_millis((ticks(11) + ticks(12)) * 10);
    (cpu, ticks(21) * 4_096)
}

async fn sent_bytes(cell: &Cell, at: usize) -> u64 {
    let mut client = Client::new(cell.instances[at].http, None, WAIT_TIMEOUT);
    let answer = client
        .send("GET", "/metrics", &[], "")
        .await
        .expect("answers");
    let text = String::from_utf8_lossy(answer.body()).into_owned();
    let line = text
        .lines()
        .find(|l| l.starts_with("plantaincross_control_bytes_sent "))
        .expect("metric");
    line.rsplit(' ')
        .next()
        .and_then(|v| v.parse().ok())
        .expect("number")
}

/// Returns the highest resource usage of any instance over `duration`: CPU in percent of a core,
/// resident memory in bytes, and bytes sent per second.
async fn highest_usage(cell: &Cell, duration: Duration) -> (f64, u64, u64) {
    let mut before = Vec::new();
    for at in 0..cell.instances.len() {
        before.push((usage(cell.instances[at].pid()), sent_bytes(cell, at).await));
    }
    sleep(duration).await;
    let mut highest: (f64, u64, u64) = (0.0, 0, 0);
    for (at, ((cpu, _), bytes)) in before.into_iter().enumerate() {
        let (cpu_after, memory) = usage(cell.instances[at].pid());
        let sent = sent_bytes(cell, at).await - bytes;
        let cpu_percent = (cpu_after - cpu).as_secs_f64() / duration.as_secs_f64() * 100.0;
        highest.0 = highest.0.max(cpu_percent);
        highest.1 = highest.1.max(memory);
        highest.2 = highest.2.max((sent as f64 / duration.as_secs_f64()) as u64);
    }
    highest
}

macro_rules! figures {
    ($(async fn $name:ident() $body:block)*) => {
        $(#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        #[ignore = "timed"]
        async fn $name() $body)*
    };
}

figures! {
    async fn spread_of_changes() {
        let cell = Cell::serving(&ZONES_OF_NINE, 1, Duration::from_millis(5)).await;
        let mut slowest = Duration::ZERO;
        for version in 1..11 {
            let text = CONFIG.replace("share = 3", &format!("share = {}", 3 + version));
            let files = vec![Source { name: "a.ini".to_owned(), text }];
            let mut operator = cell.operator(version as usize % 9);
            let started = Instant::now();
            push(&mut operator, version, "test", files).await.expect("pushed");
            loop {
                let all = cell.status(0).await;
                if all.len() == 9 && all.iter().all(|s| s.version > version) {
                    break;
                }
                assert!(started.elapsed() < WAIT_TIMEOUT);
            }
            slowest = slowest.max(started.elapsed());
        }
        show("push until in force at 9 instances, slowest of 10", slowest, Duration::from_secs(7));
        let mut slowest = Duration::ZERO;
        for round in 0..5 {
            let key = format!("doomed-{round}");
            cell.give("small", &key, None).await;
            for at in 0..9 {
                while !cell.get(at, &key).await.is_ok_and(|a| a.status().is_success()) {
                    sleep(Duration::from_millis(10)).await;
                }
            }
            let started = Instant::now();
            let mut operator = cell.operator(round);
            let path = format!("/v1/keys/{key}");
            let _: plantaincross::http::Withdrawal =
                operator.call("DELETE", &path, None::<&()>).await.expect("withdrawn");
            for at in 0..9 {
                while cell.get(at, &key).await.is_ok_and(|a| a.status().is_success()) {}
            }
            slowest = slowest.max(started.elapsed());
        }
        show("withdrawal until in force everywhere, slowest of 5", slowest, Duration::from_secs(3));
    }

    async fn fail_over() {
        let mut cell = Cell::serving(&ZONES_OF_NINE, 1, Duration::from_millis(5)).await;
        let leader = cell.status(8).await[0].root_leader.clone().expect("known");
        let at = cell.instances.iter().position(|i| i.name == leader).expect("known");
        let started = Instant::now();
        cell.kill(at);
        let other = (at + 1) % 9;
        let mut version = 1;
        loop {
            let files = vec![Source { name: "a.ini".to_owned(), text: CONFIG.to_owned() }];
            let mut operator = cell.operator(other);
            if push(&mut operator, version, "test", files).await.is_ok() {
                break;
            }
            version = cell.status(other).await.first().map_or(version, |s| s.version);
            assert!(started.elapsed() < WAIT_TIMEOUT);
        }
        show("root leader killed until next accepted push", started.elapsed(), Duration::from_secs(3));
        cell.restart(at);
        cell.wait_serving(at).await;
        sleep(Duration::from_secs(2)).await;
        let zone = cell.zone_leader(other, "a").await;
        let witness = [0, 4, 8].into_iter().find(|i| *i != zone).expect("three in the zone");
        let started = Instant::now();
        cell.kill(zone);
        loop {
            let all = cell.status(witness).await;
            if all.iter().any(|s| s.leads_zone && s.zone == "a" && s.name != format!("i{zone}")) {
                break;
            }
            assert!(started.elapsed() < WAIT_TIMEOUT);
        }
        show("zone leader killed until the next one acts", started.elapsed(), Duration::from_secs(3));
    }

    async fn cost_of_control() {
        let cell = Cell::serving(&ZONES_OF_NINE, 2, Duration::from_millis(5)).await;
        sleep(Duration::from_secs(3)).await;
        let (cpu, memory, bytes) = highest_usage(&cell, Duration::from_secs(10)).await;
        println!("idle, highest of all instances: {cpu:.2} % of a core, {:.1} MB, {bytes} B/s", memory as f64 / 1e6);
        assert!(cpu <= 1.8, "{cpu} %");
        assert!(memory <= 32 << 20, "{memory} bytes");
        assert!(bytes <= 5_000, "{bytes} bytes per second");
    }

    async fn commit_latency_against_its_floor() {
        let cell = Cell::serving(&["a", "b", "c"], 1, Duration::from_millis(5)).await;
        let path = cell.folder.path().join("floor");
        let mut file = std::fs::File::create(&path).expect("file");
        let mut floor = Vec::new();
        for _ in 0..200 {
            let started = Instant::now();
            file.write_all(&[7; 200]).expect("writes");
            file.sync_data().expect("syncs");
            floor.push(started.elapsed());
        }
        let mut round_trips = Vec::new();
        let mut client = Client::new(cell.instances[0].http, None, WAIT_TIMEOUT);
        for _ in 0..200 {
            let started = Instant::now();
            client.send("GET", "/healthz", &[], "").await.expect("answers");
            round_trips.push(started.elapsed());
        }
        let mut commits = Vec::new();
        for at in 0..200 {
            let started = Instant::now();
            cell.give("big", &format!("key-{at}"), None).await;
            commits.push(started.elapsed());
        }
        for times in [&mut floor, &mut round_trips, &mut commits] {
            times.sort_unstable();
        }
        println!(
            "p50: sync {:?}, HTTP round trip {:?}, commit {:?}; p99 of commits {:?}",
            floor[100], round_trips[100], commits[100], commits[197]
        );
        let started = Instant::now();
        let gives = (0..500).map(|at| {
            let key = format!("many-{at}");
            let cell = &cell;
            async move { cell.give("big", &key, None).await }
        });
        futures_util::future::join_all(gives).await;
        println!("commits per second, 500 concurrent: {:.0}", 500.0 / started.elapsed().as_secs_f64());
    }

    async fn latency_added_by_an_entry_instance() {
        let cell = Cell::serving(&["a", "a"], 2, Duration::ZERO).await;
        let upstream = cell.all_upstreams()[0].address();
        let mut direct = Client::new(upstream, None, WAIT_TIMEOUT);
        let mut through = cell.client(0, "big-key");
        let (mut direct_times, mut through_times) = (Vec::new(), Vec::new());
        for _ in 0..500 {
            let started = Instant::now();
            direct.send("GET", "/x", &[], "").await.expect("answers");
            direct_times.push(started.elapsed());
            let started = Instant::now();
            through.send("GET", "/v1/services/orders/x", &[], "").await.expect("answers");
            through_times.push(started.elapsed());
        }
        direct_times.sort_unstable();
        through_times.sort_unstable();
        let added = through_times[250].saturating_sub(direct_times[250]);
        println!("p50 direct {:?}, through {:?}", direct_times[250], through_times[250]);
        show("latency added at p50, one request at a time", added, Duration::from_millis(1));
    }
}

/// Resource usage by number of instances and of idle workers, for capacity planning.
mod slopes {
    use std::sync::{Arc, Mutex};

    use plantaincross::core::job::Size;
    use plantaincross::standin::worker;

    use super::*;

    #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
    #[ignore = "timed"]
    async fn slope_of_instances() {
        for count in [3, 6, 12] {
            let zones: Vec<&str> = (0..count).map(|at| ZONES_OF_NINE[at % 4]).collect();
            let cell = Cell::serving(&zones, 1, Duration::from_millis(5)).await;
            sleep(Duration::from_secs(3)).await;
            let (cpu, memory, bytes) = highest_usage(&cell, Duration::from_secs(10)).await;
            println!(
                "{count} instances: {cpu:.2} %, {:.1} MB, {bytes} B/s",
                memory as f64 / 1e6
            );
        }
    }

    #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
    #[ignore = "timed"]
    async fn slope_of_workers() {
        let cell = Cell::serving(&["a", "a", "a"], 1, Duration::from_millis(5)).await;
        let entries: Vec<_> = cell.instances.iter().map(|i| i.http).collect();
        let stats: Arc<Mutex<worker::Stats>> = Arc::default();
        let mut started = 0;
        for count in [0, 100, 200, 400] {
            while started < count {
                let options = worker::Options {
                    name: format!("w{started}"),
                    zone: "a".to_owned(),
                    rack: format!("r{}", started / 6),
                    size: Size {
                        cpu_milli: 32_000,
                        memory_mb: 131_072,
                        accelerators: 0,
                    },
                    fails_tasks: false,
                };
                // Each worker uses one instance, as it does behind a load balancer.
                let entry = vec![entries[started % 3]];
                let token = cell.token.child_token();
                tokio::spawn(worker::run(options, entry, None, Arc::clone(&stats), token));
                started += 1;
            }
            sleep(Duration::from_secs(5)).await;
            let (cpu, memory, bytes) = highest_usage(&cell, Duration::from_secs(8)).await;
            println!(
                "{count} workers: {cpu:.2} %, {:.1} MB, {bytes} B/s",
                memory as f64 / 1e6
            );
        }
    }
}
