//! Placement of tasks on workers.
//!
//! The expected load mixes gangs of large tasks with many small tasks. Best-fit bin
//! packing puts a task on the worker where it leaves the least free processor time, so
//! that workers with much free capacity stay available for large tasks. Capacity is reserved
//! for a gang that does not fit yet on the workers closest to fitting it, which keeps
//! later work off them.

use std::cell::Cell;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use super::interference::Marks;
use crate::core::plane::types::{Resources, WorkerKey};

/// Placement cost of a slow worker, in thousandths of a core, for each multiple of the
/// expected run time by which the worker is slower.
const SLOWNESS_COST_MILLICORES: f64 = 24_000.0;
/// Placement cost of a worker's speed at the highest urgency, as a share of the worker's capacity,
/// for each multiple of the median run time by which it is slower. A worker that is 1.35 times
/// as slow then comes after any that has room.
const SPEED_COST_SHARE: f64 = 4.0;
/// Deviation of a worker's slowness from 1.0 that does not affect placement: about twice the
/// error of an estimate.
const NORMAL_BAND: f64 = 0.1;
/// Failure score from which on a worker's speed does not attract tasks: half a failure.
const ATTRACTION_FAILURES_MAX: f64 = 0.5;
/// Recent slowness up to which a worker's speed attracts tasks in full, and from which on it does
/// not: a worker that turns four times as slow exceeds it after four runs.
const ATTRACTION_SLOWNESS: [f64; 2] = [1.5, 3.0];
/// Maximum slowness up to which steps with slack prefer slow workers: the ratio of the speeds 1.7
/// and 0.7. The fleet's upper decile applies if it is lower.
const ACCEPTED_SLOWNESS_MAX: f64 = 2.5;
/// Upper bounds on the slowness of the classes of workers that are tried for a gang in turn.
const GANG_CLASSES: [f64; 6] = [
    1.0 - NORMAL_BAND,
    1.0 + NORMAL_BAND,
    1.3,
    1.6,
    2.0,
    ACCEPTED_SLOWNESS_MAX,
];
/// Goal as a multiple of the critical path at which a step has no preference for fast or slow
/// workers.
const NEUTRAL_GOAL_MULTIPLE: f64 = 3.0;
/// Lowest urgency: steps with slack prefer slow workers less than tight ones prefer fast ones.
const URGENCY_MIN: f64 = -0.5;
/// Placement cost of each point of a worker's failure score, in thousandths of a core.
const FAILURE_COST_MILLICORES: f64 = 16_000.0;
/// Placement cost of a rack without the step's data, in thousandths of a core, for each
/// multiple of the expected run time by which tasks are slower there.
const REMOTE_COST_MILLICORES: f64 = 24_000.0;
/// Placement cost of a worker that runs an interfering image, in thousandths of a core, for each
/// multiple of the run time by which tasks are slowed down: as for a slow worker.
const INTERFERENCE_COST_MILLICORES: f64 = SLOWNESS_COST_MILLICORES;

/// Share of a worker that a task of a typical gang takes: 9 of 32 cores. Where less than
/// this is free, all of it may be reserved for urgent work.
const LARGE_TASK_SHARE: f64 = 0.28;
/// Maximum share reserved for urgent work on a worker with room for a large task. A larger
/// reserve would leave a worker with room for only two large tasks instead of three.
const URGENT_RESERVE_SHARE_MAX: f64 = 0.15;
/// Minimum free processors on a worker for a reserve for urgent work, in thousandths of a
/// core: the size of a small task.
const URGENT_RESERVE_MIN_MILLICORES: i64 = 2_000;

/// Upper bound on the number of tasks counted for one worker.
const COUNTED_TASKS_MAX: u16 = 64;

