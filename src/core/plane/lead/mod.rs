//! Leader of the task plane: handles queries, assigns runs and monitors workers.
//!
//! A leader serves for one term. It plans on the committed state together with its own
//! uncommitted proposals, and sends a start order only after the start is committed.

mod ask;
mod channel;
mod channels;
mod cohort;
mod condition;
mod evacuation;
mod fence;
mod inspect;
pub mod interference;
mod io;
mod listing;
mod order;
mod permits;
mod place;
mod plan;
mod replies;
mod requests;
mod silence;
pub mod speed;
mod successor;
mod trial;
mod waiting;
mod workers;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

pub use channel::{Channel, Detection, Live, Reading};
pub use channels::Channels;
pub use fence::Fence;
pub use interference::{Image, Interference, Marks};
pub use io::{
    Action, Answer, Call, Declined, Effect, EndRow, Lists, Note, Order, Permission,
    PermissionRequest, Query, Refusal, Reply, Request, RunningRow, Work,
};
pub use order::{Rank, rank};
pub use permits::{Permits, batch_size, expected_duration};
pub use place::{Requirement, Sharing, Target, Targets, goal_multiple, urgency};
pub use plan::Tally;
pub use speed::{Peers, Speeds};
pub use waiting::WaitReason;

use channel::Traits;

use super::job::Status;
use super::state::{Command, End, Start, State};
use super::types::{AccountKey, JobId, Resources, StepName, TaskName, Termination, WorkerKey};
use super::worker::{Condition, Worker};
use crate::core::registry::InstanceId;
use crate::core::room::{Amount, Holdings, Room};
use crate::core::time::{Moment, with_clock_margin};

/// Limits that an installation sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Maximum lease of a run.
    pub max_lease: Duration,
    /// Maximum time that stopping a run takes.
    pub max_stop: Duration,
    /// Factor by which a task is slower away from its data or spread over several racks.
    pub far_factor: f64,
}

/// Current time on the clocks that decisions use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time, which advances while the process is suspended.
    pub at: Moment,
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

/// Minimum interval between checks of all workers for what is due.
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// Minimum interval between planning rounds. Starts and ends of a round share one log
/// entry, and a round costs about 100 us of processor time.
const PLAN_INTERVAL_MIN: Duration = Duration::from_millis(4);
/// Time added to the interval for each worker or step examined in a round.
const PLAN_INTERVAL_PER_ITEM: Duration = Duration::from_nanos(400);
/// Minimum interval between planning rounds as a multiple of the time that a round took, so
/// that planning takes at most a third of the time however slow the instance is.
const PLAN_INTERVAL_FACTOR: u32 = 3;
/// Maximum interval after a round that took long, as when the process was suspended in it.
const SLOW_PLAN_INTERVAL_MAX: Duration = Duration::from_millis(400);
/// Maximum interval between planning rounds, for changes that only depend on time.
const PLAN_INTERVAL_MAX: Duration = Duration::from_millis(100);
/// Weight of the latest run in the moving average of run times relative to estimates.
const ESTIMATE_WEIGHT: f64 = 0.1;

/// Bound on the time from sending an order to handling its reply on a leader that is behind, as
/// a multiple of the delay of a timer. An order and its reply wait for the processor five
/// times, a timer once or twice.
const EXCHANGE_DELAY_FACTOR: u32 = 5;

/// Delay of a timer from which on the leader places only the most urgent steps. Each start costs
/// an exchange with its worker, so that other starts would delay those steps further.
const BEHIND_DELAY_MIN: Duration = Duration::from_millis(20);

