//! Bodies of the OpenAI-compatible completion endpoints.

use barleyspar_platform::engine::FinishReason;
use barleyspar_router::AnswerEvent;
use poem::http::StatusCode;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::http::BadRequest;

/// Tokens generated if the caller does not say.
const DEFAULT_TOKENS: u32 = 128;

/// Which endpoint was called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endpoint {
    /// `/v1/completions`
    Completions,
    /// `/v1/chat/completions`
    Chat,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

#[derive(Debug, Deserialize)]
struct Body {
    model: String,
    prompt: Option<String>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

/// A completion request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completion {
    /// Model or adapter.
    pub model: String,
    /// Prompt; the messages of a chat are joined, each under its role.
    pub prompt: String,
    /// Largest number of tokens to generate.
    pub maximum_tokens: u32,
    /// Whether the answer is wanted as server-sent events.
    pub stream: bool,
}

/// Reads the body of a request at `endpoint`.
pub fn parse(
    endpoint: Endpoint,
    bytes: &[u8],
    maximum_tokens: u32,
) -> Result<Completion, BadRequest> {
    let bad = |message: String| BadRequest::new(StatusCode::BAD_REQUEST, message);
    let body: Body = serde_json::from_slice(bytes)
        .map_err(|error| bad(format!("the body is not a completion request: {error}")))?;
    let prompt = match endpoint {
        Endpoint::Completions => body
            .prompt
            .ok_or_else(|| bad("prompt is missing".to_owned()))?,
        Endpoint::Chat => {
            let messages = body.messages.unwrap_or_default();
            if messages.is_empty() {
                return Err(bad("messages is missing or empty".to_owned()));
            }
            let lines = messages
                .iter()
                .map(|m| format!("{}: {}", m.role, m.content));
            lines.collect::<Vec<_>>().join("\n")
        }
    };
    let wanted = body.max_completion_tokens.or(body.max_tokens);
    let wanted = wanted.unwrap_or(DEFAULT_TOKENS.min(maximum_tokens));
    if wanted == 0 || wanted > maximum_tokens {
        return Err(bad(format!(
            "max_tokens must be from 1 to {maximum_tokens}"
        )));
    }
    Ok(Completion {
        model: body.model,
        prompt,
        maximum_tokens: wanted,
        stream: body.stream,
    })
}

fn finish_text(reason: FinishReason) -> &'static str {
    match reason {
        FinishReason::Stop => "stop",
        FinishReason::Length => "length",
    }
}

/// What all bodies of one answer share.
#[derive(Debug, Clone)]
pub struct AnswerFrame {
    /// Endpoint that was called.
    pub endpoint: Endpoint,
    /// Id of the answer.
    pub id: String,
    /// Model or adapter as the caller named it.
    pub model: String,
    /// Seconds since the Unix epoch.
    pub created: u64,
}

impl AnswerFrame {
    /// The body of a whole answer.
    pub fn whole(&self, text: &str, tokens: u64, reason: FinishReason) -> Value {
        let reason = finish_text(reason);
        let (object, choice) = match self.endpoint {
            Endpoint::Completions => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": reason}),
            ),
            Endpoint::Chat => (
                "chat.completion",
                json!({"index": 0, "finish_reason": reason,
                       "message": {"role": "assistant", "content": text}}),
            ),
        };
        json!({
            "id": self.id, "object": object, "created": self.created, "model": self.model,
            "choices": [choice], "usage": {"completion_tokens": tokens},
        })
    }

    /// One event of a streamed answer, as a line of server-sent events.
    pub fn event(&self, event: &AnswerEvent) -> String {
        match event {
            AnswerEvent::Text(text) => self.chunk(text, None),
            AnswerEvent::Finish(reason) => {
                format!("{}data: [DONE]\n\n", self.chunk("", Some(*reason)))
            }
            AnswerEvent::Failed { verdict, cause } => {
                let body = json!({"error": {"type": "answer_broken", "message": cause,
                                            "verdict": verdict.as_str()}});
                format!("data: {body}\n\n")
            }
        }
    }

    fn chunk(&self, text: &str, reason: Option<FinishReason>) -> String {
        let reason = reason.map(finish_text);
        let (object, choice) = match self.endpoint {
            Endpoint::Completions => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": reason}),
            ),
            Endpoint::Chat => (
                "chat.completion.chunk",
                json!({"index": 0, "delta": {"content": text}, "finish_reason": reason}),
            ),
        };
        let body = json!({
            "id": self.id, "object": object, "created": self.created, "model": self.model,
            "choices": [choice],
        });
        format!("data: {body}\n\n")
    }
}
