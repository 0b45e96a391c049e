//! What a step of the planner saw, for the log: why a model that lacks replicas
//! gets none.

use std::sync::Arc;

use crate::census::Census;
use crate::models::ModelPlan;
use crate::store_share::StoreShare;

/// What the last step saw of one service, for the log.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StepSummary {
    /// The service.
    pub service: Arc<str>,
    /// Models that lacked replicas.
    pub lacking: usize,
    /// Orders given.
    pub orders: usize,
    /// Loads from the weight store under way, as far as is known.
    pub store_loads: usize,
    /// Loads from it that are thought to run at full speed at once.
    pub store_bound: f64,
    /// Loads that the store's rate allows to begin.
    pub store_ready: f64,
    /// The model that most requests wait for.
    pub most_wanted: Option<MostWanted>,
}

/// The model that most requests wait for.
#[derive(Debug, Clone, PartialEq)]
pub struct MostWanted {
    /// The model.
    pub model: Arc<str>,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Replicas on runners that answer, those on their way included.
    pub replicas: usize,
    /// Replicas that it should have now.
    pub needed: usize,
}

/// What a step sees before it gives orders.
pub fn summarize(
    plan: &ModelPlan<'_>,
    share: &StoreShare,
    store_ready: f64,
    census: &Census,
) -> StepSummary {
    let most = plan.demand.iter().max_by_key(|(_, demand)| demand.waiting);
    let most_wanted = most.map(|(model, demand)| MostWanted {
        model: model.clone(),
        waiting: demand.waiting,
        in_flight: demand.in_flight,
        replicas: census.of(model).reachable,
        needed: plan.needed(model),
    });
    StepSummary {
        service: plan.service.clone(),
        lacking: plan.lacking(census).len(),
        orders: 0,
        store_loads: share.under_way(),
        store_bound: share.bound(),
        store_ready,
        most_wanted,
    }
}
