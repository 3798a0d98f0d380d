//! Messages of the root group.

use bytes::Bytes;
use prost::{Message, Oneof};

/// Consensus message.
#[derive(Clone, PartialEq, Message)]
pub struct Raft {
    /// Sender's term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Replica that sends.
    #[prost(fixed64, tag = "2")]
    pub from: u64,
    /// Replica that it is for.
    #[prost(fixed64, tag = "3")]
    pub to: u64,
    /// Content.
    #[prost(oneof = "RaftBody", tags = "4, 5, 6, 7, 8, 9, 10, 11")]
    pub body: Option<RaftBody>,
}

/// Content of a consensus message.
#[derive(Clone, PartialEq, Oneof)]
pub enum RaftBody {
    /// Asks for a vote.
    #[prost(message, tag = "4")]
    Vote(Vote),
    /// Answers that.
    #[prost(message, tag = "5")]
    VoteReply(VoteReply),
    /// Replicates entries.
    #[prost(message, tag = "6")]
    Append(Append),
    /// Answers that.
    #[prost(message, tag = "7")]
    AppendReply(AppendReply),
    /// Carries part of a snapshot.
    #[prost(message, tag = "8")]
    Snapshot(SnapshotPart),
    /// Answers that.
    #[prost(message, tag = "9")]
    SnapshotReply(SnapshotReply),
    /// Asks the leader to replicate to the sender.
    #[prost(message, tag = "10")]
    Observe(Observe),
    /// Asks the receiver to stand for election at once.
    #[prost(message, tag = "11")]
    Yield(Yield),
}

/// Word of a leader that it has given up its term in favour of the receiver.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Yield {}

/// Request for a vote.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Vote {
    /// Whether it only asks if a vote would be given.
    #[prost(bool, tag = "1")]
    pub pre: bool,
    /// Index of the candidate's last entry.
    #[prost(uint64, tag = "2")]
    pub last_index: u64,
    /// Term of the candidate's last entry.
    #[prost(uint64, tag = "3")]
    pub last_term: u64,
    /// Term that the candidate runs for.
    #[prost(uint64, tag = "4")]
    pub for_term: u64,
    /// Whether the leader gave up its term for the candidate, so that voters need not
    /// wait until they have not heard it for a while.
    #[prost(bool, tag = "5")]
    pub yielded: bool,
}

/// Answer to a request for a vote.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct VoteReply {
    /// Whether it answers a pre-vote.
    #[prost(bool, tag = "1")]
    pub pre: bool,
    /// Whether the vote is given.
    #[prost(bool, tag = "2")]
    pub granted: bool,
    /// Term that the candidate runs for.
    #[prost(uint64, tag = "3")]
    pub for_term: u64,
}

/// One entry of the log.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Entry {
    /// Term in which it was proposed.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Position in the log.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// Encoded command; empty for a change of the group.
    #[prost(bytes = "bytes", tag = "3")]
    pub command: Bytes,
    /// Voters from this entry on; empty for a command.
    #[prost(message, repeated, tag = "4")]
    pub voters: Vec<Voter>,
}

/// A voting replica.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Message)]
pub struct Voter {
    /// Replica.
    #[prost(fixed64, tag = "1")]
    pub replica: u64,
    /// Name of its instance.
    #[prost(string, tag = "2")]
    pub name: String,
}

/// Replicates entries.
#[derive(Clone, PartialEq, Message)]
pub struct Append {
    /// Index of the entry before the first.
    #[prost(uint64, tag = "1")]
    pub prev_index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub prev_term: u64,
    /// Entries.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
    /// Leader's commit index.
    #[prost(uint64, tag = "4")]
    pub commit: u64,
    /// Leader's clock, in microseconds.
    #[prost(uint64, tag = "5")]
    pub sent_at: u64,
    /// Age of the leader's latest contact with a quorum, in microseconds.
    #[prost(uint64, tag = "6")]
    pub quorum_age: u64,
}

/// Answer to [`Append`].
#[derive(Clone, Copy, PartialEq, Message)]
pub struct AppendReply {
    /// Whether the entries were taken.
    #[prost(bool, tag = "1")]
    pub ok: bool,
    /// Last matching index, or where to go on if not taken.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// `sent_at` of the request.
    #[prost(uint64, tag = "3")]
    pub sent_at: u64,
}

/// Part of a snapshot.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotPart {
    /// Index of the last entry in the snapshot.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Position of `data` in the snapshot.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
    /// Length of the snapshot.
    #[prost(uint64, tag = "4")]
    pub total: u64,
    /// Bytes.
    #[prost(bytes = "bytes", tag = "5")]
    pub data: Bytes,
    /// CRC-32 of the whole snapshot.
    #[prost(uint32, tag = "6")]
    pub crc: u32,
    /// Voters at that index.
    #[prost(message, repeated, tag = "7")]
    pub voters: Vec<Voter>,
    /// Leader's clock, in microseconds.
    #[prost(uint64, tag = "8")]
    pub sent_at: u64,
}

/// Answer to [`SnapshotPart`].
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SnapshotReply {
    /// Snapshot that it answers.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Bytes received without a gap.
    #[prost(uint64, tag = "2")]
    pub received: u64,
    /// `sent_at` of the part.
    #[prost(uint64, tag = "3")]
    pub sent_at: u64,
}

/// Asks the leader to replicate to the sender.
#[derive(Clone, PartialEq, Message)]
pub struct Observe {
    /// Index of the sender's last entry.
    #[prost(uint64, tag = "1")]
    pub last_index: u64,
    /// Whether the sender keeps its log on a disk.
    #[prost(bool, tag = "2")]
    pub durable: bool,
    /// Name of the sender's instance.
    #[prost(string, tag = "3")]
    pub name: String,
}
