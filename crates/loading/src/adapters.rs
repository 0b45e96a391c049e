//! Decides which adapters (LoRA weights) are loaded next to the models that runners
//! already hold.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::{EngineSpec, OrderAction};

use crate::demand::{ClusterDemand, ModelDemand};
use crate::memory::{adapter_count, free_mb};
use crate::view::RunnerView;

/// Maximum number of adapters that one runner may be loading at once.
const MAXIMUM_PENDING: usize = 4;

/// Demand and capacity of one service, from which adapter orders are derived in one
/// planning step.
pub struct AdapterPlan<'a> {
    /// Name of the service whose adapters are planned.
    pub service: &'a Arc<str>,
    /// Accelerator memory, adapter capacity and model sizes of the service's runners.
    pub engine: &'a EngineSpec,
    /// Demand of the whole cluster, by model and adapter.
    pub demand: &'a BTreeMap<(Arc<str>, Arc<str>), ModelDemand>,
    /// Demand history, which tells how long an adapter has been idle.
    pub cluster_demand: &'a ClusterDemand,
    /// Time of the planning step.
    pub now: Instant,
}

impl AdapterPlan<'_> {
    /// Returns the adapters with waiting requests that no runner holds or is loading,
    /// most urgent first. Equal priorities are ordered by the number of waiting requests.
    pub fn missing_adapters(&self, runners: &[RunnerView]) -> Vec<(Arc<str>, Arc<str>)> {
        let mut missing: Vec<_> = self
            .demand
            .iter()
            .filter(|((model, adapter), demand)| {
                demand.waiting > 0 && !self.is_loaded_or_loading(runners, model, adapter)
            })
            .map(|(key, demand)| {
                (
                    demand.priority,
                    std::cmp::Reverse(demand.waiting),
                    key.clone(),
                )
            })
            .collect();
        missing.sort();
        missing.into_iter().map(|(_, _, key)| key).collect()
    }

    fn is_loaded_or_loading(&self, runners: &[RunnerView], model: &str, adapter: &str) -> bool {
        runners
            .iter()
            .filter(|runner| runner.service == *self.service && runner.accepts_requests())
            .any(|runner| {
                let held = runner
                    .loaded_model(model)
                    .is_some_and(|held| held.adapters.iter().any(|name| &**name == adapter));
                let pending = runner
                    .pending_adapters
                    .iter()
                    .any(|(of, name)| &**of == model && &**name == adapter);
                held || pending
            })
    }

    /// Returns the next order towards loading `adapter` and the index of its runner: the
    /// load itself, or the unload of another adapter if the runner is full. `None` if no
    /// runner holds `model` and accepts the order, or if all adapters of the chosen
    /// runner are in use.
    pub fn next_order(
        &self,
        runners: &[RunnerView],
        model: &Arc<str>,
        adapter: &Arc<str>,
    ) -> Option<(usize, OrderAction)> {
        let size_mb = self.engine.models.get(model)?.adapter_mb;
        let (index, runner) = runners
            .iter()
            .enumerate()
            .filter(|(_, runner)| {
                runner.service == *self.service && runner.accepts_orders_once_read()
            })
            .filter(|(_, runner)| runner.loaded_model(model).is_some())
            .filter(|(_, runner)| runner.pending_adapters.len() < MAXIMUM_PENDING)
            .min_by_key(|(_, runner)| {
                let key = (runner.rate_limit.is_some(), adapter_count(runner));
                (key, runner.id.clone())
            })?;
        let is_full = adapter_count(runner) >= self.engine.adapter_capacity as usize;
        if !is_full && free_mb(runner, self.engine) >= size_mb {
            let action = OrderAction::LoadAdapter {
                model: model.clone(),
                adapter: adapter.clone(),
            };
            return Some((index, action));
        }
        let (model, adapter) = self.longest_idle(runner)?;
        Some((index, OrderAction::UnloadAdapter { model, adapter }))
    }

    /// Returns the runner's adapter that has been idle the longest, or `None` if all are
    /// in use.
    fn longest_idle(&self, runner: &RunnerView) -> Option<(Arc<str>, Arc<str>)> {
        runner
            .models
            .iter()
            .flat_map(|held| {
                held.adapters
                    .iter()
                    .map(|adapter| (held.model.clone(), adapter.clone()))
            })
            .filter(|key| !self.demand.get(key).is_some_and(ModelDemand::is_active))
            .max_by_key(|(model, adapter)| {
                self.cluster_demand
                    .idle_time(self.service, model, Some(adapter), self.now)
                    .unwrap_or(Duration::MAX)
            })
    }
}
