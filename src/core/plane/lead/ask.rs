//! Which workers to ask permits for.

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

/// Workers named again beside those that are needed, in case some fill up while the
/// question is under way.
const SPARE_NAMED: usize = 2;
/// Besides, one for this many.
const SPARE_PART: usize = 3;
/// Places named for each task of a gang: a policy that allows a third of the workers
/// leaves some to choose from.
const NAMED_PER_TASK: usize = 4;
/// Further places named again for each task of a gang whose permits have lapsed: others
/// take some of the room while the question is under way.
const SPARE_PER_TASK: usize = 1;
/// A step that permits would not let start is looked at again after this.
const ASK_AGAIN: Duration = Duration::from_millis(60);

impl Lead {
    // Workers that may run a step and could get work.
    pub(super) fn known_good(&self, step: StepName, seats: &Seats) -> Option<Vec<WorkerKey>> {
        let known = self.permits.known(step)?;
        let good = known.good.keys().copied();
        let good: Vec<WorkerKey> = good.filter(|&key| seats.get(key).is_some()).collect();
        (!good.is_empty()).then_some(good)
    }

    // Asks for permits: first for a sample of all workers, then again for those that
    // are known to be good and have room, then for workers not named yet.
    #[expect(clippy::too_many_arguments, reason = "the state of one round")]
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
        let mut named: Vec<WorkerKey> = match self.permits.known(step) {
            Some(known) if !known.good.is_empty() || !known.bad.is_empty() => {
                let (good, others): (Vec<WorkerKey>, Vec<WorkerKey>) = eligible
                    .iter()
                    .copied()
                    .filter(|key| !known.bad.contains(key))
                    .partition(|key| known.good.contains_key(key));
                let find = |allowed: &[WorkerKey]| seats.find(what, wanted, allowed, present);
                self.worth_asking(now, state, step, what, wanted, seats, &find, &good, &others)
            }
            _ => eligible.to_vec(),
        };
        seats.count(eligible.len());
        if named.is_empty() {
            self.permits.defer(step, now.at + ASK_AGAIN);
            return;
        }
        let parts = if needs_all && is_slow {
            self.permits.parts(now.at)
        } else {
            1
        };
        if named.len() > most {
            sample(seats, what, step, &mut named);
            let enough = first_with_room(seats, what, &named, wanted * NAMED_PER_TASK);
            named.truncate(enough.clamp(most, most * parts));
        }
        // Below half of a question's usual size its fixed cost is most of it.
        let parts = parts.min(named.len().div_ceil(most.div_ceil(2)));
        for part in named.chunks(named.len().div_ceil(parts)) {
            let ids = Self::worker_ids(state, part);
            let number = self.number();
            if let Some((asker, question)) = self.permits.ask(now.at, number, step, terms, ids) {
                self.effects.push(Effect::Ask(asker, question));
            }
        }
    }

    // Workers whose permit would let tasks start now: those that are known to be good
    // and have room, else those not named yet. Nobody, if tasks would not fit anyway.
    #[expect(clippy::too_many_arguments, reason = "the state of one round")]
    fn worth_asking(
        &self,
        now: Now,
        state: &State,
        step: StepName,
        what: &Candidate,
        wanted: usize,
        seats: &Seats,
        find: &dyn Fn(&[WorkerKey]) -> Vec<WorkerKey>,
        good: &[WorkerKey],
        others: &[WorkerKey],
    ) -> Vec<WorkerKey> {
        let needed = if needs_all(state, step) { wanted } else { 1 };
        let mut fitting = find(good);
        if fitting.len() >= needed {
            fitting.sort_unstable();
            fitting.dedup();
            let has_lapsed = |key: &WorkerKey| self.permits.valid(now.at, step, *key).is_none();
            if !fitting.iter().any(has_lapsed) {
                return Vec::new();
            }
            let mut more: Vec<WorkerKey> = good
                .iter()
                .copied()
                .filter(|k| !fitting.contains(k))
                .collect();
            let room = |key: &WorkerKey| seats.get(*key).map_or(0, |seat| seat.free.cpu);
            more.sort_by_key(|key| std::cmp::Reverse(room(key)));
            let mut spare = SPARE_NAMED + fitting.len() / SPARE_PART;
            if needed > 1 {
                spare = spare.max(first_with_room(seats, what, &more, wanted * SPARE_PER_TASK));
            }
            fitting.extend(more.into_iter().take(spare));
            return fitting;
        }
        let all: Vec<WorkerKey> = good.iter().chain(others).copied().collect();
        if find(&all).len() < needed {
            return Vec::new();
        }
        others.to_vec()
    }
}

// Puts workers with room first, otherwise in an order that differs for each step, which
// spreads the load.
fn sample(seats: &Seats, what: &Candidate, step: StepName, named: &mut [WorkerKey]) {
    named.sort_by_cached_key(|key| {
        let mut hasher = DefaultHasher::new();
        (step, key).hash(&mut hasher);
        (seats.room_for(*key, what) == 0, hasher.finish())
    });
}

// How many of `named`, from the first on, it takes for room for `count` tasks.
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
