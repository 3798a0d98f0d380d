//! Upstreams that an entry instance may send to, indexed by load.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{ServiceKey, SourceKey, UpstreamKey};
use crate::core::escrow::{Cell, Holding};
use crate::core::time::Moment;

/// First pause after a failed exchange.
const SUSPEND_BASE: Duration = Duration::from_millis(250);
/// Longest pause after repeated failures.
const SUSPEND_CAP: Duration = Duration::from_secs(10);
/// Scale of the load ratio in the index.
const LOAD_SCALE: u64 = 1_024;

/// What an upstream announced of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Unique name within its availability zone.
    pub name: String,
    /// Number that rises with each restart of the upstream.
    pub incarnation: u64,
    /// Service that it answers for.
    pub service: String,
    /// Availability zone that it runs in.
    pub zone: String,
    /// Address that takes requests.
    pub address: std::net::SocketAddr,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Connections that it accepts at once.
    pub connections: u32,
}

/// One upstream as an entry instance sees it.
#[derive(Debug)]
pub struct Upstream {
    /// Its latest announcement.
    pub announcement: Announcement,
    cell: Cell,
    /// Service it answers for.
    pub service: ServiceKey,
    /// Zone leader that allots its slots.
    pub source: SourceKey,
    /// Slots allotted to this entry instance.
    pub holding: Holding,
    /// Whether it takes no new requests.
    pub leaving: bool,
    /// Whether it is in another availability zone than this entry instance.
    pub remote: bool,
    suspended_until: Moment,
    failures: u32,
    indexed: Option<Load>,
}

/// Order of choice: own zone first, then least loaded, then rotation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Load {
    remote: bool,
    ratio: u64,
    turn: u64,
    key: UpstreamKey,
}

/// Upstreams of one service with an idle slot.
#[derive(Debug, Default)]
pub struct Index {
    idle: BTreeSet<Load>,
    turn: u64,
}

impl Upstream {
    /// Makes an upstream without allotted slots.
    pub fn new(
        announcement: Announcement,
        service: ServiceKey,
        source: SourceKey,
        remote: bool,
    ) -> Self {
        Self {
            cell: cell_of(&announcement),
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

    /// Returns the cell that its slots are allotted under.
    pub const fn cell(&self) -> Cell {
        self.cell
    }

    /// Records an exchange that failed: the upstream is avoided for a while.
    pub fn record_failure(&mut self, now: Moment) {
        let pause = SUSPEND_BASE
            .saturating_mul(1 << self.failures.min(8))
            .min(SUSPEND_CAP);
        self.failures = self.failures.saturating_add(1);
        self.suspended_until = now + pause;
    }

    /// Records an exchange that succeeded.
    pub const fn record_success(&mut self) {
        self.failures = 0;
        self.suspended_until = Moment::ZERO;
    }

    /// Returns whether it is avoided at `now`.
    pub fn is_suspended(&self, now: Moment) -> bool {
        now < self.suspended_until
    }
}

/// Returns the cell of the slots of one incarnation of an upstream.
pub fn cell_of(announcement: &Announcement) -> Cell {
    let name = format!(
        "{}/{}/{}",
        announcement.zone, announcement.name, announcement.incarnation
    );
    crate::util::cell_named(&name)
}

impl Index {
    /// Brings the index up to date with one upstream.
    pub fn refresh(&mut self, key: UpstreamKey, upstream: &mut Upstream) {
        if let Some(old) = upstream.indexed.take() {
            self.idle.remove(&old);
        }
        if upstream.leaving || upstream.holding.idle() == 0 {
            return;
        }
        self.turn += 1;
        let load = Load {
            remote: upstream.remote,
            ratio: upstream.holding.in_use() * LOAD_SCALE / upstream.holding.allowed().max(1),
            turn: self.turn,
            key,
        };
        self.idle.insert(load);
        upstream.indexed = Some(load);
    }

    /// Takes one upstream out of the index.
    pub fn drop_entry(&mut self, upstream: &mut Upstream) {
        if let Some(old) = upstream.indexed.take() {
            self.idle.remove(&old);
        }
    }

    /// Returns upstreams with an idle slot in the order of choice.
    pub fn candidates(&self) -> impl Iterator<Item = UpstreamKey> {
        self.idle.iter().map(|load| load.key)
    }
}
