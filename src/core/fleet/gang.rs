//! Jobs whose tasks start all together or not at all.

use std::time::Duration;

use super::{Fleet, WorkerKey};
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
        let held = self.hold.as_ref().is_some_and(|hold| hold.job == id);
        let mut room = if held {
            self.hold.take().expect("present").room
        } else {
            Vec::new()
        };
        while room.len() < tasks.len() {
            let Some(key) = self.index().tightest(size) else {
                break;
            };
            self.keep(key, size);
            room.push((key, size));
        }
        let units = self.teams.get(&team).map_or(0, |t| t.stock);
        let ready = room.len() == tasks.len() && units >= tasks.len() as u64;
        if ready {
            for (index, (key, size)) in tasks.into_iter().zip(room) {
                self.unkeep(key, size);
                self.put(now, key, Task { job: id, index });
            }
            return;
        }
        let may_hold = self.hold.is_none() && (held || now.since(since) >= PATIENCE);
        if may_hold {
            let since = now;
            self.hold = Some(Hold {
                job: id,
                since,
                room,
            });
            return;
        }
        for (key, size) in room {
            self.unkeep(key, size);
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
            for (key, size) in hold.room {
                self.unkeep(key, size);
            }
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
