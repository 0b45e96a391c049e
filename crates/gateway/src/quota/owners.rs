//! Which node is a limit's owner: a pure function of the nodes that are heard.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_callers::Share;
use barleyspar_catalog::NodeSettings;
use barleyspar_domain::rank;
use tokio::time::Instant;

use crate::peers::Heard;

/// Time for which one look at the nodes that are heard is used: an owner is asked
/// for each request, and who is heard changes with messages 0.25 s apart.
const LOOK_AGAIN: Duration = Duration::from_millis(100);

/// Time for which a node counts as heard that only stands in the store: two
/// messages' time. Entries outlast their nodes by seconds, and a node that is gone
/// answers nobody as an owner.
const NEWCOMER_SILENCE: Duration = Duration::from_millis(500);

/// Owners that are kept; beyond that they are picked anew.
const MOST_KEPT: usize = 10_000;

/// The nodes that are heard, this one included, and the owners among them.
#[derive(Debug)]
pub struct Owners {
    own: (Arc<str>, u32),
    nodes: Vec<(Arc<str>, u32)>,
    all: usize,
    looked_at: Option<Instant>,
    owners: HashMap<Arc<str>, Arc<str>>,
}

impl Owners {
    /// Owners as the node with these settings sees them.
    pub fn new(settings: &NodeSettings) -> Self {
        Self::of_node(settings.name.clone(), settings.limits.link_megabits)
    }

    /// Owners as the node `name` sees them, whose link has `capacity` megabits a
    /// second.
    fn of_node(name: Arc<str>, capacity: u32) -> Self {
        Self {
            own: (name, capacity),
            nodes: Vec::new(),
            all: 1,
            looked_at: None,
            owners: HashMap::new(),
        }
    }

    /// Whether a look at the nodes is due.
    pub fn is_due(&self, now: Instant) -> bool {
        self.looked_at
            .is_none_or(|at| now.saturating_duration_since(at) >= LOOK_AGAIN)
    }

    /// Looks who of `all` nodes is heard, that is not silent for `silence`.
    pub fn look(
        &mut self,
        heard: &HashMap<Arc<str>, Heard>,
        all: usize,
        silence: Duration,
        now: Instant,
    ) {
        self.looked_at = Some(now);
        self.all = all;
        let is_heard = |peer: &Heard| {
            let believed_for = if peer.told { silence } else { NEWCOMER_SILENCE };
            now.saturating_duration_since(peer.at) < believed_for
        };
        let mut nodes: Vec<(Arc<str>, u32)> = heard
            .iter()
            .filter(|(_, peer)| is_heard(peer))
            .map(|(name, peer)| (name.clone(), peer.capacity))
            .chain([self.own.clone()])
            .collect();
        nodes.sort();
        if nodes != self.nodes {
            self.nodes = nodes;
            self.owners.clear();
        }
    }

    /// The part of all nodes that is heard.
    pub fn share(&self) -> Share {
        Share {
            heard: self.nodes.len(),
            nodes: self.all,
        }
    }

    /// The owner of the limit of this name: of the machines with the fastest link, which
    /// have more of everything as a rule, the one that the name picks.
    pub fn of(&mut self, limit: &Arc<str>) -> Arc<str> {
        if let Some(owner) = self.owners.get(limit) {
            return owner.clone();
        }
        let weight = |(name, capacity): &&(Arc<str>, u32)| (*capacity, rank(&**limit, &**name));
        let best = self.nodes.iter().max_by_key(weight);
        let owner = best.map_or(&self.own.0, |(name, _)| name).clone();
        if self.owners.len() >= MOST_KEPT {
            self.owners.clear();
        }
        self.owners.insert(limit.clone(), owner.clone());
        owner
    }

    /// Whether this node is the owner of the limit of this name.
    pub fn is_own(&mut self, limit: &Arc<str>) -> bool {
        self.of(limit) == self.own.0
    }
}

#[cfg(test)]
#[path = "owners_tests.rs"]
mod tests;
