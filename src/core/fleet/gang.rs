//! Gang scheduling: jobs whose tasks start all together or not at all.

use std::time::Duration;

use super::{Fleet, Worker, WorkerKey};
use crate::core::job::{Id, Size, Task};
use crate::core::time::Moment;

/// Waiting time after which resources are reserved for a gang that does not fit.
const PATIENCE: Duration = Duration::from_secs(2);
/// Longest time for which resources stay reserved for one gang before it goes to the end
/// of the queue.
const HOLD_MAX: Duration = Duration::from_secs(120);
/// Gangs that are tried per tick.
const JOBS_TRIED: usize = 4;

/// Resources reserved for a gang that does not fit yet.
#[derive(Debug)]
pub struct Hold {
    /// Job of the gang.
    pub job: Id,
    /// Time at which the reservation began.
    pub since: Moment,
    /// Worker and reserved size of each task that fits so far.
    pub room: Vec<(WorkerKey, Size)>,
    /// Workers that accept no other tasks until the gang starts.
    pub drained: Vec<WorkerKey>,
}

impl Fleet {
    /// Starts gangs that fit, and reserves resources for the first one that does not.
    pub(super) fn place_gangs(&mut self, now: Moment) {
        if let Some(hold) = &self.hold
            && now.since(hold.since) > HOLD_MAX
        {
            self.rotate(now);
        }
        let ids: Vec<Id> = self
            .gangs
            .iter()
            .take(JOBS_TRIED)
            .map(|(_, id)| *id)
            .collect();
        for id in ids {
            self.place_gang(now, id);
        }
    }

    fn place_gang(&mut self, now: Moment, id: Id) {
        let job = &self.jobs[&id];
        if now < job.not_before {
            return;
        }
        let (size, team, since) = (job.size, job.team.clone(), job.since);
        let tasks: Vec<u32> = job.waiting.iter().copied().collect();
        let mut hold = match self.hold.take() {
            Some(hold) if hold.job == id => hold,
            other => {
                self.hold = other;
                Hold {
                    job: id,
                    since: now,
                    room: Vec::new(),
                    drained: Vec::new(),
                }
            }
        };
        self.gather(&mut hold, size, tasks.len());
        let units = self.teams.get(&team).map_or(0, |t| t.stock);
        let ready = hold.room.len() == tasks.len() && units >= tasks.len() as u64;
        if ready {
            let room = std::mem::take(&mut hold.room);
            self.let_go(hold);
            for (index, (key, size)) in tasks.into_iter().zip(room) {
                self.unkeep(key, size);
                self.put(now, key, Task { job: id, index });
            }
            return;
        }
        if self.hold.is_none() && now.since(since) >= PATIENCE {
            self.drain(&mut hold, size, tasks.len());
            self.hold = Some(hold);
        } else {
            self.let_go(hold);
        }
    }

    // Reserves resources for as many tasks as fit now, on drained workers first.
    fn gather(&mut self, hold: &mut Hold, size: Size, tasks: usize) {
        for key in hold.drained.clone() {
            let fits = |w: &Worker| w.up && !w.health.is_quarantined() && w.free().fits(size);
            while hold.room.len() < tasks && fits(&self.workers[key.0 as usize]) {
                self.keep(key, size);
                hold.room.push((key, size));
            }
        }
        while hold.room.len() < tasks {
            let Some(key) = self.index().tightest(size) else {
                return;
            };
            self.keep(key, size);
            hold.room.push((key, size));
        }
    }

    // Drains workers, those with the least CPU reserved first, until they can run the
    // missing tasks once their current ones have ended.
    fn drain(&mut self, hold: &mut Hold, size: Size, tasks: usize) {
        let room_on = |worker: &Worker| {
            let unkept = worker.total.minus(worker.kept);
            let later = Worker::times(unkept, size);
            let now = Worker::times(unkept.minus(worker.reserved), size);
            later.saturating_sub(now) as usize
        };
        let planned: usize = hold
            .drained
            .iter()
            .map(|key| room_on(&self.workers[key.0 as usize]))
            .sum();
        let mut lacking = tasks.saturating_sub(hold.room.len() + planned);
        let mut candidates: Vec<(u64, WorkerKey)> = (0u32..)
            .zip(&self.workers)
            .filter(|(_, w)| w.is_open() && room_on(w) > 0)
            .map(|(at, w)| (w.reserved.cpu_milli, WorkerKey(at)))
            .collect();
        candidates.sort_unstable();
        for (_, key) in candidates {
            if lacking == 0 {
                return;
            }
            let worker = &mut self.workers[key.0 as usize];
            lacking = lacking.saturating_sub(room_on(worker));
            worker.draining = true;
            hold.drained.push(key);
            self.refresh(key);
        }
    }

    fn let_go(&mut self, hold: Hold) {
        for (key, size) in hold.room {
            self.unkeep(key, size);
        }
        for key in hold.drained {
            self.workers[key.0 as usize].draining = false;
            self.refresh(key);
        }
    }

    fn keep(&mut self, key: WorkerKey, size: Size) {
        let worker = &mut self.workers[key.0 as usize];
        worker.kept = worker.kept.plus(size);
        self.refresh(key);
    }

    fn unkeep(&mut self, key: WorkerKey, size: Size) {
        let worker = &mut self.workers[key.0 as usize];
        worker.kept = worker.kept.minus(size);
        self.refresh(key);
    }

    /// Cancels the current gang's reservation, if any.
    pub(super) fn release_hold(&mut self) {
        if let Some(hold) = self.hold.take() {
            self.let_go(hold);
        }
    }

    // Cancels the current reservation and moves its job to the end of the queue.
    fn rotate(&mut self, now: Moment) {
        let Some(id) = self.hold.as_ref().map(|hold| hold.job) else {
            return;
        };
        self.release_hold();
        if let Some(job) = self.jobs.get_mut(&id) {
            self.gangs.remove(&(job.rank, id));
            job.rank.since = now;
            self.gangs.insert((job.rank, id));
        }
    }
}
