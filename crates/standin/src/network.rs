//! An in-memory network. Two hosts can be cut off from each other ([`Cut`]).

use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use async_trait::async_trait;
use barleyspar_gateway::{ByteStream, Datagrams, Listener, Network};
use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf};
use tokio::sync::{Mutex as AsyncMutex, mpsc};
use tokio::time::{Sleep, sleep};

/// Bytes in each direction of a stream that may be sent and not yet read.
const STREAM_BUFFER_BYTES: usize = 256 * 1024;
/// Maximum number of connections that wait to be accepted at a listener.
const BACKLOG: usize = 1024;
/// Maximum number of datagrams that wait to be read at an address; further ones are lost.
const INBOX_DATAGRAMS: usize = 1024;
/// One-way delay of the network.
const LINK_DELAY: Duration = Duration::from_millis(1);

/// How two hosts are cut off from each other. Datagrams between them are lost in each way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Connection attempts hang, and bytes on open streams are delivered when the cut ends,
    /// even if the sender has closed the stream meanwhile, as on a real network that loses its
    /// power.
    Silent,
    /// Connection attempts are refused, and open streams are reset.
    Reset,
    /// Connection attempts are refused, while open streams live on.
    RefusesNew,
}

/// A connection at its listener, and the host that opened it.
pub type Accepted = (Box<dyn ByteStream>, IpAddr);

#[derive(Default)]
struct State {
    listeners: BTreeMap<SocketAddr, mpsc::Sender<Accepted>>,
    inboxes: BTreeMap<SocketAddr, mpsc::Sender<Vec<u8>>>,
    cuts: BTreeMap<(IpAddr, IpAddr), Cut>,
    /// For each pair of hosts, the number of the last stream opened before the latest reset.
    last_reset: BTreeMap<(IpAddr, IpAddr), u64>,
    /// Number of streams opened so far; a stream's number is its position among them.
    opened_streams: u64,
    /// For each pair of hosts, the number of the last stream opened before the latest stall.
    /// The streams of the pair up to this number deliver nothing ever again.
    last_stalled: BTreeMap<(IpAddr, IpAddr), u64>,
    /// Number of ends of streams so far.
    stream_ends: u64,
    /// For each end of a stream that has been read, the waker of its reader.
    readers: BTreeMap<u64, Waker>,
    refused_connections: u64,
}

/// The network of a test. Clones share their state: they are the same network.
#[derive(Clone, Default)]
pub struct MemoryNetwork {
    state: Arc<Mutex<State>>,
}

impl MemoryNetwork {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the network interface of the host `ip`, for a gateway or client.
    pub fn host(&self, ip: IpAddr) -> Arc<dyn Network> {
        Arc::new(Host {
            network: self.clone(),
            ip,
        })
    }

    /// Cuts two hosts off from each other silently until [`Self::heal`].
    pub fn cut(&self, one: IpAddr, other: IpAddr) {
        self.cut_in_way(one, other, Cut::Silent);
    }

    /// Cuts two hosts off from each other in this way until [`Self::heal`].
    pub fn cut_in_way(&self, one: IpAddr, other: IpAddr, way: Cut) {
        let hosts = host_pair(one, other);
        let mut state = self.lock();
        state.cuts.insert(hosts, way);
        if way == Cut::Reset {
            let opened = state.opened_streams;
            state.last_reset.insert(hosts, opened);
            wake_readers(state);
        }
    }

    /// Stalls the streams that are open between two hosts for good, without a reset. New
    /// streams between them work.
    pub fn stall_connections(&self, one: IpAddr, other: IpAddr) {
        let mut state = self.lock();
        let opened = state.opened_streams;
        state.last_stalled.insert(host_pair(one, other), opened);
    }

    /// Number of connection attempts so far that were refused, as no listener was there.
    pub fn refused_connections(&self) -> u64 {
        self.lock().refused_connections
    }

    /// Ends all cuts. Stalled streams stay stalled, and connection attempts made during a cut hang
    /// on.
    pub fn heal(&self) {
        let mut state = self.lock();
        state.cuts.clear();
        wake_readers(state);
    }

