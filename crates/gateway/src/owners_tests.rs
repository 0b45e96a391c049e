use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::{KEEPERS, Node, Owners};
use crate::peers::SeenPeer;

const PEER_TIMEOUT: Duration = Duration::from_millis(1600);
const CAPACITY: u32 = 10;
const NODES: usize = 60;

fn name(number: usize) -> Arc<str> {
    format!("node-{number}").into()
}

fn zone(number: usize) -> Arc<str> {
    format!("zone-{}", number % 4).into()
}

/// Returns the peers of `group` as `node` sees them, with messages received `age` ago.
fn peers_seen_by(node: usize, group: &[usize], age: Duration) -> HashMap<Arc<str>, SeenPeer> {
    let others = group.iter().filter(|other| **other != node);
    let seen_peer = |other: &usize| {
        let peer = SeenPeer {
            last_seen: Instant::now() - age,
            has_sent_message: true,
            address: "10.0.0.1:1".parse().expect("it is an address"),
            capacity: if other.is_multiple_of(10) {
                10 * CAPACITY
            } else {
                CAPACITY
            },
            zone: zone(*other),
        };
        (name(*other), peer)
    };
    others.map(seen_peer).collect()
}

fn owners(node: usize, group: &[usize], age: Duration) -> Owners {
    let capacity = if node.is_multiple_of(10) {
        10 * CAPACITY
    } else {
        CAPACITY
    };
    let mut owners = Owners::of_node(Node {
        name: name(node),
        capacity,
        zone: zone(node),
    });
    owners.refresh(
        &peers_seen_by(node, group, age),
        NODES,
        PEER_TIMEOUT,
        Instant::now(),
    );
    owners
}

#[tokio::test(start_paused = true)]
async fn all_nodes_pick_the_same_owner_among_the_fast_machines() {
    let all: Vec<usize> = (0..NODES).collect();
    for tenant in 0..40 {
        let tenant: Arc<str> = format!("tenant-{tenant}").into();
        let picked = owners(0, &all, Duration::ZERO).owner_of(&tenant);
        for node in 1..NODES {
            assert_eq!(owners(node, &all, Duration::ZERO).owner_of(&tenant), picked);
        }
        let number: usize = picked["node-".len()..].parse().expect("it is a node");
        assert!(number.is_multiple_of(10), "{picked} is a slow machine");
    }
}

#[tokio::test(start_paused = true)]
async fn an_unresponsive_node_is_not_chosen_as_owner() {
    tokio::time::advance(2 * PEER_TIMEOUT).await;
    let tenant: Arc<str> = "tenant".into();
    let mut alone = owners(1, &[0, 1, 10, 20], PEER_TIMEOUT);
    assert!(alone.is_owner(&tenant));
    assert_eq!(alone.visible_nodes().visible, 1);
}

/// Guards against limits owned by a node that is gone: after a machine was replaced, its
/// entry stayed in the store, and its replacement chose it as an owner.
#[tokio::test(start_paused = true)]
async fn a_node_known_only_from_the_store_soon_stops_being_an_owner() {
    tokio::time::advance(PEER_TIMEOUT).await;
    let tenant: Arc<str> = "tenant".into();
    let mut peers = peers_seen_by(1, &[0], PEER_TIMEOUT / 2);
    for peer in peers.values_mut() {
        peer.has_sent_message = false;
    }
    let mut owners = Owners::of_node(Node {
        name: name(1),
        capacity: CAPACITY,
        zone: zone(1),
    });
    owners.refresh(&peers, NODES, PEER_TIMEOUT, Instant::now());
    assert!(owners.is_owner(&tenant));
}

#[tokio::test(start_paused = true)]
async fn all_nodes_pick_the_same_keepers_in_different_zones() {
    let all: Vec<usize> = (0..NODES).collect();
    for key in 0..40_u64 {
        let keepers = owners(0, &all, Duration::ZERO).keepers_of(&key);
        let zone_of = |keeper: &Arc<str>| {
            let number = (0..NODES).find(|number| name(*number) == *keeper);
            zone(number.expect("keepers are nodes"))
        };
        let zones: HashSet<Arc<str>> = keepers.iter().map(zone_of).collect();
        assert_eq!((keepers.len(), zones.len()), (KEEPERS, KEEPERS));
        for node in 1..NODES {
            let picked = owners(node, &all, Duration::ZERO).keepers_of(&key);
            assert_eq!(picked, keepers, "node {node}, key {key}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_keeper_that_is_gone_leaves_the_other_keepers() {
    let all: Vec<usize> = (0..NODES).collect();
    for key in 0..40_u64 {
        let before = owners(0, &all, Duration::ZERO).keepers_of(&key);
        let gone = (0..NODES).find(|number| name(*number) == before[0]);
        let left: Vec<usize> = all
            .iter()
            .copied()
            .filter(|node| Some(*node) != gone)
            .collect();
        let after = owners(left[0], &left, Duration::ZERO).keepers_of(&key);
        let kept = before.iter().filter(|keeper| after.contains(keeper));
        assert_eq!(kept.count(), KEEPERS - 1, "key {key}");
    }
}
