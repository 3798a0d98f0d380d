//! Raft messages of the root group.

use bytes::Bytes;
use prost::{Message, Oneof};

/// Raft message with its envelope.
#[derive(Clone, PartialEq, Message)]
pub struct Raft {
    /// Sender's term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Number of the sending replica.
    #[prost(fixed64, tag = "2")]
    pub from: u64,
    /// Number of the receiving replica, or 0 for every peer.
    #[prost(fixed64, tag = "3")]
    pub to: u64,
    /// Message content. A message without it is ignored.
    #[prost(oneof = "RaftBody", tags = "4, 5, 6, 7, 8, 9, 10, 11")]
    pub body: Option<RaftBody>,
}

/// Content of a Raft message.
#[derive(Clone, PartialEq, Oneof)]
pub enum RaftBody {
    /// Request for a vote or pre-vote.
    #[prost(message, tag = "4")]
    Vote(Vote),
    /// Reply to a vote request.
    #[prost(message, tag = "5")]
    VoteReply(VoteReply),
    /// Entries to append, or a heartbeat.
    #[prost(message, tag = "6")]
    Append(Append),
    /// Reply to an append request or to a complete snapshot.
    #[prost(message, tag = "7")]
    AppendReply(AppendReply),
    /// Part of a snapshot.
    #[prost(message, tag = "8")]
    Snapshot(SnapshotPart),
    /// Reply to a part of an incomplete snapshot.
    #[prost(message, tag = "9")]
    SnapshotReply(SnapshotReply),
    /// Request for replication to the sender.
    #[prost(message, tag = "10")]
    Observe(Observe),
    /// Leadership transfer: request to start an election at once.
    #[prost(message, tag = "11")]
    TimeoutNow(TimeoutNow),
}

/// Notice of a leader that it has stepped down and that the receiver should start an
/// election at once.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct TimeoutNow {}

/// Request for a vote or pre-vote.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Vote {
    /// Whether this is a pre-vote, which asks whether a vote would be granted.
    #[prost(bool, tag = "1")]
    pub pre: bool,
    /// Index of the candidate's last entry.
    #[prost(uint64, tag = "2")]
    pub last_index: u64,
    /// Term of the candidate's last entry.
    #[prost(uint64, tag = "3")]
    pub last_term: u64,
    /// Term of the election.
    #[prost(uint64, tag = "4")]
    pub for_term: u64,
    /// Whether the leader stepped down in favour of the candidate, so that voters may
    /// vote although they have recently heard from the leader.
    #[prost(bool, tag = "5")]
    pub leader_transfer: bool,
    /// Number that identifies the restart of a candidate that does not know what it
    /// promised before; 0 from other candidates.
    #[prost(fixed64, tag = "6")]
    pub restart: u64,
}

/// Reply to [`Vote`].
#[derive(Clone, Copy, PartialEq, Message)]
pub struct VoteReply {
    /// Whether this is the reply to a pre-vote.
    #[prost(bool, tag = "1")]
    pub pre: bool,
    /// Whether the vote is granted.
    #[prost(bool, tag = "2")]
    pub granted: bool,
    /// Term of the election, as in the request.
    #[prost(uint64, tag = "3")]
    pub for_term: u64,
    /// Number of the candidate's restart, as in the request.
    #[prost(fixed64, tag = "4")]
    pub restart: u64,
    /// Whether the sender leads.
    #[prost(bool, tag = "5")]
    pub leads: bool,
}

/// Log entry: a command, or a change of the voters.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Entry {
    /// Term of the leader that proposed the entry.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Position in the log, counted from 1.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// Encoded command. Empty for a change of the voters and for the first entry of a
    /// leader's term.
    #[prost(bytes = "bytes", tag = "3")]
    pub command: Bytes,
    /// Voters from this entry on. Empty if the entry does not change them.
    #[prost(message, repeated, tag = "4")]
    pub voters: Vec<Voter>,
}

/// A voting replica.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Message)]
pub struct Voter {
    /// Replica number.
    #[prost(fixed64, tag = "1")]
    pub replica: u64,
    /// Name of the replica's instance.
    #[prost(string, tag = "2")]
    pub name: String,
}

/// Request to append entries. Without entries it serves as a heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct Append {
    /// Index of the entry that precedes `entries`.
    #[prost(uint64, tag = "1")]
    pub prev_index: u64,
    /// Term of the entry at `prev_index`.
    #[prost(uint64, tag = "2")]
    pub prev_term: u64,
    /// Consecutive entries to append.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
    /// Leader's commit index.
    #[prost(uint64, tag = "4")]
    pub commit: u64,
    /// Leader's clock when it sent the message, in microseconds.
    #[prost(uint64, tag = "5")]
    pub sent_at: u64,
    /// Time since the leader's latest contact with a quorum, in microseconds.
    #[prost(uint64, tag = "6")]
    pub quorum_age: u64,
}

/// Reply to [`Append`], or to the last [`SnapshotPart`] of a snapshot.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct AppendReply {
    /// Whether the preceding entry matched and the entries were accepted.
    #[prost(bool, tag = "1")]
    pub ok: bool,
    /// If accepted, the last matching index; otherwise the index after which the leader
    /// should retry.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// `sent_at` of the request.
    #[prost(uint64, tag = "3")]
    pub sent_at: u64,
}

/// Part of a snapshot.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotPart {
    /// Index of the last entry that the snapshot includes.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of the entry at `index`.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Position of `data` in the snapshot, in bytes.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
    /// Length of the whole snapshot, in bytes.
    #[prost(uint64, tag = "4")]
    pub total: u64,
    /// Bytes of this part.
    #[prost(bytes = "bytes", tag = "5")]
    pub data: Bytes,
    /// CRC-32 of the whole snapshot.
    #[prost(uint32, tag = "6")]
    pub crc: u32,
    /// Voters in force at `index`.
    #[prost(message, repeated, tag = "7")]
    pub voters: Vec<Voter>,
    /// Leader's clock when it sent the part, in microseconds.
    #[prost(uint64, tag = "8")]
    pub sent_at: u64,
}

/// Reply to [`SnapshotPart`] while the snapshot is incomplete.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SnapshotReply {
    /// Index of the snapshot.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Number of contiguous bytes received from the start.
    #[prost(uint64, tag = "2")]
    pub received: u64,
    /// `sent_at` of the part.
    #[prost(uint64, tag = "3")]
    pub sent_at: u64,
}

/// Request of an observer to the leader for replication to it.
#[derive(Clone, PartialEq, Message)]
pub struct Observe {
    /// Index of the sender's last entry.
    #[prost(uint64, tag = "1")]
    pub last_index: u64,
    /// Whether the sender stores its log on disk.
    #[prost(bool, tag = "2")]
    pub durable: bool,
    /// Name of the sender's instance.
    #[prost(string, tag = "3")]
    pub name: String,
}
