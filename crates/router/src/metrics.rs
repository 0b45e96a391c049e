//! Counters of the router, read by the metrics page and by experiments.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use crate::Reason;

/// Figures at one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouterFigures {
    /// Requests taken in.
    pub requests: u64,
    /// Requests whose answer began.
    pub answered: u64,
    /// Refusals by reason.
    pub refused: BTreeMap<Reason, u64>,
    /// Attempts at back ends.
    pub attempts: u64,
    /// Streams resumed after a break.
    pub resumed: u64,
    /// Requests waiting now.
    pub waiting: u64,
}

/// Counters shared by the router's tasks. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct RouterCounters {
    figures: Arc<Mutex<RouterFigures>>,
}

impl RouterCounters {
    /// The figures now.
    pub fn read(&self) -> RouterFigures {
        self.lock().clone()
    }

    /// Changes the figures.
    pub fn count(&self, change: impl FnOnce(&mut RouterFigures)) {
        change(&mut self.lock());
    }

    /// Counts a refusal.
    pub fn refused(&self, reason: Reason) {
        self.count(|figures| *figures.refused.entry(reason).or_default() += 1);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, RouterFigures> {
        self.figures.lock().unwrap_or_else(|e| e.into_inner())
    }
}
