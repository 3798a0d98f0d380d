//! Orders to workers: starts, stops and inspections.

use std::time::Duration;

use super::channel::{Channel, Live, Traits};
use super::fence::Fence;
use super::inspect::INSPECT_WAIT;
use super::io::{Effect, Note, Order, SentOrder, Work};
use super::trial::TRIAL;
use super::{Lead, Now};
use crate::core::plane::job::{Phase, Status};
use crate::core::plane::state::{Command, End, Start, State};
use crate::core::plane::types::{JobId, Resources, StepName, TaskName, Termination, WorkerKey};

/// Time to wait for a reply beyond the requested delay: a hundred round trips.
pub(super) const REPLY_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay of the first inspection after a start, so that consecutive starts share it.
const INSPECT_AFTER_START: Duration = Duration::from_millis(60);
/// Time after which a command that is not committed is proposed again.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which an unanswered stop is repeated.
const STOP_RETRY: Duration = Duration::from_millis(400);
/// Time from the announcement of a worker's shutdown to the record of its end, in which the ends
/// of its runs are acknowledged.
const DEPARTURE_DELAY: Duration = Duration::from_millis(300);
/// Time before a worker may shut down at which its remaining runs are stopped, beyond the time
/// that stopping takes.
const HANDOVER_MARGIN: Duration = Duration::from_millis(200);
/// A run without progress for this long is stopped and started elsewhere: three
/// inspections. Workers report whole percentages, so longer runs get more time.
const STUCK_MIN: Duration = Duration::from_millis(2_500);
/// Maximum time without progress for a gang member at 0 %: members make no progress
/// before all of them have started.
const STUCK_GANG_MIN: Duration = Duration::from_millis(4_500);
/// Fraction of the estimated run time for which a run may be without progress.
const STUCK_SHARE: f64 = 0.1;
/// Weight of a stuck run in the failure score: high enough to exclude the worker from
/// placement at once.
const STUCK_FAILURE_WEIGHT: f64 = 2.0;
/// A run that was ordered at most this long before its worker is last known to have run, or
/// later, may have crashed it.
const SUSPICION_MAX: Duration = Duration::from_millis(250);
/// Interval at which runs are checked for unanswered stops and for progress.
const RUN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Lead {
    pub(super) fn tick_workers(&mut self, now: Now, state: &State) {
        let check_runs = now.at.since(self.runs_checked_at) >= RUN_CHECK_INTERVAL;
        if check_runs {
            self.runs_checked_at = now.at;
        }
        let caught_up_to = self.caught_up_to;
        let is_due = |channel: &Channel| check_runs || channel.is_due(now.at, caught_up_to);
        let due: Vec<WorkerKey> = self
            .channels
            .iter()
            .filter(|(_, channel)| is_due(channel))
            .map(|(key, _)| key)
            .collect();
        for key in due {
            let worker = state.worker(key);
            let channel = self.channels.get_mut(key).expect("listed above");
            if worker.departed && channel.live().is_empty() {
                self.channels.remove(key);
                self.speeds.remove(key);
                continue;
            }
            if !worker.departed && self.tick_departure(now, key) {
                continue;
            }
            let channel = self.channels.get_mut(key).expect("not removed above");
            let out_of_contact = !channel.adopted || channel.unanswered_since.is_some();
            if out_of_contact && !channel.live().is_empty() && channel.leases_expired(now.at) {
                self.end_all_as_void(key, state, "lease expiry");
            }
            self.probe_if_overdue(now, state, key);
            let channel = self.channels.get_mut(key).expect("not removed above");
            let is_due = now.at >= channel.inspect_at
                || channel.unanswered_since.is_none()
                    && channel.needs_inspection(self.caught_up_to);
            // An unreachable worker is inspected at short intervals, so that it is heard as
            // soon as it can be reached.
            let may_inspect = channel.inspection.is_none() || channel.unanswered_since.is_some();
            if may_inspect && is_due && !worker.departed {
                self.inspect(now, state, key);
            }
            if check_runs {
                self.tick_runs(now, state, key);
            }
        }
        if check_runs {
            self.refresh_speeds(now, state);
            self.tick_interference(now);
            self.permits.retain(|step| state.open.contains(&step.job));
            self.trial_waits
                .retain(|step, _| state.open.contains(&step.job));
        }
    }

    // Records the end of a worker that has announced its shutdown and has no runs left. Silence does
    // not show that it is gone: it works on for seconds if the answer to its announcement got
    // lost. Returns whether the end is proposed.
    fn tick_departure(&mut self, now: Now, key: WorkerKey) -> bool {
        let channel = self.channels.get_mut(key).expect("known worker");
        let is_over = channel
            .departing_since
            .is_some_and(|since| now.at.since(since) >= DEPARTURE_DELAY);
        if !is_over || !channel.live().is_empty() {
            return false;
        }
        let is_proposed = channel
            .end_proposed_at
            .is_some_and(|at| now.at.since(at) < COMMIT_TIMEOUT);
        if !is_proposed {
            channel.end_proposed_at = Some(now.at);
            self.propose(Command::Depart(key), Vec::new());
        }
        true
    }

    fn tick_runs(&mut self, now: Now, state: &State, key: WorkerKey) {
        let channel = &self.channels[key];
        // The ends of stopped runs are listed before the worker is gone. Those that it takes with
        // it start elsewhere only after their leases.
        let is_leaving = channel.is_leaving(now.at, self.bounds.max_stop + HANDOVER_MARGIN);
        let mut stops = Vec::new();
        let mut stuck = 0;
        for (&task, live) in channel.live() {
            if live.ending {
                continue;
            }
            let unanswered = live.stopped_at.is_none()
                && live
                    .stop_at
                    .is_some_and(|at| self.caught_up_to.since(at) > STOP_RETRY);
            if unanswered {
                stops.push((task, live.run, "stop order unanswered"));
            } else if live.stop_at.is_some() {
                continue;
            } else if is_leaving {
                stops.push((task, live.run, "shutdown of its worker"));
            } else if is_stuck(now, state, task, live) {
                stops.push((task, live.run, "no progress"));
                stuck += 1;
            }
        }
        if stops.is_empty() {
            return;
        }
        let channel = self.channels.get_mut(key).expect("known worker");
        if stuck > 0
            && let Some(wait) = channel.record_failure(now.at, STUCK_FAILURE_WEIGHT)
        {
            let failures = channel.failures(now.at);
            self.note_avoided(state, key, failures, wait);
        }
        for (task, run, why) in stops {
            self.stop(now, state, key, task, run, why);
        }
    }

    pub(super) fn order(
        &mut self,
        now: Now,
        state: &State,
        key: WorkerKey,
        sent: SentOrder,
        work: Work,
    ) -> u64 {
        let number = self.number();
        let wait = match &work {
            Work::Inspect { wait, .. } => *wait,
            _ => Duration::ZERO,
        };
        let report = &state.worker(key).report;
        let order = Order {
            number,
            worker: report.id.clone(),
            address: report.address.clone(),
            fence: Fence::new(self.term, key),
            timeout: wait + REPLY_TIMEOUT,
            task: work,
        };
        self.sent_orders.insert(
            number,
            SentOrder {
                sent_at: now.at,
                times_out_at: now.at + wait + REPLY_TIMEOUT,
                ..sent
            },
        );
        if let Some(channel) = self.channels.get_mut(key) {
            channel.await_reply(number, now.at + wait);
        }
        self.effects.push(Effect::Order(order));
        number
    }

    pub(super) fn started(&mut self, now: Now, state: &State, start: Start) {
        let Start { task, run, worker } = start;
        self.unreserve(task);
        let assigned_worker = state.worker(worker);
        let Some(record) = assigned_worker.runs.get(&task).filter(|r| r.run == run) else {
            return;
        };
        let Some(channel) = self.channels.get_mut(worker) else {
            return;
        };
        let live = Live {
            run,
            ordered_at: now.at,
            traits: Traits {
                image: self.interference.image_of(state, task.step),
                ..traits(state, task, record.room)
            },
            ..Live::default()
        };
        let job = &state.jobs[&task.step.job];
        let on_trial = state.is_on_trial(task);
        if on_trial {
            channel.trial_until = now.at + TRIAL;
        }
        channel.insert(task, live);
        self.assignments.insert((task, worker));
        if state.is_start_evacuated(start) {
            self.end_as_void(state, worker, task, run, "evacuation of its zone");
            return;
        }
        let wanted = state.is_wanted(worker, task, run);
        let until = channel.lease_end(now.at, self.bounds.max_lease);
        let is_leaving = assigned_worker.departed || channel.departing_since.is_some();
        let (Some(until), true, false) = (until, wanted, is_leaving) else {
            self.end_as_void(state, worker, task, run, "not sent");
            return;
        };
        if channel.inspection.is_none() {
            channel.inspect_at = channel.inspect_at.min(now.at + INSPECT_AFTER_START);
        }
        let (_, _, found) = job.task(task).expect("wanted task");
        let permits = self.permits.for_step(task.step);
        let permit = permits.and_then(|known| known.permitted.get(&worker));
        let has_permit = permit.is_some();
        let work = Work::Start {
            task,
            run,
            text: job.submission.text.clone(),
            until,
            checkpoint: found.checkpoint.clone(),
            permit: permit.map(|permit| permit.text.clone()),
        };
        self.note(Note::Placed {
            task: task.to_string(),
            run,
            worker: assigned_worker.report.id.clone(),
            born_ms: assigned_worker.report.born_ms,
            waited_ms: now.wall_ms.saturating_sub(job.accepted_ms),
            on_trial,
            has_permit,
        });
        let sent = SentOrder {
            worker,
            run: Some((task, run)),
            is_start: true,
            seen: 0,
            sent_at: now.at,
            times_out_at: now.at,
        };
        self.order(now, state, worker, sent, work);
    }

    pub(super) fn stop(
        &mut self,
        now: Now,
        state: &State,
        key: WorkerKey,
        task: TaskName,
        run: u32,
        why: &'static str,
    ) {
        if let Some(channel) = self.channels.get_mut(key)
            && let Some(live) = channel.run_mut(task, run)
        {
            live.stop_at = Some(now.at);
        }
        self.note(Note::Stopping {
            task: task.to_string(),
            run,
            worker: state.worker(key).report.id.clone(),
            why,
        });
        let sent = SentOrder {
            worker: key,
            run: Some((task, run)),
            is_start: false,
            seen: 0,
            sent_at: now.at,
            times_out_at: now.at,
        };
        self.order(now, state, key, sent, Work::Stop { task, run });
    }

    /// Stops the runs of a job that should not go on because the job was cancelled or
    /// failed, or their gang is being stopped.
    pub(super) fn stop_unwanted(&mut self, now: Now, state: &State, job: JobId) {
        let first = TaskName {
            step: StepName {
                job,
                ..StepName::default()
            },
            index: 0,
        };
        let assigned: Vec<(TaskName, WorkerKey)> = self
            .assignments
            .range((first, WorkerKey(0))..)
            .take_while(|(task, _)| task.step.job == job)
            .copied()
            .collect();
        for (task, key) in assigned {
            let found = self.channels.get(key).and_then(|c| c.live().get(&task));
            let Some(live) = found.filter(|l| !l.ending && l.stop_at.is_none()) else {
                continue;
            };
            let run = live.run;
            if !is_wanted(state, key, task, run) {
                self.stop(now, state, key, task, run, "no longer wanted");
            }
        }
    }

    /// Ends a run that is certainly not on its worker.
    pub(super) fn end_as_void(
        &mut self,
        state: &State,
        key: WorkerKey,
        task: TaskName,
        run: u32,
        by: &'static str,
    ) {
        self.end_without_list(state, key, task, run, Termination::Void, by);
    }

    // Ends a run that its worker does not list.
    fn end_without_list(
        &mut self,
        state: &State,
        key: WorkerKey,
        task: TaskName,
        run: u32,
        how: Termination,
        by: &'static str,
    ) {
        let Some(channel) = self.channels.get_mut(key) else {
            return;
        };
        if !channel.begin_end(task, run) {
            return;
        }
        if let Some(live) = channel.run_mut(task, run) {
            live.given_up = true;
        }
        let Live { from, in_doubt, .. } = channel.live()[&task];
        // The earlier incarnation crashed before it listed the run.
        let how = if from.is_some() && in_doubt {
            Termination::Crashed
        } else {
            how
        };
        self.ends.push(End {
            task,
            run,
            worker: from.unwrap_or(key),
            how,
            checkpoint: None,
        });
        self.dirty = true;
        let report = &state.worker(key).report;
        self.note(Note::Ended {
            task: task.to_string(),
            run,
            worker: report.id.clone(),
            born_ms: report.born_ms,
            how,
            by,
        });
    }

    fn end_all_as_void(&mut self, key: WorkerKey, state: &State, by: &'static str) {
        self.end_all(key, state, by, |_| Termination::Void);
    }

    fn end_all(
        &mut self,
        key: WorkerKey,
        state: &State,
        by: &'static str,
        how: impl Fn(&Live) -> Termination,
    ) {
        let runs: Vec<(TaskName, Live)> = self.channels[key].unended().collect();
        if runs.is_empty() {
            return;
        }
        self.note(Note::WorkerGone {
            worker: state.worker(key).report.id.clone(),
            by,
        });
        for (task, live) in runs {
            self.end_without_list(state, key, task, live.run, how(&live), by);
        }
    }

    /// Removes a run whose end is committed. Returns the worker that had it.
    pub(super) fn ended(&mut self, state: &State, end: &End) -> WorkerKey {
        let records = &state.worker(end.worker).runs;
        if records.get(&end.task).is_some_and(|r| r.run == end.run) {
            return end.worker;
        }
        let assigned: Vec<WorkerKey> = self
            .assignments
            .range((end.task, WorkerKey(0))..)
            .take_while(|(task, _)| *task == end.task)
            .map(|(_, key)| *key)
            .collect();
        for key in assigned {
            let channel = self.channels.get_mut(key).expect("known worker");
            let is_match = channel
                .run_mut(end.task, end.run)
                .is_some_and(|live| live.from.unwrap_or(key) == end.worker);
            if is_match {
                channel.remove(end.task);
                self.assignments.remove(&(end.task, key));
                return key;
            }
        }
        end.worker
    }

    pub(super) fn registered(&mut self, now: Now, state: &State, id: &str) {
        let Some(&key) = state.worker_keys.get(id) else {
            return;
        };
        let worker = state.worker(key);
        let (rack, zone) = (self.rack(worker), self.zone(worker));
        if !self.channels.contains(key) {
            let mut created = Channel::new(now.at, now.at, rack, zone);
            if let Some((at, condition)) = self.take_first_condition(&worker.report) {
                created.record_condition(at, worker.report.sequence, condition);
            }
            self.channels.insert(key, created);
        }
        let superseded: Vec<WorkerKey> = state
            .live_workers()
            .filter(|(other, w)| {
                let same_machine =
                    w.report.machine.is_some() && w.report.machine == worker.report.machine;
                *other != key && same_machine && worker.report.is_later(&w.report)
            })
            .map(|(other, _)| other)
            .collect();
        for other in superseded {
            self.propose(Command::Depart(other), Vec::new());
        }
        let ended: Vec<WorkerKey> = self
            .channels
            .keys()
            .filter(|&other| state.worker(other).departed)
            .collect();
        for other in ended {
            match self.successor(state, other) {
                Some(later) => self.replace(now, state, other, later),
                None => self.departed(state, other, "replacement by a later incarnation"),
            }
        }
    }

    pub(super) fn departed(&mut self, state: &State, key: WorkerKey, by: &'static str) {
        let Some(channel) = self.channels.get(key) else {
            return;
        };
        if channel.departing_since.is_some() || state.worker(key).report.draining {
            self.end_all_as_void(key, state, by);
        } else {
            self.end_all_as_crashed(key, state, by);
        }
    }

    // Ends the runs of an incarnation that ended without an announcement. The runs that
    // started last may have crashed the worker.
    fn end_all_as_crashed(&mut self, key: WorkerKey, state: &State, by: &'static str) {
        let alive_at = self.channels[key].alive_at;
        self.end_all(key, state, by, |live| {
            if alive_at.since(live.ordered_at) <= SUSPICION_MAX {
                Termination::Crashed
            } else {
                Termination::Lost
            }
        });
    }
}

