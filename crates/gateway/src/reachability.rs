//! Which runners this node can open connections to. A state machine without I/O.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

/// Time without a connection attempt to a runner after which what is known of it is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);

/// A runner to which the last connection attempt failed.
#[derive(Debug, Clone, Copy)]
struct Unreachable {
    since: Instant,
    last_failure_at: Instant,
}

/// What this node's connection attempts have shown.
#[derive(Debug, Default)]
pub struct Reachability {
    unreachable: HashMap<Arc<str>, Unreachable>,
}

impl Reachability {
    /// Records a direct connection to `runner`. Returns for how long it was unreachable before;
    /// `None` if it was not.
    pub fn record_connected(&mut self, runner: &str, now: Instant) -> Option<Duration> {
        let unreachable = self.unreachable.remove(runner)?;
        Some(now.saturating_duration_since(unreachable.since))
    }

    /// Records that `runner` could not be connected to directly. Returns whether that is news.
    pub fn record_failed(&mut self, runner: &Arc<str>, now: Instant) -> bool {
        if let Some(known) = self.unreachable.get_mut(runner) {
            known.last_failure_at = now;
            return false;
        }
        self.unreachable.retain(|_, known| {
            now.saturating_duration_since(known.last_failure_at) < FORGOTTEN_AFTER
        });
        let unreachable = Unreachable {
            since: now,
            last_failure_at: now,
        };
        self.unreachable.insert(runner.clone(), unreachable);
        true
    }

    /// Number of runners to which the last connection attempt failed.
    pub fn unreachable_count(&self) -> usize {
        self.unreachable.len()
    }
}
