//! Notices when the process has stood still: it was paused, or got no processor time. What
//! arrived meanwhile is handled late, and possibly before newer knowledge is read.

use std::time::Duration;

use tokio::time::{Instant, sleep_until};

use crate::journal::milliseconds;

/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Lateness of a check from which on the process counts as having stood still.
const MIN_STALL: Duration = Duration::from_millis(250);

/// Logs each stall, for as long as the process runs.
pub async fn report_stalls() {
    loop {
        let stalled = next_stall().await;
        tracing::warn!(event = "stalled", stalled_ms = milliseconds(stalled));
    }
}

/// Waits for the next stall and returns how long it lasted.
async fn next_stall() -> Duration {
    loop {
        let due = Instant::now() + CHECK_INTERVAL;
        sleep_until(due).await;
        let late = due.elapsed();
        if late >= MIN_STALL {
            return late;
        }
    }
}

#[cfg(test)]
#[path = "stalls_tests.rs"]
mod tests;
