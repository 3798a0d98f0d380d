//! Retry budget and backoff.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Retries earned by each success, in thousandths of a retry.
const RETRY_MILLI_PER_SUCCESS: u64 = 100;
/// Maximum of the retry budget, in thousandths of a retry.
const BUDGET_MAX_MILLI: u64 = 10_000;
/// Upper limit of the delay before the first retry, doubled for each further one.
const BACKOFF_BASE: Duration = Duration::from_millis(5);
/// Upper limit of the delay before any retry.
const BACKOFF_MAX: Duration = Duration::from_millis(250);

/// Retry budget: a token bucket that is refilled by successes.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    milli: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            milli: BUDGET_MAX_MILLI,
        }
    }
}

impl Budget {
    /// Records a success, which adds a tenth of a retry to the budget.
    pub fn record_success(&mut self) {
        self.milli = (self.milli + RETRY_MILLI_PER_SUCCESS).min(BUDGET_MAX_MILLI);
    }

    /// Takes one retry from the budget. Returns false if none is left.
    pub fn spend(&mut self) -> bool {
        if self.milli < 1_000 {
            return false;
        }
        self.milli -= 1_000;
        true
    }
}

/// Returns the delay before retry number `attempt`, counted from 0: exponential
/// backoff with full jitter.
///
/// Source: "full jitter" of Brooker, Exponential Backoff and Jitter.
pub fn backoff(attempt: u32, rng: &mut impl Rng) -> Duration {
    let limit = BACKOFF_BASE
        .saturating_mul(1 << attempt.min(10))
        .min(BACKOFF_MAX);
    limit.mul_f64(rng.random::<f64>())
}

/// Returns a delay from `min` up to `min + span` that differs between callers who are told at the
/// same time, given a number that differs between them.
pub fn spread(min: Duration, span: Duration, number: u64) -> Duration {
    // The finalizer of SplitMix64 (Steele, Lea and Flood, Fast Splittable Pseudorandom Number
    // Generators), which maps neighbouring numbers to unrelated ones.
    let mut hash = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^= hash >> 31;
    min + span.mul_f64(hash as f64 / u64::MAX as f64)
}
