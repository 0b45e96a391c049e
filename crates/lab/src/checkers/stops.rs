//! A planned stop cuts off no request in flight.

use std::collections::{BTreeMap, BTreeSet};

use super::Violation;
use crate::history::{Event, RequestEnd, Stamped};

/// Violations in `history`.
pub fn check(history: &[Stamped]) -> Vec<Violation> {
    let mut stopping: BTreeSet<&str> = BTreeSet::new();
    let mut node_of: BTreeMap<&str, &str> = BTreeMap::new();
    let mut violations = Vec::new();
    for Stamped { at_ms, event } in history {
        let violation = match event {
            Event::StopBegins { node } => {
                stopping.insert(node);
                None
            }
            Event::StopEnds { node, cut } => {
                stopping.remove(node.as_str());
                (*cut > 0).then(|| format!("{node} cut {cut} tasks"))
            }
            Event::RequestBegins { request, node, .. } => {
                node_of.insert(request, node);
                None
            }
            Event::RequestEnds { request, end } if is_cut(end) => {
                let node = node_of.get(request.as_str());
                let node = node.filter(|node| stopping.contains(*node));
                node.map(|node| format!("{request} was cut by the planned stop of {node}"))
            }
            _ => None,
        };
        violations.extend(violation.map(|what| Violation {
            at_ms: *at_ms,
            promise: "planned stop",
            what,
        }));
    }
    violations
}

/// Whether the end is the node's doing: the connection is lost, or the node
/// refuses what it had taken in because it is stopping. A stream that the
/// engine broke off is not.
fn is_cut(end: &RequestEnd) -> bool {
    match end {
        RequestEnd::NodeLost => true,
        RequestEnd::Refused { reason, .. } => reason == "stopping",
        RequestEnd::Answered { .. } | RequestEnd::BrokeOff => false,
    }
}
