//! Worker polls: the reports that workers send and the orders that answer them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::worker::Worker;
use super::{Fleet, WORKER_LEASE, WorkerKey};
use crate::config::is_name;
use crate::core::job::{Ended, Size, Task, Unreachable};
use crate::core::time::{Moment, with_clock_margin};
use crate::error::{Error, Kind, Result};
use crate::event::Event;

/// Half of the first pause of a job after failures; the pause doubles with each further
/// failure.
const BACKOFF_BASE: Duration = Duration::from_secs(1);
/// Longest pause of a job after failures.
const BACKOFF_MAX: Duration = Duration::from_secs(300);
/// Consecutive failures of a job's tasks that cause no pause.
const FAILURES_BEFORE_BACKOFF: u32 = 3;

/// A worker's poll: its size, its running tasks and the tasks that ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Poll {
    /// Name of the worker.
    pub name: String,
    /// Incarnation number of the worker; rises with each restart.
    pub incarnation: u64,
    /// Availability zone of the worker.
    pub zone: String,
    /// Rack of the worker.
    pub rack: String,
    /// Total resources of the worker.
    pub size: Size,
    /// Sequence number of this poll within the incarnation; rises by one.
    pub number: u64,
    /// Number of the latest [`Orders`] that the worker has carried out.
    pub seen: u64,
    /// All tasks that the worker runs.
    pub running: Vec<RunReport>,
    /// Tasks that ended and whose end has not been acknowledged.
    pub ended: Vec<EndReport>,
    /// Longest wait for orders, in milliseconds.
    #[serde(default)]
    pub wait_ms: u64,
}

/// Report of a running task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunReport {
    /// Running task.
    pub task: Task,
    /// Attempt number from the order to start it.
    pub attempt: u64,
    /// Reserved size from the order to start it.
    pub size: Size,
    /// Measured resource usage, if known.
    #[serde(default)]
    pub used: Option<Size>,
}

/// Report of a task that ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndReport {
    /// Task that ended.
    pub task: Task,
    /// Attempt number from the order to start it.
    pub attempt: u64,
    /// Whether it completed successfully.
    pub ok: bool,
    /// Whether it ended because it was checkpointed, stopped on order, or its lease expired.
    #[serde(default)]
    pub evicted: bool,
}

/// What a worker is to do with a running task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// End it immediately.
    Stop,
    /// Let it save its state, then end it.
    Checkpoint,
    /// Limit it to its reserved processors.
    Throttle,
}

/// Order to start a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Start {
    /// Task to start.
    pub task: Task,
    /// Attempt number, which serves as the fencing token of this run.
    pub attempt: u64,
    /// Team of the job.
    pub team: String,
    /// Name of the job.
    pub name: String,
    /// Resources reserved for the task.
    pub size: Size,
    /// Estimated run time in milliseconds; zero if it runs until stopped.
    pub run_ms: u64,
}

/// Order to end or to throttle a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    /// Task to end or throttle.
    pub task: Task,
    /// Attempt to which the order applies.
    pub attempt: u64,
    /// Action to take.
    pub how: Action,
}

/// Answer to a poll: orders for the worker and a renewal of its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Orders {
    /// Sequence number of this answer; rises also across changes of leader.
    pub number: u64,
    /// Length of the worker's lease in milliseconds, counted from when it sent the poll.
    pub lease_ms: u64,
    /// Tasks to start. An order is repeated until the worker reports the task, so tasks
    /// that already run must not be started again.
    pub start: Vec<Start>,
    /// Tasks to end or throttle.
    pub stop: Vec<Stop>,
    /// Acknowledged ends, as task and attempt, which need not be reported again.
    pub ended: Vec<(Task, u64)>,
}

