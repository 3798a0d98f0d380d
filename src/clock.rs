//! Monotonic and wall clock of the process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

use crate::core::time::Moment;

/// Initial reading of the clock: one hour, so that moments before the start of the process can
/// be represented.
const ORIGIN_MICROS: u64 = 3_600_000_000;

/// Monotonic clock of the process. It keeps running while the machine is suspended
/// (`CLOCK_BOOTTIME`), so that leases expire during a suspension.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    origin_micros: u64,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
            origin_micros: boot_micros(),
        }
    }
}

impl Clock {
    /// Returns the present time.
    pub fn now(&self) -> Moment {
        let micros = boot_micros().saturating_sub(self.origin_micros);
        Moment(micros.saturating_add(ORIGIN_MICROS))
    }

    /// Converts a moment to an instant for timers. Timers do not advance while the machine is
    /// suspended.
    pub fn instant(&self, at: Moment) -> Instant {
        let micros = at.0.saturating_sub(ORIGIN_MICROS);
        self.origin + std::time::Duration::from_micros(micros)
    }
}

fn boot_micros() -> u64 {
    const MICROS_PER_SECOND: u64 = 1_000_000;
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * MICROS_PER_SECOND + nanos / 1_000
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn wall_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
