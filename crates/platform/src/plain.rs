//! Plain HTTP services.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use barleyspar_domain::Verdict;
use bytes::Bytes;
use thiserror::Error;

/// A header: name and value.
pub type Header = (String, Bytes);

/// A request to a plain service.
#[derive(Debug, Clone)]
pub struct PlainRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Bytes,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
}

/// The whole answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainResponse {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Bytes,
}

/// A request that got no whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{cause} ({verdict})")]
pub struct PlainError {
    /// What is known about whether it ran.
    pub verdict: Verdict,
    /// What happened.
    pub cause: String,
}

/// Sends requests to instances of plain services.
#[async_trait]
pub trait PlainService: Send + Sync {
    /// Sends `request` to the instance at `address`, once.
    async fn call(
        &self,
        address: SocketAddr,
        request: PlainRequest,
    ) -> Result<PlainResponse, PlainError>;
}
