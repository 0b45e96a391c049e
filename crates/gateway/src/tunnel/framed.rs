//! The bytes from a runner to the node at the other end of a tunnel, in frames.
//!
//! A body without a length ends with its connection. The close of a tunnel's connection does
//! not tell whether the runner closed its own in good order, or the peer in between ended. So
//! the peer sends an empty frame when the runner has closed its connection; a tunnel that ends
//! without one counts as reset.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};

use crate::network::ByteStream;

/// Largest number of bytes in a frame.
const MAX_FRAME_BYTES: usize = 8 * 1024;
/// Length in bytes of a frame's header, which is the number of bytes that follow it.
const HEADER_BYTES: usize = 2;

/// Copies bytes from `runner` to `peer` in frames until the runner closes its connection, and
/// then sends the empty frame.
pub async fn copy_in_frames(
    runner: &mut (impl AsyncRead + Unpin),
    peer: &mut (impl AsyncWrite + Unpin),
) -> io::Result<()> {
    let mut buffer = vec![0; HEADER_BYTES + MAX_FRAME_BYTES];
    loop {
        let length = runner.read(&mut buffer[HEADER_BYTES..]).await?;
        // A frame is at most as long as the buffer, which the header can express.
        buffer[..HEADER_BYTES].copy_from_slice(&(length as u16).to_be_bytes());
        peer.write_all(&buffer[..HEADER_BYTES + length]).await?;
        peer.flush().await?;
        if length == 0 {
            return Ok(());
        }
    }
}

/// What a [`TunnelStream`] reads next.
#[derive(Debug, Clone, Copy)]
enum Next {
    /// The header of a frame, of which this many bytes are read.
    Header(usize),
    /// This many more bytes of a frame.
    Data(usize),
    /// Nothing: the empty frame has arrived.
    End,
}

/// The end of a tunnel at the node that asked for it: reads frames and writes plain bytes.
pub struct TunnelStream {
    stream: Box<dyn ByteStream>,
    header: [u8; HEADER_BYTES],
    next: Next,
}

impl TunnelStream {
    /// Wraps the connection to a peer that has opened a tunnel.
    pub fn new(stream: Box<dyn ByteStream>) -> Self {
        Self {
            stream,
            header: [0; HEADER_BYTES],
            next: Next::Header(0),
        }
    }

    /// Reads bytes of a header from position `filled` on, and changes the state.
    fn poll_header(&mut self, context: &mut Context<'_>, filled: usize) -> Poll<io::Result<()>> {
        let mut rest = ReadBuf::new(&mut self.header[filled..]);
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut rest))?;
        let read = rest.filled().len();
        if read == 0 {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        self.next = if filled + read < HEADER_BYTES {
            Next::Header(filled + read)
        } else {
            match u16::from_be_bytes(self.header) {
                0 => Next::End,
                length => Next::Data(length.into()),
            }
        };
        Poll::Ready(Ok(()))
    }

    /// Reads up to `length` bytes of a frame into `buffer`, and changes the state.
    fn poll_data(
        &mut self,
        context: &mut Context<'_>,
        length: usize,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let space = buffer.initialize_unfilled_to(length.min(buffer.remaining()));
        let mut part = ReadBuf::new(space);
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut part))?;
        let read = part.filled().len();
        if read == 0 {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        buffer.advance(read);
        self.next = match length - read {
            0 => Next::Header(0),
            left => Next::Data(left),
        };
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if buffer.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        loop {
            match self.next {
                Next::End => return Poll::Ready(Ok(())),
                Next::Data(length) => return self.poll_data(context, length, buffer),
                Next::Header(filled) => ready!(self.poll_header(context, filled))?,
            }
        }
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl ByteStream for TunnelStream {
    fn discard_on_drop(&mut self) {
        self.stream.discard_on_drop();
    }
}

#[cfg(test)]
#[path = "framed_tests.rs"]
mod tests;
