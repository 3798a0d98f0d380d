//! Placement state of jobs at the zone leader.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::WorkerKey;
use super::estimate::Estimates;
use crate::core::job::{Job, Size, Spec};
use crate::core::time::Moment;

/// Sort key of jobs in a queue: urgent first, then by deadline, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether the job is not urgent; `false` sorts first.
    pub not_urgent: bool,
    /// Deadline, or the largest [`Moment`] for jobs without one.
    pub deadline: Moment,
    /// Time at which the job was first seen, or at which its gang's reservation last timed
    /// out.
    pub since: Moment,
}

/// Assignment of a task to a worker.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Worker that the task is assigned to.
    pub worker: WorkerKey,
    /// Attempt number, which serves as the fencing token of this run.
    pub attempt: u64,
    /// Resources reserved for the task.
    pub size: Size,
    /// Whether the worker became unreachable and the task stays assigned to it.
    pub awaits_worker: bool,
    /// Whether the task was ordered to end.
    pub evicting: bool,
}

/// Placement state of one job.
#[derive(Debug)]
pub struct JobState {
    /// Team that submitted the job.
    pub team: String,
    /// Job specification as submitted.
    pub spec: Spec,
    /// Position in its queue.
    pub rank: Rank,
    /// Time at which this leader first saw the job.
    pub since: Moment,
    /// Size to reserve for the next task.
    pub size: Size,
    /// Indices of the tasks to be placed.
    pub waiting: BTreeSet<u32>,
    /// Placements of the tasks that are assigned to workers, by index.
    pub placed: HashMap<u32, Placement>,
    /// Indices of the tasks that may still run under a lease from a previous leader.
    pub unsettled: BTreeSet<u32>,
    /// Indices of the completed tasks whose end the registry has yet to record.
    pub unrecorded: BTreeSet<u32>,
    /// Consecutive failures that are not attributed to a worker.
    pub failures: u32,
    /// Time before which none of its tasks is placed, because of backoff.
    pub not_before: Moment,
    /// Value of [`Index::gains`](super::index::Index::gains) at which no worker fitted.
    pub blocked_at_gains: Option<u64>,
    /// Number of placed tasks by rack.
    pub racks: BTreeMap<u32, u32>,
}

impl JobState {
    /// Creates the state of a job that is first seen at `now`.
    pub fn new(now: Moment, job: &Job, estimates: &mut Estimates) -> Self {
        let spec = job.spec.clone();
        let deadline = match spec.deadline_ms {
            0 => Moment(u64::MAX),
            millis => now + std::time::Duration::from_millis(millis),
        };
        Self {
            team: job.team.clone(),
            rank: Rank {
                not_urgent: !spec.urgent,
                deadline,
                since: now,
            },
            since: now,
            size: estimates.size(&job.team, &spec),
            spec,
            waiting: BTreeSet::new(),
            placed: HashMap::new(),
            unsettled: BTreeSet::new(),
            unrecorded: BTreeSet::new(),
            failures: 0,
            not_before: Moment::ZERO,
            blocked_at_gains: None,
            racks: BTreeMap::new(),
        }
    }

    /// Adds a task to the count of a rack.
    pub fn add_to_rack(&mut self, rack: u32) {
        *self.racks.entry(rack).or_default() += 1;
    }

    /// Removes a task from the count of a rack.
    pub fn remove_from_rack(&mut self, rack: u32) {
        if let Some(count) = self.racks.get_mut(&rack) {
            *count = count.saturating_sub(1);
        }
    }
}
