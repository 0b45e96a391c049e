//! Decides which adapters (LoRA weights) are loaded next to the models that runners
//! already hold.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::{EngineSpec, OrderAction, SoftwareVersion};

use crate::demand::{ClusterDemand, ModelDemand};
use crate::memory::{adapter_count, free_mb, loaded_adapters_mb};
use crate::model_sizes::KnownSizes;
use crate::stream_demand::VersionNeed;
use crate::value::priority_weight;
use crate::view::RunnerView;

/// Maximum number of adapters that one runner may be loading at once.
const MAXIMUM_PENDING: usize = 4;
/// Time in seconds until an evicted adapter could serve again: its requests of this time
/// would wait for it.
const RELOAD_SECONDS: f64 = 0.25;
/// Ratio of the values of a missing adapter and of one evicted for it. Above 1, so that
/// two adapters that are wanted alike do not replace each other in turn.
const EVICTION_VALUE_RATIO: f64 = 2.0;

/// Names of a model and of one of its adapters.
pub type AdapterKey = (Arc<str>, Arc<str>);

/// An adapter that requests wait for and no suitable runner holds or loads.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct MissingAdapter {
    /// Name of the adapter's model.
    pub model: Arc<str>,
    /// Name of the adapter.
    pub adapter: Arc<str>,
    /// The software version that the runner must have; `None` for any.
    pub software: Option<SoftwareVersion>,
}

/// Demand and capacity of one service, from which adapter orders are derived in one
/// planning step.
pub struct AdapterPlan<'a> {
    /// Name of the service whose adapters are planned.
    pub service: &'a Arc<str>,
    /// Accelerator memory, adapter capacity and model sizes of the service's runners.
    pub engine: &'a EngineSpec,
    /// What the models and adapters on the service's runners take.
    pub sizes: &'a KnownSizes,
    /// Demand of the whole cluster, by model and adapter.
    pub demand: &'a BTreeMap<AdapterKey, ModelDemand>,
    /// Demand history, which tells how long an adapter has been idle.
    pub cluster_demand: &'a ClusterDemand,
    /// What broken streams wait for at the software version that began them, and how many.
    pub unmet_by_version: &'a BTreeMap<VersionNeed, u32>,
    /// Time of the planning step.
    pub now: Instant,
}

