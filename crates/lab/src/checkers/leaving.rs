//! A back end that is leaving receives no new work after a few seconds.

use std::collections::BTreeMap;

use super::{Bounds, Violation};
use crate::history::{Event, Stamped};

/// Violations in `history`.
pub fn check(history: &[Stamped], bounds: &Bounds) -> Vec<Violation> {
    let mut leaving: BTreeMap<&str, u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for Stamped { at_ms, event } in history {
        match event {
            Event::Leaving { runner } => {
                leaving.insert(runner, *at_ms);
            }
            Event::EngineStarts { runner, .. } => {
                leaving.remove(runner.as_str());
            }
            Event::WorkBegins {
                runner, request, ..
            } => {
                let since = leaving.get(runner.as_str());
                if let Some(since) = since.filter(|since| *at_ms > *since + bounds.leaving_ms) {
                    violations.push(Violation {
                        at_ms: *at_ms,
                        promise: "leaving",
                        what: format!("{runner} got {request} {} ms after", at_ms - since),
                    });
                }
            }
            _ => {}
        }
    }
    violations
}
