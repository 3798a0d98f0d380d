//! Simulated upstreams and workers that speak the published protocols, for trials,
//! tests and measurements.

mod upstream;
pub mod worker;

pub use upstream::{Behaviour, Options, Stats, Upstream};