/// A worker as a placement target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Target {
    /// Total capacity.
    pub capacity: Resources,
    /// Capacity taken by tasks that last, which does not come free by itself.
    pub lasting: Resources,
    /// Free capacity, available to urgent work.
    pub free: Resources,
    /// Free capacity for work that is not urgent: excludes the reserves for urgent work and
    /// for waiting gangs, and is negative if they exceed what is free.
    pub free_non_urgent: Resources,
    /// Index that the leader assigned to the rack.
    pub rack: u32,
    /// Index that the leader assigned to the availability zone.
    pub zone: u32,
    /// Learned run time as a multiple of the fleet's median; 1.0 on a fleet of about equal
    /// workers.
    pub slowness: f64,
    /// Run time of the latest runs as a multiple of the expected run time at that slowness.
    pub recent_slowness: f64,
    /// Score of recent failures; higher is worse.
    pub failure_score: f64,
    /// Whether the worker runs a task that serves requests.
    pub serving: bool,
    /// Whether the worker runs a best-effort task, which uses only processor time that other
    /// tasks leave idle.
    pub best_effort: bool,
    /// Whether anything runs on the worker.
    pub busy: bool,
    /// Whether the worker is kept for tasks that may have crashed a worker.
    pub kept: bool,
    /// Whether such a task is on trial on the worker.
    pub on_trial: bool,
    /// Images on the worker, among those that interfere with any.
    pub marks: Marks,
}

/// Workers that tasks may share with other steps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sharing {
    /// Any, apart from those kept for trials or with a task on trial.
    #[default]
    Any,
    /// None: the tasks may have crashed a worker, and run where nothing else does.
    None,
    /// Any without a task on trial, the least used first: the tasks may have crashed a worker.
    LeastUsed,
}

/// Resources and constraints of the tasks to place, all of one step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Requirement {
    /// Capacity that each task takes.
    pub resources: Resources,
    /// Whether the tasks may use capacity reserved for urgent work and for waiting gangs.
    pub urgent: bool,
    /// Whether the tasks may use all capacity that is withheld, also on workers kept for trials.
    pub ignores_reserves: bool,
    /// Rack that holds the step's data.
    pub data_rack: Option<u32>,
    /// Run time on other racks as a multiple of the run time on the data's rack.
    pub slowdown: f64,
    /// Maximum number of the step's tasks on one worker.
    pub max_per_worker: Option<u16>,
    /// Whether to prefer placing all tasks on one rack.
    pub single_rack: bool,
    /// Whether to prefer placing all tasks in one availability zone.
    pub single_zone: bool,
    /// Whether the tasks form a gang, which runs as fast as its slowest member.
    pub gang: bool,
    /// Preference for fast workers, from -0.5 (prefers slow ones) to 1.0.
    pub urgency: f64,
    /// Whether the tasks serve requests.
    pub serving: bool,
    /// Whether the tasks are best-effort, using only processor time that others leave idle.
    pub best_effort: bool,
    /// Workers that the tasks may share with other steps.
    pub sharing: Sharing,
    /// The tasks' image, if it interferes with any.
    pub marks: Marks,
    /// Images that interfere with the tasks', with the excess of the run time as a multiple.
    pub avoided: Vec<(Marks, f64)>,
}

/// Workers selected for the tasks of a step.
#[derive(Clone, Debug, Default)]
struct Selection {
    /// One worker for each task.
    workers: Vec<WorkerKey>,
    /// Sum of the placement costs, in thousandths of a core.
    cost: f64,
    /// The same without those of the workers' speeds.
    cost_without_speed: f64,
}

/// The workers that may get work in one planning round.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    /// Indexed by worker key; `None` for workers that get no work in this round.
    targets: Vec<Option<Target>>,
    /// Whether any worker's slowness is outside the normal band.
    is_uneven: bool,
    /// Slowness up to which steps with slack prefer slow workers.
    accepted_slowness: f64,
    /// Number of workers examined so far, which bounds the time of a round.
    examined: Cell<u32>,
}

impl Targets {
    /// Returns an empty set with capacity for workers up to this number.
    pub fn with_capacity(workers: usize) -> Self {
        Self {
            targets: Vec::with_capacity(workers),
            is_uneven: false,
            accepted_slowness: ACCEPTED_SLOWNESS_MAX,
            examined: Cell::default(),
        }
    }

    /// Sets the slowness of the fleet's upper decile. Steps with slack do not prefer workers that
    /// are slower by more than the normal band.
    pub fn set_upper_decile(&mut self, slowness: f64) {
        self.accepted_slowness = ACCEPTED_SLOWNESS_MAX.min(slowness * (1.0 + NORMAL_BAND));
    }

