//! What the operators' policy decides for each model: how many replicas, and in
//! which zones.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use barleyspar_catalog::EngineSpec;
use barleyspar_domain::ZoneName;
use barleyspar_policy::{Context, Decision, Program};

use crate::demand::ModelDemand;
use crate::view::RunnerView;

/// What a policy decided for one model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decided {
    /// Replicas to have while the model is in use.
    pub wanted: usize,
    /// Replicas at most, whatever happens.
    pub most: usize,
    /// Zones whose runners may hold it; empty means all.
    pub zones: Vec<Arc<str>>,
}

impl Decided {
    /// Whether runners of `zone` may hold the model.
    pub fn allows(&self, zone: &str) -> bool {
        self.zones.is_empty() || self.zones.iter().any(|allowed| &**allowed == zone)
    }
}

/// What holds for a model whose policy has failed from the start.
impl Default for Decided {
    fn default() -> Self {
        Self {
            wanted: 1,
            most: 1,
            zones: Vec::new(),
        }
    }
}

impl From<Decision> for Decided {
    fn from(decision: Decision) -> Self {
        Self {
            wanted: decision.wanted() as usize,
            most: decision.replicas as usize,
            zones: decision
                .zones
                .iter()
                .map(|zone| Arc::from(zone.to_string()))
                .collect(),
        }
    }
}

/// What the policy is asked about.
pub struct Question<'a> {
    /// The service.
    pub service: &'a Arc<str>,
    /// What its runners are like.
    pub engine: &'a EngineSpec,
    /// Demand by model.
    pub demand: &'a BTreeMap<Arc<str>, ModelDemand>,
    /// Requests by model that came while it had no replica.
    pub starved: &'a BTreeMap<Arc<str>, f64>,
    /// All runners.
    pub runners: &'a [RunnerView],
}

/// What a decision depends on, as coarsely as it makes a difference: the policy
/// is asked again when this changes.
#[derive(Debug, Default, PartialEq)]
struct Inputs {
    runners: u32,
    zones: usize,
    tenths_a_second: u64,
    in_flight: u32,
    waiting: u32,
    priority: u8,
    starved: u64,
}

impl Inputs {
    fn of(runners: u32, zones: &[ZoneName], demand: &ModelDemand, starved: f64) -> Self {
        Self {
            runners,
            zones: zones.len(),
            tenths_a_second: (demand.rate * 10.0).round() as u64,
            in_flight: demand.in_flight,
            waiting: demand.waiting,
            priority: demand.priority,
            starved: starved.round() as u64,
        }
    }
}

/// Decisions by service and model; the last one holds while the policy fails.
#[derive(Debug, Default)]
pub struct Decisions {
    last: BTreeMap<(Arc<str>, Arc<str>), (Inputs, Decided)>,
}

impl Decisions {
    /// What `policy` decides for each model with demand.
    pub fn decide(
        &mut self,
        policy: &Program,
        question: &Question<'_>,
    ) -> BTreeMap<Arc<str>, Decided> {
        let open = question
            .runners
            .iter()
            .filter(|runner| runner.service == *question.service && runner.takes_work());
        let zones: BTreeSet<ZoneName> = open
            .clone()
            .filter_map(|runner| ZoneName::try_from(&*runner.zone).ok())
            .collect();
        let (runners, zones) = (open.count() as u32, Vec::from_iter(zones));
        let mut decided = BTreeMap::new();
        for (model, demand) in question.demand {
            let starved = question.starved.get(model).copied().unwrap_or(0.0);
            let inputs = Inputs::of(runners, &zones, demand, starved);
            let last = self
                .last
                .entry((question.service.clone(), model.clone()))
                .or_default();
            if last.0 != inputs {
                last.0 = inputs;
                let context = Context {
                    model: model.to_string(),
                    service: question.service.to_string(),
                    runners,
                    zones: zones.clone(),
                    hour: 0,
                    minute: 0,
                    requests_per_second: demand.rate,
                    in_flight: demand.in_flight,
                    waiting: demand.waiting,
                    priority: demand.priority,
                    starved,
                    slots: question.engine.slots,
                };
                if let Ok(decision) = policy.decide(&context) {
                    last.1 = decision.into();
                }
            }
            decided.insert(model.clone(), last.1.clone());
        }
        decided
    }
}
