//! Calls between nodes over the in-memory network.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use barleyspar_kernel::{Kernel, Stage};
use barleyspar_peer::{PeerDispatch, PeerError, PeerTransport, Traffic};
use bytes::Bytes;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::network::{Fate, Network, Place};

/// Bytes that a call or an answer takes on the wire beyond its body: the frame
/// with its length prefix, and the headers of TCP and IP.
pub const OVERHEAD_BYTES: usize = 24 + 52;

/// A node that answers calls.
#[derive(Clone)]
pub struct Endpoint {
    /// Its kernel: calls are handled in its tasks, so that they stop with it.
    pub kernel: Kernel,
    /// Its services.
    pub dispatch: PeerDispatch,
    /// Where it is.
    pub place: Place,
    /// Its traffic.
    pub traffic: Traffic,
}

/// All nodes by address. Cheap to clone.
#[derive(Clone, Default)]
pub struct Endpoints {
    by_address: Arc<Mutex<BTreeMap<SocketAddr, Endpoint>>>,
}

impl Endpoints {
    /// A node answers at `address` from now on.
    pub fn put(&self, address: SocketAddr, endpoint: Endpoint) {
        self.lock().insert(address, endpoint);
    }

    /// Nobody answers at `address` any more.
    pub fn remove(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn get(&self, address: SocketAddr) -> Option<Endpoint> {
        self.lock().get(&address).cloned()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, Endpoint>> {
        self.by_address.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// The transport of one node.
pub struct SimTransport {
    /// The network.
    pub network: Network,
    /// All nodes.
    pub endpoints: Endpoints,
    /// Where this node is.
    pub place: Place,
    /// This node's traffic.
    pub traffic: Traffic,
}

impl SimTransport {
    /// Lets the endpoint handle the call after `delay`; the receiver gets the answer.
    fn deliver(
        endpoint: &Endpoint,
        service: &'static str,
        body: Bytes,
        delay: Duration,
    ) -> oneshot::Receiver<Result<Bytes, PeerError>> {
        let (reply, answer) = oneshot::channel();
        let handling = endpoint.clone();
        endpoint.kernel.spawn(Stage::Control, async move {
            tokio::time::sleep(delay).await;
            handling
                .traffic
                .count_received(service, body.len() + OVERHEAD_BYTES);
            let result = handling.dispatch.handle(service, body).await;
            let size = result.as_ref().map_or(0, Bytes::len);
            handling.traffic.count_sent(service, size + OVERHEAD_BYTES);
            let _ = reply.send(result);
        });
        answer
    }
}

#[async_trait]
impl PeerTransport for SimTransport {
    async fn call(
        &self,
        to: SocketAddr,
        service: &'static str,
        body: Bytes,
        time_limit: Duration,
    ) -> Result<Bytes, PeerError> {
        let until = Instant::now() + time_limit;
        self.traffic.count_call(service);
        self.traffic
            .count_sent(service, body.len() + OVERHEAD_BYTES);
        let silent = || PeerError::Lost(format!("no answer in {time_limit:?}"));
        let Some(endpoint) = self.endpoints.get(to) else {
            tokio::time::sleep(self.network.quality().remote).await;
            return Err(PeerError::Unreachable("connection refused".to_owned()));
        };
        let Fate::Arrives(delay, late) = self.network.fate(&self.place, &endpoint.place) else {
            tokio::time::sleep_until(until).await;
            return Err(silent());
        };
        if let Some(late) = late {
            drop(Self::deliver(&endpoint, service, body.clone(), late));
        }
        let answer = Self::deliver(&endpoint, service, body, delay);
        let answered = tokio::time::timeout_at(until, answer).await;
        let result = match answered {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => return Err(PeerError::Lost("connection ended".to_owned())),
            Err(_) => return Err(silent()),
        };
        match self.network.fate(&endpoint.place, &self.place) {
            Fate::Arrives(delay, _) if Instant::now() + delay <= until => {
                tokio::time::sleep(delay).await;
            }
            Fate::Arrives(..) | Fate::Lost => {
                tokio::time::sleep_until(until).await;
                return Err(silent());
            }
        }
        let size = result.as_ref().map_or(0, Bytes::len);
        self.traffic.count_received(service, size + OVERHEAD_BYTES);
        result
    }
}
