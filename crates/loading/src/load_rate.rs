//! Limits the rate of loads from the weight store.

use std::time::{Duration, Instant};

/// Fraction of the store's load rate that is used. The rest covers orders without an
/// answer, which may be carried out in a later window that has its own loads.
const USED_FRACTION: f64 = 0.95;
/// Number of loads that the store allows in any window on top of its rate.
const FREE_LOADS_PER_WINDOW: f64 = 3.0;
/// Fraction of the allowed excess over the rate that is used.
const USED_EXCESS_FRACTION: f64 = 0.4;

/// Limits on the loads from the weight store, as enforced by the site.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadRateLimits {
    /// Length of the window in which loads are counted.
    pub window: Duration,
    /// Factor by which the loads in a window may exceed the store's rate; 1.0 allows no
    /// excess.
    pub overage: f64,
}

impl LoadRateLimits {
    /// Returns the bucket size for `rate` loads per second. Together with the refill
    /// during one window it stays below the number of loads that the window allows.
    fn burst(&self, rate: f64) -> f64 {
        let excess = (self.overage - 1.0).max(0.0) * rate * self.window.as_secs_f64();
        FREE_LOADS_PER_WINDOW + USED_EXCESS_FRACTION * excess
    }
}

/// Token bucket for loads from the weight store. It starts empty when its node becomes
/// the leader, because the previous leader may just have used the full rate.
#[derive(Debug)]
pub struct LoadRateLimiter {
    limits: LoadRateLimits,
    tokens: f64,
    filled_at: Instant,
}

impl LoadRateLimiter {
    /// Creates an empty bucket that fills from `now` on.
    pub fn new(limits: LoadRateLimits, now: Instant) -> Self {
        Self {
            limits,
            tokens: 0.0,
            filled_at: now,
        }
    }

    /// Refills the bucket up to `now` at `rate` loads per second, and returns the number
    /// of loads that may start.
    pub fn refill(&mut self, now: Instant, rate: f64) -> f64 {
        self.tokens = self.available(now, rate);
        self.filled_at = now;
        self.tokens
    }

    /// Returns the number of loads that may start at `now`, without changing the bucket.
    /// Used for log summaries.
    pub fn available(&self, now: Instant, rate: f64) -> f64 {
        let age = now.saturating_duration_since(self.filled_at);
        let filled = self.tokens + age.as_secs_f64() * rate * USED_FRACTION;
        filled.min(self.limits.burst(rate))
    }

    /// Removes one token for a load that starts.
    pub fn consume(&mut self) {
        self.tokens -= 1.0;
    }
}
