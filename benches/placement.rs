//! Benchmarks of task placement: throughput, latency, packing and fairness. Compares with
//! first come, first fit as the baseline and with offline first-fit-decreasing packing.
//!
//! `cargo bench --bench placement` fails if a bound is exceeded.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use plantaincross::config::{Source, merge};
use plantaincross::core::fleet::{EndReport, Fleet, Orders, Poll, RunReport};
use plantaincross::core::job::{Class, Id, Job, Size, Spec, State, Task, Unreachable};
use plantaincross::core::share::{Claimant, shortfalls};
use plantaincross::core::time::Moment;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const START: Moment = Moment::from_millis(1_000_000);
const STEP: Duration = Duration::from_millis(100);

fn worker_size(at: usize, accelerated: usize) -> Size {
    Size {
        cpu_milli: 32_000,
        memory_mb: 128 << 10,
        accelerators: if at < accelerated { 4 } else { 0 },
    }
}

fn task_size(rng: &mut ChaCha8Rng) -> Size {
    Size {
        cpu_milli: [500, 1_000, 2_000, 4_000][rng.random_range(0..4)],
        memory_mb: [1_024, 2_048, 4_096, 16_384][rng.random_range(0..4)],
        accelerators: 0,
    }
}

fn job(id: u64, team: usize, class: Class, tasks: u32, size: Size, run_ms: u64) -> Job {
    Job {
        id: Id(id),
        team: format!("t{team}"),
        request: String::new(),
        spec: Spec {
            name: format!("n{}", id % 97),
            class,
            tasks,
            size,
            queue: String::new(),
            run_ms,
            urgent: false,
            deadline_ms: 0,
            worth: 0,
            rerun: true,
            unreachable: Unreachable::Replace,
        },
        zone: "z".to_owned(),
        state: State::Open,
        ended: Vec::new(),
        failures: 0,
    }
}

fn fleet(workers: usize, teams: usize) -> Fleet {
    let mut fleet = Fleet::new(1, true, START);
    let text: String = (0..teams)
        .map(|t| format!("[team t{t}]\nshare = {}\nlimit = 100000\n", 1 + t % 3))
        .collect();
    let name = "a.ini".to_owned();
    fleet.configure(&merge(&[Source { name, text }]).expect("merges"));
    for at in 0..workers {
        fleet
            .poll(START, &poll(at, workers, 1, 0, &[], &[]))
            .expect("taken");
    }
    fleet
}

fn poll(
    at: usize,
    workers: usize,
    number: u64,
    seen: u64,
    running: &[RunReport],
    ended: &[EndReport],
) -> Poll {
    Poll {
        name: format!("w{at}"),
        incarnation: 1,
        zone: "z".to_owned(),
        rack: format!("r{}", at / 6),
        size: worker_size(at, workers / 4),
        number,
        seen,
        running: running.to_vec(),
        ended: ended.to_vec(),
        wait_ms: 0,
    }
}

/// Simulated workers that carry out orders at once and run each task for its estimated
/// run time.
struct SimWorkers {
    running: Vec<BTreeMap<Task, (RunReport, Moment)>>,
    ended: Vec<Vec<EndReport>>,
    sequences: Vec<(u64, u64)>,
}

impl SimWorkers {
    fn new(count: usize) -> Self {
        Self {
            running: (0..count).map(|_| BTreeMap::new()).collect(),
            ended: vec![Vec::new(); count],
            sequences: vec![(1, 0); count],
        }
    }

    fn apply_orders(&mut self, now: Moment, at: usize, orders: Orders) {
        self.sequences[at].1 = orders.number;
        self.ended[at].retain(|e| !orders.ended.contains(&(e.task, e.attempt)));
        for start in orders.start {
            if self.ended[at].iter().any(|e| e.task == start.task) {
                continue;
            }
            let until = match start.run_ms {
                0 => Moment(u64::MAX),
                millis => now + Duration::from_millis(millis),
            };
            let report = RunReport {
                task: start.task,
                attempt: start.attempt,
                size: start.size,
                used: None,
            };
            self.running[at]
                .entry(start.task)
                .or_insert((report, until));
        }
    }

    fn poll(&mut self, now: Moment, at: usize) -> Poll {
        let due: Vec<Task> = self.running[at]
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(task, _)| *task)
            .collect();
        for task in due {
            let (report, _) = self.running[at].remove(&task).expect("runs");
            self.ended[at].push(EndReport {
                task,
                attempt: report.attempt,
                ok: true,
                evicted: false,
            });
        }
        self.sequences[at].0 += 1;
        let (number, seen) = self.sequences[at];
        let running: Vec<RunReport> = self.running[at].values().map(|(r, _)| r.clone()).collect();
        poll(
            at,
            self.running.len(),
            number,
            seen,
            &running,
            &self.ended[at],
        )
    }
}

