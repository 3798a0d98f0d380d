//! Authenticated links between the instances of a cell.

mod handshake;
mod link;
mod mesh;

pub use link::{Counters, Link, Notice};
pub use mesh::Mesh;
