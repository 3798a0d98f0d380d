//! What the leader knows of one worker.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::plane::types::{Amount, TaskName, WorkerKey};
use crate::core::time::Moment;

/// A worker that left an order unanswered for this long gets nothing new.
pub const SILENCE_MAX: Duration = Duration::from_millis(1_200);
/// A worker of which nothing was heard for this long gets nothing new: two of its
/// reports are missing. It is looked at after half of that.
const UNHEARD_MAX: Duration = Duration::from_millis(4_000);
/// Score of failures from which on a worker is left alone: two failures with no more
/// than one success between them.
const FAILURES_MAX: f64 = 1.6;
/// What a success leaves of the score.
const FAILURES_KEPT: f64 = 0.7;
/// Time in which the score halves.
const FAILURES_HALF: Duration = Duration::from_secs(8);
/// First time that a failing worker is left alone; it doubles with each failure.
const AVOID_FIRST: Duration = Duration::from_secs(3);
/// Longest time that a failing worker is left alone.
const AVOID_MAX: Duration = Duration::from_secs(24);
/// How far a worker's clock may fall behind ours, as a divisor: 2 %.
const CLOCK_SLOW_DIVISOR: u64 = 50;
/// Weight of the latest run in a worker's speed.
const SPEED_WEIGHT: f64 = 0.25;

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// Its clock, in milliseconds.
    pub clock_ms: u64,
    /// When the reading came.
    pub at: Moment,
}

impl Reading {
    /// Returns what the clock shows now if it runs as ours.
    pub fn likely(&self, now: Moment) -> u64 {
        self.clock_ms + now.since(self.at).as_millis() as u64
    }

    /// Returns the least that the clock can show now.
    pub fn least(&self, now: Moment) -> u64 {
        let passed = now.since(self.at).as_millis() as u64;
        self.clock_ms + passed - passed / CLOCK_SLOW_DIVISOR
    }
}

/// What a run means for placing others beside it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Nature {
    /// Processor time that it takes as urgent work, in thousandths of a core.
    pub urgent_cpu: i64,
    /// Whether it has users of its own.
    pub serving: bool,
    /// Whether it only fills.
    pub filling: bool,
}

/// How far a run is, by its worker's lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Percent.
    pub percent: u32,
    /// When a list first showed it.
    pub since: Moment,
    /// When a list last showed it. While no list comes, nothing is known.
    pub shown_at: Moment,
}

impl Progress {
    /// Takes a list that shows `percent`.
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

    /// Returns for how long the run has made no progress, as far as lists that come each
    /// `interval` tell. The time for which they are overdue does not count.
    pub fn standstill(&self, now: Moment, interval: Duration) -> Duration {
        now.min(self.shown_at + interval).since(self.since)
    }
}

/// What the leader knows of a run that may be on the worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Live {
    /// Run.
    pub run: u32,
    /// When the worker confirmed the start; or listed the run.
    pub confirmed_at: Option<Moment>,
    /// Whether a list of this incarnation has shown it.
    pub listed: bool,
    /// When the start was ordered.
    pub ordered_at: Moment,
    /// Whether the start had no answer.
    pub in_doubt: bool,
    /// The earlier incarnation that it was ordered from, if its start may have reached
    /// this one. Its stop is ordered, and its end is reported for the earlier one.
    pub from: Option<WorkerKey>,
    /// When a stop was last ordered.
    pub stop_at: Option<Moment>,
    /// When the worker confirmed a stop.
    pub stopped_at: Option<Moment>,
    /// Latest progress that the worker told.
    pub progress: Option<Progress>,
    /// Whether an end has been proposed.
    pub ending: bool,
    /// What it is to placing.
    pub nature: Nature,
}

/// What the leader knows of a worker.
#[derive(Clone, Debug)]
pub struct Channel {
    /// Whether it answered a look with this leader's fence.
    pub adopted: bool,
    /// Latest reading of its clock.
    pub reading: Option<Reading>,
    /// When it last answered anything.
    pub heard_at: Moment,
    /// Latest report received.
    pub reported_at: Moment,
    /// Latest end of a lease that was sent, on its clock.
    pub until: u64,
    /// When everything that earlier leaders ordered has surely lapsed.
    pub lapse_by: Moment,
    /// Ends up to this number are stored.
    pub seen: u64,
    /// Ends up to this number the worker knows to be stored.
    pub told_seen: u64,
    /// Ends up to this number have been proposed.
    pub proposed: u64,
    /// Look under way.
    pub look: Option<u64>,
    /// When the next look is due.
    pub look_at: Moment,
    /// When an order was first left unanswered since the last answer.
    pub unanswered_since: Option<Moment>,
    /// Runs.
    live: BTreeMap<TaskName, Live>,
    /// Runs whose end is proposed and not committed.
    ending: usize,
    /// Runs that an earlier incarnation was to start.
    inherited: usize,
    /// Runs in its latest list that it should not have.
    pub strays: usize,
    /// Sums of what the runs are to placing.
    pub urgent_cpu: i64,
    /// Runs with users of their own.
    pub serving: usize,
    /// Runs that only fill.
    pub filling: usize,
    /// Rack, as the leader numbers them.
    pub rack: u32,
    /// What planned starts will take.
    pub reserved: Amount,
    /// Score of failures: one for each, less with each success and with time.
    failures: f64,
    failures_at: Moment,
    /// How often in a row the worker was left alone.
    avoided: u32,
    /// The worker gets nothing before this.
    pub avoid_until: Moment,
    /// Run time relative to what is expected.
    pub slowness: f64,
    /// When the worker said that it ends.
    pub departing: Option<Moment>,
}

