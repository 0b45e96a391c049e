//! Sums the demand for models and adapters over the reports of all nodes.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_dispatch::{DemandItem, PromptDemandItem, StreamDemandItem};

use crate::prompt_demand::{PromptDemand, is_plausible};
use crate::stream_demand::StreamDemand;

/// Demand of the whole cluster for a model, or for one of its adapters.
#[derive(Debug, Clone, Copy, Default)]
pub struct ModelDemand {
    /// Requests that wait, or that were refused and are expected to be retried.
    pub waiting: u32,
    /// Priority of the most urgent recent request; 0 is the most urgent.
    pub priority: u8,
    /// Requests that runners are processing.
    pub in_flight: u32,
    /// Requests per second, exponentially decaying.
    pub rate: f64,
    /// Prompt tokens a second that are expected for the model; 0 for an adapter, whose
    /// prompts count for its model.
    pub prompt_tokens_per_second: f64,
}

impl ModelDemand {
    fn add(&mut self, item: &DemandItem) {
        let is_first = self.waiting == 0 && self.in_flight == 0 && self.rate == 0.0;
        self.priority = if is_first {
            item.priority
        } else {
            self.priority.min(item.priority)
        };
        self.waiting += item.waiting;
        self.in_flight += item.in_flight;
        self.rate += f64::from(item.rate);
    }

    /// Returns whether any request is waiting or in flight.
    pub fn is_active(&self) -> bool {
        self.waiting > 0 || self.in_flight > 0
    }
}

/// Key of a demand entry: service, model and, for an adapter, its name.
type DemandKey = (Arc<str>, Arc<str>, Option<Arc<str>>);

/// Number of keys, beyond twice the number of current items, after which unused keys are
/// dropped. Needed because callers may name any number of models that do not exist.
const SPARE_KEYS: usize = 4096;

/// The latest demand report of each node.
///
/// Keys are mapped to indices, so that adding up the reports of hundreds of nodes on
/// hundreds of models needs no string comparisons.
#[derive(Debug, Default)]
pub struct ClusterDemand {
    nodes: HashMap<Arc<str>, NodeDemand>,
    indices: HashMap<DemandKey, usize>,
    keys: Vec<DemandKey>,
    last_active: Vec<Option<Instant>>,
    prompts: HashMap<Arc<str>, NodePrompts>,
    ignored_prompt_reports: u64,
    streams: StreamDemand,
}

#[derive(Debug)]
struct NodeDemand {
    valid_until: Instant,
    items: Vec<IndexedItem>,
}

/// The prompts that one node reported, with the index of each model's key.
#[derive(Debug)]
struct NodePrompts {
    valid_until: Instant,
    items: Vec<(usize, PromptDemandItem)>,
}

/// A reported item with the indices of its model's key and its adapter's key.
#[derive(Debug)]
struct IndexedItem {
    model: usize,
    adapter: Option<usize>,
    item: DemandItem,
}

impl ClusterDemand {
    /// Replaces the demand reported by `node`. The report expires after `valid_for`
    /// unless the node reports again.
    pub fn update(
        &mut self,
        node: Arc<str>,
        items: Vec<DemandItem>,
        valid_for: Duration,
        now: Instant,
    ) {
        let items = items
            .into_iter()
            .map(|item| self.index_item(item, now))
            .collect();
        let demand = NodeDemand {
            valid_until: now + valid_for,
            items,
        };
        self.nodes.insert(node, demand);
        self.rebuild_index();
    }

    /// Replaces the prompt tokens reported by `node`. The report expires after `valid_for`
    /// unless the node reports again. Items that cannot be right are ignored and counted.
    pub fn update_prompts(
        &mut self,
        node: Arc<str>,
        mut items: Vec<PromptDemandItem>,
        valid_for: Duration,
        now: Instant,
    ) {
        let reported = items.len();
        items.retain(is_plausible);
        self.ignored_prompt_reports += (reported - items.len()) as u64;
        let prompts = NodePrompts {
            valid_until: now + valid_for,
            items: self.index_prompts(items),
        };
        self.prompts.insert(node, prompts);
        self.rebuild_index();
    }

    /// Replaces the streams that wait at `node` for a model at one software version. The report
    /// expires after `valid_for` unless the node reports again.
    pub fn update_streams(
        &mut self,
        node: Arc<str>,
        items: Vec<StreamDemandItem>,
        valid_for: Duration,
        now: Instant,
    ) {
        self.streams.update(node, items, valid_for, now);
    }

    /// Returns the streams that wait for a model at one software version.
    pub fn streams(&self) -> &StreamDemand {
        &self.streams
    }

