//! Paces loads from the weight store.

use std::time::{Duration, Instant};

/// Part of the store's rate that is used: an order without an answer may be
/// carried out later, in a window that has its own loads.
const USED_PART: f64 = 0.95;
/// Loads beyond the rate that the store allows in any window.
const FREE_LOADS: f64 = 3.0;
/// Part of the allowed excess over the rate that is used.
const USED_EXCESS: f64 = 0.4;

/// How many loads from the weight store may begin.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceLimits {
    /// Window in which loads are counted.
    pub window: Duration,
    /// Factor by which loads in a window may exceed the store's rate.
    pub overage: f64,
}

impl PaceLimits {
    /// Loads that may begin at once, at `rate` loads a second. With what the
    /// bucket gets during a window, that stays below what the window allows.
    fn burst(&self, rate: f64) -> f64 {
        let excess = (self.overage - 1.0).max(0.0) * rate * self.window.as_secs_f64();
        FREE_LOADS + USED_EXCESS * excess
    }
}

/// A token bucket; empty when its node takes the right to order, since its
/// predecessor may just have used the whole rate.
#[derive(Debug)]
pub struct LoadPace {
    limits: PaceLimits,
    tokens: f64,
    filled_at: Instant,
}

impl LoadPace {
    /// An empty bucket.
    pub fn new(limits: PaceLimits, now: Instant) -> Self {
        Self {
            limits,
            tokens: 0.0,
            filled_at: now,
        }
    }

    /// Loads that may begin at `now`, at `rate` loads a second.
    pub fn ready(&mut self, now: Instant, rate: f64) -> f64 {
        self.tokens = self.tokens_at(now, rate);
        self.filled_at = now;
        self.tokens
    }

    /// The same, without taking note of the rate: for a look from outside.
    pub fn tokens_at(&self, now: Instant, rate: f64) -> f64 {
        let age = now.saturating_duration_since(self.filled_at);
        let filled = self.tokens + age.as_secs_f64() * rate * USED_PART;
        filled.min(self.limits.burst(rate))
    }

    /// Counts a load.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }
}
