//! Decision logic without I/O.
//!
//! Nothing in this module reads a clock, a socket or a file. The current time and
//! randomness are passed as arguments, and effects are returned as typed values.

pub mod agent;
pub mod allocator;
pub mod claim;
pub mod consensus;
pub mod control;
pub mod escrow;
pub mod fleet;
pub mod freshness;
pub mod gate;
pub mod job;
pub mod lease;
pub mod plane;
pub mod roster;

pub mod registry;
pub mod retry;
pub mod room;
pub mod share;
pub mod time;
