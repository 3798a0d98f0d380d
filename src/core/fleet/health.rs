//! Quarantine of workers on which tasks keep failing.

use std::time::Duration;

use crate::core::time::Moment;

/// Consecutive failures after which a worker is quarantined.
const CONSECUTIVE_FAILURES_MAX: u32 = 3;
/// Failure rate over all workers, in thousandths, above which failures are not attributed
/// to a single worker.
const COMMON_FAILURE_RATE_MILLI: u32 = 500;
/// Length of the first quarantine; doubles with each further one.
const QUARANTINE_MIN: Duration = Duration::from_secs(10);
/// Longest quarantine of a worker.
const QUARANTINE_MAX: Duration = Duration::from_secs(600);

/// Exponentially decayed failure rate over all workers.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureRate {
    milli: u32,
}

impl FailureRate {
    /// Updates the rate with the outcome of a run.
    pub const fn record(&mut self, ok: bool) {
        let target = if ok { 0 } else { 1_000 };
        self.milli = (self.milli * 31 + target) / 32;
    }

    /// Returns whether failures are too common to be attributed to a single worker.
    pub const fn is_common(self) -> bool {
        self.milli > COMMON_FAILURE_RATE_MILLI
    }
}

/// Recent failures and quarantine of one worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    consecutive_failures: u32,
    backoff_level: u32,
    quarantined_until: Option<Moment>,
}

impl Health {
    /// Returns whether the worker is quarantined and gets no new tasks.
    pub const fn is_quarantined(&self) -> bool {
        self.quarantined_until.is_some()
    }

    /// Returns whether at least its two latest runs failed, so that the worker may be the
    /// cause of a further failure.
    pub const fn is_suspect(&self) -> bool {
        self.consecutive_failures >= 2
    }

    /// Records the outcome of a run. Returns the length of the quarantine if one begins.
    pub fn record(&mut self, now: Moment, ok: bool, rate: FailureRate) -> Option<Duration> {
        if ok {
            self.consecutive_failures = 0;
            self.backoff_level = self.backoff_level.saturating_sub(1);
            return None;
        }
        self.consecutive_failures += 1;
        if self.consecutive_failures < CONSECUTIVE_FAILURES_MAX
            || rate.is_common()
            || self.quarantined_until.is_some()
        {
            return None;
        }
        let duration = QUARANTINE_MIN
            .saturating_mul(1 << self.backoff_level.min(10))
            .min(QUARANTINE_MAX);
        self.backoff_level += 1;
        self.quarantined_until = Some(now + duration);
        Some(duration)
    }

    /// Ends a quarantine whose time is up and returns whether it did. The next failure
    /// starts another quarantine.
    pub fn tick(&mut self, now: Moment) -> bool {
        if self.quarantined_until.is_some_and(|until| now >= until) {
            self.quarantined_until = None;
            self.consecutive_failures = CONSECUTIVE_FAILURES_MAX - 1;
            return true;
        }
        false
    }
}
