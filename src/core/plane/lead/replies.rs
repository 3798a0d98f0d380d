//! Processing of workers' replies.

use std::time::Duration;

use super::channel::{Live, Progress};
use super::io::{Declined, EndRow, Lists, Note, Reply, RunningRow, Sent};
use super::workers::{ANSWER_TIMEOUT, LOOK_RETRY, TELL_SEEN_AFTER};
use super::{Lead, Now};
use crate::core::plane::state::{Command, End, State};
use crate::core::plane::types::{How, TaskName, WorkerKey};
use crate::core::time::Moment;

/// Maximum number of ends in one list; a list of this length may be incomplete.
const ENDS_MAX: usize = 500;
/// Delay of the next inspection of a worker that needs none: longer than any term lasts
/// without another reason for one.
const NEVER: Duration = Duration::from_secs(3_600);

impl Lead {
    pub(super) fn take_reply(&mut self, now: Now, state: &State, number: u64, reply: Reply) {
        let Some(sent) = self.sent.remove(&number) else {
            return;
        };
        let key = sent.worker;
        if !self.channels.contains_key(&key) {
            return;
        }
        if let Reply::Replaced = reply {
            self.replaced(now, key);
            return;
        }
        match sent.run {
            None => self.looked(now, state, number, sent, reply),
            Some((task, run)) if sent.is_start => {
                self.start_replied(now, state, sent, task, run, &reply);
            }
            Some((task, run)) => self.stop_replied(now, state, sent, task, run, &reply),
        }
    }

    fn replaced(&mut self, now: Now, key: WorkerKey) {
        self.set_aside(now, key);
        self.propose(Command::Depart(key), Vec::new());
    }

    fn set_aside(&mut self, now: Now, key: WorkerKey) {
        let channel = self.channels.get_mut(&key).expect("known worker");
        channel.adopted = false;
        channel.look = None;
        channel.look_at = now.at + NEVER;
    }

    fn missed(&mut self, now: Now, state: &State, sent: Sent) {
        let channel = self.channels.get_mut(&sent.worker).expect("known worker");
        channel.miss(sent.at);
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
        sent: Sent,
        task: TaskName,
        run: u32,
        reply: &Reply,
    ) {
        let key = sent.worker;
        match reply {
            Reply::Done(clock) => {
                let channel = self.channels.get_mut(&key).expect("known worker");
                channel.hear(now.at, *clock);
                if let Some(live) = channel.run_mut(task, run) {
                    live.confirmed_at.get_or_insert(now.at);
                }
            }
            Reply::Declined(why) => {
                self.declined(now, state, key, task, *why);
                self.void(state, key, task, run, "start declined");
            }
            Reply::NotSent => {
                self.void(state, key, task, run, "not sent");
                self.missed(now, state, sent);
                self.look_soon(now, key);
            }
            Reply::NoAnswer | Reply::Replaced | Reply::Lists(..) => {
                self.missed(now, state, sent);
                let channel = self.channels.get_mut(&key).expect("known worker");
                if let Some(live) = channel.run_mut(task, run) {
                    live.in_doubt = true;
                }
                self.look_soon(now, key);
            }
        }
    }

    // Schedules an inspection. An unreachable worker gets no new runs before it answers
    // one.
    fn look_soon(&mut self, now: Now, key: WorkerKey) {
        let channel = self.channels.get_mut(&key).expect("known worker");
        channel.look_at = channel.look_at.min(now.at + LOOK_RETRY);
    }

    fn declined(&mut self, now: Now, state: &State, key: WorkerKey, task: TaskName, why: Declined) {
        let channel = self.channels.get_mut(&key).expect("known worker");
        match why {
            Declined::Permit => self.permits.revoke(task.step, key),
            Declined::Unhealthy | Declined::Malformed => {
                if let Some(wait) = channel.fail(now.at, 1.0) {
                    let failures = channel.failures(now.at);
                    self.note_avoided(state, key, failures, wait);
                }
            }
            Declined::Room | Declined::Late | Declined::Fence | Declined::Old => {
                // The worker's runs or its clock differ from the leader's view of them.
                channel.avoid_until = channel.avoid_until.max(now.at + LOOK_RETRY);
                channel.look_at = channel.look_at.min(now.at);
            }
        }
    }

    fn stop_replied(
        &mut self,
        now: Now,
        state: &State,
        sent: Sent,
        task: TaskName,
        run: u32,
        reply: &Reply,
    ) {
        if matches!(reply, Reply::NoAnswer) {
            self.missed(now, state, sent);
            return;
        }
        let channel = self.channels.get_mut(&sent.worker).expect("known worker");
        if let Reply::Done(clock) = reply {
            channel.hear(now.at, *clock);
            if let Some(live) = channel.run_mut(task, run) {
                live.stopped_at = Some(now.at);
            }
            if channel.look.is_none() {
                channel.look_at = channel.look_at.min(now.at + self.bounds.stop);
            }
        }
    }

