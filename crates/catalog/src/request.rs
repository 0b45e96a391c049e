//! Facts from the head of a client's request, and data that accompanies it to the runner.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Credential;

/// Names a model and, optionally, one of its adapters.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ModelReference {
    /// Name of the model, as the caller asks for it.
    pub model: Arc<str>,
    /// Name of the adapter; `None` for the model alone.
    pub adapter: Option<Arc<str>>,
}

/// Facts from the head of a client's request, independent of the platform's header names.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestFacts {
    /// Id that the client has given the request, different for each of its retries; `None` if
    /// the request carries none.
    pub request_id: Option<String>,
    /// Time for which the client waits for the answer, counted from the request's arrival;
    /// `None` if the request does not state it.
    pub deadline: Option<Duration>,
    /// The model that the request asks for; `None` for requests to plain services.
    pub model: Option<ModelReference>,
    /// Number of tokens of the prompt; 0 if the request names none.
    pub prompt_tokens: u64,
    /// Maximum number of tokens of the answer; 0 if the request names none.
    pub answer_tokens: u64,
    /// Ids of the parts of the prompt except the last, in order. Other requests may have
    /// prompts that begin with the same parts.
    pub shared_prefix: Vec<u64>,
    /// Id of the last event that the client has received, if it resumes a stream; `None` for
    /// other requests.
    pub last_event_id: Option<String>,
    /// Id of the client's attempt that brought the first event of the stream that the request
    /// resumes; `None` if it names none.
    pub resumes: Option<String>,
    /// Credential of the caller; `None` if the request carries none.
    pub credential: Option<Credential>,
    /// Sum of the prompt and answer tokens that the request names; `None` if it names none.
    pub named_tokens: Option<u64>,
}

impl RequestFacts {
    /// Returns whether the request takes up a stream of which its client has events.
    pub fn resumes_stream(&self) -> bool {
        self.last_event_id.is_some() || self.resumes.is_some()
    }
}

/// Data that the gateway sends to a runner in addition to the caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedHeaders {
    /// Name of the runner ([`Runner::name`](crate::Runner::name)).
    pub runner: Arc<str>,
    /// Time until the client's deadline; `None` for a request without a deadline.
    pub remaining: Option<Duration>,
    /// Priority of the request; `None` if the runner does not use priorities.
    pub priority: Option<u8>,
    /// Id of the event after which the runner resumes the stream, which replaces the id in the
    /// client's request; `None` to forward the client's id, if any, unchanged.
    pub last_event_id: Option<String>,
    /// Name of the caller's tenant; `None` for a request that needs no tenant.
    pub tenant: Option<Arc<str>>,
}
