//! An accepted configuration is in force in every zone within seconds and never
//! reverts.

use std::collections::{BTreeMap, BTreeSet};

use super::{Bounds, Violation};
use crate::history::{Event, Stamped};

#[derive(Default)]
struct Observed<'a> {
    impaired: BTreeSet<&'a str>,
    cut_off: BTreeSet<&'a str>,
    /// When a node was last impaired or cut off.
    restored_at: BTreeMap<&'a str, u64>,
    accepted: Vec<(u64, u64)>,
    promised: u64,
}

/// Violations in `history`.
pub fn check(history: &[Stamped], bounds: &Bounds) -> Vec<Violation> {
    let mut observed = Observed::default();
    let mut violations = Vec::new();
    for Stamped { at_ms, event } in history {
        match event {
            Event::Accepted { position } => observed.accepted.push((*at_ms, *position)),
            Event::ToldInForce { position } => {
                observed.promised = observed.promised.max(*position);
            }
            Event::NodeImpaired { node } => {
                observed.impaired.insert(node);
            }
            Event::NodeCutOff { node } => {
                observed.cut_off.insert(node);
            }
            Event::NodeRestored { node } => {
                observed.impaired.remove(node.as_str());
                observed.restored_at.insert(node, *at_ms);
            }
            Event::NodeRejoined { node } => {
                observed.cut_off.remove(node.as_str());
                observed.restored_at.insert(node, *at_ms);
            }
            Event::Obeys { node, position } => {
                violations.extend(observed.fault_of(*at_ms, node, *position, bounds));
            }
            _ => {}
        }
    }
    violations
}

impl Observed<'_> {
    fn fault_of(
        &self,
        at_ms: u64,
        node: &str,
        position: u64,
        bounds: &Bounds,
    ) -> Option<Violation> {
        if position < self.promised && !self.impaired.contains(node) {
            return Some(Violation {
                at_ms,
                promise: "never reverts",
                what: format!(
                    "{node} obeys {position}, {} was said to be in force",
                    self.promised
                ),
            });
        }
        if self.impaired.contains(node) || self.cut_off.contains(node) {
            return None;
        }
        let sound_since = self.restored_at.get(node).copied().unwrap_or(0);
        let due = |(accepted_ms, _): &&(u64, u64)| {
            at_ms > (*accepted_ms).max(sound_since) + bounds.in_force_ms
        };
        let overdue = self.accepted.iter().filter(due);
        let (accepted_ms, wanted) = overdue.max_by_key(|(_, position)| *position)?;
        (position < *wanted).then(|| Violation {
            at_ms,
            promise: "in force within seconds",
            what: format!(
                "{node} obeys {position}, {wanted} was accepted {} ms ago",
                at_ms - accepted_ms
            ),
        })
    }
}
