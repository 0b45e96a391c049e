//! The port through which services call other nodes.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{PeerError, decode, encode};

/// Carries calls to other nodes.
#[async_trait]
pub trait PeerTransport: Send + Sync {
    /// Calls `service` of the node at `to` and waits at most `time_limit`.
    async fn call(
        &self,
        to: SocketAddr,
        service: &'static str,
        body: Bytes,
        time_limit: Duration,
    ) -> Result<Bytes, PeerError>;
}

/// Calls `service` of the node at `to` with a typed request and answer.
pub async fn call<Request: Serialize, Answer: DeserializeOwned>(
    transport: &dyn PeerTransport,
    to: SocketAddr,
    service: &'static str,
    request: &Request,
    time_limit: Duration,
) -> Result<Answer, PeerError> {
    let body = encode(request)?;
    let answer = transport.call(to, service, body, time_limit).await?;
    decode(&answer)
}
