//! Queries from callers, workers and operators.

use super::io::{Action, Answer, Call, Effect, Note, Query, Refusal, Request};
use super::{Lead, Now};
use crate::core::plane::job::{Annotation, Job, Status, Submission};
use crate::core::plane::plan::Queue;
use crate::core::plane::state::{Command, State};
use crate::core::plane::types::{AccountKey, JobId, WorkerKey};
use crate::core::plane::worker::{Condition, Departure, Report};
use crate::core::retry::spread;
use crate::core::room::{Amount, ROOM_RETRY_MIN, ROOM_RETRY_SPREAD, Shortage};

/// Time after which a caller should retry while there is no configuration. The operator
/// sends it again within about a second.
const NO_CONFIGURATION_RETRY_MS: u64 = 1_000;

/// Maximum time by which a worker's time of day is taken to be ahead of the leader's: ten minutes,
/// as clocks jump by seconds.
const CLOCK_AHEAD_MAX_MS: u64 = 600_000;

impl Lead {
    pub(super) fn process_query(&mut self, now: Now, state: &State, call: Call, query: Query) {
        match query {
            Query::Request(request) => self.process_request(now, state, call, *request),
            Query::Report(report) => {
                self.process_report(now, state, call, *report, Condition::default());
            }
            Query::Heartbeat { report, condition } => {
                self.process_report(now, state, call, *report, condition);
            }
            Query::Evacuate { zone, active } => self.evacuate(state, call, zone, active),
            Query::Depart(departure) => self.process_departure(now, state, call, departure),
            Query::Configure { plan, document } => {
                if let Err(err) = plan.validate() {
                    let path = format!("configuration {}", plan.version);
                    self.note_refusal(state, path, err.to_string());
                    self.answer(call, Answer::Malformed(err.to_string()));
                    return;
                }
                if plan.version <= state.config.version {
                    self.answer(call, Answer::Done);
                    return;
                }
                let command = Command::Configure { plan, document };
                self.propose(command, vec![(call, Answer::Done)]);
            }
            Query::Configuration => {
                let answer = if state.config.version == 0 {
                    no_configuration()
                } else {
                    Answer::Configuration(state.document.clone())
                };
                self.answer(call, answer);
            }
        }
    }

    fn process_request(&mut self, now: Now, state: &State, call: Call, request: Request) {
        if state.config.version == 0 {
            self.refuse(state, call, &request, no_configuration());
            return;
        }
        let Some(queue) = state.config.queue_at(&request.host, &request.path) else {
            self.refuse(state, call, &request, Answer::NotFound);
            return;
        };
        let account = request
            .key
            .as_deref()
            .and_then(|key| state.config.account_of(key))
            .map(|account| account.name.clone());
        if account.is_none() && !queue.open {
            self.refuse(state, call, &request, Answer::Unauthorized);
            return;
        }
        let tail = &request.path[queue.prefix.len()..];
        if tail.is_empty() {
            let answer = match request.action {
                Action::Show => Answer::Pending(self.pending(state, queue)),
                _ => Answer::Malformed("the path contains no job id".to_owned()),
            };
            self.answer(call, answer);
            return;
        }
        let id = match tail.parse::<JobId>() {
            Ok(id) => id,
            Err(err) => {
                self.refuse(state, call, &request, Answer::Malformed(err));
                return;
            }
        };
        match request.action {
            Action::Submit(submission) => {
                let submission = Submission { id, ..*submission };
                self.submit(now, state, call, submission, Vec::new(), queue, account);
            }
            Action::SubmitAnnotated(submission, annotations) => {
                let submission = Submission { id, ..*submission };
                self.submit(now, state, call, submission, annotations, queue, account);
            }
            Action::Show => self.answer(call, status_of(state, id)),
            Action::Cancel => self.cancel(now, state, call, id),
        }
    }

