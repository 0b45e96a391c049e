//! The retry budget of one service at one node.
//!
//! The bound holds over all nodes without messages between them, and over all lives of their
//! processes without memory of them. Each node uses an equal fraction of the fixed allowance. The
//! ratio applies to the node's own requests, and only to those of the window in which its retries
//! arrive: retries since any moment stay within what the requests since that moment allow. So the
//! parts of nodes, and of lives that follow one another, add up whatever the load does.
//!
//! The bound is on what runners receive, not on what is sent. A retry therefore holds its place
//! from when it is granted until a window after its arrival is over: a runner that stands still
//! reads at one moment what was sent over any time, also under a load that is gone by then. So
//! retries that may yet arrive have to fit into the fixed allowance alone.
//!
//! A node that has just started does not know what its predecessor has sent. It assumes that this
//! has used the node's whole fraction of the fixed allowance, and that none of it has arrived until
//! [`RetryBudget::settle`] is called. For a window from then on, the node's own fraction grows from
//! nothing to what a predecessor may not use, so that lives that follow one another within a window
//! stay within it together.
//!
//! Among hundreds of nodes that fraction is less than one retry, while a node needs only
//! a few retries in an hour. [`BudgetShare::has_whole_retry`] therefore grants one retry
//! per window to as many nodes as the allowance covers, whatever their fractions are.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Fraction of the promised budget that is used. The rest covers nodes that do not know
/// of each other yet, windows whose boundaries differ between nodes, and nodes that have just
/// started.
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
    /// Whether all that this node's former life has sent has arrived.
    pub is_settled: bool,
    /// Retries that this node may make now, rounded down.
    pub remaining: usize,
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
    /// When all that the node's former life had sent was known to have arrived; `None` before.
    settled_at: Option<Instant>,
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
            settled_at: None,
        }
    }

    /// Records that all that the node's former life had sent has arrived. Until then, no retry is
    /// allowed. The whole fixed allowance follows a window later, since the former life may have
    /// used it.
    pub fn settle(&mut self, now: Instant) {
        self.settled_at.get_or_insert(now);
    }

    /// Whether [`Self::settle`] has been called.
    pub fn is_settled(&self) -> bool {
        self.settled_at.is_some()
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
        let Some(settled_at) = self.settled_at else {
            return 0.0;
        };
        let fixed = self.limits.extra / share.nodes.max(1) as f64;
        let settled_for = now.saturating_duration_since(settled_at).as_secs_f64();
        let grown = settled_for / self.limits.window.as_secs_f64().max(0.001);
        let whole_retry = f64::from(u8::from(share.has_whole_retry(self.limits.extra)));
        let allowed = |start: Instant, requests: usize| {
            let by_ratio = self.limits.ratio * requests as f64;
            if start <= settled_at {
                return USED_FRACTION * by_ratio + (1.0 - USED_FRACTION) * fixed * grown;
            }
            (USED_FRACTION * (fixed + by_ratio)).max(whole_retry)
        };
        let at_any_load = allowed(now, 0) - self.pending as f64;
        let remaining = self.counts_since_starts(settled_at, now).map(|counts| {
            let retries = self.pending + counts.arrived;
            allowed(counts.start, counts.requests) - retries as f64
        });
        remaining.fold(at_any_load, f64::min)
    }

    /// Returns what a decision on a retry of a node with `share` rests on at `now`.
    pub fn budget_use(&mut self, now: Instant, share: BudgetShare) -> BudgetUse {
        let remaining = self.remaining(now, share).max(0.0) as usize;
        BudgetUse {
            nodes: share.nodes,
            life: now.saturating_duration_since(self.started_at),
            requests: self.requests.len(),
            arrived: self.arrived.len(),
            pending: self.pending,
            is_settled: self.is_settled(),
            remaining,
        }
    }

    /// Returns the retries that have arrived, and the requests, since each moment from which they
    /// are compared: each arrival, and when the former life's retries had arrived, if that is
    /// within a window.
    fn counts_since_starts(
        &self,
        settled_at: Instant,
        now: Instant,
    ) -> impl Iterator<Item = CountsSince> {
        let is_within = now.saturating_duration_since(settled_at) <= self.limits.window;
        let newest_first = self.arrived.iter().rev().copied();
        let starts = newest_first.chain(is_within.then_some(settled_at));
        let mut arrived = NewestFirst::new(&self.arrived);
        let mut requests = NewestFirst::new(&self.requests);
        starts.map(move |start| CountsSince {
            start,
            arrived: arrived.count_since(start),
            requests: requests.count_since(start),
        })
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

/// What was counted since a moment.
struct CountsSince {
    start: Instant,
    arrived: usize,
    requests: usize,
}

/// Counts times from the newest on, for moments of which each is no later than the one before.
struct NewestFirst<'a> {
    times: &'a VecDeque<Instant>,
    counted: usize,
}

impl<'a> NewestFirst<'a> {
    fn new(times: &'a VecDeque<Instant>) -> Self {
        Self { times, counted: 0 }
    }

    fn count_since(&mut self, start: Instant) -> usize {
        let newer = self.times.iter().rev().skip(self.counted);
        self.counted += newer.take_while(|time| **time >= start).count();
        self.counted
    }
}
