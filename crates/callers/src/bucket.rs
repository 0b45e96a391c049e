//! A token bucket whose rate and depth are passed to each call.
//!
//! The usual rate-limiting libraries do not fit: they assume a constant rate, but here the
//! rate changes with the configuration and with the fraction of nodes that a bucket covers.
//! They also cannot empty a bucket when another bucket may have served the same tenant.

use std::time::{Duration, Instant};

use crate::crashes::{SECONDS_PER_FORGIVEN_UNIT, TOLERATED_WEIGHT};
use barleyspar_catalog::{Quota, QuotaBounds, QuotaUnit, RequestFacts, RunnerLimit};

/// Fraction of the guaranteed overage and tolerance that an owner grants. The rest covers
/// what two owners may grant at the same time while nodes receive from different peers.
const GRANTED_FRACTION: f64 = 0.5;

/// Minimum rate of calls to a runner, per second, whatever limit it advertises. Without any
/// call, no node would learn that the runner accepts more again.
const MINIMUM_CALL_RATE: f64 = 0.1;
/// Calls that may be sent to a runner at once: its rate times this time, in seconds, plus
/// [`CALL_BURST`]. Calls arrive unevenly and would be delayed if they were spaced evenly.
const CALL_BURST_SECONDS: f64 = 1.0;
/// Calls that may be sent to a runner at once in addition to [`CALL_BURST_SECONDS`].
const CALL_BURST: f64 = 2.0;

/// Rate and depth of a token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaLimit {
    /// Rate at which the bucket is refilled, in units per second.
    pub per_second: f64,
    /// Maximum number of units in the bucket.
    pub depth: f64,
    /// Number of units in the bucket with which any request is granted, even if it costs
    /// more. It is the depth of the bucket for all nodes: otherwise, a request that costs
    /// more than a tenant's small limit would never be granted.
    pub maximum_required: f64,
}

impl QuotaLimit {
    /// Returns the limit for `quota` over all nodes, raised by a fraction of what `bounds`
    /// permit to exceed it.
    pub fn new(quota: &Quota, bounds: &QuotaBounds) -> Self {
        let factor = 1.0 + bounds.overage * GRANTED_FRACTION;
        let depth = quota.burst * factor + bounds.tolerance * GRANTED_FRACTION;
        Self {
            per_second: quota.per_second * factor,
            depth,
            maximum_required: depth,
        }
    }

    /// Returns the limit, in calls, for a runner that advertises `limit`.
    pub fn of_runner(limit: RunnerLimit) -> Self {
        let per_second = limit.per_second().max(MINIMUM_CALL_RATE);
        let depth = per_second * CALL_BURST_SECONDS + CALL_BURST;
        Self {
            per_second,
            depth,
            maximum_required: depth,
        }
    }

    /// Returns the limit on the crash weight that one request may accumulate, which decays
    /// at the limit's rate.
    pub fn of_crashes() -> Self {
        Self {
            per_second: 1.0 / SECONDS_PER_FORGIVEN_UNIT,
            depth: TOLERATED_WEIGHT,
            maximum_required: TOLERATED_WEIGHT,
        }
    }

    /// Returns the limit for a group of nodes that may grant `fraction` of it.
    pub fn scaled(self, fraction: f64) -> Self {
        Self {
            per_second: self.per_second * fraction,
            depth: self.depth * fraction,
            ..self
        }
    }
}

/// Returns the number of units that a request with these facts counts against a quota.
pub fn request_cost(unit: QuotaUnit, facts: &RequestFacts) -> u64 {
    match unit {
        QuotaUnit::Requests => 1,
        QuotaUnit::Tokens { unnamed } => facts.named_tokens.unwrap_or(unnamed),
    }
}

/// A token bucket. Its limit is an argument of each call, since it may change.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    level: f64,
    updated_at: Instant,
}

impl TokenBucket {
    /// Returns a bucket that was empty at `since` and has been refilled from then on.
    pub fn empty(since: Instant) -> Self {
        Self {
            level: 0.0,
            updated_at: since,
        }
    }

    /// Returns a bucket that is full at `now`.
    pub fn full(limit: QuotaLimit, now: Instant) -> Self {
        Self {
            level: limit.depth,
            updated_at: now,
        }
    }

    /// Takes `cost` units from the bucket. If it holds too few, takes nothing and returns the
    /// time until it will hold enough.
    pub fn try_take(&mut self, cost: f64, limit: QuotaLimit, now: Instant) -> Result<(), Duration> {
        self.refill(limit, now);
        let missing = cost.min(limit.maximum_required) - self.level;
        if missing <= 0.0 {
            self.level -= cost;
            return Ok(());
        }
        let seconds = missing / limit.per_second.max(f64::EPSILON);
        Err(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    fn refill(&mut self, limit: QuotaLimit, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.level = (self.level + limit.per_second * elapsed).min(limit.depth);
        self.updated_at = now;
    }
}
