//! Limits the log lines about new runners.
//!
//! When a whole site starts, thousands of runners appear within seconds, and every node sees
//! all of them. With a line for each, 985 nodes write ten million lines at one start.

use std::time::Duration;

use tokio::time::Instant;

/// Number of new runners in each [`WINDOW`] that get a log line each. It is enough to follow
/// a release, or a zone that comes back in parts.
const LOGGED_PER_WINDOW: u32 = 20;
/// Time over which new runners are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Counts new runners to limit their log lines.
#[derive(Debug, Default)]
pub struct Arrivals {
    window_start: Option<Instant>,
    count: u32,
}

impl Arrivals {
    /// Counts a runner that appears at `now`, and returns whether to log it. The first call
    /// after a window logs how many runners of that window got no line.
    pub fn should_log(&mut self, now: Instant) -> bool {
        if self.window_start.is_none_or(|start| now - start >= WINDOW) {
            let suppressed = self.suppressed();
            if suppressed > 0 {
                tracing::info!(event = "runners_arrived", besides_those_told = suppressed);
            }
            self.window_start = Some(now);
            self.count = 0;
        }
        self.count += 1;
        self.count <= LOGGED_PER_WINDOW
    }

    /// Returns the number of runners in the current window that got no log line.
    fn suppressed(&self) -> u32 {
        self.count.saturating_sub(LOGGED_PER_WINDOW)
    }
}

#[cfg(test)]
#[path = "arrivals_tests.rs"]
mod tests;
