//! Stand-ins for the systems outside: upstreams and workers that speak the
//! published protocols. For trials, tests and measurements.

mod upstream;
pub mod worker;

pub use upstream::{Behaviour, Ledger, Plan, Upstream};
