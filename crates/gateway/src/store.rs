//! The client of the key-value store.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use barleyspar_catalog::{Dialect, StoreAnswer, StoreCall, StoreError, Transaction};
use bytes::{Bytes, BytesMut};
use http::header::HOST;
use http::{HeaderValue, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use crate::journal::milliseconds;
use crate::metrics::Metrics;
use crate::network::Network;
use crate::upstream::Connection;

/// Seconds that a connection to the store may rest.
const KEEP_ALIVE_SECONDS: u64 = 5;

/// Longest time for one call, however its answer comes.
const LONGEST_CALL: Duration = Duration::from_secs(40);

/// Makes calls to the store. A connection on which an answer stayed out is not
/// used again.
#[derive(Clone)]
pub struct Store {
    address: SocketAddr,
    host: HeaderValue,
    dialect: Arc<dyn Dialect>,
    network: Arc<dyn Network>,
    metrics: Arc<Metrics>,
    idle: Arc<Mutex<Vec<Connection>>>,
    last_answer_at: Arc<Mutex<Option<Instant>>>,
    era: watch::Sender<Era>,
}

/// The newest era of the store that this node knows of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Era {
    /// Its number; 0 before the first answer.
    pub number: u32,
    /// When this node learnt of it.
    pub since: Instant,
}

impl Store {
    /// A client of the store at `address`.
    pub fn new(
        address: SocketAddr,
        dialect: Arc<dyn Dialect>,
        network: Arc<dyn Network>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            address,
            host: HeaderValue::from_str(&address.to_string()).expect("an address is plain text"),
            dialect,
            network,
            metrics,
            idle: Arc::default(),
            last_answer_at: Arc::default(),
            era: watch::Sender::new(Era {
                number: 0,
                since: Instant::now(),
            }),
        }
    }

    /// A client of the same store with connections of its own, which tells only of
    /// its own calls when the store was last_answer_at.
    pub fn separate(&self) -> Self {
        Self {
            idle: Arc::default(),
            last_answer_at: Arc::default(),
            ..self.clone()
        }
    }

    /// When the last part of an answer came, of whatever call.
    pub fn last_answer_at(&self) -> Option<Instant> {
        *self
            .last_answer_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn record_answer(&self) {
        let mut last_answer_at = self
            .last_answer_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *last_answer_at = Some(Instant::now());
    }

    /// The newest era that this node knows of, and its changes.
    pub fn era(&self) -> watch::Receiver<Era> {
        self.era.subscribe()
    }

    /// Takes in that the store is, or was, in the era `number`.
    pub fn note_era(&self, number: u32) {
        self.era.send_if_modified(|known| {
            let rises = number > known.number;
            if rises {
                tracing::warn!(event = "store_era", era = number, before = known.number);
                let since = Instant::now();
                *known = Era { number, since };
            }
            rises
        });
    }

    /// Whether a condition names a change of an earlier era: the store would compare its
    /// number with that of another change.
    fn is_outdated(&self, call: &StoreCall) -> bool {
        let StoreCall::Commit(Transaction { conditions, .. }) = call else {
            return false;
        };
        let era = self.era.borrow().number;
        let mut named = conditions.iter().filter_map(|(_, revision)| *revision);
        named.any(|revision| revision.era < era)
    }

    /// Makes one call. Waits for `patience` for its answer to begin, and as long
    /// for each further part of it: a long answer that keeps coming is not given
    /// up, since the next one would be no shorter.
    pub async fn call(
        &self,
        call: &StoreCall,
        patience: Duration,
    ) -> Result<StoreAnswer, StoreError> {
        let started = Instant::now();
        let result = timeout(LONGEST_CALL, self.exchange(call, patience))
            .await
            .unwrap_or_else(|_| Err(time_is_up()));
        let outcome = if result.is_ok() { "answered" } else { "failed" };
        let took = started.elapsed();
        self.metrics.store_call(call.name(), outcome, took);
        if let Err(error) = &result {
            tracing::info!(
                event = "store_call_failed",
                call = call.name(),
                patience_ms = milliseconds(patience),
                waited_ms = milliseconds(took),
                %error
            );
        }
        result
    }

    async fn exchange(
        &self,
        call: &StoreCall,
        patience: Duration,
    ) -> Result<StoreAnswer, StoreError> {
        if self.is_outdated(call) {
            return Ok(StoreAnswer::Conflict);
        }
        let (mut connection, response) = timeout(patience, self.send(call))
            .await
            .unwrap_or_else(|_| Err(time_is_up()))?;
        self.record_answer();
        let era = self.dialect.store_era(response.headers());
        self.note_era(era);
        let status = response.status();
        let body = self.read_body(response.into_body(), patience).await?;
        connection.rest(Some(KEEP_ALIVE_SECONDS));
        self.lock().push(connection);
        if era < self.era.borrow().number {
            return Err(StoreError::Unanswered(
                "the store has come back from a copy since".to_owned(),
            ));
        }
        self.dialect.read_store_answer(call, era, status, &body)
    }

    async fn send(&self, call: &StoreCall) -> Result<(Connection, Response<Incoming>), StoreError> {
        let mut connection = match self.checkout() {
            Some(connection) => connection,
            None => Connection::open(&*self.network, self.address, Duration::from_secs(60), None)
                .await
                .map_err(|_| StoreError::Unavailable)?,
        };
        let mut request = self.dialect.store_call(call);
        request.headers_mut().insert(HOST, self.host.clone());
        let response = connection.send(request).await.map_err(|error| {
            if error.sent {
                StoreError::Unanswered(error.cause)
            } else {
                StoreError::Unavailable
            }
        })?;
        Ok((connection, response))
    }

    /// Reads a body of which each part comes within `patience`.
    async fn read_body(&self, mut body: Incoming, patience: Duration) -> Result<Bytes, StoreError> {
        let mut whole = BytesMut::new();
        while let Some(frame) = timeout(patience, body.frame())
            .await
            .map_err(|_| time_is_up())?
        {
            self.record_answer();
            let frame = frame.map_err(|error| StoreError::Unanswered(error.to_string()))?;
            if let Ok(part) = frame.into_data() {
                whole.extend_from_slice(&part);
            }
        }
        Ok(whole.freeze())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn checkout(&self) -> Option<Connection> {
        let mut idle = self.lock();
        idle.retain(Connection::is_alive);
        idle.pop()
    }
}

fn time_is_up() -> StoreError {
    StoreError::Unanswered("time is up".to_owned())
}
