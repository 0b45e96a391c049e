//! What a client's request says, and what is told to the runner with it.

use std::sync::Arc;
use std::time::Duration;

use crate::Credential;

/// A model and, where wanted, one of its adapters.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ModelReference {
    /// The model.
    pub model: Arc<str>,
    /// The adapter of it.
    pub adapter: Option<Arc<str>>,
}

/// Facts read from the head of a client's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestFacts {
    /// Id of the client's attempt.
    pub request_id: Option<String>,
    /// Time that the client will wait from now on.
    pub deadline: Option<Duration>,
    /// The model asked for.
    pub model: Option<ModelReference>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// The most tokens of the answer.
    pub answer_tokens: u64,
    /// Parts of the prompt in order, those shared with other requests only.
    pub shared_prefix: Vec<u64>,
    /// The event after which the client wants to go on.
    pub last_event_id: Option<String>,
    /// The caller's credential, if it sent one.
    pub credential: Option<Credential>,
    /// All tokens that the request names, of prompt and answer.
    pub named_tokens: Option<u64>,
}

/// What the system tells a runner along with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Forward {
    /// The runner's own id.
    pub runner: Arc<str>,
    /// Time that is left.
    pub remaining: Option<Duration>,
    /// Rank, where the runner honours ranks.
    pub priority: Option<u8>,
    /// The event after which to go on, in place of the client's own.
    pub last_event_id: Option<String>,
    /// The tenant that asks, where callers have tenants.
    pub tenant: Option<Arc<str>>,
}
