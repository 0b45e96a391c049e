//! The client of the key-value store.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use barleyspar_catalog::{Dialect, StoreAnswer, StoreCall, StoreError, Transaction};
use bytes::{Bytes, BytesMut};
use http::header::HOST;
use http::{HeaderValue, Response};
use http_body_util::BodyExt;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use crate::journal::milliseconds;
use crate::metrics::Metrics;
use crate::network::Network;
use crate::upstream::{Connection, ReceivedBody};

/// Time for which a connection to the store may stay idle, in seconds.
const KEEP_ALIVE_SECONDS: u64 = 5;

/// Maximum duration of one call, even while its answer keeps arriving.
const MAX_CALL_TIME: Duration = Duration::from_secs(40);
/// Largest body of an answer. The entries of all runners of a large site, in one answer, are a
/// fifth of it.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// A client of the store, with a pool of idle connections. A connection on which a call
/// was not fully answered is not used again.
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

/// The newest era of the store that this node knows of. An era ends when the store is
/// restored from a backup.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Era {
    /// The era's number; 0 before the first answer.
    pub number: u32,
    /// When this node first learned of the era.
    pub since: Instant,
}

impl Store {
    /// Creates a client of the store at `address`.
    pub fn new(
        address: SocketAddr,
        dialect: Arc<dyn Dialect>,
        network: Arc<dyn Network>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            address,
            host: HeaderValue::from_str(&address.to_string())
                .expect("an address is a valid header value"),
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

    /// Returns a client of the same store with its own connections, whose
    /// [`Store::last_answer_at`] covers only its own calls. The era is shared.
    pub fn with_own_connections(&self) -> Self {
        Self {
            idle: Arc::default(),
            last_answer_at: Arc::default(),
            ..self.clone()
        }
    }

    /// When the last part of an answer to any call arrived; `None` before the first.
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

    /// Returns a receiver of the newest era that this node knows of.
    pub fn watch_era(&self) -> watch::Receiver<Era> {
        self.era.subscribe()
    }

    /// Records that the store is, or was, in the era `number`; an era that is not newer
    /// changes nothing.
    pub fn observe_era(&self, number: u32) {
        self.era.send_if_modified(|known| {
            let is_newer = number > known.number;
            if is_newer {
                tracing::warn!(event = "store_era", era = number, before = known.number);
                let since = Instant::now();
                *known = Era { number, since };
            }
            is_newer
        });
    }

    /// Whether a condition of the call names a revision of an earlier era. Such a call
    /// must not be sent: in the store's present era, the same number denotes another
    /// change.
    fn is_outdated(&self, call: &StoreCall) -> bool {
        let StoreCall::Commit(Transaction { conditions, .. }) = call else {
            return false;
        };
        let era = self.era.borrow().number;
        let mut revisions = conditions.iter().filter_map(|(_, revision)| *revision);
        revisions.any(|revision| revision.era < era)
    }

    /// Sends one call and returns its answer. Waits up to `answer_timeout` for the
    /// answer to begin, and as long for each further part: a long answer that keeps
    /// arriving is not dropped, since the next one would be as long.
    pub async fn call(
        &self,
        call: &StoreCall,
        answer_timeout: Duration,
    ) -> Result<StoreAnswer, StoreError> {
        let started = Instant::now();
        let result = timeout(MAX_CALL_TIME, self.exchange(call, answer_timeout))
            .await
            .unwrap_or_else(|_| Err(timeout_error()));
        let outcome = if result.is_ok() { "answered" } else { "failed" };
        let elapsed = started.elapsed();
        self.metrics.store_call_ended(call.name(), outcome, elapsed);
        if let Err(error) = &result {
            tracing::info!(
                event = "store_call_failed",
                call = call.name(),
                patience_ms = milliseconds(answer_timeout),
                waited_ms = milliseconds(elapsed),
                %error
            );
        }
        result
    }

    async fn exchange(
        &self,
        call: &StoreCall,
        answer_timeout: Duration,
    ) -> Result<StoreAnswer, StoreError> {
        if self.is_outdated(call) {
            return Ok(StoreAnswer::Conflict);
        }
        let (mut connection, response) = timeout(answer_timeout, self.send(call))
            .await
            .unwrap_or_else(|_| Err(timeout_error()))?;
        self.record_answer();
        let era = self.dialect.store_era(response.headers());
        self.observe_era(era);
        let status = response.status();
        let body = self.read_body(response.into_body(), answer_timeout).await?;
        connection.mark_idle(Some(KEEP_ALIVE_SECONDS));
        self.lock_idle().push(connection);
        if era < self.era.borrow().number {
            return Err(StoreError::Unanswered(
                "the store was restored from a backup before the answer arrived".to_owned(),
            ));
        }
        self.dialect.read_store_answer(call, era, status, &body)
    }

    async fn send(
        &self,
        call: &StoreCall,
    ) -> Result<(Connection, Response<ReceivedBody>), StoreError> {
        let mut connection = match self.take_idle_connection() {
            Some(connection) => connection,
            None => Connection::open(&*self.network, self.address, Duration::from_secs(60), None)
                .await
                .map_err(|_| StoreError::Unavailable)?,
        };
        let mut request = self.dialect.store_call(call);
        request.headers_mut().insert(HOST, self.host.clone());
        let response = connection.send(request).await.map_err(|error| {
            if error.was_sent() {
                StoreError::Unanswered(error.cause)
            } else {
                StoreError::Unavailable
            }
        })?;
        Ok((connection, response))
    }

    /// Reads a body of at most [`MAX_ANSWER_BYTES`], waiting up to `answer_timeout` for each
    /// part.
    async fn read_body(
        &self,
        mut body: ReceivedBody,
        answer_timeout: Duration,
    ) -> Result<Bytes, StoreError> {
        let mut bytes = BytesMut::new();
        while let Some(frame) = timeout(answer_timeout, body.frame())
            .await
            .map_err(|_| timeout_error())?
        {
            self.record_answer();
            let frame = frame.map_err(|error| StoreError::Unanswered(error.to_string()))?;
            if let Ok(part) = frame.into_data() {
                bytes.extend_from_slice(&part);
            }
            if bytes.len() > MAX_ANSWER_BYTES {
                let cause = format!("the answer exceeds {MAX_ANSWER_BYTES} bytes");
                return Err(StoreError::Unanswered(cause));
            }
        }
        Ok(bytes.freeze())
    }

    fn lock_idle(&self) -> std::sync::MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_idle_connection(&self) -> Option<Connection> {
        let mut idle = self.lock_idle();
        idle.retain(Connection::is_alive);
        idle.pop()
    }
}

fn timeout_error() -> StoreError {
    StoreError::Unanswered("timed out".to_owned())
}