    #[expect(clippy::too_many_arguments, reason = "passes the parts of a request")]
    fn submit(
        &mut self,
        now: Now,
        state: &State,
        call: Call,
        submission: Submission,
        annotations: Vec<Annotation>,
        queue: &Queue,
        account: Option<String>,
    ) {
        let id = submission.id;
        let accepted = Note::JobAccepted {
            job: id.to_string(),
            queue: queue.name.clone(),
            account: account.clone(),
            repeated: state.jobs.contains_key(&id) || self.submitting.contains_key(&id),
            version: state.config.version,
        };
        if state.jobs.contains_key(&id) {
            self.note(accepted);
            self.answer(call, Answer::Done);
            return;
        }
        let valid = submission.validate();
        if let Err(err) = valid.and_then(|()| Annotation::validate(&annotations, &submission)) {
            self.note_refusal(state, id.to_string(), err.clone());
            self.answer(call, Answer::Malformed(err));
            return;
        }
        let key = account.as_deref().and_then(|name| state.account_key(name));
        let added = Amount {
            jobs: 1,
            bytes: submission.held_bytes(&annotations),
        };
        // A repetition of a job that is being accepted must not be refused.
        if !self.submitting.contains_key(&id)
            && let Err(shortage) = self.admit(state, key, added.bytes)
        {
            self.refuse_for_room(state, call, id, account, shortage);
            return;
        }
        self.note(accepted);
        self.proposed.add(key, added);
        self.submitting.entry(id).or_default().push((key, added));
        let (submission, queue) = (Box::new(submission), queue.name.clone());
        let command = if annotations.iter().all(Annotation::is_empty) {
            Command::Submit {
                submission,
                queue,
                account,
                at_ms: now.wall_ms,
            }
        } else {
            Command::SubmitAnnotated {
                submission,
                annotations,
                queue,
                account,
                at_ms: now.wall_ms,
            }
        };
        self.propose(command, vec![(call, Answer::Done)]);
    }

    // Decides whether there is room for a job, beside those that are accepted or proposed.
    fn admit(
        &self,
        state: &State,
        account: Option<AccountKey>,
        bytes: usize,
    ) -> Result<(), Shortage> {
        let total = state.holdings.total() + self.proposed.total();
        let own = state.holdings.of(&account) + self.proposed.of(&account);
        self.room.admit(total, own, bytes)
    }

    fn refuse_for_room(
        &mut self,
        state: &State,
        call: Call,
        id: JobId,
        account: Option<String>,
        shortage: Shortage,
    ) {
        self.room_refusals += 1;
        let retry = spread(ROOM_RETRY_MIN, ROOM_RETRY_SPREAD, id.0 ^ self.room_refusals);
        let retry_ms = retry.as_millis() as u64;
        let total = state.holdings.total() + self.proposed.total();
        self.note(Note::NoRoom {
            job: id.to_string(),
            account,
            shortage,
            held_bytes: total.bytes,
            room_bytes: self.room.bytes,
            open_jobs: total.jobs,
            retry_ms,
        });
        let why = Refusal::Overloaded;
        self.answer(call, Answer::Unavailable { retry_ms, why });
    }

    fn cancel(&mut self, now: Now, state: &State, call: Call, id: JobId) {
        let is_open = self.submitting.contains_key(&id) || state.open.contains(&id);
        if !is_open {
            let answer = match state.jobs.get(&id) {
                Some(_) => Answer::Done,
                None => Answer::Gone,
            };
            self.answer(call, answer);
            return;
        }
        self.note(Note::JobCancelled {
            job: id.to_string(),
        });
        self.cancelling.insert(id);
        let command = Command::Cancel {
            job: id,
            at_ms: now.wall_ms,
        };
        self.propose(command, vec![(call, Answer::Done)]);
    }

