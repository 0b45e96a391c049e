//! Demand of callers for each model and adapter at this node.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::ModelReference;
use barleyspar_domain::decay_factor;
use serde::{Deserialize, Serialize};

use crate::expected_retries::ExpectedRetries;

/// Half-life of the exponentially decaying request rate.
pub(crate) const RATE_HALF_LIFE: Duration = Duration::from_secs(4);
/// Requests a second below which earlier requests are ignored: one request is forgotten
/// after 16 s. This bounds the number of entries that a node reports.
const NEGLIGIBLE_RATE: f64 = 0.01;

/// Demand for one model or adapter of one service at one node, as reported to the
/// placement leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemandItem {
    /// Name of the service that the requests are for.
    pub service: Arc<str>,
    /// Name of the model; for an adapter, of its base model.
    pub model: Arc<str>,
    /// Name of the adapter; `None` for the model without an adapter.
    pub adapter: Option<Arc<str>>,
    /// Requests that wait for the model or adapter at this node, and clients that it
    /// refused and that are expected to retry.
    pub waiting: u32,
    /// Most urgent priority among recent requests; 0 is the most urgent.
    pub priority: u8,
    /// Requests for the model or adapter that this node has in flight at runners.
    pub in_flight: u32,
    /// Exponentially decaying rate of new requests, in requests a second.
    pub rate: f32,
}

/// Demand for one model or adapter of one service at this node.
#[derive(Debug, Default)]
struct ModelDemand {
    /// Requests a second as of `rate_updated_at`, exponentially decaying since then.
    rate: f64,
    rate_updated_at: Option<Instant>,
    in_flight: u32,
    waiting: u32,
    expected_retries: ExpectedRetries,
    priority: u8,
}

impl ModelDemand {
    /// Returns whether no request waits, is in flight or is expected to be retried.
    fn is_quiet(&self, now: Instant) -> bool {
        self.in_flight == 0 && self.waiting == 0 && self.expected_retries.count(now) == 0
    }
}

/// Demand for all models and adapters at this node.
#[derive(Debug, Default)]
pub struct DemandTable {
    by_model: BTreeMap<(Arc<str>, ModelReference), ModelDemand>,
}

impl DemandTable {
    fn model_demand(&mut self, service: &Arc<str>, wanted: &ModelReference) -> &mut ModelDemand {
        self.by_model
            .entry((service.clone(), wanted.clone()))
            .or_default()
    }

    /// Counts a new request of the given priority.
    pub fn record_request(
        &mut self,
        service: &Arc<str>,
        wanted: &ModelReference,
        priority: u8,
        now: Instant,
    ) {
        let demand = self.model_demand(service, wanted);
        let rate = decayed_rate(demand, now);
        let is_idle = demand.is_quiet(now) && rate < NEGLIGIBLE_RATE;
        demand.priority = if is_idle {
            priority
        } else {
            demand.priority.min(priority)
        };
        demand.rate = rate + std::f64::consts::LN_2 / RATE_HALF_LIFE.as_secs_f64();
        demand.rate_updated_at = Some(now);
    }

    /// Counts a request that begins to wait.
    pub fn add_waiting(&mut self, service: &Arc<str>, wanted: &ModelReference) {
        self.model_demand(service, wanted).waiting += 1;
    }

    /// Counts a request that stops waiting: it got a runner, was refused or was
    /// cancelled.
    pub fn remove_waiting(&mut self, service: &Arc<str>, wanted: &ModelReference) {
        let demand = self.model_demand(service, wanted);
        demand.waiting = demand.waiting.saturating_sub(1);
    }

    /// Counts a refused client until `until`, when it has come back, to whichever node.
    pub fn expect_retry(&mut self, service: &Arc<str>, wanted: &ModelReference, until: Instant) {
        let demand = self.model_demand(service, wanted);
        demand.expected_retries.expect(until);
    }

    /// Counts a request that is granted a runner, until [`Self::remove_in_flight`] is
    /// called for it.
    pub fn add_in_flight(&mut self, service: &Arc<str>, wanted: &ModelReference) {
        self.model_demand(service, wanted).in_flight += 1;
    }

    /// Removes a request that [`Self::add_in_flight`] counted, once its attempt at the
    /// runner has ended.
    pub fn remove_in_flight(&mut self, service: &Arc<str>, wanted: &ModelReference) {
        let demand = self.model_demand(service, wanted);
        demand.in_flight = demand.in_flight.saturating_sub(1);
    }

    /// Returns the demand at `now`, and drops models without any.
    pub fn items(&mut self, now: Instant) -> Vec<DemandItem> {
        self.by_model.retain(|_, demand| {
            demand.expected_retries.remove_overdue(now);
            !demand.is_quiet(now) || decayed_rate(demand, now) >= NEGLIGIBLE_RATE
        });
        self.by_model
            .iter()
            .map(|((service, wanted), demand)| demand_item(service, wanted, demand, now))
            .collect()
    }
}

fn decayed_rate(demand: &ModelDemand, now: Instant) -> f64 {
    let age = demand
        .rate_updated_at
        .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
    demand.rate * decay_factor(age, RATE_HALF_LIFE)
}

fn demand_item(
    service: &Arc<str>,
    wanted: &ModelReference,
    demand: &ModelDemand,
    now: Instant,
) -> DemandItem {
    DemandItem {
        service: service.clone(),
        model: wanted.model.clone(),
        adapter: wanted.adapter.clone(),
        waiting: demand.waiting + demand.expected_retries.count(now),
        priority: demand.priority,
        in_flight: demand.in_flight,
        rate: decayed_rate(demand, now) as f32,
    }
}
