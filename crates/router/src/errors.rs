//! Refusals: why a request got no answer, and what the caller may conclude.

use std::time::Duration;

use barleyspar_domain::Verdict;
use serde::Serialize;
use thiserror::Error;

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No such model, adapter or service.
    UnknownTarget,
    /// The policy does not serve this customer.
    NotAllowed,
    /// Too many requests wait at this node or for this target.
    QueueFull,
    /// Too many requests of this customer wait at this node.
    CustomerLimit,
    /// The deadline passed, or would pass before an answer.
    Deadline,
    /// No runner may hold the model, or no instance of the service is live.
    NoRunner,
    /// The back end refused the request as malformed.
    Rejected,
    /// The back end failed and the request may not be tried again.
    BackEndFailed,
    /// A request with this idempotency key was already taken.
    KeyUsed,
    /// Idempotency keys can not be claimed now.
    ClaimsUnavailable,
    /// This node does not know whether its configuration is the newest.
    NotCurrent,
    /// This node is stopping.
    Stopping,
}

impl Reason {
    /// The reason as it stands in error bodies and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownTarget => "unknown_target",
            Self::NotAllowed => "not_allowed",
            Self::QueueFull => "queue_full",
            Self::CustomerLimit => "customer_limit",
            Self::Deadline => "deadline",
            Self::NoRunner => "no_runner",
            Self::Rejected => "rejected",
            Self::BackEndFailed => "back_end_failed",
            Self::KeyUsed => "key_used",
            Self::ClaimsUnavailable => "claims_unavailable",
            Self::NotCurrent => "not_current",
            Self::Stopping => "stopping",
        }
    }
}

/// A refusal.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{}: {detail} ({verdict})", reason.as_str())]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why.
    pub reason: Reason,
    /// More on why, for people.
    pub detail: String,
    /// When it is worth asking again; `None` if it is not.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// The same refusal, worth asking again after `wait`.
    pub fn retry_after(self, wait: Duration) -> Self {
        Self {
            retry_after: Some(wait),
            ..self
        }
    }
}
