//! Paces loads from the weight store.

use std::time::Instant;

/// Part of the store's rate that is used: an order without an answer may be
/// carried out later, in a window that has its own loads.
const USED_PART: f64 = 0.9;
/// Loads that may begin at once.
const BURST: f64 = 3.0;

/// A token bucket; empty when its node takes the right to order, since its
/// predecessor may just have used the whole rate.
#[derive(Debug)]
pub struct LoadPace {
    tokens: f64,
    filled_at: Instant,
}

impl LoadPace {
    /// An empty bucket.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: 0.0,
            filled_at: now,
        }
    }

    /// Whether a load may begin at `now`, at `rate` loads a second.
    pub fn ready(&mut self, now: Instant, rate: f64) -> bool {
        let age = now.saturating_duration_since(self.filled_at);
        self.tokens = (self.tokens + age.as_secs_f64() * rate * USED_PART).min(BURST);
        self.filled_at = now;
        self.tokens >= 1.0
    }

    /// Counts a load.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }
}
