//! The nodes that stand in the store, and which of them relay messages.
//!
//! Up to [`MESH_NODES`] nodes tell everybody everything themselves. More than
//! that tell one *relay* of their zone, so that what a node sends and receives
//! does not grow with the square of the nodes. Pure functions of the members,
//! which all nodes learn from the store.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use barleyspar_catalog::NodeSettings;
use barleyspar_domain::{rank, ranked};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::peers::times::COUNTED_FOR;

/// Nodes up to which everybody tells everybody. At this size a node sends 100
/// datagrams a second at the shortest interval; beyond it, relays cost less.
pub const MESH_NODES: usize = 40;

/// What a node tells of itself in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Where it takes messages and followers.
    pub address: SocketAddr,
    /// Megabits a second of its link.
    pub capacity: u32,
    /// Its zone.
    pub zone: Arc<str>,
}

impl MemberRecord {
    /// The record of the node with these settings.
    pub fn of(settings: &NodeSettings) -> Self {
        Self {
            address: settings.peer_address,
            capacity: settings.limits.link_megabits,
            zone: settings.zone.clone(),
        }
    }
}

/// Place among a zone's nodes: faster links first, then by a hash.
type Place<'a> = (Reverse<u32>, u64, &'a Arc<str>);

/// Key of a node in messages.
pub type NodeKey = u32;

/// The key of the node with this name.
pub fn node_key(name: &str) -> NodeKey {
    rank("node", name) as NodeKey
}

/// A member as this node knows it.
#[derive(Debug, Clone)]
pub struct Member {
    /// What it told of itself.
    pub record: MemberRecord,
    /// Whether it stands in the store.
    pub stored: bool,
    /// When there was a sign of it last.
    pub seen: Instant,
}

/// All other nodes.
#[derive(Debug, Default)]
pub struct Members {
    members: BTreeMap<Arc<str>, Member>,
    by_key: BTreeMap<NodeKey, Arc<str>>,
    /// Times that a member came, went or told something new of itself.
    changes: u64,
    /// The relays, as worked out after so many changes.
    relays: Option<(u64, Arc<[Arc<str>]>)>,
}

impl Members {
    /// Takes in a sign of `name`; whether it was unknown.
    pub fn saw(&mut self, name: Arc<str>, record: MemberRecord, stored: bool) -> bool {
        let now = Instant::now();
        if let Some(member) = self.members.get_mut(&name) {
            if member.record != record {
                member.record = record;
                self.changes += 1;
            }
            member.seen = now;
            member.stored |= stored;
            return false;
        }
        self.changes += 1;
        self.by_key.insert(node_key(&name), name.clone());
        let member = Member {
            record,
            stored,
            seen: now,
        };
        self.members.insert(name, member);
        true
    }

    /// There was a sign of `name` at `at`, over a relay; its record, if it is a
    /// member.
    pub fn heard(&mut self, name: &str, at: Instant) -> Option<&MemberRecord> {
        let member = self.members.get_mut(name)?;
        member.seen = member.seen.max(at);
        Some(&member.record)
    }

    /// The member no longer stands in the store.
    pub fn left(&mut self, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.stored = false;
        }
    }

    /// Only `names` stand in the store.
    pub fn retain_stored(&mut self, names: &[Arc<str>]) {
        for (name, member) in &mut self.members {
            member.stored &= names.contains(name);
        }
    }

    /// Forgets members that do not stand in the store and gave no sign lately.
    pub fn forget_silent(&mut self) {
        let by_key = &mut self.by_key;
        let changes = &mut self.changes;
        self.members.retain(|name, member| {
            let kept = member.stored || member.seen.elapsed() < COUNTED_FOR;
            if !kept {
                *changes += 1;
                by_key.remove(&node_key(name));
            }
            kept
        });
    }

    /// Times that a member came, went or told something new of itself: all that is
    /// worked out from the members is the same as long as this is.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Names of the other nodes.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.members.keys()
    }

    /// Other nodes.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether messages go over relays.
    pub fn is_relayed(&self) -> bool {
        self.members.len() + 1 > MESH_NODES
    }

    /// The member with this name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// The member with this key.
    pub fn by_key(&self, key: NodeKey) -> Option<(&Arc<str>, &Member)> {
        let name = self.by_key.get(&key)?;
        self.members.get_key_value(name)
    }

    /// The relays of all zones, as long as all of them live: the square root of
    /// the nodes in all, each zone by its part, those with faster links first.
    /// `own` is this node, which may be one. Asked for several times a second and
    /// worked out only after a change: ranking 985 members takes 0.1 ms.
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
        let mut zones: BTreeMap<&str, Vec<Place<'_>>> = BTreeMap::new();
        let others = self
            .members
            .iter()
            .map(|(name, member)| (name, &member.record));
        for (name, record) in others.chain([own]) {
            let place = (
                std::cmp::Reverse(record.capacity),
                rank("relay", name),
                name,
            );
            zones.entry(&record.zone).or_default().push(place);
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

    /// Whom the node `own` tells: relays of its zone before others, the same
    /// node for as long as it lives; the first that `avoided` does not name.
    pub fn relay_of(
        &mut self,
        own: (&Arc<str>, &MemberRecord),
        avoided: impl Fn(&str) -> bool,
    ) -> Option<Arc<str>> {
        let usable = |name: &&Arc<str>| **name != *own.0 && !avoided(name);
        let relays = self.relays(own);
        let relays: Vec<Arc<str>> = relays.iter().filter(usable).cloned().collect();
        let zone_of = |name: &Arc<str>| self.members.get(name).map(|member| &*member.record.zone);
        let (near, far): (Vec<Arc<str>>, Vec<Arc<str>>) = relays
            .into_iter()
            .partition(|name| zone_of(name) == Some(&*own.1.zone));
        let candidates = if near.is_empty() { far } else { near };
        ranked(own.0, candidates).into_iter().next()
    }
}

#[cfg(test)]
#[path = "members_tests.rs"]
mod tests;
