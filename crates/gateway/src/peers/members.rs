//! The member nodes, and the choice of those that relay messages.
//!
//! Up to [`MESH_NODES`] nodes send their messages to all others. Beyond that, each
//! sends to one *relay* of its zone, so that the traffic of a node does not grow with
//! the square of the number of nodes. The choice is a pure function of the members,
//! which all nodes learn from the store.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use barleyspar_catalog::NodeSettings;
use barleyspar_domain::{by_rendezvous_weight, rendezvous_weight};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::peers::times::MEMBER_TIMEOUT;

/// Maximum number of nodes that send messages directly to all others. At this size a
/// node sends 100 datagrams a second at the shortest interval; beyond it, relays cost
/// less.
pub const MESH_NODES: usize = 40;

/// A node's entry in the store, and what it states about itself in load messages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The address on which the node receives messages and accepts followers.
    pub address: SocketAddr,
    /// Speed of the node's link in megabits per second.
    pub capacity: u32,
    /// Name of the zone in which the node runs, from its settings. Nodes prefer a relay
    /// of their own zone.
    pub zone: Arc<str>,
}

impl MemberRecord {
    /// The record of the node that has these settings.
    pub fn of(settings: &NodeSettings) -> Self {
        Self {
            address: settings.peer_address,
            capacity: settings.limits.link_megabits,
            zone: settings.zone.clone(),
        }
    }
}

/// Sort key among a zone's nodes: faster links first, then by a hash of the name.
type RankKey<'a> = (Reverse<u32>, u64, &'a Arc<str>);

/// Short key of a node in messages: a hash of its name.
pub type NodeKey = u32;

/// Returns the hash by which messages name the node `name`.
pub fn node_key(name: &str) -> NodeKey {
    rendezvous_weight("node", name) as NodeKey
}

/// What this node knows of another member.
#[derive(Debug, Clone)]
pub struct Member {
    /// The member's own statement of its address, link and zone.
    pub record: MemberRecord,
    /// Whether the store has an entry of the member.
    pub in_store: bool,
    /// When a message from the member, or its entry, was last received, directly or
    /// through a relay.
    pub last_seen: Instant,
}

/// All nodes but this one that have an entry in the store or were seen within
/// [`MEMBER_TIMEOUT`].
#[derive(Debug, Default)]
pub struct Members {
    members: BTreeMap<Arc<str>, Member>,
    by_key: BTreeMap<NodeKey, Arc<str>>,
    /// Number of changes: members added, removed or with a new record.
    changes: u64,
    /// The relays, with the value of `changes` from which they were computed.
    relays: Option<(u64, Arc<[Arc<str>]>)>,
}

impl Members {
    /// Records that `name` was seen now, with its record; `in_store` if its entry in
    /// the store was read. Returns whether the member is new.
    pub fn record_seen(&mut self, name: Arc<str>, record: MemberRecord, in_store: bool) -> bool {
        let now = Instant::now();
        if let Some(member) = self.members.get_mut(&name) {
            if member.record != record {
                member.record = record;
                self.changes += 1;
            }
            member.last_seen = now;
            member.in_store |= in_store;
            return false;
        }
        self.changes += 1;
        self.by_key.insert(node_key(&name), name.clone());
        let member = Member {
            record,
            in_store,
            last_seen: now,
        };
        self.members.insert(name, member);
        true
    }

    /// Records that `name` was seen at `at`, directly or through a relay. Returns its
    /// record if it is a member.
    pub fn mark_seen(&mut self, name: &str, at: Instant) -> Option<&MemberRecord> {
        let member = self.members.get_mut(name)?;
        member.last_seen = member.last_seen.max(at);
        Some(&member.record)
    }

