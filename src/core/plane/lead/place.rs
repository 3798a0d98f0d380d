//! Fitting tasks to workers.
//!
//! Load: gangs of large tasks beside many small ones. Small tasks go where they
//! leave the least room, so that whole holes stay for large ones, and a gang that
//! does not fit yet keeps later work off the workers it is closest to fitting on.

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};

use crate::core::plane::types::{Amount, WorkerKey};

/// Room on a worker that is worth a start, in thousandths of a core, for each
/// multiple of the expected run time that the worker is slower.
const SLOW_COST: f64 = 24_000.0;
/// Cost of each point of the score of failures, in thousandths of a core.
const FAILURE_COST: f64 = 16_000.0;
/// Cost of a rack without the step's data, for each multiple that it is slower.
const FAR_COST: f64 = 24_000.0;

/// Part of a worker that the task of a common gang takes: nine cores of 32. All of what
/// is less may be kept for urgent work.
const LARGE_SHARE: f64 = 0.28;
/// Largest part of a worker with more than that which is kept for urgent work. More would
/// leave no place for the third of three such tasks.
const URGENT_SHARE_MAX: f64 = 0.15;
/// Least free processors that are a place for urgent work, in thousandths of a core: the
/// size of a small task.
const URGENT_PLACE: i64 = 2_000;

/// Room for more tasks on one worker is not told apart.
const COUNTED_MAX: u16 = 64;

/// A worker as placing sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Seat {
    /// Capacity.
    pub capacity: Amount,
    /// What is free; may be below zero for what waiting gangs keep.
    pub free: Amount,
    /// What is free for work that is not urgent.
    pub free_later: Amount,
    /// Rack.
    pub rack: u32,
    /// Run time relative to what is expected.
    pub slowness: f64,
    /// Score of failures.
    pub failures: f64,
    /// Whether a task with users of its own is there.
    pub serving: bool,
    /// Whether a filling task is there.
    pub filling: bool,
}

/// What is to be placed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Candidate {
    /// What a task takes.
    pub room: Amount,
    /// Whether urgent work's room may be used.
    pub urgent: bool,
    /// Rack with the data.
    pub data_rack: Option<u32>,
    /// How much slower tasks are elsewhere.
    pub far: f64,
    /// Tasks that may be on one worker.
    pub most: Option<u16>,
    /// Whether all tasks should be on one rack.
    pub one_rack: bool,
    /// Whether the tasks have users of their own.
    pub serving: bool,
    /// Whether the tasks only fill.
    pub filling: bool,
}

/// All workers that may get work now.
#[derive(Clone, Debug, Default)]
pub struct Seats {
    /// By key; keys of workers that get nothing now hold none.
    seats: Vec<Option<Seat>>,
    work: Cell<u32>,
}

impl Seats {
    /// Adds a worker.
    pub fn add(&mut self, worker: WorkerKey, seat: Seat) {
        let at = worker.0 as usize;
        if self.seats.len() <= at {
            self.seats.resize(at + 1, None);
        }
        self.seats[at] = Some(seat);
    }

    /// Returns a worker.
    pub fn get(&self, worker: WorkerKey) -> Option<&Seat> {
        self.seats.get(worker.0 as usize)?.as_ref()
    }

    fn get_mut(&mut self, worker: WorkerKey) -> Option<&mut Seat> {
        self.seats.get_mut(worker.0 as usize)?.as_mut()
    }

