use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use tokio::time::Instant;

use super::{MESH_NODES, MemberRecord, Members};
use crate::peers::times::MEMBER_TIMEOUT;

const NODES: u16 = 300;
const ZONES: u16 = 5;

fn name(number: u16) -> Arc<str> {
    format!("node-{number}").into()
}

/// One node in twenty has a faster link.
fn record(number: u16) -> MemberRecord {
    let [high, low] = number.to_be_bytes();
    MemberRecord {
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, high, low)), 1),
        capacity: if number.is_multiple_of(20) { 200 } else { 20 },
        zone: format!("zone-{}", number % ZONES).into(),
    }
}

/// The members as node `own` knows them.
fn members(own: u16, nodes: u16) -> Members {
    let mut members = Members::default();
    for number in (0..nodes).filter(|number| *number != own) {
        members.record_seen(name(number), record(number), true);
    }
    members
}

fn relays(own: u16) -> Vec<Arc<str>> {
    let relays = members(own, NODES).relays((&name(own), &record(own)));
    relays.to_vec()
}

#[tokio::test(start_paused = true)]
async fn all_nodes_agree_on_few_relays_in_every_zone() {
    let expected: BTreeSet<Arc<str>> = relays(0).into_iter().collect();
    assert!((17..=25).contains(&expected.len()), "{}", expected.len());
    for own in 1..NODES {
        let known: BTreeSet<Arc<str>> = relays(own).into_iter().collect();
        assert_eq!(known, expected, "as node {own} knows them");
    }
    let zones: BTreeSet<Arc<str>> = (0..NODES)
        .filter(|number| expected.contains(&name(*number)))
        .map(|number| record(number).zone)
        .collect();
    assert_eq!(zones.len(), usize::from(ZONES));
}

#[tokio::test(start_paused = true)]
async fn nodes_spread_evenly_over_the_relays_of_their_zone() {
    let relays: BTreeSet<Arc<str>> = relays(0).into_iter().collect();
    let mut nodes_of: BTreeMap<Arc<str>, u32> = BTreeMap::new();
    for own in (0..NODES).filter(|number| !relays.contains(&name(*number))) {
        let own_record = record(own);
        let mut members = members(own, NODES);
        let chosen = members
            .choose_relay((&name(own), &own_record), |_| false)
            .expect("there are relays");
        assert_eq!(members.get(&chosen).unwrap().record.zone, own_record.zone);
        *nodes_of.entry(chosen).or_default() += 1;
    }
    assert!(nodes_of.values().all(|nodes| *nodes <= 30), "{nodes_of:?}");
}

#[tokio::test(start_paused = true)]
async fn a_node_whose_relays_are_all_unresponsive_uses_one_of_another_zone() {
    let own = 7;
    let mut members = members(own, NODES);
    let near: BTreeSet<Arc<str>> = (0..NODES)
        .filter(|number| record(*number).zone == record(own).zone)
        .map(name)
        .collect();
    let is_unresponsive = |name: &str| near.contains(name);
    let chosen = members
        .choose_relay((&name(own), &record(own)), is_unresponsive)
        .unwrap();
    assert_ne!(members.get(&chosen).unwrap().record.zone, record(own).zone);
}

#[tokio::test(start_paused = true)]
async fn few_nodes_need_no_relay() {
    let most = MESH_NODES as u16;
    assert!(!members(0, most).is_relayed());
    assert!(members(0, most + 1).is_relayed());
}

/// Budgets that all nodes share are divided by their number: while the store is
/// unreachable and entries expire, each node's share must not grow.
#[tokio::test(start_paused = true)]
async fn a_member_whose_entry_expired_counts_while_it_is_seen() {
    let mut members = members(0, 50);
    tokio::time::advance(MEMBER_TIMEOUT * 2).await;
    members.retain_in_store(&[]);
    for number in 1..45 {
        members.mark_seen(&name(number), Instant::now());
    }
    members.drop_unresponsive();
    assert_eq!(members.len(), 44);
}

/// The relays are cached between two calls, so each change of the members must
/// invalidate them.
#[tokio::test(start_paused = true)]
async fn the_next_call_for_relays_follows_a_removed_or_added_member() {
    let own = 0;
    let mut members = members(own, NODES);
    let own_node = (name(own), record(own));
    let before = members.relays((&own_node.0, &own_node.1));
    let gone = before
        .iter()
        .find(|relay| **relay != own_node.0)
        .unwrap()
        .clone();
    let number = (0..NODES).find(|number| name(*number) == gone).unwrap();
    members.mark_removed(&gone);
    tokio::time::advance(MEMBER_TIMEOUT * 2).await;
    members.drop_unresponsive();
    let without = members.relays((&own_node.0, &own_node.1));
    assert!(!without.contains(&gone));
    members.record_seen(gone.clone(), record(number), true);
    assert_eq!(members.relays((&own_node.0, &own_node.1)), before);
}
