//! Bodies of answers to callers: either all bytes are known at the start, or they are sent
//! in chunks.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::sync::mpsc;

/// Error that ends a body which cannot be completed. The connection to the caller is closed
/// so that the caller sees the answer as incomplete.
#[derive(Debug, Clone, Copy, Error)]
#[error("the answer was cut off")]
pub struct CutOff;

/// Sends the chunks of a body to the caller's connection. Dropping it completes the body.
pub type BodySender = mpsc::Sender<Result<Bytes, CutOff>>;

/// Ends a body as incomplete, without waiting for the caller. The caller may be slow or
/// never read on, so a task that holds only the sender waits for room in the queue.
pub fn cut_off(body_sender: BodySender) {
    crate::tasks::spawn(async move {
        // An error means that the connection to the caller is gone.
        let _ = body_sender.send(Err(CutOff)).await;
    });
}

/// The body of an answer to a caller.
#[derive(Debug)]
pub enum AnswerBody {
    /// All bytes are known; `None` after they have been sent.
    Whole(Option<Bytes>),
    /// The bytes arrive in chunks from a [`BodySender`].
    Chunked(mpsc::Receiver<Result<Bytes, CutOff>>),
}

impl AnswerBody {
    /// Creates a body of which all bytes are known.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// Creates a body that is sent in chunks, and its sender. The sender waits while the
    /// queue of chunks is full.
    pub fn chunked() -> (BodySender, Self) {
        const QUEUED_CHUNKS: usize = 8;
        let (sender, receiver) = mpsc::channel(QUEUED_CHUNKS);
        (sender, Self::Chunked(receiver))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = CutOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutOff>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Chunked(receiver) => receiver
                .poll_recv(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(Some(bytes)) => SizeHint::with_exact(bytes.len() as u64),
            Self::Whole(None) => SizeHint::with_exact(0),
            Self::Chunked(_) => SizeHint::default(),
        }
    }
}
