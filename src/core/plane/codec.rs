//! Encoding of commands and snapshots.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes a value for the log, a snapshot or a link.
pub fn encode<T: Serialize>(value: &T) -> Bytes {
    postcard::to_allocvec(value)
        .expect("plain data always encodes")
        .into()
}

/// Decodes what [`encode`] made.
///
/// # Errors
///
/// Fails if the bytes are not such a value.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(bytes)
}
