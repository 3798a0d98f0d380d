//! The operators' configuration: a folder of INI files, merged in the order of
//! their names into one canonical form.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use crate::merge::{Fault, Source, is_name, line_of, merge, read_folder};
use crate::util::sha256;

/// Largest share of a team.
pub const SHARE_MAX: u32 = 1_000_000;
/// Longest name of a team, service, queue or zone, in bytes.
pub const NAME_MAX: usize = 64;

/// What an instance does with a key that it cannot verify.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StaleKeys {
    /// Refuses it as not run.
    #[default]
    Refuse,
    /// Takes it, though it may have been withdrawn.
    Serve,
}

/// How tasks of a queue are placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Fills workers up one after the other.
    #[default]
    Pack,
    /// Spreads over racks and workers.
    Spread,
}

/// Which team's task starts first when several wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// The team furthest below its share first.
    #[default]
    Share,
    /// The task that has waited longest relative to its run time first.
    Wait,
}

/// Settings of the whole cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cell {
    /// Availability zones that may exist; empty admits any.
    pub zones: Vec<String>,
    /// Upper bound of any team's limit; zero leaves it open.
    pub fleet: u64,
    /// How old the last word of the root group may be for a key to be taken.
    pub freshness: Duration,
    /// How long the answer to a claimed request is kept.
    pub claim_retention: Duration,
    /// How tasks of different teams are ordered.
    pub order: Order,
}

impl Default for Cell {
    fn default() -> Self {
        Self {
            zones: Vec::new(),
            fleet: 0,
            freshness: Duration::from_millis(1_500),
            claim_retention: Duration::from_secs(600),
            order: Order::Share,
        }
    }
}

/// A team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Weight when the fleet is full.
    pub share: u32,
    /// Upper limit on running requests and tasks over the fleet.
    pub limit: u64,
    /// What instances do with its keys when these cannot be verified.
    pub stale_keys: StaleKeys,
}

/// A service that upstreams answer for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Deadline of a request that names none.
    pub deadline: Duration,
    /// Longest time that an upstream works on a request once it was sent.
    pub run_limit: Duration,
    /// Largest body of a request, in bytes.
    pub body_limit: u64,
    /// Largest body of an answer, in bytes.
    pub answer_limit: u64,
    /// Requests that one team may have waiting at one entry instance.
    pub queue_limit: usize,
    /// Whether POST counts as idempotent.
    pub post_idempotent: bool,
    /// Team that requests without a key count for; none admits only keys.
    pub open: Option<String>,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            deadline: Duration::from_secs(10),
            run_limit: Duration::from_secs(10),
            body_limit: 1 << 20,
            answer_limit: 4 << 20,
            queue_limit: crate::core::gate::DEFAULT_QUEUE_LIMIT,
            post_idempotent: false,
            open: None,
        }
    }
}

/// A queue for jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    /// How its tasks are placed.
    pub policy: Policy,
    /// Team that jobs without a key count for; none admits only keys.
    pub open: Option<String>,
}

/// The merged configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Settings of the whole cell.
    pub cell: Cell,
    /// Teams by name.
    pub teams: BTreeMap<String, Team>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Job queues by name.
    pub queues: BTreeMap<String, Queue>,
}

impl Config {
    /// Returns the digest of the canonical form.
    pub fn digest(&self) -> [u8; 32] {
        let bytes = postcard::to_allocvec(self).expect("configuration encodes");
        sha256(&bytes)
    }
}