impl Fleet {
    /// Handles a worker's poll: renews its lease and applies its reports.
    ///
    /// # Errors
    ///
    /// Fails with [`Kind::BadAnnouncement`] if the name, rack or size is invalid, or if the
    /// poll is not newer than the last one accepted from this worker.
    pub fn poll(&mut self, now: Moment, poll: &Poll) -> Result<()> {
        if !is_name(&poll.name) || !is_name(&poll.rack) || poll.size.cpu_milli == 0 {
            let message =
                "invalid poll: the worker needs a valid name, a valid rack and processors";
            return Err(Error::new(Kind::BadAnnouncement, message));
        }
        let key = self.register_worker(now, poll)?;
        let worker = &mut self.workers[key.0 as usize];
        worker.last_poll = poll.number;
        if !worker.up {
            worker.up = true;
            self.total = self.total.plus(poll.size);
            let worker = poll.name.clone();
            self.events.push(Event::WorkerUp { worker });
        }
        let worker = &mut self.workers[key.0 as usize];
        worker.lease_until = now + with_clock_margin(WORKER_LEASE);
        for end in &poll.ended {
            self.handle_end(now, key, end);
        }
        for run in &poll.running {
            self.handle_run(now, key, run);
        }
        self.requeue_missing(now, key, poll);
        self.relieve_overload(key);
        self.update_index(key);
        Ok(())
    }

    /// Returns the orders that answer a worker's poll, and renews its lease. Returns `None`
    /// if the worker is unknown, or if there are no new orders and `force` is not set.
    pub fn orders(&mut self, now: Moment, name: &str, force: bool) -> Option<Orders> {
        let key = *self.keys_by_name.get(name)?;
        let worker = &mut self.workers[key.0 as usize];
        let is_new = worker
            .starts
            .values()
            .any(|pending| pending.first_answer == 0)
            || !worker.stops.is_empty()
            || !worker.acks.is_empty();
        if !is_new && !force {
            return None;
        }
        // The term in the upper bits keeps numbers rising across changes of leader.
        worker.last_answer = (worker.last_answer + 1).max(self.term << 32);
        worker.lease_until = now + with_clock_margin(WORKER_LEASE);
        let number = worker.last_answer;
        for pending in worker
            .starts
            .values_mut()
            .filter(|pending| pending.first_answer == 0)
        {
            pending.first_answer = number;
        }
        Some(Orders {
            number,
            lease_ms: WORKER_LEASE.as_millis() as u64,
            start: worker
                .starts
                .values()
                .map(|pending| pending.start.clone())
                .collect(),
            stop: worker.stop_orders(),
            ended: std::mem::take(&mut worker.acks),
        })
    }

    fn register_worker(&mut self, now: Moment, poll: &Poll) -> Result<WorkerKey> {
        let count = u32::try_from(self.racks.len()).expect("fewer than 2^32 racks");
        let rack = *self.racks.entry(poll.rack.clone()).or_insert(count);
        let Some(&key) = self.keys_by_name.get(&poll.name) else {
            let key = WorkerKey(u32::try_from(self.workers.len()).expect("fewer workers"));
            self.workers.push(new_worker(poll, rack));
            self.keys_by_name.insert(poll.name.clone(), key);
            return Ok(key);
        };
        let worker = &mut self.workers[key.0 as usize];
        let known = (worker.incarnation, worker.last_poll);
        if (poll.incarnation, poll.number) <= known {
            let message = "stale poll: a newer poll of this worker was already accepted";
            return Err(Error::new(Kind::BadAnnouncement, message));
        }
        if poll.incarnation > worker.incarnation {
            // The tasks of the previous incarnation ended with its process.
            self.give_up_tasks(now, key, true);
            let worker = &mut self.workers[key.0 as usize];
            worker.incarnation = poll.incarnation;
            worker.stops.clear();
            worker.acks.clear();
        }
        let worker = &mut self.workers[key.0 as usize];
        if worker.up && worker.total != poll.size {
            self.total = self.total.minus(worker.total).plus(poll.size);
        }
        worker.total = poll.size;
        worker.rack = rack;
        Ok(key)
    }

