//! One HTTP/1.1 connection to a peer that serves one request at a time.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::network::Network;
use crate::upstream::pool::OpenSlot;
use crate::upstream::tracked::{Tracked, TrackedStream};

/// Bytes of an answer that are read at once: a few of these are kept for a caller that
/// reads slowly.
const READ_BYTES: usize = 32 * 1024;
/// Time that a connection rests before it is used again: a peer that sends
/// more than its answer does so right behind it.
const REST_BEFORE_REUSE: Duration = Duration::from_millis(8);
/// Time that a connection may rest if its peer named none.
const USUAL_IDLE_LIMIT: Duration = Duration::from_millis(900);
/// Time before the peer's own limit at which a connection is not used again.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

/// Why no connection came up. Nothing was sent.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The peer refused, or the network did.
    #[error("refused: {0}")]
    Refused(String),
    /// Nothing came back in time.
    #[error("no answer to the connection's opening")]
    TimedOut,
    /// This node's share of the runner's connections is used up.
    #[error("no connection left in this node's share")]
    NoShareLeft,
}

/// Why a request got no head of an answer.
#[derive(Debug, Error)]
#[error("{cause}")]
pub struct SendError {
    /// Whether any byte of the request left.
    pub sent: bool,
    /// What happened.
    pub cause: String,
}

/// A connection. Dropping it closes the socket at once.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    tracked: Tracked,
    rested_since: Instant,
    idle_limit: Duration,
    _slot: Option<OpenSlot>,
}

impl Connection {
    /// Connects to `address` within `timeout`.
    pub async fn open(
        network: &dyn Network,
        address: SocketAddr,
        timeout: Duration,
        slot: Option<OpenSlot>,
    ) -> Result<Self, ConnectError> {
        let refused = |error: &dyn std::fmt::Display| ConnectError::Refused(error.to_string());
        let stream = tokio::time::timeout(timeout, network.connect(address))
            .await
            .map_err(|_| ConnectError::TimedOut)?
            .map_err(|error| refused(&error))?;
        let (stream, tracked) = TrackedStream::new(stream);
        let (sender, connection) = Builder::new()
            .max_buf_size(READ_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| refused(&error))?;
        let driver = crate::tasks::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "connection ended");
            }
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            tracked,
            rested_since: Instant::now(),
            idle_limit: USUAL_IDLE_LIMIT,
            _slot: slot,
        })
    }

    /// Sends `request` and waits for the head of its answer.
    pub async fn send(&mut self, request: Request<Bytes>) -> Result<Response<Incoming>, SendError> {
        let before = self.tracked.written();
        let failed = |cause: String, returned: bool, written: u64| SendError {
            sent: !returned || written != before,
            cause,
        };
        let request = request.map(Full::new);
        if let Err(error) = self.sender.ready().await {
            return Err(failed(error.to_string(), true, self.tracked.written()));
        }
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                let returned = error.take_message().is_some();
                let cause = error.into_error().to_string();
                Err(failed(cause, returned, self.tracked.written()))
            }
        }
    }

    /// Marks the beginning of a rest, after a whole answer whose head named
    /// `keep_alive_seconds`.
    pub fn rest(&mut self, keep_alive_seconds: Option<u64>) {
        self.rested_since = Instant::now();
        self.idle_limit = keep_alive_seconds.map_or(USUAL_IDLE_LIMIT, |seconds| {
            Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN)
        });
    }

    /// Whether it may be used again some time.
    pub fn is_alive(&self) -> bool {
        !self.sender.is_closed() && self.rested_since.elapsed() < self.idle_limit
    }

    /// Whether it may be used again now.
    pub fn is_ready(&self) -> bool {
        self.is_alive()
            && self.sender.is_ready()
            && self.rested_since.elapsed() >= REST_BEFORE_REUSE
    }

    /// Closes it so that nothing of the request on it goes out any more. The peer may not
    /// learn that it is closed: a reset is not sent twice.
    pub fn give_up(self) {
        self.tracked.give_up();
    }

    /// Whether the peer has closed it.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
