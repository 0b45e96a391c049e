//! The shortest target gap of the streams that began lately at one runner.

use std::time::{Duration, Instant};

use crate::schedule::MAX_WINDOW;

/// Shortest gap that is kept: within less, an engine makes no two events.
const MIN_GAP: Duration = Duration::from_millis(20);
/// A gap binds during this period and the next one, as its stream may run that long.
const PERIOD: Duration = Duration::from_secs(10);

/// Minimum of the target gaps of the last one to two periods.
#[derive(Debug)]
pub struct RecentGaps {
    period_began_at: Instant,
    current: Option<Duration>,
    previous: Option<Duration>,
}

impl RecentGaps {
    /// Begins the first period at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            period_began_at: now,
            current: None,
            previous: None,
        }
    }

    /// Records that a stream with this target gap began at `now`.
    pub fn record(&mut self, gap: Duration, now: Instant) {
        let periods = self.periods_passed(now);
        if periods > 0 {
            self.previous = self.current.filter(|_| periods == 1);
            self.current = None;
            self.period_began_at = now;
        }
        let gap = gap.clamp(MIN_GAP, MAX_WINDOW);
        self.current = Some(self.current.map_or(gap, |known| known.min(gap)));
    }

    /// Returns the shortest gap that binds at `now`; the longest possible one if none does.
    pub fn shortest(&self, now: Instant) -> Duration {
        let binding = match self.periods_passed(now) {
            0 => [self.current, self.previous],
            1 => [self.current, None],
            _ => [None, None],
        };
        binding.into_iter().flatten().min().unwrap_or(MAX_WINDOW)
    }

    fn periods_passed(&self, now: Instant) -> u128 {
        let passed = now.saturating_duration_since(self.period_began_at);
        passed.as_nanos() / PERIOD.as_nanos()
    }
}
