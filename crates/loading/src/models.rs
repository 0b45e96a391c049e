//! Decides which models are loaded on which runner, by weighing the value of a replica
//! against the cost of its placement.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use barleyspar_catalog::{EngineSpec, SoftwareVersion};
use barleyspar_domain::{Mechanism, Switches};

use crate::decisions::ReplicaDecision;
use crate::demand::ModelDemand;
use crate::model_sizes::KnownSizes;
use crate::reading::ReadingSpeeds;
use crate::replica_counts::ReplicaCounts;
use crate::value::{ReplicaValue, priority_weight};
use crate::view::{RunnerView, WeightSource};

/// Assumed time in seconds until a busy runner is free, if the end of its order is
/// unknown.
const UNKNOWN_BUSY_SECONDS: f64 = 1.0;
/// Time in seconds to read the report of a runner for the first time: a new connection,
/// and one call on it.
const REPORT_READ_SECONDS: f64 = 0.02;
/// Minimum time in seconds until a busy runner is assumed to be free: the interval to the
/// next planning step.
const MINIMUM_BUSY_SECONDS: f64 = 0.1;
/// Maximum time in seconds that an unload is assumed to wait for its model's requests.
const MAXIMUM_DRAIN_SECONDS: f64 = 4.0;

/// Requests per second above which a model counts as in use even between two requests.
const IN_USE_RATE: f64 = 0.3;

/// Replicas that may be loaded at once for a model that has none.
const INITIAL_REPLICAS: usize = 2;

/// Inputs for placing the models of one service in one planning step.
pub struct ModelPlan<'a> {
    /// Name of the service whose models are placed.
    pub service: &'a Arc<str>,
    /// Accelerator memory, slots and model sizes of the service's runners.
    pub engine: &'a EngineSpec,
    /// What the models on the service's runners take.
    pub sizes: &'a KnownSizes,
    /// Demand of the whole cluster, by model.
    pub demand: &'a BTreeMap<Arc<str>, ModelDemand>,
    /// Unserved requests of each model that has no reachable replica: one for each
    /// request at its arrival, and one more for each second that a request waits, so that
    /// the value of a load grows with the wait.
    pub unserved: &'a BTreeMap<Arc<str>, f64>,
    /// Replicas that broken streams wait for at the software version that began them.
    pub wanted_by_streams: &'a [WantedReplica],
    /// Replica counts and zones that the policy decided, by model.
    pub decisions: &'a BTreeMap<Arc<str>, ReplicaDecision>,
    /// Speeds at which the service's runners read prompts.
    pub reading_speeds: &'a ReadingSpeeds,
    /// Models that have adapters in use.
    pub with_active_adapters: &'a BTreeSet<Arc<str>>,
    /// Planner mechanisms that are switched off.
    pub switches: &'a Switches,
    /// Time of the planning step.
    pub now: Instant,
}

/// A further replica of a model that is to be placed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WantedReplica {
    /// Name of the model.
    pub model: Arc<str>,
    /// The broken streams for which alone it is placed; `None` for one that serves all
    /// requests, at any runner.
    pub for_streams: Option<WaitingStreams>,
}

/// Broken streams that wait for a model at the software version that began them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingStreams {
    /// The version that the runner must have.
    pub software: SoftwareVersion,
    /// Number of streams that wait.
    pub waiting: u32,
}

impl WantedReplica {
    /// Returns whether the replica may be placed on `runner`, as far as its version decides.
    pub fn allows_version_of(&self, runner: &RunnerView) -> bool {
        let streams = self.for_streams.as_ref();
        streams.is_none_or(|streams| streams.software == runner.software)
    }
}

/// A replica that may be evicted from a runner to free memory.
#[derive(Debug, Clone, PartialEq)]
pub struct EvictionCandidate {
    /// Name of the model that the runner would unload.
    pub model: Arc<str>,
    /// Value lost by the eviction, in weighted requests.
    pub loss: f64,
    /// Seconds until the model's requests in flight are expected to end.
    pub drain_seconds: f64,
    /// Megabytes of accelerator memory that the eviction frees.
    pub weights_mb: f64,
    /// Prompt tokens a second that are expected for the replica.
    pub prompt_tokens: f64,
}

