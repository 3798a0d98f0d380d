//! Trials of tasks that may have crashed a worker.
//!
//! A task that crashes each worker that starts it takes the other tasks on those workers with
//! it. After its first crash it therefore runs on a worker without other steps, and so do the
//! tasks that started on the same worker at about the same time: most of them are innocent.
//! Suspects of one step are tried on one worker first, and the others of the step follow once
//! one of them has run for a while.
//!
//! Workers whose tasks last never become empty. So the wait for an empty one is bounded; after
//! it, suspects share the least used worker, and nothing else is started there meanwhile.

use std::collections::HashMap;
use std::time::Duration;

use super::place::{Requirement, Sharing, Targets};
use super::plan::{PendingStep, Round};
use super::{Lead, Now};
use crate::core::plane::job::Phase;
use crate::core::plane::state::State;
use crate::core::plane::types::{StepName, TaskName, WorkerKey};

/// Time for which a suspect keeps other tasks off its worker. A task that crashes its workers
/// does so sooner.
pub(super) const TRIAL: Duration = Duration::from_millis(1_000);
/// Maximum time for which suspects of a step wait for a worker that runs nothing else.
const EMPTY_WORKER_WAIT_MAX: Duration = Duration::from_millis(500);
/// The same if another worker has crashed on trial, so that innocent tasks are unlikely. With a
/// lease and a trial it stays within the 9 s in which a service must be back.
const REPEATED_EMPTY_WORKER_WAIT_MAX: Duration = Duration::from_millis(1_500);
/// Share of the workers kept for trials, as a divisor.
const KEPT_WORKERS_DIVISOR: usize = 8;

/// State of the trials of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Trial {
    /// No task of the step is a suspect, or none waits and one has run for long enough.
    None,
    /// Suspects are starting or on trial. Other tasks of the step wait for the outcome.
    Running,
    /// Suspects wait for a worker.
    Waiting(Suspects),
}

/// Suspects of a step that wait for a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Suspects {
    pub(super) tasks: Vec<TaskName>,
    /// Whether other suspects of the step have passed their trial.
    pub(super) has_passed: bool,
    /// Whether a worker has crashed shortly after the start of one of the suspects on trial.
    pub(super) has_crashed: bool,
}

impl Suspects {
    /// Returns the maximum time for which the suspects wait for a worker that runs nothing else.
    pub(super) const fn empty_worker_wait_max(&self) -> Duration {
        if self.has_crashed {
            REPEATED_EMPTY_WORKER_WAIT_MAX
        } else {
            EMPTY_WORKER_WAIT_MAX
        }
    }
}

impl Lead {
    /// Returns the state of the trials of a step.
    pub(super) fn trial(&self, state: &State, name: StepName) -> Trial {
        let Some((_, step)) = state.jobs.get(&name.job).and_then(|job| job.step(name)) else {
            return Trial::None;
        };
        let mut tasks = Vec::new();
        let (mut is_running, mut has_passed, mut has_crashed) = (false, false, false);
        for task in state.suspects(name) {
            match step.tasks.get(usize::from(task.index)).map(|t| t.phase) {
                Some(Phase::Waiting) if self.uncommitted_starts.contains_key(&task) => {
                    is_running = true;
                }
                Some(Phase::Waiting) => {
                    has_crashed |= state.has_crashed_on_trial(task);
                    tasks.push(task);
                }
                Some(Phase::Placed(worker)) => {
                    let channel = self.channels.get(worker);
                    if channel.is_some_and(|channel| channel.has_outlived(task, TRIAL)) {
                        has_passed = true;
                    } else {
                        is_running = true;
                    }
                }
                Some(Phase::Done) => has_passed = true,
                None => {}
            }
        }
        if is_running && !has_passed {
            Trial::Running
        } else if tasks.is_empty() {
            Trial::None
        } else {
            Trial::Waiting(Suspects {
                tasks,
                has_passed,
                has_crashed,
            })
        }
    }

    /// Selects workers for suspects of a step, or for a gang with suspects. Returns how they
    /// share them, and the workers.
    pub(super) fn find_for_trial(
        &mut self,
        now: Now,
        targets: &Targets,
        name: StepName,
        search: &Search,
    ) -> (Sharing, Vec<WorkerKey>) {
        let find = |sharing| {
            let required = Requirement {
                sharing,
                ..search.required.clone()
            };
            let Search {
                count,
                allowed,
                existing,
                ..
            } = *search;
            if search.on_one_worker {
                targets.find_on_one(&required, count, allowed, existing)
            } else {
                targets.find(&required, count, allowed, existing)
            }
        };
        let found = find(Sharing::None);
        if found.len() == search.count {
            self.trial_waits.remove(&name);
            return (Sharing::None, found);
        }
        let since = *self.trial_waits.entry(name).or_insert(now.at);
        let is_enough = !search.needs_all && !found.is_empty();
        if is_enough || now.at.since(since) < search.empty_worker_wait_max {
            return (Sharing::None, found);
        }
        (Sharing::LeastUsed, find(Sharing::LeastUsed))
    }

    /// Keeps workers free of other tasks for the suspects that wait, the most urgent first. None
    /// is kept for suspects that cannot start yet: they have reached their account's cap, or
    /// have no room beside tasks that last.
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
            let Trial::Waiting(suspects) = self.trial(state, pending.step) else {
                continue;
            };
            if self.pending_within_cap(state, pending) == 0 {
                continue;
            }
            let Some((required, allowed)) = self.trial_workers(state, pending, round) else {
                continue;
            };
            // All members of a gang start at once.
            let least = if required.gang { pending.count } else { 1 };
            let workers = allowed.iter().copied();
            if round.targets.attainable_fit_count(workers, &required) < least {
                continue;
            }
            let count = if required.gang {
                workers_for(&round.targets, &required, pending.count, &allowed)
            } else if suspects.has_passed {
                workers_for(&round.targets, &required, suspects.tasks.len(), &allowed)
            } else {
                1
            };
            let count = count.min(max - kept);
            round.targets.keep(count, &allowed, &required);
            kept += count;
        }
    }
}

/// Search for workers for tasks that may crash them.
pub(super) struct Search<'a> {
    pub(super) required: &'a Requirement,
    pub(super) count: usize,
    pub(super) allowed: &'a [WorkerKey],
    /// Number of tasks of the step on each worker.
    pub(super) existing: &'a HashMap<WorkerKey, u16>,
    /// Whether all tasks are placed on one worker, as many as fit there.
    pub(super) on_one_worker: bool,
    /// Whether all tasks start together or none does.
    pub(super) needs_all: bool,
    /// Time after which the tasks may share workers with other steps.
    pub(super) empty_worker_wait_max: Duration,
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