// Returns whether a run makes no progress. Time for which its worker sends no lists does
// not count.
fn is_stuck(now: Now, state: &State, task: TaskName, live: &Live) -> bool {
    let Some(progress) = live.progress else {
        return false;
    };
    let job = state.jobs.get(&task.step.job);
    let Some((spec, _, _)) = job.and_then(|j| j.task(task)) else {
        return false;
    };
    if spec.long_running || spec.best_effort || progress.percent >= 100 {
        return false;
    }
    let share = Duration::from_millis((spec.estimate_ms as f64 * STUCK_SHARE) as u64);
    let limit = if spec.gang && progress.percent == 0 {
        STUCK_GANG_MIN
    } else {
        STUCK_MIN
    };
    progress.stalled_for(now.at, INSPECT_WAIT) > limit.max(share)
}

/// Returns how a run affects the placement of other tasks on its worker, apart from its image.
pub(super) fn traits(state: &State, task: TaskName, room: Resources) -> Traits {
    let Some(job) = state.jobs.get(&task.step.job) else {
        return Traits::default();
    };
    let Some((spec, _)) = job.step(task.step) else {
        return Traits::default();
    };
    let is_urgent = state.queue(job.queue).priority == 0;
    Traits {
        urgent_cpu: if is_urgent { room.cpu } else { 0 },
        lasting: if spec.long_running {
            room
        } else {
            Resources::default()
        },
        serving: spec.target_ms > 0,
        best_effort: spec.best_effort,
        image: None,
    }
}

/// Returns whether a run should go on or ends without a stop order.
pub(super) fn is_wanted(state: &State, key: WorkerKey, task: TaskName, run: u32) -> bool {
    state.is_wanted(key, task, run) || ends_by_itself(state, task)
}

// Returns whether a run ends without a stop order, as the members of a completed gang do.
fn ends_by_itself(state: &State, task: TaskName) -> bool {
    state.jobs.get(&task.step.job).is_none_or(|job| {
        job.status == Status::Completed
            || job
                .task(task)
                .is_some_and(|(_, _, found)| found.phase == Phase::Done)
    })
}
