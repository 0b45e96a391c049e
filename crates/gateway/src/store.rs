//! The client of the key-value store.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use barleyspar_catalog::{Dialect, StoreAnswer, StoreCall, StoreError};
use bytes::{Bytes, BytesMut};
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Response};
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
    heard: Arc<Mutex<Option<Instant>>>,
    /// The newest era of the store that an answer showed; 0 before the first.
    era: watch::Sender<u32>,
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
            heard: Arc::default(),
            era: watch::Sender::new(0),
        }
    }

    /// A client of the same store with connections of its own, which tells only of
    /// its own calls when the store was heard.
    pub fn separate(&self) -> Self {
        Self {
            idle: Arc::default(),
            heard: Arc::default(),
            ..self.clone()
        }
    }

    /// When the last part of an answer came, of whatever call.
    pub fn last_heard(&self) -> Option<Instant> {
        *self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note_heard(&self) {
        let mut heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        *heard = Some(Instant::now());
    }

    /// Takes in the era that an answer belongs to.
    fn note_era(&self, headers: &HeaderMap) {
        let era = self.dialect.store_era(headers);
        self.era.send_if_modified(|known| {
            let rises = era > *known;
            if rises {
                tracing::warn!(event = "store_era", era, before = *known);
                *known = era;
            }
            rises
        });
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
        let (mut connection, response) = timeout(patience, self.send(call))
            .await
            .unwrap_or_else(|_| Err(time_is_up()))?;
        self.note_heard();
        self.note_era(response.headers());
        let status = response.status();
        let body = self.read_body(response.into_body(), patience).await?;
        connection.rest(Some(KEEP_ALIVE_SECONDS));
        self.lock().push(connection);
        self.dialect.read_store_answer(call, status, &body)
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
            self.note_heard();
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
