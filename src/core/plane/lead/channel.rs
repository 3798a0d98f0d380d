//! The leader's view of a worker: its runs, clock, leases and health.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::Duration;

use super::condition::WarmUp;
use super::inspect::INSPECT_WAIT;
use super::interference::Image;
use crate::core::plane::types::{Resources, TaskName, WorkerKey};
use crate::core::time::Moment;

/// A worker with an order unanswered for longer than this is unresponsive: its leases are
/// not renewed.
pub const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(1_200);
/// A worker that has neither answered nor reported for this long gets no new runs: two of
/// its reports are missing. It is inspected after half of that time.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Time for which a reply may be overdue before the worker gets no new runs: about thirty
/// round trips.
pub const REPLY_OVERDUE_MAX: Duration = Duration::from_millis(100);
/// Failure score from which on a worker is excluded from placement: two failures with at
/// most one success between them.
const FAILURE_SCORE_MAX: f64 = 1.6;
/// Factor by which a success reduces the failure score.
const SUCCESS_FACTOR: f64 = 0.7;
/// Half-life of the failure score.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(8);
/// Initial time for which a failing worker is excluded from placement. It doubles with
/// each repetition.
const EXCLUSION_MIN: Duration = Duration::from_secs(3);
/// Maximum time for which a failing worker is excluded from placement.
const EXCLUSION_MAX: Duration = Duration::from_secs(24);
/// Maximum rate by which a worker's clock falls behind the leader's, as a divisor: 2 %.
const CLOCK_SLOW_DIVISOR: u64 = 50;
/// Maximum time since the previous answer of a worker whose run times are used: that for which it
/// delays its reply to an inspection, and 100 ms for the exchange.
const SILENCE_MAX: Duration = Duration::from_millis(INSPECT_WAIT.as_millis() as u64 + 100);
/// Maximum delay of the inspection that shows the end of a run, as a divisor of the run time: a
/// tenth, which is the normal band of speeds.
const HELD_UP_DIVISOR: f64 = 10.0;
/// Weight of the latest run in the moving average of a worker's speed.
const SPEED_WEIGHT: f64 = 0.25;

/// Number of ended runs that are kept for each worker, to tell what ran beside others. A worker
/// of 64 cores ends fewer tasks in the run time of most others.
const PAST_RUNS_MAX: usize = 32;
/// A run is counted as beside another one if it overlaps it for at least the other's run time
/// divided by this.
const BESIDE_DIVISOR: u32 = 2;

/// Sample of a worker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Time at which the sample arrived.
    pub at: Moment,
}

impl Reading {
    /// Returns the expected reading of the clock now, if it runs at the leader's rate.
    pub fn estimate(&self, now: Moment) -> u64 {
        self.clock_ms + now.since(self.at).as_millis() as u64
    }

    /// Returns the lowest possible reading of the clock now.
    pub fn lower_bound(&self, now: Moment) -> u64 {
        let elapsed = now.since(self.at).as_millis() as u64;
        self.clock_ms + elapsed - elapsed / CLOCK_SLOW_DIVISOR
    }
}

/// Properties of a run that affect the placement of other tasks on the same worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traits {
    /// Processor time taken by urgent work, in thousandths of a core.
    pub urgent_cpu: i64,
    /// Capacity taken by a task that lasts, which does not end by itself.
    pub lasting: Resources,
    /// Whether the task has a response-time target for users of its own.
    pub serving: bool,
    /// Whether the task uses only processor time that others leave idle.
    pub best_effort: bool,
    /// What the task runs; absent if its job is unknown.
    pub image: Option<Image>,
}

/// Run that has ended.
#[derive(Clone, Copy, Debug)]
struct PastRun {
    task: TaskName,
    image: Image,
    started_at: Moment,
    ended_at: Moment,
}

/// Progress of a run, as listed by its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Percentage done.
    pub percent: u32,
    /// Time at which a list first showed this percentage.
    pub since: Moment,
    /// Time of the latest list that showed the run. Between lists the progress is
    /// unknown.
    pub shown_at: Moment,
}