/// A runner that may get one more replica of a model, with the steps this takes.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Index of the runner in the planning step's list.
    pub runner: usize,
    /// Models to unload from the runner first, in this order.
    pub evictions: Vec<Arc<str>>,
    /// Where the runner loads the weights from.
    pub source: WeightSource,
    /// Value gained by the replica, less the value lost by evictions and disturbed
    /// streams, per second that the placement takes.
    pub score: f64,
}

impl ModelPlan<'_> {
    /// Returns the replicas that the service needs and lacks: one more of each model that has
    /// too few, and those that broken streams wait for.
    pub fn wanted_replicas(&self, counts: &ReplicaCounts) -> Vec<WantedReplica> {
        let of_models = self.demand.keys().map(|model| WantedReplica {
            model: model.clone(),
            for_streams: None,
        });
        of_models
            .chain(self.wanted_by_streams.iter().cloned())
            .filter(|wanted| self.may_be_loaded(&wanted.model))
            .filter(|wanted| self.is_wanted(counts, wanted))
            .collect()
    }

    /// Returns whether `model` is listed and its size is on record. Without the record, a later
    /// leader could count the copy as smaller than it is.
    fn may_be_loaded(&self, model: &str) -> bool {
        let spec = self.engine.models.get(model);
        spec.is_some_and(|spec| self.sizes.is_recorded(self.service, model, spec))
    }

    /// Returns whether the replica is still needed, and allowed by the policy.
    pub fn is_wanted(&self, counts: &ReplicaCounts, wanted: &WantedReplica) -> bool {
        match wanted.for_streams {
            None => self.lacks_replica(counts, &wanted.model),
            Some(_) => counts.for_model(&wanted.model).total < self.replica_limit(&wanted.model),
        }
    }

    /// Returns the value that the replica would add, in weighted requests.
    pub fn gain(&self, counts: &ReplicaCounts, wanted: &WantedReplica) -> f64 {
        match &wanted.for_streams {
            None => {
                let replicas = counts.for_model(&wanted.model).reachable;
                self.value(&wanted.model).gain(replicas)
            }
            Some(streams) => {
                self.weight(&self.demand_for(&wanted.model)) * f64::from(streams.waiting)
            }
        }
    }

    /// Returns whether `model` needs one more replica and the policy allows it.
    fn lacks_replica(&self, counts: &ReplicaCounts, model: &str) -> bool {
        let replicas = counts.for_model(model);
        // While replicas are being loaded, a model gets at most `INITIAL_REPLICAS` more
        // than twice its loaded ones: if many requests arrive at once, the first new
        // replicas may serve them all, and no further ones are needed.
        let growth = 2 * replicas.loaded + INITIAL_REPLICAS;
        replicas.reachable < self.needed_replicas(model).min(growth)
            && replicas.total < self.replica_limit(model)
    }

    /// Returns the number of replicas that `model` should have now: the policy's target
    /// while the model is in use, 0 otherwise.
    pub fn needed_replicas(&self, model: &str) -> usize {
        let in_use = self
            .demand
            .get(model)
            .is_some_and(|demand| demand.is_active() || demand.rate > IN_USE_RATE);
        if !in_use {
            return 0;
        }
        self.decisions
            .get(model)
            .map_or(0, |decision| decision.target)
    }

    /// Returns the maximum number of replicas of `model`, unreachable ones included.
    pub fn replica_limit(&self, model: &str) -> usize {
        self.decisions
            .get(model)
            .map_or(0, |decision| decision.maximum)
    }

    pub(crate) fn demand_for(&self, model: &str) -> ModelDemand {
        self.demand.get(model).copied().unwrap_or_default()
    }

    /// Returns the weight of one request by its priority, or the weight of the highest
    /// priority if priorities are switched off.
    fn weight(&self, demand: &ModelDemand) -> f64 {
        if self.switches.is_enabled(Mechanism::Ranks) {
            priority_weight(demand.priority)
        } else {
            priority_weight(0)
        }
    }

    /// Returns the value function for replicas of `model` at its present demand.
    pub fn value(&self, model: &str) -> ReplicaValue {
        let demand = self.demand_for(model);
        let unserved = self.unserved.get(model).copied().unwrap_or(0.0);
        let weight = self.weight(&demand);
        let reading = self.reading_speeds.runners_kept_busy(&demand);
        ReplicaValue::new(
            &demand,
            weight,
            unserved,
            self.needed_replicas(model),
            self.engine.slots.get(),
        )
        .limited_by_reading(reading)
    }

    /// Returns the seconds until the runner is expected to accept an order. A runner
    /// whose order is overdue is assumed to stay busy for as long again; otherwise a
    /// model with a weight copy there would wait for it forever.
    pub fn seconds_until_free(&self, runner: &RunnerView) -> f64 {
        if runner.accepts_orders() {
            return 0.0;
        }
        if runner.report_unread {
            return REPORT_READ_SECONDS;
        }
        runner.busy_until.map_or(UNKNOWN_BUSY_SECONDS, |until| {
            let remaining = until.saturating_duration_since(self.now);
            let overdue = self.now.saturating_duration_since(until);
            remaining
                .max(overdue)
                .as_secs_f64()
                .max(MINIMUM_BUSY_SECONDS)
        })
    }

    /// Returns the replicas that may be evicted from `runner`, cheapest first by lost
    /// value plus drain time.
    pub fn eviction_candidates(
        &self,
        counts: &ReplicaCounts,
        runner: &RunnerView,
    ) -> Vec<EvictionCandidate> {
        let mut candidates: Vec<EvictionCandidate> = runner
            .models
            .iter()
            .filter_map(|loaded| self.eviction_candidate(counts, runner, &loaded.model))
            .collect();
        let key = |candidate: &EvictionCandidate| candidate.loss + candidate.drain_seconds;
        candidates.sort_by(|a, b| {
            key(a)
                .total_cmp(&key(b))
                .then_with(|| a.model.cmp(&b.model))
        });
        candidates
    }

    /// Returns the eviction of `model` from `runner`, which holds it; `None` for the last
    /// reachable replica of a listed model with waiting requests or requests in flight, and
    /// for a model of unknown size.
    fn eviction_candidate(
        &self,
        counts: &ReplicaCounts,
        runner: &RunnerView,
        model: &Arc<str>,
    ) -> Option<EvictionCandidate> {
        let weights_mb = self.sizes.weights_mb(runner, model)?;
        let demand = self.demand_for(model);
        let replicas = counts.for_model(model).reachable;
        let is_listed = self.engine.models.contains_key(model);
        if is_listed && replicas <= 1 && demand.is_active() {
            return None;
        }
        let loss = if is_listed {
            self.value(model).loss(replicas)
        } else {
            0.0
        };
        Some(EvictionCandidate {
            model: model.clone(),
            loss,
            drain_seconds: drain_seconds(&demand),
            weights_mb,
            prompt_tokens: self.prompt_tokens_per_replica(model, replicas),
        })
    }

    /// Returns the load of streams that a model load would disturb at `runner`: the
    /// weighted number in flight, and the weighted number that start per second.
    pub fn stream_load(&self, counts: &ReplicaCounts, runner: &RunnerView) -> (f64, f64) {
        let mut present = 0.0;
        let mut starting_per_second = 0.0;
        for loaded in &runner.models {
            let demand = self.demand_for(&loaded.model);
            let replicas = counts.for_model(&loaded.model).reachable.max(1) as f64;
            let weight = self.weight(&demand) / replicas;
            present += weight * f64::from(demand.in_flight);
            starting_per_second += weight * demand.rate;
        }
        (present, starting_per_second)
    }
}

/// Estimates the seconds until the requests in flight for a model have ended, by Little's
/// law: requests in flight divided by the request rate.
fn drain_seconds(demand: &ModelDemand) -> f64 {
    if demand.in_flight == 0 {
        return 0.0;
    }
    (f64::from(demand.in_flight) / demand.rate.max(f64::EPSILON)).min(MAXIMUM_DRAIN_SECONDS)
}