    /// Removes the listeners and datagram inboxes of the host `ip`, as when its process dies.
    pub fn unbind(&self, ip: IpAddr) {
        let mut state = self.lock();
        state.listeners.retain(|address, _| address.ip() != ip);
        state.inboxes.retain(|address, _| address.ip() != ip);
    }

    /// Returns how the two hosts are cut off from each other; `None` if they are not.
    fn cut_between(&self, one: IpAddr, other: IpAddr) -> Option<Cut> {
        self.lock().cuts.get(&host_pair(one, other)).copied()
    }

    fn next_stream_end(&self) -> u64 {
        let mut state = self.lock();
        state.stream_ends += 1;
        state.stream_ends
    }

    /// Listens on `address`; the receiver gets each new connection, and the host that opened
    /// it.
    pub fn listen(&self, address: SocketAddr) -> mpsc::Receiver<(Box<dyn ByteStream>, IpAddr)> {
        let (sender, receiver) = mpsc::channel(BACKLOG);
        self.lock().listeners.insert(address, sender);
        receiver
    }
}

/// Wakes the readers of all streams.
fn wake_readers(mut state: MutexGuard<'_, State>) {
    let readers = std::mem::take(&mut state.readers);
    drop(state);
    readers.into_values().for_each(Waker::wake);
}

/// Orders two hosts, so that a pair has the same key in either direction.
fn host_pair(one: IpAddr, other: IpAddr) -> (IpAddr, IpAddr) {
    (one.min(other), one.max(other))
}

struct Host {
    network: MemoryNetwork,
    ip: IpAddr,
}

#[async_trait]
impl Network for Host {
    async fn connect(&self, address: SocketAddr) -> io::Result<Box<dyn ByteStream>> {
        tokio::time::sleep(LINK_DELAY).await;
        let refused = || io::Error::from(io::ErrorKind::ConnectionRefused);
        match self.network.cut_between(self.ip, address.ip()) {
            Some(Cut::Silent) => std::future::pending::<()>().await,
            Some(Cut::Reset | Cut::RefusesNew) => return Err(refused()),
            None => {}
        }
        let listener = self.network.lock().listeners.get(&address).cloned();
        let Some(listener) = listener else {
            self.network.lock().refused_connections += 1;
            return Err(refused());
        };
        let (near, far) = tokio::io::duplex(STREAM_BUFFER_BYTES);
        let number = {
            let mut state = self.network.lock();
            state.opened_streams += 1;
            state.opened_streams
        };
        let reset = Arc::new(AtomicBool::new(false));
        let wrap = |stream| MemoryStream {
            network: self.network.clone(),
            number,
            end: self.network.next_stream_end(),
            hosts: host_pair(self.ip, address.ip()),
            stream,
            reset: reset.clone(),
            read_during_cut: false,
            end_delay: None,
        };
        let accepted: Accepted = (Box::new(wrap(far)), self.ip);
        listener.send(accepted).await.map_err(|_| refused())?;
        Ok(Box::new(wrap(near)))
    }

    async fn listen(&self, address: SocketAddr) -> io::Result<Box<dyn Listener>> {
        let connections = AsyncMutex::new(self.network.listen(address));
        Ok(Box::new(MemoryListener { connections }))
    }

    async fn datagrams(&self, address: SocketAddr) -> io::Result<Box<dyn Datagrams>> {
        let (sender, inbox) = mpsc::channel(INBOX_DATAGRAMS);
        self.network.lock().inboxes.insert(address, sender);
        Ok(Box::new(MemoryDatagrams {
            network: self.network.clone(),
            ip: self.ip,
            inbox: AsyncMutex::new(inbox),
        }))
    }
}

struct MemoryListener {
    connections: AsyncMutex<mpsc::Receiver<Accepted>>,
}

