//! Chooses the node that owns a limit, or the prompts of a runner: a pure function of the
//! name and the responsive nodes.

use std::collections::{HashMap, HashSet};
use std::hash::Hash;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_callers::VisibleNodes;
use barleyspar_catalog::NodeSettings;
use barleyspar_domain::{by_rendezvous_weight, rendezvous_weight};
use tokio::time::Instant;

use crate::peers::{PeerHandle, SeenPeer, peer_timeout};

/// Interval at which the list of responsive nodes is refreshed. It is not refreshed for each
/// request because it changes only with messages, which arrive 0.25 s apart.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a node that is listed in the store, but has sent no message, counts as
/// responsive: long enough for two messages. A node that is gone stays listed in the store for
/// seconds, but as an owner it would answer no requests.
const UNSEEN_NODE_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of nodes that keep a copy of what one node would lose with its death.
const KEEPERS: usize = 3;

/// Maximum number of owners that are cached; the cache is cleared beyond it.
const MAXIMUM_CACHED: usize = 10_000;

/// A responsive node, as far as the choice of owners depends on it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Node {
    name: Arc<str>,
    /// Speed of the node's link in megabits per second.
    capacity: u32,
    zone: Arc<str>,
}

/// The responsive nodes, including this one, and a cache of the owners among them.
#[derive(Debug)]
pub struct Owners {
    this_node: Node,
    nodes: Vec<Node>,
    node_count: usize,
    refreshed_at: Option<Instant>,
    owners: HashMap<Arc<str>, Arc<str>>,
}

impl Owners {
    /// Creates the owner table of the node with these settings.
    pub fn new(settings: &NodeSettings) -> Self {
        Self::of_node(Node {
            name: settings.name.clone(),
            capacity: settings.limits.link_megabits,
            zone: settings.zone.clone(),
        })
    }

    fn of_node(this_node: Node) -> Self {
        Self {
            this_node,
            nodes: Vec::new(),
            node_count: 1,
            refreshed_at: None,
            owners: HashMap::new(),
        }
    }

    /// Refreshes the list of responsive nodes from those that `peers` has seen, unless that
    /// was done a moment ago. `node_count` is the number of all nodes, responsive or not.
    pub fn refresh_if_due(&mut self, peers: &PeerHandle, node_count: u32) {
        let now = Instant::now();
        let is_recent = |at| now.saturating_duration_since(at) < REFRESH_INTERVAL;
        if self.refreshed_at.is_some_and(is_recent) {
            return;
        }
        let seen_peers = peers.seen_peers();
        let timeout = peer_timeout(node_count);
        self.refresh(&seen_peers.borrow(), node_count as usize, timeout, now);
    }

    /// Refreshes the list of responsive nodes from `seen_peers`. A peer is responsive if its
    /// last message is less than `peer_timeout` old. `node_count` is the number of all
    /// nodes, responsive or not.
    fn refresh(
        &mut self,
        seen_peers: &HashMap<Arc<str>, SeenPeer>,
        node_count: usize,
        peer_timeout: Duration,
        now: Instant,
    ) {
        self.refreshed_at = Some(now);
        self.node_count = node_count;
        let is_responsive = |peer: &SeenPeer| {
            let timeout = if peer.has_sent_message {
                peer_timeout
            } else {
                UNSEEN_NODE_TIMEOUT
            };
            now.saturating_duration_since(peer.last_seen) < timeout
        };
        let mut nodes: Vec<Node> = seen_peers
            .iter()
            .filter(|(_, peer)| is_responsive(peer))
            .map(|(name, peer)| Node {
                name: name.clone(),
                capacity: peer.capacity,
                zone: peer.zone.clone(),
            })
            .chain([self.this_node.clone()])
            .collect();
        nodes.sort();
        if nodes != self.nodes {
            self.nodes = nodes;
            self.owners.clear();
        }
    }

    /// Returns the number of responsive nodes, including this one, and that of all nodes.
    pub fn visible_nodes(&self) -> VisibleNodes {
        VisibleNodes {
            visible: self.nodes.len(),
            total: self.node_count,
        }
    }

    /// Returns the owner of what is named `owned`. The nodes with the fastest link, which
    /// usually have most other resources too, share the names by rendezvous hashing.
    pub fn owner_of(&mut self, owned: &Arc<str>) -> Arc<str> {
        if let Some(owner) = self.owners.get(owned) {
            return owner.clone();
        }
        let preference = |node: &&Node| (node.capacity, rendezvous_weight(&**owned, &*node.name));
        let best = self.nodes.iter().max_by_key(preference);
        let owner = best.unwrap_or(&self.this_node).name.clone();
        if self.owners.len() >= MAXIMUM_CACHED {
            self.owners.clear();
        }
        self.owners.insert(owned.clone(), owner.clone());
        owner
    }

    /// Returns whether this node is the owner of what is named `owned`.
    pub fn is_owner(&mut self, owned: &Arc<str>) -> bool {
        self.owner_of(owned) == self.this_node.name
    }

    /// Returns the keepers of what has the key `kept`: at most [`KEEPERS`] nodes by rendezvous
    /// hashing, each of another zone as far as there are so many zones.
    pub fn keepers_of(&self, kept: &impl Hash) -> Vec<Arc<str>> {
        let names = self.nodes.iter().map(|node| (&*node.name, &*node.zone));
        let ranked = by_rendezvous_weight(kept, names);
        let mut zones = HashSet::new();
        let (first_of_zone, others): (Vec<_>, Vec<_>) = ranked
            .into_iter()
            .partition(|(_, zone)| zones.insert(*zone));
        let keepers = first_of_zone.into_iter().chain(others).take(KEEPERS);
        keepers.map(|(name, _)| name.into()).collect()
    }
}

#[cfg(test)]
#[path = "owners_tests.rs"]
mod tests;
