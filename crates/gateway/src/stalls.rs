//! Notices when the process has stood still: it was paused, or got no processor time. What
//! arrived meanwhile is handled late, and possibly before newer knowledge is read.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

use crate::journal::milliseconds;

/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Lateness of a check from which on the process counts as having stood still.
const MIN_STALL: Duration = Duration::from_millis(250);

/// Time after a stall within which the process catches up with what arrived meanwhile.
const CATCH_UP_TIME: Duration = Duration::from_secs(1);

/// When the process last ran without a stall. Clones share it.
#[derive(Debug, Clone)]
pub struct StallWatch(Arc<Mutex<Checks>>);

#[derive(Debug)]
struct Checks {
    last_at: Instant,
    /// When the last stall was noticed; `None` before the first.
    stall_noticed_at: Option<Instant>,
}

impl Default for StallWatch {
    fn default() -> Self {
        let checks = Checks {
            last_at: Instant::now(),
            stall_noticed_at: None,
        };
        Self(Arc::new(Mutex::new(checks)))
    }
}

impl StallWatch {
    /// Whether what the process reads now may have arrived long ago: it stood still until a
    /// moment ago, whether that is noticed yet or not.
    pub fn is_catching_up(&self, now: Instant) -> bool {
        let checks = self.lock();
        let since_check = now.saturating_duration_since(checks.last_at);
        let since_notice = checks
            .stall_noticed_at
            .map(|at| now.saturating_duration_since(at));
        since_check >= CHECK_INTERVAL + MIN_STALL
            || since_notice.is_some_and(|since| since < CATCH_UP_TIME)
    }

    /// Logs each stall, for as long as the process runs.
    pub async fn report_stalls(self) {
        loop {
            let stalled = self.next_stall().await;
            tracing::warn!(event = "stalled", stalled_ms = milliseconds(stalled));
        }
    }

    /// Waits for the next stall and returns how long it lasted.
    async fn next_stall(&self) -> Duration {
        loop {
            let due = Instant::now() + CHECK_INTERVAL;
            sleep_until(due).await;
            let late = due.elapsed();
            let now = Instant::now();
            let mut checks = self.lock();
            checks.last_at = now;
            if late >= MIN_STALL {
                checks.stall_noticed_at = Some(now);
                return late;
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Checks> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
#[path = "stalls_tests.rs"]
mod tests;
