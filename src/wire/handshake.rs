//! Handshake messages at the start of a link.

use bytes::Bytes;
use prost::Message;

/// First frame that each side of a link sends.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Challenge {
    /// Protocol version of the sender.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Random bytes that the other side's proof must include.
    #[prost(bytes = "bytes", tag = "2")]
    pub nonce: Bytes,
}

/// Second frame that each side of a link sends: proof that it knows the cell's secret.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Proof {
    /// Encoded [`Hello`].
    #[prost(bytes = "bytes", tag = "1")]
    pub hello: Bytes,
    /// HMAC-SHA-256, keyed with the cell's secret, over the sender's side, both nonces
    /// and `hello`.
    #[prost(bytes = "bytes", tag = "2")]
    pub mac: Bytes,
}

/// Description of the instance that opens or accepts a link.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Hello {
    /// Number of the instance, drawn anew at each start of its process.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Name of the instance.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Availability zone of the instance.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Address at which the instance accepts links from peers.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Replica number in the root group.
    #[prost(fixed64, tag = "5")]
    pub replica: u64,
    /// Whether the instance stores its log on disk.
    #[prost(bool, tag = "6")]
    pub durable: bool,
    /// Whether the instance has joined a founded root group.
    #[prost(bool, tag = "7")]
    pub founded: bool,
    /// Room for jobs on the machine of a control instance, in bytes; 0 if it states none.
    #[prost(uint64, tag = "8")]
    pub room_bytes: u64,
}
