//! What a runner says of itself in its answers, whatever they answer.

use std::time::Duration;

use crate::RunnerLimit;

/// What a runner says of itself in an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunnerNotice {
    /// The limit that it names.
    pub limit: Option<RunnerLimit>,
    /// Whether it leaves: it wants no new work, and ends soon.
    pub leaves: bool,
    /// How long it wants nothing from the node that it answers.
    pub pause: Option<Duration>,
}
