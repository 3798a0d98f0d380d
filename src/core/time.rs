//! Monotonic time as integers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point on one process's monotonic clock, in microseconds since its start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Moment(pub u64);

impl Moment {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);

    /// Returns the moment `ms` milliseconds after the start of the clock.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Returns the whole milliseconds since the start of the clock.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl std::ops::Add<Duration> for Moment {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl std::ops::Sub<Duration> for Moment {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

/// Maximum difference in rate between any two clocks of the cell, as a divisor: 100
/// means 1 %.
const CLOCK_RATE_DIVISOR: u32 = 100;

/// Extends a lease duration on the grantor's side, so that it outlasts the same
/// duration measured on a slower clock of the holder.
pub fn with_clock_margin(lease: Duration) -> Duration {
    lease + lease / CLOCK_RATE_DIVISOR
}
