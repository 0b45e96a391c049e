//! Learns how long a runner takes from one event of a stream to the next while it reads no
//! prompt.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of streams whose pace is kept.
const MAX_SAMPLES: usize = 15;
/// Longest plausible time between two events; a longer one counts as an error of measurement.
const MAX_EVENT_TIME: Duration = Duration::from_secs(10);

/// Median of the paces that the runner's latest streams showed.
#[derive(Debug, Clone, Default)]
pub struct EventPace {
    /// Usual time between two events of a stream, oldest stream first.
    samples: VecDeque<Duration>,
    median: Option<Duration>,
}

impl EventPace {
    /// Records the usual time between two events of a stream that has ended.
    pub fn record(&mut self, event_time: Duration) {
        if event_time.is_zero() || event_time > MAX_EVENT_TIME {
            return;
        }
        self.samples.push_back(event_time);
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
        let mut sorted: Vec<Duration> = self.samples.iter().copied().collect();
        sorted.sort_unstable();
        self.median = Some(sorted[sorted.len() / 2]);
    }

    /// Returns the usual time between two events; `None` before the first sample.
    pub fn event_time(&self) -> Option<Duration> {
        self.median
    }
}
