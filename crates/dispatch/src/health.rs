//! Health of a runner as this node observes it from its own attempts.

use std::time::{Duration, Instant};

use barleyspar_domain::decay_factor;

/// Half-life of the weight of an observed success or failure.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Number of successes assumed beforehand, so that one failure alone does not make a
/// runner look broken.
const PRIOR_SUCCESSES: f64 = 3.0;
/// Consecutive failures to respond after which a runner is blocked.
const FAILURES_UNTIL_BLOCKED: u32 = 2;
/// Time for which a runner is blocked first. Each further block without a success in
/// between is twice as long, up to [`LONGEST_BLOCK`].
const SHORTEST_BLOCK: Duration = Duration::from_millis(500);
/// Longest time for which a runner is blocked after failures to respond.
const LONGEST_BLOCK: Duration = Duration::from_secs(4);
/// Weight of the newest response time in the moving average.
const RESPONSE_WEIGHT: f64 = 0.3;

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be established.
    Unreachable,
    /// The connection broke, or the runner sent no valid answer.
    Broken,
    /// The runner sent nothing within the time limit.
    Silent,
    /// The runner answered with an error of its own.
    Error,
}

/// How an attempt ended, or what an attempt that goes on has shown of its runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The runner sent a complete answer.
    Success {
        /// Time from sending the request to the first byte of the answer.
        first_byte: Duration,
    },
    /// The runner sent a complete stream; tells the pace of its events.
    Streamed {
        /// Usual time between two events, without long pauses.
        usual_gap: Duration,
    },
    /// The first event of a stream arrived: the runner has read the prompt.
    PromptRead {
        /// Time from sending the request to the first event.
        first_byte: Duration,
    },
    /// The runner refused because it is full or busy with an order; it did not run the
    /// request.
    Busy,
    /// The runner refused and requested a pause; it did not run the request.
    Paused,
    /// The runner does not hold the model or adapter; it did not run the request.
    NotHeld,
    /// Another runner answered at the address, so the addressed one is gone.
    Replaced,
    /// The attempt failed.
    Failed(Failure),
    /// The client left or the request's deadline passed, which shows nothing about the
    /// runner.
    Abandoned,
}

impl Outcome {
    /// Whether this outcome shows that the runner accepts requests.
    pub fn shows_acceptance(self) -> bool {
        matches!(
            self,
            Self::Success { .. }
                | Self::Streamed { .. }
                | Self::PromptRead { .. }
                | Self::Failed(Failure::Error)
        )
    }
}

/// Exponentially decaying record of a runner's successes and failures.
#[derive(Debug, Default)]
pub struct Health {
    updated_at: Option<Instant>,
    successes: f64,
    failures: f64,
    failures_in_row: u32,
    blocked_until: Option<Instant>,
    busy_until: Option<Instant>,
    unreachable: bool,
    /// Duration of the next block; `None` means [`SHORTEST_BLOCK`].
    next_block: Option<Duration>,
    response_seconds: Option<f64>,
}

impl Health {
    /// Records a successful attempt, whose first byte came after `first_byte`. Ends any
    /// block.
    pub fn record_success(&mut self, now: Instant, first_byte: Duration) {
        self.decay(now);
        self.successes += 1.0;
        self.failures_in_row = 0;
        self.unreachable = false;
        self.next_block = None;
        self.blocked_until = None;
        let sample = first_byte.as_secs_f64();
        self.response_seconds = Some(
            self.response_seconds
                .map_or(sample, |known| known + RESPONSE_WEIGHT * (sample - known)),
        );
    }

    /// Records a failed attempt. A failure to respond also counts towards a block.
    pub fn record_failure(&mut self, now: Instant, failure: Failure) {
        self.decay(now);
        self.failures += 1.0;
        if failure == Failure::Error {
            self.unreachable = false;
            return;
        }
        self.failures_in_row += 1;
        self.unreachable = failure != Failure::Broken;
        if failure == Failure::Unreachable || self.failures_in_row >= FAILURES_UNTIL_BLOCKED {
            let duration = self.next_block.unwrap_or(SHORTEST_BLOCK);
            self.block(now, duration);
            self.next_block = Some((duration * 2).min(LONGEST_BLOCK));
        }
    }

    /// Blocks the runner for at least `time`: while blocked it gets requests only if all
    /// usable runners are blocked.
    pub fn block(&mut self, now: Instant, time: Duration) {
        let until = now + time;
        if self.blocked_until.is_none_or(|known| known < until) {
            self.blocked_until = Some(until);
        }
    }

    /// Gives the runner no new requests for `time`, since it refused one for lack of
    /// room.
    pub fn mark_busy(&mut self, now: Instant, time: Duration) {
        self.busy_until = Some(now + time);
    }

    /// Whether the runner refused a moment ago for lack of room.
    pub fn is_busy(&self, now: Instant) -> bool {
        self.busy_until.is_some_and(|until| now < until)
    }

    /// Whether the runner is blocked, and its last failure to respond was that it could
    /// not be connected to or sent nothing in time.
    pub fn is_unreachable(&self, now: Instant) -> bool {
        self.unreachable && self.is_blocked(now)
    }

    /// Whether the runner is blocked, so that it gets requests only if all usable runners
    /// are.
    pub fn is_blocked(&self, now: Instant) -> bool {
        self.blocked_until.is_some_and(|until| now < until)
    }

    /// Fraction of the recent attempts that failed, 0 to 1.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let factor = self.decay_factor(now);
        let failures = self.failures * factor;
        failures / (failures + self.successes * factor + PRIOR_SUCCESSES)
    }

    /// Usual time until the first byte, in seconds; `None` before the first success.
    pub fn response_seconds(&self) -> Option<f64> {
        self.response_seconds
    }

    fn decay_factor(&self, now: Instant) -> f64 {
        self.updated_at.map_or(1.0, |at| {
            decay_factor(now.saturating_duration_since(at), HALF_LIFE)
        })
    }

    fn decay(&mut self, now: Instant) {
        let factor = self.decay_factor(now);
        self.successes *= factor;
        self.failures *= factor;
        self.updated_at = Some(now);
    }
}
