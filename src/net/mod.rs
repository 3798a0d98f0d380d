//! Links between the system's processes.

mod handshake;
mod link;
mod mesh;

pub use link::{Counters, Link, Notice};
pub use mesh::Mesh;
