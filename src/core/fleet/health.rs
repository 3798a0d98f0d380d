//! Failure rates and quarantine of workers.

use std::time::Duration;

use crate::core::time::Moment;

/// Failures in a row after which a worker is set aside.
const STREAK_MAX: u32 = 3;
/// Rate of all workers, in thousandths, above which failures are not one worker's.
const COMMON_RATE_MILLI: u32 = 500;
/// First quarantine.
const QUARANTINE_BASE: Duration = Duration::from_secs(10);
/// Longest quarantine.
const QUARANTINE_CAP: Duration = Duration::from_secs(600);

/// Decayed share of runs that failed, over all workers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    milli: u32,
}

impl Rate {
    /// Takes in how a run ended.
    pub const fn record(&mut self, ok: bool) {
        let target = if ok { 0 } else { 1_000 };
        self.milli = (self.milli * 31 + target) / 32;
    }

    /// Returns whether failures are common everywhere.
    pub const fn is_common(self) -> bool {
        self.milli > COMMON_RATE_MILLI
    }
}

/// Failures of one worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    streak: u32,
    quarantines: u32,
    until: Option<Moment>,
}

impl Health {
    /// Returns whether it gets nothing new.
    pub const fn is_quarantined(&self) -> bool {
        self.until.is_some()
    }

    /// Returns whether its latest runs failed, so that failures may be its own.
    pub const fn is_suspect(&self) -> bool {
        self.streak >= 2
    }

    /// Takes in how a run ended; yields the length of a quarantine that begins.
    pub fn record(&mut self, now: Moment, ok: bool, rate: Rate) -> Option<Duration> {
        if ok {
            self.streak = 0;
            self.quarantines = self.quarantines.saturating_sub(1);
            return None;
        }
        self.streak += 1;
        if self.streak < STREAK_MAX || rate.is_common() || self.until.is_some() {
            return None;
        }
        let length = QUARANTINE_BASE
            .saturating_mul(1 << self.quarantines.min(10))
            .min(QUARANTINE_CAP);
        self.quarantines += 1;
        self.until = Some(now + length);
        Some(length)
    }

    /// Ends a quarantine whose time is up; one more failure begins the next.
    pub fn tick(&mut self, now: Moment) -> bool {
        if self.until.is_some_and(|until| now >= until) {
            self.until = None;
            self.streak = STREAK_MAX - 1;
            return true;
        }
        false
    }
}
