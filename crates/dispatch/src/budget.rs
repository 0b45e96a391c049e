//! The retry budget of one service at one node.
//!
//! The bound holds for all nodes together and without talking: each node takes
//! its part of the fixed allowance, and the ratio applies to its own requests.
//! A node that has just started has no allowance yet, since its predecessor may
//! have used it; it grows to the full part over one window.
//!
//! Among hundreds of nodes that part is less than one retry, and a node asks for a few
//! in an hour. So [`Share::whole`] grants one retry in a window to as many nodes as the
//! allowance covers, whatever their parts are.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Part of the promised budget that is used; the rest covers nodes that do not
/// know of each other yet, and windows that lie badly.
const USED_PART: f64 = 0.7;

/// What all nodes together may spend.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Window in which both are counted.
    pub window: Duration,
    /// Retries beyond the ratio, over all nodes.
    pub extra: f64,
}

/// A node's share of what all may spend.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Nodes that share, this one included.
    pub nodes: usize,
    /// This node's place among them, from 0, in an order that all agree on.
    pub place: usize,
}

impl Share {
    /// Whether one retry in each window is granted whatever the node's part is: to
    /// all nodes as long as there are no more than `extra`, of more nodes to as many
    /// as the unused part of it covers.
    fn whole(self, extra: f64) -> bool {
        let covered = if self.nodes as f64 <= extra {
            extra
        } else {
            extra * (1.0 - USED_PART)
        };
        (self.place as f64) + 1.0 <= covered
    }
}

/// Counts requests and retries in a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    limits: BudgetLimits,
    started: Instant,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// An empty budget of a node that started at `started`.
    pub fn new(limits: BudgetLimits, started: Instant) -> Self {
        Self {
            limits,
            started,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Changes the limits; what was counted stays counted.
    pub fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
    }

    /// Counts a request's first attempt.
    pub fn count_request(&mut self, now: Instant) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one retry, if the budget of a node with this share allows it.
    pub fn try_take(&mut self, now: Instant, share: Share) -> bool {
        if self.left(now, share) < 1.0 {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Retries left at this moment.
    pub fn left(&mut self, now: Instant, share: Share) -> f64 {
        self.expire(now);
        let age = now.saturating_duration_since(self.started).as_secs_f64();
        let grown = (age / self.limits.window.as_secs_f64().max(0.001)).min(1.0);
        let extra = self.limits.extra * grown / share.nodes.max(1) as f64;
        let by_ratio = self.limits.ratio * self.requests.len() as f64;
        let whole = grown >= 1.0 && share.whole(self.limits.extra);
        let allowed = (USED_PART * (extra + by_ratio)).max(f64::from(u8::from(whole)));
        allowed - self.retries.len() as f64
    }

    fn expire(&mut self, now: Instant) {
        let window = self.limits.window;
        for times in [&mut self.requests, &mut self.retries] {
            while times
                .front()
                .is_some_and(|time| now.saturating_duration_since(*time) > window)
            {
                times.pop_front();
            }
        }
    }
}
