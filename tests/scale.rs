//! Response-time goals met under load on a fleet of 1,100 workers.

#[path = "support/plane.rs"]
mod support;

use plantaincross::core::plane::job::StepSpec;
use plantaincross::core::plane::lead::Query;
use plantaincross::core::plane::plan::{Permission, Queue};
use plantaincross::core::plane::types::{JobId, Resources};
use plantaincross::core::plane::worker::Report;
use support::{Cell, Costs, queue, tasks};

const LOAD_SECONDS: u64 = 36;
/// Duration of the load on a leader whose work takes time.
const SHORT_LOAD_SECONDS: u64 = 20;
/// Interval between gang jobs, in steps of 1 ms: 8.3 jobs per second.
const GANG_INTERVAL_MS: u64 = 120;
/// Interval between wide jobs: 11 jobs per second.
const WIDE_INTERVAL_MS: u64 = 90;
/// Interval between urgent jobs: 166 jobs per second.
const URGENT_INTERVAL_MS: u64 = 6;
/// Interval between waves of departing workers.
const DEPARTURE_INTERVAL_MS: u64 = 4_000;

fn permission(decide_ms: f64, each_ms: f64) -> Option<Permission> {
    Some(Permission {
        decide_ms,
        each_ms,
        valid_ms: 2_500,
    })
}

fn queues() -> Vec<Queue> {
    vec![
        queue("urgent", 0, permission(7.0, 0.1)),
        Queue {
            stretch: 2.2,
            goal_ms: 1_000,
            ..queue("gang", 1, permission(390.0, 5.6))
        },
        Queue {
            stretch: 4.0,
            goal_ms: 3_000,
            ..queue("wide", 2, permission(80.0, 1.2))
        },
    ]
}

/// Offered load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Load {
    /// 80% of the fleet's capacity.
    Normal,
    /// Bursts above the fleet's capacity, while a fifth of the workers departs.
    Overload,
    /// Gangs at almost twice their usual rate all the time, more than the fleet can run.
    Backlog,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    id: u64,
    submitted_at: u64,
    goal_ms: u64,
    tasks: u16,
}

struct Scenario {
    cell: Cell,
    next_id: u64,
    gangs: Vec<Job>,
    wide: Vec<Job>,
    urgent: Vec<Job>,
}

impl Scenario {
    fn new(seed: u64) -> Self {
        let mut cell = Cell::new(seed, 1_100, queues(), Resources::default());
        for worker in &mut cell.workers {
            worker.report.capacity.memory = 64_000;
            worker.report.sequence += 1;
        }
        let reports: Vec<Report> = cell.workers.iter().map(|w| w.report.clone()).collect();
        for report in reports {
            cell.query(Query::Report(Box::new(report)));
        }
        cell.run_for(100);
        cell.is_strict = true;
        cell.requesters = 153;
        cell.take_over();
        cell.run_for(1_000);
        Self {
            cell,
            next_id: 1,
            gangs: Vec::new(),
            wide: Vec::new(),
            urgent: Vec::new(),
        }
    }

    // Draws a task count from a distribution with the given mean, mostly small counts and a
    // few of up to five times the mean.
    fn draw_task_count(&mut self, mean: u64) -> u16 {
        let product = (1 + self.cell.draw(10)) * (1 + self.cell.draw(10)) * (1 + self.cell.draw(5));
        (product * mean / 90).clamp(2, 5 * mean) as u16
    }

    // Returns a step of `count` tasks of about `cores` cores and `memory` megabytes. Cores,
    // memory and the estimated run time vary from half to one and a half times the given value;
    // `ms` is the actual run time.
    fn step(&mut self, count: u16, cores: u64, memory: u64, ms: u64) -> StepSpec {
        let mut vary = |mean: u64| (mean / 2 + self.cell.draw(mean)) as i64;
        StepSpec {
            need: Resources {
                cpu: vary(cores * 1_000),
                memory: vary(memory),
                accelerators: 0,
            },
            ..tasks(count, 0, vary(ms) as u64)
        }
    }

    fn submit_gang(&mut self) {
        let count = self.draw_task_count(31);
        let ms = 3_000 + self.cell.draw(6_400);
        let step = StepSpec {
            gang: true,
            ..self.step(count, 9, 17_000, ms)
        };
        self.gangs.push(Job {
            id: self.next_id,
            submitted_at: self.cell.now,
            goal_ms: ms * 22 / 10 + 1_000,
            tasks: count,
        });
        self.cell.submit("gang", self.next_id, vec![step], ms);
        self.next_id += 1;
    }

    fn submit_wide(&mut self) {
        let count = self.draw_task_count(60);
        let ms = 1_500 + self.cell.draw(2_400);
        let step = self.step(count, 5, 10_000, ms);
        self.wide.push(Job {
            id: self.next_id,
            submitted_at: self.cell.now,
            goal_ms: ms * 4 + 3_000,
            tasks: count,
        });
        self.cell.submit("wide", self.next_id, vec![step], ms);
        self.next_id += 1;
    }

