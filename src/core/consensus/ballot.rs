//! What replicas decide in elections, for the log of events.

use derive_more::Display;
use serde::Serialize;

/// A decision of an election.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ballot {
    /// This replica asks for votes.
    Stood {
        /// Whether it only asks if it would win.
        pre: bool,
        /// Term that it wants to lead.
        term: u64,
        /// Last entry of its log.
        last_index: u64,
    },
    /// This replica was asked for its vote.
    Asked {
        /// Who asked.
        candidate: u64,
        /// Whether it only asked if it would win.
        pre: bool,
        /// Term that it wants to lead.
        term: u64,
        /// Why the vote was refused; absent if it was given.
        refused: Option<Doubt>,
    },
}

/// Why a vote is refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Doubt {
    /// The leader was heard too lately.
    HearsLeader,
    /// The candidate's log lacks entries.
    Behind,
    /// It asks for votes itself at the same time, with at least as long a log.
    StandsItself,
    /// The term is over, or the vote of the term is given.
    Voted,
}
