//! What a runner's answer says about itself.

use crate::RunnerNotice;

/// Facts read from the head of a runner's answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerFacts {
    /// Id of the request that the runner says it answers.
    pub request_id: Option<String>,
    /// Incarnation of the runner that answers, where it says so.
    pub runner: Option<String>,
    /// Whether the runner says that the request did not run.
    pub not_run: bool,
    /// Whether the answer carries the runner's signature, without which a
    /// success does not count.
    pub signed: bool,
    /// Whole seconds after which the runner closes an idle connection.
    pub keep_alive_seconds: Option<u64>,
    /// Whether the body is a series of events.
    pub event_stream: bool,
    /// Whether the body is encoded, which a runner's body never is.
    pub encoded: bool,
    /// What the runner says of itself.
    pub notice: RunnerNotice,
}
