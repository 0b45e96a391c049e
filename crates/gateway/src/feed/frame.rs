//! Frames between a node and its followers: MessagePack behind a length, large
//! payloads deflated.

use std::io::{self, Read, Write};

use barleyspar_catalog::{Event, Item, Revision};
use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::feed::state::News;

/// Longest frame; a longer one ends the connection.
const LONGEST_FRAME: u32 = 16 << 20;
/// Longest payload once it is inflated.
const LONGEST_PAYLOAD: u64 = 64 << 20;
/// Payloads from this size on are deflated.
const WORTH_DEFLATING: usize = 400;

/// A follower's first and only words.
#[derive(Debug, Serialize, Deserialize)]
pub struct Hello {
    /// The store's revision that it knows; the first of all if it knows nothing.
    pub revision: Revision,
}

/// Changes, or everything, ready for the wire.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Packed {
    deflated: bool,
    bytes: Bytes,
}

/// What a frame brings.
#[derive(Debug, Serialize, Deserialize)]
pub enum Content {
    /// A list of [`Item`]: everything.
    Everything(Packed),
    /// Lists of [`Event`], one after the other; none if nothing changed.
    Events(Vec<Packed>),
}

impl Content {
    /// What it brings, unpacked.
    pub fn news(&self) -> io::Result<News> {
        match self {
            Self::Everything(packed) => packed.items().map(News::Everything),
            Self::Events(batches) => {
                let mut events = Vec::new();
                for batch in batches {
                    events.extend(batch.events()?);
                }
                Ok(News::Events(events))
            }
        }
    }
}

/// What a node tells its followers.
#[derive(Debug, Serialize, Deserialize)]
pub struct Frame {
    /// Milliseconds since the sender took this follower's [`Hello`], on its
    /// monotonic clock, rounded down.
    pub since_hello_ms: u64,
    /// Milliseconds for which the sender may have missed changes.
    pub age_ms: u32,
    /// Steps between the sender and the store's watcher.
    pub depth: u32,
    /// The store's revision that the follower knows after this frame.
    pub revision: Revision,
    /// What is new.
    pub content: Content,
}

/// Packs events or items.
pub fn pack<T: Serialize>(value: &T) -> Packed {
    let plain = encode(value);
    if plain.len() < WORTH_DEFLATING {
        return Packed {
            deflated: false,
            bytes: plain.into(),
        };
    }
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let deflated = encoder
        .write_all(&plain)
        .and_then(|()| encoder.finish())
        .expect("memory takes all that is written");
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
            .take(LONGEST_PAYLOAD)
            .read_to_end(&mut plain)?;
        decode(&plain)
    }

    /// The packed items.
    pub fn items(&self) -> io::Result<Vec<Item>> {
        self.unpack()
    }

    /// The packed events.
    pub fn events(&self) -> io::Result<Vec<Event>> {
        self.unpack()
    }
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec(value).expect("frames have only plain data")
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> io::Result<T> {
    rmp_serde::from_slice(bytes).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}

/// Writes one frame.
pub async fn write<T: Serialize>(
    stream: &mut (impl AsyncWrite + Unpin),
    value: &T,
) -> io::Result<()> {
    let body = encode(value);
    let mut bytes = Vec::with_capacity(body.len() + size_of::<u32>());
    bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&body);
    stream.write_all(&bytes).await?;
    stream.flush().await
}

/// Reads one frame.
pub async fn read<T: DeserializeOwned>(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<T> {
    let length = stream.read_u32().await?;
    if length > LONGEST_FRAME {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; length as usize];
    stream.read_exact(&mut body).await?;
    decode(&body)
}
