//! Upstreams that an entry instance can send requests to, indexed by load.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{ServiceKey, SourceKey, UpstreamKey};
use crate::core::escrow::{Holding, ResourceId};
use crate::core::time::Moment;

/// Suspension of an upstream after one failed exchange; doubles with each further one.
const SUSPENSION_MIN: Duration = Duration::from_millis(250);
/// Longest suspension after repeated failures.
const SUSPENSION_MAX: Duration = Duration::from_secs(10);
/// Fixed-point factor of the ratio of slots in use to slots allotted.
const LOAD_SCALE: u64 = 1_024;

/// Description that an upstream publishes of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Unique name within its availability zone.
    pub name: String,
    /// Number that rises with each restart of the upstream.
    pub incarnation: u64,
    /// Service that it provides.
    pub service: String,
    /// Availability zone in which it runs.
    pub zone: String,
    /// Address on which it accepts requests.
    pub address: std::net::SocketAddr,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Number of connections that it accepts concurrently.
    pub connections: u32,
}

/// State of one upstream at an entry instance.
#[derive(Debug)]
pub struct Upstream {
    /// Latest announcement.
    pub announcement: Announcement,
    resource: ResourceId,
    /// Key of the service that it provides.
    pub service: ServiceKey,
    /// Zone whose leader allots its slots.
    pub source: SourceKey,
    /// Slots allotted to this entry instance and those in use.
    pub holding: Holding,
    /// Whether it accepts no new requests.
    pub leaving: bool,
    /// Whether it is in another availability zone than this entry instance.
    pub remote: bool,
    suspended_until: Moment,
    failures: u32,
    indexed: Option<Load>,
}

/// Sort key of candidates: own zone first, then least loaded, then least recently updated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Load {
    remote: bool,
    ratio: u64,
    rotation: u64,
    key: UpstreamKey,
}

/// Upstreams of one service that have an idle slot, in the order of preference.
#[derive(Debug, Default)]
pub struct Index {
    entries: BTreeSet<Load>,
    rotation: u64,
}

impl Upstream {
    /// Returns an upstream without allotted slots.
    pub fn new(
        announcement: Announcement,
        service: ServiceKey,
        source: SourceKey,
        remote: bool,
    ) -> Self {
        Self {
            resource: resource_of(&announcement),
            announcement,
            service,
            source,
            holding: Holding::opened_with(0, 0),
            leaving: false,
            remote,
            suspended_until: Moment::ZERO,
            failures: 0,
            indexed: None,
        }
    }

    /// Returns the identifier under which its slots are allotted.
    pub const fn resource(&self) -> ResourceId {
        self.resource
    }

    /// Records a failed exchange and suspends the upstream, with exponential backoff.
    pub fn record_failure(&mut self, now: Moment) {
        let suspension = SUSPENSION_MIN
            .saturating_mul(1 << self.failures.min(8))
            .min(SUSPENSION_MAX);
        self.failures = self.failures.saturating_add(1);
        self.suspended_until = now + suspension;
    }

    /// Records a successful exchange, which ends a suspension.
    pub const fn record_success(&mut self) {
        self.failures = 0;
        self.suspended_until = Moment::ZERO;
    }

    /// Returns whether it is suspended at `now`. It is then chosen only as a last resort.
    pub fn is_suspended(&self, now: Moment) -> bool {
        now < self.suspended_until
    }
}

/// Returns the identifier under which the slots of one incarnation of an upstream are
/// allotted.
pub fn resource_of(announcement: &Announcement) -> ResourceId {
    let name = format!(
        "{}/{}/{}",
        announcement.zone, announcement.name, announcement.incarnation
    );
    crate::util::resource_id(&name)
}

impl Index {
    /// Updates the entry of one upstream after a change of its load or state.
    pub fn refresh(&mut self, key: UpstreamKey, upstream: &mut Upstream) {
        if let Some(old) = upstream.indexed.take() {
            self.entries.remove(&old);
        }
        if upstream.leaving || upstream.holding.idle() == 0 {
            return;
        }
        self.rotation += 1;
        let load = Load {
            remote: upstream.remote,
            ratio: upstream.holding.in_use() * LOAD_SCALE / upstream.holding.allowed().max(1),
            rotation: self.rotation,
            key,
        };
        self.entries.insert(load);
        upstream.indexed = Some(load);
    }

    /// Removes the entry of one upstream.
    pub fn remove(&mut self, upstream: &mut Upstream) {
        if let Some(old) = upstream.indexed.take() {
            self.entries.remove(&old);
        }
    }

    /// Returns the upstreams with an idle slot in the order of preference.
    pub fn candidates(&self) -> impl Iterator<Item = UpstreamKey> {
        self.entries.iter().map(|load| load.key)
    }
}
