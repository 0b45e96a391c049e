//! The table of members: merging, refuting, suspecting and spreading changes.
//!
//! Pure: time and addresses are handed in, so the service, the fault runs and
//! the tests use the same rules.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use barleyspar_domain::{NodeName, ZoneName, rendezvous_weight};
use tokio::time::Instant;

use crate::messages::ZoneHash;
use crate::{MemberRecord, MemberStatus, View};

/// A change is spread this many times per doubling of the zone's size.
const SPREAD_FACTOR: u32 = 3;

#[derive(Debug, Clone)]
struct Row {
    record: MemberRecord,
    since: Instant,
}

#[derive(Debug, Clone)]
struct Rumour {
    name: NodeName,
    left: u32,
}

/// The table of members of one node.
#[derive(Debug)]
pub struct Table {
    me: MemberRecord,
    rows: BTreeMap<NodeName, Row>,
    rumours: Vec<Rumour>,
}

impl Table {
    /// A table that holds only this node.
    pub fn new(me: MemberRecord, now: Instant) -> Self {
        let mut table = Self {
            me: me.clone(),
            rows: BTreeMap::new(),
            rumours: Vec::new(),
        };
        table.store(me, now);
        table
    }

    /// This node's own record.
    pub fn me(&self) -> &MemberRecord {
        &self.me
    }

    /// Takes in what another node says. Returns whether anything changed.
    ///
    /// Invariant: nobody but this node raises its incarnation, and this node
    /// answers every claim that it is suspect or dead with a higher one. So a
    /// live member is never dead for longer than a message takes to reach it.
    pub fn merge(&mut self, update: &MemberRecord, now: Instant) -> bool {
        if update.name == self.me.name {
            return self.refute(update, now);
        }
        let newer = self
            .rows
            .get(&update.name)
            .is_none_or(|row| update.overrides(&row.record));
        if newer {
            self.store(update.clone(), now);
        }
        newer
    }

    fn refute(&mut self, claim: &MemberRecord, now: Instant) -> bool {
        if !claim.overrides(&self.me) {
            return false;
        }
        self.me.incarnation = claim.incarnation + 1;
        self.store(self.me.clone(), now);
        true
    }

    /// Announces that this node is leaving.
    pub fn leave(&mut self, now: Instant) {
        self.me.status = MemberStatus::Leaving;
        self.me.incarnation += 1;
        self.store(self.me.clone(), now);
    }

    /// Suspects a member that did not answer. Returns whether anything changed.
    pub fn suspect(&mut self, name: &NodeName, now: Instant) -> bool {
        let Some(row) = self.rows.get(name) else {
            return false;
        };
        let suspicion = MemberRecord {
            status: MemberStatus::Suspect,
            ..row.record.clone()
        };
        name != &self.me.name && self.merge(&suspicion, now)
    }

    /// Declares dead whoever has been suspect for `suspicion_time`, and forgets
    /// whoever has been dead for `forget_after`. Returns whether anything changed.
    pub fn expire(
        &mut self,
        suspicion_time: Duration,
        forget_after: Duration,
        now: Instant,
    ) -> bool {
        let overdue: Vec<MemberRecord> = self
            .rows
            .values()
            .filter(|row| row.record.status == MemberStatus::Suspect)
            .filter(|row| now.duration_since(row.since) >= suspicion_time)
            .map(|row| MemberRecord {
                status: MemberStatus::Dead,
                ..row.record.clone()
            })
            .collect();
        for dead in &overdue {
            self.merge(dead, now);
        }
        let before = self.rows.len();
        self.rows.retain(|_, row| {
            row.record.status != MemberStatus::Dead || now.duration_since(row.since) < forget_after
        });
        !overdue.is_empty() || self.rows.len() != before
    }

    /// At most `limit` recent changes to put on a message.
    pub fn take_updates(&mut self, limit: usize) -> Vec<MemberRecord> {
        self.rumours
            .sort_by_key(|rumour| std::cmp::Reverse(rumour.left));
        let mut updates = Vec::new();
        for rumour in self.rumours.iter_mut().take(limit) {
            rumour.left -= 1;
            updates.extend(self.rows.get(&rumour.name).map(|row| row.record.clone()));
        }
        self.rumours.retain(|rumour| rumour.left > 0);
        updates
    }

    /// Hash of the whole table; equal tables have equal hashes.
    pub fn hash(&self) -> u64 {
        self.rows.values().fold(0, |sum, row| sum ^ digest(row))
    }

    /// Hashes by zone.
    pub fn zone_hashes(&self) -> Vec<ZoneHash> {
        let mut hashes: BTreeMap<&ZoneName, u64> = BTreeMap::new();
        for row in self.rows.values() {
            *hashes.entry(&row.record.zone).or_default() ^= digest(row);
        }
        let entries = hashes.into_iter();
        entries
            .map(|(zone, hash)| ZoneHash {
                zone: zone.clone(),
                hash,
            })
            .collect()
    }

    /// Records of the zones whose hashes differ from `theirs`.
    pub fn differing(&self, theirs: &[ZoneHash]) -> Vec<MemberRecord> {
        let mine = self.zone_hashes().into_iter();
        let differing = mine.filter(|hash| !theirs.contains(hash));
        let zones: Vec<ZoneName> = differing.map(|hash| hash.zone).collect();
        let rows = self.rows.values();
        rows.filter(|row| zones.contains(&row.record.zone))
            .map(|row| row.record.clone())
            .collect()
    }

    /// A picture for other services.
    pub fn view(&self) -> View {
        let rows = self.rows.iter();
        let members = rows.map(|(name, row)| (name.clone(), row.record.clone()));
        View::new(self.me.clone(), members.collect())
    }

    fn store(&mut self, record: MemberRecord, now: Instant) {
        let name = record.name.clone();
        self.rumours.retain(|rumour| rumour.name != name);
        let left = SPREAD_FACTOR * (usize::BITS - self.zone_size().leading_zeros()).max(1);
        self.rumours.push(Rumour {
            name: name.clone(),
            left,
        });
        self.rows.insert(name, Row { record, since: now });
    }

    fn zone_size(&self) -> usize {
        let rows = self.rows.values();
        rows.filter(|row| row.record.zone == self.me.zone).count()
    }
}

/// Stable hash of one row. Suspicion is left out: it is short-lived and local.
fn digest(row: &Row) -> u64 {
    struct Digest<'a>(&'a MemberRecord);
    impl Hash for Digest<'_> {
        fn hash<H: Hasher>(&self, state: &mut H) {
            let dead = self.0.status == MemberStatus::Dead;
            let leaving = self.0.status == MemberStatus::Leaving;
            (self.0.incarnation, dead, leaving).hash(state);
        }
    }
    rendezvous_weight(row.record.name.as_str(), &Digest(&row.record))
}
