//! Task plane: scheduling of tasks on the workers of all availability zones.
//!
//! A single leader places all tasks. Every start and every end of a run goes through the
//! replicated log, so that a new leader knows exactly which worker may run which task.
//! [`state`] holds the replicated state, [`lead`] the leader's volatile state.

pub mod codec;
pub mod job;
pub mod lead;
pub mod plan;
pub mod state;
pub mod types;
pub mod worker;
