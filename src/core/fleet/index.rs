//! Workers ordered by free processors, apart by whether they have accelerators.

use std::collections::{BTreeSet, HashMap};

use super::WorkerKey;
use crate::core::job::Size;

/// Workers looked at in one direction before the search turns.
const PROBES: usize = 48;

/// Free capacity of all open workers.
#[derive(Debug, Default)]
pub struct Index {
    plain: BTreeSet<(u64, WorkerKey)>,
    accelerated: BTreeSet<(u64, WorkerKey)>,
    free: HashMap<WorkerKey, Size>,
    changes: u64,
}

impl Index {
    /// Sets what is free on a worker; `None` if it gets nothing new.
    pub fn set(&mut self, key: WorkerKey, free: Option<Size>) {
        let old = self.free.remove(&key);
        if let Some(old) = old {
            self.set_of(old).remove(&(old.cpu_milli, key));
        }
        let grew = match (old, free) {
            (Some(old), Some(new)) => !old.fits(new),
            (None, Some(_)) => true,
            _ => false,
        };
        self.changes += u64::from(grew);
        if let Some(free) = free {
            self.set_of(free).insert((free.cpu_milli, key));
            self.free.insert(key, free);
        }
    }

    fn set_of(&mut self, size: Size) -> &mut BTreeSet<(u64, WorkerKey)> {
        if size.accelerators > 0 {
            &mut self.accelerated
        } else {
            &mut self.plain
        }
    }

    /// Returns a number that changes whenever a worker gains room.
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// Finds the fullest worker that fits.
    pub fn tightest(&self, need: Size) -> Option<WorkerKey> {
        self.sets(need).into_iter().find_map(|set| {
            let from = (need.cpu_milli, WorkerKey(0));
            let fits = |&(_, key): &(u64, WorkerKey)| self.free[&key].fits(need).then_some(key);
            // The fullest may lack memory, the emptiest rarely does; the rest is
            // looked at only when both ends fail.
            set.range(from..)
                .take(PROBES)
                .find_map(fits)
                .or_else(|| set.range(from..).rev().take(PROBES).find_map(fits))
                .or_else(|| set.range(from..).skip(PROBES).find_map(fits))
        })
    }

    /// Returns workers that fit, emptiest first, up to a bounded number.
    pub fn emptiest(&self, need: Size) -> Vec<WorkerKey> {
        let mut found = Vec::new();
        for set in self.sets(need) {
            let from = (need.cpu_milli, WorkerKey(0));
            let fits = set
                .range(from..)
                .rev()
                .map(|&(_, key)| key)
                .filter(|key| self.free[key].fits(need));
            found.extend(fits.take(PROBES));
            if !found.is_empty() {
                break;
            }
        }
        found
    }

    /// Returns open workers, emptiest first, whether or not something fits.
    pub fn all_emptiest(&self) -> impl Iterator<Item = WorkerKey> {
        self.plain
            .iter()
            .rev()
            .chain(self.accelerated.iter().rev())
            .map(|&(_, key)| key)
    }

    // Tasks without accelerators leave accelerated workers to those that need them.
    fn sets(&self, need: Size) -> Vec<&BTreeSet<(u64, WorkerKey)>> {
        if need.accelerators > 0 {
            vec![&self.accelerated]
        } else {
            vec![&self.plain, &self.accelerated]
        }
    }
}
