//! When a runner is expected to read the prompts that were granted.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Longest window. Reading that ended earlier is forgotten.
pub const MAX_WINDOW: Duration = Duration::from_secs(2);

/// Expected reading of one prompt.
#[derive(Debug, Clone, Copy)]
struct Reading {
    granted_at: Instant,
    tokens: u64,
    begins_at: Instant,
    ends_at: Instant,
}

/// How much of a sliding window a runner may read.
#[derive(Debug, Clone, Copy)]
pub struct ReadingLimit {
    /// Length of the window.
    pub window: Duration,
    /// Time within each window that may be spent on reading.
    pub reading: Duration,
}

/// Expected reading of the granted prompts, one after the other. The window is an argument of
/// each call, since the target gap of a runner's streams changes with them.
#[derive(Debug, Default)]
pub struct ReadingSchedule {
    /// Oldest first.
    readings: VecDeque<Reading>,
}

impl ReadingSchedule {
    /// Adds a prompt of `tokens`, granted at `now`, that takes `time` to read.
    pub fn add(&mut self, tokens: u64, time: Duration, now: Instant) {
        self.drop_old(now);
        let begins_at = self.free_at(now);
        self.readings.push_back(Reading {
            granted_at: now,
            tokens,
            begins_at,
            ends_at: begins_at + time,
        });
    }

    /// Takes back the grant of `tokens` at `at`, which was not used.
    pub fn take_back(&mut self, tokens: u64, at: Instant) {
        let mut readings = self.readings.iter();
        let taken = readings.position(|known| known.granted_at == at && known.tokens == tokens);
        if let Some(index) = taken {
            self.readings.remove(index);
        }
    }

    /// Ends all reading at `now`, since the runner has read all that was granted.
    pub fn end_reading(&mut self, now: Instant) {
        for known in &mut self.readings {
            known.begins_at = known.begins_at.min(now);
            known.ends_at = known.ends_at.min(now);
        }
    }

    /// Number of prompts that are kept.
    pub fn len(&mut self, now: Instant) -> usize {
        self.drop_old(now);
        self.readings.len()
    }

    /// Returns when a prompt that takes `time` to read may be sent, so that no window holds
    /// more reading than `limit` allows; `now` if it may be sent at once. A prompt that takes
    /// longer than that itself may be sent once a window that it fills holds no other.
    pub fn fits_at(&self, time: Duration, limit: ReadingLimit, now: Instant) -> Instant {
        // The fullest window is the one that ends with the prompt's reading.
        let time = time.min(limit.reading);
        let Some(allowed_from) = self.last_above(limit.reading - time) else {
            return now;
        };
        let begins_at = allowed_from + (limit.window - time);
        if begins_at <= self.free_at(now) {
            now
        } else {
            begins_at
        }
    }

    /// When the runner has read all, `now` at the earliest.
    fn free_at(&self, now: Instant) -> Instant {
        self.readings
            .back()
            .map_or(now, |last| last.ends_at.max(now))
    }

    /// Returns the time after which `reading` is spent on reading; `None` if all is less.
    fn last_above(&self, reading: Duration) -> Option<Instant> {
        let mut left = reading;
        for known in self.readings.iter().rev() {
            let time = known.ends_at - known.begins_at;
            if time > left {
                return Some(known.ends_at - left);
            }
            left -= time;
        }
        None
    }

    fn drop_old(&mut self, now: Instant) {
        while let Some(oldest) = self.readings.front()
            && now.saturating_duration_since(oldest.ends_at) >= MAX_WINDOW
        {
            self.readings.pop_front();
        }
    }
}
