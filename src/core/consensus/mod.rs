//! Raft consensus among the replicas of the root group, as a state machine without I/O.
//!
//! Implements Ongaro, "Consensus: Bridging Theory and Practice", with pre-vote, check
//! quorum, leader leases and single-server membership changes.

mod ballot;
mod election;
mod follow;
mod log;
mod progress;
mod replica;
mod replicate;
mod restart;
mod transfer;

pub use ballot::{ElectionEvent, VoteRefusal};
pub use log::{Log, Snapshot};
pub use progress::Progress;
pub use replica::{
    ELECTION_TIMEOUT_MAX, ELECTION_TIMEOUT_MIN, HEARTBEAT_INTERVAL, HardState, NotLeader, Ready,
    Replica, Stored,
};
