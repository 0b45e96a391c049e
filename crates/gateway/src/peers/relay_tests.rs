use std::time::Duration;

use tokio::time::Instant;

use super::{LOAD_TIMEOUT, LoadSum, NodeSeen, RelayState, subtract_load};
use crate::peers::members::node_key;

#[tokio::test(start_paused = true)]
async fn a_relay_sums_up_its_nodes_and_the_other_relays() {
    let now = Instant::now();
    let mut relay = RelayState::default();
    relay.set_node_load("a".into(), vec![(1, 2), (2, 1)], now);
    relay.set_node_load("b".into(), vec![(1, 1)], now);
    let elsewhere = LoadSum {
        in_flight: vec![(1, 4), (3, 5)],
        nodes: vec![NodeSeen {
            node: node_key("c"),
            age_ms: 100,
        }],
    };
    relay.set_relay_sum("other".into(), elsewhere, now);
    assert_eq!(relay.own_sum(now).in_flight, [(1, 3), (2, 1)]);
    let later = now + Duration::from_millis(50);
    let fleet = relay.fleet_sum(later);
    assert_eq!(fleet.in_flight, [(1, 7), (2, 1), (3, 5)]);
    let age = |name: &str| {
        let key = node_key(name);
        let node = fleet.nodes.iter().find(|node| node.node == key);
        node.map(|node| node.age_ms)
    };
    assert_eq!((age("a"), age("c")), (Some(50), Some(150)));
}

#[tokio::test(start_paused = true)]
async fn an_unresponsive_node_is_counted_for_a_second_whatever_the_number_of_nodes() {
    let now = Instant::now();
    let mut relay = RelayState::default();
    for number in 0..300 {
        relay.set_node_load(format!("node-{number}").into(), vec![(1, 1)], now);
    }
    let later = now + LOAD_TIMEOUT;
    relay.set_node_load("node-7".into(), vec![(1, 1)], later);
    relay.drop_unresponsive(later);
    assert_eq!(relay.own_sum(later).in_flight, [(1, 1)]);
    assert_eq!(relay.own_sum(later).nodes.len(), 1);
}

#[test]
fn a_node_does_not_count_its_own_load_as_the_others() {
    let fleet = vec![(1, 3), (2, 1), (3, 2)];
    assert_eq!(subtract_load(fleet, &[(1, 2), (2, 1)]), [(1, 1), (3, 2)]);
}
