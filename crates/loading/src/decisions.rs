//! Evaluates the operators' policy for each model: how many replicas it may have, and in
//! which zones.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use barleyspar_catalog::EngineSpec;
use barleyspar_domain::ZoneName;
use barleyspar_policy::{Context, Decision, Program};

use crate::demand::ModelDemand;
use crate::reading::ReadingSpeeds;
use crate::view::RunnerView;

/// Replica counts and zones that the policy decided for one model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaDecision {
    /// Replicas to have while the model is in use.
    pub target: usize,
    /// Upper limit of replicas, unreachable ones included.
    pub maximum: usize,
    /// Zones whose runners may hold the model; empty means all zones.
    pub zones: Vec<Arc<str>>,
}

impl ReplicaDecision {
    /// Returns whether runners of `zone` may hold the model.
    pub fn allows_zone(&self, zone: &str) -> bool {
        self.zones.is_empty() || self.zones.iter().any(|allowed| &**allowed == zone)
    }
}

/// The decision for a model whose policy has failed on every evaluation: one replica in
/// any zone.
impl Default for ReplicaDecision {
    fn default() -> Self {
        Self {
            target: 1,
            maximum: 1,
            zones: Vec::new(),
        }
    }
}

impl From<Decision> for ReplicaDecision {
    fn from(decision: Decision) -> Self {
        Self {
            target: decision.target_replicas() as usize,
            maximum: decision.replicas as usize,
            zones: decision
                .zones
                .iter()
                .map(|zone| Arc::from(zone.to_string()))
                .collect(),
        }
    }
}

/// State of one service, from which the policy's input for each of its models is made.
pub struct PolicyQuery<'a> {
    /// Name of the service whose models the policy decides about.
    pub service: &'a Arc<str>,
    /// Capacity of the service's runners; the policy sees the number of slots.
    pub engine: &'a EngineSpec,
    /// Demand of the whole cluster, by model.
    pub demand: &'a BTreeMap<Arc<str>, ModelDemand>,
    /// Unserved requests of each model that has no reachable replica: one for each
    /// request at its arrival, and one more for each second that a request waits, so that
    /// the value of a load grows with the wait.
    pub unserved: &'a BTreeMap<Arc<str>, f64>,
    /// Speeds at which the service's runners read prompts.
    pub reading_speeds: &'a ReadingSpeeds,
    /// All runners, those of other services included.
    pub runners: &'a [RunnerView],
}

/// Policy inputs of one model, rounded to the precision that matters. The policy is
/// evaluated again only when they change.
#[derive(Debug, Default, PartialEq)]
struct PolicyInputs {
    runners: u32,
    zones: usize,
    tenths_per_second: u64,
    in_flight: u32,
    waiting: u32,
    priority: u8,
    unserved: u64,
    twentieths_of_reading: u64,
}

impl PolicyInputs {
    fn of(
        runners: u32,
        zones: &[ZoneName],
        demand: &ModelDemand,
        unserved: f64,
        reading: f64,
    ) -> Self {
        Self {
            runners,
            zones: zones.len(),
            tenths_per_second: (demand.rate * 10.0).round() as u64,
            in_flight: demand.in_flight,
            waiting: demand.waiting,
            priority: demand.priority,
            unserved: unserved.round() as u64,
            twentieths_of_reading: (reading * 20.0).round() as u64,
        }
    }
}

/// The latest decision for each model, by service and model. It stays in force while the
/// policy fails.
#[derive(Debug, Default)]
pub struct PolicyDecisions {
    latest: BTreeMap<(Arc<str>, Arc<str>), (PolicyInputs, ReplicaDecision)>,
}

impl PolicyDecisions {
    /// Returns the decision of `policy` for each model with demand, from the cache where
    /// the inputs have not changed.
    pub fn decide(
        &mut self,
        policy: &Program,
        query: &PolicyQuery<'_>,
    ) -> BTreeMap<Arc<str>, ReplicaDecision> {
        let available = query
            .runners
            .iter()
            .filter(|runner| runner.service == *query.service && runner.accepts_requests());
        let zones: BTreeSet<ZoneName> = available
            .clone()
            .filter_map(|runner| ZoneName::try_from(&*runner.zone).ok())
            .collect();
        let (runners, zones) = (available.count() as u32, Vec::from_iter(zones));
        let mut decisions = BTreeMap::new();
        for (model, demand) in query.demand {
            let unserved = query.unserved.get(model).copied().unwrap_or(0.0);
            let reading = query.reading_speeds.runners_kept_busy(demand);
            let inputs = PolicyInputs::of(runners, &zones, demand, unserved, reading);
            let latest = self
                .latest
                .entry((query.service.clone(), model.clone()))
                .or_default();
            if latest.0 != inputs {
                latest.0 = inputs;
                let context = Context {
                    model: model.to_string(),
                    service: query.service.to_string(),
                    runners,
                    zones: zones.clone(),
                    hour: 0,
                    minute: 0,
                    requests_per_second: demand.rate,
                    in_flight: demand.in_flight,
                    waiting: demand.waiting,
                    priority: demand.priority,
                    starved: unserved,
                    slots: query.engine.slots.get(),
                    reading,
                };
                if let Ok(decision) = policy.decide(&context) {
                    latest.1 = decision.into();
                }
            }
            decisions.insert(model.clone(), latest.1.clone());
        }
        decisions
    }
}