#[async_trait]
impl Listener for MemoryListener {
    async fn accept(&self) -> io::Result<Box<dyn ByteStream>> {
        match self.connections.lock().await.recv().await {
            Some((stream, _)) => Ok(stream),
            None => std::future::pending().await,
        }
    }
}

struct MemoryDatagrams {
    network: MemoryNetwork,
    ip: IpAddr,
    inbox: AsyncMutex<mpsc::Receiver<Vec<u8>>>,
}

#[async_trait]
impl Datagrams for MemoryDatagrams {
    async fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        if self.network.cut_between(self.ip, to.ip()).is_none() {
            let inbox = self.network.lock().inboxes.get(&to).cloned();
            if let Some(inbox) = inbox {
                // A full inbox loses datagrams, as on a real network.
                let _ = inbox.try_send(bytes.to_vec());
            }
        }
        Ok(())
    }

    async fn receive(&self, buffer: &mut [u8]) -> io::Result<usize> {
        match self.inbox.lock().await.recv().await {
            Some(bytes) => {
                buffer[..bytes.len()].copy_from_slice(&bytes);
                Ok(bytes.len())
            }
            None => std::future::pending().await,
        }
    }
}

/// One end of a stream. It delivers nothing while its hosts are cut off from each other, and
/// nothing ever again once it is stalled.
struct MemoryStream {
    network: MemoryNetwork,
    /// Position among all streams of the network, in the order of their opening.
    number: u64,
    /// Identifies this end among the ends of all streams.
    end: u64,
    /// Hosts of the two ends, as [`host_pair`] orders them.
    hosts: (IpAddr, IpAddr),
    stream: DuplexStream,
    /// Whether one of the ends has reset the connection; shared by both ends.
    reset: Arc<AtomicBool>,
    /// Whether bytes or the end of this stream may have been held back: a read found the hosts
    /// cut off from each other.
    read_during_cut: bool,
    /// Delay after which the end of the stream is delivered; set when it is first read.
    end_delay: Option<Pin<Box<Sleep>>>,
}

impl MemoryStream {
    /// Whether the hosts are cut off from each other without a sign. `context` is woken when
    /// the cut ends, and when a cut resets the stream.
    fn is_cut(&self, context: &Context<'_>) -> bool {
        let mut state = self.network.lock();
        state.readers.insert(self.end, context.waker().clone());
        state.cuts.get(&self.hosts) == Some(&Cut::Silent)
    }

    /// Whether one of the ends, or a cut, has reset the stream.
    fn is_reset(&self) -> bool {
        let last_reset = self.network.lock().last_reset.get(&self.hosts).copied();
        let is_reset_by_cut = last_reset.is_some_and(|last| self.number <= last);
        is_reset_by_cut || self.reset.load(Ordering::Relaxed)
    }

    fn is_stalled(&self) -> bool {
        let last_stalled = self.network.lock().last_stalled.get(&self.hosts).copied();
        last_stalled.is_some_and(|last| self.number <= last)
    }
}

impl Drop for MemoryStream {
    fn drop(&mut self) {
        self.network.lock().readers.remove(&self.end);
    }
}

impl ByteStream for MemoryStream {
    fn discard_on_drop(&mut self) {
        self.reset.store(true, Ordering::Relaxed);
    }
}

impl AsyncRead for MemoryStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_cut(context) {
            self.read_during_cut = true;
            return Poll::Pending;
        }
        if self.is_stalled() {
            return Poll::Pending;
        }
        if self.is_reset() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let is_end = matches!(&read, Poll::Ready(Ok(()))) && buffer.filled().len() == before;
        if !is_end || buffer.remaining() == 0 || !self.read_during_cut {
            return read;
        }
        // Held-back bytes arrive as several packets, and the end of the stream in the last
        // one.
        let end_delay = self
            .end_delay
            .get_or_insert_with(|| Box::pin(sleep(LINK_DELAY)));
        end_delay.as_mut().poll(context).map(Ok)
    }
}

impl AsyncWrite for MemoryStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_stalled() {
            return Poll::Pending;
        }
        if self.is_reset() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
