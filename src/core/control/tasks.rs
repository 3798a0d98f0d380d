//! Task scheduling at the zone leader: passes jobs to the scheduler and its orders
//! to the workers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::root::NO_REPLY;
use super::{Answer, Control, Effect, Origin, Pending, Query, Target};
use crate::core::fleet::{Fleet, POLL_WAIT_MAX, Poll};
use crate::core::job::{Ended, Id, Job, Spec, State};
use crate::core::registry::Command;
use crate::core::room::{Amount, Room, Shortage};
use crate::core::time::Moment;
use crate::error::{Error, Kind};
use crate::event::Event;

/// Interval at which ended tasks are proposed until they are in the registry.
const ENDS_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of ended tasks in one command.
const ENDS_PER_COMMAND_MAX: usize = 2_000;
/// Maximum number of jobs in one list.
const LISTED_JOBS_MAX: usize = 1_000;

/// Summary of a job in a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSummary {
    /// ID of the job.
    pub id: Id,
    /// Team that submitted the job.
    pub team: String,
    /// Name of the job.
    pub name: String,
    /// Zone that places the job.
    pub zone: String,
    /// State of the job.
    pub state: State,
    /// Number of tasks.
    pub tasks: u32,
    /// Number of tasks that ended successfully.
    pub ended: u32,
}

/// Job that is proposed and not yet in the registry.
#[derive(Debug)]
pub(super) struct Proposal {
    team: String,
    /// Idempotency key, or empty.
    request: String,
    amount: Amount,
}

impl Control {
    pub(super) fn tick_tasks(&mut self, now: Moment) {
        if !self.participant.may_act(now) || self.fleet.is_none() {
            return;
        }
        self.sync_jobs(now);
        self.supply_units(now);
        let Some(fleet) = &mut self.fleet else {
            return;
        };
        fleet.tick(now);
        self.propose_ended(now);
        self.answer_polls(now);
    }

    /// Updates the scheduler from the registry's jobs.
    fn sync_jobs(&mut self, now: Moment) {
        let changes = self.registry.jobs.changes();
        let Some(fleet) = &mut self.fleet else {
            return;
        };
        if changes == self.synced_job_changes {
            return;
        }
        self.synced_job_changes = changes;
        let zone = &self.identity.zone;
        for job in self.registry.jobs.open().filter(|job| job.zone == *zone) {
            fleet.add_job(now, job);
        }
        let known: Vec<Id> = fleet.job_ids().collect();
        for id in known {
            let job = self.registry.jobs.get(id);
            if job.is_none_or(|job| job.state != State::Open) {
                let state = job.map_or_else(|| "forgotten".to_owned(), |j| j.state.to_string());
                fleet.drop_job(now, id);
                let event = Event::JobEnded { job: id.0, state };
                self.effects.push(Effect::Event(event));
            }
        }
        let jobs = &self.registry.jobs;
        self.unconfirmed_ends.retain(|task, _| {
            let is_open = jobs
                .get(task.job)
                .is_some_and(|job| job.state == State::Open && !job.has_ended(task.index));
            if !is_open {
                fleet.confirm_end(*task);
            }
            is_open
        });
    }

    // Moves units of team limits between the zone leader's accounts and the tasks.
    fn supply_units(&mut self, now: Moment) {
        let (Some(allocator), Some(fleet)) = (&mut self.allocator, &mut self.fleet) else {
            return;
        };
        for team in fleet.take_adopted_teams() {
            allocator.adopt_task_units(&team, 1);
        }
        for (team, units) in fleet.take_available_units() {
            allocator.release_task_units(&team, units);
        }
        for (team, missing) in fleet.missing_units() {
            let units = allocator.reserve_task_units(now, &team, missing);
            fleet.add_units(&team, units, missing);
        }
    }

