//! A socket that counts what was written to it, so that it is known for sure
//! whether any byte of a request left, and that throws away what was given up.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::network::ByteStream;

/// What is shared with the owner of a socket.
#[derive(Debug, Default)]
struct Shared {
    written: AtomicU64,
    is_given_up: AtomicBool,
}

/// What the owner of a socket knows of it while a connection drives it.
#[derive(Debug, Clone, Default)]
pub struct Tracked(Arc<Shared>);

impl Tracked {
    /// Bytes written to the socket so far.
    pub fn written(&self) -> u64 {
        self.0.written.load(Ordering::Relaxed)
    }

    /// What is not delivered yet is not wanted any more: it is thrown away when the socket
    /// is dropped.
    pub fn give_up(&self) {
        self.0.is_given_up.store(true, Ordering::Relaxed);
    }
}

/// A stream that counts.
pub struct TrackedStream {
    stream: Box<dyn ByteStream>,
    tracked: Tracked,
}

impl TrackedStream {
    /// Wraps `stream`.
    pub fn new(stream: Box<dyn ByteStream>) -> (Self, Tracked) {
        let tracked = Tracked::default();
        let stream = Self {
            stream,
            tracked: tracked.clone(),
        };
        (stream, tracked)
    }

    fn count(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = result {
            let written = &self.tracked.0.written;
            written.fetch_add(*bytes as u64, Ordering::Relaxed);
        }
    }
}

impl Drop for TrackedStream {
    fn drop(&mut self) {
        if self.tracked.0.is_given_up.load(Ordering::Relaxed) {
            self.stream.discard_on_drop();
        }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.count(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.count(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
