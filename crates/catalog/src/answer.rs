//! Facts that the gateway reads from the head of a runner's answer.

use crate::RunnerSignals;

/// Facts from the head of a runner's answer, independent of the platform's header names.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerFacts {
    /// Id of the request that the runner states it answers; `None` if it states none.
    pub request_id: Option<String>,
    /// Name of the runner that answers ([`Runner::name`](crate::Runner::name)); `None` if
    /// the answer does not state it.
    pub runner_name: Option<String>,
    /// Whether the runner states that the request did not run.
    pub not_run: bool,
    /// Whether the answer carries the runner's signature. A success without it is not
    /// accepted.
    pub signed: bool,
    /// Time after which the runner closes an idle connection, in seconds; `None` if the
    /// answer does not state it.
    pub keep_alive_seconds: Option<u64>,
    /// Whether the body is a stream of server-sent events, which the gateway relays event
    /// by event.
    pub event_stream: bool,
    /// Whether the body has a content encoding, which a valid answer of a runner never has.
    pub encoded: bool,
    /// Signals of the runner about itself, independent of the request.
    pub signals: RunnerSignals,
}
