//! Retry budget and backoff.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Retries allowed for each success, in thousandths.
const RETRY_MILLI_PER_SUCCESS: u64 = 100;
/// Upper bound of the saved budget, in thousandths of a retry.
const BUDGET_CAP_MILLI: u64 = 10_000;
/// Delay before the first retry.
const BACKOFF_BASE: Duration = Duration::from_millis(5);
/// Longest delay before a retry.
const BACKOFF_CAP: Duration = Duration::from_millis(250);

/// Limits retries to a share of recent successes.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    milli: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            milli: BUDGET_CAP_MILLI,
        }
    }
}

impl Budget {
    /// Records a success, which earns a tenth of a retry.
    pub fn earn(&mut self) {
        self.milli = (self.milli + RETRY_MILLI_PER_SUCCESS).min(BUDGET_CAP_MILLI);
    }

    /// Takes one retry from the budget; false if none is left.
    pub fn spend(&mut self) -> bool {
        if self.milli < 1_000 {
            return false;
        }
        self.milli -= 1_000;
        true
    }
}

/// Returns the delay before retry `attempt` (from 0): exponential with full jitter.
///
/// Source: "full jitter" of Brooker, Exponential Backoff and Jitter.
pub fn backoff(attempt: u32, rng: &mut impl Rng) -> Duration {
    let top = BACKOFF_BASE
        .saturating_mul(1 << attempt.min(10))
        .min(BACKOFF_CAP);
    top.mul_f64(rng.random::<f64>())
}
