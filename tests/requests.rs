//! Request handling with real daemon processes, sockets and signals.

mod support;

use std::time::Duration;

use plantaincross::core::control::PEER_SILENCE_MAX;
use plantaincross::standin::Behaviour;
use support::{Cell, WAIT_TIMEOUT, kind};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

const ZONE: [&str; 3] = ["a", "a", "a"];
/// Successful requests that each caller must reach.
const REQUESTS_PER_CALLER: usize = 40;

macro_rules! cases {
    ($($(#[$doc:meta])* async fn $name:ident() $body:block)*) => {
        $($(#[$doc])* #[tokio::test(flavor = "multi_thread", worker_threads = 2)] async fn $name() $body)*
    };
}

cases! {
    async fn no_upstream_is_overcommitted_by_all_instances_at_once() {
        let mut cell = Cell::serving(&ZONE, 2, Duration::from_millis(20)).await;
        // Refused callers retry until the required number of requests has succeeded.
        let flood = |at: usize, key: &'static str, requests: usize| {
            let mut client = cell.client(at, key);
            tokio::spawn(async move {
                let started = Instant::now();
                let mut done = 0;
                while done < requests && started.elapsed() < WAIT_TIMEOUT {
                    let answer = client.send("GET", "/v1/services/orders/x", &[], "").await;
                    if answer.is_ok_and(|a| a.status().is_success()) {
                        done += 1;
                    } else {
                        sleep(Duration::from_millis(50)).await;
                    }
                }
                done
            })
        };
        let mut tasks = Vec::new();
        for at in 0..3 {
            for turn in 0..12 {
                let key = if turn % 2 == 0 { "big-key" } else { "small-key" };
                tasks.push(flood(at, key, REQUESTS_PER_CALLER));
            }
        }
        sleep(Duration::from_millis(500)).await;
        cell.kill(2);
        sleep(Duration::from_millis(500)).await;
        cell.pause(1);
        sleep(Duration::from_millis(1_500)).await;
        cell.resume(1);
        cell.restart(2);
        let mut done = 0;
        for task in tasks {
            done += task.await.expect("runs");
        }
        assert_eq!(done, 3 * 12 * REQUESTS_PER_CALLER);
        cell.wait_serving(2).await;
        cell.check_capacity();
    }

    async fn repeated_order_runs_once_at_every_instance() {
        let cell = Cell::serving(&["a", "b", "a", "b"], 1, Duration::from_millis(50)).await;
        for id in ["one", "two", "three", "four"] {
            let answers = futures_util::future::join_all(
                (0..8).map(|turn| cell.order(turn % 4, id, "12 reams")),
            )
            .await;
            for answer in answers.into_iter().flatten() {
                let (kind, run) = kind(answer.body());
                let answered = answer.status().is_success();
                assert!(answered || kind == "in_progress" && run == "unknown", "{kind} {run}");
            }
            let again = cell.order(3, id, "12 reams").await.expect("answers");
            assert!(again.status().is_success(), "{again:?}");
            assert!(again.body().ends_with(b"12 reams\n"));
            assert_eq!(cell.runs(id), 1);
            let other = cell.order(1, id, "13 reams").await.expect("answers");
            assert_eq!(kind(other.body()).0, "id_reused");
        }
    }

    async fn order_runs_once_when_its_instance_dies() {
        let mut cell = Cell::serving(&ZONE, 1, Duration::from_millis(300)).await;
        let leader = cell.zone_leader(0, "a").await;
        let victim = (leader + 1) % 3;
        for (round, wait) in [0, 2, 5, 20, 150, 299].into_iter().enumerate() {
            let id = format!("order-{round}");
            let mut client = cell.client(victim, "big-key");
            let order = {
                let id = id.clone();
                tokio::spawn(async move {
                    let headers = [("idempotency-key", id.as_str())];
                    client.send("POST", "/v1/services/orders/o", &headers, "1").await
                })
            };
            sleep(Duration::from_millis(wait)).await;
            cell.kill(victim);
            let _ = order.await;
            let started = Instant::now();
            loop {
                let answer = cell.order(leader, &id, "1").await.expect("answers");
                let (kind, run) = kind(answer.body());
                if answer.status().is_success() {
                    break;
                }
                // The path differs from the first attempt's, so a claim made by that
                // attempt is detected by its digest.
                assert!(run != "not_run" || cell.runs(&id) == 0, "{kind} {run}");
                if kind != "claim_unavailable" && kind != "overloaded" {
                    break;
                }
                assert!(started.elapsed() < WAIT_TIMEOUT);
                sleep(Duration::from_millis(100)).await;
            }
            assert!(cell.runs(&id) <= 1, "{id} ran {} times", cell.runs(&id));
            cell.restart(victim);
            cell.wait_serving(victim).await;
        }
    }

    async fn orders_stay_claimed_when_the_zone_leader_dies() {
        let mut cell = Cell::serving(&ZONE, 1, Duration::from_millis(10)).await;
        // Claims are synchronised to the other instances of the zone every 1 s.
        sleep(Duration::from_millis(2_500)).await;
        let leader = cell.zone_leader(0, "a").await;
        let other = (leader + 1) % 3;
        for id in ["a", "b", "c"] {
            let answer = cell.order(leader, id, "x").await.expect("answers");
            assert!(answer.status().is_success(), "{answer:?}");
        }
        cell.kill(leader);
        cell.wait_serving(other).await;
        for id in ["a", "b", "c"] {
            let started = Instant::now();
            let answer = loop {
                let answer = cell.order(other, id, "x").await.expect("answers");
                if kind(answer.body()).0 != "claim_unavailable" {
                    break answer;
                }
                assert!(started.elapsed() < WAIT_TIMEOUT);
                sleep(Duration::from_millis(100)).await;
            };
            let (kind, run) = kind(answer.body());
            assert!(answer.status().is_success() || run != "not_run", "{kind} {run}");
            assert_eq!(cell.runs(id), 1);
        }
    }

    async fn malformed_answers_are_not_passed_on() {
        // A claim needs a second instance for its copy.
        let cell = Cell::serving(&["a", "a"], 1, Duration::from_millis(5)).await;
        let upstream = cell.all_upstreams()[0].clone();
        for (behaviour, expected) in [
            (Behaviour::Truncated, "bad_answer"),
            (Behaviour::MismatchedId, "bad_answer"),
            (Behaviour::Large(100_000), "bad_answer"),
            (Behaviour::Close, "upstream_failed"),
        ] {
            upstream.set_behaviour(behaviour);
            let id = format!("{behaviour:?}");
            let answer = cell.order(0, &id, "x").await.expect("answers");
            let (kind, run) = kind(answer.body());
            assert_eq!((kind.as_str(), run.as_str()), (expected, "unknown"));
            upstream.set_behaviour(Behaviour::Echo);
            let again = cell.order(0, &id, "x").await.expect("answers");
            assert!(!again.status().is_success());
            assert_eq!(cell.runs(&id), 1);
        }
        cell.check_capacity();
    }

    /// Instances that connect to each other simultaneously have two links, and each side
    /// may use a different one. A link must not count as silent because its peer uses
    /// the other.
    async fn links_of_a_quiet_cell_stay_up() {
        let cell = Cell::serving(&ZONE, 1, Duration::from_millis(5)).await;
        sleep(PEER_SILENCE_MAX * 2).await;
        for instance in &cell.instances {
            let log = instance.log();
            assert!(log.contains("PeerUp"), "{log}");
            assert!(!log.contains("PeerDown"), "{log}");
        }
    }

    async fn stop_during_start_up_is_graceful() {
        for _ in 0..10 {
            let mut cell = Cell::start(&["a"]).await;
            let started = Instant::now();
            while TcpStream::connect(cell.instances[0].peer).await.is_err() {
                assert!(started.elapsed() < WAIT_TIMEOUT);
                tokio::task::yield_now().await;
            }
            cell.stop(0);
            assert!(cell.wait_for_exit(0).await);
        }
    }

    async fn graceful_stop_under_load_aborts_no_request() {
        let mut cell = Cell::serving(&ZONE, 3, Duration::from_millis(30)).await;
        let mut tasks = Vec::new();
        for _ in 0..8 {
            let mut client = cell.client(1, "big-key");
            let at = cell.instances[1].http;
            tasks.push(tokio::spawn(async move {
                let mut served = 0;
                loop {
                    let answer = client.send("GET", "/v1/services/orders/x", &[], "").await;
                    match answer {
                        Ok(answer) if answer.status().is_success() => served += 1,
                        Ok(answer) => return Err(format!("{answer:?}")),
                        // Only requests whose connection was never opened may fail.
                        Err(err) if err.message.contains("Connection refused") => {
                            return Ok((served, at));
                        }
                        Err(err) if err.message.contains("closed") => return Ok((served, at)),
                        Err(err) => return Err(err.to_string()),
                    }
                }
            }));
        }
        sleep(Duration::from_millis(400)).await;
        cell.stop(1);
        assert!(cell.wait_for_exit(1).await, "ended with an error");
        let mut served = 0;
        for task in tasks {
            served += task.await.expect("runs").expect("no request was aborted").0;
        }
        assert!(served > 20);
        cell.check_capacity();
    }

    async fn bad_input_gets_a_clear_answer_and_changes_nothing() {
        let cell = Cell::serving(&["a", "a"], 1, Duration::from_millis(5)).await;
        let runs = || cell.all_upstreams()[0].stats(|stats| stats.runs.len());
        let before = runs();
        let big = "x".repeat(20_000);
        let cases = [
            ("GET", "/v1/services/ghost/x", &[][..], "", "unknown_service"),
            ("POST", "/v1/services/orders/x", &[("x-deadline-ms", "soon")][..], "", "bad_request"),
            ("POST", "/v1/services/orders/x", &[("x-deadline-ms", "0")][..], "", "bad_request"),
            ("POST", "/v1/services/orders/x", &[("x-worth", "-1")][..], "", "bad_request"),
            ("POST", "/v1/services/orders/x", &[("idempotency-key", "")][..], "", "bad_request"),
            ("POST", "/v1/services/orders/x", &[][..], big.as_str(), "body_too_large"),
            ("GET", "/nowhere", &[][..], "", "not_found"),
            ("POST", "/v1/jobs", &[][..], "{", "bad_request"),
        ];
        for (method, path, headers, body, expected) in cases {
            let mut client = cell.client(0, "big-key");
            let answer = client
                .send(method, path, headers, body.to_owned())
                .await
                .expect("answers");
            assert_eq!(kind(answer.body()), (expected.to_owned(), "not_run".to_owned()), "{path}");
        }
        // A repeat that is refused for its own content or key must not report that the
        // first attempt did not run.
        let ran = cell.order(0, "ran", "x").await.expect("answers");
        let first = (ran.status().is_success(), kind(ran.body()).0);
        let long = cell.order(0, "ran", &big).await.expect("answers");
        assert_eq!(kind(long.body()), ("body_too_large".to_owned(), "unknown".to_owned()), "{first:?}");
        let answer = cell.get(0, "never-given").await.expect("answers");
        assert_eq!(kind(answer.body()).0, "unauthenticated");
        assert_eq!(runs(), before + usize::from(first.0));
    }

    async fn invalid_announcements_are_refused() {
        let cell = Cell::serving(&["a"], 1, Duration::from_millis(5)).await;
        let known = cell.all_upstreams()[0].clone();
        let announce = |name: &str, slots: u32, address: &str| {
            serde_json::json!({
                "name": name, "incarnation": u64::MAX >> 1, "service": "orders", "zone": "a",
                "address": address, "slots": slots, "connections": 64
            })
        };
        for (body, expected) in [
            (announce("u", 0, "127.0.0.1:9"), "slots must be from 1 to 4096"),
            (announce("u", 100_000, "127.0.0.1:9"), "slots must be from 1 to 4096"),
            (announce("u", 1, "0.0.0.0:9"), "0.0.0.0:9 takes no requests"),
            (announce(known.name(), 4, "127.0.0.1:9"), "announces from"),
        ] {
            let mut client = cell.client(0, "");
            let result: Result<serde_json::Value, _> =
                client.call("POST", "/v1/upstreams", Some(&body)).await;
            let err = result.expect_err("refused");
            assert!(err.message.contains(expected), "{err}");
        }
        assert!(cell.get(0, "big-key").await.is_ok_and(|a| a.status().is_success()));
    }
}
