//! Sizes under which the models that runners hold may have been loaded.
//!
//! A configuration may list a model with another size, or no longer list it, while runners
//! hold copies that were loaded before. Reports name what is held without its size, so the
//! largest size of each model is kept for as long as a runner may hold such a copy.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use barleyspar_catalog::{Configuration, EngineSpec, ModelSpec};
use serde::{Deserialize, Serialize};

use crate::view::RunnerView;

/// Names of a service and of one of its models.
pub type ServiceModel = (Arc<str>, Arc<str>);

/// Accelerator memory that a model takes on a runner.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ModelSize {
    /// Megabytes of the model's weights.
    pub weights_mb: f64,
    /// Megabytes of each of its adapters.
    pub adapter_mb: f64,
}

impl ModelSize {
    fn of(spec: &ModelSpec) -> Self {
        Self {
            weights_mb: spec.weights_mb,
            adapter_mb: spec.adapter_mb,
        }
    }

    fn max(self, other: Self) -> Self {
        Self {
            weights_mb: self.weights_mb.max(other.weights_mb),
            adapter_mb: self.adapter_mb.max(other.adapter_mb),
        }
    }
}

/// The largest size of each model, by service and model.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ModelSizes {
    by_service: BTreeMap<Arc<str>, BTreeMap<Arc<str>, ModelSize>>,
}

impl ModelSizes {
    /// Returns the largest size of `model`; `None` if there is none.
    pub fn get(&self, service: &str, model: &str) -> Option<ModelSize> {
        self.by_service.get(service)?.get(model).copied()
    }

    /// Raises the sizes to those of `other` where these are larger.
    pub fn raise(&mut self, other: &Self) {
        for (service, models) in &other.by_service {
            for (model, size) in models {
                self.raise_one(service, model, *size);
            }
        }
    }

    /// Raises the sizes to those that `configuration` lists where these are larger.
    pub fn raise_to_listed(&mut self, configuration: &Configuration) {
        for (service, engine) in engines(configuration) {
            for (model, spec) in &engine.models {
                self.raise_one(service, model, ModelSize::of(spec));
            }
        }
    }

    fn raise_one(&mut self, service: &Arc<str>, model: &Arc<str>, size: ModelSize) {
        let models = self.by_service.entry(service.clone()).or_default();
        models
            .entry(model.clone())
            .and_modify(|bound| *bound = bound.max(size))
            .or_insert(size);
    }

    /// Lowers each size to the listed one once no copy of another size is held, and drops
    /// that of a model that is neither listed nor held.
    pub fn settle(&mut self, configuration: &Configuration, held: &HeldCopies) {
        for (service, models) in &mut self.by_service {
            let listed = configuration.services.get(service);
            let engine = listed.and_then(|service| service.engine.as_ref());
            models.retain(|model, bound| {
                let key = (service.clone(), model.clone());
                let spec = engine.and_then(|engine| engine.models.get(model));
                let Some(spec) = spec else {
                    return held.any.contains(&key);
                };
                if !held.unknown.contains(service) {
                    held.lower(bound, spec, &key);
                }
                true
            });
        }
        self.by_service.retain(|_, models| !models.is_empty());
    }
}

/// What is known of the sizes under which runners loaded what they hold.
#[derive(Debug, Clone, Default)]
pub struct KnownSizes {
    recorded: ModelSizes,
    bounds: ModelSizes,
    are_as_listed: bool,
}

impl KnownSizes {
    /// Creates them from the sizes on record, which outlast the leader, and the ones that
    /// the present configuration lists.
    pub fn new(recorded: ModelSizes, configuration: &Configuration) -> Self {
        let mut listed = ModelSizes::default();
        listed.raise_to_listed(configuration);
        let mut bounds = recorded.clone();
        bounds.raise(&listed);
        let are_as_listed = bounds == listed;
        Self {
            recorded,
            bounds,
            are_as_listed,
        }
    }

    /// Returns whether the upper bounds are the listed sizes: there is nothing to settle.
    pub fn are_as_listed(&self) -> bool {
        self.are_as_listed
    }

    /// Returns the largest sizes, recorded or listed: the upper bounds of what is held.
    pub fn bounds(&self) -> &ModelSizes {
        &self.bounds
    }

    /// Returns whether a later leader counts a copy in full that is loaded now with the size
    /// in `spec`, since as large a size is on record.
    pub fn is_recorded(&self, service: &str, model: &str, spec: &ModelSpec) -> bool {
        let size = ModelSize::of(spec);
        let recorded = self.recorded.get(service, model);
        recorded.is_some_and(|recorded| recorded.max(size) == recorded)
    }

    /// Returns the megabytes that `model` takes or will take on `runner`: as this leader had
    /// it loaded, otherwise its upper bound; `None` if neither is known.
    pub fn weights_mb(&self, runner: &RunnerView, model: &str) -> Option<f64> {
        let ordered = runner.ordered_weights_mb.get(model).copied();
        ordered.or_else(|| Some(self.bounds.get(&runner.service, model)?.weights_mb))
    }

    /// Returns an upper bound of the megabytes that an adapter of `model` takes on `runner`;
    /// `None` if it is not known.
    pub fn adapter_mb(&self, runner: &RunnerView, model: &str) -> Option<f64> {
        Some(self.bounds.get(&runner.service, model)?.adapter_mb)
    }
}

/// Copies that runners hold, load, or may still load, by the last that is known of them.
#[derive(Debug, Default)]
pub struct HeldCopies {
    any: BTreeSet<ServiceModel>,
    /// Copies whose weights are not known to have a listed size.
    other_weights: BTreeSet<ServiceModel>,
    /// Services with runners of which the present content is not known.
    unknown: BTreeSet<Arc<str>>,
}

impl HeldCopies {
    /// Adds a copy that a runner's entry in the store names.
    pub fn add_named(&mut self, service: &Arc<str>, model: &Arc<str>) {
        self.any.insert((service.clone(), model.clone()));
    }

    /// Adds what `runner` holds, loads or may load. `engine`: what the configuration lists
    /// for the runner's service.
    pub fn add_runner(&mut self, runner: &RunnerView, engine: &EngineSpec) {
        if !runner.available {
            return;
        }
        if !runner.report_known || runner.order_in_progress.is_some() || runner.busy {
            self.unknown.insert(runner.service.clone());
        }
        let held = runner.models.iter().map(|held| &held.model);
        let ordered = runner.order_in_progress.iter().map(|order| order.model());
        let possible = runner.possible_load.iter().map(|load| &load.model);
        for model in held.chain(ordered).chain(possible) {
            let key = (runner.service.clone(), model.clone());
            let listed = engine.models.get(model).map(|spec| spec.weights_mb);
            if runner.ordered_weights_mb.get(model).copied() != listed {
                self.other_weights.insert(key.clone());
            }
            self.any.insert(key);
        }
    }

    fn lower(&self, bound: &mut ModelSize, spec: &ModelSpec, key: &ServiceModel) {
        if !self.other_weights.contains(key) {
            bound.weights_mb = spec.weights_mb;
        }
        if !self.any.contains(key) {
            bound.adapter_mb = spec.adapter_mb;
        }
    }
}

fn engines(configuration: &Configuration) -> impl Iterator<Item = (&Arc<str>, &EngineSpec)> {
    let services = configuration.services.values();
    services.filter_map(|service| Some((&service.name, service.engine.as_ref()?)))
}