    /// Adds a worker, or replaces it if its key is already present.
    pub fn insert(&mut self, worker: WorkerKey, target: Target) {
        let index = worker.0 as usize;
        if self.targets.len() <= index {
            self.targets.resize(index + 1, None);
        }
        self.is_uneven |= (target.slowness - 1.0).abs() > NORMAL_BAND;
        self.targets[index] = Some(target);
    }

    /// Returns the worker with this key, if it may get work.
    pub fn get(&self, worker: WorkerKey) -> Option<&Target> {
        self.targets.get(worker.0 as usize)?.as_ref()
    }

    fn get_mut(&mut self, worker: WorkerKey) -> Option<&mut Target> {
        self.targets.get_mut(worker.0 as usize)?.as_mut()
    }

    /// Iterates over the workers in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerKey, &Target)> {
        (0..)
            .map(WorkerKey)
            .zip(&self.targets)
            .filter_map(|(key, target)| Some((key, target.as_ref()?)))
    }

    /// Returns the number of workers examined so far.
    pub const fn examined(&self) -> u32 {
        self.examined.get()
    }

    /// Adds to the number of examined workers.
    pub fn add_examined(&self, workers: usize) {
        self.examined
            .set(self.examined.get().saturating_add(workers as u32));
    }

    /// Adds images to those that a worker runs.
    pub fn mark(&mut self, worker: WorkerKey, marks: Marks) {
        if let Some(target) = self.get_mut(worker) {
            target.marks.insert(marks);
        }
    }

    /// Allocates the capacity for one task on a worker.
    pub fn allocate(&mut self, worker: WorkerKey, required: &Requirement) {
        if let Some(target) = self.get_mut(worker) {
            target.free -= required.resources;
            target.free_non_urgent -= required.resources;
            target.serving |= required.serving;
            target.best_effort |= required.best_effort;
            target.busy = true;
            target.on_trial |= required.sharing != Sharing::Any;
            target.marks.insert(required.marks);
        }
    }

    fn fits(target: &Target, required: &Requirement) -> bool {
        let free = usable_capacity(target, required);
        let may_share = match required.sharing {
            Sharing::Any => (!target.kept || required.ignores_reserves) && !target.on_trial,
            Sharing::None => !target.busy,
            Sharing::LeastUsed => !target.on_trial,
        };
        required.resources.fits(free) && may_share && !is_disturbed(target, required)
    }

    /// Returns whether a task fits in the free capacity of a worker.
    pub fn has_room(&self, worker: WorkerKey, required: &Requirement) -> bool {
        self.add_examined(1);
        self.get(worker)
            .is_some_and(|target| Self::fits(target, required))
    }

    /// Returns how many tasks fit in the free capacity of a worker.
    pub fn fit_count(&self, worker: WorkerKey, required: &Requirement) -> usize {
        let Some(target) = self.get(worker) else {
            return 0;
        };
        let max = required.max_per_worker.unwrap_or(COUNTED_TASKS_MAX);
        let mut target = target.clone();
        let mut count = 0;
        while count < usize::from(max) && Self::fits(&target, required) {
            target.free -= required.resources;
            target.free_non_urgent -= required.resources;
            count += 1;
        }
        self.add_examined(1 + count);
        count
    }

    /// Returns how many tasks would fit on the workers if they were empty.
    pub fn empty_fit_count(&self, workers: &[WorkerKey], required: &Requirement) -> usize {
        self.add_examined(workers.len());
        let targets = workers.iter().filter_map(|&key| self.get(key));
        targets
            .map(|target| fit_count_in(&target.capacity, required))
            .sum()
    }

    /// Returns how many tasks would fit on the workers if nothing but tasks that last ran there.
    pub fn attainable_fit_count(
        &self,
        workers: impl IntoIterator<Item = WorkerKey>,
        required: &Requirement,
    ) -> usize {
        let targets = workers.into_iter().filter_map(|key| self.get(key));
        targets
            .map(|target| attainable_fit_count(target, required))
            .sum()
    }

    /// Selects workers among `allowed` for up to `count` tasks, given how many tasks of the
    /// step each worker already runs. A worker is listed once for each task. Allocates
    /// nothing.
    pub fn find(
        &self,
        required: &Requirement,
        count: usize,
        allowed: &[WorkerKey],
        existing: &HashMap<WorkerKey, u16>,
    ) -> Vec<WorkerKey> {
        let prefers_rack_or_zone = required.single_rack || required.single_zone;
        if self.is_uneven && required.gang && required.urgency > 0.0 && !prefers_rack_or_zone {
            return self.find_for_gang(required, count, allowed, existing);
        }
        let find = |keys: &[WorkerKey]| self.find_anywhere(required, count, keys, existing);
        let is_complete = |selection: &Selection| selection.workers.len() == count;
        if required.single_rack {
            let racks = self.grouped(allowed, |target| target.rack);
            let mut selections = racks.values().map(|keys| find(keys));
            if let Some(selection) = selections.find(is_complete) {
                return selection.workers;
            }
        }
        if required.single_zone && count > 1 {
            let zones = self.grouped(allowed, |target| target.zone);
            let selections = zones.values().map(|keys| find(keys)).filter(is_complete);
            // Speed is left out, since it would gather the tight jobs in the zone with the most
            // fast workers.
            let best =
                selections.min_by(|a, b| a.cost_without_speed.total_cmp(&b.cost_without_speed));
            if let Some(selection) = best {
                return selection.workers;
            }
        }
        find(allowed).workers
    }

    // Selects workers for a gang among the fastest that have room for all of it; none if there is
    // no room.
    //
    // Among those, the slower ones come first: the slowest member determines the run time, and
    // the fastest stay available. Beyond the last class, the faster ones come first.
    fn find_for_gang(
        &self,
        required: &Requirement,
        count: usize,
        allowed: &[WorkerKey],
        existing: &HashMap<WorkerKey, u16>,
    ) -> Vec<WorkerKey> {
        self.add_examined(allowed.len());
        let rooms: Vec<(WorkerKey, f64, usize)> = allowed
            .iter()
            .filter_map(|&key| {
                let target = self.get(key)?;
                let assigned = existing.get(&key).copied().unwrap_or(0);
                let room = free_fit_count(target, required, assigned);
                (room > 0).then_some((key, target.slowness, room))
            })
            .collect();
        let has_room = |slowness_max: f64| {
            let fast = rooms.iter().filter(|(_, s, _)| *s <= slowness_max);
            fast.map(|(_, _, room)| room).sum::<usize>() >= count
        };
        let find = |required: &Requirement, slowness_max: f64| {
            let fast = rooms.iter().filter(|(_, s, _)| *s <= slowness_max);
            let fast: Vec<WorkerKey> = fast.map(|(key, _, _)| *key).collect();
            self.find_anywhere(required, count, &fast, existing).workers
        };
        if let Some(class) = GANG_CLASSES.into_iter().find(|max| has_room(*max)) {
            let slower_first = Requirement {
                urgency: URGENCY_MIN,
                ..required.clone()
            };
            return find(&slower_first, class);
        }
        if has_room(f64::INFINITY) {
            return find(required, f64::INFINITY);
        }
        Vec::new()
    }

    /// Selects one worker among `allowed` for as many of `count` tasks as fit there. Otherwise
    /// like [`Targets::find`].
    pub fn find_on_one(
        &self,
        required: &Requirement,
        count: usize,
        allowed: &[WorkerKey],
        existing: &HashMap<WorkerKey, u16>,
    ) -> Vec<WorkerKey> {
        self.add_examined(allowed.len());
        let fits = |key: &&WorkerKey| self.get(**key).is_some_and(|t| Self::fits(t, required));
        let selections = allowed
            .iter()
            .filter(fits)
            .map(|&key| self.find_anywhere(required, count, &[key], existing));
        let best = selections.max_by(|a, b| {
            let by_count = a.workers.len().cmp(&b.workers.len());
            by_count.then(b.cost.total_cmp(&a.cost))
        });
        best.map_or_else(Vec::new, |selection| selection.workers)
    }

    fn grouped(
        &self,
        allowed: &[WorkerKey],
        group: impl Fn(&Target) -> u32,
    ) -> BTreeMap<u32, Vec<WorkerKey>> {
        let mut groups: BTreeMap<u32, Vec<WorkerKey>> = BTreeMap::new();
        for &key in allowed {
            if let Some(target) = self.get(key) {
                groups.entry(group(target)).or_default().push(key);
            }
        }
        groups
    }

    fn cost(&self, target: &Target, required: &Requirement) -> f64 {
        cost(target, required) + speed_cost(target, required, self.accepted_slowness)
    }

    fn find_anywhere(
        &self,
        required: &Requirement,
        count: usize,
        allowed: &[WorkerKey],
        existing: &HashMap<WorkerKey, u16>,
    ) -> Selection {
        let mut targets: Vec<(WorkerKey, Target, u16)> = allowed
            .iter()
            .filter_map(|&key| {
                let target = self.get(key)?;
                Self::fits(target, required).then(|| {
                    let assigned = existing.get(&key).copied().unwrap_or(0);
                    (key, target.clone(), assigned)
                })
            })
            .collect();
        self.add_examined(allowed.len());
        let mut selection = Selection::default();
        // The cost of a worker depends on no other, so that only that of the worker just chosen
        // changes.
        let candidate = |(at, (_, target, assigned)): (usize, &(WorkerKey, Target, u16))| {
            let has_place = required.max_per_worker.is_none_or(|max| *assigned < max);
            (has_place && Self::fits(target, required)).then(|| {
                Reverse(Candidate {
                    cost: self.cost(target, required),
                    at,
                })
            })
        };
        let mut candidates: BinaryHeap<_> =
            targets.iter().enumerate().filter_map(candidate).collect();
        while selection.workers.len() < count {
            self.add_examined(targets.len());
            let Some(Reverse(Candidate { cost: best, at })) = candidates.pop() else {
                break;
            };
            let (key, target, assigned) = &mut targets[at];
            selection.cost += best;
            selection.cost_without_speed += cost(target, required);
            target.free -= required.resources;
            target.free_non_urgent -= required.resources;
            target.marks.insert(required.marks);
            *assigned += 1;
            selection.workers.push(*key);
            candidates.extend(candidate((at, &targets[at])));
        }
        selection
    }

    /// Reserves processors for urgent work, in thousandths of a core, starting with the
    /// workers that have the least free.
    ///
    /// Urgent tasks of a few cores run beside gangs whose tasks take a third to almost half
    /// of a worker, and fit in the capacity that those leave free. Reserving the same share
    /// of every worker instead would leave no worker with room for two such gang tasks.
    pub fn reserve_for_urgent(&mut self, cpu: i64) {
        let mut by_free_cpu: Vec<(i64, WorkerKey)> = self
            .iter()
            .map(|(key, target)| (target.free.cpu, key))
            .filter(|(free, _)| *free >= URGENT_RESERVE_MIN_MILLICORES)
            .collect();
        by_free_cpu.sort_unstable();
        let mut remaining = cpu;
        for (free, key) in by_free_cpu {
            if remaining <= 0 {
                return;
            }
            let Some(target) = self.get_mut(key) else {
                continue;
            };
            let part = |share: f64| (target.capacity.cpu as f64 * share) as i64;
            let max = if free < part(LARGE_TASK_SHARE) {
                free
            } else {
                part(URGENT_RESERVE_SHARE_MAX)
            };
            let reserved = remaining.min(max);
            target.free_non_urgent.cpu -= reserved;
            remaining -= reserved;
        }
    }

    /// Keeps up to `count` workers for tasks that need them to themselves: those with the least
    /// processor time in use. Workers without room for such a task beside tasks that last are left
    /// out.
    pub fn keep(&mut self, count: usize, allowed: &[WorkerKey], required: &Requirement) {
        let mut least_used: Vec<(i64, WorkerKey)> = allowed
            .iter()
            .filter_map(|&key| Some((key, self.get(key)?)))
            .filter(|(_, target)| !target.kept && !target.on_trial)
            .filter(|(_, target)| attainable_fit_count(target, required) > 0)
            .map(|(key, target)| (target.capacity.cpu - target.free.cpu, key))
            .collect();
        least_used.sort_unstable();
        for (_, key) in least_used.into_iter().take(count) {
            if let Some(target) = self.get_mut(key) {
                target.kept = true;
            }
        }
    }

    /// Returns whether at least half of the workers' capacity is free, of each kind.
    pub fn are_mostly_idle(&self, workers: &[WorkerKey]) -> bool {
        let mut capacity = Resources::default();
        let mut free = Resources::default();
        for target in workers.iter().filter_map(|&key| self.get(key)) {
            capacity += target.capacity;
            free += target.free;
        }
        let is_mostly_free = |free: i64, capacity: i64| free * 2 >= capacity;
        is_mostly_free(free.cpu, capacity.cpu)
            && is_mostly_free(free.memory, capacity.memory)
            && is_mostly_free(free.accelerators, capacity.accelerators)
    }

    /// Returns the total processor capacity of the workers, in thousandths of a core.
    pub fn total_cpu(&self) -> i64 {
        self.iter().map(|(_, target)| target.capacity.cpu).sum()
    }

    /// Reserves capacity for `count` tasks that do not fit yet on the workers closest to
    /// fitting them, so that later work that is not urgent cannot use it. Workers on which none
    /// would fit beside tasks that last are left out.
    pub fn reserve(&mut self, required: &Requirement, count: usize, allowed: &[WorkerKey]) {
        let mut closest: Vec<(i64, WorkerKey)> = allowed
            .iter()
            .filter_map(|&key| {
                let target = self.get(key)?;
                (attainable_fit_count(target, required) > 0).then_some((target.free.cpu, key))
            })
            .collect();
        // Each worker takes at least one task.
        if count < closest.len() {
            closest.select_nth_unstable_by(count, |a, b| b.cmp(a));
            closest.truncate(count);
        }
        closest.sort_unstable_by(|a, b| b.cmp(a));
        let mut remaining = count;
        for (_, key) in closest {
            if remaining == 0 {
                return;
            }
            let target = self.get_mut(key).expect("listed above");
            let reserved = attainable_fit_count(target, required).clamp(1, remaining);
            // Urgent work may still use the reserved capacity.
            target.free_non_urgent -= required.resources.times(reserved as i64);
            remaining -= reserved;
        }
    }
}

