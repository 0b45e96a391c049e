//! What a node has seen of a runner's behaviour.

use std::time::{Duration, Instant};

use barleyspar_domain::part_left;

/// Half-life of what was seen.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Weight of the assumption that a runner is sound.
const PRIOR_SUCCESSES: f64 = 3.0;
/// Failures to respond in a row after which a runner is left alone.
const FAILURES_UNTIL_BLOCKED: u32 = 2;
/// Shortest and longest time a runner is left alone.
const SHORTEST_BLOCK: Duration = Duration::from_millis(500);
const LONGEST_BLOCK: Duration = Duration::from_secs(4);
/// Weight of the newest response time.
const RESPONSE_WEIGHT: f64 = 0.3;

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection came up.
    Unreachable,
    /// The connection broke, or its bytes were no proper answer.
    Broken,
    /// Nothing came in the time given.
    Silent,
    /// The runner answered that it failed.
    Error,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer, its first byte after this time.
    Success {
        /// Time until its first byte.
        first_byte: Duration,
    },
    /// Events of a whole stream came this far apart, long pauses left out.
    Streamed {
        /// Usual time between two events.
        usual_gap: Duration,
    },
    /// The first event of a stream came: its prompt has been read.
    PromptRead {
        /// Time until it came.
        first_byte: Duration,
    },
    /// The runner is full or busy with an order and refused; it did not run.
    Busy,
    /// The runner refused and asked for a pause; it did not run.
    Paused,
    /// The runner does not hold what was asked for; it did not run.
    NotHeld,
    /// Another runner has its address: this one is gone.
    Replaced,
    /// The attempt failed.
    Failed(Failure),
    /// The client left or its time was up: says nothing of the runner.
    Abandoned,
}

impl Outcome {
    /// Whether it shows that the runner takes requests.
    pub fn is_taken(self) -> bool {
        matches!(
            self,
            Self::Success { .. }
                | Self::Streamed { .. }
                | Self::PromptRead { .. }
                | Self::Failed(Failure::Error)
        )
    }
}

/// Behaviour seen, fading with time.
#[derive(Debug, Default)]
pub struct Health {
    seen_at: Option<Instant>,
    successes: f64,
    failures: f64,
    failures_in_row: u32,
    blocked_until: Option<Instant>,
    busy_until: Option<Instant>,
    unreachable: bool,
    /// How long it is left alone next; `None`: the shortest time.
    block: Option<Duration>,
    response_seconds: Option<f64>,
}

impl Health {
    /// Takes in a success.
    pub fn succeeded(&mut self, now: Instant, first_byte: Duration) {
        self.fade(now);
        self.successes += 1.0;
        self.failures_in_row = 0;
        self.unreachable = false;
        self.block = None;
        self.blocked_until = None;
        let sample = first_byte.as_secs_f64();
        self.response_seconds = Some(
            self.response_seconds
                .map_or(sample, |known| known + RESPONSE_WEIGHT * (sample - known)),
        );
    }

    /// Takes in a failure.
    pub fn failed(&mut self, now: Instant, failure: Failure) {
        self.fade(now);
        self.failures += 1.0;
        if failure == Failure::Error {
            return;
        }
        self.failures_in_row += 1;
        self.unreachable = failure != Failure::Broken;
        if failure == Failure::Unreachable || self.failures_in_row >= FAILURES_UNTIL_BLOCKED {
            let block = self.block.unwrap_or(SHORTEST_BLOCK);
            self.block_for(now, block);
            self.block = Some((block * 2).min(LONGEST_BLOCK));
        }
    }

    /// Leaves the runner alone for `time`.
    pub fn block_for(&mut self, now: Instant, time: Duration) {
        let until = now + time;
        if self.blocked_until.is_none_or(|known| known < until) {
            self.blocked_until = Some(until);
        }
    }

    /// The runner refused for want of room: gives it no work for `time`.
    pub fn busy_for(&mut self, now: Instant, time: Duration) {
        self.busy_until = Some(now + time);
    }

    /// Whether the runner refused a moment ago for want of room.
    pub fn is_busy(&self, now: Instant) -> bool {
        self.busy_until.is_some_and(|until| now < until)
    }

    /// Whether nothing came from the runner when it was last tried.
    pub fn is_unreachable(&self, now: Instant) -> bool {
        self.unreachable && self.is_blocked(now)
    }

    /// Whether the runner is being left alone.
    pub fn is_blocked(&self, now: Instant) -> bool {
        self.blocked_until.is_some_and(|until| now < until)
    }

    /// Part of the attempts that failed, 0 to 1.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let kept = self.kept(now);
        let failures = self.failures * kept;
        failures / (failures + self.successes * kept + PRIOR_SUCCESSES)
    }

    /// Usual time until the first byte, in seconds.
    pub fn response_seconds(&self) -> Option<f64> {
        self.response_seconds
    }

    fn kept(&self, now: Instant) -> f64 {
        self.seen_at.map_or(1.0, |at| {
            part_left(now.saturating_duration_since(at), HALF_LIFE)
        })
    }

    fn fade(&mut self, now: Instant) {
        let kept = self.kept(now);
        self.successes *= kept;
        self.failures *= kept;
        self.seen_at = Some(now);
    }
}
