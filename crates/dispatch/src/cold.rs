//! What a cold runner gets, over all nodes together.
//!
//! A runner that has just started bears a few requests a second and falls over well
//! above that, whoever sends them. So that no node has to ask the others before each
//! request, every cold runner has a few *callers* among the nodes, found by
//! rendezvous hashing from the list of members that all nodes share, and each caller
//! keeps a pause between two requests. Nodes that know of different members choose
//! different callers; [`BELIEFS`] leaves room for that.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{ColdBounds, ColdSpec};
use barleyspar_domain::rank;

/// Groups of nodes that may each think that they are all there is: two sides of a
/// cut network.
const BELIEFS: f64 = 2.0;
/// The window in which requests to a cold runner are counted, and a third more: two
/// requests of a caller that are so far apart do not fall into one window, though
/// their ways there differ by some milliseconds.
const PACE: Duration = Duration::from_millis(1350);

/// Time that the node `own` leaves between two requests to the cold runner `id`;
/// `None` if it is not one of its callers. `members` are all nodes, `own` too.
pub fn pause(
    id: &str,
    own: &str,
    members: &[Arc<str>],
    spec: &ColdSpec,
    bounds: &ColdBounds,
) -> Option<Duration> {
    let allowed = spec.per_second * bounds.overage + bounds.tolerance;
    let callers = (allowed / BELIEFS).floor().max(1.0);
    let own_rank = rank(&id, own);
    let before_own = members
        .iter()
        .filter(|member| ***member != *own && rank(&id, member) > own_rank)
        .count();
    let others_and_own = members.len().max(1);
    let chosen = callers.min(others_and_own as f64);
    ((before_own as f64) < callers).then(|| PACE.mul_f64(chosen / callers))
}

#[cfg(test)]
#[path = "cold_tests.rs"]
mod tests;
