//! Selection of the workers for which to request permits.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use super::io::Effect;
use super::permits::{SLOW_MIN, expected, named_count};
use super::place::{Candidate, Seats};
use super::{Lead, Now};
use crate::core::plane::plan::Permission;
use crate::core::plane::state::State;
use crate::core::plane::types::{StepName, WorkerKey};

/// Minimum number of spare workers in a renewal of permits, in case workers fill up while the
/// request is in flight.
const SPARE_NAMED: usize = 2;
/// Number of needed workers for each further spare worker in a renewal.
const SPARE_PART: usize = 3;
/// Task slots to cover in the first request for each task of a step, so that a policy that
/// permits a third of the workers still leaves a choice.
const NAMED_PER_TASK: usize = 4;
/// Task slots, free or not, on permitted workers to know for each task of a gang, so that a
/// fleet that is five sixths full has room for it.
const KNOWN_PER_TASK: usize = 6;
/// Task slots to request for the missing tasks of a gang, as a multiple of those required at
/// the share of workers granted so far.
const LEARNED_MARGIN: f64 = 2.0;
/// Spare task slots for each task of a gang in a renewal of expired permits, because other
/// steps take some of the capacity while the request is in flight.
const SPARE_PER_TASK: usize = 1;
/// Delay before another attempt for a step for which no permits are worth requesting.
const ASK_AGAIN: Duration = Duration::from_millis(60);

// Workers to name in permission requests.
enum Wish {
    Nobody,
    // All of these workers, in as many requests as needed, sent together.
    All(Vec<WorkerKey>),
    // A sample of these workers with room for the given number of tasks.
    Some(Vec<WorkerKey>, usize),
}

impl Lead {
    // Returns the workers that may run a step by the answers so far and can get work now, or
    // `None` if there are none.
    pub(super) fn known_good(&self, step: StepName, seats: &Seats) -> Option<Vec<WorkerKey>> {
        let known = self.permits.known(step)?;
        let good = known.good.keys().copied();
        let good: Vec<WorkerKey> = good.filter(|&key| seats.get(key).is_some()).collect();
        (!good.is_empty()).then_some(good)
    }

