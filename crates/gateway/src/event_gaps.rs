//! The times between the events of one stream.

use std::time::Duration;

/// Number of gaps, from the first on, of which the usual gap is taken.
const MAX_SAMPLES: usize = 64;
/// Minimum number of gaps for a usual gap.
const MIN_SAMPLES: usize = 10;
/// Shorter gaps are left out: such events waited together on their way.
const MIN_GAP: Duration = Duration::from_millis(1);
/// The usual gap is longer than one in this number of gaps. It has to be one in which the
/// runner read no prompt, which may be the case for few of them.
const QUANTILE_DIVISOR: usize = 4;

/// Gaps between the events of one stream.
#[derive(Debug, Default)]
pub struct EventGaps {
    longest: Duration,
    samples: Vec<Duration>,
}

impl EventGaps {
    /// Records the gap before an event.
    pub fn record(&mut self, gap: Duration) {
        self.longest = self.longest.max(gap);
        if gap >= MIN_GAP && self.samples.len() < MAX_SAMPLES {
            self.samples.push(gap);
        }
    }

    /// Returns the longest gap; zero before the second event.
    pub fn longest(&self) -> Duration {
        self.longest
    }

    /// Returns the lower quartile of the gaps; `None` with few of them.
    pub fn usual(&self) -> Option<Duration> {
        if self.samples.len() < MIN_SAMPLES {
            return None;
        }
        let mut sorted = self.samples.clone();
        sorted.sort_unstable();
        Some(sorted[sorted.len() / QUANTILE_DIVISOR])
    }
}

#[cfg(test)]
#[path = "event_gaps_tests.rs"]
mod tests;
