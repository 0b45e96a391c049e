//! Signals of a runner about itself that any of its answers may carry.

use std::time::Duration;

use crate::RunnerLimit;

/// Signals of a runner about itself in the head of one answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunnerSignals {
    /// The rate limit that the runner advertises; `None` if the answer names none.
    pub limit: Option<RunnerLimit>,
    /// Number of requests that the runner may reject for lack of room within a second; if it has
    /// to reject more, it crashes. `None` if the runner is not brittle.
    pub brittle: Option<u32>,
    /// Whether the runner is draining: it takes no new work and exits soon.
    pub draining: bool,
    /// Time for which the runner asks this node to send it nothing (its `Retry-After`);
    /// `None` if it does not ask for a pause.
    pub requested_pause: Option<Duration>,
}