    fn submit_urgent(&mut self) {
        let ms = 400 + self.cell.draw(500);
        self.urgent.push(Job {
            id: self.next_id,
            submitted_at: self.cell.now,
            goal_ms: ms * 15 / 10 + 250,
            tasks: 4,
        });
        let step = StepSpec {
            gang: self.next_id.is_multiple_of(3),
            ..self.step(4, 8, 14_000, ms)
        };
        self.cell.submit("urgent", self.next_id, vec![step], ms);
        self.next_id += 1;
    }

    fn run(&mut self, load: Load, seconds: u64) {
        for ms in 0..seconds * 1_000 {
            // Bursts in which gangs arrive at almost twice their usual rate.
            let in_burst = load == Load::Overload
                && ((12_000..16_000).contains(&ms) || (24_000..26_000).contains(&ms));
            let gang_interval_ms = if in_burst || load == Load::Backlog {
                GANG_INTERVAL_MS * 10 / 18
            } else {
                GANG_INTERVAL_MS
            };
            if ms.is_multiple_of(gang_interval_ms) {
                self.submit_gang();
            }
            if ms.is_multiple_of(WIDE_INTERVAL_MS) {
                self.submit_wide();
            }
            if ms.is_multiple_of(URGENT_INTERVAL_MS) {
                self.submit_urgent();
            }
            // One worker in five departs, in three waves.
            let departs = load == Load::Overload && ms.is_multiple_of(DEPARTURE_INTERVAL_MS);
            if departs && ms / DEPARTURE_INTERVAL_MS < 3 {
                let first = (ms / DEPARTURE_INTERVAL_MS) as usize * 5;
                (first..1_100)
                    .step_by(15)
                    .for_each(|worker| self.cell.drain(worker));
            }
            self.cell.step();
        }
        self.cell.run_for(14_000);
    }

    // Returns the share of the jobs that completed within their goal.
    fn share_in_time(&self, jobs: &[Job]) -> f64 {
        let is_in_time = |job: &&Job| {
            let end = self.cell.completed.get(&JobId(job.id));
            end.is_some_and(|end| end - job.submitted_at <= job.goal_ms)
        };
        jobs.iter().filter(is_in_time).count() as f64 / jobs.len() as f64
    }
}

// Guards against starvation of large gangs, which happens when smaller work takes each free
// slot before a large gang fits. The largest tenth of the gangs must meet their goals at
// least 0.7 times as often as all gangs, and 95% of the urgent jobs must meet theirs.
fn assert_large_gangs_are_served(seed: u64, load: Load) {
    let mut scenario = Scenario::new(seed);
    scenario.run(load, LOAD_SECONDS);
    let mut gangs = scenario.gangs.clone();
    gangs.sort_by_key(|gang| gang.tasks);
    let largest = &gangs[gangs.len() * 9 / 10..];
    let (all, large) = (
        scenario.share_in_time(&gangs),
        scenario.share_in_time(largest),
    );
    let (wide, urgent) = (
        scenario.share_in_time(&scenario.wide),
        scenario.share_in_time(&scenario.urgent),
    );
    println!("in time: gangs {all:.3}, largest {large:.3}, wide {wide:.3}, urgent {urgent:.3}");
    assert!(
        large >= 0.7 * all,
        "of the largest tenth {large:.2} are in time, of all gangs {all:.2}"
    );
    assert!(urgent >= 0.95, "{urgent:.3} of the urgent jobs are in time");
}

macro_rules! scenarios {
    ($($name:ident: $seed:expr, $load:expr;)*) => {
        $(#[test] fn $name() { assert_large_gangs_are_served($seed, $load); })*
    };
}

scenarios! {
    large_gangs_on_a_fleet_that_is_four_fifths_full: 1, Load::Normal;
    large_gangs_on_a_fleet_that_is_over_full: 6, Load::Overload;
}

// Guards against a leader without processor time to spare that makes urgent jobs late for the
// sake of work that can wait.
fn assert_urgent_jobs_are_in_time(seed: u64, slowness: u64) {
    let mut scenario = Scenario::new(seed);
    scenario.cell.costs = Costs {
        input: 90 * slowness,
        round: 300 * slowness,
        search: 40 * slowness,
        tick: 200 * slowness,
    };
    scenario.run(Load::Backlog, SHORT_LOAD_SECONDS);
    let urgent = scenario.share_in_time(&scenario.urgent);
    let (gangs, wide) = (
        scenario.share_in_time(&scenario.gangs),
        scenario.share_in_time(&scenario.wide),
    );
    println!("in time: urgent {urgent:.3}, gangs {gangs:.3}, wide {wide:.3}");
    assert!(urgent >= 0.95, "{urgent:.3} of the urgent jobs are in time");
}

macro_rules! leaders {
    ($($name:ident: $seed:expr, $slowness:expr;)*) => {
        $(#[test] fn $name() { assert_urgent_jobs_are_in_time($seed, $slowness); })*
    };
}

leaders! {
    urgent_jobs_are_in_time_while_the_leader_is_full: 1, 1;
    urgent_jobs_are_in_time_while_the_leader_takes_twice_as_long: 2, 2;
    urgent_jobs_are_in_time_while_the_leader_takes_three_times_as_long: 3, 3;
}
