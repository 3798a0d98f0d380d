//! Trials of tasks that may have crashed a worker.
//!
//! A task that crashes each worker that starts it takes the other tasks on those workers with
//! it. After its first crash it therefore runs on a worker of its own, and so do the tasks
//! that started on the same worker at about the same time: most of them are innocent, and
//! return to shared workers once they have run for a while.

use std::time::Duration;

use super::Lead;
use super::channel::Channel;
use super::place::{Requirement, Targets};
use super::plan::{PendingStep, Round};
use crate::core::plane::job::Phase;
use crate::core::plane::state::State;
use crate::core::plane::types::{StepName, TaskName, WorkerKey};

/// Time for which a suspect has its worker to itself. A task that crashes its workers does so
/// sooner.
pub(super) const TRIAL: Duration = Duration::from_millis(1_000);
/// Share of the workers kept for trials, as a divisor.
const KEPT_WORKERS_DIVISOR: usize = 8;

/// State of the trials of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Trial {
    /// No task of the step is a suspect, or all have run for long enough.
    None,
    /// A suspect is starting or on trial. Other tasks of the step wait for the outcome.
    Running,
    /// These suspects wait for a worker.
    Waiting(Vec<TaskName>),
}

impl Lead {
    /// Returns the state of the trials of a step.
    pub(super) fn trial(&self, state: &State, name: StepName) -> Trial {
        let Some((_, step)) = state.jobs.get(&name.job).and_then(|job| job.step(name)) else {
            return Trial::None;
        };
        let mut waiting = Vec::new();
        for task in state.suspects(name) {
            let phase = step.tasks.get(usize::from(task.index)).map(|t| t.phase);
            let is_running = match phase {
                Some(Phase::Waiting) => self.uncommitted_starts.contains_key(&task),
                Some(Phase::Placed(worker)) => {
                    let channel = self.channels.get(worker);
                    channel.is_some_and(Channel::is_on_trial)
                }
                Some(Phase::Done) | None => continue,
            };
            if is_running {
                return Trial::Running;
            }
            if phase == Some(Phase::Waiting) {
                waiting.push(task);
            }
        }
        if waiting.is_empty() {
            Trial::None
        } else {
            Trial::Waiting(waiting)
        }
    }

    /// Keeps workers free of other tasks for the suspects that wait, the most urgent first.
    pub(super) fn keep_workers_for_trials(
        &mut self,
        state: &State,
        waiting: &[PendingStep],
        round: &mut Round,
    ) {
        if !state.has_suspects() {
            return;
        }
        let max = (self.channels.len() / KEPT_WORKERS_DIVISOR).max(1);
        let mut kept = 0;
        for pending in waiting {
            if kept >= max {
                return;
            }
            let Trial::Waiting(_) = self.trial(state, pending.step) else {
                continue;
            };
            let Some((required, allowed)) = self.trial_workers(state, pending, round) else {
                continue;
            };
            let is_gang = required.max_per_worker.is_none();
            let count = if is_gang {
                workers_for(&round.targets, &required, pending.count, &allowed)
            } else {
                1
            };
            let count = count.min(max - kept);
            round.targets.keep(count, &allowed, &required);
            kept += count;
        }
    }
}

// Returns how many empty workers `count` tasks take.
fn workers_for(
    targets: &Targets,
    required: &Requirement,
    count: usize,
    allowed: &[WorkerKey],
) -> usize {
    let room = targets.empty_fit_count(allowed, required);
    let each = (room / allowed.len().max(1)).max(1);
    count.div_ceil(each)
}
