//! Configuration of the task plane: queues, services and client accounts.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use super::types::Resources;

/// Cost and validity of permits for the workers of a queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Permission {
    /// Fixed time that the permission service takes per request, in milliseconds.
    pub decide_ms: f64,
    /// Additional time per worker named in the request, in milliseconds.
    pub each_ms: f64,
    /// Time for which a permit is valid, in milliseconds.
    pub valid_ms: u64,
}

/// Queue that callers submit jobs to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Queue {
    /// Name, which identifies the queue across versions.
    pub name: String,
    /// Host name of the requests that belong to the queue.
    pub host: String,
    /// Path prefix of the requests that belong to the queue.
    pub prefix: String,
    /// Service whose workers run the queue's tasks.
    pub service: String,
    /// Whether callers may use the queue without a key.
    pub open: bool,
    /// Priority among queues. 0 is the highest, and may preempt others.
    pub priority: u32,
    /// Number of failed runs after which a task fails its job.
    pub attempts: u32,
    /// Response-time goal relative to the job's critical path.
    pub stretch: f64,
    /// Fixed part of the response-time goal, in milliseconds.
    pub goal_ms: u64,
    /// Maximum time in which a caller gets an answer, in milliseconds.
    pub timeout_ms: u64,
    /// Permit that each step of the queue needs, if any.
    pub permission: Option<Permission>,
}

/// Named group of workers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Service {
    /// Name that queues refer to.
    pub name: String,
    /// Path of the workers' health check.
    pub health_path: String,
    /// Whether the service's workers are switched off.
    pub spare: bool,
}

/// Client account.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Account {
    /// Name, which identifies the account across versions.
    pub name: String,
    /// Secret keys that identify the account.
    pub keys: Vec<String>,
    /// Fair-share weight when all resources are in use.
    pub weight: u64,
    /// Maximum resources in use at any time; 0 means no limit.
    pub cap: Resources,
}

/// Limits on the size of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Maximum size of the request line and headers.
    pub head_bytes: usize,
    /// Maximum size of the body.
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

/// Configuration of the task plane in one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Config {
    /// Version. The highest one applies; 0 means that none was received.
    pub version: u64,
    /// Queues that accept jobs.
    pub queues: Vec<Queue>,
    /// Services that queues can name.
    pub services: Vec<Service>,
    /// Client accounts with valid keys.
    pub accounts: Vec<Account>,
    /// Limits on callers' requests.
    pub limits: Limits,
}

/// Reason for rejecting a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Invalid {
    /// A queue names an undefined service.
    #[snafu(display("queue {queue} refers to the undefined service {service}"))]
    Service {
        /// Name of the queue.
        queue: String,
        /// Name of the undefined service.
        service: String,
    },
    /// Two queues have the same host and path prefix.
    #[snafu(display("two queues have the host {host} and the path prefix {prefix}"))]
    Place {
        /// Host name.
        host: String,
        /// Path prefix.
        prefix: String,
    },
    /// A queue has a timeout of zero.
    #[snafu(display("queue {queue} has a timeout of 0"))]
    Timeout {
        /// Name of the queue.
        queue: String,
    },
    /// Two client accounts have the same key.
    #[snafu(display("accounts {first} and {second} have a key in common"))]
    SharedKey {
        /// Name of the first account.
        first: String,
        /// Name of the second account.
        second: String,
    },
}

impl Config {
    /// Checks the consistency rules that the types alone do not ensure.
    ///
    /// # Errors
    ///
    /// Returns the first violation found.
    pub fn validate(&self) -> Result<(), Invalid> {
        let services: HashSet<&str> = self.services.iter().map(|s| s.name.as_str()).collect();
        let mut routes = HashSet::new();
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
                routes.insert((&queue.host, &queue.prefix)),
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
                let previous = owners.insert(key, &account.name);
                if let Some(first) = previous.filter(|first| *first != account.name) {
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

    /// Returns the queue for a request's host and path. The longest matching prefix wins.
    pub fn queue_at(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|q| q.host.eq_ignore_ascii_case(host) && path.starts_with(&q.prefix))
            .max_by_key(|q| q.prefix.len())
    }

    /// Returns the client account that a key belongs to.
    pub fn account_of(&self, key: &str) -> Option<&Account> {
        use subtle::ConstantTimeEq;
        // Compares all keys in constant time, so that the response time reveals nothing
        // about any of them.
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
