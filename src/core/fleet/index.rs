//! Index of workers by free processors. Workers with free accelerators are kept apart.

use std::collections::{BTreeSet, HashMap};

use super::WorkerKey;
use crate::core::job::Size;

/// Workers that are examined from one end of the index before the search goes on from the
/// other, and most candidates returned for spreading.
const SCANNED_MAX: usize = 48;

/// Free resources of all workers that accept new tasks.
#[derive(Debug, Default)]
pub struct Index {
    unaccelerated: BTreeSet<(u64, WorkerKey)>,
    accelerated: BTreeSet<(u64, WorkerKey)>,
    free: HashMap<WorkerKey, Size>,
    gains: u64,
}

impl Index {
    /// Sets the free resources of a worker, or `None` if it accepts no new tasks.
    pub fn set(&mut self, key: WorkerKey, free: Option<Size>) {
        let old = self.free.remove(&key);
        if let Some(old) = old {
            self.set_for(old).remove(&(old.cpu_milli, key));
        }
        let grew = match (old, free) {
            (Some(old), Some(new)) => !old.fits(new),
            (None, Some(_)) => true,
            _ => false,
        };
        self.gains += u64::from(grew);
        if let Some(free) = free {
            self.set_for(free).insert((free.cpu_milli, key));
            self.free.insert(key, free);
        }
    }

    fn set_for(&mut self, size: Size) -> &mut BTreeSet<(u64, WorkerKey)> {
        if size.accelerators > 0 {
            &mut self.accelerated
        } else {
            &mut self.unaccelerated
        }
    }

    /// Returns a counter that rises whenever free resources are added, so that a job that
    /// did not fit need not be tried again before.
    pub const fn gains(&self) -> u64 {
        self.gains
    }

    /// Finds a worker that fits, preferring few free processors (best fit).
    pub fn best_fit(&self, need: Size) -> Option<WorkerKey> {
        self.sets_for(need).into_iter().find_map(|set| {
            let from = (need.cpu_milli, WorkerKey(0));
            let fits = |&(_, key): &(u64, WorkerKey)| self.free[&key].fits(need).then_some(key);
            // The fullest workers may lack memory, the emptiest rarely do. The others are
            // examined only if both ends fail.
            set.range(from..)
                .take(SCANNED_MAX)
                .find_map(fits)
                .or_else(|| set.range(from..).rev().take(SCANNED_MAX).find_map(fits))
                .or_else(|| set.range(from..).skip(SCANNED_MAX).find_map(fits))
        })
    }

    /// Returns a bounded number of workers that fit, those with the most free processors first.
    pub fn spread_candidates(&self, need: Size) -> Vec<WorkerKey> {
        let mut found = Vec::new();
        for set in self.sets_for(need) {
            let from = (need.cpu_milli, WorkerKey(0));
            let fits = set
                .range(from..)
                .rev()
                .map(|&(_, key)| key)
                .filter(|key| self.free[key].fits(need));
            found.extend(fits.take(SCANNED_MAX));
            if !found.is_empty() {
                break;
            }
        }
        found
    }

    /// Returns all workers in the index, those with the most free processors first and those
    /// with free accelerators last.
    pub fn by_free_processors(&self) -> impl Iterator<Item = WorkerKey> {
        self.unaccelerated
            .iter()
            .rev()
            .chain(self.accelerated.iter().rev())
            .map(|&(_, key)| key)
    }

    // Tasks without accelerators use accelerated workers only as a last resort, to leave
    // them to the tasks that need them.
    fn sets_for(&self, need: Size) -> Vec<&BTreeSet<(u64, WorkerKey)>> {
        if need.accelerators > 0 {
            vec![&self.accelerated]
        } else {
            vec![&self.unaccelerated, &self.accelerated]
        }
    }
}
