//! What a request asks the dispatcher for, and the answers it can get.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use barleyspar_catalog::{Homes, ModelReference, Runner};

/// Names a request in the dispatcher.
pub type Ticket = u64;
/// Names a granted attempt.
pub type PermitId = u64;

/// What a request wants.
#[derive(Debug, Clone)]
pub struct Query {
    /// The service.
    pub service: Arc<str>,
    /// The model, for services that have them.
    pub wanted: Option<ModelReference>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Tokens that it may need in the runner's cache.
    pub tokens: u64,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Key of the shared parts of its prompt.
    pub affinity: Option<u64>,
    /// When its time is up.
    pub deadline: Instant,
    /// Time within which it should be answered.
    pub target_latency: Option<Duration>,
    /// Time after which the client gives up if nothing comes.
    pub patience: Option<Duration>,
    /// Whether its client was refused before, and may not come back again.
    pub returning: bool,
    /// Where it may be served.
    pub homes: Homes,
    /// Runners that it has been to.
    pub excluded: Vec<Arc<str>>,
    /// What came before.
    pub attempt: AttemptKind,
    /// Whether it may wait for a runner.
    pub may_wait: bool,
}

/// What came before an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// Nothing: it is the request's first.
    First,
    /// An attempt of which no byte was sent; it cost nothing.
    Unsent,
    /// An attempt that arrived at a runner; this one costs retry budget.
    Retry,
}

/// A granted attempt.
#[derive(Debug, Clone)]
pub struct Grant {
    /// To be given back by [`Dispatcher::finish`].
    pub permit: PermitId,
    /// The runner.
    pub runner: Arc<Runner>,
    /// Runners that could have been taken.
    pub candidates: usize,
    /// Attempts at the runner before this one.
    pub in_flight: u32,
    /// Whether the runner is known to name a limit.
    pub limited: bool,
    /// Whether the runner takes new work; goes false as soon as it leaves.
    pub open: Arc<AtomicBool>,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// No runner of the service is known.
    NoRunner,
    /// The model is not loaded and cannot be in time.
    NotLoaded,
    /// All runners are full.
    Full,
    /// Only rate-limited runners hold the model, and take no more requests in time.
    Limited,
    /// All runners that could take it want a pause of this node.
    Paused,
    /// The retry budget is spent.
    RetryBudget,
    /// Too many requests wait.
    QueueFull,
}

impl RefusalReason {
    /// The reason's name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoRunner => "no_runner",
            Self::NotLoaded => "not_loaded",
            Self::Full => "full",
            Self::Limited => "runner_limited",
            Self::Paused => "runner_paused",
            Self::RetryBudget => "retry_budget",
            Self::QueueFull => "queue_full",
        }
    }
}

/// A refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When to come back.
    pub retry_after: Duration,
}

/// Answer to a request for a runner.
#[derive(Debug, Clone)]
pub enum Acquired {
    /// Here is one.
    Granted(Grant),
    /// Wait; the answer comes from [`Dispatcher::poll`].
    Waiting(Ticket),
    /// No.
    Refused(Refusal),
}
