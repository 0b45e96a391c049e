//! Learns how many prompt tokens a runner reads a second.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of samples that are kept.
const MAX_SAMPLES: usize = 15;
/// Age from which a sample does not count any more, so that a runner that has changed is soon
/// known.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(10);
/// Number of samples that count however old they are, since a single one may be wrong.
const MIN_SAMPLES: usize = 5;
/// Part of the samples that may be faster than the result. Prompts that are partly in the
/// runner's cache seem to be read faster than others, and must not set the speed.
const QUANTILE: f64 = 0.6;
/// Fewest tokens of a sample: the time for fewer is mostly that of the engine's decoding steps.
pub const MIN_SAMPLE_TOKENS: u64 = 256;
/// Tokens after which a sample ends, although the runner goes on reading.
const MAX_SAMPLE_TOKENS: u64 = 4000;
/// Range of tokens a second that a sample may show; others count as errors of measurement.
const PLAUSIBLE_SPEEDS: std::ops::RangeInclusive<f64> = 10.0..=2_000_000.0;

/// Tokens read without a break, and the time that this took.
#[derive(Debug, Clone, Copy, Default)]
struct BusyPeriod {
    tokens: u64,
    time: Duration,
}

impl BusyPeriod {
    fn seconds_per_token(&self) -> Option<f64> {
        if self.tokens < MIN_SAMPLE_TOKENS {
            return None;
        }
        let sample = self.time.as_secs_f64() / self.tokens as f64;
        is_plausible(sample).then_some(sample)
    }
}

/// Seconds that a runner took for a token, and when this was known.
#[derive(Debug, Clone, Copy)]
struct Sample {
    seconds_per_token: f64,
    known_at: Instant,
}

/// Quantile of the times that a runner took lately for a prompt token.
///
/// An engine may tell several prompts in one event, or read pieces of several in turn, so
/// prompts that follow each other without a break make up one sample.
#[derive(Debug, Clone, Default)]
pub struct ReadingSpeed {
    /// Oldest first.
    samples: VecDeque<Sample>,
    /// Quantile of the samples; of the busy period that goes on, before the first sample.
    seconds_per_token: Option<f64>,
    busy: BusyPeriod,
    last_read_at: Option<Instant>,
}

impl ReadingSpeed {
    /// Returns the speed that another node had learned by `now`; unknown if it is 0.
    pub fn starting_from(tokens_per_second: u32, now: Instant) -> Self {
        let mut speed = Self::default();
        let seconds_per_token = 1.0 / f64::from(tokens_per_second);
        if is_plausible(seconds_per_token) {
            speed.add_sample(seconds_per_token, now);
        }
        speed
    }

    /// Returns the number of tokens read a second; `None` before the first sample.
    pub fn tokens_per_second(&self) -> Option<f64> {
        self.seconds_per_token.map(|seconds| 1.0 / seconds)
    }

    /// Records that a prompt of `tokens`, sent at `sent_at`, was read at `read_at`. Prompts
    /// are read one after the other, so it was begun when the previous one was read, if that
    /// was later.
    pub fn record(&mut self, tokens: u64, sent_at: Instant, read_at: Instant) {
        let goes_on = self.last_read_at.is_some_and(|last| sent_at < last);
        if !goes_on || self.busy.tokens >= MAX_SAMPLE_TOKENS {
            self.end_busy_period();
        }
        let begun_at = self.last_read_at.map_or(sent_at, |last| last.max(sent_at));
        self.last_read_at = self.last_read_at.max(Some(read_at));
        self.busy.tokens += tokens;
        self.busy.time += read_at.saturating_duration_since(begun_at);
        if self.samples.is_empty() {
            self.seconds_per_token = self.busy.seconds_per_token();
        }
    }

    /// Returns how many times as long as at the learned speed the runner has taken since it
    /// was last idle, if it now reads a prompt of `tokens` granted at `granted_at`; at least 1.
    pub fn slowdown(&self, tokens: u64, granted_at: Instant, now: Instant) -> f64 {
        let Some(seconds_per_token) = self.seconds_per_token else {
            return 1.0;
        };
        let goes_on = self.last_read_at.is_some_and(|last| granted_at < last);
        let busy = if goes_on {
            self.busy
        } else {
            BusyPeriod::default()
        };
        let begun_at = self
            .last_read_at
            .map_or(granted_at, |last| last.max(granted_at));
        let time = busy.time + now.saturating_duration_since(begun_at);
        let expected_seconds = (busy.tokens + tokens) as f64 * seconds_per_token;
        (time.as_secs_f64() / expected_seconds).max(1.0)
    }

    fn end_busy_period(&mut self) {
        let busy = std::mem::take(&mut self.busy);
        if let (Some(seconds_per_token), Some(ended_at)) =
            (busy.seconds_per_token(), self.last_read_at)
        {
            self.add_sample(seconds_per_token, ended_at);
        }
    }

    fn add_sample(&mut self, seconds_per_token: f64, known_at: Instant) {
        self.samples.push_back(Sample {
            seconds_per_token,
            known_at,
        });
        let is_old = |sample: &Sample| {
            known_at.saturating_duration_since(sample.known_at) >= SAMPLE_LIFETIME
        };
        while self.samples.len() > MAX_SAMPLES
            || self.samples.len() > MIN_SAMPLES && self.samples.front().is_some_and(is_old)
        {
            self.samples.pop_front();
        }
        self.seconds_per_token = quantile(&self.samples);
    }
}

fn is_plausible(seconds_per_token: f64) -> bool {
    PLAUSIBLE_SPEEDS.contains(&(1.0 / seconds_per_token))
}

fn quantile(samples: &VecDeque<Sample>) -> Option<f64> {
    let seconds = samples.iter().map(|sample| sample.seconds_per_token);
    let mut sorted: Vec<f64> = seconds.collect();
    sorted.sort_by(f64::total_cmp);
    let index = (sorted.len() as f64 * QUANTILE) as usize;
    sorted.get(index).copied()
}

/// Returns the time to read `tokens`; the longest possible one if the speed is 0.
pub fn read_time(tokens: u64, tokens_per_second: f64) -> Duration {
    let time = Duration::try_from_secs_f64(tokens as f64 / tokens_per_second);
    time.unwrap_or(Duration::MAX)
}
