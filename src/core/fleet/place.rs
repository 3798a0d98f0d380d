//! Placement of waiting tasks on workers, and preemption for urgent ones.

use super::index::Index;
use super::job::Placement;
use super::{Fleet, How, PLACE_PER_TICK, Start, WorkerKey};
use crate::config::{Order, Policy};
use crate::core::job::{Class, Id, Size, Task, run_time};
use crate::core::time::Moment;
use crate::event::Event;

/// Jobs of one team that are tried before the team is skipped for the rest of a tick.
const JOBS_TRIED: usize = 8;
/// Workers that are examined, emptiest first, for tasks to preempt.
const EVICT_PROBES: usize = 48;
/// Weight of a job's estimated run time against its waiting time under [`Order::Wait`], so
/// that teams with short jobs go first.
const RUN_TIME_WEIGHT: u32 = 4;

impl Fleet {
    /// Places urgent tasks, then gangs, then other tasks in the order of teams.
    pub(super) fn place_waiting(&mut self, now: Moment) {
        let mut left = PLACE_PER_TICK;
        self.place_urgent(now, &mut left);
        self.place_gangs(now);
        let mut done: Vec<String> = Vec::new();
        while left > 0 {
            let Some(team) = self.next_team(&done) else {
                break;
            };
            if self.place_one_of(now, &team) {
                left -= 1;
            } else {
                done.push(team);
            }
        }
    }

    // Returns the next team by the configured order: the one furthest below its share, or
    // the one whose first job has waited longest relative to its estimated run time.
    fn next_team(&self, done: &[String]) -> Option<String> {
        let mut open = self
            .order
            .iter()
            .map(|(_, name)| name)
            .filter(|name| !done.contains(name));
        match self.policy {
            Order::Share => open.next().cloned(),
            Order::Wait => open
                .min_by_key(|name| {
                    let first = self.teams[*name].waiting.first();
                    first.map(|(_, id)| {
                        let job = &self.jobs[id];
                        let run = run_time(&job.spec).unwrap_or_default();
                        job.since + run * RUN_TIME_WEIGHT
                    })
                })
                .cloned(),
        }
    }

    // Places one task of a team. Returns `false` if none of its jobs can be placed.
    fn place_one_of(&mut self, now: Moment, team: &str) -> bool {
        if self.teams[team].stock == 0 {
            return false;
        }
        let ids: Vec<Id> = self.teams[team]
            .waiting
            .iter()
            .take(JOBS_TRIED)
            .map(|(_, id)| *id)
            .collect();
        ids.into_iter().any(|id| self.place_task_of(now, id))
    }

    fn place_task_of(&mut self, now: Moment, id: Id) -> bool {
        let changes = self.index.changes();
        let job = &self.jobs[&id];
        if now < job.not_before || job.blocked == Some(changes) {
            return false;
        }
        let Some(&index) = job.waiting.first() else {
            return false;
        };
        let Some(worker) = self.choose(id) else {
            self.jobs.get_mut(&id).expect("known job").blocked = Some(changes);
            return false;
        };
        self.put(now, worker, Task { job: id, index });
        true
    }

    /// Chooses a worker for a job's next task by the policy of its queue. Without one,
    /// services are spread over racks and other jobs are packed.
    pub(super) fn choose(&self, id: Id) -> Option<WorkerKey> {
        let job = &self.jobs[&id];
        let policy = match (self.queues.get(&job.spec.queue), job.spec.class) {
            (Some(policy), _) => *policy,
            (None, Class::Service) => Policy::Spread,
            (None, Class::Batch | Class::AllAtOnce) => Policy::Pack,
        };
        match policy {
            Policy::Pack => self.index.tightest(job.size),
            Policy::Spread => {
                let on_rack = |key: &WorkerKey| {
                    let rack = self.workers[key.0 as usize].rack;
                    job.racks.get(&rack).copied().unwrap_or(0)
                };
                let candidates = self.index.emptiest(job.size);
                candidates.into_iter().min_by_key(on_rack)
            }
        }
    }

    /// Assigns a task to a worker, using a unit of its team, and orders its start.
    pub(super) fn put(&mut self, now: Moment, key: WorkerKey, task: Task) {
        let attempt = self.mint_attempt();
        let job = &self.jobs[&task.job];
        let size = job.size;
        let team = job.team.clone();
        self.team_mut(&team).stock -= 1;
        self.reserve(now, key, task, attempt, size);
        self.order_start(key, task);
    }

    fn mint_attempt(&mut self) -> u64 {
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
        self.woken.insert(key);
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
        self.note_placed(now, key, task, attempt, size, rack);
        self.refresh(key);
    }

