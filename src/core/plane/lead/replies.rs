//! Processing of workers' replies.

use std::time::Duration;

use super::channel::{Live, Progress};
use super::fence::Fence;
use super::inspect::{ACKNOWLEDGE_DELAY, INSPECT_RETRY, TRIAL_INSPECT_INTERVAL};
use super::io::{Declined, EndRow, Lists, Note, Reply, RunningRow, SentOrder};
use super::speed::Peers;
use super::workers::{REPLY_TIMEOUT, is_wanted};
use super::{Lead, Now};
use crate::core::plane::job::{StepSpec, Task};
use crate::core::plane::state::{Command, End, State};
use crate::core::plane::types::{StepName, TaskName, Termination, WorkerKey};
use crate::core::time::Moment;

/// Maximum number of ends in one list; a list of this length may be incomplete.
const LISTED_ENDS_MAX: usize = 500;
/// Delay of the next inspection of a worker that needs none: longer than any term lasts
/// without another reason for one.
const IDLE_INSPECT_DELAY: Duration = Duration::from_secs(3_600);

impl Lead {
    pub(super) fn process_reply(&mut self, now: Now, state: &State, number: u64, reply: Reply) {
        let Some(sent) = self.sent_orders.remove(&number) else {
            return;
        };
        let key = sent.worker;
        let Some(channel) = self.channels.get_mut(key) else {
            return;
        };
        channel.end_wait(number);
        if matches!(reply, Reply::NoAnswer) && now.at < sent.times_out_at {
            channel.record_break(self.caught_up_to);
        }
        if let Reply::Replaced = reply {
            self.replaced(now, key);
            return;
        }
        match sent.run {
            None => self.inspection_replied(now, state, number, sent, reply),
            Some((task, run)) if sent.is_start => {
                self.start_replied(now, state, sent, task, run, &reply);
            }
            Some((task, run)) => self.stop_replied(now, state, sent, task, run, &reply),
        }
    }

    fn replaced(&mut self, now: Now, key: WorkerKey) {
        self.suspend_inspections(now, key);
        self.propose(Command::Depart(key), Vec::new());
    }

    fn suspend_inspections(&mut self, now: Now, key: WorkerKey) {
        let channel = self.channels.get_mut(key).expect("known worker");
        channel.adopted = false;
        channel.inspection = None;
        channel.inspect_at = now.at + IDLE_INSPECT_DELAY;
    }

    fn order_unanswered(&mut self, now: Now, state: &State, sent: SentOrder) {
        let channel = self.channels.get_mut(sent.worker).expect("known worker");
        channel.record_unanswered(sent.sent_at);
        let silent_ms = now.at.since(channel.heard_at).as_millis() as u64;
        self.note(Note::OrderLost {
            worker: state.worker(sent.worker).report.id.clone(),
            silent_ms,
        });
    }

    fn start_replied(
        &mut self,
        now: Now,
        state: &State,
        sent: SentOrder,
        task: TaskName,
        run: u32,
        reply: &Reply,
    ) {
        let key = sent.worker;
        match reply {
            Reply::Done(clock) => {
                let channel = self.channels.get_mut(key).expect("known worker");
                channel.record_answer(now.at, *clock);
                if let Some(live) = channel.run_mut(task, run) {
                    live.confirmed_at.get_or_insert(now.at);
                    live.started_at = live.confirmed_at;
                }
            }
            Reply::Declined(why) => {
                let report = &state.worker(key).report;
                self.note(Note::StartDeclined {
                    task: task.to_string(),
                    run,
                    worker: report.id.clone(),
                    born_ms: report.born_ms,
                    why: *why,
                });
                self.declined(now, state, key, task, *why);
                self.end_as_void(state, key, task, run, "start declined");
            }
            Reply::NotSent => {
                self.end_as_void(state, key, task, run, "not sent");
                self.order_unanswered(now, state, sent);
                self.inspect_soon(now, key);
            }
            Reply::NoAnswer | Reply::Replaced | Reply::Lists(..) => {
                self.order_unanswered(now, state, sent);
                let channel = self.channels.get_mut(key).expect("known worker");
                if let Some(live) = channel.run_mut(task, run) {
                    live.in_doubt = true;
                }
                self.inspect_soon(now, key);
            }
        }
    }