    fn propose_ended(&mut self, now: Moment) {
        let (Some(allocator), Some(fleet)) = (&mut self.allocator, &mut self.fleet) else {
            return;
        };
        for (team, units) in fleet.take_available_units() {
            allocator.release_task_units(&team, units);
        }
        let new = fleet.take_ended();
        let events = fleet.take_events();
        self.effects.extend(events.into_iter().map(Effect::Event));
        let repeat = now >= self.next_ends_at;
        let mut batch: Vec<Ended> = new.clone();
        if repeat {
            self.next_ends_at = now + ENDS_INTERVAL;
            batch.extend(self.unconfirmed_ends.values().cloned());
        }
        self.unconfirmed_ends
            .extend(new.into_iter().map(|end| (end.task, end)));
        for part in batch.chunks(ENDS_PER_COMMAND_MAX) {
            let query = Query::Propose(Command::End(part.to_vec()));
            self.route(now, NO_REPLY, &Target::Root, query);
        }
    }

    pub(super) fn handle_poll(&mut self, now: Moment, origin: Origin, poll: &Poll) {
        // A new leader's scheduler must know the jobs before it handles a poll: the end of
        // an unknown task is acknowledged without being recorded, and would be lost.
        self.sync_jobs(now);
        let refused = if !self.participant.may_act(now) || poll.zone != self.identity.zone {
            let message = "this instance is not the leader of the worker's zone";
            Some(Error::new(Kind::NoQuorum, message))
        } else {
            match &mut self.fleet {
                Some(fleet) => fleet.poll(now, poll).err(),
                None => Some(Error::from(Kind::NoQuorum)),
            }
        };
        if let Some(err) = refused {
            self.answer(now, origin, Answer::Failed(err));
            return;
        }
        let wait = Duration::from_millis(poll.wait_ms).min(POLL_WAIT_MAX);
        let until = now + wait;
        let to = self.identity.id;
        let pending = Pending { to, origin, until };
        if let Some(old) = self.waiting_polls.insert(poll.name.clone(), pending) {
            let err = Error::new(
                Kind::BadAnnouncement,
                "superseded by a newer poll of the same worker",
            );
            self.answer(now, old.origin, Answer::Failed(err));
        }
        // Records ended tasks and reuses freed resources without waiting for the tick.
        self.tick_tasks(now);
        self.answer_poll(now, &poll.name);
    }

    fn answer_polls(&mut self, now: Moment) {
        let Some(fleet) = &mut self.fleet else {
            return;
        };
        let mut due = fleet.take_workers_to_notify();
        let waiting = self.waiting_polls.iter().filter(|(_, p)| now >= p.until);
        due.extend(waiting.map(|(name, _)| name.clone()));
        for name in due {
            self.answer_poll(now, &name);
        }
    }

    fn answer_poll(&mut self, now: Moment, name: &str) {
        let (Some(fleet), Some(pending)) = (&mut self.fleet, self.waiting_polls.get(name)) else {
            return;
        };
        let (origin, force) = (pending.origin, now >= pending.until);
        if let Some(orders) = fleet.orders(now, name, force) {
            self.waiting_polls.remove(name);
            self.answer(now, origin, Answer::Orders(Box::new(orders)));
        }
    }

    /// Answers all waiting polls immediately before a planned stop.
    pub(super) fn release_polls(&mut self, now: Moment) {
        for pending in self.waiting_polls.values_mut() {
            pending.until = now;
        }
        self.answer_polls(now);
    }

    /// Drops the scheduler and fails waiting polls when another instance leads the
    /// zone.
    pub(super) fn close_fleet(&mut self, now: Moment) {
        self.fleet = None;
        self.unconfirmed_ends.clear();
        for pending in std::mem::take(&mut self.waiting_polls).into_values() {
            let err = Error::new(Kind::NoQuorum, "the zone has a new leader");
            self.answer(now, pending.origin, Answer::Failed(err));
        }
    }

    pub(super) fn admit(&self, now: Moment, spec: &Spec) -> Answer {
        let Some(fleet) = self
            .fleet
            .as_ref()
            .filter(|_| self.participant.may_act(now))
        else {
            return Answer::Failed(Error::from(Kind::NoQuorum));
        };
        Answer::Admission {
            misfit: fleet.unplaceable_reason(spec),
            free_milli: free_milli(fleet),
        }
    }

