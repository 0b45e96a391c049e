//! Limits the requests that a cold runner gets from all nodes together.
//!
//! A runner that has just started can take a few requests a second and fails well above
//! that rate, whichever nodes send them. So that no node has to ask the others before
//! each request, every cold runner has a few *callers* among the nodes, found by
//! rendezvous hashing over the list of members that all nodes share, and each caller
//! leaves an interval between two requests. Nodes with different views of the members
//! choose different callers; [`MEMBERSHIP_VIEWS`] leaves room for that.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{ColdBounds, ColdSpec};
use barleyspar_domain::rendezvous_weight;

/// Number of groups of nodes that may each take themselves for the whole cluster: the two
/// sides of a network partition.
const MEMBERSHIP_VIEWS: f64 = 2.0;
/// Interval between two requests of one caller: the one-second window in which requests
/// to a cold runner are counted, and a third more. Two requests that are so far apart do
/// not arrive within one window, though their network delays differ by some milliseconds.
const CALLER_INTERVAL: Duration = Duration::from_millis(1350);

/// Returns the time that node `own` leaves between two requests to the cold runner `id`;
/// `None` if the node is not one of the runner's callers. `members` lists all nodes,
/// `own` included.
pub fn request_interval(
    id: &str,
    own: &str,
    members: &[Arc<str>],
    spec: &ColdSpec,
    bounds: &ColdBounds,
) -> Option<Duration> {
    let allowed_per_second = spec.per_second * bounds.overage + bounds.tolerance;
    let callers = (allowed_per_second / MEMBERSHIP_VIEWS).floor().max(1.0);
    let own_rank = rendezvous_weight(&id, own);
    let members_before_own = members
        .iter()
        .filter(|member| ***member != *own && rendezvous_weight(&id, member) > own_rank)
        .count();
    let node_count = members.len().max(1);
    let actual_callers = callers.min(node_count as f64);
    ((members_before_own as f64) < callers)
        .then(|| CALLER_INTERVAL.mul_f64(actual_callers / callers))
}

#[cfg(test)]
#[path = "cold_pacing_tests.rs"]
mod tests;
