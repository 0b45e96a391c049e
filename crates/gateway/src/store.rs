//! The client of the key-value store.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use barleyspar_catalog::{Dialect, StoreAnswer, StoreCall, StoreError};
use http::HeaderValue;
use http::header::HOST;
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout_at};

use crate::metrics::Metrics;
use crate::network::Network;
use crate::upstream::Connection;

/// Seconds that a connection to the store may rest.
const KEEP_ALIVE_SECONDS: u64 = 5;

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
        }
    }

    /// Makes one call and waits for its answer at most for `timeout`.
    pub async fn call(
        &self,
        call: &StoreCall,
        timeout: Duration,
    ) -> Result<StoreAnswer, StoreError> {
        let started = Instant::now();
        let until = started + timeout;
        let result = match timeout_at(until, self.exchange(call)).await {
            Ok(result) => result,
            Err(_) => Err(StoreError::Unanswered("time is up".to_owned())),
        };
        let outcome = if result.is_ok() { "answered" } else { "failed" };
        self.metrics
            .store_call(call.name(), outcome, started.elapsed());
        if let Err(error) = &result {
            tracing::info!(event = "store_call_failed", call = call.name(), %error);
        }
        result
    }

    async fn exchange(&self, call: &StoreCall) -> Result<StoreAnswer, StoreError> {
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
        let status = response.status();
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|error| StoreError::Unanswered(error.to_string()))?
            .to_bytes();
        connection.rest(Some(KEEP_ALIVE_SECONDS));
        self.lock().push(connection);
        self.dialect.read_store_answer(call, status, &body)
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
