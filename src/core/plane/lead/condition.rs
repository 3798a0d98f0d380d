//! Temporary conditions of workers: cold after a start, or about to leave.
//!
//! Conditions come with heartbeats, several a second from each worker while a zone warms up. They
//! are volatile: a new leader learns them from the next heartbeats, and a worker that is cold then
//! is ramped up anew.

use std::time::Duration;

use super::channel::Channel;
use super::{Lead, Now};
use crate::core::plane::types::Resources;
use crate::core::plane::worker::{Condition, Report};
use crate::core::time::Moment;

/// Share of its capacity that a worker is offered when it is coldest.
const COLD_SHARE_MIN: f64 = 0.25;
/// Maximum duration of a condition. A longer one is implausible, and would keep most of a
/// worker's capacity unused.
const CONDITION_MAX: Duration = Duration::from_secs(60);

/// Interval in which a worker is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmUp {
    /// Time of the first report that the worker is cold.
    pub since: Moment,
    /// Time from which on it is warm.
    pub until: Moment,
}

impl WarmUp {
    // Returns the share of its capacity that the worker is offered.
    fn share(&self, now: Moment) -> f64 {
        if now >= self.until {
            return 1.0;
        }
        let elapsed = now.since(self.since).as_secs_f64();
        let total = self.until.since(self.since).as_secs_f64();
        COLD_SHARE_MIN + (1.0 - COLD_SHARE_MIN) * elapsed / total
    }
}

impl Channel {
    /// Records the condition in the report with this sequence number, which arrived at `now`. It
    /// replaces that of an earlier report, but a worker that has been cold goes on with its ramp. A
    /// report that was overtaken by a later one changes nothing.
    pub fn record_condition(&mut self, now: Moment, sequence: u64, condition: Condition) {
        if sequence < self.condition_sequence {
            return;
        }
        self.condition_sequence = sequence;
        let remaining = |ms: u64| Duration::from_millis(ms).min(CONDITION_MAX);
        self.warm_up = (condition.cold_remaining_ms > 0).then(|| {
            let since = self.warm_up.map_or(now, |known| known.since);
            let until = now + remaining(condition.cold_remaining_ms);
            WarmUp {
                since,
                until: until.min(since + CONDITION_MAX),
            }
        });
        // The earliest time counts. A worker that is past the announced time reports 0.
        if condition.drain_remaining_ms > 0 {
            let at = now + remaining(condition.drain_remaining_ms);
            self.drains_at = Some(self.drains_at.map_or(at, |known| known.min(at)));
        }
    }

    /// Returns the capacity that the worker is offered, of the `capacity` that it reports. Each
    /// part is rounded up, so that a single accelerator is not withheld.
    pub fn offered_capacity(&self, now: Moment, capacity: Resources) -> Resources {
        let Some(warm_up) = self.warm_up else {
            return capacity;
        };
        let share = warm_up.share(now);
        let part = |total: i64| (total as f64 * share).ceil() as i64;
        Resources {
            cpu: part(capacity.cpu),
            memory: part(capacity.memory),
            accelerators: part(capacity.accelerators),
        }
    }
}

impl Lead {
    /// Keeps the condition in the first report of an incarnation until its registration is
    /// committed, so that the worker is not offered all of its capacity before the next report.
    pub(super) fn record_first_condition(
        &mut self,
        now: Now,
        report: &Report,
        condition: Condition,
    ) {
        let key = (report.id.clone(), report.born_ms);
        if condition == Condition::default() {
            self.first_conditions.remove(&key);
        } else {
            self.first_conditions.insert(key, (now.at, condition));
        }
    }

    /// Removes and returns the condition in the first report of an incarnation, with its time.
    /// Those of earlier incarnations of the worker, which were never registered, are removed too.
    pub(super) fn take_first_condition(&mut self, report: &Report) -> Option<(Moment, Condition)> {
        let key = (report.id.clone(), report.born_ms);
        let taken = self.first_conditions.remove(&key);
        self.first_conditions
            .retain(|(id, born_ms), _| *id != report.id || *born_ms > report.born_ms);
        taken
    }
}
