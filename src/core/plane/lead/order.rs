//! The order in which waiting steps are placed.
//!
//! Load: a fleet that is four fifths full on a calm day and over-full in bursts.
//! Serving strictly by age or deadline lets one burst make everything late. Here
//! work that can still meet its goal comes before work that is late, and late work
//! before work that has lost its worth; within that come queues by priority, then
//! accounts below their share, then the least slack.

use serde::Serialize;

/// Multiple of the response-time goal after which a job is worth nothing.
const LATE_MAX: f64 = 3.0;
/// Part of the estimated remaining time that counts when a job is judged late.
/// Estimates are up to twice the real time, and a job must not be set back for one.
const REMAINING_TRUST: f64 = 0.6;
/// Time by which lasting work counts as older than it is, in milliseconds: a day, more
/// than any goal.
const LASTING_LEAD_MS: i64 = 24 * 3_600 * 1_000;

/// Sorts first what is to be placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Rank {
    /// 0 if the goal can be met, 1 if it is late, 2 if it has lost its worth.
    pub lateness: u8,
    /// Priority of the queue.
    pub priority: u32,
    /// Whether the account has more than its share.
    pub over_share: bool,
    /// Latest start that meets the goal, in milliseconds since 1970.
    pub latest_start_ms: i64,
}

impl Rank {
    /// Ranks a step whose tasks last: before all others, the oldest first. It is owed its
    /// places for as long as its job stays, however much else waits.
    pub const fn lasting(since_ms: u64) -> Self {
        Self {
            lateness: 0,
            priority: 0,
            over_share: false,
            latest_start_ms: since_ms as i64 - LASTING_LEAD_MS,
        }
    }
}

/// What a rank is made of.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Age {
    /// When the job was accepted or its occurrence was due, in milliseconds since
    /// 1970.
    pub since_ms: u64,
    /// Estimated time of its longest chain, in milliseconds.
    pub chain_ms: f64,
    /// Estimated time of what remains of it, in milliseconds.
    pub left_ms: f64,
    /// Goal as a multiple of the chain.
    pub stretch: f64,
    /// Fixed part of the goal, in milliseconds.
    pub goal_ms: u64,
}

/// Ranks a job at `wall_ms` milliseconds since 1970.
pub fn rank(wall_ms: u64, age: Age, priority: u32, over_share: bool) -> Rank {
    let goal = age.stretch.max(1.0) * age.chain_ms + age.goal_ms as f64;
    let passed = wall_ms as f64 - age.since_ms as f64;
    let end = passed + age.left_ms * REMAINING_TRUST;
    let lateness = if end <= goal {
        0
    } else if end <= goal * LATE_MAX {
        1
    } else {
        2
    };
    let due = if lateness == 0 { goal } else { goal * LATE_MAX };
    Rank {
        lateness,
        priority,
        over_share,
        latest_start_ms: (age.since_ms as f64 + due - age.left_ms) as i64,
    }
}
