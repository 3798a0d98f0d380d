//! The replicated state machine of the root group.
//!
//! Every instance applies the commands in log order. Applying a command is
//! deterministic and does not read the clock.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::change::Change;
use crate::config::Config;
use crate::core::escrow::Issuer;
use crate::core::job;
use crate::error::{Error, Kind};

/// Number of accepted pushes that are kept to recognise repeated ones.
const HISTORY_PUSHES_MAX: usize = 1_000;

/// Identifies one process run of an instance. A restart gets a new ID.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
#[display("{_0:016x}")]
pub struct InstanceId(pub u64);

/// API key of a team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Team that the key authenticates.
    pub team: String,
    /// SHA-256 of the secret.
    pub digest: [u8; 32],
    /// Zone that still accepts the key while it is cut off from the root group.
    pub home_zone: Option<String>,
    /// Whether the key is revoked, which is permanent.
    pub withdrawn: bool,
    /// Log index of the revocation, or 0.
    pub withdrawn_at: u64,
}

/// An instance on the roster of a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// ID of its process run.
    pub id: InstanceId,
    /// Address for connections from peers. A later run bound to the same address
    /// proves that this run has ended.
    pub address: String,
}

/// Leader and roster of a zone in one term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leadership {
    /// Term number, which increases with each change of leader or roster.
    pub term: u64,
    /// Instance that leads the zone.
    pub leader: InstanceId,
    /// Instances whose promises together can replace the root group's lease. Always
    /// includes the leader.
    pub roster: Vec<Member>,
}

/// An accepted push of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Push {
    /// Version created by the push.
    pub version: u64,
    /// Digest of the pushed configuration.
    pub digest: [u8; 32],
    /// Operator who pushed it.
    pub operator: String,
}

/// Movement of units of one team's limit between the pool and a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Transfer {
    /// Name of the team.
    pub team: String,
    /// Zone that gets or has returned units.
    pub zone: String,
    /// Term of the zone's leadership. Returns of an earlier term are ignored.
    pub term: u64,
    /// Units to give to the zone, limited by the free units of the pool.
    pub give: u64,
    /// Counter of units that the zone has returned.
    pub returned: u64,
}

/// Command that changes the replicated state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub enum Command {
    /// Has no effect; marks the start of a leader's term.
    Noop,
    /// Replaces the configuration.
    Push {
        /// Version that the push replaces.
        replaces: u64,
        /// Digest of the new configuration.
        digest: [u8; 32],
        /// Difference from the replaced configuration to the new one.
        change: Box<Change>,
        /// Operator who pushes.
        operator: String,
    },
    /// Adds a key.
    GiveKey {
        /// Name of the key.
        id: String,
        /// Key to add; `withdrawn` and `withdrawn_at` are ignored.
        key: Key,
    },
    /// Revokes a key permanently.
    WithdrawKey {
        /// Name of the key.
        id: String,
    },
    /// Appoints a zone's leader or changes its roster.
    Lead {
        /// Name of the zone.
        zone: String,
        /// Current term as known to the proposer. The command is refused if the actual
        /// term differs.
        seen_term: u64,
        /// New leader.
        leader: InstanceId,
        /// New roster, which must include the leader.
        roster: Vec<Member>,
    },
    /// Moves units of team limits.
    Transfer(Vec<Transfer>),
    /// Submits a job.
    Submit(Box<job::Job>),
    /// Cancels a job.
    Cancel {
        /// Job to cancel.
        job: job::Id,
        /// Team that requests it, or `None` for an operator.
        team: Option<String>,
    },
    /// Records ended tasks.
    End(Vec<job::Ended>),
}

