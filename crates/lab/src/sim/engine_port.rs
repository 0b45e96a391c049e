//! Engines and plain services as a node reaches them over the in-memory network.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use barleyspar_domain::{Incarnation, RunnerName, Verdict};
use barleyspar_peer::Traffic;
use barleyspar_platform::engine::{
    ChunkStream, ControlError, Engine, GenerateError, GenerateRequest, Inventory, Order,
};
use barleyspar_platform::plain::{PlainError, PlainRequest, PlainResponse, PlainService};
use futures_util::StreamExt;

use super::network::{Fate, Network, Place};
use crate::standins::engine::EngineStandIn;
use crate::standins::plain::PlainRecord;

/// How long a caller waits for a lost control message.
const CONTROL_TIME_LIMIT: Duration = Duration::from_secs(3);
/// How long a caller waits for a lost generation.
const GENERATE_TIME_LIMIT: Duration = Duration::from_secs(20);
/// Bytes of the HTTP headers of a control message and of its answer.
const HTTP_OVERHEAD_BYTES: usize = 300;

/// A back end on the network.
#[derive(Clone)]
pub enum BackEnd {
    /// A model engine.
    Engine(EngineStandIn),
    /// An instance of a plain service.
    Plain(RunnerName, PlainRecord),
    /// Nothing answers there.
    Dead,
}

/// All back ends by address. Cheap to clone.
#[derive(Clone, Default)]
pub struct BackEnds {
    by_address: Arc<Mutex<BTreeMap<SocketAddr, (Place, BackEnd)>>>,
}

impl BackEnds {
    /// `back_end` answers at `address` from now on.
    pub fn put(&self, address: SocketAddr, place: Place, back_end: BackEnd) {
        let mut all = self.by_address.lock().unwrap_or_else(|e| e.into_inner());
        all.insert(address, (place, back_end));
    }

    fn engine(&self, address: SocketAddr) -> Option<(Place, EngineStandIn)> {
        let all = self.by_address.lock().unwrap_or_else(|e| e.into_inner());
        match all.get(&address) {
            Some((place, BackEnd::Engine(engine))) => Some((place.clone(), engine.clone())),
            _ => None,
        }
    }

    fn plain(&self, address: SocketAddr) -> Option<(Place, RunnerName, PlainRecord)> {
        let all = self.by_address.lock().unwrap_or_else(|e| e.into_inner());
        match all.get(&address) {
            Some((place, BackEnd::Plain(name, record))) => {
                Some((place.clone(), name.clone(), record.clone()))
            }
            _ => None,
        }
    }
}

/// The ports of one node to its back ends.
#[derive(Clone)]
pub struct BackEndPort {
    /// The network.
    pub network: Network,
    /// All back ends.
    pub back_ends: BackEnds,
    /// Where the node is.
    pub place: Place,
    /// The node's traffic on control messages.
    pub traffic: Traffic,
}

impl BackEndPort {
    /// Waits for the way to the back end. `None`: the message is lost.
    async fn go(&self, to: &Place) -> Option<Option<Duration>> {
        match self.network.fate(&self.place, to) {
            Fate::Arrives(delay, late) => {
                tokio::time::sleep(delay).await;
                Some(late)
            }
            Fate::Lost => None,
        }
    }

    /// Waits for the way back. Returns whether the answer arrives.
    async fn come_back(&self, from: &Place) -> bool {
        match self.network.fate(from, &self.place) {
            Fate::Arrives(delay, _) => {
                tokio::time::sleep(delay).await;
                true
            }
            Fate::Lost => false,
        }
    }

    fn count(&self, sent: usize, received: usize) {
        self.traffic
            .count_sent("engines", sent + HTTP_OVERHEAD_BYTES);
        self.traffic
            .count_received("engines", received + HTTP_OVERHEAD_BYTES);
    }
}

fn size<T: serde::Serialize>(value: &T) -> usize {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len())
}

async fn silent_engine() -> ControlError {
    tokio::time::sleep(CONTROL_TIME_LIMIT).await;
    ControlError::Unreachable("no answer in time".to_owned())
}

#[async_trait]
impl Engine for BackEndPort {
    async fn order(&self, address: SocketAddr, order: Order) -> Result<Inventory, ControlError> {
        let Some((place, engine)) = self.back_ends.engine(address) else {
            return Err(ControlError::Unreachable("connection refused".to_owned()));
        };
        let Some(late) = self.go(&place).await else {
            return Err(silent_engine().await);
        };
        if let Some(late) = late {
            let (again, engine) = (order.clone(), engine.clone());
            tokio::spawn(async move {
                tokio::time::sleep(late).await;
                let _ = engine.order(again);
            });
        }
        let sent = size(&order);
        let result = engine.order(order);
        if !self.come_back(&place).await {
            return Err(silent_engine().await);
        }
        self.count(sent, result.as_ref().map_or(0, size));
        result
    }

    async fn inventory(
        &self,
        address: SocketAddr,
        known: Option<(Incarnation, u64)>,
        wait: Duration,
    ) -> Result<Inventory, ControlError> {
        let Some((place, engine)) = self.back_ends.engine(address) else {
            return Err(ControlError::Unreachable("connection refused".to_owned()));
        };
        if self.go(&place).await.is_none() {
            return Err(silent_engine().await);
        }
        let result = engine.inventory(known, wait).await;
        if !self.come_back(&place).await {
            return Err(silent_engine().await);
        }
        self.count(0, result.as_ref().map_or(0, size));
        result
    }

    async fn generate(
        &self,
        address: SocketAddr,
        request: GenerateRequest,
    ) -> Result<ChunkStream, GenerateError> {
        let Some((place, engine)) = self.back_ends.engine(address) else {
            return Err(GenerateError::NoConnection("connection refused".to_owned()));
        };
        if self.go(&place).await.is_none() {
            tokio::time::sleep(GENERATE_TIME_LIMIT).await;
            return Err(GenerateError::Broken("no answer in time".to_owned()));
        }
        let stream = engine.generate(request)?;
        let port = self.clone();
        let delayed = stream.then(move |item| {
            let (port, place) = (port.clone(), place.clone());
            async move {
                match port.come_back(&place).await {
                    true => item,
                    false => {
                        tokio::time::sleep(CONTROL_TIME_LIMIT).await;
                        Err(GenerateError::Broken("the stream was lost".to_owned()))
                    }
                }
            }
        });
        Ok(delayed.boxed())
    }

    async fn cancel(&self, address: SocketAddr, request_id: &str) {
        let Some((place, engine)) = self.back_ends.engine(address) else {
            return;
        };
        if self.go(&place).await.is_some() {
            engine.cancel(request_id);
        }
    }
}

#[async_trait]
impl PlainService for BackEndPort {
    async fn call(
        &self,
        address: SocketAddr,
        request: PlainRequest,
    ) -> Result<PlainResponse, PlainError> {
        let lost = |verdict| PlainError {
            verdict,
            cause: "no answer in time".to_owned(),
        };
        let Some((place, runner, record)) = self.back_ends.plain(address) else {
            return Err(PlainError {
                verdict: Verdict::NotRun,
                cause: "connection refused".to_owned(),
            });
        };
        let wait = request.time_left;
        if self.go(&place).await.is_none() {
            tokio::time::sleep(wait).await;
            return Err(lost(Verdict::MayHaveRun));
        }
        let answer = record.handle(&runner, &request).await;
        if !self.come_back(&place).await {
            tokio::time::sleep(wait).await;
            return Err(lost(Verdict::MayHaveRun));
        }
        Ok(answer)
    }
}