    fn process_report(
        &mut self,
        now: Now,
        state: &State,
        call: Call,
        report: Report,
        condition: Condition,
    ) {
        if !report.capacity.is_in_range() {
            let why = format!("capacity {:?} is out of range", report.capacity);
            self.note_refusal(state, format!("report of {}", report.id), why.clone());
            self.answer(call, Answer::Malformed(why));
            return;
        }
        if let Some(why) = implausible(now, &report) {
            self.note_refusal(state, format!("report of {}", report.id), why.clone());
            self.answer(call, Answer::Malformed(why));
            return;
        }
        let known = state.worker_keys.get(&report.id).copied();
        if let Some(key) = known {
            let worker = state.worker(key);
            let same_incarnation = worker.report.born_ms == report.born_ms;
            let is_stale = !same_incarnation && !report.is_later(&worker.report)
                || same_incarnation && report.sequence < worker.report.sequence;
            let has_changes = !(worker.departed
                || same_incarnation && report.equals_except_sequence(&worker.report));
            if let Some(channel) = self.channels.get_mut(key)
                && same_incarnation
            {
                channel.reported_at = now.at;
                if !is_stale {
                    channel.record_condition(now.at, report.sequence, condition);
                }
            }
            if is_stale || same_incarnation && !has_changes {
                self.answer(call, Answer::Done);
                return;
            }
        }
        self.note(Note::WorkerChanged {
            worker: report.id.clone(),
            born_ms: report.born_ms,
            draining: report.draining,
        });
        let is_new = known.is_none_or(|key| state.worker(key).report.born_ms != report.born_ms);
        if is_new {
            self.record_first_condition(now, &report, condition);
        }
        let command = Command::Register(Box::new(report));
        self.propose(command, vec![(call, Answer::Done)]);
    }

    fn process_departure(&mut self, now: Now, state: &State, call: Call, departure: Departure) {
        let known = state.worker_keys.get(&departure.id).copied();
        let report = known.map(|key| &state.worker(key).report);
        let is_current = report.is_some_and(|report| report.is_ended_by(&departure));
        let note = Note::WorkerDeparts {
            named_born_ms: departure.born_ms,
            known_born_ms: report.map(|report| report.born_ms),
            draining: report.is_some_and(|report| report.draining),
            is_current,
            worker: departure.id,
        };
        self.note(note);
        if let Some(channel) = known.and_then(|key| self.channels.get_mut(key))
            && is_current
        {
            channel.departing_since.get_or_insert(now.at);
        }
        self.answer(call, Answer::Done);
    }

    // Returns the number of a queue's jobs of which no task has started.
    fn pending(&self, state: &State, queue: &Queue) -> u64 {
        let is_pending = |id: &&JobId| {
            let job = state.jobs.get(id);
            let is_pending = |job: &Job| {
                job.status == Status::Queued && state.queue(job.queue).name == queue.name
            };
            job.is_some_and(is_pending)
        };
        self.waiting_jobs.iter().filter(is_pending).count() as u64
    }

    pub(super) fn propose(&mut self, command: Command, answers: Vec<(Call, Answer)>) {
        self.effects.push(Effect::Propose(command, answers));
    }

    pub(super) fn answer(&mut self, call: Call, answer: Answer) {
        self.effects.push(Effect::Answer(call, answer));
    }

    fn refuse(&mut self, state: &State, call: Call, request: &Request, answer: Answer) {
        self.note_refusal(state, request.path.clone(), format!("{answer:?}"));
        self.answer(call, answer);
    }

    pub(super) fn note_refusal(&mut self, state: &State, path: String, why: String) {
        let version = state.config.version;
        self.note(Note::Refused { path, why, version });
    }

    /// Returns each worker with its id, for a permission request.
    pub(super) fn worker_ids(state: &State, keys: &[WorkerKey]) -> Vec<(WorkerKey, String)> {
        keys.iter()
            .map(|&key| (key, state.worker(key).report.id.clone()))
            .collect()
    }
}

// Returns why a report cannot come from the worker that it names. Its own reports would count
// as old after such a one.
fn implausible(now: Now, report: &Report) -> Option<String> {
    let latest_ms = now.wall_ms.saturating_add(CLOCK_AHEAD_MAX_MS);
    if report.born_ms > latest_ms {
        return Some(format!("start time {} is in the future", report.born_ms));
    }
    // A worker sends at most one report a millisecond.
    let sequence_max = latest_ms - report.born_ms;
    (report.sequence > sequence_max)
        .then(|| format!("sequence number {} is out of range", report.sequence))
}

const fn no_configuration() -> Answer {
    Answer::Unavailable {
        retry_ms: NO_CONFIGURATION_RETRY_MS,
        why: Refusal::NoConfiguration,
    }
}

fn status_of(state: &State, id: JobId) -> Answer {
    match state.jobs.get(&id) {
        Some(job) => Answer::Standing(job.status),
        None => Answer::Gone,
    }
}
