//! The configuration of a task plane: queues, services and client accounts.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use super::types::Amount;

/// What asking for permission to use workers costs on a queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Permission {
    /// Milliseconds for one question.
    pub decide_ms: f64,
    /// Milliseconds more for each worker named.
    pub each_ms: f64,
    /// Milliseconds that a permission is valid.
    pub valid_ms: u64,
}

/// A queue.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Queue {
    /// Name.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Start of the paths that belong to it.
    pub prefix: String,
    /// Service whose workers run its tasks.
    pub service: String,
    /// Whether callers need no key.
    pub open: bool,
    /// Order among queues; 0 comes first and may preempt others.
    pub priority: u32,
    /// Failed runs after which a task is given up.
    pub attempts: u32,
    /// Response-time goal as a multiple of the job's longest chain.
    pub stretch: f64,
    /// Part of the response-time goal that does not depend on the job, in
    /// milliseconds.
    pub goal_ms: u64,
    /// Longest time that a caller is kept, in milliseconds.
    pub timeout_ms: u64,
    /// Permission that its steps need.
    pub permission: Option<Permission>,
}

/// Workers under one name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Path at which its workers answer for their health.
    pub health_path: String,
    /// Whether its workers are off.
    pub spare: bool,
}

/// A client account.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Account {
    /// Name.
    pub name: String,
    /// Keys.
    pub keys: Vec<String>,
    /// Share when all is full.
    pub weight: u64,
    /// What it may have running; 0 means no limit.
    pub cap: Amount,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Bytes of the head of a request.
    pub head_bytes: usize,
    /// Bytes of the body of a request.
    pub body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 256 << 10,
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Plan {
    /// Version; the highest one is in force.
    pub version: u64,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Services.
    pub services: Vec<Service>,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Limits.
    pub limits: Limits,
}

/// Why a configuration is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Invalid {
    /// A queue names a service that is not in the configuration.
    #[snafu(display("queue {queue} names the unknown service {service}"))]
    Service {
        /// Queue.
        queue: String,
        /// Service.
        service: String,
    },
    /// Two queues have the same place.
    #[snafu(display("two queues are at {host} {prefix}"))]
    Place {
        /// Host.
        host: String,
        /// Path prefix.
        prefix: String,
    },
    /// A queue has no timeout.
    #[snafu(display("queue {queue} has a timeout of 0"))]
    Timeout {
        /// Queue.
        queue: String,
    },
    /// Two client accounts share a key.
    #[snafu(display("accounts {first} and {second} share a key"))]
    SharedKey {
        /// One of them.
        first: String,
        /// The other.
        second: String,
    },
}

impl Plan {
    /// Checks what the types alone do not ensure.
    ///
    /// # Errors
    ///
    /// Returns the first rule that is broken.
    pub fn check(&self) -> Result<(), Invalid> {
        let services: HashSet<&str> = self.services.iter().map(|s| s.name.as_str()).collect();
        let mut places = HashSet::new();
        for queue in &self.queues {
            let known = services.contains(queue.service.as_str());
            ensure!(
                known,
                ServiceSnafu {
                    queue: &queue.name,
                    service: &queue.service
                }
            );
            ensure!(
                places.insert((&queue.host, &queue.prefix)),
                PlaceSnafu {
                    host: &queue.host,
                    prefix: &queue.prefix
                }
            );
            ensure!(queue.timeout_ms > 0, TimeoutSnafu { queue: &queue.name });
        }
        let mut owners: HashMap<&str, &str> = HashMap::new();
        for account in &self.accounts {
            for key in &account.keys {
                let former = owners.insert(key, &account.name);
                if let Some(first) = former.filter(|first| *first != account.name) {
                    return SharedKeySnafu {
                        first,
                        second: &account.name,
                    }
                    .fail();
                }
            }
        }
        Ok(())
    }

    /// Returns the queue of a host and path: the one with the longest prefix.
    pub fn queue_at(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|q| q.host.eq_ignore_ascii_case(host) && path.starts_with(&q.prefix))
            .max_by_key(|q| q.prefix.len())
    }

    /// Returns the client account that holds a key.
    pub fn account_of(&self, key: &str) -> Option<&Account> {
        use subtle::ConstantTimeEq;
        // Every key is compared, so that timing tells nothing of any of them.
        let mut found = None;
        for account in &self.accounts {
            for known in &account.keys {
                if bool::from(known.as_bytes().ct_eq(key.as_bytes())) {
                    found = Some(account);
                }
            }
        }
        found
    }
}