/// Leader of the task plane for one term.
#[derive(Debug)]
pub struct Lead {
    term: u64,
    since: Moment,
    /// Time up to which the leader has handled what it would have received without a delay of
    /// its own. Silence is counted up to this time.
    caught_up_to: Moment,
    /// Delay of the latest timer.
    delay: Duration,
    bounds: Bounds,
    channels: Channels,
    /// Tasks with the workers that may have a run of them, ordered by task.
    assignments: BTreeSet<(TaskName, WorkerKey)>,
    racks: HashMap<String, u32>,
    zones: HashMap<String, u32>,
    /// Names of the availability zones in the settings.
    zone_names: BTreeSet<String>,
    /// Number of evacuations and revocations of each zone that are proposed and not yet committed.
    uncommitted_evacuations: HashMap<String, u32>,
    /// Conditions of worker incarnations that are not yet in the replicated state.
    first_conditions: HashMap<(String, u64), (Moment, Condition)>,
    /// Availability zones none of whose workers answers at present.
    silent_zones: BTreeSet<u32>,
    ticked_at: Moment,
    /// Whether an input was handled since the latest check of all workers.
    tick_pending: bool,
    runs_checked_at: Moment,
    permits: Permits,
    /// Orders that await their replies, by number.
    sent_orders: HashMap<u64, io::SentOrder>,
    next_number: u64,
    /// Tasks whose start is proposed and not yet committed.
    uncommitted_starts: HashMap<TaskName, WorkerKey>,
    /// Number of uncommitted starts of each step.
    uncommitted_step_starts: HashMap<StepName, u16>,
    /// Resources counted towards the cap for uncommitted starts, by account.
    uncommitted_usage: HashMap<u32, Resources>,
    /// Capacity, resources counted towards the cap, and account of each uncommitted start.
    reservations: HashMap<TaskName, (Resources, Resources, Option<u32>)>,
    /// Jobs whose cancellation is proposed and not yet committed.
    cancelling: HashSet<JobId>,
    /// Jobs that are proposed and not yet committed, with account and amount of each proposal.
    submitting: HashMap<JobId, Vec<(Option<AccountKey>, Amount)>>,
    /// What these jobs hold.
    proposed: Holdings<Option<AccountKey>>,
    /// Room for all jobs.
    room: Room,
    /// Number of jobs refused for lack of room.
    room_refusals: u64,
    /// All jobs with tasks that are neither done nor on a worker. Others are removed by the
    /// next planning round.
    waiting_jobs: BTreeSet<JobId>,
    /// Steps to list in the next round.
    listing: listing::Listing,
    turns: listing::Turns,
    waits: waiting::Waits,
    /// Time since which suspects of a step have waited for a worker to themselves.
    trial_waits: HashMap<StepName, Moment>,
    /// Ends of runs to propose in the next round.
    ends: Vec<End>,
    /// Moving average of run times relative to estimates, by queue name.
    ratios: HashMap<String, f64>,
    /// The same at the speed of an average worker, by queue name.
    average_speed_ratios: HashMap<String, f64>,
    /// Learned speeds of the workers.
    speeds: Speeds,
    /// Finished tasks that wait for a comparison with others of their step.
    cohorts: cohort::Cohorts,
    interference: Interference,
    /// Recent peak of the processor time taken by urgent work, in thousandths of a core.
    urgent_cpu_peak: f64,
    /// Whether anything that planning depends on has changed since the latest round.
    dirty: bool,
    /// Start of the latest planning round.
    planned_at: Moment,
    /// Minimum interval until the next planning round.
    plan_interval: Duration,
    /// What the latest planning round did.
    tally: Tally,
    effects: Vec<Effect>,
}

