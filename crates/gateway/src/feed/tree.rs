//! Who follows whom: pure functions of the peers that a node hears.
//!
//! The first node of each zone follows one of another zone, the others one of
//! their own: what changes goes to each zone once. A parent always stands before
//! its followers in one order that all nodes agree on, so nodes that hear
//! different peers still form no circle.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::NodeSettings;
use tokio::time::Instant;

use crate::peers::Heard;

/// Followers of one node in its zone; as many zones' first nodes may follow it
/// besides. Twelve frames a change are a percent of the smallest machine.
pub const FANOUT: usize = 12;

/// A node to follow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Parent {
    /// Its name.
    pub name: Arc<str>,
    /// Where it takes followers.
    pub address: SocketAddr,
}

/// This node, as it stands in the order.
#[derive(Debug, Clone)]
pub struct Myself {
    /// Its name.
    pub name: Arc<str>,
    /// Megabits a second of its link.
    pub capacity: u32,
    /// Its zone.
    pub zone: Arc<str>,
}

impl Myself {
    /// The node with these settings.
    pub fn of(settings: &NodeSettings) -> Self {
        Self {
            name: settings.name.clone(),
            capacity: settings.limits.link_megabits,
            zone: settings.zone.clone(),
        }
    }
}

/// Place in the order: machines with a faster link first, then by a hash.
type Place = (Reverse<u32>, u64);

fn place(name: &str, capacity: u32) -> Place {
    (Reverse(capacity), barleyspar_domain::rank("feed", name))
}

/// Peers heard within `silence` that stand before this node in the order.
fn peers_before<'a>(
    myself: &Myself,
    heard: &'a HashMap<Arc<str>, Heard>,
    silence: Duration,
    avoided: impl Fn(&str) -> bool,
) -> Vec<(Place, &'a Arc<str>, &'a Heard)> {
    let own = place(&myself.name, myself.capacity);
    heard
        .iter()
        .filter(|(name, peer)| peer.at.elapsed() < silence && !avoided(name))
        .map(|(name, peer)| (place(name, peer.capacity), name, peer))
        .filter(|(peer, _, _)| *peer < own)
        .collect()
}

/// How many peers heard within `silence` stand before this node: machines with
/// a faster link, which have more of everything as a rule, stand first.
pub fn position(myself: &Myself, heard: &HashMap<Arc<str>, Heard>, silence: Duration) -> usize {
    peers_before(myself, heard, silence, |_| false).len()
}

/// The peer to follow, or `None` if this node is to follow the store. Peers not
/// heard for `silence` and those that `avoided` names do not count.
pub fn parent(
    myself: &Myself,
    heard: &HashMap<Arc<str>, Heard>,
    silence: Duration,
    avoided: impl Fn(&str) -> bool,
) -> Option<Parent> {
    let before = peers_before(myself, heard, silence, avoided);
    let (near, far): (Vec<_>, Vec<_>) = before
        .into_iter()
        .partition(|(_, _, peer)| peer.zone == myself.zone);
    let mut candidates = if near.is_empty() {
        firsts_of_zones(far)
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

/// The first of each zone among `peers`.
fn firsts_of_zones<'a>(
    peers: Vec<(Place, &'a Arc<str>, &'a Heard)>,
) -> Vec<(Place, &'a Arc<str>, &'a Heard)> {
    let mut firsts: HashMap<&str, (Place, &Arc<str>, &Heard)> = HashMap::new();
    for peer in peers {
        let first = firsts.entry(&peer.2.zone).or_insert(peer);
        if peer.0 < first.0 {
            *first = peer;
        }
    }
    firsts.into_values().collect()
}

/// Any peer to follow, for a node that the store does not serve: of those heard
/// within `silence` that `usable` allows the one that knew nothing newer the
/// longest time ago (`left_at`) or never. So each has its turn, and one that was
/// left for another reason comes first. Each node has an order of its own, lest
/// all ask the same one: it takes 64 followers at most.
pub fn any_peer(
    myself: &Myself,
    heard: &HashMap<Arc<str>, Heard>,
    silence: Duration,
    usable: impl Fn(&str) -> bool,
    left_at: impl Fn(&str) -> Option<Instant>,
) -> Option<Parent> {
    heard
        .iter()
        .filter(|(name, peer)| peer.at.elapsed() < silence && usable(name))
        .min_by_key(|(name, _)| (left_at(name), barleyspar_domain::rank(&myself.name, name)))
        .map(|(name, peer)| Parent {
            name: name.clone(),
            address: peer.address,
        })
}
