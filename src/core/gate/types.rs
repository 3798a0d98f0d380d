//! Input and output types of the gate.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::time::Moment;
use crate::error::Kind;

/// Key of a team in the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TeamKey(pub u32);

/// Key of a service in the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceKey(pub u32);

/// Key of an upstream in the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UpstreamKey(pub u32);

/// Key of a zone whose leader allots capacity to this entry instance.
#[derive(
    Default, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SourceKey(pub u16);

/// Identifier of a waiting request. Later requests have higher ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ticket(pub u64);

impl Ticket {
    /// Sorts after every issued ticket.
    pub const MAX: Self = Self(u64::MAX);
}

/// Attributes of a request that its admission depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Team of the API key sent with the request.
    pub team: TeamKey,
    /// Requested service.
    pub service: ServiceKey,
    /// Value to the caller of an answer in time, in any unit. Compared only within a team.
    pub worth: u64,
    /// Time after which an answer is useless to the caller.
    pub deadline: Moment,
}

/// A slot of an upstream and a unit of a team's limit in use for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Upstream that the request is sent to.
    pub upstream: UpstreamKey,
    /// Team of the request.
    pub team: TeamKey,
    /// Service of the request.
    pub service: ServiceKey,
    /// Time at which the slot was acquired.
    pub at: Moment,
}

/// Reason for refusing a request, and when to retry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Error kind returned to the caller.
    pub kind: Kind,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
}

/// Numbers of requests of one team for one service at one entry instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Requested service.
    pub service: ServiceKey,
    /// Team of the requests.
    pub team: TeamKey,
    /// Requests waiting.
    pub waiting: u64,
    /// Requests running.
    pub running: u64,
}

/// Decision on a submitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request starts now.
    Start(Assignment),
    /// The request was queued.
    Wait {
        /// Identifier of the waiting request.
        ticket: Ticket,
        /// Lower-ranked request that was removed from the full queue to make room.
        displaced: Option<Ticket>,
    },
    /// The request was not admitted.
    Refuse(Refusal),
}

/// Outcome of an exchange with an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// A complete answer was received.
    Answered,
    /// The exchange failed or timed out.
    Failed,
    /// The request was not sent.
    Unsent,
}

/// Statistics of one team at one entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamStat {
    /// Name of the team.
    pub team: String,
    /// Configured weight of the team in fair queueing.
    pub share: u32,
    /// Requests that received a complete answer.
    pub completed: u64,
    /// Time for which slots were in use, summed over all requests that were sent.
    pub slot_time: Duration,
    /// Requests running.
    pub running: u64,
    /// Units of the team's limit allotted to this entry instance.
    pub allowed: u64,
    /// Requests waiting.
    pub waiting: u64,
}
