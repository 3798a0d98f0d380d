//! Authenticated links between the instances of a cell.

mod handshake;
mod link;
mod mesh;

pub use link::{Counters, Link, LinkEvent};
pub use mesh::Mesh;
