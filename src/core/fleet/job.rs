//! A job as the zone leader places it.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::WorkerKey;
use super::estimate::Estimates;
use crate::core::job::{Job, Size, Spec};
use crate::core::time::Moment;

/// Order of jobs of one team: earliest deadline, then first come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Urgent jobs sort first.
    pub later: bool,
    /// Deadline, or the end of time.
    pub deadline: Moment,
    /// When the job was first seen, plus a part of its run time where waiting time
    /// weighs most.
    pub since: Moment,
}

/// Where a task was put.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Worker.
    pub worker: WorkerKey,
    /// Number that fences this run of the task.
    pub attempt: u64,
    /// Size that is reserved for it.
    pub size: Size,
    /// Whether its worker is unreachable and the task waits for it.
    pub kept: bool,
    /// Whether it was told to end.
    pub evicting: bool,
}

/// Placement state of one job.
#[derive(Debug)]
pub struct JobState {
    /// Team.
    pub team: String,
    /// What was asked for.
    pub spec: Spec,
    /// Place in its team's queue.
    pub rank: Rank,
    /// When it was first seen.
    pub since: Moment,
    /// Size to reserve for the next task.
    pub size: Size,
    /// Tasks to be placed.
    pub waiting: BTreeSet<u32>,
    /// Tasks that were placed.
    pub placed: HashMap<u32, Placement>,
    /// Tasks that may still run under a predecessor's lease.
    pub unsettled: BTreeSet<u32>,
    /// Tasks that ended; the registry does not hold it yet.
    pub ending: BTreeSet<u32>,
    /// Failures in a row that are not a worker's fault.
    pub failures: u32,
    /// Nothing of it is placed before.
    pub not_before: Moment,
    /// State of the fleet in which nothing fitted.
    pub blocked: Option<u64>,
    /// Tasks by rack.
    pub racks: BTreeMap<u32, u32>,
}

impl JobState {
    /// Makes the state of a job first seen at `now`.
    pub fn new(now: Moment, job: &Job, estimates: &mut Estimates) -> Self {
        let spec = job.spec.clone();
        let deadline = match spec.deadline_ms {
            0 => Moment(u64::MAX),
            millis => now + std::time::Duration::from_millis(millis),
        };
        Self {
            team: job.team.clone(),
            rank: Rank {
                later: !spec.urgent,
                deadline,
                since: now,
            },
            since: now,
            size: estimates.size(&job.team, &spec),
            spec,
            waiting: BTreeSet::new(),
            placed: HashMap::new(),
            unsettled: BTreeSet::new(),
            ending: BTreeSet::new(),
            failures: 0,
            not_before: Moment::ZERO,
            blocked: None,
            racks: BTreeMap::new(),
        }
    }

    /// Counts a task on a rack.
    pub fn enter_rack(&mut self, rack: u32) {
        *self.racks.entry(rack).or_default() += 1;
    }

    /// Ends the count of a task on a rack.
    pub fn leave_rack(&mut self, rack: u32) {
        if let Some(count) = self.racks.get_mut(&rack) {
            *count = count.saturating_sub(1);
        }
    }
}
