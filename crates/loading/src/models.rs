//! Which models are loaded on which runner.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use barleyspar_catalog::{EngineSpec, OrderAction};

use crate::demand::{DemandBook, ModelDemand};
use crate::eviction::{NEVER, worth};
use crate::memory::free_mb;
use crate::view::{RunnerView, Source};

/// Cost of another load, in seconds, for each replica that has to make way.
const EVICTION_COST: f64 = 0.5;
/// Cost in seconds for each unit of a dropped replica's worth.
const WORTH_COST: f64 = 2.0;
/// Cost in seconds of a second replica in the same zone.
const SAME_ZONE_COST: f64 = 0.3;
/// Cost in seconds of loading beside a model that is in use: both take longer.
const IN_USE_COST: f64 = 1.0;
/// Cost in seconds of a load that keeps adapters from being loaded meanwhile.
const ADAPTERS_BLOCKED_COST: f64 = 6.0;
/// Largest cost in seconds of a replica that nobody waits for.
const SPARE_REPLICA_COST: f64 = 12.0;

/// Requests a second at which a model is in use, also between two requests.
const USED_RATE: f64 = 0.3;

/// Replicas that may be loaded at once of a model that has none.
const FIRST_REPLICAS: usize = 2;

/// Order of models that lack replicas; the least comes first.
type Urgency = (Reverse<bool>, u8, Reverse<u32>);

/// First replicas for each further one, so that neither a model that is not
/// there nor one whose replicas are full waits for all of the others.
const FIRST_FOR_EACH_FURTHER: usize = 2;

/// Merges the two lists, keeping the order within each.
fn interleave<T>(first: Vec<T>, further: Vec<T>) -> Vec<T> {
    let mut merged = Vec::with_capacity(first.len() + further.len());
    let (mut first, mut further) = (first.into_iter(), further.into_iter());
    loop {
        let before = merged.len();
        merged.extend(first.by_ref().take(FIRST_FOR_EACH_FURTHER));
        merged.extend(further.next());
        if merged.len() == before {
            return merged;
        }
    }
}

/// How many replicas a policy decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decided {
    /// To have while the model is in use.
    pub wanted: usize,
    /// At most, whatever happens.
    pub most: usize,
}

/// What the planner knows of one service's models.
pub struct ModelPlan<'a> {
    /// The service.
    pub service: &'a Arc<str>,
    /// What its runners are like.
    pub engine: &'a EngineSpec,
    /// Demand by model.
    pub demand: &'a BTreeMap<Arc<str>, ModelDemand>,
    /// What the policy decided, by model.
    pub decided: &'a BTreeMap<Arc<str>, Decided>,
    /// Models of which adapters are in use.
    pub adapted: &'a BTreeSet<Arc<str>>,
    /// When models were last used.
    pub book: &'a DemandBook,
    /// Now.
    pub now: Instant,
}

/// A step towards a replica.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Index of the runner.
    pub runner: usize,
    /// What it is to do.
    pub action: OrderAction,
    /// Where a load would take the weights from.
    pub source: Source,
}

