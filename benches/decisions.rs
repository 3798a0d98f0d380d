//! Benchmarks of single operations, each with a bound derived from a performance target.
//!
//! `cargo bench --bench decisions` fails if a bound is exceeded.

use std::hint::black_box;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use bytes::Bytes;
use criterion::{BatchSize, Criterion};
use plantaincross::config::{Source, merge};
use plantaincross::core::claim::{Id, Table};
use plantaincross::core::consensus::{Ready, Replica, Snapshot, Stored};
use plantaincross::core::gate::{
    Admission, Announcement, Completion, Gate, Request, SourceKey, resource_of,
};
use plantaincross::core::registry::InstanceId;
use plantaincross::core::share::{Claimant, divide};
use plantaincross::core::time::Moment;
use plantaincross::store::{Folder, Wal};
use plantaincross::util::resource_id;
use plantaincross::wire::{Append, Balance, Body, Entry, Frame, Raft, RaftBody, Voter};
use prost::Message;

const START: Moment = Moment::from_millis(1_000_000);

/// Upper bound on the median time of a benchmark, and the target it is derived from.
struct Bound {
    name: &'static str,
    limit: Duration,
    target: &'static str,
}

const BOUNDS: &[Bound] = &[
    Bound {
        name: "request_at_48_upstreams",
        limit: Duration::from_micros(10),
        target: "a decision under 10 us at 48 upstreams",
    },
    Bound {
        name: "request_at_3000_upstreams",
        limit: Duration::from_micros(625),
        target: "10 us x 3000/48: less than linear growth",
    },
    Bound {
        name: "claim",
        limit: Duration::from_micros(10),
        target: "part of a decision under 10 us",
    },
    Bound {
        name: "divide_220_teams",
        limit: Duration::from_micros(900),
        target: "1.8 % of a core at one division in 50 ms",
    },
    Bound {
        name: "agree_on_one_command",
        limit: Duration::from_micros(47),
        target: "1.8 % of a core at 380 task starts a second",
    },
    Bound {
        name: "frame_of_64_entries",
        limit: Duration::from_micros(180),
        target: "1.8 % of a core at 100 messages a second",
    },
    Bound {
        name: "merge_220_teams",
        limit: Duration::from_millis(7),
        target: "a thousandth of the 7 s for a push to take effect",
    },
    Bound {
        name: "open_a_full_log",
        limit: Duration::from_secs(2),
        target: "recovery in under 2 s after 100,000 changes",
    },
];

fn gate(upstreams: u16) -> Gate {
    let mut gate = Gate::new();
    let source = SourceKey(0);
    gate.set_team_source(source);
    gate.renew(source, Moment(u64::MAX));
    gate.put_service("s", 1_000);
    for team in 0..220 {
        let name = format!("t{team}");
        gate.put_team(&name, 1 + team % 7);
        gate.receive_unit_balances(&[Balance {
            resource: resource_id(&name).0,
            given: 1_000,
            returned: 0,
        }]);
    }
    for at in 0..upstreams {
        let announcement = Announcement {
            name: format!("u{at}"),
            incarnation: 1,
            service: "s".to_owned(),
            zone: "z".to_owned(),
            address: ([127, 0, 0, 1], 1 + at).into(),
            slots: 8,
            connections: 64,
        };
        let resource = resource_of(&announcement);
        gate.put_upstream(announcement, source, false);
        gate.receive_slots(resource, 8);
    }
    gate
}

// Measures admission, choice of an upstream and completion of a request while half of all
// slots are in use.
fn request(c: &mut Criterion, name: &str, upstreams: u16) {
    let mut gate = gate(upstreams);
    let service = gate.service("s").expect("known");
    let mut now = START;
    let mut turn = 0;
    let mut submit = |gate: &mut Gate, now: Moment| {
        turn = (turn + 1) % 220;
        let team = gate.team(&format!("t{turn}")).expect("known");
        let request = Request {
            team,
            service,
            worth: 1,
            deadline: now + Duration::from_secs(5),
        };
        match gate.submit(now, request) {
            Admission::Start(assignment) => assignment,
            other => panic!("{other:?}"),
        }
    };
    let mut running: std::collections::VecDeque<_> = (0..u32::from(upstreams) * 4)
        .map(|_| submit(&mut gate, now))
        .collect();
    c.bench_function(name, |b| {
        b.iter(|| {
            now = now + Duration::from_micros(50);
            let assignment = running.pop_front().expect("runs");
            gate.finish(now, assignment, Completion::Answered);
            running.push_back(submit(&mut gate, now));
        });
    });
}

fn claim(c: &mut Criterion) {
    let mut table = Table::default();
    let mut number = 0u64;
    let mut now = START;
    c.bench_function("claim", |b| {
        b.iter(|| {
            number += 1;
            now = now + Duration::from_millis(1);
            let id = Id::of("team", &number.to_string());
            let retention = Duration::from_secs(60);
            black_box(table.claim(now, id, number, InstanceId(1), None, retention));
            table.finish(id, InstanceId(1), None);
        });
    });
}

fn share_division(c: &mut Criterion) {
    let claimants: Vec<Claimant> = (0..220)
        .map(|at| Claimant {
            weight: f64::from(1 + at % 7),
            demand: f64::from(at * 37 % 500),
        })
        .collect();
    c.bench_function("divide_220_teams", |b| {
        b.iter(|| divide(black_box(4_000.0), &claimants));
    });
}

fn voter(id: u64) -> Voter {
    Voter {
        replica: id,
        name: id.to_string(),
    }
}