impl Lead {
    /// Starts a term. Orders of earlier leaders may still be carried out until their
    /// leases have expired.
    pub fn new(now: Now, term: u64, bounds: Bounds, state: &State) -> Self {
        let mut lead = Self {
            term,
            since: now.at,
            caught_up_to: now.at,
            delay: Duration::ZERO,
            bounds,
            channels: Channels::default(),
            assignments: BTreeSet::new(),
            racks: HashMap::new(),
            zones: HashMap::new(),
            zone_names: BTreeSet::new(),
            uncommitted_evacuations: HashMap::new(),
            first_conditions: HashMap::new(),
            silent_zones: BTreeSet::new(),
            ticked_at: Moment::ZERO,
            tick_pending: true,
            runs_checked_at: Moment::ZERO,
            permits: Permits::default(),
            sent_orders: HashMap::new(),
            next_number: 0,
            uncommitted_starts: HashMap::new(),
            uncommitted_step_starts: HashMap::new(),
            uncommitted_usage: HashMap::new(),
            reservations: HashMap::new(),
            cancelling: HashSet::new(),
            submitting: HashMap::new(),
            proposed: Holdings::default(),
            room: Room::default(),
            room_refusals: 0,
            waiting_jobs: state.open.clone(),
            listing: listing::Listing::default(),
            turns: listing::Turns::default(),
            waits: waiting::Waits::default(),
            trial_waits: HashMap::new(),
            ends: Vec::new(),
            ratios: HashMap::new(),
            average_speed_ratios: HashMap::new(),
            speeds: Speeds::default(),
            cohorts: cohort::Cohorts::default(),
            interference: Interference::default(),
            urgent_cpu_peak: 0.0,
            dirty: true,
            planned_at: Moment::ZERO,
            plan_interval: PLAN_INTERVAL_MIN,
            tally: Tally::default(),
            effects: Vec::new(),
        };
        for (key, worker) in (0..).map(WorkerKey).zip(&state.workers) {
            if worker.departed && worker.runs.is_empty() {
                continue;
            }
            let (rack, zone) = (lead.rack(worker), lead.zone(worker));
            let mut channel = Channel::new(now.at, lead.all_ended_by(now.at), rack, zone);
            for (task, run) in &worker.runs {
                let live = Live {
                    run: run.run,
                    ordered_at: now.at,
                    traits: Traits {
                        image: lead.interference.image_of(state, task.step),
                        ..workers::traits(state, *task, run.room)
                    },
                    ..Live::default()
                };
                channel.insert(*task, live);
                lead.assignments.insert((*task, key));
            }
            lead.channels.insert(key, channel);
        }
        lead.inherit_runs(now, state);
        lead
    }

    /// Returns the time by which every run ordered until now has ended if its lease was
    /// not renewed.
    fn all_ended_by(&self, now: Moment) -> Moment {
        now + with_clock_margin(with_clock_margin(self.bounds.max_lease)) + self.bounds.max_stop
    }

    fn rack(&mut self, worker: &Worker) -> u32 {
        let next = self.racks.len() as u32;
        let name = worker.rack().unwrap_or_default();
        *self.racks.entry(name.to_owned()).or_insert(next)
    }

    fn zone(&mut self, worker: &Worker) -> u32 {
        let next = self.zones.len() as u32;
        let name = &worker.report.zone;
        *self.zones.entry(name.clone()).or_insert(next)
    }

    /// Returns the start of the term.
    pub const fn since(&self) -> Moment {
        self.since
    }

    /// Returns the leader's view of each worker.
    pub const fn channels(&self) -> &Channels {
        &self.channels
    }

    /// Returns the learned speeds of the workers.
    pub const fn speeds(&self) -> &Speeds {
        &self.speeds
    }

    /// Sets the instances that can send permission requests.
    pub fn set_requesters(&mut self, requesters: &[InstanceId]) {
        self.permits.set_requesters(requesters);
    }

    /// Sets the room for jobs.
    pub const fn set_room(&mut self, room: Room) {
        self.room = room;
    }

    /// Sets the names of the availability zones in the settings.
    pub fn set_zone_names(&mut self, names: &[String]) {
        self.zone_names = names.iter().cloned().collect();
    }

    /// Performs everything that is due apart from planning: inspections, stops and expiries.
    pub fn tick_if_due(&mut self, now: Now, state: &State) -> Option<Vec<Effect>> {
        if now.at < self.ticked_at + TICK_INTERVAL {
            return None;
        }
        self.ticked_at = now.at;
        self.tick_pending = false;
        for completed in self.permits.expire(now.at) {
            self.permission_completed(completed);
        }
        self.tick_workers(now, state);
        Some(std::mem::take(&mut self.effects))
    }

    /// Handles the expiry of a timer that waits for the processor like any other input. While
    /// the leader is behind, its workers are not considered silent.
    pub fn handle_delay_timer(&mut self, now: Now, expired_at: Moment) {
        self.delay = now.at.since(expired_at);
        let caught_up_to = now.at - self.delay * EXCHANGE_DELAY_FACTOR;
        self.caught_up_to = self.caught_up_to.max(caught_up_to);
        self.permits.set_caught_up_to(self.caught_up_to);
    }

    /// Handles a query.
    pub fn handle_query(
        &mut self,
        now: Now,
        state: &State,
        call: Call,
        query: Query,
    ) -> Vec<Effect> {
        self.tick_pending = true;
        self.process_query(now, state, call, query);
        std::mem::take(&mut self.effects)
    }

