//! Detection of availability zones that are cut off from the leader.
//!
//! A cut takes a third of the fleet away at once. Until each worker has left an order
//! unanswered for its whole timeout, starts would be sent to workers that cannot receive
//! them, and their jobs would be late by a whole lease.

use std::collections::{BTreeMap, BTreeSet};

use super::Lead;
use super::io::Note;
use crate::core::time::Moment;

/// Minimum number of silent workers in a zone for the whole zone to count as silent, so
/// that a single failed worker does not exclude its neighbors.
const SILENT_WORKERS_MIN: usize = 2;

impl Lead {
    /// Updates the availability zones that are silent: several of their workers owe a
    /// reply, and no worker has answered or reported since.
    pub(super) fn update_silent_zones(&mut self) {
        let mut latest_contact: BTreeMap<u32, Moment> = BTreeMap::new();
        for channel in self.channels.values() {
            let latest = latest_contact.entry(channel.zone).or_default();
            *latest = channel.heard_at.max(channel.reported_at).max(*latest);
        }
        let mut silent_workers: BTreeMap<u32, usize> = BTreeMap::new();
        for channel in self.channels.values() {
            let is_latest = channel
                .silent_since()
                .is_some_and(|since| since >= latest_contact[&channel.zone]);
            if is_latest && channel.is_silent(self.caught_up_to) {
                *silent_workers.entry(channel.zone).or_default() += 1;
            }
        }
        let silent: BTreeSet<u32> = silent_workers
            .into_iter()
            .filter(|(_, workers)| *workers >= SILENT_WORKERS_MIN)
            .map(|(zone, _)| zone)
            .collect();
        if silent == self.silent_zones {
            return;
        }
        let changed: Vec<(String, bool)> = self
            .zones
            .iter()
            .filter(|(_, zone)| silent.contains(zone) != self.silent_zones.contains(zone))
            .map(|(name, zone)| (name.clone(), silent.contains(zone)))
            .collect();
        self.silent_zones = silent;
        for (zone, silent) in changed {
            self.note(Note::ZoneSilent { zone, silent });
        }
    }
}
