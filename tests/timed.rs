//! Real-time behaviour of real daemons. The results depend on the speed of the machine, so
//! these tests are ignored by default. Run them with:
//!
//! `cargo test --release --test timed -- --ignored --test-threads 1`

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use plantaincross::standin::Behaviour;
use support::{Cell, WAIT_TIMEOUT, kind};
use tokio::time::{Instant, sleep};

macro_rules! timed {
    ($(async fn $name:ident() $body:block)*) => {
        $(#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        #[ignore = "timed"]
        async fn $name() $body)*
    };
}

timed! {
    async fn silent_upstream_costs_one_timeout_and_is_avoided() {
        let cell = Cell::serving(&["a"], 3, Duration::from_millis(5)).await;
        cell.all_upstreams()[0].set_behaviour(Behaviour::Silent);
        let mut late = 0;
        let mut client = cell.client(0, "big-key");
        for _ in 0..60 {
            let headers = [("x-deadline-ms", "400")];
            let answer = client
                .send("GET", "/v1/services/orders/x", &headers, "")
                .await
                .expect("answers");
            late += u32::from(!answer.status().is_success());
        }
        assert!(late <= 4, "{late} of 60 requests failed because of the silent upstream");
        cell.check_capacity();
    }

    async fn deadline_is_answered_at_once_and_holds_the_slot() {
        let cell = Cell::serving(&["a"], 1, Duration::from_millis(900)).await;
        let mut client = cell.client(0, "big-key");
        let started = Instant::now();
        let headers = [("x-deadline-ms", "100")];
        let answer = client
            .send("POST", "/v1/services/orders/x", &headers, "")
            .await
            .expect("answers");
        assert_eq!(kind(answer.body()), ("deadline_exceeded".into(), "unknown".into()));
        assert!(started.elapsed() < Duration::from_millis(800));
        let more = (0..12).map(|_| cell.get(0, "big-key"));
        futures_util::future::join_all(more).await;
        cell.check_capacity();
    }

    async fn leaving_upstream_gets_nothing_new() {
        let cell = Cell::serving(&["a", "a"], 2, Duration::from_millis(5)).await;
        let upstreams = cell.all_upstreams();
        upstreams[0].set_leaving(true);
        sleep(Duration::from_millis(2_500)).await;
        let before = upstreams[0].stats(|stats| stats.runs.len());
        for turn in 0..40 {
            let answer = cell.get(turn % 2, "big-key").await.expect("answers");
            assert!(answer.status().is_success(), "{answer:?}");
        }
        assert_eq!(upstreams[0].stats(|stats| stats.runs.len()), before);
    }

    async fn withdrawn_key_is_refused_everywhere_within_two_seconds() {
        let cell = Cell::serving(&["a", "b", "a", "b"], 1, Duration::from_millis(5)).await;
        cell.give("small", "doomed", None).await;
        for at in 0..4 {
            let started = Instant::now();
            while !cell.get(at, "doomed").await.is_ok_and(|a| a.status().is_success()) {
                assert!(started.elapsed() < WAIT_TIMEOUT);
                sleep(Duration::from_millis(20)).await;
            }
        }
        let mut operator = cell.operator(2);
        let body: plantaincross::http::Withdrawal = operator
            .call("DELETE", "/v1/keys/doomed", None::<&()>)
            .await
            .expect("withdrawn");
        assert!(body.accepted);
        sleep(Duration::from_secs(2)).await;
        for at in 0..4 {
            let answer = cell.get(at, "doomed").await.expect("answers");
            assert_eq!(kind(answer.body()), ("key_withdrawn".into(), "not_run".into()));
        }
    }

    async fn flooding_team_does_not_delay_a_small_one() {
        let cell = Cell::serving(&["a", "a"], 2, Duration::from_millis(20)).await;
        // There are 16 slots with 20 ms per request; the big team keeps 120 requests pending.
        let token = tokio_util::sync::CancellationToken::new();
        let mut floods = Vec::new();
        for at in 0..2 {
            for _ in 0..60 {
                let mut client = cell.client(at, "big-key");
                let token = token.clone();
                floods.push(tokio::spawn(async move {
                    while !token.is_cancelled() {
                        let _ = client.send("GET", "/v1/services/orders/x", &[], "").await;
                    }
                }));
            }
        }
        sleep(Duration::from_millis(500)).await;
        let mut waits = BTreeMap::new();
        let mut client = cell.client(0, "small-key");
        for at in 0..60 {
            let started = Instant::now();
            let answer = client
                .send("GET", "/v1/services/orders/x", &[], "")
                .await
                .expect("answers");
            assert!(answer.status().is_success(), "{answer:?}");
            waits.insert(started.elapsed(), at);
        }
        token.cancel();
        let slowest = *waits.keys().nth(57).expect("sixty");
        // With FIFO order the request would wait behind 120 others.
        assert!(slowest < Duration::from_millis(600), "{slowest:?}");
        for flood in floods {
            let _ = flood.await;
        }
    }

    async fn limit_holds_and_follows_shifting_demand() {
        let cell = Cell::start(&["a", "b", "a", "b"]).await;
        cell.configure(&support::CONFIG.replace("[team big]\nshare = 3\nlimit = 100", "[team big]\nshare = 3\nlimit = 8")).await;
        cell.give("big", "big-key", None).await;
        for zone in ["a", "b"] {
            for at in 0..3 {
                cell.upstream(zone, &format!("u-{zone}-{at}"), 4, Duration::from_millis(50)).await;
            }
        }
        for at in 0..4 {
            cell.wait_serving(at).await;
        }
        // All demand is in zone a, then in zone b, and so on. 8 running requests of 50 ms allow
        // 160 per second.
        for zone in [0, 1, 0, 1] {
            let token = tokio_util::sync::CancellationToken::new();
            let mut tasks = Vec::new();
            for turn in 0..24 {
                let mut client = cell.client(zone + 2 * (turn % 2), "big-key");
                let token = token.clone();
                tasks.push(tokio::spawn(async move {
                    let mut times = Vec::new();
                    while !token.is_cancelled() {
                        let answer = client.send("GET", "/v1/services/orders/x", &[], "").await;
                        if answer.is_ok_and(|a| a.status().is_success()) {
                            times.push(Instant::now());
                        }
                    }
                    times
                }));
            }
            let started = Instant::now();
            let mut peak_running = 0;
            while started.elapsed() < Duration::from_secs(4) {
                let running: u32 = cell
                    .all_upstreams()
                    .iter()
                    .map(|u| u.stats(|stats| stats.running))
                    .sum();
                peak_running = peak_running.max(running);
                assert!(running <= 8, "{running} running");
                sleep(Duration::from_millis(5)).await;
            }
            token.cancel();
            let mut times = Vec::new();
            for task in tasks {
                times.extend(task.await.expect("runs"));
            }
            let second = |from: u64, to: u64| {
                let (from, to) = (Duration::from_secs(from), Duration::from_secs(to));
                let within = |t: &&Instant| t.duration_since(started) >= from && t.duration_since(started) < to;
                times.iter().filter(within).count()
            };
            println!("zone {zone}: {} in the first second, {} in the third, most {peak_running}", second(0, 1), second(2, 3));
            assert!(second(2, 3) >= 128, "{} requests per second of 160 possible", second(2, 3));
        }
    }

    async fn lost_connections_cost_one_timeout_each_and_run_nothing_twice() {
        let cell = Cell::start(&["a", "a"]).await;
        cell.configure(support::CONFIG).await;
        cell.give("big", "big-key", None).await;
        let mut relays = Vec::new();
        for at in 0..2 {
            relays.push(cell.relayed_upstream("a", &format!("u{at}")).await.1);
        }
        cell.wait_serving(0).await;
        cell.wait_serving(1).await;
        let mut client = cell.client(0, "big-key");
        let mut failed = 0;
        for turn in 0..120 {
            // At two points, every connection that carries data is lost permanently.
            let dropping = turn == 20 || turn == 60;
            for relay in &relays {
                relay.set_dropping(dropping);
            }
            let id = format!("lost-{turn}");
            let headers = [("idempotency-key", id.as_str()), ("x-deadline-ms", "500")];
            let answer = client
                .send("POST", "/v1/services/orders/x", &headers, "x")
                .await
                .expect("answers");
            if !answer.status().is_success() {
                let (kind, run) = kind(answer.body());
                assert!(run != "not_run" || cell.runs(&id) == 0, "{kind}");
                failed += 1;
            }
            assert!(cell.runs(&id) <= 1, "{id} ran {} times", cell.runs(&id));
        }
        assert!(failed <= 4, "{failed} of 120 requests failed at two connection losses");
    }
}
