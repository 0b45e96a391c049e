//! A token bucket that is filled as the configuration in force says.
//!
//! Our own: the well-known libraries count single cells against one clock and
//! know no bucket whose rate changes with each configuration and with the part
//! of the fleet that it stands for, nor one that is emptied when another bucket
//! may have served its tenant.

use std::time::{Duration, Instant};

use crate::crashes::{FORGIVEN_IN_SECONDS, TOLERATED_WEIGHT};
use barleyspar_catalog::{Quota, QuotaBounds, QuotaUnit, RequestFacts, RunnerLimit};

/// Part of the promised overage and tolerance that is granted. The rest covers
/// what two owners may grant at once while nodes hear different peers.
const GRANTED_PART: f64 = 0.5;

/// Calls a second that a runner gets whatever it names: without any, nobody would learn
/// that it takes more again.
const LEAST_CALLS: f64 = 0.1;
/// Calls that a runner takes at once: what it takes in this time, and some more. They
/// come unevenly, and are late if each waits for the one before it.
const CALL_BURST_SECONDS: f64 = 1.0;
const CALL_BURST: f64 = 2.0;

/// What a bucket gains and holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaLimit {
    /// Units a second.
    pub per_second: f64,
    /// Units that it holds at most.
    pub depth: f64,
    /// Units that a request counts for at most: those that a bucket over all nodes
    /// holds, or one request of a tenant with a small limit would never be granted.
    pub most_for_one: f64,
}

impl QuotaLimit {
    /// The limit of `quota` over all nodes, where it may be exceeded by `bounds`.
    pub fn new(quota: &Quota, bounds: &QuotaBounds) -> Self {
        let granted = 1.0 + bounds.overage * GRANTED_PART;
        let depth = quota.burst * granted + bounds.tolerance * GRANTED_PART;
        Self {
            per_second: quota.per_second * granted,
            depth,
            most_for_one: depth,
        }
    }

    /// The limit that a runner named, in calls.
    pub fn of_runner(limit: RunnerLimit) -> Self {
        let per_second = limit.per_second().max(LEAST_CALLS);
        let depth = per_second * CALL_BURST_SECONDS + CALL_BURST;
        Self {
            per_second,
            depth,
            most_for_one: depth,
        }
    }

    /// The limit of what a request may collect by crashes of runners.
    pub fn of_crashes() -> Self {
        Self {
            per_second: 1.0 / FORGIVEN_IN_SECONDS,
            depth: TOLERATED_WEIGHT,
            most_for_one: TOLERATED_WEIGHT,
        }
    }

    /// The limit of a group that is `part` of all nodes.
    pub fn scaled(self, part: f64) -> Self {
        Self {
            per_second: self.per_second * part,
            depth: self.depth * part,
            ..self
        }
    }
}

/// Units that a request counts.
pub fn cost(unit: QuotaUnit, facts: &RequestFacts) -> u64 {
    match unit {
        QuotaUnit::Requests => 1,
        QuotaUnit::Tokens { unnamed } => facts.named_tokens.unwrap_or(unnamed),
    }
}

/// A token bucket.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    level: f64,
    at: Instant,
}

impl TokenBucket {
    /// A bucket that was empty at `since`.
    pub fn empty(since: Instant) -> Self {
        Self {
            level: 0.0,
            at: since,
        }
    }

    /// A bucket that is full at `now`.
    pub fn full(limit: QuotaLimit, now: Instant) -> Self {
        Self {
            level: limit.depth,
            at: now,
        }
    }

    /// Takes `cost`, or says when that will be possible.
    pub fn take(&mut self, cost: f64, limit: QuotaLimit, now: Instant) -> Result<(), Duration> {
        self.fill(limit, now);
        let missing = cost.min(limit.most_for_one) - self.level;
        if missing <= 0.0 {
            self.level -= cost;
            return Ok(());
        }
        let seconds = missing / limit.per_second.max(f64::EPSILON);
        Err(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    fn fill(&mut self, limit: QuotaLimit, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = (self.level + limit.per_second * passed).min(limit.depth);
        self.at = now;
    }
}
