//! Messages that instances exchange over peer links, encoded with protobuf.

mod handshake;
mod raft;

use bytes::Bytes;
use prost::{Message, Oneof};

pub use handshake::{Challenge, Hello, Proof};
pub use raft::{
    Append, AppendReply, Entry, Observe, Raft, RaftBody, SnapshotPart, SnapshotReply, TimeoutNow,
    Vote, VoteReply, Voter,
};

/// Version of the protocol. A link to a peer of another version is refused, with an
/// error that names both versions.
pub const VERSION: u32 = 1;
/// Largest frame that is accepted after the handshake.
pub const FRAME_MAX_BYTES: usize = 4 << 20;

/// Frame of a peer link.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Message in the frame.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12")]
    pub body: Option<Body>,
}

/// Message in a frame.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Raft message of the root group.
    #[prost(message, tag = "1")]
    Raft(Raft),
    /// Heartbeat of the link, with addresses of known peers.
    #[prost(message, tag = "2")]
    Ping(Ping),
    /// Remote call, answered by one [`Return`].
    #[prost(message, tag = "3")]
    Call(Call),
    /// Answer to a call.
    #[prost(message, tag = "4")]
    Return(Return),
    /// Request of a zone leader or candidate to the root group for the zone's lease.
    #[prost(message, tag = "5")]
    LeaseRequest(LeaseRequest),
    /// Reply to a lease request.
    #[prost(message, tag = "6")]
    LeaseReply(LeaseReply),
    /// Request of a zone leader for the promise of a member of its roster.
    #[prost(message, tag = "7")]
    PromiseRequest(LeaseRequest),
    /// Reply to a promise request.
    #[prost(message, tag = "8")]
    PromiseReply(LeaseReply),
    /// Report of an entry instance to a zone leader.
    #[prost(message, tag = "9")]
    Report(Report),
    /// Allotment of a zone leader to an entry instance.
    #[prost(message, tag = "10")]
    Allotment(Allotment),
    /// Withdrawn keys, broadcast without waiting for the root group.
    #[prost(message, tag = "11")]
    WithdrawnKeys(WithdrawnKeys),
    /// Heartbeat of a leader that holds its lease.
    #[prost(message, tag = "12")]
    LeaderHeartbeat(LeaderHeartbeat),
}

/// Heartbeat that a leader sends while it holds its lease.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LeaderHeartbeat {
    /// Leader's term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
}

/// Heartbeat of a link.
#[derive(Clone, PartialEq, Message)]
pub struct Ping {
    /// Sender's clock, in microseconds.
    #[prost(uint64, tag = "1")]
    pub sent_at: u64,
    /// Latest `sent_at` received from the other side, or 0 if there is none.
    #[prost(uint64, tag = "2")]
    pub echo: u64,
    /// Time between the receipt of the echoed ping and the sending of this one, in
    /// microseconds.
    #[prost(uint64, tag = "3")]
    pub echo_delay: u64,
    /// Addresses of peers that the sender knows. Not every ping carries them.
    #[prost(string, repeated, tag = "4")]
    pub peers: Vec<String>,
    /// Whether the sender is stopping.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// Age of the sender's view of the root group's state, in microseconds. Absent if
    /// the sender has none.
    #[prost(uint64, optional, tag = "6")]
    pub fresh_age: Option<u64>,
    /// Log index up to which that view is applied.
    #[prost(uint64, tag = "7")]
    pub fresh_index: u64,
    /// Sender's event clock, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub stamp_millis: u64,
    /// Counter of the event clock that orders events within `stamp_millis`.
    #[prost(uint32, tag = "9")]
    pub stamp_count: u32,
}

/// Remote call.
#[derive(Clone, PartialEq, Message)]
pub struct Call {
    /// Number of the call, unique for the caller. The answer repeats it.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Encoded query.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: Bytes,
}

/// Answer to a [`Call`].
#[derive(Clone, PartialEq, Message)]
pub struct Return {
    /// Number of the call.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Encoded answer.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: Bytes,
}

/// Request for a zone leader's lease, or for a member's promise.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseRequest {
    /// Zone that the lease or promise is for.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Sender's term as zone leader. For a candidate, the last term it has seen.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Sender's clock, in microseconds.
    #[prost(uint64, tag = "3")]
    pub sent_at: u64,
    /// Whether the sender is a candidate: it asks to become zone leader after its own
    /// promise has lapsed.
    #[prost(bool, tag = "4")]
    pub campaign: bool,
    /// Instance numbers of the roster that the sender asks for. Empty to keep the
    /// current roster.
    #[prost(uint64, repeated, tag = "5")]
    pub roster: Vec<u64>,
    /// Whether the sender has the authority to act as zone leader at present.
    #[prost(bool, tag = "6")]
    pub has_authority: bool,
}

/// Reply to a request for a lease or a promise.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseReply {
    /// Zone of the request.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Term of the lease or promise.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// `sent_at` of the request.
    #[prost(uint64, tag = "3")]
    pub sent_at: u64,
    /// Whether the lease or promise is granted.
    #[prost(bool, tag = "4")]
    pub granted: bool,
}

