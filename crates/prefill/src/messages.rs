//! Messages between a node and the prefill owner of a runner.

use std::sync::Arc;

use barleyspar_catalog::RunnerKey;
use serde::{Deserialize, Serialize};

/// Short key of a tenant in messages between nodes.
pub type TenantKey = u32;

/// Largest number of tokens that a prompt counts as. A caller may name any number, but no
/// runner reads more.
pub const MAX_PROMPT_TOKENS: u32 = 131_072;

/// Returns the key of the tenant with this name: a hash, the same at all nodes.
pub fn tenant_key(name: &str) -> TenantKey {
    barleyspar_domain::rendezvous_weight("tenant", name) as TenantKey
}

/// A node's question to the prefill owner of a runner: for a permit to send it a prompt. It
/// may arrive more than once, since it is repeated while no answer comes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PrefillRequest {
    /// Name of the asking node.
    pub node: Arc<str>,
    /// Number of the question, unique within the asking node.
    pub number: u64,
    /// Key of the runner's incarnation.
    pub runner: RunnerKey,
    /// Number of tokens of the prompt; more than [`MAX_PROMPT_TOKENS`] count as that.
    pub prompt_tokens: u32,
    /// Priority of the request; 0 is the most urgent. Nodes of earlier builds send and read a
    /// time in milliseconds here, by which they order prompts.
    pub priority: u32,
    /// Milliseconds for which the request may wait for the permit.
    pub patience_ms: u32,
    /// Longest pause between two events that the request's route allows, in milliseconds.
    pub target_gap_ms: u32,
    /// The caller's tenant; `None` if the route requires no tenant.
    pub tenant: Option<TenantKey>,
    /// Tokens a second that the runner reads, as far as the node knows; 0 if it does not. An
    /// owner that has just taken over starts from it.
    pub known_tokens_per_second: u32,
}

/// Answer of the prefill owner to a [`PrefillRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PrefillAnswer {
    /// The prompt may be sent now.
    Granted,
    /// The prompt is queued. A [`PrefillGrant`] is expected to follow after this time, in
    /// milliseconds.
    Queued {
        /// Expected time until the grant.
        wait_ms: u32,
    },
    /// The prompt is not queued any more, because it is not expected to be read within the
    /// request's patience, or because the queue is full.
    Denied {
        /// Time after which the same prompt is expected to be granted.
        wait_ms: u32,
    },
    /// The asked node is not the prefill owner of the runner, or has no room for one more.
    NotOwner,
}

/// A permit for a queued prompt, which the owner sends to the node that asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefillGrant {
    /// Name of the node that asked.
    pub node: Arc<str>,
    /// The number that the node gave to its question.
    pub number: u64,
}

/// A node's report to the prefill owner on a prompt that was granted or queued.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillReport {
    /// Name of the reporting node.
    pub node: Arc<str>,
    /// The number that the node gave to its question.
    pub number: u64,
    /// Key of the runner's incarnation.
    pub runner: RunnerKey,
    /// Milliseconds from sending the request to the runner to the first event of its answer;
    /// `None` if the prompt was not sent or not read, so that its permit is free.
    pub read_ms: Option<u32>,
}

/// A node's report on the pace of a stream that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamPace {
    /// Key of the runner's incarnation.
    pub runner: RunnerKey,
    /// Usual time between two events, in milliseconds, while the runner read no prompt.
    pub event_ms: u32,
}

/// What a prefill owner tells all nodes of one runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillUpdate {
    /// Key of the runner's incarnation.
    pub runner: RunnerKey,
    /// Number of prompt tokens that the runner reads a second; 0 if it is not known yet.
    pub tokens_per_second: u32,
    /// Milliseconds that a prompt of usual length would wait for a permit.
    pub wait_ms: u16,
}

/// A message between nodes about permits to send prompts to runners.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PrefillMessage {
    /// A node's question to the prefill owner of a runner.
    Request(PrefillRequest),
    /// The owner's answer to a question, or the permit for a prompt that was queued.
    Answer {
        /// The number that the asking node gave to its question.
        number: u64,
        /// Whether the prompt may be sent.
        answer: PrefillAnswer,
    },
    /// A node's report on a prompt that was granted or queued.
    Report(PrefillReport),
    /// A node's report to a prefill owner on the pace of a stream.
    Pace(StreamPace),
    /// What a prefill owner tells all nodes of its runners.
    Updates {
        /// The updates, one for each runner.
        updates: Vec<PrefillUpdate>,
        /// Whether a relay has forwarded the message already, so that the receiver does not
        /// forward it again.
        passed_on: bool,
    },
}
