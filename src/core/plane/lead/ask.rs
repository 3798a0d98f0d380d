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
/// Places, free or not, that should be known to be good for each task of a gang, so that a
/// fleet that is five sixths full has room for it.
const KNOWN_PER_TASK: usize = 6;
/// Room to name for what a gang lacks, as a multiple of what would do if just the usual
/// share of the workers were granted.
const LEARNED_MARGIN: f64 = 2.0;
/// Further places named again for each task of a gang whose permits have lapsed: others
/// take some of the room while the question is under way.
const SPARE_PER_TASK: usize = 1;
/// A step that permits would not let start is looked at again after this.
const ASK_AGAIN: Duration = Duration::from_millis(60);

// Whom to ask for.
enum Wish {
    Nobody,
    // These, all at once.
    All(Vec<WorkerKey>),
    // As many of these as have room for some number of tasks.
    Some(Vec<WorkerKey>, usize),
}

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

    #[expect(clippy::too_many_arguments, reason = "the state of one round")]
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

    // Of the workers that are known to be good, those whose permits would let tasks start
    // now, else those not named yet. Nobody, if no task would fit anyway.
    #[expect(clippy::too_many_arguments, reason = "the state of one round")]
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

    // The same for a gang, which needs all its places at once. Further workers are named if
    // those of them that are likely to be good have room for what is missing.
    //
    // Load: hundreds of gangs wait on a full fleet, and the permission service has time for
    // some hundred questions at once. Learning workers without room takes that time from
    // gangs that could start.
    #[expect(clippy::too_many_arguments, reason = "the state of one round")]
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

    // All permits for workers that fit, if one of them has lapsed, and for some more.
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

// Workers beside those that fit, the ones with most room first.
fn more_than(seats: &Seats, good: &[WorkerKey], fitting: &[WorkerKey]) -> Vec<WorkerKey> {
    let is_more = |key: &WorkerKey| !fitting.contains(key);
    let mut more: Vec<WorkerKey> = good.iter().copied().filter(is_more).collect();
    let room = |key: &WorkerKey| seats.get(*key).map_or(0, |seat| seat.free.cpu);
    more.sort_by_key(|key| std::cmp::Reverse(room(key)));
    more
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