/// Outcome of an applied command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub enum Outcome {
    /// The command was applied.
    Done,
    /// The push was accepted as this version.
    Pushed(u64),
    /// The key is revoked. The leader of its home zone, if any, must still confirm
    /// that it has applied the revocation.
    Withdrawn {
        /// Log index of the revocation.
        at: u64,
        /// Home zone of the key.
        home_zone: Option<String>,
    },
    /// The new leadership of the zone.
    Led(Leadership),
    /// ID of the submitted job, or of the earlier submission with the same
    /// idempotency key.
    Submitted(job::Id),
    /// The command was refused and had no effect.
    Refused(Error),
}

/// The replicated state of the root group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Registry {
    /// Index of the last log entry that this state includes.
    pub applied: u64,
    /// Version of the configuration, which increases by one with each accepted push.
    pub version: u64,
    /// Current configuration.
    pub config: Config,
    /// Accepted pushes, oldest first.
    pub history: VecDeque<Push>,
    /// Keys by name.
    pub keys: BTreeMap<String, Key>,
    /// Digests of all keys ever added, including revoked ones, so that no secret is
    /// used twice.
    pub digests: BTreeSet<[u8; 32]>,
    /// Counter that increases with each change of a key.
    pub key_changes: u64,
    /// Current leadership of each zone.
    pub zones: BTreeMap<String, Leadership>,
    /// Team limits divided among zones.
    pub limits: BTreeMap<String, Issuer<ZoneIndex>>,
    /// Zones in the order of their first leader.
    pub zone_names: Vec<String>,
    /// Registered jobs.
    pub jobs: job::Table,
}

/// Position of a zone in [`Registry::zone_names`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ZoneIndex(pub u16);

impl Command {
    /// Creates a push of `config` that replaces version `replaces`. `base` is the
    /// current configuration of the proposing instance.
    pub fn push(replaces: u64, base: &Config, config: &Config, operator: &str) -> Self {
        Self::Push {
            replaces,
            digest: config.digest(),
            change: Box::new(Change::between(base, config)),
            operator: operator.to_owned(),
        }
    }
}

impl Registry {
    /// Applies the command at log `index`.
    pub fn apply(&mut self, index: u64, command: &Command) -> Outcome {
        self.applied = index;
        match command {
            Command::Noop => Outcome::Done,
            Command::Push {
                replaces,
                digest,
                change,
                operator,
            } => self.push(*replaces, *digest, change, operator),
            Command::GiveKey { id, key } => self.give_key(id, key),
            Command::WithdrawKey { id } => self.withdraw_key(index, id),
            Command::Lead {
                zone,
                seen_term,
                leader,
                roster,
            } => self.lead(zone, *seen_term, *leader, roster),
            Command::Transfer(transfers) => self.transfer(transfers),
            Command::Submit(job) => self.submit(job),
            Command::Cancel { job, team } => self.jobs.cancel(*job, team.as_deref()),
            Command::End(ended) => {
                self.jobs.end(ended);
                Outcome::Done
            }
        }
    }

    /// Returns the index of a known zone.
    pub fn zone_index(&self, zone: &str) -> Option<ZoneIndex> {
        let index = self.zone_names.iter().position(|name| name == zone)?;
        Some(ZoneIndex(u16::try_from(index).ok()?))
    }

    fn push(
        &mut self,
        replaces: u64,
        digest: [u8; 32],
        change: &Change,
        operator: &str,
    ) -> Outcome {
        let earlier = self
            .history
            .iter()
            .find(|push| push.version == replaces + 1);
        if let Some(earlier) = earlier {
            if earlier.digest == digest {
                return Outcome::Pushed(earlier.version);
            }
            let message = format!(
                "version {} was made by {} with digest {}",
                earlier.version,
                earlier.operator,
                hex::encode(&earlier.digest[..8])
            );
            return Outcome::Refused(Error::new(Kind::VersionConflict, message));
        }
        if replaces != self.version {
            let message = format!("version {} is in force", self.version);
            return Outcome::Refused(Error::new(Kind::VersionConflict, message));
        }
        let config = change.applied_to(&self.config);
        if config.digest() != digest {
            let message = "the proposing instance has an outdated configuration; push again";
            return Outcome::Refused(Error::new(Kind::NoQuorum, message));
        }
        self.version += 1;
        self.config = config;
        self.history.push_back(Push {
            version: self.version,
            digest,
            operator: operator.to_owned(),
        });
        if self.history.len() > HISTORY_PUSHES_MAX {
            self.history.pop_front();
        }
        self.sync_limits();
        Outcome::Pushed(self.version)
    }

