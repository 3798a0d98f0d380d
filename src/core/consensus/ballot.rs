//! Election events that a replica reports for the journal.

use derive_more::Display;
use serde::Serialize;

/// An event of an election, as one replica sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ElectionEvent {
    /// This replica started a vote or a pre-vote.
    Stood {
        /// Whether this is a pre-vote, which binds no voter.
        pre: bool,
        /// Term of the election.
        term: u64,
        /// Index of the last entry in this replica's log.
        last_index: u64,
    },
    /// This replica received a vote request.
    Asked {
        /// Replica that sent the request.
        candidate: u64,
        /// Whether the request was for a pre-vote.
        pre: bool,
        /// Term of the election.
        term: u64,
        /// Why the vote was refused; `None` if it was granted.
        refused: Option<VoteRefusal>,
    },
}

/// Reason for refusing a vote.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum VoteRefusal {
    /// The voter leads, or has heard from the leader within the shortest election
    /// timeout.
    HearsLeader,
    /// The candidate's log is less up to date than the voter's.
    Behind,
    /// The voter is a pre-candidate itself and ranks higher, by its last log entry and
    /// then by its replica number.
    StandsItself,
    /// The term has passed, or the vote in it went to another candidate.
    Voted,
}
