//! A network in memory. Hosts can be cut off from each other: connections hang, and what
//! was sent waits at its sender and is delivered when the cut ends, also if the sender has
//! closed the connection meanwhile, as on a real network without power.

use std::collections::{BTreeMap, BTreeSet};
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

/// Bytes that a stream holds on its way.
const STREAM_BYTES: usize = 256 * 1024;
/// Connections that wait to be accepted.
const BACKLOG: usize = 1024;
/// Datagrams that wait to be read.
const DATAGRAMS: usize = 1024;
/// One way through the network.
const DELAY: Duration = Duration::from_millis(1);

type Accepted = (Box<dyn ByteStream>, IpAddr);

#[derive(Default)]
struct State {
    listeners: BTreeMap<SocketAddr, mpsc::Sender<Accepted>>,
    inboxes: BTreeMap<SocketAddr, mpsc::Sender<Vec<u8>>>,
    cuts: BTreeSet<(IpAddr, IpAddr)>,
    /// Streams opened so far.
    streams: u64,
    /// By pair of hosts, the streams opened up to which are silent for good.
    silent: BTreeMap<(IpAddr, IpAddr), u64>,
    wakers: Vec<Waker>,
    refused: u64,
}

/// The network. Clones are the same network.
#[derive(Clone, Default)]
pub struct MemoryNetwork {
    state: Arc<Mutex<State>>,
}

impl MemoryNetwork {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The network as the host `ip` sees it.
    pub fn host(&self, ip: IpAddr) -> Arc<dyn Network> {
        Arc::new(Host {
            network: self.clone(),
            ip,
        })
    }

    /// Cuts two hosts off from each other.
    pub fn cut(&self, one: IpAddr, other: IpAddr) {
        self.lock().cuts.insert(pair(one, other));
    }

    /// Streams that are open between two hosts go silent for good, without a
    /// reset; new ones work.
    pub fn silence(&self, one: IpAddr, other: IpAddr) {
        let mut state = self.lock();
        let opened = state.streams;
        state.silent.insert(pair(one, other), opened);
    }

    /// Connections that nobody took so far.
    pub fn refused_connections(&self) -> u64 {
        self.lock().refused
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        let wakers = {
            let mut state = self.lock();
            state.cuts.clear();
            std::mem::take(&mut state.wakers)
        };
        wakers.into_iter().for_each(Waker::wake);
    }

    /// Takes a host's listeners and inboxes away, as when its process dies.
    pub fn unbind(&self, ip: IpAddr) {
        let mut state = self.lock();
        state.listeners.retain(|address, _| address.ip() != ip);
        state.inboxes.retain(|address, _| address.ip() != ip);
    }

    fn is_cut(&self, one: IpAddr, other: IpAddr) -> bool {
        self.lock().cuts.contains(&pair(one, other))
    }

    /// Listens on `address` and tells who connects.
    pub fn listen(&self, address: SocketAddr) -> mpsc::Receiver<(Box<dyn ByteStream>, IpAddr)> {
        let (sender, receiver) = mpsc::channel(BACKLOG);
        self.lock().listeners.insert(address, sender);
        receiver
    }
}

fn pair(one: IpAddr, other: IpAddr) -> (IpAddr, IpAddr) {
    (one.min(other), one.max(other))
}

struct Host {
    network: MemoryNetwork,
    ip: IpAddr,
}

#[async_trait]
impl Network for Host {
    async fn connect(&self, address: SocketAddr) -> io::Result<Box<dyn ByteStream>> {
        tokio::time::sleep(DELAY).await;
        if self.network.is_cut(self.ip, address.ip()) {
            std::future::pending::<()>().await;
        }
        let listener = self.network.lock().listeners.get(&address).cloned();
        let refused = || io::Error::from(io::ErrorKind::ConnectionRefused);
        let Some(listener) = listener else {
            self.network.lock().refused += 1;
            return Err(refused());
        };
        let (near, far) = tokio::io::duplex(STREAM_BYTES);
        let number = {
            let mut state = self.network.lock();
            state.streams += 1;
            state.streams
        };
        let reset = Arc::new(AtomicBool::new(false));
        let wrap = |stream| MemoryStream {
            network: self.network.clone(),
            number,
            ends: pair(self.ip, address.ip()),
            stream,
            reset: reset.clone(),
            has_waited: false,
            end: None,
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
        let (sender, inbox) = mpsc::channel(DATAGRAMS);
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
        if !self.network.is_cut(self.ip, to.ip()) {
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

/// A stream on which nothing arrives while its ends are cut off from each other, and
/// which may stand still for good.
struct MemoryStream {
    network: MemoryNetwork,
    number: u64,
    ends: (IpAddr, IpAddr),
    stream: DuplexStream,
    /// Whether an end has reset the connection; both share it.
    reset: Arc<AtomicBool>,
    /// Whether something waited for the end of a cut.
    has_waited: bool,
    /// Runs out when the end of the stream arrives.
    end: Option<Pin<Box<Sleep>>>,
}

impl MemoryStream {
    fn is_cut(&self, context: &Context<'_>) -> bool {
        let mut state = self.network.lock();
        let cut = state.cuts.contains(&self.ends);
        if cut {
            state.wakers.push(context.waker().clone());
        }
        cut
    }

    fn is_silent(&self) -> bool {
        let last_silent = self.network.lock().silent.get(&self.ends).copied();
        last_silent.is_some_and(|last| self.number <= last)
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
            self.has_waited = true;
            return Poll::Pending;
        }
        if self.is_silent() {
            return Poll::Pending;
        }
        if self.reset.load(Ordering::Relaxed) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let is_end = matches!(&read, Poll::Ready(Ok(()))) && buffer.filled().len() == before;
        if !is_end || buffer.remaining() == 0 || !self.has_waited {
            return read;
        }
        // What waited comes in several packets, the end in the last one.
        let end = self.end.get_or_insert_with(|| Box::pin(sleep(DELAY)));
        end.as_mut().poll(context).map(Ok)
    }
}

impl AsyncWrite for MemoryStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Pending;
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
