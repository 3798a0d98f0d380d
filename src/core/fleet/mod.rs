//! Task scheduling of one zone: worker leases, placement of tasks and their recovery.

mod estimate;
mod explain;
mod gang;
mod health;
mod index;
mod job;
mod place;
mod poll;
mod relief;
mod worker;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

pub use explain::{Explanation, Reason};
pub use poll::{Action, EndReport, Orders, Poll, RunReport, Start, Stop};
pub use worker::{Worker, WorkerStatus};

use crate::config::{Config, Order, Policy};
use crate::core::job::{Class, Ended, Id, Job, Size, Spec, Task};
use crate::core::time::{Moment, with_clock_margin};
use crate::event::Event;
use estimate::Estimates;
use gang::Reservation;
use index::Index;
use job::JobState;

/// Length of a worker's lease, by the worker's clock. A worker ends its tasks when the
/// lease expires.
pub const WORKER_LEASE: Duration = Duration::from_secs(10);
/// Longest time for which a poll is held open until there are orders.
pub const POLL_WAIT_MAX: Duration = Duration::from_secs(4);
/// Lost tasks that are queued again per tick.
const REQUEUES_PER_TICK_MAX: usize = 10;
/// Most placements per tick, other than of gangs; bounds the time that a tick takes.
const PLACEMENTS_PER_TICK_MAX: usize = 256;
/// Half-life of the decayed average of a team's usage.
const USAGE_HALF_LIFE: Duration = Duration::from_secs(60);

/// Index of a worker in the table of its [`Fleet`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerKey(pub u32);

/// Usage, unused units and waiting jobs of one team.
#[derive(Clone, Debug, Default)]
struct Team {
    share: u32,
    available_units: u64,
    running: Size,
    usage: f64,
    usage_at: Moment,
    score: u64,
    waiting: BTreeSet<(job::Rank, Id)>,
}

/// Scheduler of a zone's tasks on its workers, run by the zone leader.
#[derive(Debug)]
pub struct Fleet {
    term: u64,
    settled_at: Moment,
    next_attempt: u64,
    workers: Vec<Worker>,
    keys_by_name: HashMap<String, WorkerKey>,
    racks: HashMap<String, u32>,
    index: Index,
    jobs: BTreeMap<Id, JobState>,
    teams: BTreeMap<String, Team>,
    team_order: BTreeSet<(u64, String)>,
    urgent: BTreeSet<(job::Rank, Id)>,
    gangs: BTreeSet<(job::Rank, Id)>,
    reservation: Option<Reservation>,
    lost_tasks: BTreeSet<(job::Rank, Task)>,
    estimates: Estimates,
    queues: BTreeMap<String, Policy>,
    policy: Order,
    total: Size,
    ended: Vec<Ended>,
    pending_acks: HashMap<Task, (WorkerKey, u64)>,
    to_notify: BTreeSet<WorkerKey>,
    events: Vec<Event>,
    failure_rate: health::FailureRate,
    adopted_teams: Vec<String>,
    teams_at_limit: BTreeSet<String>,
}

impl Fleet {
    /// Creates the scheduler of a leader whose `term` begins at `now`. Unless it is the
    /// zone's `first` leader, tasks that a previous leader placed may run until their
    /// workers' leases expire.
    pub fn new(term: u64, first: bool, now: Moment) -> Self {
        let settled_at = if first {
            now
        } else {
            now + with_clock_margin(WORKER_LEASE)
        };
        Self {
            term,
            settled_at,
            next_attempt: 0,
            workers: Vec::new(),
            keys_by_name: HashMap::new(),
            racks: HashMap::new(),
            index: Index::default(),
            jobs: BTreeMap::new(),
            teams: BTreeMap::new(),
            team_order: BTreeSet::new(),
            urgent: BTreeSet::new(),
            gangs: BTreeSet::new(),
            reservation: None,
            lost_tasks: BTreeSet::new(),
            estimates: Estimates::default(),
            queues: BTreeMap::new(),
            policy: Order::Share,
            total: Size::default(),
            ended: Vec::new(),
            pending_acks: HashMap::new(),
            to_notify: BTreeSet::new(),
            events: Vec::new(),
            failure_rate: health::FailureRate::default(),
            adopted_teams: Vec::new(),
            teams_at_limit: BTreeSet::new(),
        }
    }

