//! Demand of all nodes together.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_dispatch::DemandItem;

/// Time for which a silent node's demand is believed.
const BELIEVED_FOR: Duration = Duration::from_secs(3);

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

/// What each node said last.
#[derive(Debug, Default)]
pub struct DemandBook {
    nodes: HashMap<Arc<str>, (Instant, Vec<DemandItem>)>,
    used_at: HashMap<Key, Instant>,
}

impl DemandBook {
    /// Takes in what `node` said.
    pub fn update(&mut self, node: Arc<str>, items: Vec<DemandItem>, now: Instant) {
        for item in items
            .iter()
            .filter(|item| item.waiting + item.in_flight > 0)
        {
            let model = (item.service.clone(), item.model.clone(), None);
            self.used_at.insert(model, now);
            if item.adapter.is_some() {
                let key = (
                    item.service.clone(),
                    item.model.clone(),
                    item.adapter.clone(),
                );
                self.used_at.insert(key, now);
            }
        }
        self.nodes.insert(node, (now, items));
    }

    /// Demand by model (adapters included) and by adapter.
    pub fn totals(&mut self, now: Instant) -> BTreeMap<Key, ModelDemand> {
        self.nodes
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < BELIEVED_FOR);
        let mut totals: BTreeMap<Key, ModelDemand> = BTreeMap::new();
        for item in self.nodes.values().flat_map(|(_, items)| items) {
            let model = (item.service.clone(), item.model.clone(), None);
            totals.entry(model).or_default().add(item);
            if item.adapter.is_some() {
                let key = (
                    item.service.clone(),
                    item.model.clone(),
                    item.adapter.clone(),
                );
                totals.entry(key).or_default().add(item);
            }
        }
        totals
    }

    /// Time since the model, or an adapter of it, was last wanted.
    pub fn idle_time(
        &self,
        service: &Arc<str>,
        model: &Arc<str>,
        adapter: Option<&Arc<str>>,
        now: Instant,
    ) -> Option<Duration> {
        self.used_at
            .get(&(service.clone(), model.clone(), adapter.cloned()))
            .map(|at| now.saturating_duration_since(*at))
    }
}
