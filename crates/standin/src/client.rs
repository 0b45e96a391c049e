//! A caller.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::Builder;
use hyper_util::rt::TokioIo;

use crate::dialect::names;
use crate::network::MemoryNetwork;

/// Longest wait of callers that name none.
pub const USUAL_DEADLINE: Duration = Duration::from_secs(20);

/// What a caller got.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status; `None` if the connection ended without an answer.
    pub status: Option<StatusCode>,
    /// The headers.
    pub headers: HeaderMap,
    /// The body as far as it came.
    pub body: Bytes,
    /// Whether the body came whole.
    pub whole: bool,
}

impl Answer {
    /// What a caller has before it asks.
    pub fn none() -> Self {
        Self {
            status: None,
            headers: HeaderMap::new(),
            body: Bytes::new(),
            whole: false,
        }
    }

    /// The status as a number; 0 for none.
    pub fn code(&self) -> u16 {
        self.status.map_or(0, |status| status.as_u16())
    }

    /// Ids of the events in the body.
    pub fn event_ids(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body);
        text.lines()
            .filter_map(|line| line.strip_prefix("id: "))
            .filter_map(|id| id.parse().ok())
            .collect()
    }
}

/// A request to be sent.
pub struct Asked<'a> {
    /// Where the caller is.
    pub from: IpAddr,
    /// The gateway's address.
    pub to: SocketAddr,
    /// The path.
    pub path: &'a str,
    /// Id of the attempt.
    pub id: &'a str,
    /// Headers beside those that this stand-in knows of, as name and value.
    pub extra: &'a [(&'a str, &'a str)],
    /// The model asked for.
    pub model: Option<&'a str>,
    /// The body; the attempt's id for `None`.
    pub body: Option<&'a str>,
    /// How long the caller waits.
    pub deadline: Duration,
}

impl<'a> Asked<'a> {
    /// A request from `from` to `to` for no model, by a caller that waits long.
    pub fn plain(from: IpAddr, to: SocketAddr, path: &'a str, id: &'a str) -> Self {
        Self {
            from,
            to,
            path,
            id,
            extra: &[],
            model: None,
            body: None,
            deadline: USUAL_DEADLINE,
        }
    }
}

/// Sends a request on a connection of its own and reads the whole answer.
pub async fn ask(network: &MemoryNetwork, asked: Asked<'_>) -> Answer {
    let host = network.host(asked.from);
    let Ok(stream) = host.connect(asked.to).await else {
        return Answer::none();
    };
    let Ok((mut sender, connection)) = Builder::new().handshake(TokioIo::new(stream)).await else {
        return Answer::none();
    };
    let driver = tokio::spawn(async move {
        // The end of the connection shows in the answer.
        let _ = connection.await;
    });
    let mut request = Request::post(asked.path)
        .header("host", "host")
        .header(names::REQUEST_ID, asked.id)
        .header(names::DEADLINE, asked.deadline.as_millis().to_string());
    if let Some(model) = asked.model {
        request = request.header(names::MODEL, model);
    }
    for (name, value) in asked.extra {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(Bytes::from(
            asked.body.unwrap_or(asked.id).to_owned(),
        )))
        .expect("the request is well formed");
    let answer = match sender.send_request(request).await {
        Ok(response) => read(response).await,
        Err(_) => Answer::none(),
    };
    driver.abort();
    answer
}

async fn read(response: http::Response<hyper::body::Incoming>) -> Answer {
    let (head, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    let whole = loop {
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
        whole,
    }
}