    // Schedules an inspection. An unreachable worker gets no new runs before it answers
    // one.
    fn inspect_soon(&mut self, now: Now, key: WorkerKey) {
        let channel = self.channels.get_mut(key).expect("known worker");
        channel.inspect_at = channel.inspect_at.min(now.at + INSPECT_RETRY);
    }

    fn declined(&mut self, now: Now, state: &State, key: WorkerKey, task: TaskName, why: Declined) {
        let channel = self.channels.get_mut(key).expect("known worker");
        match why {
            Declined::Permit => self.permits.invalidate(task.step, key),
            Declined::Unhealthy | Declined::Malformed => {
                if let Some(exclusion) = channel.record_failure(now.at, 1.0) {
                    let failures = channel.failures(now.at);
                    self.note_avoided(state, key, failures, exclusion);
                }
            }
            Declined::Room | Declined::Late | Declined::Fence | Declined::Old => {
                // The worker's runs or its clock differ from the leader's view of them.
                channel.excluded_until = channel.excluded_until.max(now.at + INSPECT_RETRY);
                channel.inspect_at = channel.inspect_at.min(now.at);
            }
        }
    }

    fn stop_replied(
        &mut self,
        now: Now,
        state: &State,
        sent: SentOrder,
        task: TaskName,
        run: u32,
        reply: &Reply,
    ) {
        if matches!(reply, Reply::NoAnswer) {
            self.order_unanswered(now, state, sent);
            return;
        }
        let channel = self.channels.get_mut(sent.worker).expect("known worker");
        if let Reply::Done(clock) = reply {
            channel.record_answer(now.at, *clock);
            let mut is_absent = false;
            if let Some(live) = channel.run_mut(task, run) {
                live.stopped_at = Some(now.at);
                is_absent = live.in_doubt;
            }
            if is_absent {
                // The run never started, so the next list confirms that it is over.
                self.probe(now, state, sent.worker);
                return;
            }
            if channel.inspection.is_none() {
                channel.inspect_at = channel.inspect_at.min(now.at + self.bounds.max_stop);
            }
        }
    }

    fn inspection_replied(
        &mut self,
        now: Now,
        state: &State,
        number: u64,
        sent: SentOrder,
        reply: Reply,
    ) {
        let key = sent.worker;
        let channel = self.channels.get_mut(key).expect("known worker");
        if channel.inspection == Some(number) {
            channel.inspection = None;
        }
        let Reply::Lists(clock, lists) = reply else {
            channel.inspect_at = channel.inspect_at.min(now.at + INSPECT_RETRY);
            self.order_unanswered(now, state, sent);
            return;
        };
        let born_ms = state.worker(key).report.born_ms;
        if lists.born_ms.is_some_and(|born| born != born_ms) {
            // A later incarnation uses the id now, and may have received orders for this
            // one. Its report will show this.
            self.suspend_inspections(now, key);
            return;
        }
        channel.record_lists(now.at, sent.sent_at);
        channel.record_answer(now.at, clock);
        channel.acknowledged_end = channel.acknowledged_end.max(sent.seen);
        let is_first = !channel.adopted;
        channel.adopted = true;
        if is_first {
            let report = &state.worker(key).report;
            let note = Note::WorkerAdopted {
                worker: report.id.clone(),
                born_ms,
                fence: Fence::new(self.term, key),
                running: lists.running.len(),
            };
            self.note(note);
        }
        self.process_lists(now, state, key, sent.sent_at, is_first, &lists);
        self.dirty = true;
        self.schedule_inspection(now, key);
    }

    fn schedule_inspection(&mut self, now: Now, key: WorkerKey) {
        let channel = self.channels.get_mut(key).expect("known worker");
        let has_uncommitted_ends = channel.has_uncommitted_ends();
        channel.inspect_at = if has_uncommitted_ends {
            // Rescheduled earlier once the ends are committed.
            now.at + REPLY_TIMEOUT
        } else if channel.is_on_trial() {
            now.at + TRIAL_INSPECT_INTERVAL
        } else if !channel.live().is_empty() {
            now.at
        } else if channel.unexpected > 0 {
            // Stop orders for the unexpected runs are under way.
            now.at + self.bounds.max_stop
        } else if channel.committed_end > channel.acknowledged_end {
            now.at + ACKNOWLEDGE_DELAY
        } else {
            now.at + IDLE_INSPECT_DELAY
        };
    }