    // Requests permits: first for a sample of all workers, later to renew those of permitted
    // workers that have room, and otherwise for workers not named before.
    #[expect(
        clippy::too_many_arguments,
        reason = "passes the state of one planning round"
    )]
    pub(super) fn ask_more(
        &mut self,
        now: Now,
        state: &State,
        step: StepName,
        what: &Candidate,
        terms: Permission,
        eligible: &[WorkerKey],
        seats: &Seats,
        present: &HashMap<WorkerKey, u16>,
        wanted: usize,
    ) {
        let needs_all = needs_all(state, step);
        let most = named_count(terms, needs_all);
        let is_slow = expected(terms, most) >= SLOW_MIN;
        if self.permits.is_waiting(now.at, step) || !self.permits.can_ask(now.at, is_slow) {
            return;
        }
        let wish = self.wish(now, step, what, wanted, eligible, seats, present, needs_all);
        seats.count(eligible.len());
        let most_parts = if needs_all && is_slow {
            self.permits.parts(now.at)
        } else {
            1
        };
        let (named, parts) = match wish {
            Wish::Nobody => (Vec::new(), 0),
            Wish::All(named) => {
                let parts = named.len().div_ceil(most);
                if parts > 1 && parts > self.permits.idle(now.at) {
                    (Vec::new(), 0)
                } else {
                    (named, parts)
                }
            }
            Wish::Some(mut named, room) => {
                if named.len() > most {
                    sample(seats, what, step, &mut named);
                    let enough = first_with_room(seats, what, &named, room);
                    named.truncate(enough.clamp(most, most * most_parts));
                }
                (named, most_parts)
            }
        };
        if named.is_empty() {
            self.permits.defer(step, now.at + ASK_AGAIN);
            return;
        }
        // The fixed cost dominates in a request of less than half the usual size.
        let parts = parts.min(named.len().div_ceil(most.div_ceil(2)));
        for part in named.chunks(named.len().div_ceil(parts)) {
            let ids = Self::worker_ids(state, part);
            let number = self.number();
            if let Some((asker, question)) = self.permits.ask(now.at, number, step, terms, ids) {
                self.effects.push(Effect::Ask(asker, question));
            }
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "passes the state of one planning round"
    )]
    fn wish(
        &self,
        now: Now,
        step: StepName,
        what: &Candidate,
        wanted: usize,
        eligible: &[WorkerKey],
        seats: &Seats,
        present: &HashMap<WorkerKey, u16>,
        is_gang: bool,
    ) -> Wish {
        let known = self.permits.known(step);
        let Some(known) = known.filter(|k| !k.good.is_empty() || !k.bad.is_empty()) else {
            return Wish::Some(eligible.to_vec(), wanted * NAMED_PER_TASK);
        };
        let (good, others): (Vec<WorkerKey>, Vec<WorkerKey>) = eligible
            .iter()
            .copied()
            .filter(|key| !known.bad.contains(key))
            .partition(|key| known.good.contains_key(key));
        let fitting = seats.find(what, wanted, &good, present);
        if is_gang {
            return self.wish_of_gang(now, step, what, wanted, seats, fitting, &good, others);
        }
        let find = |allowed: &[WorkerKey]| seats.find(what, wanted, allowed, present);
        self.wish_of_tasks(now, step, seats, &find, fitting, &good, others)
    }

    // Selects permitted workers whose renewed permits would let tasks start now, otherwise
    // workers not named before. Selects none if no task would fit.
    #[expect(
        clippy::too_many_arguments,
        reason = "passes the state of one planning round"
    )]
    fn wish_of_tasks(
        &self,
        now: Now,
        step: StepName,
        seats: &Seats,
        find: &dyn Fn(&[WorkerKey]) -> Vec<WorkerKey>,
        fitting: Vec<WorkerKey>,
        good: &[WorkerKey],
        others: Vec<WorkerKey>,
    ) -> Wish {
        if !fitting.is_empty() {
            let spare = |fitting: &[WorkerKey]| SPARE_NAMED + fitting.len() / SPARE_PART;
            return self.renewal(now, step, seats, fitting, good, spare);
        }
        if find(&others).is_empty() {
            return Wish::Nobody;
        }
        Wish::Some(others, 0)
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
    fn wish_of_gang(
        &self,
        now: Now,
        step: StepName,
        what: &Candidate,
        wanted: usize,
        seats: &Seats,
        fitting: Vec<WorkerKey>,
        good: &[WorkerKey],
        others: Vec<WorkerKey>,
    ) -> Wish {
        if fitting.len() >= wanted {
            let more_room = wanted * SPARE_PER_TASK;
            let spare = |fitting: &[WorkerKey]| {
                let more = more_than(seats, good, fitting);
                let least = SPARE_NAMED + fitting.len() / SPARE_PART;
                least.max(first_with_room(seats, what, &more, more_room))
            };
            return self.renewal(now, step, seats, fitting, good, spare);
        }
        let missing = wanted - fitting.len();
        let needed = (missing as f64 * LEARNED_MARGIN / self.permits.granted_share(step)) as usize;
        let room: usize = others.iter().map(|&key| seats.room_for(key, what)).sum();
        if room >= missing {
            return Wish::Some(others, needed);
        }
        if seats.holds(good, what) < wanted * KNOWN_PER_TASK {
            return Wish::Some(others, 0);
        }
        Wish::Nobody
    }

    // Selects the workers that fit and some spare ones if a permit of those that fit has
    // expired, otherwise none.
    fn renewal(
        &self,
        now: Now,
        step: StepName,
        seats: &Seats,
        mut fitting: Vec<WorkerKey>,
        good: &[WorkerKey],
        spare: impl Fn(&[WorkerKey]) -> usize,
    ) -> Wish {
        fitting.sort_unstable();
        fitting.dedup();
        let has_lapsed = |key: &WorkerKey| self.permits.valid(now.at, step, *key).is_none();
        if !fitting.iter().any(has_lapsed) {
            return Wish::Nobody;
        }
        let more = more_than(seats, good, &fitting);
        let spare = spare(&fitting);
        fitting.extend(more.into_iter().take(spare));
        Wish::All(fitting)
    }
}

// Returns the permitted workers other than `fitting`, those with the most free processors
// first.
fn more_than(seats: &Seats, good: &[WorkerKey], fitting: &[WorkerKey]) -> Vec<WorkerKey> {
    let is_more = |key: &WorkerKey| !fitting.contains(key);
    let mut more: Vec<WorkerKey> = good.iter().copied().filter(is_more).collect();
    let room = |key: &WorkerKey| seats.get(*key).map_or(0, |seat| seat.free.cpu);
    more.sort_by_key(|key| std::cmp::Reverse(room(key)));
    more
}

// Orders workers with room first, and otherwise by a hash of step and worker, which spreads
// the steps over the workers.
fn sample(seats: &Seats, what: &Candidate, step: StepName, named: &mut [WorkerKey]) {
    named.sort_by_cached_key(|key| {
        let mut hasher = DefaultHasher::new();
        (step, key).hash(&mut hasher);
        (seats.room_for(*key, what) == 0, hasher.finish())
    });
}

// Returns the length of the shortest prefix of `named` that has room for `count` tasks, or
// the whole length if they do not fit.
fn first_with_room(seats: &Seats, what: &Candidate, named: &[WorkerKey], count: usize) -> usize {
    let mut room = 0;
    let has_enough = |key: &WorkerKey| {
        room += seats.room_for(*key, what);
        room >= count
    };
    let at = named.iter().position(has_enough);
    at.map_or(named.len(), |at| at + 1)
}

fn needs_all(state: &State, step: StepName) -> bool {
    let job = &state.jobs[&step.job];
    job.step(step).is_some_and(|(spec, _)| spec.gang)
}
