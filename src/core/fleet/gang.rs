//! Jobs whose tasks start all together or not at all.

use std::time::Duration;

use super::{Fleet, Worker, WorkerKey};
use crate::core::job::{Id, Size, Task};
use crate::core::time::Moment;

/// Waiting time after which room is kept for the first such job.
const PATIENCE: Duration = Duration::from_secs(2);
/// Longest time that room is kept for one job before the next gets its turn.
const HOLD_MAX: Duration = Duration::from_secs(120);
/// Jobs that are tried in one tick.
const JOBS_TRIED: usize = 4;

/// Room kept for one job.
#[derive(Debug)]
pub struct Hold {
    /// Job.
    pub job: Id,
    /// Since when.
    pub since: Moment,
    /// One entry for each task that has room.
    pub room: Vec<(WorkerKey, Size)>,
    /// Workers that get nothing new until the job has room.
    pub drained: Vec<WorkerKey>,
}

impl Fleet {
    /// Starts all-at-once jobs that fit, and keeps room for the first that does not.
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

    // Keeps room for as many tasks as fit now, on drained workers first.
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

    // Chooses the emptiest workers that, once free, have room for what is lacking.
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

    /// Gives up the room that is kept.
    pub(super) fn release_hold(&mut self) {
        if let Some(hold) = self.hold.take() {
            self.let_go(hold);
        }
    }

    // The job goes to the end of the line.
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
