//! Why tasks wait.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::Fleet;
use crate::core::job::{Class, Id};
use crate::core::time::Moment;

/// Why a job's tasks wait.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The zone leader is new; tasks may still run under earlier leases.
    #[display("{tasks} tasks may still run under an earlier leader's leases for {millis} ms")]
    Unsettled {
        /// Tasks.
        tasks: usize,
        /// Time left.
        millis: u64,
    },
    /// Its tasks failed again and again.
    #[display("paused for {millis} ms after {failures} failures in a row")]
    Backoff {
        /// Time left.
        millis: u64,
        /// Failures.
        failures: u32,
    },
    /// The team has no unit of its limit left.
    #[display("the team runs as much as its upper limit allows here")]
    Limit,
    /// No worker has room for a task.
    #[display(
        "no open worker has {cpu_milli} milli-processors, {memory_mb} MB, {accelerators} accelerators free"
    )]
    Size {
        /// Thousandths of a processor.
        cpu_milli: u64,
        /// Memory in megabytes.
        memory_mb: u64,
        /// Accelerators.
        accelerators: u64,
    },
    /// Room is being kept until all its tasks fit.
    #[display("room for {room} of {tasks} tasks is kept until all fit")]
    Gathering {
        /// Tasks with room.
        room: usize,
        /// Tasks.
        tasks: usize,
    },
    /// Another all-at-once job gathers room first.
    #[display("job {job} gathers room first")]
    Behind {
        /// Job.
        job: Id,
    },
    /// Teams further below their shares go first.
    #[display("teams further below their shares go first")]
    Share,
    /// Workers are set aside because they fail what they start.
    #[display("{workers} workers are set aside because of failures")]
    Quarantine {
        /// Workers.
        workers: usize,
    },
    /// Tasks whose workers cannot be reached wait for them, as asked.
    #[display("{tasks} tasks wait for their unreachable workers")]
    Unreachable {
        /// Tasks.
        tasks: usize,
    },
}

/// Where a job's tasks stand and why.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Explanation {
    /// Tasks that wait.
    pub waiting: usize,
    /// Tasks that were placed.
    pub placed: usize,
    /// Why tasks wait.
    pub reasons: Vec<Reason>,
}

impl Fleet {
    /// Explains where a job's tasks stand.
    pub fn explain(&self, now: Moment, id: Id) -> Option<Explanation> {
        let job = self.jobs.get(&id)?;
        let mut reasons = Vec::new();
        if !job.unsettled.is_empty() {
            reasons.push(Reason::Unsettled {
                tasks: job.unsettled.len(),
                millis: self.settled_at.since(now).as_millis() as u64,
            });
        }
        let kept = job.placed.values().filter(|p| p.kept).count();
        if kept > 0 {
            reasons.push(Reason::Unreachable { tasks: kept });
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
        if let Some(hold) = &self.hold
            && job.spec.class == Class::AllAtOnce
        {
            reasons.push(if hold.job == id {
                Reason::Gathering {
                    room: hold.room.len(),
                    tasks: job.waiting.len(),
                }
            } else {
                Reason::Behind { job: hold.job }
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
        if self.index().tightest(job.size).is_none() {
            reasons.push(Reason::Size {
                cpu_milli: job.size.cpu_milli,
                memory_mb: job.size.memory_mb,
                accelerators: job.size.accelerators,
            });
        } else if self.starved.contains(&job.team) {
            reasons.push(Reason::Limit);
        } else if reasons.is_empty() {
            reasons.push(Reason::Share);
        }
    }
}
