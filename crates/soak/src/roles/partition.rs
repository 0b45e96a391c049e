//! A gateway's network, on which it can be partitioned from all other gateways or from all
//! runners: nothing passes, and nobody is told.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker};

use async_trait::async_trait;
use barleyspar_gateway::{ByteStream, Datagrams, Listener, Network, Sockets};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::site::{Neighbours, Ports};

/// Whether the gateway is partitioned from its neighbours of one kind; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Partition {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    is_partitioned: bool,
    /// What waits for the partition's end.
    wakers: Vec<Waker>,
}

impl Partition {
    /// Partitions the gateway from now on.
    pub fn begin(&self) {
        self.lock().is_partitioned = true;
    }

    /// Ends the partition.
    pub fn end(&self) {
        let wakers = {
            let mut state = self.lock();
            state.is_partitioned = false;
            std::mem::take(&mut state.wakers)
        };
        wakers.into_iter().for_each(Waker::wake);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_partitioned(&self) -> bool {
        self.lock().is_partitioned
    }

    /// Whether the gateway is partitioned; if so, `context` is woken at the end.
    fn holds_back(&self, context: &Context<'_>) -> bool {
        let mut state = self.lock();
        if state.is_partitioned {
            state.wakers.push(context.waker().clone());
        }
        state.is_partitioned
    }

    /// Waits until the gateway is not partitioned.
    async fn ended(&self) {
        std::future::poll_fn(|context| {
            if self.holds_back(context) {
                Poll::Pending
            } else {
                Poll::Ready(())
            }
        })
        .await;
    }
}

/// The system's network, but for partitions between this gateway and its neighbours.
#[derive(Debug)]
pub struct PartitionedNetwork {
    ports: Ports,
    from_gateways: Partition,
    from_runners: Partition,
}

impl PartitionedNetwork {
    /// Creates a network without a partition.
    pub fn new(ports: Ports) -> Self {
        Self {
            ports,
            from_gateways: Partition::default(),
            from_runners: Partition::default(),
        }
    }

    /// Returns the partition from these neighbours, to begin and end it.
    pub fn partition_from(&self, neighbours: Neighbours) -> &Partition {
        match neighbours {
            Neighbours::Gateways => &self.from_gateways,
            Neighbours::Runners => &self.from_runners,
        }
    }

    /// Returns the partition on the way to `address`; `None` where there cannot be one.
    fn partition_before(&self, address: SocketAddr) -> Option<&Partition> {
        let neighbours = self.ports.neighbours_at(address)?;
        Some(self.partition_from(neighbours))
    }
}

#[async_trait]
impl Network for PartitionedNetwork {
    async fn connect(&self, address: SocketAddr) -> io::Result<Box<dyn ByteStream>> {
        let Some(partition) = self.partition_before(address) else {
            return Sockets.connect(address).await;
        };
        partition.ended().await;
        let stream = Sockets.connect(address).await?;
        Ok(PartitionedStream::wrap(stream, partition))
    }

    async fn listen(&self, address: SocketAddr) -> io::Result<Box<dyn Listener>> {
        let listener = Sockets.listen(address).await?;
        let Some(partition) = self.partition_before(address) else {
            return Ok(listener);
        };
        Ok(Box::new(PartitionedListener {
            listener,
            partition: partition.clone(),
        }))
    }

    async fn datagrams(&self, address: SocketAddr) -> io::Result<Box<dyn Datagrams>> {
        Ok(Box::new(PartitionedDatagrams {
            socket: Sockets.datagrams(address).await?,
            partition: self.from_gateways.clone(),
        }))
    }
}

struct PartitionedListener {
    listener: Box<dyn Listener>,
    partition: Partition,
}

#[async_trait]
impl Listener for PartitionedListener {
    async fn accept(&self) -> io::Result<Box<dyn ByteStream>> {
        let stream = self.listener.accept().await?;
        Ok(PartitionedStream::wrap(stream, &self.partition))
    }
}

struct PartitionedDatagrams {
    socket: Box<dyn Datagrams>,
    partition: Partition,
}

#[async_trait]
impl Datagrams for PartitionedDatagrams {
    async fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        if self.partition.is_partitioned() {
            return Ok(());
        }
        self.socket.send(bytes, to).await
    }

    async fn receive(&self, buffer: &mut [u8]) -> io::Result<usize> {
        loop {
            let length = self.socket.receive(buffer).await?;
            if !self.partition.is_partitioned() {
                return Ok(length);
            }
        }
    }
}

/// A stream to a neighbour, which stands still during a partition.
struct PartitionedStream {
    stream: Box<dyn ByteStream>,
    partition: Partition,
}

impl PartitionedStream {
    fn wrap(stream: Box<dyn ByteStream>, partition: &Partition) -> Box<dyn ByteStream> {
        Box::new(Self {
            stream,
            partition: partition.clone(),
        })
    }
}

impl ByteStream for PartitionedStream {
    fn discard_on_drop(&mut self) {
        self.stream.discard_on_drop();
    }
}

impl AsyncRead for PartitionedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.partition.holds_back(context) {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for PartitionedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.partition.holds_back(context) {
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
