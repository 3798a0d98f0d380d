//! Evacuation of availability zones on an operator's request.
//!
//! An evacuation is part of the replicated state, so each leader knows it. It keeps planning and
//! permission requests off the zone's workers; starts that were proposed before it are not sent.
//! Load: a few zones, a request from an operator every few seconds.

use super::Lead;
use super::io::{Answer, Call, Note};
use crate::core::plane::state::{Command, State};

impl Lead {
    pub(super) fn evacuate(&mut self, state: &State, call: Call, zone: String, active: bool) {
        let is_known = self.zone_names.contains(&zone)
            || state.evacuated.contains(&zone)
            || state.names_zone(&zone);
        if !is_known {
            let why = format!("no setting and no worker names the zone {zone}");
            self.note_refusal(state, format!("evacuation of {zone}"), why.clone());
            self.answer(call, Answer::Malformed(why));
            return;
        }
        // A request that is already proposed may be followed by its opposite, which must be committed
        // after it to have the last word.
        let is_settled = !self.uncommitted_evacuations.contains_key(&zone);
        if is_settled && state.evacuated.contains(&zone) == active {
            self.answer(call, Answer::Done);
            return;
        }
        *self
            .uncommitted_evacuations
            .entry(zone.clone())
            .or_default() += 1;
        self.propose(
            Command::Evacuate { zone, active },
            vec![(call, Answer::Done)],
        );
    }

    /// Handles a committed evacuation or revocation.
    pub(super) fn evacuated(&mut self, state: &State, zone: &str, active: bool) {
        if let Some(count) = self.uncommitted_evacuations.get_mut(zone) {
            *count -= 1;
            if *count == 0 {
                self.uncommitted_evacuations.remove(zone);
            }
        }
        let workers = self.channels.iter();
        let runs = workers
            .filter(|(key, _)| state.worker(*key).report.zone == zone)
            .map(|(_, channel)| channel.live().len())
            .sum();
        self.note(Note::ZoneEvacuated {
            zone: zone.to_owned(),
            active,
            runs,
        });
    }
}
