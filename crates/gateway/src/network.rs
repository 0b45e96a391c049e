//! Interface of a gateway to the network: streams, listeners and datagrams. It is
//! implemented by sockets in production and in memory for runs in virtual time.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// Time without an acknowledgement of sent bytes after which a connection that this node opened
/// is closed. Where it is set, it also decides when unanswered probes end a connection, whatever their number: at
/// the first probe that is due after it. So an idle connection that became unresponsive without
/// a reset is closed after 3 s, before a site's limit for a machine that is out of contact (3 to
/// 4 s).
const USER_TIMEOUT: Duration = Duration::from_millis(2500);
/// The same for a connection that was accepted. It is longer, since it also bounds for how long
/// a caller may read nothing of its answer.
const ACCEPTED_USER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without a byte from the peer after which it is probed, and time between two probes.
const KEEP_ALIVE_TIME: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which a connection is closed.
const KEEP_ALIVE_PROBES: u32 = 2;

/// A connection: a stream of bytes in both directions.
pub trait ByteStream: AsyncRead + AsyncWrite + Send + Unpin {
    /// Makes the stream discard bytes that are written but not delivered when it is
    /// dropped. Without this they are still delivered later, however long a link was cut.
    fn discard_on_drop(&mut self);
}

impl ByteStream for TcpStream {
    fn discard_on_drop(&mut self) {
        let result = SockRef::from(&*self).set_linger(Some(Duration::ZERO));
        if let Err(error) = result {
            tracing::warn!(event = "socket_option_refused", option = "linger", %error);
        }
    }
}

/// Accepts connections on one address.
#[async_trait]
pub trait Listener: Send + Sync {
    /// Waits for the next connection and returns it.
    async fn accept(&self) -> io::Result<Box<dyn ByteStream>>;
}

/// Sends and receives datagrams on one address.
#[async_trait]
pub trait Datagrams: Send + Sync {
    /// Sends one datagram, which may be lost without an error.
    async fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()>;
    /// Waits for the next datagram, writes it to `buffer` and returns its length.
    async fn receive(&self, buffer: &mut [u8]) -> io::Result<usize>;
}

/// Opens connections, listeners and datagram sockets.
#[async_trait]
pub trait Network: Send + Sync {
    /// Connects to `address`. There is no timeout besides the network's own.
    async fn connect(&self, address: SocketAddr) -> io::Result<Box<dyn ByteStream>>;
    /// Opens a listener for connections on `address`.
    async fn listen(&self, address: SocketAddr) -> io::Result<Box<dyn Listener>>;
    /// Opens a datagram socket on `address`.
    async fn datagrams(&self, address: SocketAddr) -> io::Result<Box<dyn Datagrams>>;
}

/// The network of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sockets;

/// Sets the options of a new connection's socket.
fn configured(stream: TcpStream, user_timeout: Duration) -> Box<dyn ByteStream> {
    set_options(&stream, user_timeout);
    Box::new(stream)
}

/// Sets the socket options with which `stream` sends without delay and detects a peer that
/// is gone or unresponsive.
fn set_options(stream: &TcpStream, user_timeout: Duration) {
    let socket = SockRef::from(stream);
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_TIME)
        .with_interval(KEEP_ALIVE_TIME)
        .with_retries(KEEP_ALIVE_PROBES);
    let results = [
        ("nodelay", stream.set_nodelay(true)),
        (
            "user_timeout",
            socket.set_tcp_user_timeout(Some(user_timeout)),
        ),
        ("keep_alive", socket.set_tcp_keepalive(&keep_alive)),
    ];
    // A stream works without these options too, but may send with a delay, or detect late or
    // never that its peer is unresponsive.
    for (option, result) in results {
        if let Err(error) = result {
            tracing::debug!(event = "socket_option_refused", option, %error);
        }
    }
}

#[async_trait]
impl Network for Sockets {
    async fn connect(&self, address: SocketAddr) -> io::Result<Box<dyn ByteStream>> {
        let stream = TcpStream::connect(address).await?;
        Ok(configured(stream, USER_TIMEOUT))
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
            .map(|(stream, _)| configured(stream, ACCEPTED_USER_TIMEOUT))
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