impl Progress {
    /// Updates the progress from a list that shows `percent`.
    pub fn update(known: Option<Self>, now: Moment, percent: u32) -> Self {
        let since = known
            .filter(|known| known.percent == percent)
            .map_or(now, |known| known.since);
        Self {
            percent,
            since,
            shown_at: now,
        }
    }

    /// Returns how long the run has made no progress, given that lists are expected every
    /// `interval`. Time for which a list is overdue does not count.
    pub fn stalled_for(&self, now: Moment, interval: Duration) -> Duration {
        now.min(self.shown_at + interval).since(self.since)
    }
}

/// Run that may be on a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Live {
    /// Run number.
    pub run: u32,
    /// Time at which the worker confirmed the start or first listed the run.
    pub confirmed_at: Option<Moment>,
    /// Time at which the worker confirmed the start order of this leader.
    pub started_at: Option<Moment>,
    /// Whether the worker has listed the run in this incarnation.
    pub listed: bool,
    /// Time at which the start was ordered.
    pub ordered_at: Moment,
    /// Whether the start order was left unanswered.
    pub in_doubt: bool,
    /// Earlier incarnation that was ordered to start the run, if the order may have
    /// reached this one instead. The run is stopped here, and its end is recorded for the
    /// earlier incarnation.
    pub from: Option<WorkerKey>,
    /// Time of the latest stop order.
    pub stop_at: Option<Moment>,
    /// Time at which the worker confirmed a stop.
    pub stopped_at: Option<Moment>,
    /// Latest progress that the worker listed.
    pub progress: Option<Progress>,
    /// Whether the end of the run is proposed and not yet committed.
    pub ending: bool,
    /// Whether that end records the run as given up.
    pub given_up: bool,
    /// Time of the latest response-time tail that was used as evidence.
    pub tail_at: Option<Moment>,
    /// Effect on the placement of other tasks.
    pub traits: Traits,
}

/// Reply to an outstanding order.
#[derive(Clone, Copy, Debug)]
struct AwaitedReply {
    number: u64,
    due_at: Moment,
    is_overdue: bool,
}

impl AwaitedReply {
    fn becomes_overdue(&self, caught_up_to: Moment) -> bool {
        !self.is_overdue && caught_up_to.since(self.due_at) >= REPLY_OVERDUE_MAX
    }
}

/// How soon an inspection showed the ends that it lists.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Detection {
    /// Time of the worker's previous answer to any order.
    pub answered_at: Moment,
    /// Time of its previous lists.
    pub listed_at: Moment,
    /// Time at which the inspection was sent.
    pub sent_at: Moment,
}

impl Detection {
    /// Returns whether the run time of a run that started at `started_at` and is first listed as
    /// ended `now` includes little more than the run itself: the worker has not been silent, and
    /// the inspection was not sent late.
    pub fn is_prompt(&self, started_at: Moment, now: Moment) -> bool {
        let held_up = self.sent_at.since(self.listed_at.max(started_at));
        now.since(self.answered_at) <= SILENCE_MAX
            && held_up <= now.since(started_at).div_f64(HELD_UP_DIVISOR)
    }
}

