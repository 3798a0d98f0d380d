//! Placement of waiting tasks on workers, and preemption for urgent ones.

use super::index::Index;
use super::job::Placement;
use super::{Action, Fleet, PLACEMENTS_PER_TICK_MAX, Start, WorkerKey};
use crate::config::{Order, Policy};
use crate::core::job::{Class, Id, Size, Task, run_time};
use crate::core::time::Moment;
use crate::event::Event;

/// Jobs of one team that are tried before the team is skipped for the rest of a tick.
const JOBS_PER_TEAM_MAX: usize = 8;
/// Workers that are examined, emptiest first, for tasks to preempt.
const PREEMPTION_WORKERS_MAX: usize = 48;
/// Weight of a job's estimated run time against its waiting time under [`Order::Wait`], so
/// that teams with short jobs go first.
const RUN_TIME_FACTOR: u32 = 4;

impl Fleet {
    /// Places urgent tasks, then gangs, then other tasks in the order of teams.
    pub(super) fn place_waiting(&mut self, now: Moment) {
        let mut budget = PLACEMENTS_PER_TICK_MAX;
        self.place_urgent(now, &mut budget);
        self.place_gangs(now);
        let mut skipped: Vec<String> = Vec::new();
        while budget > 0 {
            let Some(team) = self.next_team(&skipped) else {
                break;
            };
            if self.place_task_of_team(now, &team) {
                budget -= 1;
            } else {
                skipped.push(team);
            }
        }
    }

    // Returns the next team by the configured order: the one furthest below its share, or
    // the one whose first job has waited longest relative to its estimated run time.
    fn next_team(&self, skipped: &[String]) -> Option<String> {
        let mut candidates = self
            .team_order
            .iter()
            .map(|(_, name)| name)
            .filter(|name| !skipped.contains(name));
        match self.policy {
            Order::Share => candidates.next().cloned(),
            Order::Wait => candidates
                .min_by_key(|name| {
                    let first = self.teams[*name].waiting.first();
                    first.map(|(_, id)| {
                        let job = &self.jobs[id];
                        let run = run_time(&job.spec).unwrap_or_default();
                        job.since + run * RUN_TIME_FACTOR
                    })
                })
                .cloned(),
        }
    }

    // Places one task of a team. Returns `false` if none of its jobs can be placed.
    fn place_task_of_team(&mut self, now: Moment, team: &str) -> bool {
        if self.teams[team].available_units == 0 {
            return false;
        }
        let ids: Vec<Id> = self.teams[team]
            .waiting
            .iter()
            .take(JOBS_PER_TEAM_MAX)
            .map(|(_, id)| *id)
            .collect();
        ids.into_iter().any(|id| self.place_task_of_job(now, id))
    }

    fn place_task_of_job(&mut self, now: Moment, id: Id) -> bool {
        let gains = self.index.gains();
        let job = &self.jobs[&id];
        if now < job.not_before || job.blocked_at_gains == Some(gains) {
            return false;
        }
        let Some(&index) = job.waiting.first() else {
            return false;
        };
        let Some(worker) = self.choose_worker(id) else {
            self.jobs.get_mut(&id).expect("known job").blocked_at_gains = Some(gains);
            return false;
        };
        self.assign(now, worker, Task { job: id, index });
        true
    }

    /// Chooses a worker for a job's next task by the policy of its queue. Without one,
    /// services are spread over racks and other jobs are packed.
    pub(super) fn choose_worker(&self, id: Id) -> Option<WorkerKey> {
        let job = &self.jobs[&id];
        let policy = match (self.queues.get(&job.spec.queue), job.spec.class) {
            (Some(policy), _) => *policy,
            (None, Class::Service) => Policy::Spread,
            (None, Class::Batch | Class::AllAtOnce) => Policy::Pack,
        };
        match policy {
            Policy::Pack => self.index.best_fit(job.size),
            Policy::Spread => {
                let on_rack = |key: &WorkerKey| {
                    let rack = self.workers[key.0 as usize].rack;
                    job.racks.get(&rack).copied().unwrap_or(0)
                };
                let candidates = self.index.spread_candidates(job.size);
                candidates.into_iter().min_by_key(on_rack)
            }
        }
    }

