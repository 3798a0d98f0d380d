//! Cluster configuration: a folder of INI files that are merged in the order of their names
//! into one canonical form.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use crate::merge::{Fault, Source, is_name, line_of, merge, read_folder};
use crate::util::sha256;

/// Largest share that a team can have.
pub const SHARE_MAX: u32 = 1_000_000;
/// Longest name of a team, service, queue or zone, in bytes.
pub const NAME_MAX_BYTES: usize = 64;

/// Treatment of a key that an instance cannot verify against the root group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StaleKeys {
    /// Refuses the request, which does not run.
    #[default]
    Refuse,
    /// Accepts the key although it may have been withdrawn.
    Serve,
}

/// Placement policy of a queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Bin packing: prefers workers that are already in use.
    #[default]
    Pack,
    /// Spreads tasks over racks and workers.
    Spread,
}

/// Order in which waiting tasks of different teams are started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Fair share: the team furthest below its share first.
    #[default]
    Share,
    /// The task that has waited longest relative to its run time first.
    Wait,
}

/// Settings of the cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cell {
    /// Permitted availability zones; empty permits any.
    pub zones: Vec<String>,
    /// Upper bound of every team's limit; zero means none.
    pub fleet: u64,
    /// Longest time since the last confirmed contact with the root group for which keys still
    /// count as verified.
    pub freshness: Duration,
    /// Time for which the outcome of a claimed request is kept.
    pub claim_retention: Duration,
    /// Order of waiting tasks of different teams.
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

/// Settings of a team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Fair-share weight, which applies when capacity is scarce.
    pub share: u32,
    /// Maximum number of running requests and tasks in the whole fleet.
    pub limit: u64,
    /// Treatment of its keys when they cannot be verified.
    pub stale_keys: StaleKeys,
}

/// Settings of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Deadline of a request without an `X-Deadline-Ms` header.
    pub deadline: Duration,
    /// Longest time that an upstream may work on a request after it was sent.
    pub run_limit: Duration,
    /// Largest body of a request, in bytes.
    pub body_limit: u64,
    /// Largest body of a response, in bytes.
    pub answer_limit: u64,
    /// Maximum number of requests of one team that wait at one entry instance.
    pub queue_limit: usize,
    /// Whether POST requests count as idempotent by default.
    pub post_idempotent: bool,
    /// Team to which requests without a key are accounted. If none, a key is required.
    pub open: Option<String>,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            deadline: Duration::from_secs(10),
            run_limit: Duration::from_secs(10),
            body_limit: 1 << 20,
            answer_limit: 4 << 20,
            queue_limit: crate::core::gate::DEFAULT_MAX_QUEUED_REQUESTS,
            post_idempotent: false,
            open: None,
        }
    }
}

/// Settings of a job queue.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    /// Placement policy of its tasks.
    pub policy: Policy,
    /// Team to which jobs without a key are accounted. If none, a key is required.
    pub open: Option<String>,
}

/// A merged configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Settings of the cell.
    pub cell: Cell,
    /// Teams by name.
    pub teams: BTreeMap<String, Team>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Job queues by name.
    pub queues: BTreeMap<String, Queue>,
}

impl Config {
    /// Returns the SHA-256 digest of the canonical form.
    pub fn digest(&self) -> [u8; 32] {
        let bytes = postcard::to_allocvec(self).expect("configuration encodes");
        sha256(&bytes)
    }
}
