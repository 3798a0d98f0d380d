//! A simulated worker: polls for orders and runs tasks that only let time pass.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::client::Client;
use crate::core::fleet::{Action, EndReport, Orders, Poll, RunReport};
use crate::core::job::{Size, Task};
use crate::error::Result;

/// Longest time that an instance may hold a poll before it answers.
const POLL_WAIT: Duration = Duration::from_millis(4_000);
/// Time limit for the answer to a poll; exceeds the time that a poll may be held.
const POLL_TIMEOUT: Duration = Duration::from_secs(7);
/// Delay before the next poll after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Identity, capacity and behaviour of a worker.
#[derive(Clone, Debug)]
pub struct Options {
    /// Unique name of the worker.
    pub name: String,
    /// Availability zone it belongs to.
    pub zone: String,
    /// Rack it belongs to.
    pub rack: String,
    /// Resources that it offers.
    pub size: Size,
    /// Whether every task fails as soon as it starts.
    pub fails_tasks: bool,
}

/// Counters shared by all workers of a trial, to detect tasks that run on several
/// workers at once.
#[derive(Debug, Default)]
pub struct Stats {
    /// Tasks currently running, with the number of workers that run each.
    pub running: BTreeMap<Task, u32>,
    /// Highest number of workers that ran the same task at once.
    pub max_copies: u32,
    /// Number of task starts.
    pub started: u64,
    /// Number of tasks that ended successfully.
    pub completed: u64,
}

#[derive(Debug)]
struct Running {
    attempt: u64,
    size: Size,
    /// `None` for a task that runs until it is stopped.
    ends_at: Option<Instant>,
}

/// Runs a worker until the token is cancelled.
pub async fn run(
    options: Options,
    entries: Vec<SocketAddr>,
    platform_token: Option<String>,
    stats: Arc<Mutex<Stats>>,
    token: CancellationToken,
) {
    let mut clients: Vec<Client> = entries
        .into_iter()
        .map(|at| Client::new(at, platform_token.clone(), POLL_TIMEOUT))
        .collect();
    let mut worker = Worker {
        options,
        stats,
        running: BTreeMap::new(),
        ended: Vec::new(),
        poll_number: 0,
        seen: 0,
        lease_until: Instant::now(),
    };
    let mut failed_polls = 0;
    while !token.is_cancelled() && !clients.is_empty() {
        let index = failed_polls % clients.len();
        let next_end = worker.next_end();
        let polled = tokio::select! {
            polled = worker.poll(&mut clients[index]) => polled,
            () = wait_until(next_end) => Ok(()),
            () = token.cancelled() => return,
        };
        if polled.is_err() {
            failed_polls += 1;
            sleep(RETRY_DELAY).await;
        }
        worker.end_due();
        worker.end_without_lease();
    }
}

async fn wait_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

struct Worker {
    options: Options,
    stats: Arc<Mutex<Stats>>,
    running: BTreeMap<Task, Running>,
    /// Ended runs that no answer has acknowledged yet.
    ended: Vec<EndReport>,
    poll_number: u64,
    /// Number of the latest answer whose orders were carried out.
    seen: u64,
    lease_until: Instant,
}

impl Worker {
    async fn poll(&mut self, client: &mut Client) -> Result<()> {
        self.poll_number += 1;
        let sent = Instant::now();
        let poll = Poll {
            name: self.options.name.clone(),
            incarnation: 1,
            zone: self.options.zone.clone(),
            rack: self.options.rack.clone(),
            size: self.options.size,
            number: self.poll_number,
            seen: self.seen,
            running: self
                .running
                .iter()
                .map(|(&task, run)| RunReport {
                    task,
                    attempt: run.attempt,
                    size: run.size,
                    used: None,
                })
                .collect(),
            ended: self.ended.clone(),
            wait_ms: POLL_WAIT.as_millis() as u64,
        };
        let orders: Orders = client.call("POST", "/v1/workers/poll", Some(&poll)).await?;
        self.lease_until = sent + Duration::from_millis(orders.lease_ms);
        self.execute(orders);
        Ok(())
    }

    fn execute(&mut self, orders: Orders) {
        self.seen = orders.number;
        self.ended
            .retain(|end| !orders.ended.contains(&(end.task, end.attempt)));
        for stop in orders.stop {
            let is_running = self
                .running
                .get(&stop.task)
                .is_some_and(|run| run.attempt == stop.attempt);
            if is_running && stop.how != Action::Throttle {
                self.end(stop.task, false, true);
            } else if !is_running && !self.has_ended(stop.task, stop.attempt) {
                self.ended.push(EndReport {
                    task: stop.task,
                    attempt: stop.attempt,
                    ok: false,
                    evicted: true,
                });
            }
        }
        for start in orders.start {
            let is_known =
                self.running.contains_key(&start.task) || self.has_ended(start.task, start.attempt);
            if is_known || Instant::now() >= self.lease_until {
                continue;
            }
            let duration = Duration::from_millis(start.run_ms);
            let run = Running {
                attempt: start.attempt,
                size: start.size,
                ends_at: (start.run_ms > 0).then(|| Instant::now() + duration),
            };
            self.running.insert(start.task, run);
            self.record_start(start.task);
            if self.options.fails_tasks {
                self.end(start.task, false, false);
            }
        }
    }

    fn has_ended(&self, task: Task, attempt: u64) -> bool {
        self.ended
            .iter()
            .any(|end| end.task == task && end.attempt == attempt)
    }

    fn next_end(&self) -> Option<Instant> {
        self.running.values().filter_map(|run| run.ends_at).min()
    }

    fn end_due(&mut self) {
        let now = Instant::now();
        let due: Vec<Task> = self
            .running
            .iter()
            .filter(|(_, run)| run.ends_at.is_some_and(|ends_at| ends_at <= now))
            .map(|(&task, _)| task)
            .collect();
        for task in due {
            self.end(task, true, false);
        }
    }

    fn end_without_lease(&mut self) {
        if Instant::now() < self.lease_until {
            return;
        }
        let tasks: Vec<Task> = self.running.keys().copied().collect();
        for task in tasks {
            self.end(task, false, true);
        }
    }

    fn end(&mut self, task: Task, ok: bool, evicted: bool) {
        let Some(run) = self.running.remove(&task) else {
            return;
        };
        self.ended.push(EndReport {
            task,
            attempt: run.attempt,
            ok,
            evicted,
        });
        let mut stats = self.stats.lock().expect("stats lock");
        stats.completed += u64::from(ok);
        if let Some(count) = stats.running.get_mut(&task) {
            *count -= 1;
        }
        stats.running.retain(|_, count| *count > 0);
    }

    fn record_start(&self, task: Task) {
        let mut stats = self.stats.lock().expect("stats lock");
        let count = stats.running.entry(task).or_default();
        *count += 1;
        let count = *count;
        stats.max_copies = stats.max_copies.max(count);
        stats.started += 1;
    }
}