/// Worker that a task may be placed on; the lowest cost comes first, then the first listed.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    cost: f64,
    /// Position in the list of workers.
    at: usize,
}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        self.cost
            .total_cmp(&other.cost)
            .then(self.at.cmp(&other.at))
    }
}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Candidate {}

// Returns how many tasks fit in `capacity` if all of it is free.
fn fit_count_in(capacity: &Resources, required: &Requirement) -> usize {
    let part = |total: i64, each: i64| if each > 0 { total / each } else { i64::MAX };
    let max = part(capacity.cpu, required.resources.cpu)
        .min(part(capacity.memory, required.resources.memory))
        .min(part(capacity.accelerators, required.resources.accelerators));
    let limit = i64::from(required.max_per_worker.unwrap_or(COUNTED_TASKS_MAX));
    usize::try_from(max.min(limit)).unwrap_or(0)
}

// Returns the free capacity of a worker that the tasks may use.
const fn usable_capacity<'a>(target: &'a Target, required: &Requirement) -> &'a Resources {
    if required.urgent || required.ignores_reserves {
        &target.free
    } else {
        &target.free_non_urgent
    }
}

// Returns whether one of the tasks and the worker's would slow down the other. Best-effort tasks slow
// down serving tasks, so the two never share a worker.
const fn is_disturbed(target: &Target, required: &Requirement) -> bool {
    required.serving && target.best_effort || required.best_effort && target.serving
}