    fn handle_end(&mut self, now: Moment, key: WorkerKey, end: &EndReport) {
        let worker = &mut self.workers[key.0 as usize];
        worker.stops.remove(&(end.task, end.attempt));
        let is_current = worker.tasks.get(&end.task) == Some(&end.attempt);
        if !is_current {
            let is_unrecorded = self
                .jobs
                .get(&end.task.job)
                .is_some_and(|job| job.unrecorded.contains(&end.task.index));
            let adopts = end.ok && self.adopt_end(key, end);
            // An end that the registry has yet to record is acknowledged after that.
            if !is_unrecorded && !adopts {
                let worker = &mut self.workers[key.0 as usize];
                worker.acks.push((end.task, end.attempt));
            }
            return;
        }
        let team = self.release_task(now, key, end.task);
        if let Some(team) = team {
            self.release_unit(&team);
        }
        self.events.push(Event::TaskEnded {
            task: end.task.to_string(),
            ok: end.ok,
        });
        if !self.jobs.contains_key(&end.task.job) {
            self.workers[key.0 as usize]
                .acks
                .push((end.task, end.attempt));
            return;
        }
        if end.ok {
            self.record_outcome(now, key, true);
            self.pending_acks.insert(end.task, (key, end.attempt));
            let job = self.jobs.get_mut(&end.task.job).expect("known job");
            job.failures = 0;
            job.unrecorded.insert(end.task.index);
            self.ended.push(Ended {
                task: end.task,
                ok: true,
                fatal: None,
            });
            return;
        }
        self.workers[key.0 as usize]
            .acks
            .push((end.task, end.attempt));
        if end.evicted {
            self.requeue(end.task);
        } else {
            self.handle_failure(now, key, end.task);
        }
    }