/// The leader's view of a worker incarnation.
#[derive(Clone, Debug)]
pub struct Channel {
    /// Whether the worker has answered an inspection of this leader's term.
    pub adopted: bool,
    /// Latest sample of the worker's clock.
    pub reading: Option<Reading>,
    /// Time of the latest answer to any order.
    pub heard_at: Moment,
    /// Time of the latest lists.
    pub listed_at: Moment,
    /// Latest time at which the worker is known to have run: its latest answer, or the later
    /// break of a connection on which an answer was due.
    pub alive_at: Moment,
    /// Time of the latest report.
    pub reported_at: Moment,
    /// Latest lease expiry that was sent, in milliseconds on the worker's clock.
    pub lease_until: u64,
    /// Time by which all runs ordered by earlier leaders have ended, unless their leases
    /// were renewed.
    pub all_ended_by: Moment,
    /// Number of the latest end up to which all ends are committed.
    pub committed_end: u64,
    /// Number up to which the worker knows its ends to be committed.
    pub acknowledged_end: u64,
    /// Number of the latest end that was proposed.
    pub proposed_end: u64,
    /// Number of the outstanding inspection.
    pub inspection: Option<u64>,
    /// Time at which the next inspection is due.
    pub inspect_at: Moment,
    /// Time of the first unanswered order since the latest answer.
    pub unanswered_since: Option<Moment>,
    /// Replies to outstanding orders; few at a time.
    awaited_replies: Vec<AwaitedReply>,
    /// Runs that may be on the worker, by task.
    live: BTreeMap<TaskName, Live>,
    /// Number of runs whose end is proposed and not yet committed.
    ending: usize,
    /// Number of runs that were ordered from an earlier incarnation.
    inherited: usize,
    /// Number of runs in the latest list that the leader did not expect there.
    pub unexpected: usize,
    /// Processor time taken by urgent runs, in thousandths of a core.
    pub urgent_cpu: i64,
    /// Capacity taken by runs of tasks that last.
    pub lasting: Resources,
    /// Number of runs with a response-time target for users of their own.
    pub serving: usize,
    /// Number of runs that use only processor time that others leave idle.
    pub best_effort: usize,
    /// Images of the runs with their number; few at a time.
    images: Vec<(Image, u16)>,
    /// Runs that ended last, in the order of their ends.
    past_runs: VecDeque<PastRun>,
    /// Index that the leader assigned to the rack.
    pub rack: u32,
    /// Index that the leader assigned to the availability zone.
    pub zone: u32,
    /// Resources reserved for planned starts that are not yet committed.
    pub reserved: Resources,
    /// Failure score: one per failure, reduced by each success and over time.
    failures: f64,
    failures_at: Moment,
    /// Number of times in a row that the worker was excluded from placement.
    exclusions: u32,
    /// Time until which the worker is excluded from placement.
    pub excluded_until: Moment,
    /// How soon the latest lists showed the ends of runs.
    pub detection: Detection,
    /// Moving average of run times relative to the expected ones at the worker's learned speed.
    pub slowness: f64,
    /// Time at which the worker announced its shutdown.
    pub departing_since: Option<Moment>,
    /// Time at which its end was last proposed.
    pub end_proposed_at: Option<Moment>,
    /// Time until which a task that may have crashed a worker has this one to itself.
    pub trial_until: Moment,
    /// Interval in which the worker is cold, if it reports that.
    pub warm_up: Option<WarmUp>,
    /// Time at which the worker leaves, if it reports that.
    pub drains_at: Option<Moment>,
    /// Sequence number of the latest report whose condition was recorded.
    pub condition_sequence: u64,
}

impl Channel {
    /// Creates the view of a worker. All runs from earlier terms have ended by `all_ended_by`
    /// unless their leases are renewed.
    pub fn new(now: Moment, all_ended_by: Moment, rack: u32, zone: u32) -> Self {
        Self {
            adopted: false,
            reading: None,
            heard_at: now,
            listed_at: now,
            alive_at: now,
            reported_at: now,
            lease_until: 0,
            all_ended_by,
            committed_end: 0,
            acknowledged_end: 0,
            proposed_end: 0,
            inspection: None,
            inspect_at: now,
            unanswered_since: None,
            awaited_replies: Vec::new(),
            live: BTreeMap::new(),
            ending: 0,
            inherited: 0,
            unexpected: 0,
            urgent_cpu: 0,
            lasting: Resources::default(),
            serving: 0,
            best_effort: 0,
            images: Vec::new(),
            past_runs: VecDeque::new(),
            rack,
            zone,
            reserved: Resources::default(),
            failures: 0.0,
            failures_at: now,
            exclusions: 0,
            excluded_until: Moment::ZERO,
            detection: Detection::default(),
            slowness: 1.0,
            departing_since: None,
            end_proposed_at: None,
            trial_until: Moment::ZERO,
            warm_up: None,
            drains_at: None,
            condition_sequence: 0,
        }
    }

