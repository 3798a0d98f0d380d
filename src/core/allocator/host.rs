//! State of one upstream at its zone leader.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::config::is_name;
use crate::core::escrow::Issuer;
use crate::core::gate::Announcement;
use crate::core::registry::InstanceId;
use crate::core::time::Moment;
use crate::error::{Error, Kind, Result};
use crate::wire;

/// Largest number of slots that an upstream may announce.
const SLOTS_MAX: u32 = 4_096;
/// Largest number of connections that an upstream may announce.
const CONNECTIONS_MAX: u32 = 65_536;

/// Heartbeat of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    /// Description of the upstream.
    pub announcement: Announcement,
    /// Whether it accepts no new requests.
    pub leaving: bool,
    /// Numbers of running requests by the entry instance that sent them, if the upstream
    /// counts them.
    pub running: Option<BTreeMap<InstanceId, u32>>,
    /// Timestamp in the latest answer to a heartbeat. The counts were made after it.
    pub seen: Option<Seen>,
}

/// Timestamp of a zone leader's answer to a heartbeat.
///
/// The next heartbeat repeats it, which gives the leader a lower bound, on its own clock,
/// for the time at which that heartbeat's counts were made.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[display("{term}-{}", at.0)]
pub struct Seen {
    /// Leadership term.
    pub term: u64,
    /// Time of the answer on the leader's clock.
    pub at: Moment,
}

impl std::str::FromStr for Seen {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let parse = || {
            let (term, at) = text.split_once('-')?;
            Some(Self {
                term: term.parse().ok()?,
                at: Moment(at.parse().ok()?),
            })
        };
        parse().ok_or_else(|| Error::new(Kind::BadAnnouncement, "`seen` must be TERM-MICROSECONDS"))
    }
}

/// An upstream and the accounts of its slots.
#[derive(Debug)]
pub struct Upstream {
    announcement: Announcement,
    issuer: Issuer<InstanceId>,
    last_heard: Moment,
    leaving: bool,
    silent: bool,
    reconciled: bool,
}

impl Upstream {
    /// Returns an upstream whose first heartbeat arrived at `now`.
    pub const fn new(announcement: Announcement, issuer: Issuer<InstanceId>, now: Moment) -> Self {
        Self {
            announcement,
            issuer,
            last_heard: now,
            leaving: false,
            silent: false,
            reconciled: false,
        }
    }

    /// Records a heartbeat and returns whether holders must be notified of a change.
    pub fn update(&mut self, now: Moment, heartbeat: &Heartbeat) -> bool {
        let limit = heartbeat
            .announcement
            .slots
            .min(heartbeat.announcement.connections);
        let was_leaving = self.is_leaving();
        let changed = self.announcement != heartbeat.announcement;
        self.announcement = heartbeat.announcement.clone();
        self.issuer.set_capacity(u64::from(limit));
        self.last_heard = now;
        self.silent = false;
        self.leaving |= heartbeat.leaving;
        changed || was_leaving != self.is_leaving()
    }

    /// Returns the latest announcement.
    pub const fn announcement(&self) -> &Announcement {
        &self.announcement
    }

    /// Returns the accounts of its slots.
    pub const fn issuer(&self) -> &Issuer<InstanceId> {
        &self.issuer
    }

    /// Returns the accounts of its slots for changes.
    pub const fn issuer_mut(&mut self) -> &mut Issuer<InstanceId> {
        &mut self.issuer
    }

    /// Returns the time of the last heartbeat.
    pub const fn last_heard(&self) -> Moment {
        self.last_heard
    }

    /// Returns whether it is sent no new requests, as it is leaving or silent.
    pub const fn is_leaving(&self) -> bool {
        self.leaving || self.silent
    }

    /// Stops new requests to it until the next heartbeat.
    pub const fn set_silent(&mut self) {
        self.silent = true;
    }

    /// Returns whether all slots in use under earlier leaders are accounted for.
    pub const fn is_reconciled(&self) -> bool {
        self.reconciled
    }

    /// Records that all slots in use under earlier leaders are accounted for.
    pub const fn set_reconciled(&mut self) {
        self.reconciled = true;
    }

    /// Returns whether its free slots may be given to holders.
    pub const fn is_usable(&self) -> bool {
        self.reconciled && !self.is_leaving()
    }

    /// Returns the description sent to entry instances.
    pub fn info(&self) -> wire::UpstreamInfo {
        let a = &self.announcement;
        wire::UpstreamInfo {
            name: a.name.clone(),
            incarnation: a.incarnation,
            service: a.service.clone(),
            address: a.address.to_string(),
            slots: a.slots,
            connections: a.connections,
            leaving: self.is_leaving(),
            gone: false,
        }
    }
}

/// Validates an announcement.
///
/// # Errors
///
/// Fails with [`Kind::BadAnnouncement`] if a name, a count or the address is invalid.
pub fn validate(a: &Announcement) -> Result<()> {
    let bad = |message: String| Err(Error::new(Kind::BadAnnouncement, message));
    if !is_name(&a.name) || !is_name(&a.service) || !is_name(&a.zone) {
        return bad("name, service and zone may have letters, digits, `-`, `_` and `.`".into());
    }
    if a.slots == 0 || a.slots > SLOTS_MAX {
        return bad(format!("slots must be from 1 to {SLOTS_MAX}"));
    }
    if a.connections == 0 || a.connections > CONNECTIONS_MAX {
        return bad(format!("connections must be from 1 to {CONNECTIONS_MAX}"));
    }
    let ip = a.address.ip();
    if ip.is_unspecified() || ip.is_multicast() || a.address.port() == 0 {
        return bad(format!("{} takes no requests", a.address));
    }
    Ok(())
}
