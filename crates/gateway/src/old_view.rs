//! How long requests wait for an old view of the configuration to become current.
//!
//! A process that stood still, or was cut off, finds requests and newer routes at the same
//! time. It reads the routes within milliseconds, so the requests that came first wait for
//! them. If nobody answers the process, they wait only once, in the first moments after it
//! noticed that its view is old: they must not all be delayed for as long as the store is down.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Time after this node noticed that its view is old within which requests wait. It is many
/// times what the store or a peer needs for an answer, and short enough for a refused client
/// to be served in time elsewhere.
const PATIENCE: Duration = Duration::from_millis(200);

/// When this node noticed that its present view of the configuration is old. The lock is never
/// held across an await.
#[derive(Debug, Default)]
pub struct OldView {
    noticed: Mutex<Option<Notice>>,
}

/// The view that was noticed to be old, by when it was last confirmed.
#[derive(Debug, Clone, Copy)]
struct Notice {
    confirmed_at: Option<Instant>,
    noticed_at: Instant,
}

impl OldView {
    /// Records that the view that was last confirmed at `confirmed_at` is old, and returns
    /// until when requests wait for a newer one.
    pub fn notice(&self, confirmed_at: Option<Instant>, now: Instant) -> Instant {
        let mut noticed = self.noticed.lock().unwrap_or_else(PoisonError::into_inner);
        let known = noticed.filter(|notice| notice.confirmed_at == confirmed_at);
        let notice = noticed.insert(known.unwrap_or(Notice {
            confirmed_at,
            noticed_at: now,
        }));
        notice.noticed_at + PATIENCE
    }
}

#[cfg(test)]
#[path = "old_view_tests.rs"]
mod tests;