    fn note_placed(
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
        job.enter_rack(rack);
        let placement = Placement {
            worker,
            attempt,
            size,
            kept: false,
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
                self.order.remove(&(score, team.clone()));
            }
        }
        self.charge(now, &team, |running| running.plus(size));
    }

    /// Releases a task's reservation. Returns its team, to which the caller returns the unit.
    pub(super) fn vacate(&mut self, now: Moment, key: WorkerKey, task: Task) -> Option<String> {
        let worker = &mut self.workers[key.0 as usize];
        let attempt = worker.tasks.remove(&task)?;
        worker.starts.remove(&task);
        worker.stops.remove(&(task, attempt));
        worker.used.remove(&task);
        let rack = worker.rack;
        if let Some((team, size)) = worker.orphans.remove(&task) {
            worker.reserved = worker.reserved.minus(size);
            self.charge(now, &team, |running| running.minus(size));
            self.refresh(key);
            self.start_held(key);
            return Some(team);
        }
        let job = self.jobs.get_mut(&task.job)?;
        let placement = job.placed.remove(&task.index)?;
        job.leave_rack(rack);
        let team = job.team.clone();
        let worker = &mut self.workers[key.0 as usize];
        let size = placement.size;
        if worker.held.remove(&task).is_none() {
            worker.reserved = worker.reserved.minus(size);
        }
        self.charge(now, &team, |running| running.minus(size));
        self.refresh(key);
        self.start_held(key);
        Some(team)
    }

    fn place_urgent(&mut self, now: Moment, left: &mut usize) {
        let ids: Vec<Id> = self.urgent.iter().map(|(_, id)| *id).collect();
        for id in ids {
            while *left > 0 && self.place_urgent_task(now, id) {
                *left -= 1;
            }
        }
    }

    fn place_urgent_task(&mut self, now: Moment, id: Id) -> bool {
        let job = &self.jobs[&id];
        let has_unit = self.teams.get(&job.team).is_some_and(|t| t.stock > 0);
        let Some(&index) = job.waiting.first() else {
            return false;
        };
        if now < job.not_before || !has_unit {
            return false;
        }
        if self.place_task_of(now, id) {
            return true;
        }
        self.make_room(now, Task { job: id, index })
    }

    // Preempts tasks for an urgent one, on the worker where the fewest have to be
    // checkpointed. The urgent task starts once they have ended.
    fn make_room(&mut self, now: Moment, task: Task) -> bool {
        let need = self.jobs[&task.job].size;
        let mut best: Option<(WorkerKey, Vec<Task>)> = None;
        for key in self.index.all_emptiest().take(EVICT_PROBES) {
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
            self.evict(key, victim, How::Checkpoint, "urgent work");
        }
        let attempt = self.mint_attempt();
        let job = &self.jobs[&task.job];
        let (size, team) = (job.size, job.team.clone());
        self.team_mut(&team).stock -= 1;
        let worker = &mut self.workers[key.0 as usize];
        worker.tasks.insert(task, attempt);
        worker.held.insert(task, size);
        let rack = worker.rack;
        self.note_placed(now, key, task, attempt, size, rack);
        self.refresh(key);
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
                let lower = !job.spec.urgent && job.spec.class == Class::Batch;
                (lower && !placement.evicting).then_some((placement.size, *task))
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
    pub(super) fn evict(&mut self, key: WorkerKey, task: Task, how: How, reason: &str) {
        let worker = &mut self.workers[key.0 as usize];
        let Some(&attempt) = worker.tasks.get(&task) else {
            return;
        };
        worker.order_stop(task, attempt, how);
        let name = worker.name.clone();
        self.woken.insert(key);
        if let Some(job) = self.jobs.get_mut(&task.job)
            && let Some(placement) = job.placed.get_mut(&task.index)
        {
            placement.evicting |= how != How::Throttle;
        }
        self.events.push(Event::TaskEvicted {
            task: task.to_string(),
            worker: name,
            reason: reason.to_owned(),
        });
    }

    // Starts the urgent tasks that waited for preempted tasks to end and now fit.
    fn start_held(&mut self, key: WorkerKey) {
        let held: Vec<(Task, Size)> = self.workers[key.0 as usize]
            .held
            .iter()
            .map(|(task, size)| (*task, *size))
            .collect();
        for (task, size) in held {
            let worker = &mut self.workers[key.0 as usize];
            let room = worker.total.minus(worker.reserved).minus(worker.kept);
            if !room.fits(size) {
                continue;
            }
            worker.held.remove(&task);
            worker.reserved = worker.reserved.plus(size);
            self.order_start(key, task);
            self.refresh(key);
        }
    }

    /// Returns the free-capacity index.
    pub(super) const fn index(&self) -> &Index {
        &self.index
    }
}
