use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{ColdBounds, ColdSpec};

use super::request_interval;

const SPEC: ColdSpec = ColdSpec {
    time: Duration::from_secs(3),
    per_second: 11.0,
};
const BOUNDS: ColdBounds = ColdBounds {
    overage: 1.5,
    tolerance: 5.0,
};
/// Requests that a cold runner may get in any second: `per_second * overage + tolerance`.
const ALLOWED: f64 = 21.5;

fn nodes(count: usize) -> Vec<Arc<str>> {
    (0..count)
        .map(|number| format!("node-{number}").into())
        .collect()
}

/// The most requests that arrive within one second if each of `senders` sees `members`.
fn most_requests_in_a_second(senders: &[Arc<str>], members: &[Arc<str>]) -> f64 {
    // The window of a second, and 50 ms by which network delays may differ.
    let most_requests = |interval: Duration| 1.0 + (1.05 / interval.as_secs_f64()).floor();
    let interval_of = |own: &Arc<str>| request_interval("runner", own, members, &SPEC, &BOUNDS);
    senders
        .iter()
        .filter_map(interval_of)
        .map(most_requests)
        .sum()
}

#[test]
fn the_limit_holds_for_any_number_of_nodes() {
    for count in [1, 2, 6, 69, 300, 985] {
        let nodes = nodes(count);
        let most_requests = most_requests_in_a_second(&nodes, &nodes);
        assert!(most_requests <= ALLOWED, "{count} nodes: {most_requests}");
        assert!(
            most_requests >= 1.0,
            "{count} nodes send the runner nothing"
        );
    }
}

/// Each side of a network partition takes itself for the whole cluster.
#[test]
fn the_limit_holds_across_a_network_partition() {
    for count in [6, 300] {
        let nodes = nodes(count);
        for size in [1, count / 3, count / 2] {
            let (one_side, other_side) = nodes.split_at(size);
            let most_requests = most_requests_in_a_second(one_side, one_side)
                + most_requests_in_a_second(other_side, other_side);
            assert!(
                most_requests <= ALLOWED,
                "{size} of {count} nodes: {most_requests}"
            );
        }
    }
}

#[test]
fn different_runners_have_different_senders() {
    let nodes = nodes(300);
    let senders = |id: &str| -> Vec<&Arc<str>> {
        let is_sender =
            |own: &&Arc<str>| request_interval(id, own, &nodes, &SPEC, &BOUNDS).is_some();
        nodes.iter().filter(is_sender).collect()
    };
    assert_ne!(senders("runner-1"), senders("runner-2"));
}
