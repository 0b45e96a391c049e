//! Every request is answered or refused in time, with its own whole answer, and
//! "not run" is true.

use std::collections::{BTreeMap, BTreeSet};

use barleyspar_domain::Verdict;

use super::{Bounds, Violation};
use crate::history::{Event, RequestEnd, Stamped};

struct Open {
    began_ms: u64,
    deadline_ms: u64,
    node: String,
    first_token_ms: Option<u64>,
    ended: bool,
}

/// Violations in `history`.
pub fn check(history: &[Stamped], bounds: &Bounds) -> Vec<Violation> {
    let ran = requests_that_ran(history);
    let mut requests: BTreeMap<String, Open> = BTreeMap::new();
    let mut violations = Vec::new();
    for Stamped { at_ms, event } in history {
        match event {
            Event::RequestBegins {
                request,
                node,
                deadline_ms,
            } => {
                let open = Open {
                    began_ms: *at_ms,
                    deadline_ms: at_ms + deadline_ms,
                    node: node.clone(),
                    first_token_ms: None,
                    ended: false,
                };
                requests.insert(request.clone(), open);
            }
            Event::FirstToken { request } => {
                if let Some(open) = requests.get_mut(request) {
                    open.first_token_ms = Some(*at_ms);
                }
            }
            Event::RequestEnds { request, end } => {
                let Some(open) = requests.get_mut(request) else {
                    continue;
                };
                open.ended = true;
                let fault = fault_of(history, *at_ms, open, end, ran.contains(request), bounds);
                violations.extend(fault.map(|(promise, what)| Violation {
                    at_ms: *at_ms,
                    promise,
                    what: format!("{request}: {what}"),
                }));
            }
            _ => {}
        }
    }
    let unended = requests.iter().filter(|(_, open)| !open.ended);
    violations.extend(unended.map(|(request, open)| Violation {
        at_ms: open.deadline_ms,
        promise: "never dropped",
        what: format!("{request} never ended"),
    }));
    violations
}

fn requests_that_ran(history: &[Stamped]) -> BTreeSet<String> {
    let begun = history.iter().filter_map(|stamped| match &stamped.event {
        Event::WorkBegins { request, .. } => Some(request.clone()),
        _ => None,
    });
    begun.collect()
}

fn fault_of(
    history: &[Stamped],
    at_ms: u64,
    open: &Open,
    end: &RequestEnd,
    ran: bool,
    bounds: &Bounds,
) -> Option<(&'static str, String)> {
    let due = open.deadline_ms + bounds.deadline_slack_ms;
    let excused = || was_impaired(history, &open.node, open.began_ms, at_ms);
    match end {
        RequestEnd::Answered { right: false } => {
            Some(("whole answer", "the answer is not its own".to_owned()))
        }
        RequestEnd::Answered { right: true } => {
            let first = open.first_token_ms.unwrap_or(at_ms);
            let late = first > due && !excused();
            late.then(|| ("in time", format!("answered {} ms late", first - due)))
        }
        RequestEnd::Refused { verdict, reason } if *verdict == Verdict::NotRun && ran => {
            Some(("not run", format!("refused as not run ({reason}), but ran")))
        }
        RequestEnd::Refused { reason, .. } => {
            let late = at_ms > due && !excused();
            late.then(|| {
                (
                    "in time",
                    format!("refused ({reason}) {} ms late", at_ms - due),
                )
            })
        }
        RequestEnd::BrokeOff => None,
        RequestEnd::NodeLost if excused() => None,
        RequestEnd::NodeLost => Some(("never dropped", "no answer from a sound node".to_owned())),
    }
}

/// Whether `node` was impaired at some time from `from` to `to`.
fn was_impaired(history: &[Stamped], node: &str, from: u64, to: u64) -> bool {
    let mut impaired = false;
    for Stamped { at_ms, event } in history {
        if *at_ms > to {
            break;
        }
        match event {
            Event::NodeImpaired { node: other } if other == node => impaired = true,
            Event::NodeRestored { node: other } if other == node && *at_ms < from => {
                impaired = false;
            }
            _ => {}
        }
    }
    impaired
}
