//! When a parent that has sent no frame for a while counts as late, and when as silent.
//!
//! A parent sends a frame after each poll of the node that watches the store, so it is known
//! when the next one is due. Its age alone would show only much later that none comes.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::feed::times::FeedTimes;

/// Number of latest gaps between frames from which the next one is expected.
const GAPS: usize = 8;
/// A frame is late after this multiple of the longest of the latest gaps.
const LATE_FACTOR: f64 = 1.5;

/// The latest gaps between the frames of one parent.
#[derive(Debug)]
pub struct FrameGaps {
    /// When the latest frame came; before the first one, when the parent was connected to.
    last_at: Instant,
    gaps: VecDeque<Duration>,
    poll_wait: Duration,
    max_silence: Duration,
}

impl FrameGaps {
    /// Begins with a parent that has just been connected to.
    pub fn new(times: &FeedTimes) -> Self {
        Self {
            last_at: Instant::now(),
            gaps: VecDeque::with_capacity(GAPS),
            poll_wait: times.poll_wait,
            max_silence: times.max_age(1),
        }
    }

    /// Records a frame that came at `now`.
    pub fn record_frame(&mut self, now: Instant) {
        self.gaps.truncate(GAPS - 1);
        self.gaps.push_front(now - self.last_at);
        self.last_at = now;
    }

    /// Returns from when on the next frame is late.
    pub fn late_at(&self) -> Instant {
        let longest = self.gaps.iter().copied().max().unwrap_or_default();
        self.last_at + longest.max(self.poll_wait).mul_f64(LATE_FACTOR)
    }

    /// Returns from when on the parent counts as silent if no frame has come.
    pub fn silent_at(&self) -> Instant {
        self.late_at().max(self.last_at + self.max_silence)
    }
}

#[cfg(test)]
#[path = "frame_gaps_tests.rs"]
mod tests;
