//! Client of the key-value service.
//!
//! `GET /v1/keys/KEY` answers 200 with the value and `kv-revision`, or 404.
//! `PUT /v1/keys/KEY?expected=REVISION` (0: absent) answers 200 or 409.
//! `GET /v1/keys?prefix=&after=&limit=&wait_ms=` answers a JSON array.
//! 429 with `retry-after-ms` and 503 mean that nothing took effect.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use reqwest::{Client, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::{ConnectionReuse, client, describe};
use crate::key_value::{KeyEntry, KeyValue, KeyValueError, Swap, SwapOutcome, VersionedValue};

/// Time an operation may take beyond the wait it asks for.
const TIME_LIMIT: Duration = Duration::from_secs(5);
/// Header with the revision of a value.
pub const REVISION_HEADER: &str = "kv-revision";
/// Header with the milliseconds to wait after status 429.
pub const RETRY_AFTER_HEADER: &str = "retry-after-ms";
const DEFAULT_RETRY_AFTER_MILLISECONDS: u64 = 200;

/// One element of a listing as it is on the wire.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedKey {
    /// The key.
    pub key: String,
    /// Revision at which it was written.
    pub revision: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// Client of the key-value service over HTTP.
#[derive(Debug, Clone)]
pub struct HttpKeyValue {
    client: Client,
    base: String,
}

impl HttpKeyValue {
    /// A client of the service at `base`, such as `http://127.0.0.1:7000`.
    pub fn new(base: String) -> Result<Self, reqwest::Error> {
        Ok(Self {
            client: client(ConnectionReuse::Allowed)?,
            base,
        })
    }

    fn key_url(&self, key: &str) -> String {
        format!("{}/v1/keys/{key}", self.base)
    }
}

fn failure(error: &reqwest::Error) -> KeyValueError {
    if error.is_connect() {
        return KeyValueError::Unavailable(describe(error));
    }
    KeyValueError::Unknown(describe(error))
}

fn number(response: &Response, header: &str) -> Option<u64> {
    let value = response.headers().get(header)?;
    value.to_str().ok()?.parse().ok()
}

fn refusal(response: &Response) -> Option<KeyValueError> {
    match response.status() {
        StatusCode::TOO_MANY_REQUESTS => {
            let wait = number(response, RETRY_AFTER_HEADER);
            let milliseconds = wait.unwrap_or(DEFAULT_RETRY_AFTER_MILLISECONDS);
            Some(KeyValueError::RateLimited(Duration::from_millis(
                milliseconds,
            )))
        }
        StatusCode::SERVICE_UNAVAILABLE => Some(KeyValueError::Unavailable("outage".to_owned())),
        status if status.is_server_error() => Some(KeyValueError::Unknown(status.to_string())),
        _ => None,
    }
}

async fn versioned(response: Response) -> Result<VersionedValue, KeyValueError> {
    let revision = number(&response, REVISION_HEADER)
        .ok_or_else(|| KeyValueError::Unknown("answer has no revision".to_owned()))?;
    let value = response.bytes().await.map_err(|error| failure(&error))?;
    Ok(VersionedValue { revision, value })
}

#[async_trait]
impl KeyValue for HttpKeyValue {
    async fn get(&self, key: &str) -> Result<Option<VersionedValue>, KeyValueError> {
        let request = self.client.get(self.key_url(key)).timeout(TIME_LIMIT);
        let response = request.send().await.map_err(|error| failure(&error))?;
        if let Some(refused) = refusal(&response) {
            return Err(refused);
        }
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        versioned(response).await.map(Some)
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<KeyEntry>, KeyValueError> {
        self.watch(prefix, after, limit, Duration::ZERO).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
        wait: Duration,
    ) -> Result<Vec<KeyEntry>, KeyValueError> {
        let wait_ms = wait.as_millis();
        let url = format!(
            "{}/v1/keys?prefix={prefix}&after={after}&limit={limit}&wait_ms={wait_ms}",
            self.base
        );
        let request = self.client.get(url).timeout(wait + TIME_LIMIT);
        let response = request.send().await.map_err(|error| failure(&error))?;
        if let Some(refused) = refusal(&response) {
            return Err(refused);
        }
        let listed: Vec<ListedKey> = response.json().await.map_err(|error| failure(&error))?;
        let entry = |listed: ListedKey| KeyEntry {
            key: listed.key,
            versioned: VersionedValue {
                revision: listed.revision,
                value: Bytes::from(listed.value),
            },
        };
        Ok(listed.into_iter().map(entry).collect())
    }

    async fn swap(&self, swap: Swap) -> Result<SwapOutcome, KeyValueError> {
        let mut url = format!(
            "{}?expected={}",
            self.key_url(&swap.key),
            swap.expected.unwrap_or(0)
        );
        if let Some(time_to_live) = swap.time_to_live {
            url = format!("{url}&ttl_ms={}", time_to_live.as_millis());
        }
        let request = self.client.put(url).body(swap.value).timeout(TIME_LIMIT);
        let response = request.send().await.map_err(|error| failure(&error))?;
        if let Some(refused) = refusal(&response) {
            return Err(refused);
        }
        if response.status() != StatusCode::CONFLICT {
            return versioned(response)
                .await
                .map(|written| SwapOutcome::Applied(written.revision));
        }
        if number(&response, REVISION_HEADER).is_none() {
            return Ok(SwapOutcome::Conflict(None));
        }
        versioned(response)
            .await
            .map(|current| SwapOutcome::Conflict(Some(current)))
    }

    async fn delete(&self, key: &str) -> Result<(), KeyValueError> {
        let request = self.client.delete(self.key_url(key)).timeout(TIME_LIMIT);
        let response = request.send().await.map_err(|error| failure(&error))?;
        refusal(&response).map_or(Ok(()), Err)
    }
}