    /// Returns the runs that may be on the worker.
    pub const fn live(&self) -> &BTreeMap<TaskName, Live> {
        &self.live
    }

    /// Returns the runs whose end is not proposed.
    pub fn unended(&self) -> impl Iterator<Item = (TaskName, Live)> {
        let runs = self.live.iter().filter(|(_, live)| !live.ending);
        runs.map(|(&task, &live)| (task, live))
    }

    /// Returns whether a task on trial has the worker to itself. It does until the worker has
    /// answered after the time of the trial.
    pub fn is_on_trial(&self) -> bool {
        self.heard_at < self.trial_until && !self.live.is_empty()
    }

    /// Returns whether the worker has answered `time` after it was ordered to start a task.
    pub fn has_outlived(&self, task: TaskName, time: Duration) -> bool {
        let live = self.live.get(&task);
        live.is_some_and(|live| live.ordered_at + time <= self.heard_at)
    }

    /// Returns a run of a task for modification, if it has this run number.
    pub fn run_mut(&mut self, task: TaskName, run: u32) -> Option<&mut Live> {
        self.live.get_mut(&task).filter(|live| live.run == run)
    }

    /// Adds a run. Replaces an earlier run of the same task.
    pub fn insert(&mut self, task: TaskName, live: Live) {
        self.remove(task);
        self.urgent_cpu += live.traits.urgent_cpu;
        self.lasting += live.traits.lasting;
        self.serving += usize::from(live.traits.serving);
        self.best_effort += usize::from(live.traits.best_effort);
        self.inherited += usize::from(live.from.is_some());
        if let Some(image) = live.traits.image {
            match self.images.iter_mut().find(|(known, _)| *known == image) {
                Some((_, count)) => *count = count.saturating_add(1),
                None => self.images.push((image, 1)),
            }
        }
        self.live.insert(task, live);
    }

    /// Removes a run.
    pub fn remove(&mut self, task: TaskName) {
        let Some(live) = self.live.remove(&task) else {
            return;
        };
        self.ending -= usize::from(live.ending);
        self.urgent_cpu -= live.traits.urgent_cpu;
        self.lasting -= live.traits.lasting;
        self.serving -= usize::from(live.traits.serving);
        self.best_effort -= usize::from(live.traits.best_effort);
        self.inherited -= usize::from(live.from.is_some());
        if let Some(image) = live.traits.image
            && let Some(at) = self.images.iter().position(|(known, _)| *known == image)
        {
            self.images[at].1 -= 1;
            if self.images[at].1 == 0 {
                self.images.swap_remove(at);
            }
        }
    }

    /// Returns the images of the runs that may be on the worker.
    pub fn images(&self) -> impl Iterator<Item = Image> {
        self.images.iter().map(|&(image, _)| image)
    }

    /// Records a run that ended now, by the worker's list.
    pub fn record_past_run(&mut self, task: TaskName, live: &Live, now: Moment) {
        let (Some(image), Some(started_at)) = (live.traits.image, live.confirmed_at) else {
            return;
        };
        if self.past_runs.len() >= PAST_RUNS_MAX {
            self.past_runs.pop_front();
        }
        self.past_runs.push_back(PastRun {
            task,
            image,
            started_at,
            ended_at: now,
        });
    }

    /// Removes the ended runs of images the keys of which are reused.
    pub fn remove_past_runs(&mut self, images: &HashSet<Image>) {
        self.past_runs.retain(|run| !images.contains(&run.image));
    }

