//! HTTP client of a node's operator interface.

use std::time::Duration;

use barleyspar_node::OperatorError;
use reqwest::{Client, Method, RequestBuilder};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::arguments::Remote;
use crate::errors::CommandError;

/// Time limit for a whole call to the node, from connecting to the end of the answer. Longer
/// than the node waits for a change to be in force (`--wait`).
const CALL_TIMEOUT: Duration = Duration::from_secs(40);

/// HTTP client of one node, which authenticates with the operator's token.
pub struct OperatorClient {
    client: Client,
    server: String,
    token: String,
}

impl OperatorClient {
    /// Returns a client for the node that `remote` names. Fails if the token file cannot be
    /// read.
    pub fn new(remote: &Remote) -> Result<Self, CommandError> {
        let token = std::fs::read_to_string(&remote.token_file).map_err(|error| {
            let file = remote.token_file.display();
            CommandError::Refused(format!("{file}:1: token: {error}"))
        })?;
        let client = Client::builder()
            .retry(reqwest::retry::never())
            .redirect(reqwest::redirect::Policy::none())
            .no_proxy()
            .timeout(CALL_TIMEOUT)
            .build()
            .map_err(|error| CommandError::Unreachable(error.to_string()))?;
        Ok(Self {
            client,
            server: remote.server.trim_end_matches('/').to_owned(),
            token: token.trim().to_owned(),
        })
    }

    /// Reads the resource `path` of the operator interface.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        self.send(self.request(Method::GET, path)).await
    }

    /// Sends `body` to the resource `path` of the operator interface. The call is not
    /// retried: a lost answer is reported as an unknown outcome.
    pub async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, CommandError> {
        self.send(self.request(Method::POST, path).json(body)).await
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("{}/operator/v1/{path}", self.server);
        self.client.request(method, url).bearer_auth(&self.token)
    }

    async fn send<T: DeserializeOwned>(&self, request: RequestBuilder) -> Result<T, CommandError> {
        let lost_answer = |error: reqwest::Error| match error.is_connect() {
            true => CommandError::Unreachable(error.to_string()),
            false => CommandError::Unknown(format!("the answer was lost: {error}")),
        };
        let response = request.send().await.map_err(lost_answer)?;
        if response.status().is_success() {
            return response.json().await.map_err(lost_answer);
        }
        let status = response.status();
        let error: OperatorError = response.json().await.map_err(|_| {
            CommandError::Refused(format!("the node answered with status {status}"))
        })?;
        match error.unknown_outcome {
            true => Err(CommandError::Unknown(error.message)),
            false => Err(CommandError::Refused(error.message)),
        }
    }
}
