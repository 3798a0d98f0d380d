//! Messages between the system's processes.

mod handshake;
mod raft;

use bytes::Bytes;
use prost::{Message, Oneof};

pub use handshake::{Challenge, Hello, Proof};
pub use raft::{
    Append, AppendReply, Entry, Observe, Raft, RaftBody, SnapshotPart, SnapshotReply, Vote,
    VoteReply, Voter, Yield,
};

/// Version of the protocol. Peers of another version are refused by name.
pub const VERSION: u32 = 1;
/// Largest frame, in bytes.
pub const FRAME_MAX: usize = 4 << 20;

/// One frame of a peer link.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Content.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12")]
    pub body: Option<Body>,
}

/// Content of a frame.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Consensus message.
    #[prost(message, tag = "1")]
    Raft(Raft),
    /// Heartbeat of the link, and who else is known.
    #[prost(message, tag = "2")]
    Ping(Ping),
    /// Question that gets one answer.
    #[prost(message, tag = "3")]
    Call(Call),
    /// Answer to a question.
    #[prost(message, tag = "4")]
    Return(Return),
    /// Request for a zone leader's lease.
    #[prost(message, tag = "5")]
    LeaseRequest(LeaseRequest),
    /// Answer to it.
    #[prost(message, tag = "6")]
    LeaseReply(LeaseReply),
    /// Request for the promise of a member of the roster.
    #[prost(message, tag = "7")]
    PromiseRequest(LeaseRequest),
    /// Answer to it.
    #[prost(message, tag = "8")]
    PromiseReply(LeaseReply),
    /// Report of an entry instance to a zone leader.
    #[prost(message, tag = "9")]
    Report(Report),
    /// Allotment of a zone leader to an entry instance.
    #[prost(message, tag = "10")]
    Allotment(Allotment),
    /// Withdrawn keys, spread at once.
    #[prost(message, tag = "11")]
    Withdrawn(Withdrawn),
    /// Word of a leader under its lease.
    #[prost(message, tag = "12")]
    Leading(Leading),
}

/// Word of a leader that its lease of leadership holds.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Leading {
    /// Its term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
}

/// Heartbeat of a link.
#[derive(Clone, PartialEq, Message)]
pub struct Ping {
    /// Sender's clock, in microseconds.
    #[prost(uint64, tag = "1")]
    pub sent_at: u64,
    /// The latest `sent_at` that came from the other side.
    #[prost(uint64, tag = "2")]
    pub echo: u64,
    /// Time since that came, in microseconds.
    #[prost(uint64, tag = "3")]
    pub held: u64,
    /// Peer addresses that the sender knows.
    #[prost(string, repeated, tag = "4")]
    pub peers: Vec<String>,
    /// Whether the sender is stopping.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// Age of the sender's knowledge of the root group's state, in microseconds;
    /// absent if it has none.
    #[prost(uint64, optional, tag = "6")]
    pub fresh_age: Option<u64>,
    /// Position in the log that this knowledge reaches to.
    #[prost(uint64, tag = "7")]
    pub fresh_index: u64,
    /// Milliseconds of the sender's event clock.
    #[prost(uint64, tag = "8")]
    pub stamp_millis: u64,
    /// Order within that millisecond.
    #[prost(uint32, tag = "9")]
    pub stamp_count: u32,
}

/// Question with a number that its answer repeats.
#[derive(Clone, PartialEq, Message)]
pub struct Call {
    /// Number, unique for the caller.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Encoded question.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: Bytes,
}

/// Answer to a question.
#[derive(Clone, PartialEq, Message)]
pub struct Return {
    /// Number of the question.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Encoded answer.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: Bytes,
}

/// Request for a lease or a promise.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseRequest {
    /// Zone that is led.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Term of the leadership, or the last term seen by one that asks to lead.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Sender's clock, in microseconds.
    #[prost(uint64, tag = "3")]
    pub sent_at: u64,
    /// Whether the sender asks to be named leader, having let its promise lapse.
    #[prost(bool, tag = "4")]
    pub campaign: bool,
    /// Roster that the sender wants, as instance numbers; empty to keep it.
    #[prost(uint64, repeated, tag = "5")]
    pub roster: Vec<u64>,
    /// Whether the sender holds authority now.
    #[prost(bool, tag = "6")]
    pub has_authority: bool,
}

/// Answer to a request for a lease or a promise.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseReply {
    /// Zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Term that the answer is for.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// `sent_at` of the request.
    #[prost(uint64, tag = "3")]
    pub sent_at: u64,
    /// Whether it is granted.
    #[prost(bool, tag = "4")]
    pub granted: bool,
}

