//! Detection of availability zones that are cut off from the leader.
//!
//! A cut takes a third of the fleet away at once. Until each worker has left an order
//! unanswered for its whole timeout, starts would be sent to workers that cannot receive
//! them, and their jobs would be late by a whole lease.

use std::collections::BTreeSet;

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
        let mut latest_contact = vec![Moment::ZERO; self.zones.len()];
        for channel in self.channels.values() {
            let latest = &mut latest_contact[channel.zone as usize];
            *latest = channel.heard_at.max(channel.reported_at).max(*latest);
        }
        let mut silent_workers = vec![0; self.zones.len()];
        for channel in self.channels.values() {
            let zone = channel.zone as usize;
            let is_latest = |since: Moment| since >= latest_contact[zone];
            if channel.is_silent(self.caught_up_to) && channel.silent_since().is_some_and(is_latest)
            {
                silent_workers[zone] += 1;
            }
        }
        let silent: BTreeSet<u32> = (0..)
            .zip(silent_workers)
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
