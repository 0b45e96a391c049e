//! A socket that counts the bytes written to it, so that it is certain whether any byte of a
//! request was sent, that bounds the bytes read from it which belong to no body, and that can
//! discard undelivered bytes when it is closed.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::network::ByteStream;
use crate::upstream::excess::ExcessLimit;

/// Values shared by a [`TrackedStream`] and its [`SocketState`].
#[derive(Debug, Default)]
struct SharedState {
    written: AtomicU64,
    should_discard: AtomicBool,
    /// The lock is never held across an await.
    excess: Mutex<ExcessLimit>,
}

/// Gives the owner of a connection access to its socket's state while hyper owns the
/// socket.
#[derive(Debug, Clone, Default)]
pub struct SocketState(Arc<SharedState>);

impl SocketState {
    /// Returns the number of bytes written to the socket so far.
    pub fn written(&self) -> u64 {
        self.0.written.load(Ordering::Relaxed)
    }

    /// Records that a request is sent, whose answer may begin from now on.
    pub fn expect_answer(&self) {
        self.lock_excess().expect_answer();
    }

    /// Records that `bytes` of a body were taken from the connection.
    pub fn record_body(&self, bytes: usize) {
        self.lock_excess().record_body(bytes as u64);
    }

    /// Returns whether the peer sent more bytes that belong to no body than are accepted.
    pub fn is_excessive(&self) -> bool {
        self.lock_excess().is_exceeded()
    }

    fn lock_excess(&self) -> MutexGuard<'_, ExcessLimit> {
        let excess = self.0.excess.lock();
        excess.unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes the socket discard the bytes that are not delivered yet when it is dropped.
    pub fn discard_unsent(&self) {
        self.0.should_discard.store(true, Ordering::Relaxed);
    }
}

/// A stream that counts the bytes written to it, and fails when too many were read.
pub struct TrackedStream {
    stream: Box<dyn ByteStream>,
    state: SocketState,
}

impl TrackedStream {
    /// Wraps `stream`. Returns the wrapper and the handle to its state.
    pub fn new(stream: Box<dyn ByteStream>) -> (Self, SocketState) {
        let state = SocketState::default();
        let stream = Self {
            stream,
            state: state.clone(),
        };
        (stream, state)
    }

    /// Adds the bytes of a successful write.
    fn count_written(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = result {
            let written = &self.state.0.written;
            written.fetch_add(*bytes as u64, Ordering::Relaxed);
        }
    }
}

impl Drop for TrackedStream {
    fn drop(&mut self) {
        if self.state.0.should_discard.load(Ordering::Relaxed) {
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
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read = buffer.filled().len() - filled_before;
        let mut excess = self.state.lock_excess();
        excess.record_read(read as u64);
        if excess.is_exceeded() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.count_written(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.count_written(&result);
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
