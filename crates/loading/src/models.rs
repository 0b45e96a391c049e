//! Which models are loaded on which runner: what a replica is worth against
//! what its place costs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use barleyspar_catalog::{EngineSpec, ModelSpec};

use crate::census::Census;
use crate::decisions::Decided;
use crate::demand::ModelDemand;
use crate::memory::free_mb;
use crate::switches::{Mechanism, Switches};
use crate::value::{ReplicaValue, rank_weight};
use crate::view::{RunnerView, Source};

/// Time until an unload is done and known to be.
const UNLOAD_TIME: f64 = 0.35;
/// Seconds for which a runner is thought busy if nothing is known of its order,
/// and if that takes longer than expected.
const UNKNOWN_BUSY_TIME: f64 = 1.0;
const SHORTEST_BUSY_TIME: f64 = 0.1;
/// Longest time that an unload is thought to wait for its model's requests.
const LONGEST_DRAIN: f64 = 4.0;
/// Cost in seconds of a second replica in the same zone.
const SAME_ZONE_COST: f64 = 0.3;
/// Cost in seconds of a load that keeps adapters from being loaded meanwhile.
const ADAPTERS_BLOCKED_COST: f64 = 6.0;
/// Part of the streams at a runner that a load there makes late.
const DISTURBED_PART: f64 = 0.08;
/// Shortest time by which a gain is divided.
const SHORTEST_STEP: f64 = 0.2;

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
    fn needed(&self, model: &str) -> usize {
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

    fn value(&self, model: &str) -> ReplicaValue {
        let demand = self.demand(model);
        let starved = self.starved.get(model).copied().unwrap_or(0.0);
        ReplicaValue::new(&demand, self.weight(&demand), starved, self.needed(model))
    }

    /// The best place for one more replica of `model`, also one at a runner that
    /// will take orders only later. Loads from the weight store count only if
    /// `remote` allows them.
    pub fn best_place(
        &self,
        runners: &[RunnerView],
        census: &Census,
        model: &Arc<str>,
        remote: bool,
    ) -> Option<Place> {
        let gain = self.value(model).gain(census.of(model).reachable);
        let decided = self.decided.get(model)?;
        let waits = self.switches.is_on(Mechanism::NearCopies);
        runners
            .iter()
            .enumerate()
            .filter(|(_, runner)| runner.service == *self.service && runner.open)
            .filter(|(_, runner)| runner.reported && runner.held(model).is_none())
            .filter(|(_, runner)| decided.allows(&runner.zone))
            .filter(|(_, runner)| waits || runner.orderable())
            .filter(|(_, runner)| remote || runner.source(model) != Source::Remote)
            .filter_map(|(index, runner)| self.place(runners, census, (index, runner), model, gain))
            .filter(|place| place.score > 0.0)
            .max_by(|a, b| a.score.total_cmp(&b.score))
    }

    fn place(
        &self,
        runners: &[RunnerView],
        census: &Census,
        (index, runner): (usize, &RunnerView),
        model: &Arc<str>,
        gain: f64,
    ) -> Option<Place> {
        let spec = self.engine.models.get(model)?;
        let source = runner.source(model);
        let load_seconds = self.load_seconds(spec, source);
        let disturbance = self.disturbance(census, runner, load_seconds);
        let mut seconds = self.busy_for(runner) + load_seconds;
        if census.of(model).zones.contains(&runner.zone) {
            seconds += SAME_ZONE_COST;
        }
        if self.is_last_for_adapters(runners, runner) {
            seconds += ADAPTERS_BLOCKED_COST;
        }
        let (victims, loss, unload_seconds) = self.make_room(census, runner, spec.weights_mb)?;
        seconds += unload_seconds;
        Some(Place {
            runner: index,
            victims,
            source,
            score: (gain - loss - disturbance) / seconds.max(SHORTEST_STEP),
        })
    }

    /// What a load of `seconds` costs the streams at the runner: its steps take
    /// longer meanwhile.
    fn disturbance(&self, census: &Census, runner: &RunnerView, seconds: f64) -> f64 {
        if !self.switches.is_on(Mechanism::Disturbance) {
            return 0.0;
        }
        let streams = |model: &Arc<str>| {
            let demand = self.demand(model);
            let replicas = census.of(model).reachable.max(1) as f64;
            let present = f64::from(demand.in_flight) + demand.rate * seconds;
            self.weight(&demand) * present / replicas
        };
        let streams: f64 = runner.models.iter().map(|held| streams(&held.model)).sum();
        DISTURBED_PART * streams
    }

    fn load_seconds(&self, spec: &ModelSpec, source: Source) -> f64 {
        match source {
            Source::Memory => spec.memory_load.as_secs_f64(),
            Source::Disk => spec.disk_load.as_secs_f64(),
            Source::Remote => spec.remote_load.as_secs_f64(),
        }
    }

    /// Seconds until the runner is expected to take an order.
    fn busy_for(&self, runner: &RunnerView) -> f64 {
        if runner.orderable() {
            return 0.0;
        }
        runner.busy_until.map_or(UNKNOWN_BUSY_TIME, |until| {
            let left = until.saturating_duration_since(self.now).as_secs_f64();
            left.max(SHORTEST_BUSY_TIME)
        })
    }

    /// Replicas that have to make way for `needed_mb` there, what they cost, and
    /// the seconds that it takes; `None` if there is no room to be made.
    fn make_room(
        &self,
        census: &Census,
        runner: &RunnerView,
        needed_mb: f64,
    ) -> Option<(Vec<Arc<str>>, f64, f64)> {
        let mut missing = needed_mb - free_mb(runner, self.engine);
        let mut victims = Vec::new();
        let (mut loss, mut seconds) = (0.0, 0.0);
        if missing <= 0.0 {
            return Some((victims, loss, seconds));
        }
        for (cost, drain, name) in self.victims(census, runner) {
            loss += cost;
            seconds += UNLOAD_TIME + drain;
            missing -= self
                .engine
                .models
                .get(&name)
                .map_or(0.0, |spec| spec.weights_mb);
            victims.push(name);
            if missing <= 0.0 {
                return Some((victims, loss, seconds));
            }
        }
        None
    }

    /// The runner's replicas that may make way, with what that costs and the
    /// seconds that their requests take to end; the cheapest first.
    fn victims(&self, census: &Census, runner: &RunnerView) -> Vec<(f64, f64, Arc<str>)> {
        let mut victims: Vec<(f64, f64, Arc<str>)> = runner
            .models
            .iter()
            .filter_map(|held| {
                let demand = self.demand(&held.model);
                let replicas = census.of(&held.model).reachable;
                if replicas <= 1 && demand.is_active() {
                    return None;
                }
                let loss = self.value(&held.model).loss(replicas);
                Some((loss, drain_seconds(&demand), held.model.clone()))
            })
            .collect();
        let key = |victim: &(f64, f64, Arc<str>)| victim.0 + victim.1;
        victims.sort_by(|a, b| key(a).total_cmp(&key(b)).then_with(|| a.2.cmp(&b.2)));
        victims
    }

    /// Whether a load there would leave no runner that takes adapters of some
    /// model whose adapters are in use.
    fn is_last_for_adapters(&self, runners: &[RunnerView], runner: &RunnerView) -> bool {
        let other = |model: &Arc<str>| {
            runners
                .iter()
                .filter(|other| other.id != runner.id && other.orderable())
                .any(|other| other.held(model).is_some())
        };
        runner
            .models
            .iter()
            .any(|held| self.adapted.contains(&held.model) && !other(&held.model))
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
