//! Which runners that arrive get a line of their own in the log.
//!
//! A whole site that starts brings thousands within seconds, and every node hears of
//! all of them: with a line for each, 985 nodes wrote ten million lines at one start.

use std::time::Duration;

use tokio::time::Instant;

/// Arrivals in [`SPELL`] that get lines of their own; enough to follow a release or a
/// zone that comes back by parts.
const TOLD: u32 = 20;
/// Time in which arrivals are counted.
const SPELL: Duration = Duration::from_secs(1);

/// Counts arrivals.
#[derive(Debug, Default)]
pub struct Arrivals {
    since: Option<Instant>,
    count: u32,
}

impl Arrivals {
    /// Whether an arrival at `now` gets its own line. Says first how many had none in
    /// the spell before, once it is over.
    pub fn tells(&mut self, now: Instant) -> bool {
        if self.since.is_none_or(|since| now - since >= SPELL) {
            let without = self.without_line();
            if without > 0 {
                tracing::info!(event = "runners_arrived", besides_those_told = without);
            }
            self.since = Some(now);
            self.count = 0;
        }
        self.count += 1;
        self.count <= TOLD
    }

    fn without_line(&self) -> u32 {
        self.count.saturating_sub(TOLD)
    }
}

#[cfg(test)]
#[path = "arrivals_tests.rs"]
mod tests;
