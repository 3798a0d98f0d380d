//! Selection of the workers for which to request permits.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use super::io::Effect;
use super::permits::{SLOW_REQUEST_MIN, batch_size, expected_duration};
use super::place::{Requirement, Targets};
use super::{Lead, Now};
use crate::core::plane::plan::Permission;
use crate::core::plane::state::State;
use crate::core::plane::types::{StepName, WorkerKey};

/// Minimum number of spare workers in a renewal of permits, in case workers fill up while the
/// request is in flight.
const SPARE_WORKERS_MIN: usize = 2;
/// Number of needed workers for each further spare worker in a renewal.
const WORKERS_PER_SPARE: usize = 3;
/// Task slots to cover in the first request for each task of a step, so that a policy that
/// permits a third of the workers still leaves a choice.
const FIRST_REQUEST_SLOTS_PER_TASK: usize = 4;
/// Task slots, free or not, on permitted workers to know for each task of a gang, so that a
/// fleet that is five sixths full has room for it.
const PERMITTED_SLOTS_PER_TASK: usize = 6;
/// Task slots to request for the missing tasks of a gang, as a multiple of those required at
/// the share of workers granted so far.
const GRANT_MARGIN: f64 = 2.0;
/// Spare task slots for each task of a gang in a renewal of expired permits, because other
/// steps take some of the capacity while the request is in flight.
const SPARE_SLOTS_PER_TASK: usize = 1;
/// Delay before another attempt for a step for which no permits are worth requesting.
const RETRY_DELAY: Duration = Duration::from_millis(60);

// Workers to name in permission requests.
enum Selection {
    Empty,
    // All of these workers, in as many requests as needed, sent together.
    All(Vec<WorkerKey>),
    // A sample of these workers with room for the given number of tasks.
    Sample(Vec<WorkerKey>, usize),
}

impl Lead {
    // Returns the workers that may run a step by the answers so far and can get work now, or
    // `None` if there are none.
    pub(super) fn permitted_workers(
        &self,
        step: StepName,
        targets: &Targets,
    ) -> Option<Vec<WorkerKey>> {
        let step_permits = self.permits.for_step(step)?;
        let permitted = step_permits.permitted.keys().copied();
        let permitted: Vec<WorkerKey> = permitted
            .filter(|&key| targets.get(key).is_some())
            .collect();
        (!permitted.is_empty()).then_some(permitted)
    }

