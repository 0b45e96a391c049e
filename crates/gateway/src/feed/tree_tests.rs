use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::tree::{FANOUT, OwnNode, least_recently_tried_peer, parent};
use crate::peers::SeenPeer;

const MAX_SILENCE: Duration = Duration::from_secs(2);

fn name(number: u8) -> Arc<str> {
    format!("node-{number}").into()
}

const ZONES: u8 = 5;

fn zone(number: u8) -> Arc<str> {
    format!("zone-{}", number % ZONES).into()
}

/// The first five nodes, one in each zone, have faster links.
fn capacity(number: u8) -> u32 {
    if number < 5 { 200 } else { 10 }
}

fn seen_peers(nodes: u8, except: u8) -> HashMap<Arc<str>, SeenPeer> {
    (0..nodes)
        .filter(|number| *number != except)
        .map(|number| {
            let peer = SeenPeer {
                has_sent_message: true,
                last_seen: Instant::now(),
                address: SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, number)), 1),
                capacity: capacity(number),
                zone: zone(number),
            };
            (name(number), peer)
        })
        .collect()
}

fn own_node(number: u8) -> OwnNode {
    OwnNode {
        name: name(number),
        capacity: capacity(number),
        zone: zone(number),
    }
}

fn parent_of(number: u8, nodes: u8, avoided: &[Arc<str>]) -> Option<Arc<str>> {
    let avoided = |name: &str| avoided.iter().any(|avoided| &**avoided == name);
    parent(
        &own_node(number),
        &seen_peers(nodes, number),
        MAX_SILENCE,
        avoided,
    )
    .map(|parent| parent.name)
}

#[tokio::test(start_paused = true)]
async fn one_node_follows_the_store_and_all_others_reach_it() {
    const NODES: u8 = 250;
    let parents: HashMap<Arc<str>, Option<Arc<str>>> = (0..NODES)
        .map(|number| (name(number), parent_of(number, NODES, &[])))
        .collect();
    let roots = parents.values().filter(|parent| parent.is_none()).count();
    assert_eq!(roots, 1);
    for start in parents.keys() {
        let mut steps = 0;
        let mut at = start.clone();
        while let Some(next) = &parents[&at] {
            at = next.clone();
            steps += 1;
            assert!(steps <= 3, "{start} is too far from the root");
        }
    }
    for node in parents.keys() {
        let followers = parents
            .values()
            .filter(|parent| parent.as_ref() == Some(node));
        assert!(followers.count() <= FANOUT + usize::from(ZONES));
    }
}

#[tokio::test(start_paused = true)]
async fn faster_machines_are_nearer_to_the_root() {
    let parents: Vec<Option<Arc<str>>> = (0..60).map(|number| parent_of(number, 60, &[])).collect();
    let fast: Vec<Arc<str>> = (0..5).map(name).collect();
    assert!(
        parents.iter().flatten().all(|parent| fast.contains(parent)),
        "five fast machines carry sixty"
    );
}

#[tokio::test(start_paused = true)]
async fn an_avoided_parent_is_replaced() {
    let first = parent_of(30, 60, &[]).unwrap();
    let second = parent_of(30, 60, std::slice::from_ref(&first)).unwrap();
    assert_ne!(first, second);
}

#[tokio::test(start_paused = true)]
async fn an_unresponsive_peer_is_no_parent() {
    let peers = seen_peers(2, 1);
    let own_node = OwnNode {
        name: name(1),
        capacity: 1,
        zone: zone(1),
    };
    assert!(parent(&own_node, &peers, MAX_SILENCE, |_| false).is_some());
    tokio::time::advance(MAX_SILENCE * 2).await;
    assert!(parent(&own_node, &peers, MAX_SILENCE, |_| false).is_none());
}

#[tokio::test(start_paused = true)]
async fn each_change_is_sent_to_each_zone_once() {
    let parents: Vec<(u8, Arc<str>)> = (0..250)
        .filter_map(|number| Some((number, parent_of(number, 250, &[])?)))
        .collect();
    let zones: HashMap<Arc<str>, Arc<str>> = (0..250)
        .map(|number| (name(number), zone(number)))
        .collect();
    let between = parents
        .iter()
        .filter(|(number, parent)| zones[parent] != zone(*number));
    assert_eq!(between.count(), usize::from(ZONES) - 1);
}

/// Guards against a node that cannot reach the store trying the most recently seen peer
/// again and again, and never the only peer that can reach it.
#[tokio::test(start_paused = true)]
async fn each_peer_is_tried_in_turn() {
    const NODES: u8 = 20;
    let seen_peers = seen_peers(NODES, 7);
    let mut abandoned: HashMap<Arc<str>, Instant> = HashMap::new();
    let mut tried = Vec::new();
    for _ in 1..NODES {
        let abandoned_at = |name: &str| abandoned.get(name).copied();
        let next = least_recently_tried_peer(
            &own_node(7),
            &seen_peers,
            MAX_SILENCE,
            |_| true,
            abandoned_at,
        )
        .unwrap();
        tokio::time::advance(Duration::from_millis(1)).await;
        abandoned.insert(next.name.clone(), Instant::now());
        tried.push(next.name);
    }
    tried.sort();
    tried.dedup();
    assert_eq!(tried.len(), usize::from(NODES) - 1);
}

#[tokio::test(start_paused = true)]
async fn nodes_that_cannot_reach_the_store_try_different_peers() {
    const NODES: u8 = 250;
    let mut followers: HashMap<Arc<str>, usize> = HashMap::new();
    for number in 0..NODES {
        let seen_peers = seen_peers(NODES, number);
        let first = least_recently_tried_peer(
            &own_node(number),
            &seen_peers,
            MAX_SILENCE,
            |_| true,
            |_| None,
        )
        .unwrap();
        *followers.entry(first.name).or_default() += 1;
    }
    let most = followers.values().max().copied();
    assert!(most < Some(FANOUT), "{most:?}");
}

#[tokio::test(start_paused = true)]
async fn an_unresponsive_peer_is_not_tried() {
    let seen_peers = seen_peers(5, 0);
    tokio::time::advance(MAX_SILENCE).await;
    assert_eq!(
        least_recently_tried_peer(&own_node(0), &seen_peers, MAX_SILENCE, |_| true, |_| None),
        None
    );
}

#[tokio::test(start_paused = true)]
async fn peers_that_have_missed_a_message_are_tried_last() {
    let mut peers = seen_peers(5, 0);
    tokio::time::advance(MAX_SILENCE.mul_f64(0.7)).await;
    let heard = name(4);
    peers.get_mut(&heard).unwrap().last_seen = Instant::now();
    let just_abandoned = |peer: &str| (*peer == *heard).then(Instant::now);
    let next =
        least_recently_tried_peer(&own_node(0), &peers, MAX_SILENCE, |_| true, just_abandoned);
    assert_eq!(next.unwrap().name, heard);
}
