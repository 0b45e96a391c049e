//! Counts the bytes of a node's control messages, by what they are for.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// Bytes and calls of one purpose.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
    /// Calls made.
    pub calls: u64,
}

/// Counts of one node. Cheap to clone; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    counts: Arc<Mutex<BTreeMap<&'static str, Counts>>>,
}

impl Traffic {
    /// Counts `bytes` sent for `purpose`.
    pub fn count_sent(&self, purpose: &'static str, bytes: usize) {
        self.count(purpose, |counts| counts.sent += bytes as u64);
    }

    /// Counts `bytes` received for `purpose`.
    pub fn count_received(&self, purpose: &'static str, bytes: usize) {
        self.count(purpose, |counts| counts.received += bytes as u64);
    }

    /// Counts one call made for `purpose`.
    pub fn count_call(&self, purpose: &'static str) {
        self.count(purpose, |counts| counts.calls += 1);
    }

    /// Bytes sent and received so far.
    pub fn total_bytes(&self) -> u64 {
        let counts = self.lock();
        counts
            .values()
            .map(|counts| counts.sent + counts.received)
            .sum()
    }

    /// The counts so far, by purpose.
    pub fn by_purpose(&self) -> BTreeMap<&'static str, Counts> {
        self.lock().clone()
    }

    fn count(&self, purpose: &'static str, change: impl FnOnce(&mut Counts)) {
        change(self.lock().entry(purpose).or_default());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<&'static str, Counts>> {
        self.counts.lock().unwrap_or_else(|e| e.into_inner())
    }
}