impl ModelPlan<'_> {
    /// Models that lack replicas, the most urgent first.
    pub fn wanted(&self, runners: &[RunnerView]) -> Vec<Arc<str>> {
        let mut wanted: Vec<(Urgency, Arc<str>)> = self
            .demand
            .iter()
            .filter(|(model, _)| self.engine.models.contains_key(*model))
            .filter_map(|(model, demand)| {
                let replicas = self.reachable_replicas(runners, model);
                let lacks = replicas < self.needed(model).min(self.growth(runners, model))
                    && self.replicas(runners, model) < self.allowed(model);
                lacks.then(|| (self.urgency(demand, replicas), model.clone()))
            })
            .collect();
        wanted.sort();
        let (first, further): (Vec<_>, Vec<_>) =
            wanted.into_iter().partition(|(urgency, _)| urgency.0.0);
        interleave(first, further)
            .into_iter()
            .map(|(_, model)| model)
            .collect()
    }

    /// How urgent one more replica is: whether it is the first, then by the
    /// model's rank, then by the requests that wait.
    fn urgency(&self, demand: &ModelDemand, replicas: usize) -> Urgency {
        let waiting = demand.waiting.max(demand.in_flight);
        (Reverse(replicas == 0), demand.priority, Reverse(waiting))
    }

    /// Replicas that may be there or on their way now: a burst of requests that
    /// the first ones will clear calls for no more than twice as many.
    fn growth(&self, runners: &[RunnerView], model: &str) -> usize {
        let held = self.count(runners, model, |runner| runner.held(model).is_some());
        2 * held + FIRST_REPLICAS
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
    pub fn allowed(&self, model: &str) -> usize {
        self.decided.get(model).map_or(0, |decided| decided.most)
    }

    /// Replicas on runners that answer.
    fn reachable_replicas(&self, runners: &[RunnerView], model: &str) -> usize {
        self.count(runners, model, |runner| runner.reachable)
    }

    /// Replicas held, or being loaded, on runners that stay.
    pub fn replicas(&self, runners: &[RunnerView], model: &str) -> usize {
        self.count(runners, model, |_| true)
    }

    fn count(
        &self,
        runners: &[RunnerView],
        model: &str,
        counts: impl Fn(&RunnerView) -> bool,
    ) -> usize {
        runners
            .iter()
            .filter(|runner| runner.service == *self.service && runner.open && counts(runner))
            .filter(|runner| runner.holds_or_loads(model) && !runner.unloads(model))
            .count()
    }

    /// The next step towards one more replica of `model`.
    pub fn step(&self, runners: &[RunnerView], model: &Arc<str>) -> Option<Step> {
        let first = self.reachable_replicas(runners, model) == 0;
        let (index, cost, victim) = runners
            .iter()
            .enumerate()
            .filter(|(_, runner)| runner.service == *self.service && runner.orderable())
            .filter(|(_, runner)| !runner.holds_or_loads(model))
            .filter_map(|(index, runner)| {
                let (cost, victim) = self.cost(runners, runner, model)?;
                Some((index, cost, victim))
            })
            .min_by(|a, b| a.1.total_cmp(&b.1))?;
        if !first && cost > SPARE_REPLICA_COST {
            return None;
        }
        let action = match victim {
            Some(victim) => OrderAction::UnloadModel { model: victim },
            None => OrderAction::LoadModel {
                model: model.clone(),
            },
        };
        Some(Step {
            runner: index,
            action,
            source: runners[index].source(model),
        })
    }

    /// Cost in seconds of a replica of `model` on `runner`, and the first
    /// replica that would have to make way.
    fn cost(
        &self,
        runners: &[RunnerView],
        runner: &RunnerView,
        model: &Arc<str>,
    ) -> Option<(f64, Option<Arc<str>>)> {
        let spec = self.engine.models.get(model)?;
        let mut cost = match runner.source(model) {
            Source::Memory => spec.memory_load,
            Source::Disk => spec.disk_load,
            Source::Remote => spec.remote_load,
        }
        .as_secs_f64();
        let same_zone = runners
            .iter()
            .any(|other| other.zone == runner.zone && other.open && other.holds_or_loads(model));
        if same_zone {
            cost += SAME_ZONE_COST;
        }
        cost += IN_USE_COST * self.models_in_use(runner) as f64;
        if self.is_last_for_adapters(runners, runner) {
            cost += ADAPTERS_BLOCKED_COST;
        }
        let mut missing = spec.weights_mb - free_mb(runner, self.engine);
        let mut victim = None;
        if missing > 0.0 {
            for (worth, name) in self.victims(runners, runner) {
                if worth == NEVER {
                    return None;
                }
                cost += EVICTION_COST + WORTH_COST * worth;
                missing -= self
                    .engine
                    .models
                    .get(&name)
                    .map_or(0.0, |spec| spec.weights_mb);
                victim.get_or_insert(name);
                if missing <= 0.0 {
                    break;
                }
            }
        }
        (missing <= 0.0).then_some((cost, victim))
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

    /// Models held there that somebody uses or waits for.
    fn models_in_use(&self, runner: &RunnerView) -> usize {
        let in_use = |model: &Arc<str>| {
            let demand = self.demand.get(model);
            demand.is_some_and(|demand| demand.is_active())
        };
        runner
            .models
            .iter()
            .filter(|held| in_use(&held.model))
            .count()
    }

    /// The runner's replicas with their worth, the least first.
    fn victims(&self, runners: &[RunnerView], runner: &RunnerView) -> Vec<(f64, Arc<str>)> {
        let mut victims: Vec<(f64, Arc<str>)> = runner
            .models
            .iter()
            .map(|held| {
                let demand = self.demand.get(&held.model).copied().unwrap_or_default();
                let replicas = self.reachable_replicas(runners, &held.model);
                let idle = self
                    .book
                    .idle_time(self.service, &held.model, None, self.now);
                let needed = self.needed(&held.model);
                (worth(&demand, replicas, needed, idle), held.model.clone())
            })
            .collect();
        victims.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        victims
    }
}
