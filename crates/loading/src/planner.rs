//! The planner: from demand, policy and the runners' reports to orders.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use barleyspar_catalog::{Configuration, EngineSpec, OrderAction};
use barleyspar_domain::ZoneName;
use barleyspar_policy::{Context, Program};

use crate::adapters::AdapterPlan;
use crate::demand::{DemandBook, ModelDemand};
use crate::models::{Decided, ModelPlan};
use crate::pace::{LoadPace, PaceLimits};
use crate::view::{RunnerView, Source};

/// What holds for a model whose policy has failed from the start.
const UNDECIDED: Decided = Decided { wanted: 1, most: 1 };

/// Requests a second at which an adapter is in use.
const ADAPTER_RATE: f64 = 0.02;

/// What the planner is told once.
#[derive(Debug)]
pub struct PlannerSettings {
    /// The operators' policy: how many replicas a model may have.
    pub policy: Program,
    /// How many loads from the weight store may begin.
    pub pace: PaceLimits,
}

/// An order to be given.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedOrder {
    /// The runner.
    pub runner: Arc<str>,
    /// What it is to do.
    pub action: OrderAction,
    /// Where a load takes the weights from.
    pub source: Source,
}

/// Decides orders. One per holder of the right to order.
#[derive(Debug)]
pub struct Planner {
    settings: PlannerSettings,
    pace: BTreeMap<Arc<str>, LoadPace>,
    /// By runner, the sequence number at which a load was counted last: of all
    /// orders with one number, the runner carries out one.
    counted: BTreeMap<Arc<str>, u64>,
    last_decision: BTreeMap<(Arc<str>, Arc<str>), Decided>,
    started: Instant,
}

impl Planner {
    /// A planner of a node that may order from `now` on.
    pub fn new(settings: PlannerSettings, now: Instant) -> Self {
        Self {
            settings,
            pace: BTreeMap::new(),
            counted: BTreeMap::new(),
            last_decision: BTreeMap::new(),
            started: now,
        }
    }

    /// Forgets its pace: another node may have ordered until `now`.
    pub fn restart(&mut self, now: Instant) {
        self.pace.clear();
        self.counted.clear();
        self.started = now;
    }

    /// Orders to be given now, at most one for each runner.
    pub fn plan(
        &mut self,
        configuration: &Configuration,
        runners: &mut [RunnerView],
        book: &mut DemandBook,
        now: Instant,
    ) -> Vec<PlannedOrder> {
        let totals = book.totals(now);
        let mut orders = Vec::new();
        for service in configuration.services.values() {
            let Some(engine) = &service.engine else {
                continue;
            };
            let mut models = BTreeMap::new();
            let mut adapters = BTreeMap::new();
            for ((of, model, adapter), demand) in &totals {
                match adapter {
                    _ if *of != service.name => {}
                    None => {
                        models.insert(model.clone(), *demand);
                    }
                    Some(adapter) => {
                        adapters.insert((model.clone(), adapter.clone()), *demand);
                    }
                }
            }
            let adapted: BTreeSet<Arc<str>> = adapters
                .iter()
                .filter(|(_, demand)| demand.is_active() || demand.rate > ADAPTER_RATE)
                .map(|((model, _), _)| model.clone())
                .collect();
            let decided = self.decide(&service.name, engine, &models, runners);
            // Adapters first: they take milliseconds, and wait for seconds once
            // their runner loads a model.
            let plan = AdapterPlan {
                service: &service.name,
                engine,
                demand: &adapters,
                book,
                now,
            };
            plan_adapters(&plan, runners, &mut orders);
            let plan = ModelPlan {
                service: &service.name,
                engine,
                demand: &models,
                decided: &decided,
                adapted: &adapted,
                book,
                now,
            };
            self.plan_models(&plan, runners, &mut orders);
        }
        orders
    }

    fn plan_models(
        &mut self,
        plan: &ModelPlan<'_>,
        runners: &mut [RunnerView],
        orders: &mut Vec<PlannedOrder>,
    ) {
        let rate = plan.engine.loads_per_second;
        let (started, limits) = (self.started, self.settings.pace);
        let pace = self
            .pace
            .entry(plan.service.clone())
            .or_insert_with(|| LoadPace::new(limits, started));
        // Loads for which room is being made now; they begin soon.
        let mut reserved = 0.0;
        for model in plan.wanted(runners) {
            let Some(step) = plan.step(runners, &model) else {
                continue;
            };
            let runner = &mut runners[step.runner];
            let counted = self.counted.get(&runner.id) == Some(&runner.sequence);
            if step.source == Source::Remote && !counted {
                if pace.ready(plan.now, rate) - reserved < 1.0 {
                    continue;
                }
                if step.action.is_load() {
                    pace.take();
                    self.counted.insert(runner.id.clone(), runner.sequence);
                } else {
                    reserved += 1.0;
                }
            }
            runner.ordered = Some(step.action.clone());
            orders.push(PlannedOrder {
                runner: runner.id.clone(),
                action: step.action,
                source: step.source,
            });
        }
    }

    /// Replicas that the policy decides for each model with demand.
    fn decide(
        &mut self,
        service: &Arc<str>,
        engine: &EngineSpec,
        demand: &BTreeMap<Arc<str>, ModelDemand>,
        runners: &[RunnerView],
    ) -> BTreeMap<Arc<str>, Decided> {
        let open: Vec<&RunnerView> = runners
            .iter()
            .filter(|runner| runner.service == *service && runner.open)
            .collect();
        let zones: BTreeSet<ZoneName> = open
            .iter()
            .filter_map(|runner| ZoneName::try_from(&*runner.zone).ok())
            .collect();
        let zones: Vec<ZoneName> = zones.into_iter().collect();
        demand
            .iter()
            .map(|(model, demand)| {
                let context = Context {
                    model: model.to_string(),
                    service: service.to_string(),
                    runners: open.len() as u32,
                    zones: zones.clone(),
                    hour: 0,
                    minute: 0,
                    requests_per_second: demand.rate,
                    in_flight: demand.in_flight,
                    waiting: demand.waiting,
                    slots: engine.slots,
                };
                let key = (service.clone(), model.clone());
                let decided = match self.settings.policy.decide(&context) {
                    Ok(decision) => Decided {
                        wanted: decision.wanted() as usize,
                        most: decision.replicas as usize,
                    },
                    Err(_) => self.last_decision.get(&key).copied().unwrap_or(UNDECIDED),
                };
                self.last_decision.insert(key, decided);
                (model.clone(), decided)
            })
            .collect()
    }
}

fn plan_adapters(
    plan: &AdapterPlan<'_>,
    runners: &mut [RunnerView],
    orders: &mut Vec<PlannedOrder>,
) {
    for (model, adapter) in plan.wanted(runners) {
        let Some((index, action)) = plan.step(runners, &model, &adapter) else {
            continue;
        };
        let runner = &mut runners[index];
        runner.ordered = Some(action.clone());
        orders.push(PlannedOrder {
            runner: runner.id.clone(),
            action,
            source: Source::Memory,
        });
    }
}