    fn process_lists(
        &mut self,
        now: Now,
        state: &State,
        key: WorkerKey,
        sent_at: Moment,
        is_first: bool,
        lists: &Lists,
    ) {
        let mut unexpected = 0;
        for row in &lists.running {
            unexpected += usize::from(!self.process_running(now, state, key, row));
        }
        let channel = self.channels.get_mut(key).expect("known worker");
        channel.unexpected = unexpected;
        for row in &lists.ended {
            if self.is_being_given_up(key, row) {
                // Listed again by the next inspection, after the run was given up.
                break;
            }
            self.process_end(now, state, key, row);
        }
        if lists.ended.len() < LISTED_ENDS_MAX && !lists.is_partial {
            self.process_absent(now, state, key, sent_at, is_first, lists);
        }
        self.acknowledge_ends(now, key);
    }

    // Processes a run that the worker lists. Returns false if the run should not be
    // there.
    fn process_running(
        &mut self,
        now: Now,
        state: &State,
        key: WorkerKey,
        row: &RunningRow,
    ) -> bool {
        let channel = self.channels.get_mut(key).expect("known worker");
        let Some(live) = channel.run_mut(row.task, row.run) else {
            self.stop(now, state, key, row.task, row.run, "unknown to the leader");
            return false;
        };
        live.listed = true;
        live.in_doubt = false;
        live.confirmed_at.get_or_insert(now.at);
        live.progress = Some(Progress::update(live.progress, now.at, row.percent));
        let is_open = live.stop_at.is_none() && !live.ending;
        let is_serving = live.traits.serving;
        if is_open && is_serving {
            self.observe_tail(now, state, key, row);
        }
        if is_open && !is_wanted(state, key, row.task, row.run) {
            // An earlier leader was replaced before it stopped the run.
            self.stop(now, state, key, row.task, row.run, "no longer wanted");
        }
        true
    }

    // Returns whether a run that succeeded is about to be recorded as given up.
    fn is_being_given_up(&self, key: WorkerKey, row: &EndRow) -> bool {
        let live = self.channels[key].live().get(&row.task);
        row.how == Termination::Done
            && live.is_some_and(|live| live.run == row.run && live.given_up)
    }

    fn process_end(&mut self, now: Now, state: &State, key: WorkerKey, row: &EndRow) {
        self.restore_given_up(now, state, key, row);
        let channel = self.channels.get_mut(key).expect("known worker");
        channel.proposed_end = channel.proposed_end.max(row.number);
        if !channel.begin_end(row.task, row.run) {
            return;
        }
        let live = channel.live()[&row.task];
        channel.record_past_run(row.task, &live, now.at);
        self.update_statistics(now, state, key, row, &live);
        let report = &state.worker(key).report;
        self.note(Note::Ended {
            task: row.task.to_string(),
            run: row.run,
            worker: report.id.clone(),
            born_ms: report.born_ms,
            how: row.how,
            by: "worker's list",
        });
        self.ends.push(End {
            task: row.task,
            run: row.run,
            worker: live.from.unwrap_or(key),
            how: row.how,
            checkpoint: row.checkpoint.clone(),
        });
    }

    // Takes up a run again that was given up and turns out to have succeeded.
    fn restore_given_up(&mut self, now: Now, state: &State, key: WorkerKey, row: &EndRow) {
        let is_given_up = || {
            let job = state.jobs.get(&row.task.step.job);
            job.is_some_and(|job| job.is_given_up(row.task, row.run))
        };
        let channel = self.channels.get_mut(key).expect("known worker");
        if row.how != Termination::Done || channel.live().contains_key(&row.task) || !is_given_up()
        {
            return;
        }
        let live = Live {
            run: row.run,
            listed: true,
            ordered_at: now.at,
            ..Live::default()
        };
        channel.insert(row.task, live);
        self.assignments.insert((row.task, key));
    }

