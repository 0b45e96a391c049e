//! Requests for models and their answers.

use barleyspar_domain::{CustomerName, Verdict};
use barleyspar_platform::engine::FinishReason;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::Refusal;

/// A request for a model or adapter.
#[derive(Debug, Clone)]
pub struct ModelRequest {
    /// Id, unique in the whole system.
    pub request_id: String,
    /// The customer on whose behalf it is made.
    pub customer: CustomerName,
    /// Larger numbers go first.
    pub priority: i32,
    /// Requests of the customer that may wait at this node.
    pub maximum_waiting: u32,
    /// Name of the model or adapter.
    pub target: String,
    /// Prompt.
    pub prompt: String,
    /// Largest number of tokens to generate.
    pub maximum_tokens: u32,
    /// The first token is due by then.
    pub deadline: Instant,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

/// One piece of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerEvent {
    /// Text.
    Text(String),
    /// The answer is whole.
    Finish(FinishReason),
    /// The answer broke off and can not be completed.
    Failed {
        /// Always [`Verdict::Ran`]: part of the answer was seen.
        verdict: Verdict,
        /// What happened.
        cause: String,
    },
}

/// The answer to a request. It is whole only if its last event is
/// [`AnswerEvent::Finish`].
#[derive(Debug)]
pub struct AnswerStream {
    /// Events in order.
    pub events: mpsc::Receiver<AnswerEvent>,
}

/// How a request's caller learns the outcome.
pub type Reply = tokio::sync::oneshot::Sender<Result<AnswerStream, Refusal>>;
