//! The order in which waiting steps are placed.
//!
//! The fleet is about 80% utilized in normal operation and overloaded in bursts. Strict
//! ordering by age or deadline lets a single burst make all later work late. Steps that can
//! still meet their response-time goal therefore come before late ones, and late ones before
//! those whose result has become worthless. Ties are broken by queue priority, then by
//! whether the job has time to spare, then by whether the account is within its fair share, then
//! by the least slack.
//!
//! In a backlog that lasts, an order by slack alone places each job when it has hardly any left,
//! so that most of them end late although the fleet works at its capacity. Jobs that may well be
//! late therefore come after those of their queue that have time to spare.

use serde::Serialize;

/// Multiple of the response-time goal after which a job's result is worthless.
const WORTHLESS_GOAL_MULTIPLE: f64 = 3.0;
/// Share of the estimated remaining time that counts when deciding whether a job is late.
/// Estimates are up to twice the real run time, and an overestimate must not demote a job.
const REMAINING_TIME_SHARE: f64 = 0.6;
/// Share of its response-time goal that a job needs to spare, by its full estimate, to count as
/// likely to meet it. Estimates are often off by half, which is a fifth to a third of a goal.
const SPARE_GOAL_SHARE: f64 = 0.3;
/// Time by which the rank of long-running work is moved ahead, in milliseconds: one day,
/// longer than any response-time goal.
const LONG_RUNNING_LEAD_MS: i64 = 24 * 3_600 * 1_000;

/// Sort key of a waiting step: the lowest rank is placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Rank {
    /// 0 if the goal can still be met, 1 if the job is late, 2 if its result is worthless.
    pub lateness: u8,
    /// Priority of the queue; 0 is the most urgent.
    pub priority: u32,
    /// Whether the job can still meet its goal, but has little time to spare.
    pub is_tight: bool,
    /// Whether the account uses more than its fair share.
    pub over_share: bool,
    /// Latest start that meets the goal, or for late jobs the time at which the result becomes
    /// worthless, in milliseconds since the Unix epoch.
    pub latest_start_ms: i64,
}

impl Rank {
    /// Ranks a step of long-running tasks: ahead of all other steps, the oldest first. Such a
    /// step is guaranteed its tasks until its job is cancelled, whatever else waits.
    pub const fn long_running(since_ms: u64) -> Self {
        Self {
            lateness: 0,
            priority: 0,
            is_tight: false,
            over_share: false,
            latest_start_ms: since_ms as i64 - LONG_RUNNING_LEAD_MS,
        }
    }

    /// Returns whether the result of the job has become worthless.
    pub const fn is_worthless(&self) -> bool {
        self.lateness >= 2
    }
}

/// Timing of a job from which its rank is computed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Timing {
    /// When the occurrence was due or, without a due time, the job was accepted, in
    /// milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// Estimated run time of the critical path, in milliseconds.
    pub critical_path_ms: f64,
    /// Estimated run time of what remains of the critical path, in milliseconds.
    pub remaining_ms: f64,
    /// Response-time goal as a multiple of the critical path; at least 1 is used.
    pub stretch: f64,
    /// Fixed part of the response-time goal, in milliseconds.
    pub goal_ms: u64,
}

/// Ranks a step at the wall-clock time `wall_ms`, in milliseconds since the Unix epoch.
pub fn rank(wall_ms: u64, timing: Timing, priority: u32, over_share: bool) -> Rank {
    let goal = timing.stretch.max(1.0) * timing.critical_path_ms + timing.goal_ms as f64;
    let elapsed = wall_ms as f64 - timing.since_ms as f64;
    let expected_response = elapsed + timing.remaining_ms * REMAINING_TIME_SHARE;
    let lateness = if expected_response <= goal {
        0
    } else if expected_response <= goal * WORTHLESS_GOAL_MULTIPLE {
        1
    } else {
        2
    };
    let limit = if lateness == 0 {
        goal
    } else {
        goal * WORTHLESS_GOAL_MULTIPLE
    };
    let spare = goal - elapsed - timing.remaining_ms;
    Rank {
        lateness,
        priority,
        is_tight: lateness == 0 && spare < goal * SPARE_GOAL_SHARE,
        over_share,
        latest_start_ms: (timing.since_ms as f64 + limit - timing.remaining_ms) as i64,
    }
}