    // Requests permits: first for a sample of all workers, later to renew those of permitted
    // workers that have room, and otherwise for workers not named before.
    #[expect(
        clippy::too_many_arguments,
        reason = "passes the state of one planning round"
    )]
    pub(super) fn request_permits(
        &mut self,
        now: Now,
        state: &State,
        step: StepName,
        required: &Requirement,
        permission: Permission,
        eligible: &[WorkerKey],
        targets: &Targets,
        existing: &HashMap<WorkerKey, u16>,
        wanted: usize,
    ) {
        let is_gang = is_gang(state, step);
        let batch = batch_size(permission, is_gang);
        let is_slow = expected_duration(permission, batch) >= SLOW_REQUEST_MIN;
        if self.permits.is_waiting(now.at, step) || !self.permits.has_requester(now.at, is_slow) {
            return;
        }
        let selection = self.select(
            now, step, required, wanted, eligible, targets, existing, is_gang,
        );
        targets.add_examined(eligible.len());
        let max_requests = if is_gang && is_slow {
            self.permits.parallel_requests(now.at)
        } else {
            1
        };
        let (named, requests) = match selection {
            Selection::Empty => (Vec::new(), 0),
            Selection::All(named) => {
                let requests = named.len().div_ceil(batch);
                if requests > 1 && requests > self.permits.idle_requesters(now.at) {
                    (Vec::new(), 0)
                } else {
                    (named, requests)
                }
            }
            Selection::Sample(mut named, room) => {
                if named.len() > batch {
                    let max_named = batch * max_requests;
                    named = sample(targets, required, step, &named, max_named);
                    let prefix = prefix_with_room(targets, required, &named, room);
                    named.truncate(prefix.clamp(batch, max_named));
                }
                (named, max_requests)
            }
        };
        if named.is_empty() {
            self.permits.defer(step, now.at + RETRY_DELAY);
            return;
        }
        // The fixed cost dominates in a request of less than half the usual size.
        let requests = requests.min(named.len().div_ceil(batch.div_ceil(2)));
        for chunk in named.chunks(named.len().div_ceil(requests)) {
            let ids = Self::worker_ids(state, chunk);
            let number = self.number();
            if let Some((requester, request)) =
                self.permits.request(now.at, number, step, permission, ids)
            {
                self.effects.push(Effect::Ask(requester, request));
            }
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "passes the state of one planning round"
    )]
    fn select(
        &self,
        now: Now,
        step: StepName,
        required: &Requirement,
        wanted: usize,
        eligible: &[WorkerKey],
        targets: &Targets,
        existing: &HashMap<WorkerKey, u16>,
        is_gang: bool,
    ) -> Selection {
        let step_permits = self.permits.for_step(step);
        let Some(step_permits) =
            step_permits.filter(|p| !p.permitted.is_empty() || !p.denied.is_empty())
        else {
            return Selection::Sample(eligible.to_vec(), wanted * FIRST_REQUEST_SLOTS_PER_TASK);
        };
        let (permitted, others) = step_permits.split(eligible);
        let fitting = targets.find(required, wanted, &permitted, existing);
        if is_gang {
            return self.select_for_gang(
                now, step, required, wanted, targets, fitting, &permitted, others,
            );
        }
        self.select_for_tasks(now, step, required, targets, fitting, &permitted, others)
    }

    // Selects permitted workers whose renewed permits would let tasks start now, otherwise
    // workers not named before. Selects none if no task would fit.
    #[expect(
        clippy::too_many_arguments,
        reason = "passes the state of one planning round"
    )]
    fn select_for_tasks(
        &self,
        now: Now,
        step: StepName,
        required: &Requirement,
        targets: &Targets,
        fitting: Vec<WorkerKey>,
        permitted: &[WorkerKey],
        others: Vec<WorkerKey>,
    ) -> Selection {
        if !fitting.is_empty() {
            let spare =
                |fitting: &[WorkerKey]| SPARE_WORKERS_MIN + fitting.len() / WORKERS_PER_SPARE;
            return self.select_for_renewal(now, step, targets, fitting, permitted, spare);
        }
        let has_room = |&key: &WorkerKey| targets.has_room(key, required);
        if !others.iter().any(has_room) {
            return Selection::Empty;
        }
        Selection::Sample(others, 0)
    }

    // Selects workers for a gang, which must start all its tasks at once. Workers not named
    // before are selected if they have room for the missing tasks, or if too few permitted
    // workers are known.
    //
    // When hundreds of gangs wait on a full fleet, the permission service handles only about
    // a hundred requests at once. Requests for workers without room would delay gangs that
    // could start.
    #[expect(
        clippy::too_many_arguments,
        reason = "passes the state of one planning round"
    )]
    fn select_for_gang(
        &self,
        now: Now,
        step: StepName,
        required: &Requirement,
        wanted: usize,
        targets: &Targets,
        fitting: Vec<WorkerKey>,
        permitted: &[WorkerKey],
        others: Vec<WorkerKey>,
    ) -> Selection {
        if fitting.len() >= wanted {
            let more_room = wanted * SPARE_SLOTS_PER_TASK;
            let spare = |fitting: &[WorkerKey]| {
                let more = others_by_free_cpu(targets, permitted, fitting);
                let minimum = SPARE_WORKERS_MIN + fitting.len() / WORKERS_PER_SPARE;
                minimum.max(prefix_with_room(targets, required, &more, more_room))
            };
            return self.select_for_renewal(now, step, targets, fitting, permitted, spare);
        }
        let missing = wanted - fitting.len();
        let needed = (missing as f64 * GRANT_MARGIN / self.permits.grant_share(step)) as usize;
        let room: usize = others
            .iter()
            .map(|&key| targets.fit_count(key, required))
            .sum();
        if room >= missing {
            return Selection::Sample(others, needed);
        }
        if targets.empty_fit_count(permitted, required) < wanted * PERMITTED_SLOTS_PER_TASK {
            return Selection::Sample(others, 0);
        }
        Selection::Empty
    }

    // Selects the workers that fit and some spare ones if a permit of those that fit has
    // expired, otherwise none.
    fn select_for_renewal(
        &self,
        now: Now,
        step: StepName,
        targets: &Targets,
        mut fitting: Vec<WorkerKey>,
        permitted: &[WorkerKey],
        spare: impl Fn(&[WorkerKey]) -> usize,
    ) -> Selection {
        fitting.sort_unstable();
        fitting.dedup();
        let has_expired = |key: &WorkerKey| self.permits.valid(now.at, step, *key).is_none();
        if !fitting.iter().any(has_expired) {
            return Selection::Empty;
        }
        let more = others_by_free_cpu(targets, permitted, &fitting);
        let spare = spare(&fitting);
        fitting.extend(more.into_iter().take(spare));
        Selection::All(fitting)
    }
}

// Returns the permitted workers other than `fitting`, those with the most free processors
// first.
fn others_by_free_cpu(
    targets: &Targets,
    permitted: &[WorkerKey],
    fitting: &[WorkerKey],
) -> Vec<WorkerKey> {
    let is_other = |key: &WorkerKey| !fitting.contains(key);
    let mut more: Vec<WorkerKey> = permitted.iter().copied().filter(is_other).collect();
    let room = |key: &WorkerKey| targets.get(*key).map_or(0, |target| target.free.cpu);
    more.sort_by_key(|key| std::cmp::Reverse(room(key)));
    more
}

// Returns up to `count` of the workers: those with room first, and otherwise in the order of
// a hash of step and worker, which spreads the steps over the workers.
fn sample(
    targets: &Targets,
    required: &Requirement,
    step: StepName,
    workers: &[WorkerKey],
    count: usize,
) -> Vec<WorkerKey> {
    let mut ordered: Vec<(bool, u64, WorkerKey)> = workers
        .iter()
        .map(|&key| {
            let mut hasher = DefaultHasher::new();
            (step, key).hash(&mut hasher);
            (!targets.has_room(key, required), hasher.finish(), key)
        })
        .collect();
    if count < ordered.len() {
        ordered.select_nth_unstable(count);
        ordered.truncate(count);
    }
    ordered.sort_unstable();
    ordered.into_iter().map(|(.., key)| key).collect()
}

// Returns the length of the shortest prefix of `named` that has room for `count` tasks, or
// the whole length if they do not fit.
fn prefix_with_room(
    targets: &Targets,
    required: &Requirement,
    named: &[WorkerKey],
    count: usize,
) -> usize {
    let mut room = 0;
    let has_enough = |key: &WorkerKey| {
        room += targets.fit_count(*key, required);
        room >= count
    };
    let index = named.iter().position(has_enough);
    index.map_or(named.len(), |index| index + 1)
}

fn is_gang(state: &State, step: StepName) -> bool {
    let job = &state.jobs[&step.job];
    job.step(step).is_some_and(|(spec, _)| spec.gang)
}
