//! Differences between configurations, so that a small change to a large configuration is
//! replicated as a small message.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::config::{Cell, Config, Queue, Service, Team};

/// Changed entries of one section kind by name; `None` marks a removed entry.
type Entries<T> = BTreeMap<String, Option<T>>;

/// The difference between two configurations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    cell: Option<Cell>,
    teams: Entries<Team>,
    services: Entries<Service>,
    queues: Entries<Queue>,
}

impl Change {
    /// Returns the change that turns `old` into `new`.
    pub fn between(old: &Config, new: &Config) -> Self {
        Self {
            cell: (old.cell != new.cell).then(|| new.cell.clone()),
            teams: diff(&old.teams, &new.teams),
            services: diff(&old.services, &new.services),
            queues: diff(&old.queues, &new.queues),
        }
    }

    /// Returns `old` with this change applied.
    pub fn applied_to(&self, old: &Config) -> Config {
        Config {
            cell: self.cell.clone().unwrap_or_else(|| old.cell.clone()),
            teams: apply(&old.teams, &self.teams),
            services: apply(&old.services, &self.services),
            queues: apply(&old.queues, &self.queues),
        }
    }
}

fn diff<T: Clone + PartialEq>(old: &BTreeMap<String, T>, new: &BTreeMap<String, T>) -> Entries<T> {
    let removed = old
        .keys()
        .filter(|name| !new.contains_key(*name))
        .map(|name| (name.clone(), None));
    let changed = new
        .iter()
        .filter(|(name, entry)| old.get(*name) != Some(entry))
        .map(|(name, entry)| (name.clone(), Some(entry.clone())));
    removed.chain(changed).collect()
}

fn apply<T: Clone>(old: &BTreeMap<String, T>, entries: &Entries<T>) -> BTreeMap<String, T> {
    let mut new = old.clone();
    for (name, entry) in entries {
        match entry {
            Some(entry) => new.insert(name.clone(), entry.clone()),
            None => new.remove(name),
        };
    }
    new
}
