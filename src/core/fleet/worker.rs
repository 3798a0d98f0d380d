//! State of a worker at the zone leader.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::health::Health;
use super::poll::{Action, Start, Stop};
use crate::core::job::{Size, Task};
use crate::core::time::Moment;

/// Order to start a task that the worker has not confirmed yet.
#[derive(Clone, Debug)]
pub struct PendingStart {
    /// Order to send until it is confirmed.
    pub start: Start,
    /// Number of the first answer that carried the order, or 0 if none has.
    pub first_answer: u64,
}

/// Lease, resources, tasks and pending orders of a worker.
#[derive(Debug)]
pub struct Worker {
    /// Name of the worker.
    pub name: String,
    /// Incarnation number; rises with each restart of the worker.
    pub incarnation: u64,
    /// Number that this leader has given to the worker's rack.
    pub rack: u32,
    /// Total resources.
    pub total: Size,
    /// Resources reserved for its tasks.
    pub reserved: Size,
    /// Time at which its lease has expired for certain, with the margin for clock drift.
    pub lease_until: Moment,
    /// Whether its lease is valid.
    pub up: bool,
    /// Attempt numbers of the tasks placed on it.
    pub tasks: BTreeMap<Task, u64>,
    /// Urgent tasks that wait for preempted tasks to end, with their sizes.
    pub preempting: BTreeMap<Task, Size>,
    /// Resources reserved for a gang that has not started.
    pub gang_reserved: Size,
    /// Whether it accepts no other tasks until a gang starts.
    pub draining: bool,
    /// Orders to start tasks that it has not confirmed.
    pub starts: BTreeMap<Task, PendingStart>,
    /// Orders to end or throttle tasks, by task and attempt.
    pub stops: BTreeMap<(Task, u64), Action>,
    /// Ends to acknowledge in the next answer, as task and attempt.
    pub acks: Vec<(Task, u64)>,
    /// Tasks of removed jobs that it may still run, with team and reserved size.
    pub orphans: BTreeMap<Task, (String, Size)>,
    /// Last reported resource usage of its tasks.
    pub used: BTreeMap<Task, Size>,
    /// Recent failures and quarantine.
    pub health: Health,
    /// Sequence number of its latest poll.
    pub last_poll: u64,
    /// Sequence number of the latest answer to it.
    pub last_answer: u64,
}

/// Status of a worker as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerStatus {
    /// Name of the worker.
    pub name: String,
    /// Total resources.
    pub total: Size,
    /// Resources reserved for its tasks.
    pub reserved: Size,
    /// Number of tasks placed on it.
    pub tasks: usize,
    /// Whether its lease is valid.
    pub up: bool,
    /// Whether it gets no new tasks because of failures.
    pub quarantined: bool,
}

impl Worker {
    /// Returns whether the worker's lease is valid.
    pub const fn is_up(&self) -> bool {
        self.up
    }

    /// Returns whether the worker accepts new tasks.
    pub const fn is_open(&self) -> bool {
        self.up && !self.draining && !self.health.is_quarantined()
    }

    /// Returns the resources available to new tasks.
    pub fn free(&self) -> Size {
        let preempting = self
            .preempting
            .values()
            .fold(Size::default(), |sum, size| sum.plus(*size));
        self.total
            .minus(self.reserved)
            .minus(preempting)
            .minus(self.gang_reserved)
    }

    /// Returns how many tasks of a size the worker can run when it is empty.
    pub fn task_capacity(&self, need: Size) -> u64 {
        Self::tasks_in(self.total, need)
    }

    /// Returns how many tasks of a size fit into the given resources.
    pub fn tasks_in(amount: Size, need: Size) -> u64 {
        let times = |amount: u64, need: u64| amount.checked_div(need).unwrap_or(u64::MAX);
        times(amount.cpu_milli, need.cpu_milli)
            .min(times(amount.memory_mb, need.memory_mb))
            .min(times(amount.accelerators, need.accelerators))
            .min(u64::from(u32::MAX))
    }

    /// Adds an order to start a task.
    pub fn order_start(&mut self, start: Start) {
        let task = start.task;
        self.starts.insert(
            task,
            PendingStart {
                start,
                first_answer: 0,
            },
        );
    }

    /// Adds an order to end or throttle a task.
    pub fn order_stop(&mut self, task: Task, attempt: u64, how: Action) {
        self.stops.insert((task, attempt), how);
    }

    /// Returns the orders to end or throttle tasks.
    pub fn stop_orders(&self) -> Vec<Stop> {
        self.stops
            .iter()
            .map(|(&(task, attempt), &how)| Stop { task, attempt, how })
            .collect()
    }

    /// Returns the worker's status for operators.
    pub fn status(&self) -> WorkerStatus {
        WorkerStatus {
            name: self.name.clone(),
            total: self.total,
            reserved: self.reserved,
            tasks: self.tasks.len(),
            up: self.up,
            quarantined: self.health.is_quarantined(),
        }
    }
}
