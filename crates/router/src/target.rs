//! One model or adapter that requests ask for at this node.

use std::time::Duration;

use barleyspar_domain::{AdapterName, ModelName, RunnerName};
use tokio::time::Instant;

use crate::queue::{Entry, Queue};
use crate::replicas::Replicas;

/// A model, with or without an adapter.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetKey {
    /// The model.
    pub model: ModelName,
    /// The adapter.
    pub adapter: Option<AdapterName>,
}

/// Share of the expected time to a replica that must fit before a deadline for
/// a request to go on waiting. Below 1 since expectations err on either side.
const EXPECTATION_SHARE: f64 = 0.7;

/// What waits for a target and where it may be served.
#[derive(Debug)]
pub struct Target {
    /// Waiting requests.
    pub queue: Queue,
    /// Possible replicas.
    pub replicas: Replicas,
    /// Last time a request asked for it.
    pub last_used: Instant,
}

impl Target {
    /// A target without requests.
    pub fn new(now: Instant) -> Self {
        Self {
            queue: Queue::default(),
            replicas: Replicas::default(),
            last_used: now,
        }
    }

    /// Whether the target can be forgotten.
    pub fn is_idle(&self, now: Instant, watch_time: Duration) -> bool {
        let unused = self.queue.is_empty() && !self.replicas.are_in_use();
        unused && now >= self.last_used + watch_time
    }

    /// Whether replicas should be asked about.
    pub fn is_watched(&self, now: Instant, watch_time: Duration) -> bool {
        !self.queue.is_empty() || now < self.last_used + watch_time
    }

    /// Requests that can not be served by their deadline if the expected time
    /// to a replica is right.
    pub fn take_hopeless(&mut self, now: Instant) -> Vec<Entry> {
        let Some(expected) = self.replicas.expected(now) else {
            return Vec::new();
        };
        let wait = expected.saturating_duration_since(now);
        if wait.is_zero() {
            return Vec::new();
        }
        self.queue
            .take_expired(now + wait.mul_f64(EXPECTATION_SHARE))
    }

    /// When something is to be done without a message.
    pub fn next_change(&self, now: Instant) -> Option<Instant> {
        let deadline = self.queue.earliest_deadline();
        let replicas = self.replicas.next_change(now);
        deadline.into_iter().chain(replicas).min()
    }
}

/// A request was sent to this replica.
#[derive(Debug, Clone)]
pub struct Dispatched {
    /// The target.
    pub key: TargetKey,
    /// The runner.
    pub runner: RunnerName,
}