fn grant_units(fleet: &mut Fleet) {
    let _ = fleet.take_available_units();
    for (team, wanted) in fleet.missing_units() {
        fleet.add_units(&team, wanted, wanted);
    }
}

struct Timing {
    placed: usize,
    seconds: f64,
    p99: Duration,
}

/// Fills a fleet with tasks, then measures the ticks that each place one more.
fn measure_placement(workers: usize, teams: usize, running: u32, measured: u32) -> Timing {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut fleet = fleet(workers, teams);
    let mut id = 0;
    let small = Size {
        cpu_milli: 500,
        memory_mb: 1_024,
        accelerators: 0,
    };
    let mut now = START;
    let mut add = |fleet: &mut Fleet, now: Moment, tasks: u32, rng: &mut ChaCha8Rng| {
        id += 1;
        let team = rng.random_range(0..teams);
        fleet.add_job(now, &job(id, team, Class::Batch, tasks, small, 60_000));
    };
    while fleet.counts().0 < running as usize {
        for _ in 0..64 {
            add(&mut fleet, now, 8, &mut rng);
        }
        for _ in 0..4 {
            grant_units(&mut fleet);
            fleet.tick(now);
        }
        let _ = fleet.take_events();
    }
    while fleet.counts().1 > 0 {
        grant_units(&mut fleet);
        fleet.tick(now);
    }
    let _ = fleet.take_events();
    // Each tick places one task, so its duration is the latency of one decision.
    let mut times = Histogram::<u64>::new(3).expect("valid bounds");
    let mut elapsed = Duration::ZERO;
    let before = fleet.counts().0;
    for _ in 0..measured {
        now = now + Duration::from_micros(100);
        add(&mut fleet, now, 1, &mut rng);
        grant_units(&mut fleet);
        let started = Instant::now();
        fleet.tick(now);
        let took = started.elapsed();
        elapsed += took;
        times.record(took.as_nanos() as u64).expect("resizes");
        let _ = fleet.take_events();
    }
    Timing {
        placed: fleet.counts().0 - before,
        seconds: elapsed.as_secs_f64(),
        p99: Duration::from_nanos(times.value_at_quantile(0.99)),
    }
}

/// Places more tasks than fit and returns the reserved processors, in thousandths.
fn packed_processors(workers: usize, sizes: &[Size]) -> u64 {
    let mut fleet = fleet(workers, 1);
    for (at, size) in sizes.iter().enumerate() {
        fleet.add_job(
            START,
            &job(at as u64 + 1, 0, Class::Batch, 1, *size, 60_000),
        );
    }
    for _ in 0..sizes.len() / 8 {
        grant_units(&mut fleet);
        fleet.tick(START);
    }
    fleet.workers().map(|w| w.status().reserved.cpu_milli).sum()
}

/// Packs tasks by first come, first fit and returns the used processors, in thousandths.
fn first_fit(workers: usize, sizes: &[Size]) -> u64 {
    let mut free: Vec<Size> = (0..workers)
        .map(|at| worker_size(at, workers / 4))
        .collect();
    let mut used = 0;
    for size in sizes {
        if let Some(worker) = free.iter_mut().find(|free| free.fits(*size)) {
            *worker = worker.minus(*size);
            used += size.cpu_milli;
        }
    }
    used
}

fn first_fit_decreasing(workers: usize, sizes: &[Size]) -> u64 {
    let total = worker_size(0, 0);
    let mut sizes = sizes.to_vec();
    sizes.sort_by(|a, b| b.dominant_share(total).total_cmp(&a.dominant_share(total)));
    first_fit(workers, &sizes)
}