    // A team removed from the configuration keeps its issuer, with capacity 0, so that
    // its outstanding units stay accounted for until they are returned.
    fn sync_limits(&mut self) {
        for (team, issuer) in &mut self.limits {
            let limit = self.config.teams.get(team).map_or(0, |t| t.limit);
            issuer.set_capacity(limit);
        }
        for (name, team) in &self.config.teams {
            self.limits
                .entry(name.clone())
                .or_insert_with(|| Issuer::new(team.limit));
        }
    }

    fn give_key(&mut self, id: &str, key: &Key) -> Outcome {
        if !self.config.teams.contains_key(&key.team) {
            let message = format!("team {} does not exist", key.team);
            return Outcome::Refused(Error::new(Kind::NotFound, message));
        }
        if let Some(old) = self.keys.get(id) {
            if old.digest == key.digest && old.team == key.team && !old.withdrawn {
                return Outcome::Done;
            }
            let message = format!("key {id} already exists");
            return Outcome::Refused(Error::new(Kind::VersionConflict, message));
        }
        if !self.digests.insert(key.digest) {
            let message = "this secret is or was used by another key";
            return Outcome::Refused(Error::new(Kind::VersionConflict, message));
        }
        let key = Key {
            withdrawn: false,
            withdrawn_at: 0,
            ..key.clone()
        };
        self.keys.insert(id.to_owned(), key);
        self.key_changes += 1;
        Outcome::Done
    }

    fn withdraw_key(&mut self, index: u64, id: &str) -> Outcome {
        let Some(key) = self.keys.get_mut(id) else {
            let message = format!("no key {id}");
            return Outcome::Refused(Error::new(Kind::NotFound, message));
        };
        if !key.withdrawn {
            key.withdrawn = true;
            key.withdrawn_at = index;
            self.key_changes += 1;
        }
        Outcome::Withdrawn {
            at: key.withdrawn_at,
            home_zone: key.home_zone.clone(),
        }
    }

    fn lead(
        &mut self,
        zone: &str,
        seen_term: u64,
        leader: InstanceId,
        roster: &[Member],
    ) -> Outcome {
        let term = self.zones.get(zone).map_or(0, |leadership| leadership.term);
        if term != seen_term || !roster.iter().any(|m| m.id == leader) {
            let message = format!("zone {zone} is in term {term}");
            return Outcome::Refused(Error::new(Kind::VersionConflict, message));
        }
        if self.zone_index(zone).is_none() {
            self.zone_names.push(zone.to_owned());
        }
        let leadership = Leadership {
            term: term + 1,
            leader,
            roster: roster.to_vec(),
        };
        self.zones.insert(zone.to_owned(), leadership.clone());
        Outcome::Led(leadership)
    }

    fn transfer(&mut self, transfers: &[Transfer]) -> Outcome {
        for transfer in transfers {
            let Some(zone) = self.zone_index(&transfer.zone) else {
                continue;
            };
            let in_term = self
                .zones
                .get(&transfer.zone)
                .is_some_and(|leadership| leadership.term == transfer.term);
            if let Some(issuer) = self.limits.get_mut(&transfer.team) {
                if in_term {
                    issuer.settle(zone, transfer.returned);
                }
                issuer.give(zone, transfer.give);
            }
        }
        Outcome::Done
    }

    fn submit(&mut self, job: &job::Job) -> Outcome {
        if !self.config.teams.contains_key(&job.team) {
            let message = format!("team {} does not exist", job.team);
            return Outcome::Refused(Error::new(Kind::NotFound, message));
        }
        self.jobs.submit(job)
    }
}
