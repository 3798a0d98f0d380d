//! The task plane of a whole cell.
//!
//! One leader places the tasks of all availability zones. Every start and every
//! end of a run is in the replicated log, so that a new leader knows exactly which
//! worker may run what. [`state`] is the replicated part, [`lead`] what only the
//! leader knows.

pub mod codec;
pub mod job;
pub mod lead;
pub mod plan;
pub mod state;
pub mod types;
pub mod worker;
