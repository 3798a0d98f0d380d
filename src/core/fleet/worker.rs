//! One worker as the zone leader sees it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::health::Health;
use super::poll::{How, Start, Stop};
use crate::core::job::{Size, Task};
use crate::core::time::Moment;

/// A start that was ordered and not yet confirmed.
#[derive(Clone, Debug)]
pub struct Ordered {
    /// Order.
    pub start: Start,
    /// Number of the first answer that carried it, 0 before.
    pub reply: u64,
}

/// A worker.
#[derive(Debug)]
pub struct Worker {
    /// Name.
    pub name: String,
    /// Number that rises with each restart.
    pub incarnation: u64,
    /// Rack, as a number of this leader.
    pub rack: u32,
    /// What it has.
    pub total: Size,
    /// What its tasks have reserved.
    pub reserved: Size,
    /// When its lease surely ended, unless it polls before.
    pub lease_until: Moment,
    /// Whether its lease holds.
    pub up: bool,
    /// Tasks placed on it with their attempts.
    pub tasks: BTreeMap<Task, u64>,
    /// Urgent tasks that wait for room on it.
    pub held: BTreeMap<Task, Size>,
    /// Room kept for tasks that start all at once.
    pub kept: Size,
    /// Whether it gets nothing new until an all-at-once job has room.
    pub draining: bool,
    /// Starts to order.
    pub starts: BTreeMap<Task, Ordered>,
    /// Stops to order.
    pub stops: BTreeMap<(Task, u64), How>,
    /// Ends that the registry holds.
    pub acks: Vec<(Task, u64)>,
    /// Tasks of dropped jobs that still use it, with team and size.
    pub orphans: BTreeMap<Task, (String, Size)>,
    /// What its tasks use, as last reported.
    pub used: BTreeMap<Task, Size>,
    /// Failures.
    pub health: Health,
    /// Number of its latest poll.
    pub poll: u64,
    /// Number of the latest answer.
    pub reply: u64,
}

/// A worker as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerStat {
    /// Name.
    pub name: String,
    /// What it has.
    pub total: Size,
    /// What its tasks have reserved.
    pub reserved: Size,
    /// Tasks on it.
    pub tasks: usize,
    /// Whether its lease holds.
    pub up: bool,
    /// Whether it gets nothing new because of failures.
    pub quarantined: bool,
}

impl Worker {
    /// Returns whether its lease holds.
    pub const fn is_up(&self) -> bool {
        self.up
    }

    /// Returns whether it may get new tasks.
    pub const fn is_open(&self) -> bool {
        self.up && !self.draining && !self.health.is_quarantined()
    }

    /// Returns what can be given to new tasks.
    pub fn free(&self) -> Size {
        let held = self
            .held
            .values()
            .fold(Size::default(), |sum, size| sum.plus(*size));
        self.total.minus(self.reserved).minus(held).minus(self.kept)
    }

    /// Returns how many tasks of a size fit when it is empty.
    pub fn times_fits(&self, need: Size) -> u64 {
        Self::times(self.total, need)
    }

    /// Returns how many tasks of a size fit into an amount.
    pub fn times(amount: Size, need: Size) -> u64 {
        let times = |amount: u64, need: u64| amount.checked_div(need).unwrap_or(u64::MAX);
        times(amount.cpu_milli, need.cpu_milli)
            .min(times(amount.memory_mb, need.memory_mb))
            .min(times(amount.accelerators, need.accelerators))
            .min(u64::from(u32::MAX))
    }

    /// Orders a task to start.
    pub fn order_start(&mut self, start: Start) {
        let task = start.task;
        self.starts.insert(task, Ordered { start, reply: 0 });
    }

    /// Orders a task to stop.
    pub fn order_stop(&mut self, task: Task, attempt: u64, how: How) {
        self.stops.insert((task, attempt), how);
    }

    /// Returns the stops to order.
    pub fn stop_orders(&self) -> Vec<Stop> {
        self.stops
            .iter()
            .map(|(&(task, attempt), &how)| Stop { task, attempt, how })
            .collect()
    }

    /// Returns its figures.
    pub fn stat(&self) -> WorkerStat {
        WorkerStat {
            name: self.name.clone(),
            total: self.total,
            reserved: self.reserved,
            tasks: self.tasks.len(),
            up: self.up,
            quarantined: self.health.is_quarantined(),
        }
    }
}
