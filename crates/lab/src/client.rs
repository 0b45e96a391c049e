//! A caller over real HTTP that checks its answers.

use std::time::{Duration, Instant};

use barleyspar_platform::engine::FinishReason;
use futures_util::StreamExt;
use reqwest::{Client, Response};
use serde_json::{Value, json};
use tokio_util::codec::{FramedRead, LinesCodec};
use tokio_util::io::StreamReader;

use crate::arrivals::{Arrival, Ask};
use crate::outcome::Ending;
use crate::standins::answers::Answer;
use crate::standins::plain::{OPERATION_HEADER, expected_body};

/// Time beyond its deadline after which a request counts as dropped.
const GRACE: Duration = Duration::from_secs(60);
const LONGEST_LINE: usize = 1024 * 1024;

/// What a caller saw of one request.
#[derive(Debug)]
pub struct Seen {
    /// How it ended.
    pub ending: Ending,
    /// Milliseconds to the first token, for model answers.
    pub first_token: Option<u64>,
    /// The connection to the node could not be made or broke.
    pub node_lost: bool,
}

impl Seen {
    fn new(ending: Ending) -> Self {
        Self {
            ending,
            first_token: None,
            node_lost: false,
        }
    }

    fn lost(ending: Ending) -> Self {
        Self {
            node_lost: true,
            ..Self::new(ending)
        }
    }
}

/// Where and as whom to ask.
#[derive(Debug, Clone)]
pub struct Caller {
    /// HTTP client.
    pub client: Client,
    /// URLs of nodes, in the order in which they are tried when a connection
    /// can not be made or breaks.
    pub nodes: Vec<String>,
    /// Bearer token.
    pub token: String,
    /// Time to the first token.
    pub deadline: Duration,
    /// Name of the plain service.
    pub plain_service: String,
}

impl Caller {
    /// Makes the request and checks what comes back. A caller whose node is
    /// lost asks the next one, with the same idempotency key.
    pub async fn ask(&self, arrival: &Arrival) -> Seen {
        let mut seen = Seen::new(Ending::Dropped);
        for node in &self.nodes {
            seen = self.ask_node(node, arrival).await;
            if !seen.node_lost {
                break;
            }
        }
        seen
    }

    async fn ask_node(&self, node: &str, arrival: &Arrival) -> Seen {
        let asked = async {
            match &arrival.ask {
                Ask::Model {
                    target,
                    prompt,
                    maximum_tokens,
                } => self.complete(node, target, prompt, *maximum_tokens).await,
                Ask::LookUp => self.plain(node, "GET", "/slots", arrival.number).await,
                Ask::Booking => self.plain(node, "POST", "/book", arrival.number).await,
            }
        };
        let limit = self.deadline + GRACE;
        let seen = tokio::time::timeout(limit, asked).await;
        seen.unwrap_or_else(|_| Seen::new(Ending::Dropped))
    }

    async fn complete(&self, node: &str, target: &str, prompt: &str, maximum_tokens: u32) -> Seen {
        let body = json!({"model": target, "prompt": prompt, "max_tokens": maximum_tokens,
                          "stream": true});
        let started = Instant::now();
        let request = self
            .client
            .post(format!("{node}/v1/completions"))
            .bearer_auth(&self.token)
            .header("x-deadline-ms", self.deadline.as_millis().to_string())
            .json(&body);
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) => return Seen::lost(connection_ending(&error)),
        };
        if !response.status().is_success() {
            return Seen::new(refusal(response).await);
        }
        let expected = Answer::new(target, prompt, maximum_tokens);
        read_stream(response, &expected, started).await
    }

    async fn plain(&self, node: &str, method: &str, path: &str, number: usize) -> Seen {
        let url = format!("{node}/services/{}{path}", self.plain_service);
        let operation = format!("operation-{number}");
        let request = match method {
            "GET" => self.client.get(url),
            _ => self
                .client
                .post(url)
                .header("idempotency-key", &operation)
                .body("{}"),
        };
        let request = request
            .bearer_auth(&self.token)
            .header(OPERATION_HEADER, &operation)
            .header("x-deadline-ms", self.deadline.as_millis().to_string());
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) => return Seen::lost(connection_ending(&error)),
        };
        if !response.status().is_success() {
            return Seen::new(refusal(response).await);
        }
        let expected = expected_body(method, path, &operation);
        match response.text().await {
            Ok(text) if text == expected => Seen::new(Ending::Answered),
            Ok(text) => Seen::new(Ending::Wrong(format!("{text:?} instead of {expected:?}"))),
            Err(_) => Seen::lost(Ending::Dropped),
        }
    }
}

/// A connection that could not be made refused the request; one that broke
/// dropped it.
fn connection_ending(error: &reqwest::Error) -> Ending {
    match error.is_connect() {
        true => Ending::Refused("no_connection".to_owned()),
        false => Ending::Dropped,
    }
}

async fn refusal(response: Response) -> Ending {
    let status = response.status();
    match response.json::<Value>().await {
        Ok(body) => {
            let verdict = body["error"]["verdict"].as_str().unwrap_or("no verdict");
            let kind = body["error"]["type"].as_str().unwrap_or("no type");
            Ending::Refused(format!("{kind}/{verdict}"))
        }
        Err(_) => Ending::Wrong(format!("status {status} without an error body")),
    }
}

async fn read_stream(response: Response, expected: &Answer, started: Instant) -> Seen {
    let bytes = response.bytes_stream();
    let bytes = bytes.map(|piece| piece.map_err(std::io::Error::other));
    let codec = LinesCodec::new_with_max_length(LONGEST_LINE);
    let mut lines = FramedRead::new(StreamReader::new(bytes), codec);
    let mut text = String::new();
    let mut first_token = None;
    let mut reason = None;
    while let Some(line) = lines.next().await {
        let Ok(line) = line else {
            return Seen::lost(Ending::Dropped);
        };
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            let ending = check(&text, reason.as_deref(), expected);
            return Seen {
                first_token,
                ..Seen::new(ending)
            };
        }
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        if let Some(error) = chunk.get("error") {
            let kind = error["type"].as_str().unwrap_or("error");
            return Seen::new(Ending::Refused(format!("{kind}/ran")));
        }
        let choice = &chunk["choices"][0];
        if let Some(piece) = choice["text"].as_str().filter(|piece| !piece.is_empty()) {
            first_token.get_or_insert_with(|| started.elapsed().as_millis() as u64);
            text.push_str(piece);
        }
        if let Some(finish) = choice["finish_reason"].as_str() {
            reason = Some(finish.to_owned());
        }
    }
    Seen::new(Ending::Wrong(
        "the stream ended without its end mark".to_owned(),
    ))
}

fn check(text: &str, reason: Option<&str>, expected: &Answer) -> Ending {
    let wanted = match expected.reason {
        FinishReason::Stop => "stop",
        FinishReason::Length => "length",
    };
    if text != expected.text() {
        return Ending::Wrong("the text is not the answer to this prompt".to_owned());
    }
    if reason != Some(wanted) {
        return Ending::Wrong(format!("finish reason {reason:?} instead of {wanted}"));
    }
    Ending::Answered
}
