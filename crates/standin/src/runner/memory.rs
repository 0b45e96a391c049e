//! Accelerator memory of a model engine. What it holds takes the size that the model had when
//! it was loaded, whatever the configuration lists later.

use std::collections::BTreeMap;
use std::sync::Arc;

use barleyspar_catalog::{EngineSpec, LoadedModel, ModelSpec};

/// A model, or an adapter of it, that takes memory.
type Loaded = (Arc<str>, Option<Arc<str>>);

/// An engine with the memory that it was started with.
pub(super) struct Engine {
    /// What the configuration lists now: the sizes and times of loads that begin.
    listed: EngineSpec,
    memory_mb: f64,
    adapter_capacity: usize,
    taken_mb: BTreeMap<Loaded, f64>,
}

impl Engine {
    /// Starts an engine with `models` loaded.
    pub(super) fn start(listed: &EngineSpec, models: &[LoadedModel]) -> Self {
        let mut engine = Self {
            listed: listed.clone(),
            memory_mb: listed.memory_mb,
            adapter_capacity: listed.adapter_capacity as usize,
            taken_mb: BTreeMap::new(),
        };
        for loaded in models {
            engine.load(&loaded.model, None);
        }
        engine
    }

    /// Starts the next incarnation with `models` loaded, and what is listed now.
    pub(super) fn restart(&mut self, models: &[LoadedModel]) {
        *self = Self::start(&self.listed, models);
    }

    /// Loads with these sizes and times from now on.
    pub(super) fn list(&mut self, listed: &EngineSpec) {
        self.listed = listed.clone();
    }

    /// Returns what is listed for `model`; `None` if there is no such model.
    pub(super) fn spec(&self, model: &str) -> Option<&ModelSpec> {
        self.listed.models.get(model)
    }

    /// Takes the memory of a model, or of one of its adapters, that is about to be loaded.
    /// Returns whether all that is loaded fits. A model that is not listed takes none.
    pub(super) fn load(&mut self, model: &Arc<str>, adapter: Option<&Arc<str>>) -> bool {
        if let Some(spec) = self.listed.models.get(model) {
            let size_mb = match adapter {
                None => spec.weights_mb,
                Some(_) => spec.adapter_mb,
            };
            let loaded = (model.clone(), adapter.cloned());
            self.taken_mb.insert(loaded, size_mb);
        }
        self.taken_mb.values().sum::<f64>() <= self.memory_mb
            && self.adapter_count() <= self.adapter_capacity
    }

    fn adapter_count(&self) -> usize {
        let loaded = self.taken_mb.keys();
        loaded.filter(|(_, adapter)| adapter.is_some()).count()
    }

    /// Frees the memory of a model and its adapters.
    pub(super) fn unload_model(&mut self, model: &str) {
        self.taken_mb.retain(|(loaded, _), _| **loaded != *model);
    }

    /// Frees the memory of an adapter.
    pub(super) fn unload_adapter(&mut self, model: &Arc<str>, adapter: &Arc<str>) {
        self.taken_mb
            .remove(&(model.clone(), Some(adapter.clone())));
    }
}
