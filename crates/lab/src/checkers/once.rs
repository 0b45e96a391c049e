//! A request that may not be repeated runs at most once.

use std::collections::BTreeMap;

use super::Violation;
use crate::history::{Event, Stamped};

/// Violations in `history`.
pub fn check(history: &[Stamped]) -> Vec<Violation> {
    let mut first_runs: BTreeMap<&str, (&str, &str)> = BTreeMap::new();
    let mut violations = Vec::new();
    for Stamped { at_ms, event } in history {
        let Event::WorkBegins {
            runner,
            request,
            operation: Some(operation),
        } = event
        else {
            continue;
        };
        if let Some((earlier, at)) = first_runs.insert(operation, (request, runner)) {
            violations.push(Violation {
                at_ms: *at_ms,
                promise: "at most once",
                what: format!("{operation} ran as {earlier} at {at} and as {request} at {runner}"),
            });
        }
    }
    violations
}