    /// Returns the number of items that [`Self::update_prompts`] ignored.
    pub fn ignored_prompt_reports(&self) -> u64 {
        self.ignored_prompt_reports
    }

    fn index_prompts(&mut self, items: Vec<PromptDemandItem>) -> Vec<(usize, PromptDemandItem)> {
        let index = |item: PromptDemandItem| {
            let key = (item.service.clone(), item.model.clone(), None);
            (self.key_index(key), item)
        };
        items.into_iter().map(index).collect()
    }

    fn index_item(&mut self, item: DemandItem, now: Instant) -> IndexedItem {
        let model = self.key_index((item.service.clone(), item.model.clone(), None));
        let adapter = item.adapter.clone().map(|adapter| {
            self.key_index((item.service.clone(), item.model.clone(), Some(adapter)))
        });
        if item.waiting + item.in_flight > 0 {
            for index in [Some(model), adapter].into_iter().flatten() {
                self.last_active[index] = Some(now);
            }
        }
        IndexedItem {
            model,
            adapter,
            item,
        }
    }

    fn key_index(&mut self, key: DemandKey) -> usize {
        if let Some(index) = self.indices.get(&key) {
            return *index;
        }
        let index = self.keys.len();
        self.keys.push(key.clone());
        self.last_active.push(None);
        self.indices.insert(key, index);
        index
    }

    /// Rebuilds the key index from the current items when it holds many more keys than
    /// needed.
    fn rebuild_index(&mut self) {
        let item_count: usize = self.nodes.values().map(|node| node.items.len()).sum();
        let prompt_count: usize = self.prompts.values().map(|node| node.items.len()).sum();
        if self.keys.len() <= 2 * (item_count + prompt_count) + SPARE_KEYS {
            return;
        }
        let previous = std::mem::take(self);
        self.ignored_prompt_reports = previous.ignored_prompt_reports;
        self.streams = previous.streams;
        for (node, demand) in previous.nodes {
            let items = demand.items.into_iter().map(|indexed| {
                let (model, adapter) = (indexed.model, indexed.adapter);
                let reindexed = self.index_item(indexed.item, demand.valid_until);
                self.last_active[reindexed.model] = previous.last_active[model];
                if let (Some(new), Some(old)) = (reindexed.adapter, adapter) {
                    self.last_active[new] = previous.last_active[old];
                }
                reindexed
            });
            let items = items.collect();
            self.nodes.insert(
                node,
                NodeDemand {
                    valid_until: demand.valid_until,
                    items,
                },
            );
        }
        for (node, prompts) in previous.prompts {
            let items = prompts.items.into_iter().map(|(_, item)| item).collect();
            let items = self.index_prompts(items);
            self.prompts.insert(node, NodePrompts { items, ..prompts });
        }
    }

    /// Returns the demand by model (requests for its adapters included) and by adapter,
    /// after dropping expired reports.
    pub fn totals(&mut self, now: Instant) -> BTreeMap<DemandKey, ModelDemand> {
        self.nodes.retain(|_, node| now < node.valid_until);
        self.prompts.retain(|_, node| now < node.valid_until);
        let mut sums: Vec<Option<ModelDemand>> = vec![None; self.keys.len()];
        for indexed in self.nodes.values().flat_map(|node| &node.items) {
            for index in [Some(indexed.model), indexed.adapter].into_iter().flatten() {
                sums[index].get_or_insert_default().add(&indexed.item);
            }
        }
        for (sum, prompts) in sums.iter_mut().zip(self.prompt_sums()) {
            if let Some(sum) = sum {
                sum.prompt_tokens_per_second = prompts.expected_tokens_per_second();
            }
        }
        let by_key = sums.into_iter().zip(&self.keys);
        by_key
            .filter_map(|(sum, key)| Some((key.clone(), sum?)))
            .collect()
    }

    /// Returns the sum of the reported prompts for each key.
    fn prompt_sums(&self) -> Vec<PromptDemand> {
        let mut sums = vec![PromptDemand::default(); self.keys.len()];
        for (index, item) in self.prompts.values().flat_map(|node| &node.items) {
            sums[*index].add(item);
        }
        sums
    }

    /// Returns the time since the model, or the given adapter of it, last had a request
    /// waiting or in flight. `None` if it never had one, or its key was dropped.
    pub fn idle_time(
        &self,
        service: &Arc<str>,
        model: &Arc<str>,
        adapter: Option<&Arc<str>>,
        now: Instant,
    ) -> Option<Duration> {
        let key = (service.clone(), model.clone(), adapter.cloned());
        let index = *self.indices.get(&key)?;
        let last_active = self.last_active[index]?;
        Some(now.saturating_duration_since(last_active))
    }
}

#[cfg(test)]
#[path = "demand_tests.rs"]
mod tests;
