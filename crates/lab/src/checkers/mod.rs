//! Checkers of the promises. Each is a pure function from a history to the
//! violations it shows.

mod configuration;
mod leaving;
mod memory;
mod once;
mod replicas;
mod requests;
mod stops;
#[cfg(test)]
mod tests;

use serde::Serialize;

use crate::history::Stamped;

/// Bounds that the checkers allow.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Time beyond a deadline by which a request must have ended.
    pub deadline_slack_ms: u64,
    /// Time after a back end was told to leave from which it gets no new work.
    pub leaving_ms: u64,
    /// Time after its acceptance by which a change is in force at every node that
    /// was unimpaired meanwhile.
    pub in_force_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            deadline_slack_ms: 2_000,
            leaving_ms: 10_000,
            in_force_ms: 15_000,
        }
    }
}

/// A promise that a history shows broken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// When.
    pub at_ms: u64,
    /// Which promise.
    pub promise: &'static str,
    /// What happened.
    pub what: String,
}

/// All violations in `history`, in order of time.
pub fn check(history: &[Stamped], bounds: &Bounds) -> Vec<Violation> {
    let mut violations = Vec::new();
    violations.extend(replicas::check(history));
    violations.extend(memory::check(history));
    violations.extend(requests::check(history, bounds));
    violations.extend(once::check(history));
    violations.extend(leaving::check(history, bounds));
    violations.extend(configuration::check(history, bounds));
    violations.extend(stops::check(history));
    violations.sort_by_key(|violation| violation.at_ms);
    violations
}
