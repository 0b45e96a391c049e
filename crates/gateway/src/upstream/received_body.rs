//! The body of an answer from a runner or the store.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

use crate::upstream::tracked::SocketState;

/// The body of an answer. It tells the connection how much of it was taken.
#[derive(Debug)]
pub struct ReceivedBody {
    body: Incoming,
    socket: SocketState,
}

impl ReceivedBody {
    /// Wraps the body of an answer that arrives on the connection with this socket.
    pub fn new(body: Incoming, socket: SocketState) -> Self {
        Self { body, socket }
    }
}

impl Body for ReceivedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if let Some(Ok(frame)) = &frame
            && let Some(data) = frame.data_ref()
        {
            self.socket.record_body(data.len());
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
