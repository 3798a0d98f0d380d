//! Admission of jobs by the memory that accepted ones take.
//!
//! The load that it handles: client accounts that submit jobs of any legal size faster than they
//! end. An accepted job is kept until it ends, on each instance that keeps the state, so that a job without
//! room is refused before it is proposed.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::{Add, AddAssign, Sub, SubAssign};
use serde::Serialize;

/// Memory of jobs up to which they may use the part of the room that is kept for them, in bytes.
/// A job of a hundred steps and a text of 4,000 bytes takes less.
pub const SMALL_JOB_BYTES: usize = 64 << 10;
/// Divisor of the room that gives the part kept for small jobs.
const SMALL_PART: usize = 4;
/// Divisors of a machine's memory and disk that give the room for jobs. In memory there are the
/// jobs, the latest snapshot and the one being written, on disk two snapshots and the log.
const MEMORY_PART: usize = 5;
const DISK_PART: usize = 3;
/// What an account may hold as a multiple of what is left for all accounts.
const ACCOUNT_FACTOR: usize = 3;
/// Smallest room, in bytes. The part for large jobs holds the largest job that is valid, which
/// takes 14 MB.
const ROOM_MIN_BYTES: usize = 20_000_000;

/// Shortest time after which a caller should retry a job without room. Room comes free as jobs
/// end.
pub const ROOM_RETRY_MIN: Duration = Duration::from_secs(2);
/// Time over which the retries of jobs without room are spread.
pub const ROOM_RETRY_SPREAD: Duration = Duration::from_secs(8);

/// What jobs hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Add, AddAssign, Sub, SubAssign)]
pub struct Amount {
    /// Number of jobs that have not ended.
    pub jobs: usize,
    /// Estimated memory, in bytes, records of ended jobs included.
    pub bytes: usize,
}

/// What the jobs of each client account hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holdings<K> {
    total: Amount,
    by_account: BTreeMap<K, Amount>,
}

impl<K> Default for Holdings<K> {
    fn default() -> Self {
        Self {
            total: Amount::default(),
            by_account: BTreeMap::new(),
        }
    }
}

impl<K: Ord> Holdings<K> {
    /// Adds what a job of the account holds.
    pub fn add(&mut self, account: K, amount: Amount) {
        self.total += amount;
        *self.by_account.entry(account).or_default() += amount;
    }

    /// Removes what was added for a job of the account.
    pub fn remove(&mut self, account: &K, amount: Amount) {
        self.total -= amount;
        let Some(held) = self.by_account.get_mut(account) else {
            return;
        };
        *held -= amount;
        if *held == Amount::default() {
            self.by_account.remove(account);
        }
    }

    /// Returns what all jobs hold.
    pub const fn total(&self) -> Amount {
        self.total
    }

    /// Returns what the jobs of an account hold.
    pub fn of(&self, account: &K) -> Amount {
        self.by_account.get(account).copied().unwrap_or_default()
    }
}

/// Room for jobs that have not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Maximum number of jobs.
    pub jobs: usize,
    /// Maximum memory, in bytes.
    pub bytes: usize,
}

impl Default for Room {
    /// Returns the room on a machine without limits.
    fn default() -> Self {
        Self {
            jobs: 30_000,
            bytes: 64_000_000,
        }
    }
}

/// Why a job has no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Shortage {
    /// The account holds too much of the room.
    Account,
    /// Too little is left for any account.
    Total,
}

impl Room {
    /// Returns this room, lowered to the smallest one that `others` state; 0 states
    /// none. Each instance that keeps the state holds all jobs.
    pub fn smallest(self, others: impl Iterator<Item = u64>) -> Self {
        let stated = others.filter(|bytes| *bytes > 0).min();
        let stated = stated.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
        Self {
            bytes: stated.map_or(self.bytes, |bytes| bytes.min(self.bytes)),
            ..self
        }
    }

    /// Returns the room on a machine with this memory and disk, both in bytes, as far as they
    /// are limited.
    pub fn of_machine(memory: Option<usize>, disk: Option<usize>) -> Self {
        let parts = [
            memory.map(|bytes| bytes / MEMORY_PART),
            disk.map(|bytes| bytes / DISK_PART),
        ];
        let default = Self::default();
        let bytes = parts.into_iter().flatten().min();
        Self {
            bytes: bytes.unwrap_or(default.bytes).max(ROOM_MIN_BYTES),
            ..default
        }
    }

    /// Decides whether a job of `bytes` bytes is accepted, given what all jobs and those of its
    /// account hold.
    ///
    /// An account may hold three times as much as was left for all accounts before the job, so
    /// that any number of accounts that submit without limit leave room for one more. A quarter
    /// of the room is kept for small jobs.
    ///
    /// Source: the dynamic threshold of Choudhury and Hahne, Dynamic Queue Length Thresholds for
    /// Shared-Memory Packet Switches.
    ///
    /// # Errors
    ///
    /// Returns what is short. A job is always accepted if there is no other.
    pub fn admit(&self, total: Amount, account: Amount, bytes: usize) -> Result<(), Shortage> {
        if total.bytes == 0 {
            return Ok(());
        }
        let usable_bytes = if bytes > SMALL_JOB_BYTES {
            self.bytes - self.bytes / SMALL_PART
        } else {
            self.bytes
        };
        let left = Amount {
            jobs: self.jobs.saturating_sub(total.jobs),
            bytes: usable_bytes.saturating_sub(total.bytes),
        };
        if left.jobs == 0 || left.bytes < bytes {
            return Err(Shortage::Total);
        }
        let max = Amount {
            jobs: ACCOUNT_FACTOR * left.jobs,
            bytes: ACCOUNT_FACTOR * left.bytes,
        };
        if account.jobs >= max.jobs || account.bytes + bytes > max.bytes {
            return Err(Shortage::Account);
        }
        Ok(())
    }
}
