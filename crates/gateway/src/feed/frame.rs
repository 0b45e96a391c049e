//! The feed's messages between a node and its followers, with large payloads deflated.

use std::io::{self, Read, Write};

use barleyspar_catalog::{Event, Item, Revision};
use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::feed::state::Update;
use crate::framing::{decode, encode};

/// Maximum payload size in bytes after inflating; guards against decompression bombs.
const MAX_PAYLOAD_BYTES: u64 = 64 << 20;
/// Minimum payload size in bytes that is deflated.
const MIN_DEFLATED_BYTES: usize = 400;

/// The first and only message from a follower.
#[derive(Debug, Serialize, Deserialize)]
pub struct Hello {
    /// The revision of the follower's copy; the default revision if the copy is empty.
    pub revision: Revision,
}

/// A serialized list of events or items, deflated if it has at least
/// [`MIN_DEFLATED_BYTES`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Packed {
    deflated: bool,
    bytes: Bytes,
}

/// The part of a frame that updates the follower's copy.
#[derive(Debug, Serialize, Deserialize)]
pub enum Content {
    /// The full state of the store, as a list of [`Item`].
    Everything(Packed),
    /// Changes, as lists of [`Event`] in order; empty if nothing changed.
    Events(Vec<Packed>),
}

impl Content {
    /// Decodes all payloads; fails if one is too large or malformed.
    pub fn decode(&self) -> io::Result<Update> {
        match self {
            Self::Everything(packed) => packed.items().map(Update::Everything),
            Self::Events(batches) => {
                let mut events = Vec::new();
                for batch in batches {
                    events.extend(batch.events()?);
                }
                Ok(Update::Events(events))
            }
        }
    }
}

/// A message from a node to a follower.
#[derive(Debug, Serialize, Deserialize)]
pub struct Frame {
    /// Milliseconds since the sender received this follower's [`Hello`], on the
    /// sender's monotonic clock, rounded down.
    pub since_hello_ms: u64,
    /// Age of the sender's copy in milliseconds, rounded up: the copy may lack changes
    /// that were made within this time.
    pub age_ms: u32,
    /// Number of feed connections between the sender and the node that watches the
    /// store; 0 if the store itself last answered the sender.
    pub depth: u32,
    /// The revision of the follower's copy once it has applied this frame.
    pub revision: Revision,
    /// The changes or the full state that the follower is missing.
    pub content: Content,
}

/// Serializes events or items, and deflates them from [`MIN_DEFLATED_BYTES`] on.
pub fn pack<T: Serialize>(value: &T) -> Packed {
    let plain = encode(value);
    if plain.len() < MIN_DEFLATED_BYTES {
        return Packed {
            deflated: false,
            bytes: plain.into(),
        };
    }
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let deflated = encoder
        .write_all(&plain)
        .and_then(|()| encoder.finish())
        .expect("writes to memory succeed");
    Packed {
        deflated: true,
        bytes: deflated.into(),
    }
}

impl Packed {
    fn unpack<T: DeserializeOwned>(&self) -> io::Result<T> {
        if !self.deflated {
            return decode(&self.bytes);
        }
        let mut plain = Vec::new();
        DeflateDecoder::new(&*self.bytes)
            .take(MAX_PAYLOAD_BYTES)
            .read_to_end(&mut plain)?;
        decode(&plain)
    }

    /// Decodes the payload as items; fails if it is too large or malformed.
    pub fn items(&self) -> io::Result<Vec<Item>> {
        self.unpack()
    }

    /// Decodes the payload as events; fails if it is too large or malformed.
    pub fn events(&self) -> io::Result<Vec<Event>> {
        self.unpack()
    }
}
