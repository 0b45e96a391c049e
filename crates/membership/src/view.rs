//! A consistent picture of the members for other services.

use std::collections::BTreeMap;

use barleyspar_domain::{NodeName, ZoneName, by_rendezvous_weight, rendezvous_weight};

use crate::{MemberRecord, MemberStatus};

/// All known members at one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// This node.
    pub me: MemberRecord,
    /// All members, this node among them.
    pub members: BTreeMap<NodeName, MemberRecord>,
    /// Names of the members that may be given work, by zone. Keepers are chosen
    /// for thousands of runners at every change, so this is worked out once.
    workers_by_zone: BTreeMap<ZoneName, Vec<NodeName>>,
}

/// The name with the highest weight for `key`.
fn highest<'a>(key: &str, names: impl Iterator<Item = &'a NodeName>) -> Option<&'a NodeName> {
    names.max_by_key(|name| (rendezvous_weight(key, name.as_str()), *name))
}

impl View {
    /// A view that holds only this node.
    pub fn alone(me: MemberRecord) -> Self {
        let members = BTreeMap::from([(me.name.clone(), me.clone())]);
        Self::new(me, members)
    }

    /// A view of `members`.
    pub fn new(me: MemberRecord, members: BTreeMap<NodeName, MemberRecord>) -> Self {
        let mut workers_by_zone: BTreeMap<ZoneName, Vec<NodeName>> = BTreeMap::new();
        for member in members.values().filter(|member| member.takes_work()) {
            let workers = workers_by_zone.entry(member.zone.clone()).or_default();
            workers.push(member.name.clone());
        }
        Self {
            me,
            members,
            workers_by_zone,
        }
    }

    /// Whether the same members take work in both views.
    pub fn has_same_workers(&self, other: &Self) -> bool {
        self.workers_by_zone == other.workers_by_zone
    }

    /// Whether any member of `zone` takes work.
    pub fn has_workers(&self, zone: &ZoneName) -> bool {
        self.workers_by_zone.contains_key(zone)
    }

    /// Members of `zone` thought to answer calls.
    pub fn reachable_in<'a>(
        &'a self,
        zone: &'a ZoneName,
    ) -> impl Iterator<Item = &'a MemberRecord> {
        self.members
            .values()
            .filter(move |member| &member.zone == zone && member.is_reachable())
    }

    /// Zones of all members, in order. A zone whose members are all thought dead
    /// is among them: it may only be cut off.
    pub fn zones(&self) -> Vec<ZoneName> {
        let mut zones: Vec<ZoneName> = self
            .members
            .values()
            .map(|member| member.zone.clone())
            .collect();
        zones.sort();
        zones.dedup();
        zones
    }

    /// The members of `zone` that speak to other zones.
    pub fn relays(&self, zone: &ZoneName, count: usize) -> Vec<&MemberRecord> {
        let candidates = self
            .members
            .values()
            .filter(|member| &member.zone == zone && member.status == MemberStatus::Alive)
            .map(|member| &member.name);
        let names = by_rendezvous_weight(&("relay", zone), candidates);
        let chosen = names.into_iter().take(count);
        chosen.map(|name| &self.members[name]).collect()
    }

    /// Whether this node speaks to other zones on behalf of its own.
    pub fn is_relay(&self, count: usize) -> bool {
        let relays = self.relays(&self.me.zone, count);
        relays.iter().any(|relay| relay.name == self.me.name)
    }

    /// The member that should keep what `key` names in `zone`: one of the same
    /// zone if any takes work, else one of any zone.
    pub fn keeper(&self, zone: &ZoneName, key: &str) -> Option<&MemberRecord> {
        let chosen = match self.workers_by_zone.get(zone) {
            Some(workers) => highest(key, workers.iter()),
            None => highest(key, self.workers_by_zone.values().flatten()),
        };
        chosen.map(|name| &self.members[name])
    }

    /// The member that should do a task of which there is one in the system.
    pub fn leader(&self, task: &str) -> Option<&MemberRecord> {
        let first = highest(task, self.workers_by_zone.values().flatten());
        first.map(|name| &self.members[name])
    }
}
