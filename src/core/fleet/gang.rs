//! Gang scheduling: jobs whose tasks start all together or not at all.

use std::time::Duration;

use super::{Fleet, Worker, WorkerKey};
use crate::core::job::{Id, Size, Task};
use crate::core::time::Moment;

/// Waiting time after which resources are reserved for a gang that does not fit.
const RESERVATION_DELAY: Duration = Duration::from_secs(2);
/// Longest time for which resources stay reserved for one gang before it goes to the end
/// of the queue.
const RESERVATION_MAX: Duration = Duration::from_secs(120);
/// Gangs that are tried per tick.
const GANGS_PER_TICK_MAX: usize = 4;

/// Resources reserved for a gang that does not fit yet.
#[derive(Debug)]
pub struct Reservation {
    /// Job of the gang.
    pub job: Id,
    /// Time at which the reservation began.
    pub since: Moment,
    /// Worker and reserved size of each task that fits so far.
    pub assignments: Vec<(WorkerKey, Size)>,
    /// Workers that accept no other tasks until the gang starts.
    pub drained: Vec<WorkerKey>,
}

impl Fleet {
    /// Starts gangs that fit, and reserves resources for the first one that does not.
    pub(super) fn place_gangs(&mut self, now: Moment) {
        if let Some(reservation) = &self.reservation
            && now.since(reservation.since) > RESERVATION_MAX
        {
            self.requeue_reserved_gang(now);
        }
        let ids: Vec<Id> = self
            .gangs
            .iter()
            .take(GANGS_PER_TICK_MAX)
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
        let mut reservation = match self.reservation.take() {
            Some(reservation) if reservation.job == id => reservation,
            other => {
                self.reservation = other;
                Reservation {
                    job: id,
                    since: now,
                    assignments: Vec::new(),
                    drained: Vec::new(),
                }
            }
        };
        self.reserve_fitting(&mut reservation, size, tasks.len());
        let units = self.teams.get(&team).map_or(0, |t| t.available_units);
        let ready = reservation.assignments.len() == tasks.len() && units >= tasks.len() as u64;
        if ready {
            let assignments = std::mem::take(&mut reservation.assignments);
            self.release_reservation(reservation);
            for (index, (key, size)) in tasks.into_iter().zip(assignments) {
                self.release_for_gang(key, size);
                self.assign(now, key, Task { job: id, index });
            }
            return;
        }
        if self.reservation.is_none() && now.since(since) >= RESERVATION_DELAY {
            self.drain_workers(&mut reservation, size, tasks.len());
            self.reservation = Some(reservation);
        } else {
            self.release_reservation(reservation);
        }
    }

    // Reserves resources for as many tasks as fit now, on drained workers first.
    fn reserve_fitting(&mut self, reservation: &mut Reservation, size: Size, tasks: usize) {
        for key in reservation.drained.clone() {
            let fits = |w: &Worker| w.up && !w.health.is_quarantined() && w.free().fits(size);
            while reservation.assignments.len() < tasks && fits(&self.workers[key.0 as usize]) {
                self.reserve_for_gang(key, size);
                reservation.assignments.push((key, size));
            }
        }
        while reservation.assignments.len() < tasks {
            let Some(key) = self.index().best_fit(size) else {
                return;
            };
            self.reserve_for_gang(key, size);
            reservation.assignments.push((key, size));
        }
    }

    // Drains workers, those with the least CPU reserved first, until they can run the
    // missing tasks once their current ones have ended.
    fn drain_workers(&mut self, reservation: &mut Reservation, size: Size, tasks: usize) {
        let gain_of = |worker: &Worker| {
            let usable = worker.total.minus(worker.gang_reserved);
            let later = Worker::tasks_in(usable, size);
            let now = Worker::tasks_in(usable.minus(worker.reserved), size);
            later.saturating_sub(now) as usize
        };
        let draining: usize = reservation
            .drained
            .iter()
            .map(|key| gain_of(&self.workers[key.0 as usize]))
            .sum();
        let mut lacking = tasks.saturating_sub(reservation.assignments.len() + draining);
        let mut candidates: Vec<(u64, WorkerKey)> = (0u32..)
            .zip(&self.workers)
            .filter(|(_, w)| w.is_open() && gain_of(w) > 0)
            .map(|(index, w)| (w.reserved.cpu_milli, WorkerKey(index)))
            .collect();
        candidates.sort_unstable();
        for (_, key) in candidates {
            if lacking == 0 {
                return;
            }
            let worker = &mut self.workers[key.0 as usize];
            lacking = lacking.saturating_sub(gain_of(worker));
            worker.draining = true;
            reservation.drained.push(key);
            self.update_index(key);
        }
    }

    fn release_reservation(&mut self, reservation: Reservation) {
        for (key, size) in reservation.assignments {
            self.release_for_gang(key, size);
        }
        for key in reservation.drained {
            self.workers[key.0 as usize].draining = false;
            self.update_index(key);
        }
    }

    fn reserve_for_gang(&mut self, key: WorkerKey, size: Size) {
        let worker = &mut self.workers[key.0 as usize];
        worker.gang_reserved = worker.gang_reserved.plus(size);
        self.update_index(key);
    }

    fn release_for_gang(&mut self, key: WorkerKey, size: Size) {
        let worker = &mut self.workers[key.0 as usize];
        worker.gang_reserved = worker.gang_reserved.minus(size);
        self.update_index(key);
    }

    /// Cancels the current gang's reservation, if any.
    pub(super) fn cancel_reservation(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            self.release_reservation(reservation);
        }
    }

    // Cancels the current reservation and moves its job to the end of the queue.
    fn requeue_reserved_gang(&mut self, now: Moment) {
        let Some(id) = self.reservation.as_ref().map(|reservation| reservation.job) else {
            return;
        };
        self.cancel_reservation();
        if let Some(job) = self.jobs.get_mut(&id) {
            self.gangs.remove(&(job.rank, id));
            job.rank.since = now;
            self.gangs.insert((job.rank, id));
        }
    }
}
