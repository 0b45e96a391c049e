//! An HTTP/1.1 client connection to a runner or the store, with one request at a time.

use std::net::SocketAddr;
use std::time::Duration;

use barleyspar_dispatch::Arrival;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::network::{ByteStream, Network};
use crate::upstream::pool::OpenSlot;
use crate::upstream::received_body::ReceivedBody;
use crate::upstream::tracked::{SocketState, TrackedStream};

/// Size of the read buffer in bytes. It is small, since a few buffers are kept for each
/// caller that reads its answer slowly.
const READ_BUFFER_BYTES: usize = 32 * 1024;
/// Time that a connection must be idle before it is reused. A peer that sends excess bytes
/// after its answer sends them at once, so they arrive within this time.
const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(8);
/// Longest idle time of a connection whose peer announced no keep-alive time.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_millis(900);
/// Last part of the keep-alive time that the peer announced. A connection that has reached
/// this part is not reused, since the peer may close it before the next request arrives.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

/// Reason why no connection could be opened. Nothing was sent.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The peer or the network refused the connection.
    #[error("connection refused: {0}")]
    Refused(String),
    /// The connection was not established within the timeout.
    #[error("timed out connecting")]
    TimedOut,
    /// All connections that this node may have to the runner are in use.
    #[error("this node's share of the runner's connections is in use")]
    ConnectionLimitReached,
}

/// Reason why a request got no head of an answer.
#[derive(Debug, thiserror::Error)]
#[error("{cause}")]
pub struct SendError {
    /// Whether the request may yet arrive at the peer.
    pub arrival: Arrival,
    /// Description of the failure for the log.
    pub cause: String,
}

impl SendError {
    /// Whether any byte of the request was written to the socket.
    pub fn was_sent(&self) -> bool {
        self.arrival != Arrival::Never
    }
}

/// Returns whether HTTP defines `status` for the final answer to a request. 101 is one only where
/// the request asks for another protocol, which the gateway never does.
fn is_final(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

/// Opens a stream to `address` within `timeout`.
pub async fn open_stream(
    network: &dyn Network,
    address: SocketAddr,
    timeout: Duration,
) -> Result<Box<dyn ByteStream>, ConnectError> {
    let connected = tokio::time::timeout(timeout, network.connect(address)).await;
    connected
        .map_err(|_| ConnectError::TimedOut)?
        .map_err(|error| ConnectError::Refused(error.to_string()))
}

/// An open connection. Dropping it closes the socket at once.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    socket: SocketState,
    idle_since: Instant,
    idle_limit: Duration,
    peer: Option<SocketAddr>,
    _slot: Option<OpenSlot>,
}

impl Connection {
    /// Connects to `address` within `timeout`. `slot` counts the connection against this
    /// node's share until the connection is dropped; `None` for connections without a limit.
    pub async fn open(
        network: &dyn Network,
        address: SocketAddr,
        timeout: Duration,
        slot: Option<OpenSlot>,
    ) -> Result<Self, ConnectError> {
        let stream = open_stream(network, address, timeout).await?;
        Self::over(stream, slot, None).await
    }

    /// Starts HTTP on an open `stream`. `slot` as in [`Self::open`]; `peer`: the address of the
    /// peer through which the stream goes, if it is a tunnel.
    pub async fn over(
        stream: Box<dyn ByteStream>,
        slot: Option<OpenSlot>,
        peer: Option<SocketAddr>,
    ) -> Result<Self, ConnectError> {
        let (stream, socket) = TrackedStream::new(stream);
        let (sender, connection) = Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| ConnectError::Refused(error.to_string()))?;
        let driver = crate::tasks::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "connection ended");
            }
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            socket,
            idle_since: Instant::now(),
            idle_limit: DEFAULT_IDLE_LIMIT,
            peer,
            _slot: slot,
        })
    }

    /// Returns the address of the peer through which the connection goes; `None` if it is
    /// direct.
    pub fn peer(&self) -> Option<SocketAddr> {
        self.peer
    }

    /// Sends `request` and waits for the head of the answer. There is no timeout. Fails, as the
    /// body does, if the peer sends too many bytes that belong to no body; fails as well if the
    /// status is none of a final answer.
    pub async fn send(
        &mut self,
        request: Request<Bytes>,
    ) -> Result<Response<ReceivedBody>, SendError> {
        let written_before = self.socket.written();
        let request = request.map(Full::new);
        if let Err(error) = self.sender.ready().await {
            let is_unsent = self.socket.written() == written_before;
            return Err(self.send_error(&error, is_unsent));
        }
        self.socket.expect_answer();
        match self.sender.try_send_request(request).await {
            Ok(response) if !is_final(response.status()) => Err(SendError {
                arrival: Arrival::Pending,
                cause: format!("{} is no status of a final answer", response.status()),
            }),
            Ok(response) => {
                let socket = self.socket.clone();
                Ok(response.map(|body| ReceivedBody::new(body, socket)))
            }
            Err(mut error) => {
                let returned = error.take_message().is_some();
                let is_unsent = returned && self.socket.written() == written_before;
                Err(self.send_error(&error.into_error(), is_unsent))
            }
        }
    }

    fn send_error(&self, error: &hyper::Error, is_unsent: bool) -> SendError {
        let arrival = if is_unsent {
            Arrival::Never
        } else {
            Arrival::Pending
        };
        SendError {
            arrival,
            cause: self.cause_of(error),
        }
    }

    /// Returns a description, for the log, of the failure `error` of a send or a body.
    pub fn cause_of(&self, error: &hyper::Error) -> String {
        if self.socket.is_excessive() {
            "the peer sent too many bytes that belong to no body".to_owned()
        } else {
            error.to_string()
        }
    }

    /// Marks the connection as idle from now on, after an answer was read completely.
    /// `keep_alive_seconds`: the keep-alive time that the peer announced in it, if any.
    pub fn mark_idle(&mut self, keep_alive_seconds: Option<u64>) {
        self.idle_since = Instant::now();
        self.idle_limit = keep_alive_seconds.map_or(DEFAULT_IDLE_LIMIT, |seconds| {
            Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN)
        });
    }

    /// Returns whether the idle connection is open and within its idle limit, so that it may
    /// be reused, now or soon.
    pub fn is_alive(&self) -> bool {
        !self.sender.is_closed() && self.idle_since.elapsed() < self.idle_limit
    }

    /// Returns whether the idle connection may be reused now: it is alive and has been idle
    /// for [`MIN_IDLE_BEFORE_REUSE`], within which any bytes that the peer sent after the end
    /// of its answer would have arrived.
    pub fn is_ready(&self) -> bool {
        self.is_alive()
            && self.sender.is_ready()
            && self.idle_since.elapsed() >= MIN_IDLE_BEFORE_REUSE
    }

    /// Closes the connection and discards all bytes of the request that are not delivered
    /// yet. The peer may not notice the close, because a lost reset is not sent again.
    pub fn discard(self) {
        self.socket.discard_unsent();
    }

    /// Returns whether the connection is closed, by the peer or after an error.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