impl Channel {
    /// Makes the record of a worker whose earlier orders lapse by `lapse_by`.
    pub fn new(now: Moment, lapse_by: Moment, rack: u32) -> Self {
        Self {
            adopted: false,
            reading: None,
            heard_at: now,
            reported_at: now,
            until: 0,
            lapse_by,
            seen: 0,
            told_seen: 0,
            proposed: 0,
            look: None,
            look_at: now,
            unanswered_since: None,
            live: BTreeMap::new(),
            ending: 0,
            inherited: 0,
            strays: 0,
            urgent_cpu: 0,
            serving: 0,
            filling: 0,
            rack,
            reserved: Amount::default(),
            failures: 0.0,
            failures_at: now,
            avoided: 0,
            avoid_until: Moment::ZERO,
            slowness: 1.0,
            departing: None,
        }
    }

    /// Returns the runs.
    pub const fn live(&self) -> &BTreeMap<TaskName, Live> {
        &self.live
    }

    /// Returns a run, to be changed in place.
    pub fn run_mut(&mut self, task: TaskName, run: u32) -> Option<&mut Live> {
        self.live.get_mut(&task).filter(|live| live.run == run)
    }

    /// Adds a run.
    pub fn insert(&mut self, task: TaskName, live: Live) {
        self.remove(task);
        self.urgent_cpu += live.nature.urgent_cpu;
        self.serving += usize::from(live.nature.serving);
        self.filling += usize::from(live.nature.filling);
        self.inherited += usize::from(live.from.is_some());
        self.live.insert(task, live);
    }

    /// Removes a run.
    pub fn remove(&mut self, task: TaskName) {
        let Some(live) = self.live.remove(&task) else {
            return;
        };
        self.ending -= usize::from(live.ending);
        self.urgent_cpu -= live.nature.urgent_cpu;
        self.serving -= usize::from(live.nature.serving);
        self.filling -= usize::from(live.nature.filling);
        self.inherited -= usize::from(live.from.is_some());
    }

    /// Records that a run's end is proposed. False if it is not known or was before.
    pub fn begin_end(&mut self, task: TaskName, run: u32) -> bool {
        let Some(live) = self.run_mut(task, run).filter(|live| !live.ending) else {
            return false;
        };
        live.ending = true;
        self.ending += 1;
        true
    }

    /// Returns whether ends are proposed and not committed.
    pub const fn is_storing(&self) -> bool {
        self.ending > 0
    }

    /// Records an answer with the worker's clock.
    pub fn hear(&mut self, now: Moment, clock_ms: u64) {
        self.heard_at = now;
        self.unanswered_since = None;
        self.reading = Some(Reading { clock_ms, at: now });
    }

    /// Records that an order had no answer.
    pub fn miss(&mut self, sent_at: Moment) {
        self.unanswered_since.get_or_insert(sent_at);
    }

    /// Returns whether the worker has left orders unanswered for too long.
    pub fn is_silent(&self, now: Moment) -> bool {
        self.unanswered_since
            .is_some_and(|at| now.since(at) > SILENCE_MAX)
    }

    /// Returns whether a worker has neither answered nor reported for `limit`.
    pub fn is_unheard(&self, now: Moment, limit: Duration) -> bool {
        now.since(self.heard_at.max(self.reported_at)) >= limit
    }

    /// Returns whether a look should find out if the worker is still there.
    pub fn needs_look(&self, now: Moment) -> bool {
        self.is_unheard(now, UNHEARD_MAX / 2)
    }

    /// Returns whether new runs may be ordered. Runs that the state does not count for
    /// the worker take room of it.
    pub fn is_usable(&self, now: Moment) -> bool {
        self.adopted
            && self.inherited == 0
            && self.strays == 0
            && self.unanswered_since.is_none()
            && self.departing.is_none()
            && !self.is_unheard(now, UNHEARD_MAX)
            && now >= self.avoid_until
            && (self.failures(now) < FAILURES_MAX || self.live.is_empty())
    }

    /// Returns the lease end for an order sent now, on the worker's clock.
    pub fn lease_end(&mut self, now: Moment, hold: Duration) -> Option<u64> {
        let until = self.reading?.likely(now) + hold.as_millis() as u64;
        self.until = self.until.max(until);
        Some(until)
    }

    /// Returns whether every lease on the worker has surely run out.
    pub fn has_lapsed(&self, now: Moment) -> bool {
        if now < self.lapse_by {
            return false;
        }
        self.reading
            .is_none_or(|reading| reading.least(now) > self.until)
    }

    /// Returns the score of failures.
    pub fn failures(&self, now: Moment) -> f64 {
        let halves = now.since(self.failures_at).as_secs_f64() / FAILURES_HALF.as_secs_f64();
        self.failures * 0.5_f64.powf(halves)
    }

    /// Records a failure that counts `weight`; yields for how long the worker is left
    /// alone, if it is.
    pub fn fail(&mut self, now: Moment, weight: f64) -> Option<Duration> {
        self.failures = self.failures(now) + weight;
        self.failures_at = now;
        if self.failures < FAILURES_MAX {
            return None;
        }
        let wait = (AVOID_FIRST * 2_u32.pow(self.avoided.min(8))).min(AVOID_MAX);
        if now >= self.avoid_until {
            self.avoided += 1;
        }
        self.avoid_until = now + wait;
        Some(wait)
    }

    /// Records a successful run that took `ratio` of the expected time.
    pub fn succeed(&mut self, now: Moment, ratio: f64) {
        self.failures = self.failures(now) * FAILURES_KEPT;
        self.failures_at = now;
        if self.failures < FAILURES_MAX / 4.0 {
            self.avoided = 0;
        }
        self.slowness += SPEED_WEIGHT * (ratio.clamp(0.2, 10.0) - self.slowness);
    }
}