impl AdapterPlan<'_> {
    /// Returns the adapters with waiting requests that no runner holds or is loading, and
    /// those that broken streams wait for at their software version, most urgent first. Equal
    /// priorities are ordered by the number of waiting requests.
    pub fn missing_adapters(&self, runners: &[RunnerView]) -> Vec<MissingAdapter> {
        let by_demand = self
            .demand
            .iter()
            .filter(|((model, adapter), demand)| {
                demand.waiting > 0 && !self.is_loaded_or_loading(runners, model, adapter)
            })
            .map(|((model, adapter), demand)| {
                let missing = MissingAdapter {
                    model: model.clone(),
                    adapter: adapter.clone(),
                    software: None,
                };
                (demand.priority, Reverse(demand.waiting), missing)
            });
        let by_streams = self.unmet_by_version.iter().filter_map(|(need, waiting)| {
            let missing = MissingAdapter {
                model: need.wanted.model.clone(),
                adapter: need.wanted.adapter.clone()?,
                software: Some(need.software.clone()),
            };
            let key = (missing.model.clone(), missing.adapter.clone());
            let priority = self.demand.get(&key)?.priority;
            Some((priority, Reverse(*waiting), missing))
        });
        let mut missing: Vec<_> = by_demand.chain(by_streams).collect();
        missing.sort();
        missing.into_iter().map(|(_, _, missing)| missing).collect()
    }

    fn is_loaded_or_loading(&self, runners: &[RunnerView], model: &str, adapter: &str) -> bool {
        runners
            .iter()
            .filter(|runner| runner.service == *self.service && runner.accepts_requests())
            .any(|runner| {
                runner.holds_adapter(model, adapter) || runner.is_loading_adapter(model, adapter)
            })
    }

    /// Returns the next order towards loading the adapter `missing` and the index of its runner:
    /// the load itself or, if all runners of its model are full, the unload of an adapter of less
    /// value or of a model that is no longer listed. `None` if no runner holds the model and
    /// accepts the order, if a place becomes free for the adapter by the orders in progress, or
    /// if nothing is worth evicting for it. A place that becomes free for it is reserved in
    /// `places`.
    pub fn next_order(
        &self,
        runners: &[RunnerView],
        places: &mut ReservedPlaces,
        missing: &MissingAdapter,
    ) -> Option<(usize, OrderAction)> {
        let MissingAdapter { model, adapter, .. } = missing;
        let spec = self.engine.models.get(model)?;
        if !self.sizes.is_recorded(self.service, model, spec) {
            return None;
        }
        let size_mb = spec.adapter_mb;
        if let Some(index) = self.runner_with_place(runners, missing, size_mb) {
            let action = OrderAction::LoadAdapter {
                model: model.clone(),
                adapter: adapter.clone(),
            };
            return Some((index, action));
        }
        if self.reserve_place(runners, places, missing, size_mb) {
            return None;
        }
        let (index, action) = match self.eviction(runners, missing, size_mb) {
            Some((index, (model, adapter))) => {
                (index, OrderAction::UnloadAdapter { model, adapter })
            }
            None => {
                let (index, model) = self.retired_model(runners, missing, size_mb)?;
                (index, OrderAction::UnloadModel { model })
            }
        };
        places.reserve_at(index);
        Some((index, action))
    }

    /// Returns the runners of the service that hold the model of `missing` and have the software
    /// version at which the adapter is missing, with their indices.
    fn holders<'a>(
        &'a self,
        runners: &'a [RunnerView],
        missing: &'a MissingAdapter,
    ) -> impl Iterator<Item = (usize, &'a RunnerView)> {
        runners
            .iter()
            .enumerate()
            .filter(|(_, runner)| runner.service == *self.service)
            .filter(|(_, runner)| {
                let software = missing.software.as_ref();
                software.is_none_or(|software| *software == runner.software)
            })
            .filter(|(_, runner)| runner.loaded_model(&missing.model).is_some())
    }

    /// Returns the runner that can load an adapter of `model` now: the one with the fewest
    /// adapters, so that the adapters of a model are spread over its replicas.
    fn runner_with_place(
        &self,
        runners: &[RunnerView],
        missing: &MissingAdapter,
        size_mb: f64,
    ) -> Option<usize> {
        self.holders(runners, missing)
            .filter(|(_, runner)| runner.accepts_orders_once_read())
            .filter(|(_, runner)| runner.pending_adapters.len() < MAXIMUM_PENDING)
            .filter(|(_, runner)| self.free_places(runner, size_mb) > 0)
            .min_by_key(|(_, runner)| {
                let key = (runner.rate_limit.is_some(), adapter_count(runner));
                (key, runner.id.clone())
            })
            .map(|(index, _)| index)
    }

    /// Reserves a place that is free at a runner once it has carried out its present adapter
    /// orders. Returns false if there is none.
    fn reserve_place(
        &self,
        runners: &[RunnerView],
        places: &mut ReservedPlaces,
        missing: &MissingAdapter,
        size_mb: f64,
    ) -> bool {
        let with_place = self
            .holders(runners, missing)
            .filter(|(_, runner)| carries_out_adapter_orders(runner))
            .find(|(index, runner)| self.free_places(runner, size_mb) > places.reserved_at(*index));
        if let Some((index, _)) = with_place {
            places.reserve_at(index);
        }
        with_place.is_some()
    }

    /// Returns the number of adapters of this size for which the runner has room once its
    /// order in progress is carried out.
    fn free_places(&self, runner: &RunnerView, size_mb: f64) -> usize {
        let capacity = runner.capacity(self.engine).adapters as usize;
        let by_count = capacity.saturating_sub(adapter_count(runner));
        if size_mb <= 0.0 {
            return by_count;
        }
        let by_memory = (free_mb(runner, self.engine, self.sizes).max(0.0) / size_mb) as usize;
        by_count.min(by_memory)
    }

    /// Returns whether unloading adapters at the runner can make room for one of `size_mb`:
    /// its models alone may take more than there is, or an unknown amount.
    fn has_room_without_adapters(&self, runner: &RunnerView, size_mb: f64) -> bool {
        let free = free_mb(runner, self.engine, self.sizes);
        free + loaded_adapters_mb(runner, self.sizes) >= size_mb
    }

    /// Returns the adapter to unload for the missing one, which takes `size_mb`, and its
    /// runner's index: the adapter of the least value at the runners that hold the model, of
    /// equal ones the one that has been idle the longest. Adapters with requests in flight
    /// stay.
    fn eviction(
        &self,
        runners: &[RunnerView],
        missing: &MissingAdapter,
        size_mb: f64,
    ) -> Option<(usize, AdapterKey)> {
        let wanted_value = self.value(&(missing.model.clone(), missing.adapter.clone()));
        let mut victims: Vec<_> = self
            .holders(runners, missing)
            .filter(|(_, runner)| runner.accepts_orders_once_read())
            .filter(|(_, runner)| runner.pending_adapters.len() < MAXIMUM_PENDING)
            .filter(|(_, runner)| self.has_room_without_adapters(runner, size_mb))
            .flat_map(|(index, runner)| loaded_adapters(runner).map(move |key| (index, key)))
            .filter(|(_, key)| !self.has_requests_in_flight(key))
            .map(|(index, key)| (self.value(&key), index, key))
            .filter(|(value, _, _)| EVICTION_VALUE_RATIO * value < wanted_value)
            .collect();
        victims.sort_by(|(a_value, a_index, a), (b_value, b_index, b)| {
            let rate_limited = |index: usize| runners[index].rate_limit.is_some();
            rate_limited(*a_index)
                .cmp(&rate_limited(*b_index))
                .then_with(|| a_value.total_cmp(b_value))
                .then_with(|| self.idle_time(b).cmp(&self.idle_time(a)))
        });
        let (_, index, key) = victims.into_iter().next()?;
        Some((index, key))
    }

    /// Returns a model that is no longer listed, at a runner that lacks only the memory for the
    /// missing adapter, and the runner's index.
    fn retired_model(
        &self,
        runners: &[RunnerView],
        missing: &MissingAdapter,
        size_mb: f64,
    ) -> Option<(usize, Arc<str>)> {
        let has_place = |runner: &RunnerView| {
            adapter_count(runner) < runner.capacity(self.engine).adapters as usize
        };
        self.holders(runners, missing)
            .filter(|(_, runner)| runner.accepts_orders_once_read() && has_place(runner))
            .filter(|(_, runner)| free_mb(runner, self.engine, self.sizes) < size_mb)
            .find_map(|(index, runner)| {
                let mut held = runner.models.iter().map(|held| &held.model);
                let retired = held.find(|model| !self.engine.models.contains_key(*model));
                Some((index, retired?.clone()))
            })
    }

    fn has_requests_in_flight(&self, key: &AdapterKey) -> bool {
        self.demand
            .get(key)
            .is_some_and(|demand| demand.in_flight > 0)
    }

    /// Returns the weighted requests that would wait for the adapter if it were not loaded:
    /// those that wait or are expected to be retried, and those of the time of a load.
    fn value(&self, key: &AdapterKey) -> f64 {
        self.demand.get(key).map_or(0.0, |demand| {
            let expected = demand.rate * RELOAD_SECONDS;
            priority_weight(demand.priority) * (f64::from(demand.waiting) + expected)
        })
    }

    /// Returns the time since the adapter was last in use; the longest time if it never was.
    fn idle_time(&self, (model, adapter): &AdapterKey) -> Duration {
        self.cluster_demand
            .idle_time(self.service, model, Some(adapter), self.now)
            .unwrap_or(Duration::MAX)
    }
}

