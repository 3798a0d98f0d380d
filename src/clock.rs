//! The process's clocks.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::core::time::Moment;

/// Reading of a clock at its origin. Keeps [`Moment::ZERO`] long past.
const ORIGIN_MICROS: u64 = 3_600_000_000;

/// The monotonic clock of a process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
        }
    }
}

impl Clock {
    /// Returns the present moment.
    pub fn now(&self) -> Moment {
        let micros = u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX);
        Moment(micros.saturating_add(ORIGIN_MICROS))
    }

    /// Returns the instant of a moment of this clock.
    pub fn instant(&self, at: Moment) -> Instant {
        let micros = at.0.saturating_sub(ORIGIN_MICROS);
        self.origin + std::time::Duration::from_micros(micros)
    }
}

/// Returns the wall clock in milliseconds since the Unix epoch.
pub fn wall_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