/// Runs an overloaded fleet with three teams of different demand, and returns the largest
/// shortfall of a team from its share of task time. With `first_come`, arrival order decides.
fn largest_shortfall(first_come: bool) -> f64 {
    let workers = 48;
    let mut fleet = fleet(workers, 3);
    let mut sim_workers = SimWorkers::new(workers);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut used = [0.0; 3];
    let mut id = 0;
    let mut now = START;
    let mut team_by_job: Vec<usize> = Vec::new();
    for step in 0..3_000 {
        now = now + STEP;
        // The first team submits three times as many tasks as each of the others.
        for team in 0..3 {
            let count = [24, 8, 8][team];
            for _ in 0..count {
                id += 1;
                team_by_job.push(team);
                let size = Size {
                    cpu_milli: 2_000,
                    memory_mb: 4_096,
                    accelerators: 0,
                };
                let run = rng.random_range(3_000..9_000);
                let mut job = job(id, team, Class::Batch, 1, size, run);
                if first_come {
                    // In a single team's queue, jobs are placed in order of arrival.
                    job.team = "t0".to_owned();
                    job.spec.name = format!("as-{team}");
                }
                fleet.add_job(now, &job);
            }
        }
        grant_units(&mut fleet);
        fleet.tick(now);
        for at in 0..workers {
            let poll = sim_workers.poll(now, at);
            fleet.poll(now, &poll).expect("taken");
            for end in fleet.take_ended() {
                fleet.confirm_end(end.task);
                fleet.drop_job(now, end.task.job);
            }
            if let Some(orders) = fleet.orders(now, &format!("w{at}"), true) {
                sim_workers.apply_orders(now, at, orders);
            }
        }
        let _ = fleet.take_events();
        if step < 500 {
            continue;
        }
        for tasks in &sim_workers.running {
            for task in tasks.keys() {
                used[team_by_job[task.job.0 as usize - 1]] += 1.0;
            }
        }
    }
    let claimants = [1.0, 2.0, 3.0].map(|weight| Claimant {
        weight,
        demand: f64::MAX / 1e6,
    });
    let total: f64 = used.iter().sum();
    let claimants = claimants.map(|c| Claimant { demand: total, ..c });
    shortfalls(total, &claimants, &used)
        .into_iter()
        .fold(0.0, f64::max)
}

struct Report {
    within_bounds: bool,
}

impl Report {
    fn row(&mut self, name: &str, value: &str, bound: &str, ok: bool) {
        self.within_bounds &= ok;
        let mark = if ok { "" } else { "  EXCEEDED" };
        println!("{name:<52}{value:>16}  {bound}{mark}");
    }
}

fn main() -> ExitCode {
    // `cargo test --benches` only checks that the program starts.
    if std::env::args().any(|arg| arg == "--test") {
        return ExitCode::SUCCESS;
    }
    let mut report = Report {
        within_bounds: true,
    };
    let sizes = [
        (48, 6, 600, 5_000.0, "5,000 a second"),
        (500, 220, 7_000, 380.0, "380 a second"),
        (3_000, 220, 41_000, 380.0, "380 a second"),
    ];
    let mut costs = Vec::new();
    for (workers, teams, running, rate, bound) in sizes {
        let timing = measure_placement(workers, teams, running, 2_000);
        let mean = timing.seconds / f64::from(2_000);
        costs.push(mean);
        let per_second = timing.placed as f64 / timing.seconds;
        report.row(
            &format!("placements a second, {workers} workers, {running} running"),
            &format!("{per_second:.0}"),
            bound,
            per_second >= rate,
        );
        report.row(
            &format!("decision p99, {workers} workers"),
            &format!("{:.1?}", timing.p99),
            "5 ms",
            timing.p99 <= Duration::from_millis(5),
        );
    }
    report.row(
        "growth of cost from 48 to 3,000 workers",
        &format!("{:.1} x", costs[2] / costs[0]),
        "62.5 x (linear)",
        costs[2] / costs[0] < 62.5,
    );
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let tasks: Vec<Size> = (0..4_000).map(|_| task_size(&mut rng)).collect();
    let (measured, naive, offline) = (
        packed_processors(48, &tasks),
        first_fit(48, &tasks),
        first_fit_decreasing(48, &tasks),
    );
    report.row(
        "processors packed, part of offline FFD",
        &format!("{:.1} %", measured as f64 / offline as f64 * 100.0),
        "90 %",
        measured * 10 >= offline * 9,
    );
    report.row(
        "  the same by first come, first fit",
        &format!("{:.1} %", naive as f64 / offline as f64 * 100.0),
        "baseline",
        true,
    );
    let (measured, naive) = (largest_shortfall(false), largest_shortfall(true));
    report.row(
        "largest shortfall from share on a full fleet",
        &format!("{:.1} %", measured * 100.0),
        "5 %",
        measured <= 0.05,
    );
    report.row(
        "  the same by first come, first fit",
        &format!("{:.1} %", naive * 100.0),
        "baseline",
        true,
    );
    if report.within_bounds {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
