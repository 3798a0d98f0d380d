//! Authenticated links between the instances of a cell.

mod handshake;
mod link;
mod mesh;

pub use link::{Counters, Link, LinkEvent, Outgoing, QUERY_BYTES_MAX, Queued};
pub use mesh::Mesh;