// Returns how many tasks fit on a worker if nothing but tasks that last runs there.
fn attainable_fit_count(target: &Target, required: &Requirement) -> usize {
    if is_disturbed(target, required) {
        return 0;
    }
    fit_count_in(&(target.capacity - target.lasting), required)
}

// Returns how many tasks fit in the free capacity of a worker that already runs `assigned` tasks of
// the step.
fn free_fit_count(target: &Target, required: &Requirement, assigned: u16) -> usize {
    if !Targets::fits(target, required) {
        return 0;
    }
    let free = usable_capacity(target, required);
    let max = required.max_per_worker;
    let remaining = max.map_or(usize::MAX, |max| usize::from(max.saturating_sub(assigned)));
    fit_count_in(free, required).min(remaining)
}

// Returns the placement cost of a worker, in thousandths of a core; lower is better. It is
// the processors left free (best fit), or those in use for tasks that may crash the worker, plus
// penalties for remote data, recent slowness, failures and interfering images.
fn cost(target: &Target, required: &Requirement) -> f64 {
    let fit = match required.sharing {
        Sharing::LeastUsed => target.capacity.cpu - target.free.cpu,
        Sharing::Any | Sharing::None => target.free.cpu - required.resources.cpu,
    } as f64;
    let remote = match required.data_rack {
        Some(r) if r != target.rack => (required.slowdown - 1.0).max(0.0) * REMOTE_COST_MILLICORES,
        _ => 0.0,
    };
    let slowness = (target.recent_slowness - 1.0).max(0.0) * SLOWNESS_COST_MILLICORES;
    let failures = target.failure_score * FAILURE_COST_MILLICORES;
    fit + remote + slowness + failures + interference_cost(target, required)
}