    fn looked(&mut self, now: Now, state: &State, number: u64, sent: Sent, reply: Reply) {
        let key = sent.worker;
        let channel = self.channels.get_mut(&key).expect("known worker");
        if channel.look == Some(number) {
            channel.look = None;
        }
        let Reply::Lists(clock, lists) = reply else {
            channel.look_at = now.at + LOOK_RETRY;
            self.missed(now, state, sent);
            return;
        };
        let born_ms = state.worker(key).report.born_ms;
        if lists.born_ms.is_some_and(|born| born != born_ms) {
            // A later incarnation uses the id now, and may have received orders for this
            // one. Its report will show this.
            self.set_aside(now, key);
            return;
        }
        channel.hear(now.at, clock);
        channel.told_seen = channel.told_seen.max(sent.seen);
        let first = !channel.adopted;
        channel.adopted = true;
        if first {
            let note = Note::WorkerAdopted {
                worker: state.worker(key).report.id.clone(),
                fence: self.fence,
                running: lists.running.len(),
            };
            self.note(note);
        }
        self.take_lists(now, state, key, sent.at, first, &lists);
        self.dirty = true;
        self.schedule_look(now, key);
    }

    fn schedule_look(&mut self, now: Now, key: WorkerKey) {
        let channel = self.channels.get_mut(&key).expect("known worker");
        let is_storing = channel.is_storing();
        channel.look_at = if is_storing {
            // Rescheduled earlier once the ends are committed.
            now.at + ANSWER_TIMEOUT
        } else if !channel.live().is_empty() {
            now.at
        } else if channel.strays > 0 {
            // Stop orders for the unexpected runs are under way.
            now.at + self.bounds.stop
        } else if channel.seen > channel.told_seen {
            now.at + TELL_SEEN_AFTER
        } else {
            now.at + NEVER
        };
    }

    fn take_lists(
        &mut self,
        now: Now,
        state: &State,
        key: WorkerKey,
        sent_at: Moment,
        first: bool,
        lists: &Lists,
    ) {
        let mut strays = 0;
        for row in &lists.running {
            strays += usize::from(!self.take_running(now, state, key, row));
        }
        let channel = self.channels.get_mut(&key).expect("known worker");
        channel.strays = strays;
        for row in &lists.ended {
            self.take_end(now, state, key, row);
        }
        if lists.ended.len() < ENDS_MAX {
            self.take_absent(now, state, key, sent_at, first, lists);
        }
        self.advance_seen(now, key);
    }

    // Processes a run that the worker lists. Returns false if the run should not be
    // there.
    fn take_running(&mut self, now: Now, state: &State, key: WorkerKey, row: &RunningRow) -> bool {
        let channel = self.channels.get_mut(&key).expect("known worker");
        let Some(live) = channel.run_mut(row.task, row.run) else {
            self.stop(now, state, key, row.task, row.run, "unknown to the leader");
            return false;
        };
        live.listed = true;
        live.in_doubt = false;
        live.confirmed_at.get_or_insert(now.at);
        live.progress = Some(Progress::update(live.progress, now.at, row.percent));
        true
    }

    fn take_end(&mut self, now: Now, state: &State, key: WorkerKey, row: &EndRow) {
        let channel = self.channels.get_mut(&key).expect("known worker");
        channel.proposed = channel.proposed.max(row.number);
        if !channel.begin_end(row.task, row.run) {
            return;
        }
        let live = channel.live()[&row.task];
        self.learn_from_end(now, state, key, row, &live);
        self.note(Note::Ended {
            task: row.task.to_string(),
            run: row.run,
            worker: state.worker(key).report.id.clone(),
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

    fn learn_from_end(
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
        let channel = self.channels.get_mut(&key).expect("known worker");
        match row.how {
            How::Done if !spec.lasting => {
                let took = live
                    .confirmed_at
                    .map(|at| now.at.since(at).as_millis() as f64);
                let queue = &state.queue(job.queue).name;
                let estimate = spec.estimate_ms as f64;
                let ratio = took.map(|took| took / estimate.max(1.0));
                let whole = task.checkpoint.is_none();
                if let Some(ratio) = ratio.filter(|_| whole && estimate > 0.0) {
                    let usual = self.ratios.get(queue).copied().unwrap_or(1.0);
                    channel.succeed(now.at, ratio / usual);
                    self.learn_ratio(queue, ratio);
                } else {
                    channel.succeed(now.at, 1.0);
                }
            }
            // Only the first failure of a task counts against its worker. Repeated
            // failures are assumed to be the task's fault.
            How::Failed if task.failed == 0 => {
                if let Some(wait) = channel.fail(now.at, 1.0) {
                    let failures = channel.failures(now.at);
                    self.note_avoided(state, key, failures, wait);
                }
            }
            _ => {}
        }
    }

    pub(super) fn note_avoided(
        &mut self,
        state: &State,
        key: WorkerKey,
        failures: f64,
        wait: Duration,
    ) {
        self.note(Note::WorkerAvoided {
            worker: state.worker(key).report.id.clone(),
            failures,
            for_ms: wait.as_millis() as u64,
        });
    }

    // Processes runs that the worker lists neither as current nor as ended.
    fn take_absent(
        &mut self,
        now: Now,
        state: &State,
        key: WorkerKey,
        sent_at: Moment,
        first: bool,
        lists: &Lists,
    ) {
        let channel = &self.channels[&key];
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
            // The fencing token of a term's first inspection invalidates all orders sent
            // before it.
            let fenced = first && live.from.is_none();
            if fenced || before(live.confirmed_at) || before(live.stopped_at) {
                voids.push((task, live.run));
            } else if live.in_doubt && live.stop_at.is_none() {
                stops.push((task, live.run));
            }
        }
        for (task, run) in voids {
            self.void(state, key, task, run, "absence from the worker's list");
        }
        for (task, run) in stops {
            self.stop(now, state, key, task, run, "start order unanswered");
        }
    }
}
