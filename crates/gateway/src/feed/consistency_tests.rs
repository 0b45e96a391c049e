//! Random orders of reads, polls, frames and changes of parent: each copy agrees with the
//! store at the revision that the copy claims.

use std::collections::BTreeMap;

use barleyspar_catalog::{Event, Item, Revision};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::publisher::apply_update;
use super::state::{FeedState, Missing, Update};

const NODES: usize = 4;
const KEYS: u8 = 7;
/// Number of items in a page of a full read.
const PAGE_ITEMS: usize = 2;
const STEPS: usize = 120;
const SEEDS: u64 = 300;

fn at(number: u64) -> Revision {
    Revision::new(1, number)
}

/// All changes of the store; the change at index i has the revision i + 1.
#[derive(Default)]
struct Store {
    history: Vec<Event>,
}

impl Store {
    fn revision(&self) -> u64 {
        self.history.len() as u64
    }

    fn next_revision(&self) -> Revision {
        at(self.revision() + 1)
    }

    fn write(&mut self, key: String) {
        let revision = self.next_revision();
        let value = format!("{key}{}", revision.number).into();
        let item = Item {
            key,
            value,
            revision,
        };
        self.history.push(Event::Written(item));
    }

    fn remove(&mut self, key: String) {
        let revision = self.next_revision();
        if self.items_at(revision.number).contains_key(&key) {
            self.history.push(Event::Removed { key, revision });
        }
    }

    fn items_at(&self, revision: u64) -> BTreeMap<String, Item> {
        let mut items = BTreeMap::new();
        for event in &self.history[..(revision as usize).min(self.history.len())] {
            match event {
                Event::Written(item) => items.insert(item.key.clone(), item.clone()),
                Event::Removed { key, .. } => items.remove(key),
            };
        }
        items
    }

    fn events_after(&self, revision: u64) -> Vec<Event> {
        let after = |event: &&Event| event.revision().number > revision;
        self.history.iter().filter(after).cloned().collect()
    }

    /// Whether a copy that claims `revision` may show `shown` under `key`: what the store had
    /// then, or what it got later and the node has read already.
    fn allows(&self, key: &str, shown: Option<u64>, revision: u64) -> bool {
        let then = self.items_at(revision);
        let then = then.get(key).map(|item| item.revision.number);
        let mut later = self
            .history
            .iter()
            .filter(|event| event.key() == key && event.revision().number > revision);
        shown == then
            || later.any(|event| match event {
                Event::Written(item) => shown == Some(item.revision.number),
                Event::Removed { .. } => shown.is_none(),
            })
    }
}

/// A full read of which some pages have been read.
#[derive(Default)]
struct FullRead {
    first: Option<u64>,
    after: Option<String>,
    items: Vec<Item>,
}

#[derive(Default)]
struct Node {
    copy: FeedState,
    full_read: Option<FullRead>,
    /// The parent, and the revision up to which it has sent all changes.
    parent: Option<(usize, Revision)>,
}

struct Run {
    random: StdRng,
    store: Store,
    nodes: Vec<Node>,
}

impl Run {
    fn new(seed: u64) -> Self {
        let mut store = Store::default();
        for key in 0..KEYS {
            store.write(format!("key-{key}"));
        }
        Self {
            random: StdRng::seed_from_u64(seed),
            store,
            nodes: (0..NODES).map(|_| Node::default()).collect(),
        }
    }

    fn step(&mut self) {
        let node = self.random.random_range(0..NODES);
        let key = format!("key-{}", self.random.random_range(0..KEYS));
        match self.random.random_range(0..10) {
            0..3 => self.store.write(key),
            3 => self.store.remove(key),
            4 | 5 => self.read_page(node),
            6 => self.poll(node),
            7 => {
                let parent = self.random.random_range(0..NODES);
                let revision = self.nodes[node].copy.revision();
                self.nodes[node].parent = (parent != node).then_some((parent, revision));
            }
            _ => self.receive_frame(node),
        }
    }

    fn apply(&mut self, node: usize, update: Update, revision: Revision) {
        apply_update(&mut self.nodes[node].copy, update, revision);
    }

    fn read_page(&mut self, node: usize) {
        let mut read = self.nodes[node].full_read.take().unwrap_or_default();
        let now = self.store.revision();
        let first = *read.first.get_or_insert(now);
        let items = self.store.items_at(now);
        let is_next = |key: &&String| read.after.as_ref().is_none_or(|after| *key > after);
        let keys: Vec<&String> = items.keys().filter(is_next).collect();
        let page = &keys[..keys.len().min(PAGE_ITEMS)];
        read.items
            .extend(page.iter().map(|key| items[*key].clone()));
        if page.len() == keys.len() {
            self.apply(node, Update::Everything(read.items), at(first));
            return;
        }
        read.after = page.last().map(|key| (*key).clone());
        self.nodes[node].full_read = Some(read);
    }

    fn poll(&mut self, node: usize) {
        let revision = self.nodes[node].copy.revision();
        if revision == Revision::default() {
            return;
        }
        // The answer may come late: only a part of the changes had been made by then.
        let until = self
            .random
            .random_range(revision.number..=self.store.revision().max(revision.number));
        let mut events = self.store.events_after(revision.number);
        events.retain(|event| event.revision().number <= until);
        self.apply(node, Update::Events(events), at(until));
    }

    fn receive_frame(&mut self, node: usize) {
        let Some((parent, told)) = self.nodes[node].parent else {
            return;
        };
        let copy = &self.nodes[parent].copy;
        if !copy.has_data() {
            return;
        }
        let update = match copy.missing_since(told) {
            Missing::Everything(packed) => Update::Everything(packed.items().unwrap()),
            Missing::Batches(batches) => Update::Events(
                batches
                    .iter()
                    .flat_map(|batch| batch.packed().events().unwrap())
                    .collect(),
            ),
        };
        let revision = copy.revision().max(told);
        self.nodes[node].parent = Some((parent, revision));
        self.apply(node, update, revision);
    }

    /// Keys that a copy shows otherwise than the store had them at the copy's revision.
    fn wrong_keys(&self, node: usize) -> Vec<String> {
        let copy = &self.nodes[node].copy;
        if !copy.has_data() {
            return Vec::new();
        }
        let keys = (0..KEYS).map(|key| format!("key-{key}"));
        let is_wrong = |key: &String| {
            let shown = copy.item_revision(key).map(|revision| revision.number);
            !self.store.allows(key, shown, copy.revision().number)
        };
        keys.filter(is_wrong).collect()
    }
}

#[test]
fn each_copy_agrees_with_the_store_at_the_revision_that_it_claims() {
    for seed in 0..SEEDS {
        let mut run = Run::new(seed);
        for step in 0..STEPS {
            run.step();
            for node in 0..NODES {
                let wrong = run.wrong_keys(node);
                let revision = run.nodes[node].copy.revision().number;
                assert!(
                    wrong.is_empty(),
                    "seed {seed}, step {step}, node {node} at {revision}: {wrong:?}"
                );
            }
        }
    }
}
