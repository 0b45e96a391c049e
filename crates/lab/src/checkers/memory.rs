//! Accelerator memory is never overcommitted.

use std::collections::BTreeMap;

use super::Violation;
use crate::history::{Event, Stamped};

#[derive(Default)]
struct Accelerator {
    memory_bytes: u64,
    held: BTreeMap<String, u64>,
}

/// Violations in `history`.
pub fn check(history: &[Stamped]) -> Vec<Violation> {
    let mut accelerators: BTreeMap<String, Accelerator> = BTreeMap::new();
    let mut violations = Vec::new();
    for Stamped { at_ms, event } in history {
        match event {
            Event::EngineStarts {
                runner,
                memory_bytes,
            } => {
                let fresh = Accelerator {
                    memory_bytes: *memory_bytes,
                    held: BTreeMap::new(),
                };
                accelerators.insert(runner.clone(), fresh);
            }
            Event::ReplicaBegins {
                runner,
                model,
                bytes,
            } => {
                let accelerator = accelerators.entry(runner.clone()).or_default();
                accelerator.held.insert(model.clone(), *bytes);
                let used: u64 = accelerator.held.values().sum();
                if used > accelerator.memory_bytes {
                    violations.push(Violation {
                        at_ms: *at_ms,
                        promise: "memory",
                        what: format!("{runner}: {used} of {}", accelerator.memory_bytes),
                    });
                }
            }
            Event::ReplicaEnds { runner, model } => {
                if let Some(accelerator) = accelerators.get_mut(runner) {
                    accelerator.held.remove(model);
                }
            }
            Event::Died { runner } => {
                if let Some(accelerator) = accelerators.get_mut(runner) {
                    accelerator.held.clear();
                }
            }
            _ => {}
        }
    }
    violations
}