    fn update_statistics(
        &mut self,
        now: Now,
        state: &State,
        key: WorkerKey,
        row: &EndRow,
        live: &Live,
    ) {
        let Some(job) = state.jobs.get(&row.task.step.job) else {
            return;
        };
        let Some((spec, _, task)) = job.task(row.task) else {
            return;
        };
        if row.how == Termination::Done {
            self.record_speed(now, key, row.task.step, spec, task, live);
        }
        let slowness = self.slowness(now, key);
        let average = self.average_speed_ratio(&state.queue(job.queue).name);
        let channel = self.channels.get_mut(key).expect("known worker");
        match row.how {
            Termination::Done if !spec.long_running => {
                let took = live
                    .confirmed_at
                    .map(|at| now.at.since(at).as_millis() as f64);
                let queue = &state.queue(job.queue).name;
                let estimate = spec.estimate_ms as f64;
                let ratio = took.map(|took| took / estimate.max(1.0));
                let ran_from_start = task.checkpoint.is_none();
                if let Some(ratio) = ratio.filter(|_| ran_from_start && estimate > 0.0) {
                    channel.record_success(now.at, ratio / slowness / average);
                    self.update_ratio(queue, ratio, slowness);
                } else {
                    channel.record_success(now.at, 1.0);
                }
                if ran_from_start {
                    self.observe_end(now, key, spec, row, live);
                }
            }
            // Only the first failure of a task counts against its worker. Repeated
            // failures are assumed to be the task's fault.
            Termination::Failed if task.failed == 0 => {
                if let Some(exclusion) = channel.record_failure(now.at, 1.0) {
                    let failures = channel.failures(now.at);
                    self.note_avoided(state, key, failures, exclusion);
                }
            }
            _ => {}
        }
    }

    // Records the run time of a task that ran from its start, after a start order of this leader.
    // A run time that includes a delay in noticing the end is left out.
    // The members of a gang end together, so their run times tell nothing about each worker.
    fn record_speed(
        &mut self,
        now: Now,
        key: WorkerKey,
        step: StepName,
        spec: &StepSpec,
        task: &Task,
        live: &Live,
    ) {
        let Some(started_at) = live.started_at else {
            return;
        };
        let is_comparable = task.checkpoint.is_none()
            && !spec.long_running
            && !spec.best_effort
            && !spec.gang
            && !spec.rack_sensitive
            && self.channels[key].detection.is_prompt(started_at, now.at);
        if !is_comparable {
            return;
        }
        let data_rack = spec.data_rack.as_ref().and_then(|r| self.racks.get(r));
        let is_remote = data_rack.is_some_and(|rack| *rack != self.channels[key].rack);
        let far_factor = if is_remote {
            self.bounds.far_factor.max(1.0)
        } else {
            1.0
        };
        let peers = Peers {
            step,
            tasks: spec.count,
        };
        let took = now.at.since(started_at).div_f64(far_factor);
        self.speeds.record(peers, key, took, now.at);
    }

    pub(super) fn note_avoided(
        &mut self,
        state: &State,
        key: WorkerKey,
        failures: f64,
        exclusion: Duration,
    ) {
        self.note(Note::WorkerAvoided {
            worker: state.worker(key).report.id.clone(),
            failures,
            for_ms: exclusion.as_millis() as u64,
        });
    }

    // Processes runs that the worker lists neither as current nor as ended.
    fn process_absent(
        &mut self,
        now: Now,
        state: &State,
        key: WorkerKey,
        sent_at: Moment,
        is_first: bool,
        lists: &Lists,
    ) {
        let channel = &self.channels[key];
        let before = |at: Option<Moment>| at.is_some_and(|at| at < sent_at);
        let mut voids = Vec::new();
        let mut stops = Vec::new();
        for (&task, live) in channel.live() {
            let is_listed = lists
                .running
                .iter()
                .any(|r| r.task == task && r.run == live.run)
                || lists
                    .ended
                    .iter()
                    .any(|r| r.task == task && r.run == live.run);
            if live.ending || is_listed {
                continue;
            }
            // The fencing token of the first inspection invalidates all orders sent before it, by
            // earlier leaders or to earlier incarnations.
            if is_first || before(live.confirmed_at) || before(live.stopped_at) {
                voids.push((task, live.run));
            } else if live.in_doubt && live.stop_at.is_none() {
                stops.push((task, live.run));
            }
        }
        for (task, run) in voids {
            self.end_as_void(state, key, task, run, "absence from the worker's list");
        }
        for (task, run) in stops {
            self.stop(now, state, key, task, run, "start order unanswered");
        }
    }
}
