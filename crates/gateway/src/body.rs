//! Bodies of answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::sync::mpsc;

/// The answer cannot be completed; its connection is closed unfinished.
#[derive(Debug, Clone, Copy, Error)]
#[error("the answer was cut off")]
pub struct CutOff;

/// Pieces of an answer's body.
pub type Pieces = mpsc::Sender<Result<Bytes, CutOff>>;

/// Ends an unfinished answer. Its reader may not have taken what is on its way, and may
/// never: the sender keeps nothing else for it.
pub fn cut_off(pieces: Pieces) {
    crate::tasks::spawn(async move {
        // Without a reader there is nobody to be told.
        let _ = pieces.send(Err(CutOff)).await;
    });
}

/// The body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// Known whole.
    Whole(Option<Bytes>),
    /// Comes in pieces.
    Pieces(mpsc::Receiver<Result<Bytes, CutOff>>),
}

impl AnswerBody {
    /// A body that is known whole.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// A body that comes in pieces, of which a few may be on their way.
    pub fn pieces() -> (Pieces, Self) {
        const ON_THEIR_WAY: usize = 8;
        let (sender, receiver) = mpsc::channel(ON_THEIR_WAY);
        (sender, Self::Pieces(receiver))
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
            Self::Pieces(receiver) => receiver
                .poll_recv(context)
                .map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(Some(bytes)) => SizeHint::with_exact(bytes.len() as u64),
            Self::Whole(None) => SizeHint::with_exact(0),
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}
