//! The content of a node's copy of the store, and the recent changes that led to it.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use barleyspar_catalog::{Event, Item, Revision};
use serde::Serialize;
use tokio::time::Instant;

use crate::feed::frame::{Packed, pack};
use crate::feed::times::FeedTimes;

/// Maximum number of batches of changes kept for followers; a follower that is further
/// behind gets the full state.
const KEPT_BATCHES: usize = 64;
/// Maximum number of changes in all batches: they take a sixth of the bytes of the full
/// state with ten thousand runners. For a follower that misses more, the full state
/// costs about as much.
const KEPT_EVENTS: usize = 2048;

/// Maximum number of steps from the node that watches the store. Each step's transfer
/// time makes the copy look a little younger than it is; without this limit, nodes that
/// follow each other in a circle would keep theirs young for ever.
const MAX_DEPTH: u32 = 6;

/// An update of the copy, from the store or a peer.
#[derive(Debug)]
pub enum Update {
    /// The full state, which replaces the copy.
    Everything(Vec<Item>),
    /// Changes, in the store's order.
    Events(Vec<Event>),
}

/// A notification from the feed to the other parts of the node.
#[derive(Debug, PartialEq)]
pub enum Change {
    /// The full state, read anew, and the store's era in which it was read.
    Everything(Vec<Item>, u32),
    /// An item of the store was written or removed.
    Event(Event),
    /// All changes before this time have been sent, as far as the sender of the latest ones
    /// knew.
    CompleteAt(Instant),
    /// All changes before this time have been sent: the store answered a call of this node that
    /// was sent then.
    ReadAt(Instant),
}

/// Consecutive changes in the store's order, as they are sent to followers.
#[derive(Debug)]
pub struct Batch {
    /// The store's revision after the last change of the batch.
    pub to: Revision,
    events: Vec<Event>,
    packed: OnceLock<Packed>,
}

impl Batch {
    /// The changes in wire format; encoded on first use, so only by nodes that have
    /// followers.
    pub fn packed(&self) -> Packed {
        self.packed.get_or_init(|| pack(&self.events)).clone()
    }
}

/// What a follower needs to become current.
#[derive(Debug)]
pub enum Missing {
    /// These batches, in order; empty if the follower is current.
    Batches(Vec<Arc<Batch>>),
    /// The full state, in wire format.
    Everything(Packed),
}

/// A stored item without its key, in as little memory as possible, since every node
/// holds all items.
#[derive(Debug)]
struct StoredItem {
    value: Box<[u8]>,
    revision: Revision,
}

impl StoredItem {
    fn of(item: &Item) -> Self {
        Self {
            value: item.value.as_ref().into(),
            revision: item.revision,
        }
    }
}

/// A borrowed [`Item`], serialized in the same format.
#[derive(Serialize)]
struct BorrowedItem<'a> {
    key: &'a str,
    #[serde(with = "serde_bytes")]
    value: &'a [u8],
    revision: Revision,
}

/// A copy of the store, complete up to a revision and as of a known time.
#[derive(Debug, Default)]
pub struct FeedState {
    items: BTreeMap<Box<str>, StoredItem>,
    /// All items in wire format, encoded when a follower first needs them; empty after
    /// a change.
    packed_items: OnceLock<Packed>,
    batches: VecDeque<Arc<Batch>>,
    /// The revision from which on the batches hold all changes.
    batches_from: Revision,
    revision: Revision,
    complete_at: Option<Instant>,
    depth: u32,
}

impl FeedState {
    /// The store's revision that the copy shows; the default revision while the copy is
    /// empty.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Whether the store has an item under `key`, as far as this copy shows; false for
    /// every key while the copy is empty.
    pub fn has_key(&self, key: &str) -> bool {
        self.items.contains_key(key)
    }

    /// The revision of the copy's item under `key`; `None` if the copy has no such item.
    #[cfg(test)]
    pub fn item_revision(&self, key: &str) -> Option<Revision> {
        self.items.get(key).map(|item| item.revision)
    }

    /// Whether the copy has been filled from the store or a peer at least once.
    pub fn has_data(&self) -> bool {
        self.revision > Revision::default()
    }

    /// Steps between this node and the node that watches the store; 0 if the store
    /// itself answered last.
    pub fn depth(&self) -> u32 {
        self.depth
    }