// Returns the placement cost of a worker's speed, in thousandths of a core: 0.0 on a worker in
// the normal band. It is a bonus on fast workers for urgent steps and on slow ones for steps with
// slack. Workers that fail or have turned slow get none.
fn speed_cost(target: &Target, required: &Requirement, accepted_slowness: f64) -> f64 {
    let deviation = target.slowness - 1.0;
    let beyond = (deviation.abs() - NORMAL_BAND).max(0.0).copysign(deviation);
    let is_too_slow = deviation > NORMAL_BAND && target.slowness > accepted_slowness;
    let urgency = if is_too_slow {
        required.urgency.max(0.0) + 0.5
    } else {
        required.urgency
    };
    let cost = urgency * beyond * target.capacity.cpu as f64 * SPEED_COST_SHARE;
    if cost < 0.0 {
        cost * attraction(target)
    } else {
        cost
    }
}

// Returns the share of the bonus for its speed that a worker gets.
fn attraction(target: &Target) -> f64 {
    let [full, none] = ATTRACTION_SLOWNESS;
    let by_failures = 1.0 - target.failure_score / ATTRACTION_FAILURES_MAX;
    let by_slowness = (none - target.recent_slowness) / (none - full);
    by_failures.clamp(0.0, 1.0) * by_slowness.clamp(0.0, 1.0)
}

