//! The replicated state machine of the root group.
//!
//! Commands are applied in the order of the log on every instance. Applying is
//! deterministic and takes no time of its own.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::change::Change;
use crate::config::Config;
use crate::core::escrow::Issuer;
use crate::core::job;
use crate::error::{Error, Kind};

/// Accepted pushes that are remembered for resends.
const HISTORY_MAX: usize = 1_000;

/// One run of an instance's process; a restart gets a new one.
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

/// A key that a team presents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Team that it stands for.
    pub team: String,
    /// SHA-256 of the secret.
    pub digest: [u8; 32],
    /// Zone that goes on taking it while cut off.
    pub home_zone: Option<String>,
    /// Whether it has been withdrawn. Never becomes false again.
    pub withdrawn: bool,
    /// Position in the log of its withdrawal, or 0.
    pub withdrawn_at: u64,
}

/// An instance on a roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Run of its process.
    pub id: InstanceId,
    /// Peer address. A later run that is bound to the same address proves that
    /// this one has ended.
    pub address: String,
}

/// Who leads a zone, and whose promises count.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leadership {
    /// Rises with each change of leader or roster.
    pub term: u64,
    /// Leader.
    pub leader: InstanceId,
    /// Instances whose promises together replace the root group's lease. Always
    /// contains the leader.
    pub roster: Vec<Member>,
}

/// One accepted push of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Push {
    /// Version that it made.
    pub version: u64,
    /// Digest of the configuration.
    pub digest: [u8; 32],
    /// Who pushed it.
    pub operator: String,
}

/// Units of one team's limit that move between the pool and a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Transfer {
    /// Team.
    pub team: String,
    /// Zone that gets or has returned units.
    pub zone: String,
    /// Term of the zone's leadership; a return of an earlier term is ignored.
    pub term: u64,
    /// Units to give, as far as the pool allows.
    pub give: u64,
    /// Units returned by the zone in all.
    pub returned: u64,
}

/// A change of the replicated state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub enum Command {
    /// Changes nothing; marks the start of a leader's term.
    Noop,
    /// Replaces the configuration.
    Push {
        /// Version that it replaces.
        replaces: u64,
        /// Digest of the new configuration.
        digest: [u8; 32],
        /// What leads to it from the version that it replaces.
        change: Box<Change>,
        /// Who pushes.
        operator: String,
    },
    /// Gives a key.
    GiveKey {
        /// Name of the key.
        id: String,
        /// The key; `withdrawn` is ignored.
        key: Key,
    },
    /// Withdraws a key for good.
    WithdrawKey {
        /// Name of the key.
        id: String,
    },
    /// Names a zone's leader or changes its roster.
    Lead {
        /// Zone.
        zone: String,
        /// Term that the proposer saw; another term in force refuses the command.
        seen_term: u64,
        /// Leader from now on.
        leader: InstanceId,
        /// Roster from now on.
        roster: Vec<Member>,
    },
    /// Moves units of team limits.
    Transfer(Vec<Transfer>),
    /// Adds a job.
    Submit(Box<job::Job>),
    /// Cancels a job.
    Cancel {
        /// Job.
        job: job::Id,
        /// Team that asks, unless an operator does.
        team: Option<String>,
    },
    /// Records ended tasks.
    End(Vec<job::Ended>),
}

/// What applying a command gave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub enum Outcome {
    /// Done; nothing to tell.
    Done,
    /// The version now in force for this push.
    Pushed(u64),
    /// The key was withdrawn at this position of the log. The home zone, if any,
    /// must confirm.
    Withdrawn {
        /// Position in the log.
        at: u64,
        /// Zone that must confirm.
        home_zone: Option<String>,
    },
    /// The leadership in force.
    Led(Leadership),
    /// The job's identity, of this or of an earlier submission of the same.
    Submitted(job::Id),
    /// Refused.
    Refused(Error),
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Registry {
    /// Position in the log that this state reflects.
    pub applied: u64,
    /// Version of the configuration; rises by one with each accepted push.
    pub version: u64,
    /// Configuration in force.
    pub config: Config,
    /// Accepted pushes, oldest first.
    pub history: VecDeque<Push>,
    /// Keys by name.
    pub keys: BTreeMap<String, Key>,
    /// Digests of all keys that were ever given.
    pub digests: BTreeSet<[u8; 32]>,
    /// Rises with each change of a key.
    pub key_changes: u64,
    /// Leaderships by zone.
    pub zones: BTreeMap<String, Leadership>,
    /// Team limits divided among zones.
    pub limits: BTreeMap<String, Issuer<ZoneIndex>>,
    /// Zones in the order in which they were first seen.
    pub zone_names: Vec<String>,
    /// Jobs.
    pub jobs: job::Table,
}

/// Position of a zone in [`Registry::zone_names`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ZoneIndex(pub u16);

impl Command {
    /// Makes the push of `config` in place of version `replaces`, at an instance
    /// that has `base` in force.
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
    /// Applies the command at position `at` of the log.
    pub fn apply(&mut self, at: u64, command: &Command) -> Outcome {
        self.applied = at;
        match command {
            Command::Noop => Outcome::Done,
            Command::Push {
                replaces,
                digest,
                change,
                operator,
            } => self.push(*replaces, *digest, change, operator),
            Command::GiveKey { id, key } => self.give_key(id, key),
            Command::WithdrawKey { id } => self.withdraw_key(at, id),
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
        let at = self.zone_names.iter().position(|name| name == zone)?;
        Some(ZoneIndex(u16::try_from(at).ok()?))
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
            let message = "the instance that was asked lags behind; push again";
            return Outcome::Refused(Error::new(Kind::NoQuorum, message));
        }
        self.version += 1;
        self.config = config;
        self.history.push_back(Push {
            version: self.version,
            digest,
            operator: operator.to_owned(),
        });
        if self.history.len() > HISTORY_MAX {
            self.history.pop_front();
        }
        self.sync_limits();
        Outcome::Pushed(self.version)
    }

    // A team that left the configuration keeps its issuer at capacity 0 until
    // all its units are back.
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
            let message = format!("key {id} was given before");
            return Outcome::Refused(Error::new(Kind::VersionConflict, message));
        }
        if !self.digests.insert(key.digest) {
            let message = "a key with this secret was given before";
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

    fn withdraw_key(&mut self, at: u64, id: &str) -> Outcome {
        let Some(key) = self.keys.get_mut(id) else {
            let message = format!("no key {id}");
            return Outcome::Refused(Error::new(Kind::NotFound, message));
        };
        if !key.withdrawn {
            key.withdrawn = true;
            key.withdrawn_at = at;
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
        let term = self.zones.get(zone).map_or(0, |led| led.term);
        if term != seen_term || !roster.iter().any(|m| m.id == leader) {
            let message = format!("zone {zone} is in term {term}");
            return Outcome::Refused(Error::new(Kind::VersionConflict, message));
        }
        if self.zone_index(zone).is_none() {
            self.zone_names.push(zone.to_owned());
        }
        let led = Leadership {
            term: term + 1,
            leader,
            roster: roster.to_vec(),
        };
        self.zones.insert(zone.to_owned(), led.clone());
        Outcome::Led(led)
    }

    fn transfer(&mut self, transfers: &[Transfer]) -> Outcome {
        for transfer in transfers {
            let Some(zone) = self.zone_index(&transfer.zone) else {
                continue;
            };
            let in_term = self
                .zones
                .get(&transfer.zone)
                .is_some_and(|led| led.term == transfer.term);
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