    /// Returns the images of other tasks that ran on the worker for most of the time from `since`
    /// to `until`.
    pub fn beside(&self, task: TaskName, since: Moment, until: Moment) -> Vec<Image> {
        let current = self.live.iter().filter(|(_, live)| !live.ending);
        let current = current.filter_map(|(&other, live)| {
            let (image, started_at) = (live.traits.image?, live.confirmed_at?);
            Some((other, image, started_at, until))
        });
        let past = self.past_runs.iter();
        let past = past.map(|run| (run.task, run.image, run.started_at, run.ended_at));
        let mut overlaps: Vec<(Image, Moment, Moment)> = current
            .chain(past)
            .filter(|(other, ..)| *other != task)
            .map(|(_, image, from, to)| (image, from.max(since), to.min(until)))
            .filter(|(_, from, to)| from < to)
            .collect();
        overlaps.sort_unstable();
        let min = until.since(since) / BESIDE_DIVISOR;
        let mut beside = Vec::new();
        for runs in overlaps.chunk_by(|a, b| a.0 == b.0) {
            let mut covered = Duration::ZERO;
            let mut covered_until = since;
            for &(_, from, to) in runs {
                covered += to.since(from.max(covered_until));
                covered_until = covered_until.max(to);
            }
            if covered >= min {
                beside.push(runs[0].0);
            }
        }
        beside
    }

    /// Marks the end of a run as proposed. Returns false if the run is unknown or was
    /// marked before.
    pub fn begin_end(&mut self, task: TaskName, run: u32) -> bool {
        let Some(live) = self.run_mut(task, run).filter(|live| !live.ending) else {
            return false;
        };
        live.ending = true;
        self.ending += 1;
        true
    }

    /// Returns whether any end is proposed and not yet committed.
    pub const fn has_uncommitted_ends(&self) -> bool {
        self.ending > 0
    }

    /// Records an answer that carries the worker's clock.
    pub fn record_answer(&mut self, now: Moment, clock_ms: u64) {
        self.heard_at = now;
        self.alive_at = now;
        self.unanswered_since = None;
        self.reading = Some(Reading { clock_ms, at: now });
    }

    /// Records lists that answer an inspection sent at `sent_at`, before the answer itself.
    pub fn record_lists(&mut self, now: Moment, sent_at: Moment) {
        self.detection = Detection {
            answered_at: self.heard_at,
            listed_at: self.listed_at,
            sent_at,
        };
        self.listed_at = now;
    }

    /// Records that the order sent at `sent_at` was not answered.
    pub fn record_unanswered(&mut self, sent_at: Moment) {
        self.unanswered_since.get_or_insert(sent_at);
    }

    /// Records that a connection on which an answer was due broke no earlier than `at`. Further
    /// ones tell nothing until the worker answers again.
    pub fn record_break(&mut self, at: Moment) {
        if self.unanswered_since.is_none() {
            self.alive_at = self.alive_at.max(at);
        }
    }

    /// Records that the reply to an order is due at `at`.
    pub fn await_reply(&mut self, number: u64, at: Moment) {
        self.awaited_replies.push(AwaitedReply {
            number,
            due_at: at,
            is_overdue: false,
        });
    }

    /// Returns the orders whose replies have become overdue since the last call.
    pub fn take_overdue(&mut self, caught_up_to: Moment) -> Vec<u64> {
        let mut overdue = Vec::new();
        for reply in &mut self.awaited_replies {
            if reply.becomes_overdue(caught_up_to) {
                reply.is_overdue = true;
                overdue.push(reply.number);
            }
        }
        overdue
    }

    /// Records that an order is no longer outstanding, whether or not it was answered.
    pub fn end_wait(&mut self, number: u64) {
        self.awaited_replies.retain(|reply| reply.number != number);
    }

    /// Returns the time since which the worker has owed a reply without answering
    /// anything, or `None` if it owes none.
    pub fn silent_since(&self) -> Option<Moment> {
        let earliest = self.awaited_replies.iter().map(|reply| reply.due_at).min();
        let owed_since = self.unanswered_since.or(earliest)?;
        Some(owed_since.max(self.heard_at))
    }

    /// Returns whether a reply is overdue.
    pub fn is_silent(&self, caught_up_to: Moment) -> bool {
        self.silent_since()
            .is_some_and(|since| caught_up_to.since(since) >= REPLY_OVERDUE_MAX)
    }

    /// Returns whether an order has been unanswered for longer than [`UNRESPONSIVE_AFTER`].
    pub fn is_unresponsive(&self, caught_up_to: Moment) -> bool {
        self.unanswered_since
            .is_some_and(|at| caught_up_to.since(at) > UNRESPONSIVE_AFTER)
    }