    /// Assigns a task to a worker, using a unit of its team, and orders its start.
    pub(super) fn assign(&mut self, now: Moment, key: WorkerKey, task: Task) {
        let attempt = self.issue_attempt();
        let job = &self.jobs[&task.job];
        let size = job.size;
        let team = job.team.clone();
        self.team_mut(&team).available_units -= 1;
        self.reserve(now, key, task, attempt, size);
        self.order_start(key, task);
    }

    fn issue_attempt(&mut self) -> u64 {
        self.next_attempt += 1;
        (self.term << 40) | self.next_attempt
    }

    pub(super) fn order_start(&mut self, key: WorkerKey, task: Task) {
        let job = &self.jobs[&task.job];
        let placement = &job.placed[&task.index];
        let start = Start {
            task,
            attempt: placement.attempt,
            team: job.team.clone(),
            name: job.spec.name.clone(),
            size: placement.size,
            run_ms: run_time(&job.spec).map_or(0, |time| time.as_millis() as u64),
        };
        let worker = &mut self.workers[key.0 as usize];
        worker.order_start(start);
        let name = worker.name.clone();
        self.to_notify.insert(key);
        self.events.push(Event::TaskPlaced {
            task: task.to_string(),
            worker: name,
        });
    }

    /// Records a task's placement and reserves its size on the worker.
    pub(super) fn reserve(
        &mut self,
        now: Moment,
        key: WorkerKey,
        task: Task,
        attempt: u64,
        size: Size,
    ) {
        let worker = &mut self.workers[key.0 as usize];
        worker.tasks.insert(task, attempt);
        worker.reserved = worker.reserved.plus(size);
        let rack = worker.rack;
        self.record_placement(now, key, task, attempt, size, rack);
        self.update_index(key);
    }

    fn record_placement(
        &mut self,
        now: Moment,
        worker: WorkerKey,
        task: Task,
        attempt: u64,
        size: Size,
        rack: u32,
    ) {
        let job = self.jobs.get_mut(&task.job).expect("known job");
        job.waiting.remove(&task.index);
        job.add_to_rack(rack);
        let placement = Placement {
            worker,
            attempt,
            size,
            awaits_worker: false,
            evicting: false,
        };
        job.placed.insert(task.index, placement);
        let team = job.team.clone();
        if job.waiting.is_empty() {
            let entry = (job.rank, task.job);
            self.gangs.remove(&entry);
            self.urgent.remove(&entry);
            let state = self.team_mut(&team);
            state.waiting.remove(&entry);
            let (score, empty) = (state.score, state.waiting.is_empty());
            if empty {
                self.team_order.remove(&(score, team.clone()));
            }
        }
        self.update_usage(now, &team, |running| running.plus(size));
    }

    /// Releases a task's reservation. Returns its team, to which the caller returns the unit.
    pub(super) fn release_task(
        &mut self,
        now: Moment,
        key: WorkerKey,
        task: Task,
    ) -> Option<String> {
        let worker = &mut self.workers[key.0 as usize];
        let attempt = worker.tasks.remove(&task)?;
        worker.starts.remove(&task);
        worker.stops.remove(&(task, attempt));
        worker.used.remove(&task);
        let rack = worker.rack;
        if let Some((team, size)) = worker.orphans.remove(&task) {
            worker.reserved = worker.reserved.minus(size);
            self.update_usage(now, &team, |running| running.minus(size));
            self.update_index(key);
            self.start_preempting(key);
            return Some(team);
        }
        let job = self.jobs.get_mut(&task.job)?;
        let placement = job.placed.remove(&task.index)?;
        job.remove_from_rack(rack);
        let team = job.team.clone();
        let worker = &mut self.workers[key.0 as usize];
        let size = placement.size;
        if worker.preempting.remove(&task).is_none() {
            worker.reserved = worker.reserved.minus(size);
        }
        self.update_usage(now, &team, |running| running.minus(size));
        self.update_index(key);
        self.start_preempting(key);
        Some(team)
    }

    fn place_urgent(&mut self, now: Moment, budget: &mut usize) {
        let ids: Vec<Id> = self.urgent.iter().map(|(_, id)| *id).collect();
        for id in ids {
            while *budget > 0 && self.place_urgent_task(now, id) {
                *budget -= 1;
            }
        }
    }