// Delivers messages between three replicas until none are left.
fn deliver_all(replicas: &mut [Replica; 3], now: Moment) {
    loop {
        let mut messages: Vec<Raft> = Vec::new();
        for replica in replicas.iter_mut() {
            replica.flush(now);
            let ready: Ready = replica.take_ready();
            replica.mark_persisted(now);
            messages.extend(ready.messages);
        }
        if messages.is_empty() {
            return;
        }
        for message in messages {
            if let Some(to) = replicas.iter_mut().find(|r| r.id() == message.to) {
                to.step(now, message);
            }
        }
    }
}

fn consensus_round(c: &mut Criterion) {
    let mut now = START;
    let mut replicas = [1, 2, 3].map(|id| Replica::new(id, "r", true, Stored::default(), now, id));
    replicas[0].found(now, vec![voter(1), voter(2), voter(3)]);
    while !replicas[0].is_leader() {
        now = now + Duration::from_millis(100);
        replicas[0].tick(now);
        deliver_all(&mut replicas, now);
    }
    let command = Bytes::from(vec![7; 100]);
    c.bench_function("agree_on_one_command", |b| {
        b.iter(|| {
            now = now + Duration::from_micros(100);
            let index = replicas[0].propose(command.clone()).expect("leads");
            deliver_all(&mut replicas, now);
            assert!(replicas[0].commit() >= index);
            if replicas[0].log().len() > 4_000 {
                for replica in &mut replicas {
                    replica.compact(replica.commit(), Bytes::new());
                }
            }
        });
    });
}

fn codec(c: &mut Criterion) {
    let entries = (1..=64)
        .map(|index| Entry {
            term: 3,
            index,
            command: Bytes::from(vec![7; 200]),
            voters: Vec::new(),
        })
        .collect();
    let append = Append {
        prev_index: 0,
        prev_term: 3,
        entries,
        commit: 60,
        sent_at: 1,
        quorum_age: 2,
    };
    let frame = Frame {
        body: Some(Body::Raft(Raft {
            term: 3,
            from: 1,
            to: 2,
            body: Some(RaftBody::Append(append)),
        })),
    };
    c.bench_function("frame_of_64_entries", |b| {
        b.iter(|| Frame::decode(Bytes::from(black_box(&frame).encode_to_vec())).expect("decodes"));
    });
}

fn configuration(c: &mut Criterion) {
    let sources: Vec<Source> = (0..11)
        .map(|file| Source {
            name: format!("{file:02}.ini"),
            text: (0..20)
                .map(|at| format!("[team t{file}-{at}]\nshare = {}\nlimit = 50\n", 1 + at))
                .collect(),
        })
        .collect();
    c.bench_function("merge_220_teams", |b| {
        b.iter(|| merge(black_box(&sources)).expect("merges").digest());
    });
}

// Opens a log of the largest expected size: a snapshot of 8 MiB and the 4,096 entries that
// follow it.
fn recovery(c: &mut Criterion) {
    let path = std::env::temp_dir().join(format!(
        "plantaincross-bench-{:016x}",
        rand::random::<u64>()
    ));
    let (mut wal, _) = Wal::open(Folder::open(&path).expect("opens")).expect("opens");
    let snapshot = Snapshot {
        index: 100_000,
        term: 1,
        voters: vec![voter(1)],
        data: Bytes::from(vec![7; 8 << 20]),
    };
    wal.compact(&snapshot, &[]).expect("stored");
    let entries = (100_001..104_097)
        .map(|index| Entry {
            term: 1,
            index,
            command: Bytes::from(vec![7; 400]),
            voters: Vec::new(),
        })
        .collect();
    wal.store(&Ready {
        entries,
        ..Ready::default()
    })
    .expect("stored");
    drop(wal);
    c.bench_function("open_a_full_log", |b| {
        b.iter_batched(
            || Folder::open(&path).expect("opens"),
            |folder| Wal::open(folder).expect("opens"),
            BatchSize::PerIteration,
        );
    });
    let _ = std::fs::remove_dir_all(&path);
}

fn read_median(name: &str) -> Option<Duration> {
    let target = std::env::var("CARGO_TARGET_DIR").unwrap_or_else(|_| "target".to_owned());
    let path = Path::new(&target)
        .join("criterion")
        .join(name)
        .join("new/estimates.json");
    let text = std::fs::read_to_string(path).ok()?;
    let value: serde_json::Value = serde_json::from_str(&text).ok()?;
    let nanos = value["median"]["point_estimate"].as_f64()?;
    Some(Duration::from_secs_f64(nanos / 1e9))
}

fn main() -> ExitCode {
    let mut criterion = Criterion::default()
        .sample_size(20)
        .measurement_time(Duration::from_secs(2))
        .warm_up_time(Duration::from_millis(300))
        .configure_from_args();
    request(&mut criterion, "request_at_48_upstreams", 48);
    request(&mut criterion, "request_at_3000_upstreams", 3_000);
    claim(&mut criterion);
    share_division(&mut criterion);
    consensus_round(&mut criterion);
    codec(&mut criterion);
    configuration(&mut criterion);
    recovery(&mut criterion);
    criterion.final_summary();
    let mut within_bounds = true;
    println!(
        "\n{:<28}{:>14}{:>14}  bound from",
        "decision", "median", "bound"
    );
    for bound in BOUNDS {
        let Some(median) = read_median(bound.name) else {
            continue;
        };
        let mark = if median > bound.limit {
            "EXCEEDED "
        } else {
            ""
        };
        within_bounds &= median <= bound.limit;
        println!(
            "{:<28}{:>14}{:>14}  {mark}{}",
            bound.name,
            format!("{median:.2?}"),
            format!("{:.2?}", bound.limit),
            bound.target
        );
    }
    if within_bounds {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
