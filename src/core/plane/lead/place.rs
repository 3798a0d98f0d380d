//! Placement of tasks on workers.
//!
//! The expected load mixes gangs of large tasks with many small tasks. Best-fit bin
//! packing puts a task on the worker where it leaves the least free processor time, so
//! that workers with much free capacity stay available for large tasks. Capacity is reserved
//! for a gang that does not fit yet on the workers closest to fitting it, which keeps
//! later work off them.

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};

use crate::core::plane::types::{Amount, WorkerKey};

/// Placement cost of a slow worker, in thousandths of a core, for each multiple of the
/// expected run time by which the worker is slower.
const SLOW_COST: f64 = 24_000.0;
/// Placement cost of each point of a worker's failure score, in thousandths of a core.
const FAILURE_COST: f64 = 16_000.0;
/// Placement cost of a rack without the step's data, in thousandths of a core, for each
/// multiple of the expected run time by which tasks are slower there.
const FAR_COST: f64 = 24_000.0;

/// Share of a worker that a task of a typical gang takes: 9 of 32 cores. Where less than
/// this is free, all of it may be reserved for urgent work.
const LARGE_SHARE: f64 = 0.28;
/// Maximum share reserved for urgent work on a worker with room for a large task. A larger
/// reserve would leave a worker with room for only two large tasks instead of three.
const URGENT_SHARE_MAX: f64 = 0.15;
/// Minimum free processors on a worker for a reserve for urgent work, in thousandths of a
/// core: the size of a small task.
const URGENT_PLACE: i64 = 2_000;

/// Upper bound on the number of tasks counted for one worker.
const COUNTED_MAX: u16 = 64;

/// A worker as a placement target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Seat {
    /// Total capacity.
    pub capacity: Amount,
    /// Free capacity, available to urgent work.
    pub free: Amount,
    /// Free capacity for work that is not urgent: excludes the reserves for urgent work and
    /// for waiting gangs, and is negative if they exceed what is free.
    pub free_later: Amount,
    /// Number of the worker's rack.
    pub rack: u32,
    /// Run time as a multiple of the expected run time.
    pub slowness: f64,
    /// Score of recent failures; higher is worse.
    pub failures: f64,
    /// Whether the worker runs a task that serves requests.
    pub serving: bool,
    /// Whether the worker runs a best-effort task, which uses only processor time that other
    /// tasks leave idle.
    pub filling: bool,
}

/// Resources and constraints of the tasks to place, all of one step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Capacity that each task takes.
    pub room: Amount,
    /// Whether the tasks may use capacity reserved for urgent work and for waiting gangs.
    pub urgent: bool,
    /// Rack that holds the step's data.
    pub data_rack: Option<u32>,
    /// Run time on other racks as a multiple of the run time on the data's rack.
    pub far: f64,
    /// Maximum number of the step's tasks on one worker.
    pub most: Option<u16>,
    /// Whether to prefer placing all tasks on one rack.
    pub one_rack: bool,
    /// Whether the tasks serve requests.
    pub serving: bool,
    /// Whether the tasks are best-effort, using only processor time that others leave idle.
    pub filling: bool,
}

/// The workers that may get work in one planning round.
#[derive(Clone, Debug, Default)]
pub struct Seats {
    /// Indexed by worker key; `None` for workers that get no work in this round.
    seats: Vec<Option<Seat>>,
    /// Number of workers examined so far, which bounds the time of a round.
    work: Cell<u32>,
}

impl Seats {
    /// Adds a worker, or replaces it if its key is already present.
    pub fn add(&mut self, worker: WorkerKey, seat: Seat) {
        let at = worker.0 as usize;
        if self.seats.len() <= at {
            self.seats.resize(at + 1, None);
        }
        self.seats[at] = Some(seat);
    }

    /// Returns the worker with this key, if it may get work.
    pub fn get(&self, worker: WorkerKey) -> Option<&Seat> {
        self.seats.get(worker.0 as usize)?.as_ref()
    }

    fn get_mut(&mut self, worker: WorkerKey) -> Option<&mut Seat> {
        self.seats.get_mut(worker.0 as usize)?.as_mut()
    }

    /// Iterates over the workers in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerKey, &Seat)> {
        (0..)
            .map(WorkerKey)
            .zip(&self.seats)
            .filter_map(|(key, seat)| Some((key, seat.as_ref()?)))
    }

    /// Returns the number of workers examined so far.
    pub const fn work(&self) -> u32 {
        self.work.get()
    }

    /// Adds to the number of examined workers.
    pub fn count(&self, workers: usize) {
        self.work
            .set(self.work.get().saturating_add(workers as u32));
    }

    /// Allocates the capacity for one task on a worker.
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
        // Best-effort tasks would slow down serving tasks, so the two never share a
        // worker.
        what.room.fits(free) && !(what.serving && seat.filling || what.filling && seat.serving)
    }

    /// Returns how many tasks fit in the free capacity of a worker.
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

    /// Returns how many tasks would fit on the workers if they were empty.
    pub fn holds(&self, workers: &[WorkerKey], what: &Candidate) -> usize {
        self.count(workers.len());
        let seats = workers.iter().filter_map(|&key| self.get(key));
        seats.map(|seat| places(&seat.capacity, what)).sum()
    }

    /// Selects workers among `allowed` for up to `count` tasks, given how many tasks of the
    /// step each worker already runs. A worker is listed once for each task. Allocates
    /// nothing.
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

    /// Reserves processors for urgent work, in thousandths of a core, starting with the
    /// workers that have the least free.
    ///
    /// Urgent tasks of a few cores run beside gangs whose tasks take a third to almost half
    /// of a worker, and fit in the capacity that those leave free. Reserving the same share
    /// of every worker instead would leave no worker with room for two such gang tasks.
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

    /// Returns the total processor capacity of the workers, in thousandths of a core.
    pub fn total_cpu(&self) -> i64 {
        self.iter().map(|(_, seat)| seat.capacity.cpu).sum()
    }

    /// Reserves capacity for `count` tasks that do not fit yet on the workers closest to
    /// fitting them, so that later work that is not urgent cannot use it.
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
            // Urgent work may still use the reserved capacity.
            seat.free_later -= what.room.times(here as i64);
            left -= here;
        }
    }
}

// Returns how many tasks fit in `room` if all of it is free.
fn places(room: &Amount, what: &Candidate) -> usize {
    let part = |have: i64, need: i64| if need > 0 { have / need } else { i64::MAX };
    let most = part(room.cpu, what.room.cpu)
        .min(part(room.memory, what.room.memory))
        .min(part(room.accelerators, what.room.accelerators));
    let limit = i64::from(what.most.unwrap_or(COUNTED_MAX));
    usize::try_from(most.min(limit)).unwrap_or(0)
}

// Returns the placement cost of a worker, in thousandths of a core; lower is better. It is
// the processors left free (best fit) plus penalties for remote data, slowness and failures.
fn cost(seat: &Seat, what: &Candidate) -> f64 {
    let left = (seat.free.cpu - what.room.cpu) as f64;
    let far = match what.data_rack {
        Some(rack) if rack != seat.rack => (what.far - 1.0).max(0.0) * FAR_COST,
        _ => 0.0,
    };
    let slow = (seat.slowness - 1.0).max(0.0) * SLOW_COST;
    left + far + slow + seat.failures * FAILURE_COST
}