    /// Handles the reply to an order.
    pub fn handle_reply(
        &mut self,
        now: Now,
        state: &State,
        number: u64,
        reply: Reply,
    ) -> Vec<Effect> {
        self.tick_pending = true;
        self.process_reply(now, state, number, reply);
        std::mem::take(&mut self.effects)
    }

    /// Handles an answer of the permission service.
    pub fn handle_permission(
        &mut self,
        now: Now,
        state: &State,
        number: u64,
        permission: Permission,
    ) -> Vec<Effect> {
        let granted = match permission {
            Permission::Granted(rows) => Some(
                rows.into_iter()
                    .filter_map(|(id, permit)| Some((*state.worker_keys.get(&id)?, permit)))
                    .collect(),
            ),
            Permission::Busy | Permission::NoAnswer => None,
        };
        if let Some(completed) = self.permits.record_answer(now.at, number, granted) {
            self.permission_completed(completed);
        }
        std::mem::take(&mut self.effects)
    }

    /// Handles a command of this term that was committed and applied to the state.
    pub fn handle_applied(&mut self, now: Now, state: &State, command: &Command) -> Vec<Effect> {
        self.dirty = true;
        self.tick_pending = true;
        match command {
            Command::Configure { .. } => {
                let version = state.config.version;
                self.note(Note::Configured { version });
            }
            Command::Register(report) => self.registered(now, state, &report.id),
            Command::Depart(worker) => {
                let channel = self.channels.get(*worker);
                let by = if channel.is_some_and(|channel| channel.departing_since.is_some()) {
                    "its announcement"
                } else {
                    "another incarnation"
                };
                self.departed(state, *worker, by);
            }
            Command::Submit { submission, .. } | Command::SubmitAnnotated { submission, .. } => {
                self.end_proposal(submission.id);
                self.waiting_jobs.insert(submission.id);
            }
            Command::Cancel { job, .. } => {
                self.cancelling.remove(job);
                self.stop_unwanted(now, state, *job);
            }
            Command::Progress {
                ends,
                starts,
                at_ms,
            } => {
                self.progressed(now, state, ends, starts);
                self.note_ended_jobs(state, *at_ms);
            }
            Command::Evacuate { zone, active } => self.evacuated(state, zone, *active),
        }
        std::mem::take(&mut self.effects)
    }

    // Ends one of the proposals of a job, which is committed.
    fn end_proposal(&mut self, id: JobId) {
        let Some(proposals) = self.submitting.get_mut(&id) else {
            return;
        };
        if let Some((account, amount)) = proposals.pop() {
            self.proposed.remove(&account, amount);
        }
        if proposals.is_empty() {
            self.submitting.remove(&id);
        }
    }

    fn progressed(&mut self, now: Now, state: &State, ends: &[End], starts: &[Start]) {
        let mut workers = BTreeSet::new();
        for end in ends {
            workers.insert(self.ended(state, end));
            self.waiting_jobs.insert(end.task.step.job);
        }
        let interrupted: BTreeSet<JobId> = ends
            .iter()
            .filter(|end| end.how != Termination::Done)
            .map(|end| end.task.step.job)
            .collect();
        for job in interrupted {
            self.stop_unwanted(now, state, job);
        }
        for start in starts {
            self.started(now, state, *start);
        }
        for worker in workers {
            self.acknowledge_ends(now, worker);
        }
    }

    fn note_ended_jobs(&mut self, state: &State, at_ms: u64) {
        for id in state.ended_at(at_ms) {
            let Some(job) = state.jobs.get(&id) else {
                continue;
            };
            let took_ms = at_ms.saturating_sub(job.accepted_ms);
            let job_id = id.to_string();
            match job.status {
                Status::Completed => self.note(Note::JobCompleted {
                    job: job_id,
                    took_ms,
                }),
                Status::Failed => self.note(Note::JobFailed {
                    job: job_id,
                    attempts: state.queue(job.queue).attempts,
                    took_ms,
                }),
                // Cancellation is logged when the request is handled; the other two are
                // not final.
                Status::Cancelled | Status::Queued | Status::Running => {}
            }
        }
    }

    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn note(&mut self, note: Note) {
        self.effects.push(Effect::Note(note));
    }

