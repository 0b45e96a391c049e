//! How long requests wait for an old view of the configuration to become current.
//!
//! A process that stood still, or was cut off, finds requests and newer routes at the same
//! time. It reads the routes within milliseconds, so the requests that came first wait for
//! them. If nobody answers the process, they wait only once, in the first moments after it
//! found its view old: they must not all be delayed for as long as the store is down.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Time after this node found its view old within which requests wait. It is many times what
/// the store or a peer needs for an answer, and short enough for a refused client to be served
/// in time elsewhere.
const PATIENCE: Duration = Duration::from_millis(200);

/// When this node found its present view of the configuration old. The lock is never held
/// across an await.
#[derive(Debug, Default)]
pub struct OldView {
    found: Mutex<Option<Found>>,
}

/// The view that was found old, and when.
#[derive(Debug, Clone, Copy)]
struct Found {
    confirmed_at: Option<Instant>,
    at: Instant,
}

impl OldView {
    /// Records that the view that was last confirmed at `confirmed_at` is old, and returns
    /// until when requests wait for a newer one.
    pub fn find(&self, confirmed_at: Option<Instant>, now: Instant) -> Instant {
        let mut found = self.found.lock().unwrap_or_else(PoisonError::into_inner);
        let known = found.filter(|found| found.confirmed_at == confirmed_at);
        let found = found.insert(known.unwrap_or(Found {
            confirmed_at,
            at: now,
        }));
        found.at + PATIENCE
    }
}

#[cfg(test)]
#[path = "old_view_tests.rs"]
mod tests;