    /// Records that the store has no entry of `name` any more; the member stays until
    /// it times out.
    pub fn mark_removed(&mut self, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.in_store = false;
        }
    }

    /// Records that only `names` have an entry in the store.
    pub fn retain_in_store(&mut self, names: &[Arc<str>]) {
        for (name, member) in &mut self.members {
            member.in_store &= names.contains(name);
        }
    }

    /// Drops members without an entry in the store that were not seen for
    /// [`MEMBER_TIMEOUT`].
    pub fn drop_unresponsive(&mut self) {
        let by_key = &mut self.by_key;
        let changes = &mut self.changes;
        self.members.retain(|name, member| {
            let is_kept = member.in_store || member.last_seen.elapsed() < MEMBER_TIMEOUT;
            if !is_kept {
                *changes += 1;
                by_key.remove(&node_key(name));
            }
            is_kept
        });
    }

    /// Number of changes to the members. A value computed from the members is valid
    /// while this number stays the same.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Names of all members, which are the nodes other than this one.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.members.keys()
    }

    /// Number of members; this node is not counted.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are so many nodes that messages go through relays.
    pub fn is_relayed(&self) -> bool {
        self.members.len() + 1 > MESH_NODES
    }

    /// Returns the member with this name; `None` also for this node.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Returns the member whose [`node_key`] is `key`, with its name.
    pub fn by_key(&self, key: NodeKey) -> Option<(&Arc<str>, &Member)> {
        let name = self.by_key.get(&key)?;
        self.members.get_key_value(name)
    }

    /// Returns the relays of all zones: in total about the square root of the number of
    /// nodes, shared among the zones by size, and in each zone the nodes with the
    /// fastest links first. `own` is this node, which may be one of them. Called
    /// several times a second but computed only after a change: ranking 985 members
    /// takes 0.1 ms.
    pub fn relays(&mut self, own: (&Arc<str>, &MemberRecord)) -> Arc<[Arc<str>]> {
        if let Some((changes, relays)) = &self.relays
            && *changes == self.changes
        {
            return relays.clone();
        }
        let relays: Arc<[Arc<str>]> = self.rank_relays(own).into();
        self.relays = Some((self.changes, relays.clone()));
        relays
    }

    fn rank_relays(&self, own: (&Arc<str>, &MemberRecord)) -> Vec<Arc<str>> {
        let nodes = self.members.len() + 1;
        let mut zones: BTreeMap<&str, Vec<RankKey<'_>>> = BTreeMap::new();
        let others = self
            .members
            .iter()
            .map(|(name, member)| (name, &member.record));
        for (name, record) in others.chain([own]) {
            let rank_key = (
                std::cmp::Reverse(record.capacity),
                rendezvous_weight("relay", name),
                name,
            );
            zones.entry(&record.zone).or_default().push(rank_key);
        }
        let mut relays = Vec::new();
        for mut zone in zones.into_values() {
            let share = zone.len() as f64 / (nodes as f64).sqrt();
            let count = (share.ceil() as usize).clamp(1, zone.len());
            zone.sort();
            relays.extend(zone[..count].iter().map(|(_, _, name)| (*name).clone()));
        }
        relays
    }

    /// Returns the relay to which the node `own` sends its load, without those that
    /// `is_avoided` rejects. Relays of its own zone are preferred. Rendezvous hashing
    /// spreads the nodes over the relays and keeps a node's choice in most cases when
    /// another relay comes or goes.
    pub fn choose_relay(
        &mut self,
        own: (&Arc<str>, &MemberRecord),
        is_avoided: impl Fn(&str) -> bool,
    ) -> Option<Arc<str>> {
        let is_usable = |name: &&Arc<str>| **name != *own.0 && !is_avoided(name);
        let relays = self.relays(own);
        let relays: Vec<Arc<str>> = relays.iter().filter(is_usable).cloned().collect();
        let zone_of = |name: &Arc<str>| self.members.get(name).map(|member| &*member.record.zone);
        let (same_zone, other_zones): (Vec<Arc<str>>, Vec<Arc<str>>) = relays
            .into_iter()
            .partition(|name| zone_of(name) == Some(&*own.1.zone));
        let candidates = if same_zone.is_empty() {
            other_zones
        } else {
            same_zone
        };
        by_rendezvous_weight(own.0, candidates).into_iter().next()
    }
}

#[cfg(test)]
#[path = "members_tests.rs"]
mod tests;