    /// Proposes a job, unless accepted ones leave no room for it.
    pub(super) fn submit(&mut self, now: Moment, origin: Origin, job: Box<Job>) {
        let (total, own) = self.registry.jobs.held(&job.team);
        let proposed = &self.proposed_jobs;
        let (total, own) = (total + proposed.total(), own + proposed.of(&job.team));
        let bytes = job.held_bytes();
        let admitted = self.room().admit(total, own, bytes);
        if let Err(shortage) = admitted
            && !self.is_repeated(&job)
        {
            // A new leader may not know yet that the job was accepted before.
            let is_current =
                self.replica.holds_lease(now) && self.registry.applied >= self.replica.commit();
            if !is_current {
                let err = Error::new(Kind::NoQuorum, "the root leader has just changed");
                self.answer(now, origin, Answer::Failed(err));
                return;
            }
            let message = match shortage {
                Shortage::Account => "the open jobs of the team leave no room for this one",
                Shortage::Total => "the open jobs leave no room for this one",
            };
            let err = Error::new(Kind::Overloaded, message);
            self.answer(now, origin, Answer::Failed(err));
            return;
        }
        let proposal = Proposal {
            team: job.team.clone(),
            request: job.request.clone(),
            amount: Amount { jobs: 1, bytes },
        };
        if let Some(index) = self.propose(now, origin, &Command::Submit(job), None) {
            self.proposed_jobs
                .add(proposal.team.clone(), proposal.amount);
            self.job_proposals.insert(index, proposal);
        }
    }

    // Returns whether a job was submitted before with its idempotency key. The answer is that of
    // the first submission then.
    fn is_repeated(&self, job: &Job) -> bool {
        let is_same =
            |proposal: &Proposal| proposal.team == job.team && proposal.request == job.request;
        let is_proposed = !job.request.is_empty() && self.job_proposals.values().any(is_same);
        is_proposed || self.registry.jobs.is_submitted(&job.team, &job.request)
    }

    // Returns the room for jobs on the smallest machine that keeps the registry.
    fn room(&self) -> Room {
        let peers = self.peers.values().filter(|state| state.peer.durable);
        let stated = peers.map(|state| state.peer.room_bytes);
        Room::default().smallest(stated.chain([self.identity.room_bytes]))
    }

    /// Ends the proposal of a job at this index of the log, if there is one.
    pub(super) fn end_job_proposal(&mut self, index: u64) {
        if let Some(proposal) = self.job_proposals.remove(&index) {
            self.proposed_jobs.remove(&proposal.team, proposal.amount);
        }
    }

    pub(super) fn job(&self, id: Id) -> Answer {
        match self.registry.jobs.get(id) {
            Some(job) => Answer::Job(Box::new(job.clone())),
            None => Answer::Failed(Error::new(Kind::NotFound, format!("no job {id}"))),
        }
    }

    pub(super) fn list_jobs(&self, team: Option<&str>) -> Answer {
        let jobs: Vec<JobSummary> = self
            .registry
            .jobs
            .iter()
            .rev()
            .filter(|job| team.is_none_or(|team| team == job.team))
            .take(LISTED_JOBS_MAX)
            .map(|job| JobSummary {
                id: job.id,
                team: job.team.clone(),
                name: job.spec.name.clone(),
                zone: job.zone.clone(),
                state: job.state.clone(),
                tasks: job.spec.tasks,
                ended: job.ended_count(),
            })
            .collect();
        Answer::Jobs(jobs)
    }

    pub(super) fn explain(&self, now: Moment, id: Id) -> Answer {
        let explained = self.fleet.as_ref().and_then(|f| f.explain(now, id));
        match explained {
            Some(explanation) => Answer::Explanation(explanation),
            None => Answer::Failed(Error::new(Kind::NotFound, format!("no open job {id} here"))),
        }
    }
}

fn free_milli(fleet: &Fleet) -> u64 {
    let total = fleet.total();
    let reserved = fleet
        .workers()
        .filter(|w| w.is_up())
        .fold(crate::core::job::Size::default(), |sum, w| {
            sum.plus(w.reserved)
        });
    1_000 - (reserved.dominant_share(total).min(1.0) * 1_000.0) as u64
}
