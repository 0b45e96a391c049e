//! Listening for HTTP connections: small pieces go out at once, and the number
//! of connections is bounded.
//!
//! Without `TCP_NODELAY` a streamed token waits for the acknowledgement of the
//! one before it, up to 40 ms on Linux.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Connections served at once; more wait in the system's backlog.
const MAXIMUM_CONNECTIONS: usize = 8192;

/// Accepts connections at one address.
pub struct BoundedAcceptor {
    listener: TcpListener,
    address: SocketAddr,
    slots: Arc<Semaphore>,
}

impl BoundedAcceptor {
    /// Listens at `address`.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self {
            address: listener.local_addr()?,
            listener,
            slots: Arc::new(Semaphore::new(MAXIMUM_CONNECTIONS)),
        })
    }

    /// The address it listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// A connection that holds its slot for as long as it lives.
pub struct Connection {
    stream: TcpStream,
    _slot: OwnedSemaphorePermit,
}

impl Acceptor for BoundedAcceptor {
    type Io = Connection;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(self.address.into())]
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let slot = Arc::clone(&self.slots).acquire_owned().await;
        let slot = slot.map_err(io::Error::other)?;
        let (stream, remote) = self.listener.accept().await?;
        stream.set_nodelay(true)?;
        let connection = Connection {
            stream,
            _slot: slot,
        };
        let local = LocalAddr(self.address.into());
        Ok((connection, local, RemoteAddr(remote.into()), Scheme::HTTP))
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Connection {
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