/// Returns the urgency of a step whose goal is this multiple of its job's critical path: 1.0 up
/// to twice the critical path, -0.5 from 3.5 times on.
pub fn urgency(goal_multiple: f64) -> f64 {
    (NEUTRAL_GOAL_MULTIPLE - goal_multiple).clamp(URGENCY_MIN, 1.0)
}

/// Returns the time left until a job's goal as a multiple of what remains of its critical path, at
/// most the multiple that it had when it was accepted. All arguments are in milliseconds and the
/// paths are greater than 0.
pub fn goal_multiple(goal_ms: f64, elapsed_ms: f64, path_ms: f64, remaining_ms: f64) -> f64 {
    ((goal_ms - elapsed_ms) / remaining_ms).min(goal_ms / path_ms)
}

// Returns the placement cost of the worst of the interfering images on a worker: that of the
// slow-down, and the processors in use, as a worker with such an image is not preferred for being
// fuller. Tasks that may crash the worker are placed by what else may be lost there instead.
fn interference_cost(target: &Target, required: &Requirement) -> f64 {
    if required.sharing != Sharing::Any {
        return 0.0;
    }
    let avoided = required.avoided.iter();
    let on_target = avoided.filter(|(image, _)| target.marks.intersects(*image));
    let Some(excess) = on_target.map(|(_, excess)| *excess).reduce(f64::max) else {
        return 0.0;
    };
    (target.capacity.cpu - target.free.cpu) as f64 + excess * INTERFERENCE_COST_MILLICORES
}
