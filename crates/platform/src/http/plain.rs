//! Client of plain services.

use std::net::SocketAddr;

use async_trait::async_trait;
use barleyspar_domain::Verdict;
use bytes::{Bytes, BytesMut};
use reqwest::{Client, Method, Response};

use super::{ConnectionReuse, client, describe};
use crate::plain::{PlainError, PlainRequest, PlainResponse, PlainService};

/// Largest answer that is passed on, in bytes.
const MAXIMUM_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Client of plain services over HTTP.
#[derive(Debug, Clone)]
pub struct HttpPlainService {
    pooled: Client,
    single_use: Client,
}

impl HttpPlainService {
    /// A client of any plain service.
    pub fn new() -> Result<Self, reqwest::Error> {
        Ok(Self {
            pooled: client(ConnectionReuse::Allowed)?,
            single_use: client(ConnectionReuse::Never)?,
        })
    }
}

fn failure(error: &reqwest::Error) -> PlainError {
    let verdict = match error.is_connect() || error.is_builder() {
        true => Verdict::NotRun,
        false => Verdict::MayHaveRun,
    };
    PlainError {
        verdict,
        cause: describe(error),
    }
}

async fn read_body(mut response: Response) -> Result<Bytes, PlainError> {
    let mut body = BytesMut::new();
    while let Some(piece) = response.chunk().await.map_err(|error| failure(&error))? {
        if body.len() + piece.len() > MAXIMUM_ANSWER_BYTES {
            return Err(PlainError {
                verdict: Verdict::Ran,
                cause: format!("answer is larger than {MAXIMUM_ANSWER_BYTES} bytes"),
            });
        }
        body.extend_from_slice(&piece);
    }
    Ok(body.freeze())
}

#[async_trait]
impl PlainService for HttpPlainService {
    async fn call(
        &self,
        address: SocketAddr,
        request: PlainRequest,
    ) -> Result<PlainResponse, PlainError> {
        let client = match request.repeatable {
            true => &self.pooled,
            false => &self.single_use,
        };
        let refuse = |cause: String| PlainError {
            verdict: Verdict::NotRun,
            cause,
        };
        let method = Method::from_bytes(request.method.as_bytes())
            .map_err(|error| refuse(error.to_string()))?;
        let mut outgoing = client
            .request(method, format!("http://{address}{}", request.path))
            .timeout(request.time_left)
            .body(request.body);
        for (name, value) in &request.headers {
            outgoing = outgoing.header(name.as_str(), value.as_ref());
        }
        let response = outgoing.send().await.map_err(|error| failure(&error))?;
        let status = response.status().as_u16();
        let header =
            |(name, value): (&reqwest::header::HeaderName, &reqwest::header::HeaderValue)| {
                (name.to_string(), Bytes::copy_from_slice(value.as_bytes()))
            };
        let headers = response.headers().iter().map(header).collect();
        let body = read_body(response).await?;
        Ok(PlainResponse {
            status,
            headers,
            body,
        })
    }
}
