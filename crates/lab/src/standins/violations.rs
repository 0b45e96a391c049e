//! Violations of promises that stand-ins saw with their own eyes.

use std::sync::{Arc, Mutex};

/// A list of violations. Cheap to clone; clones share the list.
#[derive(Debug, Clone, Default)]
pub struct Violations {
    list: Arc<Mutex<Vec<String>>>,
}

impl Violations {
    /// Records one.
    pub fn record(&self, what: String) {
        tracing::error!(violation = what, "a promise was broken");
        self.lock().push(what);
    }

    /// All so far.
    pub fn all(&self) -> Vec<String> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<String>> {
        self.list.lock().unwrap_or_else(|e| e.into_inner())
    }
}
