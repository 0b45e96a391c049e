use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{ColdBounds, ColdSpec};

use super::pause;

const SPEC: ColdSpec = ColdSpec {
    time: Duration::from_secs(3),
    per_second: 11.0,
};
const BOUNDS: ColdBounds = ColdBounds {
    overage: 1.5,
    tolerance: 5.0,
};
/// Requests that a cold runner may get in any second.
const ALLOWED: f64 = 21.5;

fn nodes(count: usize) -> Vec<Arc<str>> {
    (0..count)
        .map(|number| format!("node-{number}").into())
        .collect()
}

/// Most requests that fall into one second if each of `senders` knows `members`.
fn most_in_a_second(senders: &[Arc<str>], members: &[Arc<str>]) -> f64 {
    // The window, and what ways to the runner may differ by.
    let most = |pause: Duration| 1.0 + (1.05 / pause.as_secs_f64()).floor();
    let of = |own: &Arc<str>| pause("runner", own, members, &SPEC, &BOUNDS);
    senders.iter().filter_map(of).map(most).sum()
}

#[test]
fn all_nodes_together_keep_the_limit_however_many_they_are() {
    for count in [1, 2, 6, 69, 300, 985] {
        let nodes = nodes(count);
        let most = most_in_a_second(&nodes, &nodes);
        assert!(most <= ALLOWED, "{count} nodes: {most}");
        assert!(most >= 1.0, "{count} nodes serve nobody there");
    }
}

/// Each side of a cut network thinks that it is all there is.
#[test]
fn two_groups_that_do_not_know_of_each_other_keep_the_limit() {
    for count in [6, 300] {
        let nodes = nodes(count);
        for size in [1, count / 3, count / 2] {
            let (one, other) = nodes.split_at(size);
            let most = most_in_a_second(one, one) + most_in_a_second(other, other);
            assert!(most <= ALLOWED, "{size} of {count} nodes: {most}");
        }
    }
}

#[test]
fn different_runners_have_different_callers() {
    let nodes = nodes(300);
    let callers = |id: &str| -> Vec<&Arc<str>> {
        let calls = |own: &&Arc<str>| pause(id, own, &nodes, &SPEC, &BOUNDS).is_some();
        nodes.iter().filter(calls).collect()
    };
    assert_ne!(callers("runner-1"), callers("runner-2"));
}
