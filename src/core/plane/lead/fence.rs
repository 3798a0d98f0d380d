//! Fencing tokens of orders to workers.

use serde::{Deserialize, Serialize};

use crate::core::plane::types::WorkerKey;

/// Number of bits of a fencing token that tell a worker's incarnations apart.
const INCARNATION_BITS: u32 = u32::BITS;

/// Fencing token of an order. Workers reject orders with a lower token than the highest they
/// have seen since they started.
///
/// A later term has a higher token, and so has a later incarnation of a worker within a term:
/// once it has received an order of its own, it rejects those for its predecessors, which may
/// arrive seconds after they were sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fence(u64);

impl Fence {
    /// Creates the token of orders that the leader of `term` sends to a worker incarnation.
    pub const fn new(term: u64, worker: WorkerKey) -> Self {
        Self(term << INCARNATION_BITS | worker.0 as u64)
    }

    /// Returns the term of the leader.
    pub const fn term(self) -> u64 {
        self.0 >> INCARNATION_BITS
    }
}
