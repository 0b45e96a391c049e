//! The network as a gateway sees it: streams, listeners, datagrams. Real
//! sockets in production, memory in virtual-time runs.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// Time after which a peer that acknowledges nothing is given up.
const USER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without a byte after which a peer is probed, and between two probes. With
/// two probes a connection that went silent without a reset is given up after 3 s,
/// before the sites' bound for a machine out of contact (3 to 4 s).
const KEEP_ALIVE_TIME: Duration = Duration::from_secs(1);
/// Probes without an answer after which a peer is given up.
const KEEP_ALIVE_PROBES: u32 = 2;

/// A stream of bytes in both directions.
pub trait ByteStream: AsyncRead + AsyncWrite + Send + Unpin {
    /// Has what was written and is not delivered yet thrown away when the stream is
    /// dropped. Without this it goes out later, however long a link was cut.
    fn discard_on_drop(&mut self);
}

impl ByteStream for TcpStream {
    fn discard_on_drop(&mut self) {
        let set = SockRef::from(&*self).set_linger(Some(Duration::ZERO));
        if let Err(error) = set {
            tracing::warn!(event = "socket_option_refused", option = "linger", %error);
        }
    }
}

/// Takes connections.
#[async_trait]
pub trait Listener: Send + Sync {
    /// The next connection.
    async fn accept(&self) -> io::Result<Box<dyn ByteStream>>;
}

/// Sends and receives datagrams.
#[async_trait]
pub trait Datagrams: Send + Sync {
    /// Sends one; it may be lost.
    async fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()>;
    /// The next one that came, and its length.
    async fn receive(&self, buffer: &mut [u8]) -> io::Result<usize>;
}

/// Opens connections and takes them.
#[async_trait]
pub trait Network: Send + Sync {
    /// Connects to `address`; takes as long as the network takes.
    async fn connect(&self, address: SocketAddr) -> io::Result<Box<dyn ByteStream>>;
    /// Listens on `address`.
    async fn listen(&self, address: SocketAddr) -> io::Result<Box<dyn Listener>>;
    /// Opens `address` for datagrams.
    async fn datagrams(&self, address: SocketAddr) -> io::Result<Box<dyn Datagrams>>;
}

/// The machine's own network.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sockets;

fn prepared(stream: TcpStream) -> Box<dyn ByteStream> {
    prepare(&stream);
    Box::new(stream)
}

/// Has `stream` send at once, and notice a peer that is gone or silent.
fn prepare(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_TIME)
        .with_interval(KEEP_ALIVE_TIME)
        .with_retries(KEEP_ALIVE_PROBES);
    let set = [
        ("nodelay", stream.set_nodelay(true)),
        (
            "user_timeout",
            socket.set_tcp_user_timeout(Some(USER_TIMEOUT)),
        ),
        ("keep_alive", socket.set_tcp_keepalive(&keep_alive)),
    ];
    // These only make things quicker; a stream without them still works.
    for (option, result) in set {
        if let Err(error) = result {
            tracing::debug!(event = "socket_option_refused", option, %error);
        }
    }
}

#[async_trait]
impl Network for Sockets {
    async fn connect(&self, address: SocketAddr) -> io::Result<Box<dyn ByteStream>> {
        TcpStream::connect(address).await.map(prepared)
    }

    async fn listen(&self, address: SocketAddr) -> io::Result<Box<dyn Listener>> {
        Ok(Box::new(TcpListener::bind(address).await?))
    }

    async fn datagrams(&self, address: SocketAddr) -> io::Result<Box<dyn Datagrams>> {
        Ok(Box::new(UdpSocket::bind(address).await?))
    }
}

#[async_trait]
impl Listener for TcpListener {
    async fn accept(&self) -> io::Result<Box<dyn ByteStream>> {
        TcpListener::accept(self)
            .await
            .map(|(stream, _)| prepared(stream))
    }
}

#[async_trait]
impl Datagrams for UdpSocket {
    async fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        self.send_to(bytes, to).await.map(|_| ())
    }

    async fn receive(&self, buffer: &mut [u8]) -> io::Result<usize> {
        self.recv_from(buffer).await.map(|(length, _)| length)
    }
}

#[cfg(test)]
#[path = "network_tests.rs"]
mod tests;