    fn place_urgent_task(&mut self, now: Moment, id: Id) -> bool {
        let job = &self.jobs[&id];
        let has_unit = self
            .teams
            .get(&job.team)
            .is_some_and(|t| t.available_units > 0);
        let Some(&index) = job.waiting.first() else {
            return false;
        };
        if now < job.not_before || !has_unit {
            return false;
        }
        if self.place_task_of_job(now, id) {
            return true;
        }
        self.preempt(now, Task { job: id, index })
    }

    // Preempts tasks for an urgent one, on the worker where the fewest have to be
    // checkpointed. The urgent task starts once they have ended.
    fn preempt(&mut self, now: Moment, task: Task) -> bool {
        let need = self.jobs[&task.job].size;
        let mut best: Option<(WorkerKey, Vec<Task>)> = None;
        for key in self.index.by_free_processors().take(PREEMPTION_WORKERS_MAX) {
            if let Some(victims) = self.victims(key, need)
                && best
                    .as_ref()
                    .is_none_or(|(_, old)| victims.len() < old.len())
            {
                best = Some((key, victims));
            }
        }
        let Some((key, victims)) = best else {
            return false;
        };
        for victim in victims {
            self.evict(key, victim, Action::Checkpoint, "urgent work");
        }
        let attempt = self.issue_attempt();
        let job = &self.jobs[&task.job];
        let (size, team) = (job.size, job.team.clone());
        self.team_mut(&team).available_units -= 1;
        let worker = &mut self.workers[key.0 as usize];
        worker.tasks.insert(task, attempt);
        worker.preempting.insert(task, size);
        let rack = worker.rack;
        self.record_placement(now, key, task, attempt, size, rack);
        self.update_index(key);
        true
    }

    fn victims(&self, key: WorkerKey, need: Size) -> Option<Vec<Task>> {
        let worker = &self.workers[key.0 as usize];
        let mut free = worker.free();
        let mut candidates: Vec<(Size, Task)> = worker
            .tasks
            .keys()
            .filter_map(|task| {
                let job = self.jobs.get(&task.job)?;
                let placement = job.placed.get(&task.index)?;
                let is_preemptible = !job.spec.urgent && job.spec.class == Class::Batch;
                (is_preemptible && !placement.evicting).then_some((placement.size, *task))
            })
            .collect();
        candidates.sort_unstable_by(|a, b| b.cmp(a));
        let mut victims = Vec::new();
        for (size, task) in candidates {
            if free.fits(need) {
                break;
            }
            free = free.plus(size);
            victims.push(task);
        }
        free.fits(need).then_some(victims)
    }

    /// Orders a worker to end or throttle a task.
    pub(super) fn evict(&mut self, key: WorkerKey, task: Task, how: Action, reason: &str) {
        let worker = &mut self.workers[key.0 as usize];
        let Some(&attempt) = worker.tasks.get(&task) else {
            return;
        };
        worker.order_stop(task, attempt, how);
        let name = worker.name.clone();
        self.to_notify.insert(key);
        if let Some(job) = self.jobs.get_mut(&task.job)
            && let Some(placement) = job.placed.get_mut(&task.index)
        {
            placement.evicting |= how != Action::Throttle;
        }
        self.events.push(Event::TaskEvicted {
            task: task.to_string(),
            worker: name,
            reason: reason.to_owned(),
        });
    }

    // Starts the urgent tasks that waited for preempted tasks to end and now fit.
    fn start_preempting(&mut self, key: WorkerKey) {
        let preempting: Vec<(Task, Size)> = self.workers[key.0 as usize]
            .preempting
            .iter()
            .map(|(task, size)| (*task, *size))
            .collect();
        for (task, size) in preempting {
            let worker = &mut self.workers[key.0 as usize];
            let available = worker
                .total
                .minus(worker.reserved)
                .minus(worker.gang_reserved);
            if !available.fits(size) {
                continue;
            }
            worker.preempting.remove(&task);
            worker.reserved = worker.reserved.plus(size);
            self.order_start(key, task);
            self.update_index(key);
        }
    }

    /// Returns the free-capacity index.
    pub(super) const fn index(&self) -> &Index {
        &self.index
    }
}
