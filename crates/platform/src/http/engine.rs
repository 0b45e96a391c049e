//! Client of model engines.
//!
//! `POST /v1/orders`, `GET /v1/inventory`, `POST /v1/generate` (server-sent
//! events, one chunk each) and `POST /v1/cancel/ID`. Errors come with status
//! 409 and the JSON form of [`ControlError`] or [`GenerateError`].

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use barleyspar_domain::Incarnation;
use futures_util::{StreamExt, TryStreamExt};
use reqwest::{Client, Response, StatusCode};
use serde::de::DeserializeOwned;
use tokio_util::codec::{FramedRead, LinesCodec};
use tokio_util::io::StreamReader;

use super::{ConnectionReuse, client, describe};
use crate::engine::{
    Chunk, ChunkStream, ControlError, Engine, GenerateError, GenerateRequest, Inventory, Order,
};

/// Time an order, or an inventory beyond its wait, may take.
const TIME_LIMIT: Duration = Duration::from_secs(3);
/// Longest line of a token stream, in bytes.
const MAXIMUM_LINE_BYTES: usize = 1024 * 1024;
/// Prefix of the data lines of server-sent events.
const DATA_PREFIX: &str = "data: ";
/// Longest pause between two chunks before the stream counts as broken.
const CHUNK_TIME_LIMIT: Duration = Duration::from_secs(20);

/// Client of engines over HTTP.
#[derive(Debug, Clone)]
pub struct HttpEngine {
    client: Client,
}

impl HttpEngine {
    /// A client of any engine.
    pub fn new() -> Result<Self, reqwest::Error> {
        Ok(Self {
            client: client(ConnectionReuse::Allowed)?,
        })
    }
}

fn unreachable_engine(error: &reqwest::Error) -> ControlError {
    ControlError::Unreachable(describe(error))
}

async fn control_answer<T: DeserializeOwned>(response: Response) -> Result<T, ControlError> {
    match response.status() {
        StatusCode::OK => response.json().await.map_err(|e| unreachable_engine(&e)),
        StatusCode::CONFLICT => {
            let error: ControlError = response.json().await.map_err(|e| unreachable_engine(&e))?;
            Err(error)
        }
        status => Err(ControlError::Unreachable(status.to_string())),
    }
}

fn generate_failure(error: &reqwest::Error) -> GenerateError {
    match error.is_connect() {
        true => GenerateError::NoConnection(describe(error)),
        false => GenerateError::Broken(describe(error)),
    }
}

fn parse_line(line: &str) -> Option<Result<Chunk, GenerateError>> {
    let data = line.strip_prefix(DATA_PREFIX)?;
    let chunk = serde_json::from_str::<Chunk>(data);
    Some(chunk.map_err(|error| GenerateError::Broken(error.to_string())))
}

fn chunk_stream(response: Response) -> ChunkStream {
    let bytes = response.bytes_stream().map_err(std::io::Error::other);
    let codec = LinesCodec::new_with_max_length(MAXIMUM_LINE_BYTES);
    let lines = FramedRead::new(StreamReader::new(bytes), codec);
    let timed = futures_util::stream::unfold(lines, |mut lines| async move {
        let next = tokio::time::timeout(CHUNK_TIME_LIMIT, lines.next()).await;
        let item = match next {
            Ok(None) => return None,
            Ok(Some(Ok(line))) => parse_line(&line),
            Ok(Some(Err(error))) => Some(Err(GenerateError::Broken(error.to_string()))),
            Err(_) => Some(Err(GenerateError::Broken("stream is silent".to_owned()))),
        };
        Some((item, lines))
    });
    timed.filter_map(|item| async move { item }).boxed()
}

#[async_trait]
impl Engine for HttpEngine {
    async fn order(&self, address: SocketAddr, order: Order) -> Result<Inventory, ControlError> {
        let url = format!("http://{address}/v1/orders");
        let request = self.client.post(url).json(&order).timeout(TIME_LIMIT);
        let response = request.send().await.map_err(|e| unreachable_engine(&e))?;
        control_answer(response).await
    }

    async fn inventory(
        &self,
        address: SocketAddr,
        known: Option<(Incarnation, u64)>,
        wait: Duration,
    ) -> Result<Inventory, ControlError> {
        let mut url = format!("http://{address}/v1/inventory?wait_ms={}", wait.as_millis());
        if let Some((incarnation, version)) = known {
            url = format!("{url}&incarnation={}&version={version}", incarnation.0);
        }
        let request = self.client.get(url).timeout(wait + TIME_LIMIT);
        let response = request.send().await.map_err(|e| unreachable_engine(&e))?;
        control_answer(response).await
    }

    async fn generate(
        &self,
        address: SocketAddr,
        request: GenerateRequest,
    ) -> Result<ChunkStream, GenerateError> {
        let url = format!("http://{address}/v1/generate");
        let outgoing = self.client.post(url).json(&request);
        let sent = tokio::time::timeout(CHUNK_TIME_LIMIT, outgoing.send()).await;
        let response = sent
            .map_err(|_| GenerateError::Broken("engine is silent".to_owned()))?
            .map_err(|error| generate_failure(&error))?;
        match response.status() {
            StatusCode::OK => Ok(chunk_stream(response)),
            StatusCode::CONFLICT => {
                let error = response.json::<GenerateError>().await;
                Err(error.unwrap_or_else(|error| generate_failure(&error)))
            }
            status => Err(GenerateError::Broken(status.to_string())),
        }
    }

    async fn cancel(&self, address: SocketAddr, request_id: &str) {
        let url = format!("http://{address}/v1/cancel/{request_id}");
        let sent = self.client.post(url).timeout(TIME_LIMIT).send().await;
        if let Err(error) = sent {
            tracing::debug!(%address, request_id, error = %describe(&error), "cancel was lost");
        }
    }
}
