//! Relief of workers whose tasks use more resources than the worker has.

use super::{Action, Fleet, WorkerKey};
use crate::core::job::{Class, Ended, Size, Task};
use crate::core::time::Moment;

impl Fleet {
    /// Records a task's reported usage, and raises its reservation to it if the worker has
    /// enough unreserved resources.
    pub(super) fn record_usage(&mut self, now: Moment, key: WorkerKey, task: Task, used: Size) {
        self.workers[key.0 as usize].used.insert(task, used);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        self.estimates.record(&job.team, &job.spec, used);
        let Some(placement) = job.placed.get_mut(&task.index) else {
            return;
        };
        let grown = placement.size.max(Size {
            accelerators: 0,
            ..used
        });
        if grown == placement.size {
            return;
        }
        let extra = grown.minus(placement.size);
        let worker = &mut self.workers[key.0 as usize];
        if !worker.total.minus(worker.reserved).fits(extra) {
            return;
        }
        placement.size = grown;
        worker.reserved = worker.reserved.plus(extra);
        let team = job.team.clone();
        self.update_usage(now, &team, |running| running.plus(extra));
    }

    /// Relieves a worker whose tasks together use more than it has: checkpoints a task if
    /// memory is exceeded, throttles one if only processors are.
    pub(super) fn relieve_overload(&mut self, key: WorkerKey) {
        let worker = &self.workers[key.0 as usize];
        let used = worker
            .used
            .values()
            .fold(Size::default(), |sum, size| sum.plus(*size));
        let over_memory = used.memory_mb > worker.total.memory_mb;
        let over_cpu = used.cpu_milli > worker.total.cpu_milli;
        if !over_memory && !over_cpu {
            return;
        }
        let Some((task, used)) = self.largest_excess(key, over_memory) else {
            return;
        };
        if !over_memory {
            self.evict(key, task, Action::Throttle, "CPU usage above capacity");
            return;
        }
        self.evict(key, task, Action::Checkpoint, "memory usage above capacity");
        let largest = self
            .workers
            .iter()
            .map(|w| w.total.memory_mb)
            .max()
            .unwrap_or(0);
        if used.memory_mb > largest {
            self.ended.push(Ended {
                task,
                ok: false,
                fatal: Some(format!(
                    "task {} uses {} MB, more than any worker has",
                    task.index, used.memory_mb
                )),
            });
        }
    }

    // Returns the task that exceeds its declared size most. Urgent tasks are chosen only
    // after others, and services last.
    fn largest_excess(&self, key: WorkerKey, by_memory: bool) -> Option<(Task, Size)> {
        let worker = &self.workers[key.0 as usize];
        let amount = |size: Size| {
            if by_memory {
                size.memory_mb
            } else {
                size.cpu_milli
            }
        };
        worker
            .used
            .iter()
            .filter_map(|(task, used)| {
                let job = self.jobs.get(&task.job)?;
                let placement = job.placed.get(&task.index)?;
                if placement.evicting {
                    return None;
                }
                let excess = amount(*used).saturating_sub(amount(job.spec.size));
                let is_service = job.spec.class == Class::Service;
                Some(((!is_service, !job.spec.urgent, excess), *task, *used))
            })
            .max_by_key(|(rank, ..)| *rank)
            .map(|(_, task, used)| (task, used))
    }
}