    fn permission_completed(&mut self, completed: permits::CompletedRequest) {
        self.waits.search_now(completed.step);
        self.dirty = true;
        self.note(Note::Permission {
            step: completed.step.to_string(),
            named: completed.named,
            granted: completed.granted,
            took_ms: completed.took.as_millis() as u64,
        });
    }

    /// Plans a round if one is due. Inputs that arrive together share one round: the caller
    /// handles them first. It reports the end of the round to [`Lead::end_round`].
    pub fn plan_if_due(&mut self, now: Now, state: &State) -> Option<Vec<Effect>> {
        if now.at < self.plan_at() {
            return None;
        }
        self.dirty = false;
        self.planned_at = now.at;
        let starts = self.plan(now, state);
        let interval = PLAN_INTERVAL_MIN + PLAN_INTERVAL_PER_ITEM * self.tally.examined;
        self.plan_interval = interval.min(PLAN_INTERVAL_MAX);
        let ends = std::mem::take(&mut self.ends);
        if !starts.is_empty() || !ends.is_empty() {
            let at_ms = now.wall_ms;
            let command = Command::Progress {
                ends,
                starts,
                at_ms,
            };
            self.effects.push(Effect::Propose(command, Vec::new()));
        }
        Some(std::mem::take(&mut self.effects))
    }

    /// Ends the planning round. The next one begins late enough to handle the inputs that
    /// arrived meanwhile.
    pub fn end_round(&mut self, now: Moment) {
        let took = now.since(self.planned_at);
        let interval = (took * PLAN_INTERVAL_FACTOR).min(SLOW_PLAN_INTERVAL_MAX);
        self.plan_interval = self.plan_interval.max(interval);
    }

    /// Returns what the latest planning round did.
    pub const fn tally(&self) -> Tally {
        self.tally
    }

    /// Returns the time by which [`Lead::tick_if_due`] or [`Lead::plan_if_due`] should be called
    /// next.
    pub fn wake_at(&self) -> Moment {
        let plan_at = self.plan_at();
        if self.tick_pending {
            plan_at.min(self.ticked_at + TICK_INTERVAL)
        } else {
            plan_at
        }
    }

    fn plan_at(&self) -> Moment {
        let interval = if self.dirty {
            self.plan_interval
        } else {
            self.plan_interval.max(PLAN_INTERVAL_MAX)
        };
        self.planned_at + interval
    }

    fn is_behind(&self) -> bool {
        self.delay >= BEHIND_DELAY_MIN
    }

    // Updates a queue's moving averages with a run on a worker of this slowness.
    fn update_ratio(&mut self, queue: &str, ratio: f64, slowness: f64) {
        let update = |ratios: &mut HashMap<String, f64>, ratio: f64| {
            let known = ratios.entry(queue.to_owned()).or_insert(1.0);
            *known += ESTIMATE_WEIGHT * (ratio.clamp(0.1, 10.0) - *known);
        };
        update(&mut self.ratios, ratio);
        update(&mut self.average_speed_ratios, ratio / slowness);
    }

    // Returns the learned slowness of a worker; 1.0 on a fleet of about equal workers.
    fn slowness(&self, now: Now, key: WorkerKey) -> f64 {
        if self.speeds.is_uneven(now.at) {
            self.speeds.slowness(key, now.at)
        } else {
            1.0
        }
    }

    fn refresh_speeds(&mut self, now: Now, state: &State) {
        self.speeds
            .retain_steps(|step| state.open.contains(&step.job));
        for change in self.speeds.refresh_if_due(now.at) {
            self.note(Note::WorkerSpeed {
                worker: state.worker(change.worker).report.id.clone(),
                slowness: change.slowness,
                observations: change.observations,
                spread: change.spread,
                normal: change.is_normal,
            });
        }
    }

    fn average_speed_ratio(&self, queue: &str) -> f64 {
        let ratios = &self.average_speed_ratios;
        ratios.get(queue).copied().unwrap_or(1.0)
    }

    fn ratio(&self, queue: &str) -> f64 {
        self.ratios.get(queue).copied().unwrap_or(1.0)
    }
}
