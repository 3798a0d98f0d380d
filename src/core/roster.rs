//! Selection of the voters of the root group.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::consensus::Replica;
use crate::core::time::Moment;
use crate::wire::Voter;

/// Maximum lag in log entries at which a spare may become a voter.
const CAUGHT_UP_LAG_ENTRIES: u64 = 64;
/// Silence after which a spare is not made a voter.
const SPARE_SILENCE_MAX: Duration = Duration::from_millis(1_500);

/// Name and zone of a replica's instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Name of the replica's instance.
    pub name: String,
    /// Availability zone.
    pub zone: String,
}

/// Number of voters and the time after which a silent one is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Constraints {
    /// Intended number of voters, which must be odd.
    pub voters: usize,
    /// Silence after which a voter is replaced.
    pub replace_after: Duration,
}

/// Returns the next set of voters, or `None` if the current set should stay. The sets
/// differ by one replica: a spare is added before the voter it replaces is removed.
///
/// `locations` lists the connected instances by replica. If an instance has returned
/// under the name of a voter with a different replica, the voter has lost its disk.
pub fn next_voters(
    now: Moment,
    replica: &Replica,
    locations: &BTreeMap<u64, Location>,
    constraints: Constraints,
) -> Option<Vec<Voter>> {
    let voters = replica.voters();
    let is_voter = |id: u64| voters.iter().any(|v| v.replica == id);
    let silent_for = |id: u64| {
        let mut progress = replica.progress();
        let found = progress.find(|(other, _)| *other == id);
        found.map(|(_, p)| now.since(p.heard_at))
    };
    let has_lost_disk = |voter: &Voter| {
        locations
            .iter()
            .any(|(&id, l)| id != voter.replica && l.name == voter.name && !is_voter(id))
    };
    let is_lost = |voter: &&Voter| {
        voter.replica != replica.id()
            && (has_lost_disk(voter) && !locations.contains_key(&voter.replica)
                || silent_for(voter.replica).is_none_or(|s| s > constraints.replace_after))
    };
    let lost = voters.iter().find(is_lost);
    if voters.len() > constraints.voters {
        let leaving = lost?.clone();
        return Some(voters.iter().filter(|v| **v != leaving).cloned().collect());
    }
    if lost.is_none() && voters.len() >= constraints.voters {
        return None;
    }
    let in_zone = |zone: &str| {
        let zone_of = |v: &&Voter| locations.get(&v.replica).is_some_and(|p| p.zone == zone);
        let staying = voters.iter().filter(|v| Some(*v) != lost);
        staying.filter(zone_of).count()
    };
    let spare = replica
        .progress()
        .filter(|(id, p)| {
            let lag = replica.commit().saturating_sub(p.match_index);
            let is_recent = now.since(p.heard_at) < SPARE_SILENCE_MAX;
            !is_voter(*id)
                && p.durable
                && is_recent
                && p.match_index > 0
                && lag <= CAUGHT_UP_LAG_ENTRIES
        })
        .filter_map(|(id, _)| Some((id, locations.get(&id)?)))
        .min_by_key(|(id, location)| (in_zone(&location.zone), *id));
    let (id, location) = spare?;
    let mut next = voters.to_vec();
    next.push(Voter {
        replica: id,
        name: location.name.clone(),
    });
    Some(next)
}
