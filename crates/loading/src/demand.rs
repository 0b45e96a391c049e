//! Demand of all nodes together.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_dispatch::DemandItem;

/// Demand for a model, or for one adapter of it.
#[derive(Debug, Clone, Copy, Default)]
pub struct ModelDemand {
    /// Requests that wait.
    pub waiting: u32,
    /// Most urgent rank among all of its requests lately.
    pub priority: u8,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests a second.
    pub rate: f64,
}

impl ModelDemand {
    fn add(&mut self, item: &DemandItem) {
        let first = self.waiting == 0 && self.in_flight == 0 && self.rate == 0.0;
        self.priority = if first {
            item.priority
        } else {
            self.priority.min(item.priority)
        };
        self.waiting += item.waiting;
        self.in_flight += item.in_flight;
        self.rate += f64::from(item.rate);
    }

    /// Whether anybody wants it now.
    pub fn is_active(&self) -> bool {
        self.waiting > 0 || self.in_flight > 0
    }
}

/// Key of demand: service, model and, for an adapter, its name.
type Key = (Arc<str>, Arc<str>, Option<Arc<str>>);

/// Keys beyond those of the items at hand from which on the numbers are given
/// out anew: callers may name any number of models that do not exist.
const SPARE_KEYS: usize = 4096;

/// What each node said last.
///
/// Keys are numbered, so that summing up what hundreds of nodes want of
/// hundreds of models compares no names.
#[derive(Debug, Default)]
pub struct DemandBook {
    nodes: HashMap<Arc<str>, NodeDemand>,
    numbers: HashMap<Key, usize>,
    keys: Vec<Key>,
    used_at: Vec<Option<Instant>>,
}

#[derive(Debug)]
struct NodeDemand {
    believed_until: Instant,
    items: Vec<NumberedItem>,
}

/// An item with the numbers of its model and of its adapter.
#[derive(Debug)]
struct NumberedItem {
    model: usize,
    adapter: Option<usize>,
    item: DemandItem,
}

impl DemandBook {
    /// Takes in what `node` said, believed for `believed_for`.
    pub fn update(
        &mut self,
        node: Arc<str>,
        items: Vec<DemandItem>,
        believed_for: Duration,
        now: Instant,
    ) {
        let items = items
            .into_iter()
            .map(|item| self.numbered(item, now))
            .collect();
        let demand = NodeDemand {
            believed_until: now + believed_for,
            items,
        };
        self.nodes.insert(node, demand);
        self.forget_unused_keys();
    }

    fn numbered(&mut self, item: DemandItem, now: Instant) -> NumberedItem {
        let model = self.number((item.service.clone(), item.model.clone(), None));
        let adapter = item
            .adapter
            .clone()
            .map(|adapter| self.number((item.service.clone(), item.model.clone(), Some(adapter))));
        if item.waiting + item.in_flight > 0 {
            for number in [Some(model), adapter].into_iter().flatten() {
                self.used_at[number] = Some(now);
            }
        }
        NumberedItem {
            model,
            adapter,
            item,
        }
    }

    fn number(&mut self, key: Key) -> usize {
        if let Some(number) = self.numbers.get(&key) {
            return *number;
        }
        let number = self.keys.len();
        self.keys.push(key.clone());
        self.used_at.push(None);
        self.numbers.insert(key, number);
        number
    }

    /// Numbers anew what is at hand once there are many more keys than that.
    fn forget_unused_keys(&mut self) {
        let at_hand: usize = self.nodes.values().map(|node| node.items.len()).sum();
        if self.keys.len() <= 2 * at_hand + SPARE_KEYS {
            return;
        }
        let former = std::mem::take(self);
        for (node, demand) in former.nodes {
            let items = demand.items.into_iter().map(|numbered| {
                let (model, adapter) = (numbered.model, numbered.adapter);
                let renewed = self.numbered(numbered.item, demand.believed_until);
                self.used_at[renewed.model] = former.used_at[model];
                if let (Some(new), Some(old)) = (renewed.adapter, adapter) {
                    self.used_at[new] = former.used_at[old];
                }
                renewed
            });
            let items = items.collect();
            self.nodes.insert(
                node,
                NodeDemand {
                    believed_until: demand.believed_until,
                    items,
                },
            );
        }
    }

    /// Demand by model (adapters included) and by adapter.
    pub fn totals(&mut self, now: Instant) -> BTreeMap<Key, ModelDemand> {
        self.nodes.retain(|_, node| now < node.believed_until);
        let mut sums: Vec<Option<ModelDemand>> = vec![None; self.keys.len()];
        for numbered in self.nodes.values().flat_map(|node| &node.items) {
            for number in [Some(numbered.model), numbered.adapter]
                .into_iter()
                .flatten()
            {
                sums[number].get_or_insert_default().add(&numbered.item);
            }
        }
        let named = sums.into_iter().zip(&self.keys);
        named
            .filter_map(|(sum, key)| Some((key.clone(), sum?)))
            .collect()
    }

    /// Time since the model, or an adapter of it, was last wanted.
    pub fn idle_time(
        &self,
        service: &Arc<str>,
        model: &Arc<str>,
        adapter: Option<&Arc<str>>,
        now: Instant,
    ) -> Option<Duration> {
        let key = (service.clone(), model.clone(), adapter.cloned());
        let number = *self.numbers.get(&key)?;
        let at = self.used_at[number]?;
        Some(now.saturating_duration_since(at))
    }
}

#[cfg(test)]
#[path = "demand_tests.rs"]
mod tests;
