//! Messages at the start of a link.

use bytes::Bytes;
use prost::Message;

/// First frame of each side of a link, before anything else is read.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Challenge {
    /// Protocol version.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Random bytes that the other side's proof must cover.
    #[prost(bytes = "bytes", tag = "2")]
    pub nonce: Bytes,
}

/// Second frame of each side of a link.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Proof {
    /// Encoded [`Hello`].
    #[prost(bytes = "bytes", tag = "1")]
    pub hello: Bytes,
    /// HMAC-SHA-256 over direction, both nonces and `hello`.
    #[prost(bytes = "bytes", tag = "2")]
    pub mac: Bytes,
}

/// What an instance says of itself.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Hello {
    /// Run of its process.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Name.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Availability zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Address for peers.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Identity as a replica.
    #[prost(fixed64, tag = "5")]
    pub replica: u64,
    /// Whether it has a disk.
    #[prost(bool, tag = "6")]
    pub durable: bool,
    /// Whether it has joined a founded group.
    #[prost(bool, tag = "7")]
    pub founded: bool,
}