/// Places that become free by the orders in progress, reserved in one planning step for
/// missing adapters.
#[derive(Debug, Default)]
pub struct ReservedPlaces {
    by_runner: BTreeMap<usize, usize>,
}

impl ReservedPlaces {
    fn reserved_at(&self, runner: usize) -> usize {
        self.by_runner.get(&runner).copied().unwrap_or(0)
    }

    fn reserve_at(&mut self, runner: usize) {
        *self.by_runner.entry(runner).or_default() += 1;
    }
}

/// Returns whether the runner takes no adapter order now, but will as soon as the adapter
/// orders are carried out that it has.
fn carries_out_adapter_orders(runner: &RunnerView) -> bool {
    let is_ordered = runner
        .order_in_progress
        .as_ref()
        .is_some_and(|order| order.adapter().is_some());
    let is_loading = runner.pending_adapters.len() >= MAXIMUM_PENDING;
    let is_reachable = runner.accepts_requests() && runner.report_known && !runner.calls_blocked;
    is_reachable && !runner.busy && (is_ordered || is_loading)
}

/// Returns the adapters loaded on the runner, with their models.
fn loaded_adapters(runner: &RunnerView) -> impl Iterator<Item = AdapterKey> + '_ {
    runner.models.iter().flat_map(|held| {
        held.adapters
            .iter()
            .map(|adapter| (held.model.clone(), adapter.clone()))
    })
}