    /// Returns whether the worker has neither answered nor reported for `limit`.
    pub fn is_out_of_contact(&self, caught_up_to: Moment, limit: Duration) -> bool {
        caught_up_to.since(self.heard_at.max(self.reported_at)) >= limit
    }

    /// Returns whether the worker should be inspected to find out whether it is still
    /// alive.
    pub fn needs_inspection(&self, caught_up_to: Moment) -> bool {
        self.is_out_of_contact(caught_up_to, CONTACT_TIMEOUT / 2)
    }

    /// Returns whether the worker is to be inspected, or a reply or a lease may have run out.
    pub fn is_due(&self, now: Moment, caught_up_to: Moment) -> bool {
        let needs_inspection = || now >= self.inspect_at || self.needs_inspection(caught_up_to);
        let mut replies = self.awaited_replies.iter();
        !self.adopted
            || self.unanswered_since.is_some()
            || self.departing_since.is_some()
            || self.inspection.is_none() && needs_inspection()
            || replies.any(|reply| reply.becomes_overdue(caught_up_to))
    }

    /// Returns whether the worker may get new runs. Runs that the replicated state does
    /// not count for the worker take up part of its capacity.
    pub fn is_usable(&self, now: Moment, caught_up_to: Moment) -> bool {
        self.adopted
            && self.inherited == 0
            && self.unexpected == 0
            && self.unanswered_since.is_none()
            && !self.is_silent(caught_up_to)
            && self.departing_since.is_none()
            && !self.is_out_of_contact(caught_up_to, CONTACT_TIMEOUT)
            && now >= self.excluded_until
            && (self.failures(now) < FAILURE_SCORE_MAX || self.live.is_empty())
    }

    /// Returns whether the worker shuts down, or may do so within `notice`.
    pub fn is_leaving(&self, now: Moment, notice: Duration) -> bool {
        self.departing_since.is_some() || self.drains_at.is_some_and(|at| now + notice >= at)
    }

    /// Returns the lease expiry for an order sent now, in milliseconds on the worker's
    /// clock, or `None` if that clock is unknown.
    pub fn lease_end(&mut self, now: Moment, duration: Duration) -> Option<u64> {
        let until = self.reading?.estimate(now) + duration.as_millis() as u64;
        self.lease_until = self.lease_until.max(until);
        Some(until)
    }

    /// Returns whether every lease granted to the worker has certainly expired.
    pub fn leases_expired(&self, now: Moment) -> bool {
        if now < self.all_ended_by {
            return false;
        }
        self.reading
            .is_none_or(|reading| reading.lower_bound(now) > self.lease_until)
    }

    /// Returns the current failure score.
    pub fn failures(&self, now: Moment) -> f64 {
        if self.failures == 0.0 {
            return 0.0;
        }
        let half_lives =
            now.since(self.failures_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failures * 0.5_f64.powf(half_lives)
    }

    /// Adds `weight` to the failure score. Returns for how long the worker is excluded
    /// from placement, if it is.
    pub fn record_failure(&mut self, now: Moment, weight: f64) -> Option<Duration> {
        self.failures = self.failures(now) + weight;
        self.failures_at = now;
        if self.failures < FAILURE_SCORE_MAX {
            return None;
        }
        let exclusion = (EXCLUSION_MIN * 2_u32.pow(self.exclusions.min(8))).min(EXCLUSION_MAX);
        if now >= self.excluded_until {
            self.exclusions += 1;
        }
        self.excluded_until = now + exclusion;
        Some(exclusion)
    }

    /// Records a successful run that took `ratio` times as long as expected.
    pub fn record_success(&mut self, now: Moment, ratio: f64) {
        self.failures = self.failures(now) * SUCCESS_FACTOR;
        self.failures_at = now;
        if self.failures < FAILURE_SCORE_MAX / 4.0 {
            self.exclusions = 0;
        }
        self.slowness += SPEED_WEIGHT * (ratio.clamp(0.2, 10.0) - self.slowness);
    }
}
