//! What goes into the gate and what comes out.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::time::Moment;
use crate::error::Kind;

/// Addresses a team in the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TeamKey(pub u32);

/// Addresses a service in the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceKey(pub u32);

/// Addresses an upstream in the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UpstreamKey(pub u32);

/// Addresses a zone leader that allots capacity.
#[derive(
    Default, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SourceKey(pub u16);

/// Names a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ticket(pub u64);

impl Ticket {
    /// Sorts after every ticket in use.
    pub const MAX: Self = Self(u64::MAX);
}

/// What the gate needs to know of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Team whose key came with it.
    pub team: TeamKey,
    /// Service it is for.
    pub service: ServiceKey,
    /// Worth to the caller if answered in time; any unit, compared within a team.
    pub worth: u64,
    /// When the answer stops being of use.
    pub deadline: Moment,
}

/// A slot and a unit of team limit in use for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Upstream to send to.
    pub upstream: UpstreamKey,
    /// Team that the request counts for.
    pub team: TeamKey,
    /// Service of the request.
    pub service: ServiceKey,
    /// When the slot was taken.
    pub at: Moment,
}

/// Why and with what advice a request was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Kind of the refusal.
    pub kind: Kind,
    /// When the caller should come back.
    pub retry_after: Duration,
}

/// Requests of one team for one service at one entry instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Service.
    pub service: ServiceKey,
    /// Team.
    pub team: TeamKey,
    /// Requests waiting.
    pub waiting: u64,
    /// Requests running.
    pub running: u64,
}

/// Answer to a submitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Runs now.
    Start(Assignment),
    /// Waits. The ticket in `displaced`, if any, has lost its place.
    Wait {
        /// Names the waiting request.
        ticket: Ticket,
        /// Request of less worth that was removed from the full queue.
        displaced: Option<Ticket>,
    },
    /// Not taken.
    Refuse(Refusal),
}

/// How an exchange with an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exchange {
    /// A whole answer came.
    Answered,
    /// It failed or timed out.
    Failed,
    /// It was never sent.
    Unsent,
}

/// Figures of one team at one entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamStat {
    /// Name of the team.
    pub team: String,
    /// Its configured share.
    pub share: u32,
    /// Requests answered whole.
    pub completed: u64,
    /// Slot time used.
    pub slot_time: Duration,
    /// Requests running.
    pub running: u64,
    /// Units of its limit allotted here.
    pub allowed: u64,
    /// Requests waiting.
    pub waiting: u64,
}