/// Demand of one team for one service.
#[derive(Clone, PartialEq, Message)]
pub struct Demand {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Team.
    #[prost(string, tag = "2")]
    pub team: String,
    /// Requests waiting.
    #[prost(uint64, tag = "3")]
    pub waiting: u64,
    /// Requests running.
    #[prost(uint64, tag = "4")]
    pub running: u64,
}

/// Counters of one escrow account.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Balance {
    /// Cell.
    #[prost(fixed64, tag = "1")]
    pub cell: u64,
    /// Units given in all.
    #[prost(uint64, tag = "2")]
    pub given: u64,
    /// Units returned in all.
    #[prost(uint64, tag = "3")]
    pub returned: u64,
}

/// Report of an entry instance to a zone leader.
#[derive(Clone, PartialEq, Message)]
pub struct Report {
    /// Zone whose leader it is for.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Accounts' epoch that the report is made under.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Sender's clock, in microseconds.
    #[prost(uint64, tag = "3")]
    pub sent_at: u64,
    /// Whether `slots` and `units` are opening balances in use.
    #[prost(bool, tag = "4")]
    pub opening: bool,
    /// Slot accounts that changed.
    #[prost(message, repeated, tag = "5")]
    pub slots: Vec<Balance>,
    /// Team unit accounts that changed.
    #[prost(message, repeated, tag = "6")]
    pub units: Vec<Balance>,
    /// Requests waiting and running.
    #[prost(message, repeated, tag = "7")]
    pub demands: Vec<Demand>,
    /// Number of the latest allotment received in this epoch.
    #[prost(uint64, tag = "9")]
    pub received: u64,
    /// Number of this report.
    #[prost(uint64, tag = "10")]
    pub number: u64,
    /// Zone that the sender is in.
    #[prost(string, tag = "11")]
    pub from_zone: String,
    /// Whether the sender is stopping and wants nothing more.
    #[prost(bool, tag = "12")]
    pub leaving: bool,
    /// Whether the opening balances contain idle units, which the sender may use
    /// until its last allotment expires.
    #[prost(bool, tag = "13")]
    pub kept_idle: bool,
}

/// What an entry instance needs to know of an upstream.
#[derive(Clone, PartialEq, Message)]
pub struct UpstreamInfo {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Service.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Address.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Slots.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// Connections.
    #[prost(uint32, tag = "6")]
    pub connections: u32,
    /// Whether it takes nothing new.
    #[prost(bool, tag = "7")]
    pub leaving: bool,
    /// Whether it is gone.
    #[prost(bool, tag = "8")]
    pub gone: bool,
}

/// Request to return idle units.
#[derive(Clone, PartialEq, Message)]
pub struct Recall {
    /// Service or team.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Units wanted back.
    #[prost(uint64, tag = "2")]
    pub units: u64,
}

/// Allotment of a zone leader to an entry instance.
#[derive(Clone, PartialEq, Message)]
pub struct Allotment {
    /// Zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Epoch of the accounts. Another epoch than the holder's means: open anew.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// `sent_at` of the report that this answers.
    #[prost(uint64, tag = "3")]
    pub sent_at: u64,
    /// Number of this allotment within the epoch.
    #[prost(uint64, tag = "4")]
    pub number: u64,
    /// Report number that this answers.
    #[prost(uint64, tag = "5")]
    pub answers: u64,
    /// Upstreams that changed.
    #[prost(message, repeated, tag = "6")]
    pub upstreams: Vec<UpstreamInfo>,
    /// Slot accounts that changed.
    #[prost(message, repeated, tag = "7")]
    pub slots: Vec<Balance>,
    /// Team unit accounts that changed.
    #[prost(message, repeated, tag = "8")]
    pub units: Vec<Balance>,
    /// Slots wanted back by service.
    #[prost(message, repeated, tag = "9")]
    pub recall_slots: Vec<Recall>,
    /// Team units wanted back.
    #[prost(message, repeated, tag = "10")]
    pub recall_units: Vec<Recall>,
    /// Whether the accounts are closed until the sender has opened them anew.
    #[prost(bool, tag = "11")]
    pub reopen: bool,
    /// Position in the log that the zone leader has applied.
    #[prost(uint64, tag = "12")]
    pub applied: u64,
}

/// Withdrawn keys.
#[derive(Clone, PartialEq, Message)]
pub struct Withdrawn {
    /// Names of the keys.
    #[prost(string, repeated, tag = "1")]
    pub keys: Vec<String>,
}
