//! The retry budget of one service at one node.
//!
//! The bound holds over all nodes without messages between them: each node uses an equal
//! fraction of the fixed allowance, and the ratio applies to the node's own requests. A
//! node that has just started has no allowance yet, since its predecessor may have used
//! it; the allowance grows to the node's full fraction over one window.
//!
//! The bound is on what runners receive, not on what is sent. A retry therefore holds its place
//! from when it is granted until a window after its arrival is over: a runner that stands still
//! reads at one moment what was sent over any time.
//!
//! Among hundreds of nodes that fraction is less than one retry, while a node needs only
//! a few retries in an hour. [`BudgetShare::has_whole_retry`] therefore grants one retry
//! per window to as many nodes as the allowance covers, whatever their fractions are.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Fraction of the promised budget that is used. The rest covers nodes that do not know
/// of each other yet, and windows whose boundaries differ between nodes.
const USED_FRACTION: f64 = 0.7;

/// Retries that all nodes together may make to one service within one window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Sliding window in which requests and retries are counted.
    pub window: Duration,
    /// Retries that all nodes together may make in addition to `ratio` times the requests.
    pub extra: f64,
}

/// The share of one node in the retry budget of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetShare {
    /// Number of nodes that share the budget, this one included.
    pub nodes: usize,
    /// Position of this node among the nodes that share the budget, from 0, in an order that
    /// all nodes agree on.
    pub position: usize,
}

impl BudgetShare {
    /// Whether this node may make one retry per window even if its equal fraction of the
    /// budget is less than one retry. True at all nodes if at most `extra` nodes share the
    /// budget. Among more nodes, true at the first ones by position: as many as the fraction
    /// of `extra` that is otherwise unused (1 - [`USED_FRACTION`]) covers.
    fn has_whole_retry(self, extra: f64) -> bool {
        let covered = if self.nodes as f64 <= extra {
            extra
        } else {
            extra * (1.0 - USED_FRACTION)
        };
        (self.position as f64) + 1.0 <= covered
    }
}

/// What a decision on a retry rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetUse {
    /// Number of nodes that share the budget, as far as this one knows.
    pub nodes: usize,
    /// Time since this node's process started.
    pub life: Duration,
    /// Requests of this node within the last window.
    pub requests: usize,
    /// Retries of this node whose arrivals were over within the last window.
    pub arrived: usize,
    /// Retries of this node that may yet arrive.
    pub pending: usize,
    /// Retries that this node may have counted at once, rounded down.
    pub allowed: usize,
}

/// Sliding-window counter of the requests and retries of one node to one service.
#[derive(Debug)]
pub struct RetryBudget {
    limits: BudgetLimits,
    started_at: Instant,
    requests: VecDeque<Instant>,
    /// Number of retries that may yet arrive.
    pending: usize,
    /// When the arrivals of the other retries were over.
    arrived: VecDeque<Instant>,
}

impl RetryBudget {
    /// Creates an empty budget for a node that started at `started_at`.
    pub fn new(limits: BudgetLimits, started_at: Instant) -> Self {
        Self {
            limits,
            started_at,
            requests: VecDeque::new(),
            pending: 0,
            arrived: VecDeque::new(),
        }
    }

    /// Replaces the limits; requests and retries already counted stay counted.
    pub fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
    }

    /// Counts the first attempt of a request.
    pub fn count_request(&mut self, now: Instant) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one retry and returns true, if the budget of a node with `share` allows one. It
    /// counts as pending until [`Self::record_arrival`].
    pub fn try_take(&mut self, now: Instant, share: BudgetShare) -> bool {
        if self.remaining(now, share) < 1.0 {
            return false;
        }
        self.pending += 1;
        true
    }

    /// Records that the arrival of a pending retry is over: it is counted for one window more.
    pub fn record_arrival(&mut self, now: Instant) {
        self.pending = self.pending.saturating_sub(1);
        self.arrived.push_back(now);
    }

    /// Takes a pending retry back that never arrives.
    pub fn return_pending(&mut self) {
        self.pending = self.pending.saturating_sub(1);
    }

    /// Number of retries that a node with `share` may still make at `now`; below 1.0,
    /// none.
    pub fn remaining(&mut self, now: Instant, share: BudgetShare) -> f64 {
        self.expire(now);
        self.allowed(now, share) - (self.pending + self.arrived.len()) as f64
    }

    /// Returns what a decision on a retry of a node with `share` rests on at `now`.
    pub fn budget_use(&mut self, now: Instant, share: BudgetShare) -> BudgetUse {
        self.expire(now);
        BudgetUse {
            nodes: share.nodes,
            life: now.saturating_duration_since(self.started_at),
            requests: self.requests.len(),
            arrived: self.arrived.len(),
            pending: self.pending,
            allowed: self.allowed(now, share) as usize,
        }
    }

    /// Number of retries that a node with `share` may have counted at `now`, after
    /// [`Self::expire`].
    fn allowed(&self, now: Instant, share: BudgetShare) -> f64 {
        let age = now.saturating_duration_since(self.started_at).as_secs_f64();
        let grown_fraction = (age / self.limits.window.as_secs_f64().max(0.001)).min(1.0);
        let extra = self.limits.extra * grown_fraction / share.nodes.max(1) as f64;
        let ratio_allowance = self.limits.ratio * self.requests.len() as f64;
        let whole_retry = grown_fraction >= 1.0 && share.has_whole_retry(self.limits.extra);
        (USED_FRACTION * (extra + ratio_allowance)).max(f64::from(u8::from(whole_retry)))
    }

    fn expire(&mut self, now: Instant) {
        let window = self.limits.window;
        for times in [&mut self.requests, &mut self.arrived] {
            while times
                .front()
                .is_some_and(|time| now.saturating_duration_since(*time) > window)
            {
                times.pop_front();
            }
        }
    }
}
