//! Encoding of bodies: compact MessagePack.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::PeerError;

/// Encodes a body.
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes, PeerError> {
    rmp_serde::to_vec(value)
        .map(Bytes::from)
        .map_err(|error| PeerError::Malformed(error.to_string()))
}

/// Decodes a body.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, PeerError> {
    rmp_serde::from_slice(body).map_err(|error| PeerError::Malformed(error.to_string()))
}
