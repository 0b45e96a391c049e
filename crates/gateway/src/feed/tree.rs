//! Computes the feed tree from the peers that a node has seen, with pure functions.
//!
//! The first node of each zone follows a node of another zone, the others follow one of
//! their own zone, so each change is sent to each zone once. A parent always precedes
//! its followers in an order that all nodes agree on, so nodes that see different peers
//! still form no cycle.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::NodeSettings;
use tokio::time::Instant;

use crate::peers::SeenPeer;

/// Maximum number of followers of a node in its own zone; as many first nodes of other
/// zones may follow it too. Sending twelve frames per change takes a percent of the
/// smallest machine.
pub const FANOUT: usize = 12;

/// Fraction of the time after which a peer may be gone from which on it is quiet: it has
/// missed a message then.
const QUIET_FRACTION: f64 = 0.6;

/// A peer that accepts this node as a follower.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Parent {
    /// Name of the parent, as in the list of peers.
    pub name: Arc<str>,
    /// The address on which the parent accepts followers.
    pub address: SocketAddr,
}

/// This node's attributes that determine its position in the order of all nodes.
#[derive(Debug, Clone)]
pub struct OwnNode {
    /// This node's name; its hash decides among nodes with equally fast links.
    pub name: Arc<str>,
    /// Speed of this node's link in megabits per second.
    pub capacity: u32,
    /// Name of the zone in which this node runs. Its parent in the feed tree is of the
    /// same zone if a seen node of that zone precedes this one.
    pub zone: Arc<str>,
}

impl OwnNode {
    /// The attributes from this node's settings.
    pub fn of(settings: &NodeSettings) -> Self {
        Self {
            name: settings.name.clone(),
            capacity: settings.limits.link_megabits,
            zone: settings.zone.clone(),
        }
    }
}

/// Sort key of a node: faster links first, then by a hash of the name.
type OrderKey = (Reverse<u32>, u64);

fn order_key(name: &str, capacity: u32) -> OrderKey {
    (
        Reverse(capacity),
        barleyspar_domain::rendezvous_weight("feed", name),
    )
}

/// Returns the peers seen within `max_silence` that precede this node in the order,
/// without those that `is_avoided` rejects.
fn preceding_peers<'a>(
    own_node: &OwnNode,
    peers: &'a HashMap<Arc<str>, SeenPeer>,
    max_silence: Duration,
    is_avoided: impl Fn(&str) -> bool,
) -> Vec<(OrderKey, &'a Arc<str>, &'a SeenPeer)> {
    let own_key = order_key(&own_node.name, own_node.capacity);
    peers
        .iter()
        .filter(|(name, peer)| peer.last_seen.elapsed() < max_silence && !is_avoided(name))
        .map(|(name, peer)| (order_key(name, peer.capacity), name, peer))
        .filter(|(peer, _, _)| *peer < own_key)
        .collect()
}

/// Returns how many of the peers seen within `max_silence` precede this node. Machines
/// with a faster link, which usually have more of the other resources too, come first.
pub fn count_preceding_peers(
    own_node: &OwnNode,
    peers: &HashMap<Arc<str>, SeenPeer>,
    max_silence: Duration,
) -> usize {
    preceding_peers(own_node, peers, max_silence, |_| false).len()
}

/// Returns the peer to follow, or `None` if this node is to watch the store. Ignores
/// peers not seen for `max_silence` and those that `is_avoided` rejects.
pub fn parent(
    own_node: &OwnNode,
    peers: &HashMap<Arc<str>, SeenPeer>,
    max_silence: Duration,
    is_avoided: impl Fn(&str) -> bool,
) -> Option<Parent> {
    let preceding = preceding_peers(own_node, peers, max_silence, is_avoided);
    let (near, far): (Vec<_>, Vec<_>) = preceding
        .into_iter()
        .partition(|(_, _, peer)| peer.zone == own_node.zone);
    let mut candidates = if near.is_empty() {
        first_of_each_zone(far)
    } else {
        near
    };
    let index = candidates.len().checked_sub(1)? / FANOUT;
    let (_, (_, name, peer), _) = candidates.select_nth_unstable_by_key(index, |entry| entry.0);
    Some(Parent {
        name: name.clone(),
        address: peer.address,
    })
}

/// Returns the peer of each zone that has the lowest [`OrderKey`] among `peers`.
fn first_of_each_zone<'a>(
    peers: Vec<(OrderKey, &'a Arc<str>, &'a SeenPeer)>,
) -> Vec<(OrderKey, &'a Arc<str>, &'a SeenPeer)> {
    let mut firsts: HashMap<&str, (OrderKey, &Arc<str>, &SeenPeer)> = HashMap::new();
    for peer in peers {
        let first = firsts.entry(&peer.2.zone).or_insert(peer);
        if peer.0 < first.0 {
            *first = peer;
        }
    }
    firsts.into_values().collect()
}

/// Returns a peer to follow for a node that cannot reach the store: of the peers seen
/// within `max_silence` that `is_usable` accepts, the one that was never abandoned or
/// was abandoned (`abandoned_at`) the longest time ago, so that each peer is tried in
/// turn. Peers not seen for most of `max_silence` come last: they may stand still, and it
/// takes long to find that out. Each node uses an order of its own, so that they do not
/// all try the same peer, which accepts at most 64 followers.
pub fn least_recently_tried_peer(
    own_node: &OwnNode,
    peers: &HashMap<Arc<str>, SeenPeer>,
    max_silence: Duration,
    is_usable: impl Fn(&str) -> bool,
    abandoned_at: impl Fn(&str) -> Option<Instant>,
) -> Option<Parent> {
    peers
        .iter()
        .filter(|(name, peer)| peer.last_seen.elapsed() < max_silence && is_usable(name))
        .min_by_key(|(name, peer)| {
            (
                peer.last_seen.elapsed() > max_silence.mul_f64(QUIET_FRACTION),
                abandoned_at(name),
                barleyspar_domain::rendezvous_weight(&own_node.name, name),
            )
        })
        .map(|(name, peer)| Parent {
            name: name.clone(),
            address: peer.address,
        })
}
