//! Agreement among the replicas of the root group, as a pure state machine.
//!
//! Source: Ongaro, Consensus: Bridging Theory and Practice (Raft), with
//! pre-vote, check-quorum, leader lease and member changes one at a time.

mod ballot;
mod election;
mod follow;
mod log;
mod progress;
mod replica;
mod replicate;
mod transfer;

pub use ballot::{Ballot, Doubt};
pub use log::{Log, Snapshot};
pub use progress::Progress;
pub use replica::{
    ELECTION_MAX, ELECTION_MIN, HEARTBEAT_EVERY, Hard, NotLeader, Ready, Replica, Stored,
};
