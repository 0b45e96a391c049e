//! An HTTP client that sends one request on a connection of its own.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::Builder;
use hyper_util::rt::TokioIo;

use crate::dialect::names;
use crate::network::MemoryNetwork;

/// Deadline of requests for which the test sets none.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(20);

/// The answer that a client received, complete or not.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status code; `None` if the connection ended without an answer.
    pub status: Option<StatusCode>,
    /// Headers of the answer; empty if there was none.
    pub headers: HeaderMap,
    /// Body, up to where the connection broke off.
    pub body: Bytes,
    /// Whether the body arrived to its end.
    pub complete: bool,
}

impl Answer {
    /// The answer of a connection that ended before any answer arrived.
    pub fn none() -> Self {
        Self {
            status: None,
            headers: HeaderMap::new(),
            body: Bytes::new(),
            complete: false,
        }
    }

    /// Status code as a number; 0 if the connection ended without an answer.
    pub fn code(&self) -> u16 {
        self.status.map_or(0, |status| status.as_u16())
    }

    /// Software versions that wrote the events of the body, in order; one for each event.
    pub fn event_software(&self) -> Vec<String> {
        let text = String::from_utf8_lossy(&self.body);
        text.lines()
            .filter_map(|line| line.strip_prefix("data: by "))
            .map(str::to_owned)
            .collect()
    }

    /// Ids of the server-sent events in the body, in order.
    pub fn event_ids(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body);
        text.lines()
            .filter_map(|line| line.strip_prefix("id: "))
            .filter_map(|id| id.parse().ok())
            .collect()
    }
}

/// A request to a gateway, with what [`send_request`] needs to send it.
pub struct ClientRequest<'a> {
    /// Address of the client's host.
    pub from: IpAddr,
    /// Address of the gateway's listener.
    pub to: SocketAddr,
    /// Path of the request, which selects the route.
    pub path: &'a str,
    /// Request id, which the client sends as a header.
    pub id: &'a str,
    /// Further headers, as name and value.
    pub extra: &'a [(&'a str, &'a str)],
    /// Model that the request names; `None` for a plain request.
    pub model: Option<&'a str>,
    /// Body of the request; `None` sends the request id as the body.
    pub body: Option<&'a str>,
    /// Time within which the gateway must answer, sent as the deadline header. The client
    /// itself does not stop waiting.
    pub deadline: Duration,
}

impl<'a> ClientRequest<'a> {
    /// Returns a request that names no model, has no further headers, and has the default
    /// deadline.
    pub fn plain(from: IpAddr, to: SocketAddr, path: &'a str, id: &'a str) -> Self {
        Self {
            from,
            to,
            path,
            id,
            extra: &[],
            model: None,
            body: None,
            deadline: DEFAULT_DEADLINE,
        }
    }
}

/// Sends `client_request` on a new connection and reads the answer to its end.
pub async fn send_request(network: &MemoryNetwork, client_request: ClientRequest<'_>) -> Answer {
    let host = network.host(client_request.from);
    let Ok(stream) = host.connect(client_request.to).await else {
        return Answer::none();
    };
    let Ok((mut sender, connection)) = Builder::new().handshake(TokioIo::new(stream)).await else {
        return Answer::none();
    };
    let driver = tokio::spawn(async move {
        // An error of the connection shows in the answer, which is then incomplete.
        let _ = connection.await;
    });
    let mut request = Request::post(client_request.path)
        .header("host", "host")
        .header(names::REQUEST_ID, client_request.id)
        .header(
            names::DEADLINE,
            client_request.deadline.as_millis().to_string(),
        );
    if let Some(model) = client_request.model {
        request = request.header(names::MODEL, model);
    }
    for (name, value) in client_request.extra {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(Bytes::from(
            client_request.body.unwrap_or(client_request.id).to_owned(),
        )))
        .expect("the request is well formed");
    let answer = match sender.send_request(request).await {
        Ok(response) => read_answer(response).await,
        Err(_) => Answer::none(),
    };
    driver.abort();
    answer
}

async fn read_answer(response: http::Response<hyper::body::Incoming>) -> Answer {
    let (head, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    let complete = loop {
        match body.frame().await {
            None => break true,
            Some(Err(_)) => break false,
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    bytes.extend_from_slice(&data);
                }
            }
        }
    };
    Answer {
        status: Some(head.status),
        headers: head.headers,
        body: bytes.into(),
        complete,
    }
}