    /// Applies the configuration: team shares, queue policies and the order of teams.
    pub fn configure(&mut self, config: &Config) {
        self.policy = config.cell.order;
        self.queues = config
            .queues
            .iter()
            .map(|(name, queue)| (name.clone(), queue.policy))
            .collect();
        for (name, team) in &config.teams {
            self.team_mut(name).share = team.share;
        }
    }

    /// Adds an open job of this zone, unless it is known.
    pub fn add_job(&mut self, now: Moment, job: &Job) {
        if self.jobs.contains_key(&job.id) {
            return;
        }
        let unsettled = now < self.settled_at;
        let mut state = JobState::new(now, job, &mut self.estimates);
        let tasks: Vec<u32> = job.open_tasks().map(|task| task.index).collect();
        if unsettled {
            state.unsettled = tasks.into_iter().collect();
        } else {
            state.waiting = tasks.into_iter().collect();
        }
        let id = job.id;
        self.jobs.insert(id, state);
        self.enqueue(id);
    }

    /// Removes a job that is no longer open and orders its tasks to stop.
    pub fn drop_job(&mut self, now: Moment, id: Id) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        self.dequeue(id, &job);
        if self
            .reservation
            .as_ref()
            .is_some_and(|reservation| reservation.job == id)
        {
            self.cancel_reservation();
        }
        for index in job.placed.keys() {
            let task = Task {
                job: id,
                index: *index,
            };
            self.stop_task(now, &job, task);
        }
    }

    fn stop_task(&mut self, now: Moment, job: &JobState, task: Task) {
        let placement = &job.placed[&task.index];
        let key = placement.worker;
        let worker = &mut self.workers[key.0 as usize];
        if worker.preempting.remove(&task).is_some() {
            // No start was ordered, so there is nothing to stop.
            worker.tasks.remove(&task);
            self.update_index(key);
            let size = placement.size;
            self.update_usage(now, &job.team, |running| running.minus(size));
            self.release_unit(&job.team);
            return;
        }
        worker.order_stop(task, placement.attempt, Action::Stop);
        worker
            .orphans
            .insert(task, (job.team.clone(), placement.size));
        self.to_notify.insert(key);
    }

    /// Returns the IDs of all known jobs.
    pub fn job_ids(&self) -> impl Iterator<Item = Id> {
        self.jobs.keys().copied()
    }

    /// Acknowledges a task's end to its worker, once the registry has recorded it.
    pub fn confirm_end(&mut self, task: Task) {
        if let Some((key, attempt)) = self.pending_acks.remove(&task) {
            let worker = &mut self.workers[key.0 as usize];
            worker.acks.push((task, attempt));
            self.to_notify.insert(key);
        }
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.unrecorded.remove(&task.index);
        }
    }

    /// Takes the ends that the registry is to record.
    pub fn take_ended(&mut self) -> Vec<Ended> {
        std::mem::take(&mut self.ended)
    }

    /// Takes the names of the workers that have new orders since the last call.
    pub fn take_workers_to_notify(&mut self) -> Vec<String> {
        std::mem::take(&mut self.to_notify)
            .into_iter()
            .map(|key| self.workers[key.0 as usize].name.clone())
            .collect()
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Returns the units that each team's waiting and placed tasks need in total.
    pub fn unit_demands(&self) -> BTreeMap<String, u64> {
        let mut demands: BTreeMap<String, u64> = BTreeMap::new();
        for job in self.jobs.values() {
            let units = job.waiting.len() + job.placed.len();
            *demands.entry(job.team.clone()).or_default() += units as u64;
        }
        demands
    }

    /// Returns how many units each team lacks for its waiting tasks, up to what one tick
    /// can use.
    pub fn missing_units(&self) -> Vec<(String, u64)> {
        let mut by_team: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| !job.waiting.is_empty()) {
            let (units, largest) = by_team.entry(&job.team).or_default();
            let waiting = job.waiting.len() as u64;
            *units += waiting;
            if job.spec.class == Class::AllAtOnce {
                *largest = waiting.max(*largest);
            }
        }
        by_team
            .into_iter()
            .filter_map(|(team, (units, largest))| {
                let available = self.teams.get(team).map_or(0, |t| t.available_units);
                let useful = PLACEMENTS_PER_TICK_MAX as u64 + largest;
                let missing = units.min(useful).saturating_sub(available);
                (missing > 0).then(|| (team.to_owned(), missing))
            })
            .collect()
    }

    /// Adds units of a team's limit that were granted after a request for `wanted` units.
    pub fn add_units(&mut self, team: &str, units: u64, wanted: u64) {
        let state = self.team_mut(team);
        state.available_units += units;
        if state.available_units == 0 && wanted > 0 {
            self.teams_at_limit.insert(team.to_owned());
        } else {
            self.teams_at_limit.remove(team);
        }
    }

    /// Takes the teams of the tasks that were found running since the last call, with one
    /// entry for each task.
    pub fn take_adopted_teams(&mut self) -> Vec<String> {
        std::mem::take(&mut self.adopted_teams)
    }

    /// Takes all units that no task uses, by team.
    pub fn take_available_units(&mut self) -> Vec<(String, u64)> {
        self.teams
            .iter_mut()
            .filter(|(_, team)| team.available_units > 0)
            .map(|(name, team)| (name.clone(), std::mem::take(&mut team.available_units)))
            .collect()
    }

    /// Expires leases, queues lost tasks again and places waiting tasks.
    pub fn tick(&mut self, now: Moment) {
        self.expire_leases(now);
        self.requeue_unsettled(now);
        self.requeue_lost();
        self.place_waiting(now);
    }

    /// Returns the total resources of the workers whose leases are valid.
    pub const fn total(&self) -> Size {
        self.total
    }

    /// Returns all workers, also those whose leases have expired.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.iter()
    }

    /// Returns the numbers of placed and of waiting tasks.
    pub fn counts(&self) -> (usize, usize) {
        self.jobs.values().fold((0, 0), |(running, waiting), job| {
            (running + job.placed.len(), waiting + job.waiting.len())
        })
    }

    /// Returns the dominant share of the zone that each team's tasks have reserved.
    pub fn dominant_shares(&self) -> BTreeMap<String, f64> {
        self.teams
            .iter()
            .map(|(name, team)| (name.clone(), team.running.dominant_share(self.total)))
            .collect()
    }

    /// Returns why the zone's workers could not run a job even if they were empty, or
    /// `None` if they could.
    pub fn unplaceable_reason(&self, spec: &Spec) -> Option<String> {
        let largest = self
            .workers
            .iter()
            .filter(|w| w.is_up())
            .fold(Size::default(), |size, w| size.max(w.total));
        let need = spec.size;
        let lacks = [
            ("processors", need.cpu_milli > largest.cpu_milli),
            ("memory", need.memory_mb > largest.memory_mb),
            ("accelerators", need.accelerators > largest.accelerators),
        ];
        if let Some((dimension, _)) = lacks.iter().find(|(_, lack)| *lack) {
            return Some(format!(
                "the task needs more {dimension} than any worker has"
            ));
        }
        let fits = self.workers.iter().any(|w| w.is_up() && w.total.fits(need));
        if !fits {
            return Some("no single worker is large enough in all dimensions".to_owned());
        }
        if spec.class == Class::AllAtOnce {
            let capacity: u64 = self
                .workers
                .iter()
                .filter(|w| w.is_up())
                .map(|w| w.task_capacity(need))
                .sum();
            if capacity < u64::from(spec.tasks) {
                return Some(format!(
                    "the workers can run only {capacity} of {} tasks at the same time",
                    spec.tasks
                ));
            }
        }
        None
    }

    fn team_mut(&mut self, name: &str) -> &mut Team {
        if !self.teams.contains_key(name) {
            let team = Team {
                share: 1,
                ..Team::default()
            };
            self.teams.insert(name.to_owned(), team);
        }
        self.teams.get_mut(name).expect("just inserted")
    }

    fn release_unit(&mut self, team: &str) {
        self.team_mut(team).available_units += 1;
    }

    // Updates a worker's entry in the free-capacity index.
    fn update_index(&mut self, key: WorkerKey) {
        let worker = &mut self.workers[key.0 as usize];
        let free = worker.is_open().then(|| worker.free());
        self.index.set(key, free);
    }

    // Adds a job with waiting tasks to the queue of its class.
    fn enqueue(&mut self, id: Id) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.waiting.is_empty() {
            return;
        }
        let entry = (job.rank, id);
        if job.spec.class == Class::AllAtOnce {
            self.gangs.insert(entry);
        } else if job.spec.urgent {
            self.urgent.insert(entry);
        } else {
            let team = job.team.clone();
            let team_state = self.team_mut(&team);
            team_state.waiting.insert(entry);
            let score = team_state.score;
            self.team_order.insert((score, team));
        }
    }

    fn dequeue(&mut self, id: Id, job: &JobState) {
        let entry = (job.rank, id);
        self.gangs.remove(&entry);
        self.urgent.remove(&entry);
        if let Some(team) = self.teams.get_mut(&job.team) {
            team.waiting.remove(&entry);
            if team.waiting.is_empty() {
                self.team_order.remove(&(team.score, job.team.clone()));
            }
        }
    }

    // Updates a team's reserved resources, its usage average and its position in the order
    // of teams. The score is the sum of current and average dominant share over the weight.
    fn update_usage(&mut self, now: Moment, name: &str, change: impl FnOnce(Size) -> Size) {
        let total = self.total;
        let team = self.team_mut(name);
        let elapsed = now.since(team.usage_at).as_secs_f64();
        let decay = 0.5f64.powf(elapsed / USAGE_HALF_LIFE.as_secs_f64());
        let current = team.running.dominant_share(total);
        team.usage = team.usage * decay + current * (1.0 - decay);
        team.usage_at = now;
        team.running = change(team.running);
        let level =
            (team.running.dominant_share(total) + team.usage) / f64::from(team.share.max(1));
        let old = team.score;
        // The bit patterns of non-negative floats sort like their values.
        team.score = level.max(0.0).to_bits();
        let score = team.score;
        if self.team_order.remove(&(old, name.to_owned())) {
            self.team_order.insert((score, name.to_owned()));
        }
    }

    fn requeue_lost(&mut self) {
        for _ in 0..REQUEUES_PER_TICK_MAX {
            let Some((_, task)) = self.lost_tasks.pop_first() else {
                return;
            };
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.waiting.insert(task.index);
                self.enqueue(task.job);
            }
        }
    }

    // Queues the tasks that no worker has reported by the time at which all leases from the
    // previous leader have expired, since they run nowhere.
    fn requeue_unsettled(&mut self, now: Moment) {
        if now < self.settled_at {
            return;
        }
        let ids: Vec<Id> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.unsettled.is_empty())
            .map(|(&id, _)| id)
            .collect();
        for id in ids {
            let job = self.jobs.get_mut(&id).expect("listed job");
            if job.spec.unreachable == crate::core::job::Unreachable::Keep {
                continue;
            }
            let tasks = std::mem::take(&mut job.unsettled);
            job.waiting.extend(tasks);
            self.enqueue(id);
        }
    }
}
