//! Circuit breakers: a runner that failed several times in a row is left alone
//! for a while, then tried with one request.

use std::time::Duration;

use tokio::time::Instant;

/// The breaker of one runner.
#[derive(Debug, Clone, Default)]
pub struct Breaker {
    failures: u32,
    open_until: Option<Instant>,
}

impl Breaker {
    /// Whether a request may be sent now.
    pub fn allows(&self, now: Instant) -> bool {
        self.open_until.is_none_or(|until| now >= until)
    }

    /// Notes a success.
    pub fn succeed(&mut self) {
        *self = Self::default();
    }

    /// Notes a failure; after `limit` in a row the breaker opens for `pause`.
    /// One more failure after that opens it again.
    pub fn fail(&mut self, limit: u32, pause: Duration, now: Instant) {
        self.failures += 1;
        if self.failures >= limit {
            self.open_until = Some(now + pause);
        }
    }
}