/// Demand of one team for one service.
#[derive(Clone, PartialEq, Message)]
pub struct Demand {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Name of the team.
    #[prost(string, tag = "2")]
    pub team: String,
    /// Number of requests that are queued.
    #[prost(uint64, tag = "3")]
    pub waiting: u64,
    /// Number of requests that are running.
    #[prost(uint64, tag = "4")]
    pub running: u64,
}

/// Counters of one escrow account.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Balance {
    /// Number of the divided capacity: an upstream's slots or a team's units.
    #[prost(fixed64, tag = "1")]
    pub resource: u64,
    /// Units that the issuer has given since the account was opened.
    #[prost(uint64, tag = "2")]
    pub given: u64,
    /// Units that the holder has returned since the account was opened.
    #[prost(uint64, tag = "3")]
    pub returned: u64,
}

/// Report of an entry instance to a zone leader.
#[derive(Clone, PartialEq, Message)]
pub struct Report {
    /// Zone whose leader is to receive the report.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Epoch of the accounts that the report belongs to.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Sender's clock, in microseconds.
    #[prost(uint64, tag = "3")]
    pub sent_at: u64,
    /// Whether `slots` and `units` are the opening balances of a new epoch.
    #[prost(bool, tag = "4")]
    pub opening: bool,
    /// Slot accounts that changed.
    #[prost(message, repeated, tag = "5")]
    pub slots: Vec<Balance>,
    /// Team unit accounts that changed.
    #[prost(message, repeated, tag = "6")]
    pub units: Vec<Balance>,
    /// Queued and running requests by service and team.
    #[prost(message, repeated, tag = "7")]
    pub demands: Vec<Demand>,
    /// Number of the latest allotment received in this epoch.
    #[prost(uint64, tag = "9")]
    pub received: u64,
    /// Number of this report within the epoch.
    #[prost(uint64, tag = "10")]
    pub number: u64,
    /// Sender's own zone.
    #[prost(string, tag = "11")]
    pub from_zone: String,
    /// Whether the sender is stopping and needs no more units.
    #[prost(bool, tag = "12")]
    pub leaving: bool,
    /// Whether the opening balances contain idle units, which the sender may use
    /// until its last allotment expires.
    #[prost(bool, tag = "13")]
    pub kept_idle: bool,
}

/// Description of an upstream for entry instances.
#[derive(Clone, PartialEq, Message)]
pub struct UpstreamInfo {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Number that rises with each restart of the upstream.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Name of the service that the upstream offers.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Address for requests.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Number of slots for requests.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// Largest number of connections.
    #[prost(uint32, tag = "6")]
    pub connections: u32,
    /// Whether the upstream accepts no new requests.
    #[prost(bool, tag = "7")]
    pub leaving: bool,
    /// Whether the upstream is gone. Senders leave this false, and receivers ignore it.
    #[prost(bool, tag = "8")]
    pub gone: bool,
}

/// Request to return idle units.
#[derive(Clone, PartialEq, Message)]
pub struct Recall {
    /// Name of the service or team.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Number of units to return.
    #[prost(uint64, tag = "2")]
    pub units: u64,
}

/// Allotment of a zone leader to an entry instance.
#[derive(Clone, PartialEq, Message)]
pub struct Allotment {
    /// Zone of the sender.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Epoch of the accounts that the allotment belongs to. An allotment of another
    /// epoch than the holder's is ignored, unless `reopen` is set.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Latest `sent_at` of the reports received in this epoch.
    #[prost(uint64, tag = "3")]
    pub sent_at: u64,
    /// Number of this allotment within the epoch.
    #[prost(uint64, tag = "4")]
    pub number: u64,
    /// Number of the report that this allotment answers.
    #[prost(uint64, tag = "5")]
    pub report_number: u64,
    /// Upstreams that changed.
    #[prost(message, repeated, tag = "6")]
    pub upstreams: Vec<UpstreamInfo>,
    /// Slot accounts that changed.
    #[prost(message, repeated, tag = "7")]
    pub slots: Vec<Balance>,
    /// Team unit accounts that changed.
    #[prost(message, repeated, tag = "8")]
    pub units: Vec<Balance>,
    /// Idle slots to return, by service.
    #[prost(message, repeated, tag = "9")]
    pub recall_slots: Vec<Recall>,
    /// Idle units to return, by team.
    #[prost(message, repeated, tag = "10")]
    pub recall_units: Vec<Recall>,
    /// Whether the entry instance must reopen its accounts in this epoch with a report
    /// of opening balances.
    #[prost(bool, tag = "11")]
    pub reopen: bool,
    /// Log index up to which the zone leader has applied the root group's log.
    #[prost(uint64, tag = "12")]
    pub applied: u64,
}

/// Broadcast of withdrawn keys.
#[derive(Clone, PartialEq, Message)]
pub struct WithdrawnKeys {
    /// Names of the keys.
    #[prost(string, repeated, tag = "1")]
    pub keys: Vec<String>,
}