    /// Age of the copy: the time within which it may lack changes. `None` if it was
    /// never confirmed to be complete.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.complete_at.map(|at| now.saturating_duration_since(at))
    }

    /// Whether the copy is too old at `now` to rely on a parent.
    pub fn is_stale(&self, times: &FeedTimes, now: Instant) -> bool {
        self.age(now)
            .is_none_or(|age| age >= times.max_age(self.depth))
    }

    /// Returns when the copy becomes too old to rely on a parent; `now` if it already
    /// is.
    pub fn stale_at(&self, times: &FeedTimes, now: Instant) -> Instant {
        self.age(now).map_or(now, |age| {
            now + times.max_age(self.depth).saturating_sub(age)
        })
    }

    /// Replaces the copy by the full state at `revision`. Returns false and changes
    /// nothing if the copy is at least as new.
    pub fn replace_all(&mut self, items: &[Item], revision: Revision) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.items = items
            .iter()
            .map(|item| (item.key.as_str().into(), StoredItem::of(item)))
            .collect();
        self.packed_items = OnceLock::new();
        self.batches.clear();
        self.batches_from = revision;
        self.revision = revision;
        true
    }

    /// Applies changes up to `revision`, and returns those that were not known before.
    pub fn apply_events(&mut self, events: Vec<Event>, revision: Revision) -> Vec<Event> {
        let missed: Vec<Event> = events
            .into_iter()
            .filter(|event| event.revision() > self.revision)
            .collect();
        let new_events: Vec<Event> = missed
            .iter()
            .filter(|event| self.is_new(event))
            .cloned()
            .collect();
        for event in &new_events {
            self.apply_event(event);
        }
        self.revision = self.revision.max(revision);
        if !new_events.is_empty() {
            self.packed_items = OnceLock::new();
        }
        if !missed.is_empty() {
            // Followers also need the changes that a full read of this node showed early:
            // theirs may not have shown them.
            self.batches.push_back(Arc::new(Batch {
                to: self.revision,
                events: missed,
                packed: OnceLock::new(),
            }));
        }
        while self.batches.len() > KEPT_BATCHES || self.batched_events() > KEPT_EVENTS {
            let Some(oldest) = self.batches.pop_front() else {
                break;
            };
            self.batches_from = oldest.to;
        }
        new_events
    }

    /// Number of changes in all batches.
    fn batched_events(&self) -> usize {
        self.batches.iter().map(|batch| batch.events.len()).sum()
    }

    /// Whether the event is later than the copy's item under the same key. The pages of
    /// a full read are no consistent snapshot, so an item may be newer than the copy's
    /// revision.
    fn is_new(&self, event: &Event) -> bool {
        let known = self.items.get(event.key()).map(|item| item.revision);
        Some(event.revision()) > known
    }

    /// Records that the store's state at `revision` was complete as of `at`, as learnt
    /// through `depth` feed connections. Returns false and changes nothing unless that
    /// is later than the last confirmation, the copy has no newer revision, and `depth`
    /// is within [`MAX_DEPTH`].
    pub fn confirm(&mut self, revision: Revision, at: Instant, depth: u32) -> bool {
        let is_older = self.complete_at.is_some_and(|known| known >= at);
        if revision < self.revision || is_older || depth > MAX_DEPTH {
            return false;
        }
        self.complete_at = Some(at);
        self.depth = depth;
        true
    }

    /// Returns what a copy at `revision` needs to reach this one.
    pub fn missing_since(&self, revision: Revision) -> Missing {
        if revision < self.batches_from {
            let pack_all = || pack(&self.borrowed_items());
            return Missing::Everything(self.packed_items.get_or_init(pack_all).clone());
        }
        Missing::Batches(
            self.batches
                .iter()
                .filter(|batch| batch.to > revision)
                .cloned()
                .collect(),
        )
    }

    fn borrowed_items(&self) -> Vec<BorrowedItem<'_>> {
        self.items
            .iter()
            .map(|(key, stored)| BorrowedItem {
                key,
                value: &stored.value,
                revision: stored.revision,
            })
            .collect()
    }

    fn apply_event(&mut self, event: &Event) {
        match event {
            Event::Written(item) => {
                let key = item.key.as_str().into();
                self.items.insert(key, StoredItem::of(item));
            }
            Event::Removed { key, .. } => {
                self.items.remove(key.as_str());
            }
        }
    }
}