    // Accepts the successful end of a task that a previous leader placed.
    fn adopt_end(&mut self, key: WorkerKey, end: &EndReport) -> bool {
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            return false;
        };
        if !job.unsettled.remove(&end.task.index) {
            return false;
        }
        job.unrecorded.insert(end.task.index);
        self.pending_acks.insert(end.task, (key, end.attempt));
        self.ended.push(Ended {
            task: end.task,
            ok: true,
            fatal: None,
        });
        true
    }

    fn record_outcome(&mut self, now: Moment, key: WorkerKey, ok: bool) {
        self.failure_rate.record(ok);
        let rate = self.failure_rate;
        let worker = &mut self.workers[key.0 as usize];
        if let Some(duration) = worker.health.record(now, ok, rate) {
            let worker = worker.name.clone();
            let millis = duration.as_millis() as u64;
            self.events
                .push(Event::WorkerQuarantined { worker, millis });
        }
    }

    fn handle_failure(&mut self, now: Moment, key: WorkerKey, task: Task) {
        let suspect = self.workers[key.0 as usize].health.is_suspect();
        self.record_outcome(now, key, false);
        let quarantined = self.workers[key.0 as usize].health.is_quarantined();
        let job = self.jobs.get_mut(&task.job).expect("known job");
        if !job.spec.rerun {
            self.ended.push(Ended {
                task,
                ok: false,
                fatal: Some(format!("task {} failed and may not run again", task.index)),
            });
            return;
        }
        // Failures on a worker that fails all its tasks do not count against the job.
        if !suspect && !quarantined {
            job.failures += 1;
            if job.failures > FAILURES_BEFORE_BACKOFF {
                let pause = BACKOFF_BASE
                    .saturating_mul(1 << (job.failures - FAILURES_BEFORE_BACKOFF).min(10))
                    .min(BACKOFF_MAX);
                job.not_before = now + pause;
            }
        }
        self.requeue(task);
    }

    /// Queues a task for placement again, with a current size estimate.
    pub(super) fn requeue(&mut self, task: Task) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.size = self.estimates.size(&job.team, &job.spec);
            job.waiting.insert(task.index);
            self.enqueue(task.job);
        }
    }

    fn handle_run(&mut self, now: Moment, key: WorkerKey, run: &RunReport) {
        let worker = &mut self.workers[key.0 as usize];
        if let Some(pending) = worker.starts.get(&run.task)
            && pending.start.attempt == run.attempt
        {
            worker.starts.remove(&run.task);
        }
        match worker.tasks.get(&run.task) {
            Some(&attempt) if attempt == run.attempt => {}
            _ => {
                if !self.adopt_run(now, key, run) {
                    let worker = &mut self.workers[key.0 as usize];
                    worker.order_stop(run.task, run.attempt, Action::Stop);
                    self.to_notify.insert(key);
                    return;
                }
            }
        }
        if let Some(used) = run.used {
            self.record_usage(now, key, run.task, used);
        }
    }

    // Takes over a running task that a previous leader placed.
    fn adopt_run(&mut self, now: Moment, key: WorkerKey, run: &RunReport) -> bool {
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return false;
        };
        if !job.unsettled.remove(&run.task.index) {
            return false;
        }
        let team = job.team.clone();
        self.reserve(now, key, run.task, run.attempt, run.size);
        self.adopted_teams.push(team);
        true
    }

    // Queues tasks again that the worker should know of but does not report: those that it
    // ran before, and those ordered in an answer that it has carried out.
    fn requeue_missing(&mut self, now: Moment, key: WorkerKey, poll: &Poll) {
        let worker = &self.workers[key.0 as usize];
        let reported: std::collections::BTreeSet<Task> = poll
            .running
            .iter()
            .map(|r| r.task)
            .chain(poll.ended.iter().map(|e| e.task))
            .collect();
        let missing: Vec<Task> = worker
            .tasks
            .keys()
            .filter(|task| !reported.contains(*task))
            .filter(|task| match worker.starts.get(*task) {
                Some(pending) => pending.first_answer > 0 && pending.first_answer <= poll.seen,
                None => !worker.preempting.contains_key(*task),
            })
            .copied()
            .collect();
        for task in missing {
            if let Some(team) = self.release_task(now, key, task) {
                self.release_unit(&team);
            }
            self.requeue(task);
        }
    }

    pub(super) fn expire_leases(&mut self, now: Moment) {
        for index in 0..self.workers.len() {
            let key = WorkerKey(u32::try_from(index).expect("fewer workers"));
            let worker = &mut self.workers[index];
            if worker.health.tick(now) {
                self.update_index(key);
            }
            let worker = &mut self.workers[index];
            if !worker.up || now < worker.lease_until {
                continue;
            }
            worker.up = false;
            self.total = self.total.minus(worker.total);
            let name = worker.name.clone();
            self.events.push(Event::WorkerSilent { worker: name });
            self.give_up_tasks(now, key, false);
            self.update_index(key);
        }
    }

    // Gives up the tasks of a worker that restarted or whose lease expired, since they no
    // longer run. After an expiry, tasks of jobs with `Unreachable::Keep` stay assigned.
    fn give_up_tasks(&mut self, now: Moment, key: WorkerKey, restarted: bool) {
        let tasks: Vec<Task> = self.workers[key.0 as usize].tasks.keys().copied().collect();
        for task in tasks {
            let stays_assigned = self
                .jobs
                .get(&task.job)
                .is_some_and(|job| job.spec.unreachable == Unreachable::Keep);
            if stays_assigned && !restarted {
                let job = self.jobs.get_mut(&task.job).expect("known job");
                if let Some(placement) = job.placed.get_mut(&task.index) {
                    placement.awaits_worker = true;
                }
                continue;
            }
            let worker = self.workers[key.0 as usize].name.clone();
            self.events.push(Event::TaskLost {
                task: task.to_string(),
                worker,
            });
            if let Some(team) = self.release_task(now, key, task) {
                self.release_unit(&team);
            }
            if let Some(job) = self.jobs.get(&task.job) {
                self.lost_tasks.insert((job.rank, task));
            }
        }
    }
}

fn new_worker(poll: &Poll, rack: u32) -> Worker {
    Worker {
        name: poll.name.clone(),
        incarnation: poll.incarnation,
        rack,
        total: poll.size,
        reserved: Size::default(),
        lease_until: Moment::ZERO,
        up: false,
        tasks: Default::default(),
        preempting: Default::default(),
        gang_reserved: Size::default(),
        draining: false,
        starts: Default::default(),
        stops: Default::default(),
        acks: Vec::new(),
        orphans: Default::default(),
        used: Default::default(),
        health: Default::default(),
        last_poll: 0,
        last_answer: 0,
    }
}
