//! Steps that planning left waiting: when to search workers for them again, and log lines on
//! those that wait for long.
//!
//! On a full fleet hundreds of steps wait for seconds. A search in each round would cost a
//! leader most of its time and delay the steps that can start.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use super::io::Note;
use super::plan::Reserve;
use crate::core::plane::types::StepName;
use crate::core::time::Moment;

/// Time for which a step waits before a line about it is written, and interval of the lines.
const WAIT_NOTE_INTERVAL: Duration = Duration::from_secs(3);

/// Interval between searches for a waiting step as a divisor of its estimated run time, so that
/// a late search costs under 1 % of it.
const SEARCH_INTERVAL_DIVISOR: u32 = 128;
/// Maximum interval between searches for a waiting step. A worker whose state changes other
/// than by the end of a run is noticed within it.
const SEARCH_INTERVAL_MAX: Duration = Duration::from_millis(40);

/// Why a planning round left tasks of a step waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// A permission request is in flight or deferred.
    Permit,
    /// The account has reached its maximum of resources.
    Cap,
    /// No worker that may run the step has room.
    Room,
    /// The round ended before it came to the step.
    RoundLimit,
    /// A task of the step may have crashed a worker and is on trial.
    Trial,
    /// A task that may have crashed a worker waits for a worker on which nothing else runs.
    TrialWorker,
    /// The leader is behind and places only the most urgent steps.
    LeaderBehind,
}

/// Outcome of a search that left tasks of a step waiting.
#[derive(Clone, Debug)]
pub(super) struct Outcome {
    pub(super) reason: WaitReason,
    /// Number of tasks left waiting.
    pub(super) count: usize,
    /// Whether the workers that may run the step were mostly idle.
    pub(super) has_idle_workers: bool,
    /// Time of the next search.
    pub(super) search_at: Moment,
    /// Capacity to reserve until then.
    pub(super) reserve: Option<Arc<Reserve>>,
}

#[derive(Clone, Debug)]
struct Wait {
    since: Moment,
    /// Time since which the step has waited for room or permits while its workers were mostly
    /// idle.
    starved_since: Option<Moment>,
    noted_at: Moment,
    outcome: Outcome,
}

/// Steps that the latest planning round left waiting.
#[derive(Clone, Debug, Default)]
pub(super) struct Waits {
    steps: HashMap<StepName, Wait>,
}

impl Waits {
    /// Returns the outcome of the latest search for `count` tasks of a step, if the next one
    /// is not due.
    pub(super) fn outcome(&self, now: Moment, step: StepName, count: usize) -> Option<&Outcome> {
        let outcome = &self.steps.get(&step)?.outcome;
        (now < outcome.search_at && count == outcome.count).then_some(outcome)
    }

    /// Returns how long a step has waited while its workers were mostly idle.
    pub(super) fn starved_for(&self, now: Moment, step: StepName) -> Duration {
        let wait = self.steps.get(&step);
        let since = wait.and_then(|wait| wait.starved_since);
        since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Makes the next search for a step due.
    pub(super) fn search_now(&mut self, step: StepName) {
        if let Some(wait) = self.steps.get_mut(&step) {
            wait.outcome.search_at = Moment::ZERO;
        }
    }

    /// Records the steps that a round left waiting. Returns the lines that are due.
    pub(super) fn record(&mut self, now: Moment, waiting: Vec<(StepName, Outcome)>) -> Vec<Note> {
        let mut steps = HashMap::with_capacity(waiting.len());
        let mut notes = Vec::new();
        for (step, outcome) in waiting {
            let known = self.steps.get(&step);
            let (since, mut noted_at) = known.map_or((now, now), |w| (w.since, w.noted_at));
            let starved_since = known.and_then(|w| w.starved_since);
            let starved_since = match outcome.reason {
                WaitReason::Room | WaitReason::Permit if outcome.has_idle_workers => {
                    starved_since.or(Some(now))
                }
                // No workers were searched.
                WaitReason::RoundLimit | WaitReason::LeaderBehind => starved_since,
                _ => None,
            };
            if now.since(noted_at) >= WAIT_NOTE_INTERVAL {
                noted_at = now;
                notes.push(Note::StepWaits {
                    step: step.to_string(),
                    tasks: outcome.count,
                    reason: outcome.reason,
                    waited_ms: now.since(since).as_millis() as u64,
                });
            }
            let wait = Wait {
                since,
                starved_since,
                noted_at,
                outcome,
            };
            steps.insert(step, wait);
        }
        self.steps = steps;
        notes
    }
}

/// Returns the interval between searches for a waiting step with this estimated run time.
pub(super) fn search_interval(estimate: Duration) -> Duration {
    (estimate / SEARCH_INTERVAL_DIVISOR).min(SEARCH_INTERVAL_MAX)
}
