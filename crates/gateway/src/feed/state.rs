//! A node's copy of the store, and the changes that led to it.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use barleyspar_catalog::{Event, Item, Revision};
use serde::Serialize;
use tokio::time::Instant;

use crate::feed::frame::{Packed, pack};
use crate::feed::times::FeedTimes;

/// Batches that are kept for followers; one that is further behind gets everything.
const KEPT_BATCHES: usize = 64;
/// Changes that are kept for followers in all batches: a sixth of what ten thousand
/// runners take. Everything costs a follower that lacks more about as much.
const KEPT_EVENTS: usize = 2048;

/// Most steps from the store's watcher. Each step's time on the way makes
/// knowledge look a little younger than it is; nodes that came to follow each
/// other would keep theirs young for ever.
const DEEPEST: u32 = 6;

/// What the store, or a peer that knows more, has told.
#[derive(Debug)]
pub enum News {
    /// Everything there is.
    Everything(Vec<Item>),
    /// What has changed, in order.
    Events(Vec<Event>),
}

/// What the feed tells the node's other parts.
#[derive(Debug, PartialEq)]
pub enum Change {
    /// Everything there is, read anew in this era of the store.
    Everything(Vec<Item>, u32),
    /// One change.
    Event(Event),
    /// All changes before this moment have been told.
    CompleteAt(Instant),
}

/// Changes in the store's order, as they go to followers.
#[derive(Debug)]
pub struct Batch {
    /// The store's revision after the last of them.
    pub to: Revision,
    events: Vec<Event>,
    packed: OnceLock<Packed>,
}

impl Batch {
    /// The changes, ready for the wire; packed once, and only by nodes that
    /// have followers.
    pub fn packed(&self) -> Packed {
        self.packed.get_or_init(|| pack(&self.events)).clone()
    }
}

/// What a follower lacks.
#[derive(Debug)]
pub enum Missing {
    /// These batches, in order; none if it lacks nothing.
    Batches(Vec<Arc<Batch>>),
    /// Everything, ready for the wire.
    Everything(Packed),
}

/// An item as it is kept: as small as it gets, since every node keeps all.
#[derive(Debug)]
struct Kept {
    value: Box<[u8]>,
    revision: Revision,
}

impl Kept {
    fn of(item: &Item) -> Self {
        Self {
            value: item.value.as_ref().into(),
            revision: item.revision,
        }
    }
}

/// An [`Item`] on the wire, without a copy of it.
#[derive(Serialize)]
struct PackedItem<'a> {
    key: &'a str,
    #[serde(with = "serde_bytes")]
    value: &'a [u8],
    revision: Revision,
}

/// A copy of the store, complete up to a revision and as of a moment.
#[derive(Debug, Default)]
pub struct FeedState {
    items: BTreeMap<Box<str>, Kept>,
    /// All items for the wire, packed when a follower first asks for them.
    whole: OnceLock<Packed>,
    batches: VecDeque<Arc<Batch>>,
    /// The revision from which the batches show all changes.
    batches_from: Revision,
    revision: Revision,
    complete_at: Option<Instant>,
    depth: u32,
}

impl FeedState {
    /// The store's revision that the copy shows; the first of all while nothing is known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Whether there is an item under `key`.
    pub fn has(&self, key: &str) -> bool {
        self.items.contains_key(key)
    }

    /// Whether anything is known.
    pub fn is_known(&self) -> bool {
        self.revision > Revision::default()
    }

    /// Steps between this node and the store's watcher.
    pub fn depth(&self) -> u32 {
        self.depth
    }

    /// Time since which changes may have been missed; `None` while nothing is known.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.complete_at.map(|at| now.saturating_duration_since(at))
    }

    /// Whether the copy is too old at `now` to rely on a parent.
    pub fn is_overdue(&self, times: &FeedTimes, now: Instant) -> bool {
        self.age(now)
            .is_none_or(|age| age >= times.longest_age(self.depth))
    }

    /// When the copy becomes too old to rely on a parent; `now` if it is.
    pub fn deadline(&self, times: &FeedTimes, now: Instant) -> Instant {
        self.age(now).map_or(now, |age| {
            now + times.longest_age(self.depth).saturating_sub(age)
        })
    }

    /// Takes in a whole copy, complete at `complete_at`. Whether it is newer
    /// than what was known.
    pub fn take_everything(&mut self, items: &[Item], revision: Revision) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.items = items
            .iter()
            .map(|item| (item.key.as_str().into(), Kept::of(item)))
            .collect();
        self.whole = OnceLock::new();
        self.batches.clear();
        self.batches_from = revision;
        self.revision = revision;
        true
    }

    /// Takes in changes up to `revision`; those that were not known before.
    pub fn take_events(&mut self, events: Vec<Event>, revision: Revision) -> Vec<Event> {
        let news: Vec<Event> = events
            .into_iter()
            .filter(|event| self.is_news(event))
            .collect();
        for event in &news {
            self.apply(event);
        }
        self.revision = self.revision.max(revision);
        if !news.is_empty() {
            self.whole = OnceLock::new();
            self.batches.push_back(Arc::new(Batch {
                to: self.revision,
                events: news.clone(),
                packed: OnceLock::new(),
            }));
        }
        while self.batches.len() > KEPT_BATCHES || self.batched() > KEPT_EVENTS {
            let Some(oldest) = self.batches.pop_front() else {
                break;
            };
            self.batches_from = oldest.to;
        }
        news
    }

    /// Changes in the batches.
    fn batched(&self) -> usize {
        self.batches.iter().map(|batch| batch.events.len()).sum()
    }

    /// Whether the event is later than all that is known of its key. Pages of
    /// one reading form no snapshot, so an item may be ahead of the revision.
    fn is_news(&self, event: &Event) -> bool {
        let (key, revision) = match event {
            Event::Written(item) => (&item.key, item.revision),
            Event::Removed { key, revision } => (key, *revision),
        };
        let known = self.items.get(key.as_str()).map(|item| item.revision);
        revision > self.revision && Some(revision) > known
    }

    /// Notes that the copy with `revision` was complete at `at`, as known over
    /// `depth` steps. Whether that is newer than what was known.
    pub fn confirm(&mut self, revision: Revision, at: Instant, depth: u32) -> bool {
        let older = self.complete_at.is_some_and(|known| known >= at);
        if revision < self.revision || older || depth > DEEPEST {
            return false;
        }
        self.complete_at = Some(at);
        self.depth = depth;
        true
    }

    /// What a copy with `revision` lacks of this one.
    pub fn missing(&self, revision: Revision) -> Missing {
        if revision < self.batches_from {
            let pack_all = || pack(&self.packed_items());
            return Missing::Everything(self.whole.get_or_init(pack_all).clone());
        }
        Missing::Batches(
            self.batches
                .iter()
                .filter(|batch| batch.to > revision)
                .cloned()
                .collect(),
        )
    }

    fn packed_items(&self) -> Vec<PackedItem<'_>> {
        self.items
            .iter()
            .map(|(key, kept)| PackedItem {
                key,
                value: &kept.value,
                revision: kept.revision,
            })
            .collect()
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Written(item) => {
                let key = item.key.as_str().into();
                self.items.insert(key, Kept::of(item));
            }
            Event::Removed { key, .. } => {
                self.items.remove(key.as_str());
            }
        }
    }
}
