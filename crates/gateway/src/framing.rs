//! Length-prefixed MessagePack messages on a stream between two nodes.

use std::io;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Maximum size of a message in bytes; a longer one ends the connection.
const MAX_FRAME_BYTES: u32 = 16 << 20;

/// Encodes a message without its length.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec(value).expect("messages are serializable")
}

/// Decodes a message without its length.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> io::Result<T> {
    rmp_serde::from_slice(bytes).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}

/// Writes one length-prefixed message and flushes the stream.
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

/// Reads one length-prefixed message; fails if it is too large or malformed.
pub async fn read<T: DeserializeOwned>(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<T> {
    let length = stream.read_u32().await?;
    if length > MAX_FRAME_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; length as usize];
    stream.read_exact(&mut body).await?;
    decode(&body)
}
