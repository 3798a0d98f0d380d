//! One upstream as its zone leader sees it.

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

/// Most slots that one upstream may announce.
const SLOTS_MAX: u32 = 4_096;
/// Most connections that one upstream may announce.
const CONNECTIONS_MAX: u32 = 65_536;

/// One heartbeat of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    /// What it announces.
    pub announcement: Announcement,
    /// Whether it takes nothing new.
    pub leaving: bool,
    /// Requests that it runs, by the instance that sent them, if it counts them.
    pub running: Option<BTreeMap<InstanceId, u32>>,
    /// What the latest answer to a heartbeat carried; the counts are younger.
    pub seen: Option<Seen>,
}

/// Mark that a zone leader gives with its answer and that the next heartbeat
/// repeats, so that the leader knows what that heartbeat is younger than.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[display("{term}-{}", at.0)]
pub struct Seen {
    /// Term of the leadership.
    pub term: u64,
    /// Leader's clock when it answered.
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
        parse().ok_or_else(|| Error::new(Kind::BadAnnouncement, "`seen` is not a mark"))
    }
}

/// An upstream and the accounts of its slots.
#[derive(Debug)]
pub struct Host {
    announcement: Announcement,
    issuer: Issuer<InstanceId>,
    heard: Moment,
    leaving: bool,
    silent: bool,
    clear: bool,
}

impl Host {
    /// Makes an upstream.
    pub const fn new(announcement: Announcement, issuer: Issuer<InstanceId>, now: Moment) -> Self {
        Self {
            announcement,
            issuer,
            heard: now,
            leaving: false,
            silent: false,
            clear: false,
        }
    }

    /// Takes a heartbeat; yields whether holders must be told.
    pub fn take(&mut self, now: Moment, beat: &Heartbeat) -> bool {
        let limit = beat.announcement.slots.min(beat.announcement.connections);
        let was_leaving = self.is_leaving();
        let changed = self.announcement != beat.announcement;
        self.announcement = beat.announcement.clone();
        self.issuer.set_capacity(u64::from(limit));
        self.heard = now;
        self.silent = false;
        self.leaving |= beat.leaving;
        changed || was_leaving != self.is_leaving()
    }

    /// Returns its latest announcement.
    pub const fn announcement(&self) -> &Announcement {
        &self.announcement
    }

    /// Returns the accounts of its slots.
    pub const fn issuer(&self) -> &Issuer<InstanceId> {
        &self.issuer
    }

    /// Returns the accounts of its slots.
    pub const fn issuer_mut(&mut self) -> &mut Issuer<InstanceId> {
        &mut self.issuer
    }

    /// Returns when it was last heard.
    pub const fn heard(&self) -> Moment {
        self.heard
    }

    /// Returns whether it gets nothing new.
    pub const fn is_leaving(&self) -> bool {
        self.leaving || self.silent
    }

    /// Gives it nothing new until it is heard again.
    pub const fn leave(&mut self) {
        self.silent = true;
    }

    /// Returns whether slots used under earlier leaders are all accounted for.
    pub const fn is_clear(&self) -> bool {
        self.clear
    }

    /// Records that slots used under earlier leaders are all accounted for.
    pub const fn clear(&mut self) {
        self.clear = true;
    }

    /// Returns whether its free slots may be given.
    pub const fn is_usable(&self) -> bool {
        self.clear && !self.is_leaving()
    }

    /// Returns what entry instances need to know.
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

/// Checks that an announcement is credible.
///
/// # Errors
///
/// Fails with [`Kind::BadAnnouncement`] and says what is wrong.
pub fn check(a: &Announcement) -> Result<()> {
    let bad = |message: String| Err(Error::new(Kind::BadAnnouncement, message));
    if !is_name(&a.name) || !is_name(&a.service) || !is_name(&a.zone) {
        return bad("name, service and zone need letters, digits, `-`, `_` or `.`".into());
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