    /// Returns all workers.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerKey, &Seat)> {
        (0..)
            .map(WorkerKey)
            .zip(&self.seats)
            .filter_map(|(key, seat)| Some((key, seat.as_ref()?)))
    }

    /// Returns how many workers have been looked at.
    pub const fn work(&self) -> u32 {
        self.work.get()
    }

    /// Counts workers that are looked at.
    pub fn count(&self, workers: usize) {
        self.work
            .set(self.work.get().saturating_add(workers as u32));
    }

    /// Takes room on a worker.
    pub fn take(&mut self, worker: WorkerKey, what: &Candidate) {
        if let Some(seat) = self.get_mut(worker) {
            seat.free -= what.room;
            seat.free_later -= what.room;
            seat.serving |= what.serving;
            seat.filling |= what.filling;
        }
    }

    fn fits(seat: &Seat, what: &Candidate) -> bool {
        let free = if what.urgent {
            &seat.free
        } else {
            &seat.free_later
        };
        // What fills must not slow down what serves, so that they never share a
        // worker.
        what.room.fits(free) && !(what.serving && seat.filling || what.filling && seat.serving)
    }

    /// Returns how many tasks a worker has room for now.
    pub fn room_for(&self, worker: WorkerKey, what: &Candidate) -> usize {
        let Some(seat) = self.get(worker) else {
            return 0;
        };
        let most = what.most.unwrap_or(COUNTED_MAX);
        let mut seat = seat.clone();
        let mut count = 0;
        while count < usize::from(most) && Self::fits(&seat, what) {
            seat.free -= what.room;
            seat.free_later -= what.room;
            count += 1;
        }
        self.count(1 + count);
        count
    }

    /// Returns how many tasks the workers would hold if they were empty.
    pub fn holds(&self, workers: &[WorkerKey], what: &Candidate) -> usize {
        self.count(workers.len());
        let seats = workers.iter().filter_map(|&key| self.get(key));
        seats.map(|seat| places(&seat.capacity, what)).sum()
    }

    /// Finds workers for up to `count` tasks among `allowed`, given how many tasks of
    /// the step each worker has. Takes no room.
    pub fn find(
        &self,
        what: &Candidate,
        count: usize,
        allowed: &[WorkerKey],
        present: &HashMap<WorkerKey, u16>,
    ) -> Vec<WorkerKey> {
        if what.one_rack
            && let Some(found) = self.find_on_one_rack(what, count, allowed, present)
        {
            return found;
        }
        self.find_anywhere(what, count, allowed, present)
    }

    fn find_on_one_rack(
        &self,
        what: &Candidate,
        count: usize,
        allowed: &[WorkerKey],
        present: &HashMap<WorkerKey, u16>,
    ) -> Option<Vec<WorkerKey>> {
        let mut racks: BTreeMap<u32, Vec<WorkerKey>> = BTreeMap::new();
        for &key in allowed {
            if let Some(seat) = self.get(key) {
                racks.entry(seat.rack).or_default().push(key);
            }
        }
        racks
            .into_values()
            .map(|keys| self.find_anywhere(what, count, &keys, present))
            .find(|found| found.len() == count)
    }

    fn find_anywhere(
        &self,
        what: &Candidate,
        count: usize,
        allowed: &[WorkerKey],
        present: &HashMap<WorkerKey, u16>,
    ) -> Vec<WorkerKey> {
        let mut seats: Vec<(WorkerKey, Seat, u16)> = allowed
            .iter()
            .filter_map(|&key| {
                let seat = self.get(key)?;
                Self::fits(seat, what).then(|| {
                    let here = present.get(&key).copied().unwrap_or(0);
                    (key, seat.clone(), here)
                })
            })
            .collect();
        self.count(allowed.len());
        let mut found = Vec::new();
        while found.len() < count {
            self.count(seats.len());
            let best = seats
                .iter_mut()
                .filter(|(_, seat, here)| {
                    what.most.is_none_or(|most| *here < most) && Self::fits(seat, what)
                })
                .min_by(|a, b| cost(&a.1, what).total_cmp(&cost(&b.1, what)));
            let Some((key, seat, here)) = best else {
                break;
            };
            seat.free -= what.room;
            seat.free_later -= what.room;
            *here += 1;
            found.push(*key);
        }
        found
    }

    /// Keeps processors for urgent work, in thousandths of a core, on the workers that have
    /// least free first.
    ///
    /// Load: urgent tasks of a few cores beside gangs whose tasks take a third or almost
    /// half of a worker. The urgent ones fit in what the gangs leave over. The same part of
    /// each worker instead leaves no place for the second of two such tasks on any.
    pub fn keep_for_urgent(&mut self, cpu: i64) {
        let mut order: Vec<(i64, WorkerKey)> = self
            .iter()
            .map(|(key, seat)| (seat.free.cpu, key))
            .filter(|(free, _)| *free >= URGENT_PLACE)
            .collect();
        order.sort_unstable();
        let mut left = cpu;
        for (free, key) in order {
            if left <= 0 {
                return;
            }
            let Some(seat) = self.get_mut(key) else {
                continue;
            };
            let part = |share: f64| (seat.capacity.cpu as f64 * share) as i64;
            let most = if free < part(LARGE_SHARE) {
                free
            } else {
                part(URGENT_SHARE_MAX)
            };
            let kept = left.min(most);
            seat.free_later.cpu -= kept;
            left -= kept;
        }
    }

    /// Returns the processors of all workers, in thousandths of a core.
    pub fn total_cpu(&self) -> i64 {
        self.iter().map(|(_, seat)| seat.capacity.cpu).sum()
    }

    /// Keeps room for `count` tasks that do not fit yet: what is free on the workers
    /// closest to fitting them is withheld from later candidates.
    pub fn keep(&mut self, what: &Candidate, count: usize, allowed: &[WorkerKey]) {
        let mut closest: Vec<(i64, WorkerKey)> = allowed
            .iter()
            .filter_map(|&key| {
                let seat = self.get(key)?;
                what.room
                    .fits(&seat.capacity)
                    .then_some((seat.free.cpu, key))
            })
            .collect();
        closest.sort_unstable_by(|a, b| b.cmp(a));
        let mut left = count;
        for (_, key) in closest {
            if left == 0 {
                return;
            }
            let seat = self.get_mut(key).expect("listed above");
            let here = places(&seat.capacity, what).clamp(1, left);
            // Urgent work may still take the room.
            seat.free_later -= what.room.times(here as i64);
            left -= here;
        }
    }
}

// How many tasks fit in `room`, none of which is taken.
fn places(room: &Amount, what: &Candidate) -> usize {
    let part = |have: i64, need: i64| if need > 0 { have / need } else { i64::MAX };
    let most = part(room.cpu, what.room.cpu)
        .min(part(room.memory, what.room.memory))
        .min(part(room.accelerators, what.room.accelerators));
    let limit = i64::from(what.most.unwrap_or(COUNTED_MAX));
    usize::try_from(most.min(limit)).unwrap_or(0)
}

// Lower is better: the room left over, and what makes the worker a bad choice.
fn cost(seat: &Seat, what: &Candidate) -> f64 {
    let left = (seat.free.cpu - what.room.cpu) as f64;
    let far = match what.data_rack {
        Some(rack) if rack != seat.rack => (what.far - 1.0).max(0.0) * FAR_COST,
        _ => 0.0,
    };
    let slow = (seat.slowness - 1.0).max(0.0) * SLOW_COST;
    left + far + slow + seat.failures * FAILURE_COST
}
