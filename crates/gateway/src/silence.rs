//! How long an attempt at a runner may be silent before the request is sent to another one.

use std::time::Duration;

/// Multiple of the usual time of a runner's answer from which on its silence is unusual.
const UNUSUAL_FACTOR: u32 = 4;

/// Returns the time of silence after which an attempt is given up for one at another runner:
/// clearly longer than what usually passes, if that is known, yet early enough that the other
/// runner gets half of the client's `time_left`. At least `shortest`.
pub fn silence_timeout(
    usual: Option<Duration>,
    time_left: Duration,
    shortest: Duration,
) -> Duration {
    let half = time_left / 2;
    let unusual = usual.map_or(half, |usual| usual.saturating_mul(UNUSUAL_FACTOR));
    unusual.min(half).max(shortest)
}

#[cfg(test)]
#[path = "silence_tests.rs"]
mod tests;
