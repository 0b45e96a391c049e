//! Client of the machine list: `GET /v1/machines` answers a JSON array with an
//! `ETag`, or 304 to an `If-None-Match` that still holds.

use std::time::Duration;

use async_trait::async_trait;
use reqwest::header::{ETAG, IF_NONE_MATCH};
use reqwest::{Client, StatusCode};

use super::{ConnectionReuse, client, describe};
use crate::machines::{Listing, MachineList, MachineListError};

const TIME_LIMIT: Duration = Duration::from_secs(5);

/// Client of the machine list over HTTP.
#[derive(Debug, Clone)]
pub struct HttpMachineList {
    client: Client,
    base: String,
}

impl HttpMachineList {
    /// A client of the list at `base`, such as `http://127.0.0.1:7001`.
    pub fn new(base: String) -> Result<Self, reqwest::Error> {
        Ok(Self {
            client: client(ConnectionReuse::Allowed)?,
            base,
        })
    }
}

#[async_trait]
impl MachineList for HttpMachineList {
    async fn list(&self, known: Option<&str>) -> Result<Listing, MachineListError> {
        let refuse = |error: reqwest::Error| MachineListError(describe(&error));
        let url = format!("{}/v1/machines", self.base);
        let mut request = self.client.get(url).timeout(TIME_LIMIT);
        if let Some(tag) = known {
            request = request.header(IF_NONE_MATCH, tag);
        }
        let response = request.send().await.map_err(refuse)?;
        let tag = response.headers().get(ETAG);
        let tag = tag.and_then(|tag| tag.to_str().ok()).map(str::to_owned);
        if response.status() == StatusCode::NOT_MODIFIED {
            let machines = None;
            return Ok(Listing { tag, machines });
        }
        let accepted = response.error_for_status().map_err(refuse)?;
        let machines = Some(accepted.json().await.map_err(refuse)?);
        Ok(Listing { tag, machines })
    }
}
