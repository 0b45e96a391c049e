//! Summary of a planning step for the log, which shows why a model that needs replicas
//! gets none.

use std::sync::Arc;

use crate::models::ModelPlan;
use crate::replica_counts::ReplicaCounts;
use crate::store_concurrency::StoreConcurrency;

/// State of one service before the latest planning step, and the number of orders it
/// gave.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StepSummary {
    /// Name of the service to which all numbers of the summary refer.
    pub service: Arc<str>,
    /// Number of models that needed one more replica.
    pub lacking: usize,
    /// Number of orders for models that the step gave; adapter orders are not counted.
    pub orders: usize,
    /// Loads from the weight store that are assumed to be in progress.
    pub store_loads: usize,
    /// Estimated number of concurrent loads that the weight store serves at full speed.
    pub store_bound: f64,
    /// Number of loads that the rate limit of the weight store allowed to start.
    pub store_ready: f64,
    /// Number of runners whose reading speed is known.
    pub known_speeds: usize,
    /// Number of runners whose reading speed is ignored because it cannot be right.
    pub ignored_speeds: usize,
    /// Number of reports on prompts, of all services, that were ignored since the node
    /// started because they cannot be right.
    pub ignored_prompt_reports: u64,
    /// The model with the most waiting requests; `None` without demand.
    pub most_wanted: Option<MostWanted>,
}

/// Demand and replicas of the model with the most waiting requests.
#[derive(Debug, Clone, PartialEq)]
pub struct MostWanted {
    /// Name of the model that has the most waiting requests.
    pub model: Arc<str>,
    /// Requests at all nodes that wait for the model, or that were refused and are
    /// expected to be retried.
    pub waiting: u32,
    /// Requests for the model that runners are processing.
    pub in_flight: u32,
    /// Replicas, including those being loaded, on runners that answer, have capacity left
    /// under their rate limit for the model, and are not in an evacuated zone.
    pub replicas: usize,
    /// Number of replicas that the model should have by policy and demand.
    pub needed: usize,
    /// Number of runners that reading the model's prompts keeps busy; 0 if unknown.
    pub reading: f64,
}

/// Creates the summary of a step before it gives orders; `orders` is 0.
pub fn summarize(
    plan: &ModelPlan<'_>,
    store: &StoreConcurrency,
    store_ready: f64,
    counts: &ReplicaCounts,
) -> StepSummary {
    let most_waiting = plan.demand.iter().max_by_key(|(_, demand)| demand.waiting);
    let most_wanted = most_waiting.map(|(model, demand)| MostWanted {
        model: model.clone(),
        waiting: demand.waiting,
        in_flight: demand.in_flight,
        replicas: counts.for_model(model).reachable,
        needed: plan.needed_replicas(model),
        reading: plan.reading_speeds.runners_kept_busy(demand),
    });
    StepSummary {
        service: plan.service.clone(),
        lacking: plan.wanted_replicas(counts).len(),
        orders: 0,
        store_loads: store.loads_in_progress(),
        store_bound: store.concurrency_limit(),
        store_ready,
        known_speeds: plan.reading_speeds.known(),
        ignored_speeds: plan.reading_speeds.ignored(),
        ignored_prompt_reports: 0,
        most_wanted,
    }
}
