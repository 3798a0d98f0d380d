//! Explanations for operators and clients of why a job's tasks wait.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::Fleet;
use crate::core::job::{Class, Id};
use crate::core::time::Moment;

/// Reason why tasks of a job wait.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The zone leader is new, and tasks may still run under leases from its predecessor.
    #[display("{tasks} tasks may still run under leases from the previous leader for {millis} ms")]
    Unsettled {
        /// Number of these tasks.
        tasks: usize,
        /// Time left until these leases have expired, in milliseconds.
        millis: u64,
    },
    /// The job is paused because its tasks kept failing.
    #[display("paused for {millis} ms after {failures} consecutive failures")]
    Backoff {
        /// Time left in the pause, in milliseconds.
        millis: u64,
        /// Number of consecutive failures.
        failures: u32,
    },
    /// The team has used up its limit.
    #[display("the team has no units of its limit left in this zone")]
    Limit,
    /// No worker has enough free resources for a task.
    #[display(
        "no worker that accepts tasks has {cpu_milli} milli-processors, {memory_mb} MB, {accelerators} accelerators free"
    )]
    Size {
        /// Needed processors, in thousandths.
        cpu_milli: u64,
        /// Needed memory in megabytes.
        memory_mb: u64,
        /// Needed accelerators.
        accelerators: u64,
    },
    /// Resources are being reserved until all tasks of the job fit.
    #[display("resources for {room} of {tasks} tasks are reserved until all fit")]
    Gathering {
        /// Number of tasks with reserved resources.
        room: usize,
        /// Number of tasks that have to start together.
        tasks: usize,
    },
    /// Resources are being reserved for another all-at-once job first.
    #[display("resources are being reserved for job {job} first")]
    Behind {
        /// The other job.
        job: Id,
    },
    /// Teams further below their shares go first.
    #[display("teams further below their shares go first")]
    Share,
    /// Workers are quarantined because tasks kept failing on them.
    #[display("{workers} workers are quarantined because of failures")]
    Quarantine {
        /// Number of quarantined workers.
        workers: usize,
    },
    /// Tasks wait for their unreachable workers, as the job requests.
    #[display("{tasks} tasks wait for their unreachable workers")]
    Unreachable {
        /// Number of these tasks.
        tasks: usize,
    },
}

/// Numbers of waiting and placed tasks of a job, and why tasks wait.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Explanation {
    /// Number of waiting tasks.
    pub waiting: usize,
    /// Number of placed tasks.
    pub placed: usize,
    /// Reasons why tasks wait.
    pub reasons: Vec<Reason>,
}

impl Fleet {
    /// Explains the state of a job's tasks, or returns `None` if the job is unknown.
    pub fn explain(&self, now: Moment, id: Id) -> Option<Explanation> {
        let job = self.jobs.get(&id)?;
        let mut reasons = Vec::new();
        if !job.unsettled.is_empty() {
            reasons.push(Reason::Unsettled {
                tasks: job.unsettled.len(),
                millis: self.settled_at.since(now).as_millis() as u64,
            });
        }
        let unreachable = job.placed.values().filter(|p| p.awaits_worker).count();
        if unreachable > 0 {
            reasons.push(Reason::Unreachable { tasks: unreachable });
        }
        if !job.waiting.is_empty() {
            self.explain_waiting(now, id, &mut reasons);
        }
        Some(Explanation {
            waiting: job.waiting.len() + job.unsettled.len(),
            placed: job.placed.len(),
            reasons,
        })
    }

    fn explain_waiting(&self, now: Moment, id: Id, reasons: &mut Vec<Reason>) {
        let job = &self.jobs[&id];
        if now < job.not_before {
            reasons.push(Reason::Backoff {
                millis: job.not_before.since(now).as_millis() as u64,
                failures: job.failures,
            });
        }
        if let Some(reservation) = &self.reservation
            && job.spec.class == Class::AllAtOnce
        {
            reasons.push(if reservation.job == id {
                Reason::Gathering {
                    room: reservation.assignments.len(),
                    tasks: job.waiting.len(),
                }
            } else {
                Reason::Behind {
                    job: reservation.job,
                }
            });
        }
        let quarantined = self
            .workers
            .iter()
            .filter(|w| w.health.is_quarantined())
            .count();
        if quarantined > 0 {
            reasons.push(Reason::Quarantine {
                workers: quarantined,
            });
        }
        if self.index().best_fit(job.size).is_none() {
            reasons.push(Reason::Size {
                cpu_milli: job.size.cpu_milli,
                memory_mb: job.size.memory_mb,
                accelerators: job.size.accelerators,
            });
        } else if self.teams_at_limit.contains(&job.team) {
            reasons.push(Reason::Limit);
        } else if reasons.is_empty() {
            reasons.push(Reason::Share);
        }
    }
}
