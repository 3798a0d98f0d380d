//! Binary encoding of commands, snapshots and messages.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::state::State;

/// Encodes a value for the log, a snapshot or a message to another instance.
pub fn encode<T: Serialize>(value: &T) -> Bytes {
    postcard::to_allocvec(value)
        .expect("plain data always encodes")
        .into()
}

/// Decodes a value that was encoded by [`encode`].
///
/// # Errors
///
/// Fails if the bytes do not encode a value of this type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(bytes)
}

/// Number of collections at the end of a state that earlier versions do not have: the record of
/// crashes, the evacuated zones and the annotations.
const LATER_FIELDS: usize = 3;

/// Decodes a state, also one of an earlier version: without some of the last fields, or with
/// queues as they were when jobs were accepted.
///
/// # Errors
///
/// Fails if the bytes do not encode a state.
pub fn decode_state(bytes: &[u8]) -> Result<State, postcard::Error> {
    // An empty collection is encoded as a zero, and bytes beyond the last field are ignored.
    let decoded: Result<State, _> = decode(bytes);
    let mut state = decoded.or_else(|err| {
        let extended = [bytes, &[0; LATER_FIELDS]].concat();
        decode(&extended).map_err(|_: postcard::Error| err)
    })?;
    state.update_queues();
    state.update_holdings();
    Ok(state)
}
