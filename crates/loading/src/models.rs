//! Which models are loaded on which runner: what a replica is worth against
//! what its place costs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use barleyspar_catalog::EngineSpec;

use crate::census::Census;
use crate::decisions::Decided;
use crate::demand::ModelDemand;
use crate::switches::{Mechanism, Switches};
use crate::value::{ReplicaValue, rank_weight};
use crate::view::{RunnerView, Source};

/// Seconds for which a runner is thought busy if nothing is known of its order.
const UNKNOWN_BUSY_TIME: f64 = 1.0;
/// Seconds until the report of a runner is known that was never asked for it: a new
/// connection and its answer.
const READING_TIME: f64 = 0.02;
/// Shortest time in seconds for which a runner is thought busy that is so: until
/// the next step.
const SHORTEST_BUSY_TIME: f64 = 0.1;
/// Longest time that an unload is thought to wait for its model's requests.
const LONGEST_DRAIN: f64 = 4.0;

/// Requests a second at which a model is in use, also between two requests.
const USED_RATE: f64 = 0.3;

/// Replicas that may be loaded at once of a model that has none.
const FIRST_REPLICAS: usize = 2;

/// What the planner knows of one service's models.
pub struct ModelPlan<'a> {
    /// The service.
    pub service: &'a Arc<str>,
    /// What its runners are like.
    pub engine: &'a EngineSpec,
    /// Demand by model.
    pub demand: &'a BTreeMap<Arc<str>, ModelDemand>,
    /// Requests by model that came while it had no replica.
    pub starved: &'a BTreeMap<Arc<str>, f64>,
    /// What the policy decided, by model.
    pub decided: &'a BTreeMap<Arc<str>, Decided>,
    /// Models of which adapters are in use.
    pub adapted: &'a BTreeSet<Arc<str>>,
    /// What is switched off.
    pub switches: &'a Switches,
    /// Now.
    pub now: Instant,
}

/// A replica that may make way for another.
#[derive(Debug, Clone, PartialEq)]
pub struct Victim {
    /// Its model.
    pub model: Arc<str>,
    /// What its loss costs, in the planner's currency.
    pub loss: f64,
    /// Seconds until its requests have ended.
    pub drain_seconds: f64,
    /// Megabytes that its weights take.
    pub weights_mb: f64,
}

/// A place for a replica.
#[derive(Debug, Clone, PartialEq)]
pub struct Place {
    /// Index of the runner.
    pub runner: usize,
    /// Replicas that have to make way.
    pub victims: Vec<Arc<str>>,
    /// Where the load takes the weights from.
    pub source: Source,
    /// What the replica adds, less what its victims cost, for each second that
    /// it takes.
    pub score: f64,
}

impl ModelPlan<'_> {
    /// Models that lack replicas.
    pub fn lacking(&self, census: &Census) -> Vec<Arc<str>> {
        self.demand
            .keys()
            .filter(|model| self.engine.models.contains_key(*model))
            .filter(|model| self.lacks(census, model))
            .cloned()
            .collect()
    }

    /// Whether one more replica of `model` is wanted and allowed.
    pub fn lacks(&self, census: &Census, model: &str) -> bool {
        let replicas = census.of(model);
        // A burst of requests that the first replicas will clear calls for no
        // more than twice as many.
        let growth = 2 * replicas.held + FIRST_REPLICAS;
        replicas.reachable < self.needed(model).min(growth) && replicas.all < self.allowed(model)
    }

    /// Replicas that a model should have now: what the policy decided, as long
    /// as somebody uses it.
    pub fn needed(&self, model: &str) -> usize {
        let used = self
            .demand
            .get(model)
            .is_some_and(|demand| demand.is_active() || demand.rate > USED_RATE);
        if !used {
            return 0;
        }
        self.decided.get(model).map_or(0, |decided| decided.wanted)
    }

    /// Replicas that a model may have at most, unreachable ones included.
    fn allowed(&self, model: &str) -> usize {
        self.decided.get(model).map_or(0, |decided| decided.most)
    }

    fn demand(&self, model: &str) -> ModelDemand {
        self.demand.get(model).copied().unwrap_or_default()
    }

    /// Weight of one request of this demand.
    fn weight(&self, demand: &ModelDemand) -> f64 {
        if self.switches.is_on(Mechanism::Ranks) {
            rank_weight(demand.priority)
        } else {
            rank_weight(0)
        }
    }

    /// What replicas of `model` are worth.
    pub fn value(&self, model: &str) -> ReplicaValue {
        let demand = self.demand(model);
        let starved = self.starved.get(model).copied().unwrap_or(0.0);
        let weight = self.weight(&demand);
        let slots = self.engine.slots;
        ReplicaValue::new(&demand, weight, starved, self.needed(model), slots)
    }

    /// Seconds until the runner is expected to take an order. One that is busy
    /// longer than expected is thought to stay so for as long again: otherwise a
    /// model with a copy there would be kept waiting for it without end.
    pub fn busy_for(&self, runner: &RunnerView) -> f64 {
        if runner.orderable() {
            return 0.0;
        }
        if runner.unread {
            return READING_TIME;
        }
        runner.busy_until.map_or(UNKNOWN_BUSY_TIME, |until| {
            let left = until.saturating_duration_since(self.now);
            let overdue = self.now.saturating_duration_since(until);
            left.max(overdue).as_secs_f64().max(SHORTEST_BUSY_TIME)
        })
    }

    /// The runner's replicas that may make way, with what that costs and the
    /// seconds that their requests take to end; the cheapest first.
    pub fn victims(&self, census: &Census, runner: &RunnerView) -> Vec<Victim> {
        let mut victims: Vec<Victim> = runner
            .models
            .iter()
            .filter_map(|held| self.victim(census, &held.model))
            .collect();
        let key = |victim: &Victim| victim.loss + victim.drain_seconds;
        victims.sort_by(|a, b| {
            key(a)
                .total_cmp(&key(b))
                .then_with(|| a.model.cmp(&b.model))
        });
        victims
    }

    fn victim(&self, census: &Census, model: &Arc<str>) -> Option<Victim> {
        let demand = self.demand(model);
        let replicas = census.of(model).reachable;
        if replicas <= 1 && demand.is_active() {
            return None;
        }
        Some(Victim {
            model: model.clone(),
            loss: self.value(model).loss(replicas),
            drain_seconds: drain_seconds(&demand),
            weights_mb: self
                .engine
                .models
                .get(model)
                .map_or(0.0, |spec| spec.weights_mb),
        })
    }

    /// The requests that a load disturbs at `runner`: weighted streams that are
    /// there now, and those that come there a second.
    pub fn streams_at(&self, census: &Census, runner: &RunnerView) -> (f64, f64) {
        let mut present = 0.0;
        let mut coming = 0.0;
        for held in &runner.models {
            let demand = self.demand(&held.model);
            let replicas = census.of(&held.model).reachable.max(1) as f64;
            let weight = self.weight(&demand) / replicas;
            present += weight * f64::from(demand.in_flight);
            coming += weight * demand.rate;
        }
        (present, coming)
    }
}

/// Seconds until the requests now in flight for a model have ended: by Little's
/// law, what is in flight over what comes.
fn drain_seconds(demand: &ModelDemand) -> f64 {
    if demand.in_flight == 0 {
        return 0.0;
    }
    (f64::from(demand.in_flight) / demand.rate.max(f64::EPSILON)).min(LONGEST_DRAIN)
}
