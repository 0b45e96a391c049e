//! The planner: from demand, policy and the runners' reports to orders.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::{Configuration, EngineSpec, OrderAction};
use barleyspar_policy::Program;

use crate::adapters::AdapterPlan;
use crate::board::Board;
use crate::decisions::{Decisions, Question};
use crate::demand::{DemandBook, ModelDemand};
use crate::models::{ModelPlan, Place};
use crate::overtaxed::mark_overtaxed;
use crate::pace::{LoadPace, PaceLimits};
use crate::store_share::StoreShare;
use crate::summary::{StepSummary, summarize};
use crate::switches::{Mechanism, Switches};
use crate::view::{RunnerView, Source};

/// Requests a second at which an adapter is in use.
const ADAPTER_RATE: f64 = 0.02;

/// Requests by which one that waits counts more for each second of waiting.
const AGING: f64 = 1.0;

/// What the planner is told once.
#[derive(Debug)]
pub struct PlannerSettings {
    /// The operators' policy: how many replicas a model may have.
    pub policy: Program,
    /// How many loads from the weight store may begin.
    pub pace: PaceLimits,
    /// What is switched off.
    pub switches: Switches,
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
    /// The model for which it is done.
    pub wanted_by: Arc<str>,
}

/// What the planner remembers of one service.
#[derive(Debug)]
struct ServiceState {
    pace: LoadPace,
    share: StoreShare,
    /// Requests that came for models while they had no replica.
    starved: BTreeMap<Arc<str>, f64>,
}

/// Decides orders. One per holder of the right to order.
#[derive(Debug)]
pub struct Planner {
    settings: PlannerSettings,
    services: BTreeMap<Arc<str>, ServiceState>,
    /// By runner, the sequence number at which a load was counted last: of all
    /// orders with one number, the runner carries out one.
    counted: BTreeMap<Arc<str>, u64>,
    decisions: Decisions,
    started: Instant,
    planned_at: Instant,
    summaries: Vec<StepSummary>,
    /// Runners whose reports the last step lacked.
    looks: Vec<Arc<str>>,
}

impl Planner {
    /// A planner of a node that may order from `now` on.
    pub fn new(settings: PlannerSettings, now: Instant) -> Self {
        Self {
            settings,
            services: BTreeMap::new(),
            counted: BTreeMap::new(),
            decisions: Decisions::default(),
            started: now,
            planned_at: now,
            summaries: Vec::new(),
            looks: Vec::new(),
        }
    }

    /// What the last step saw of each service.
    pub fn summaries(&self) -> &[StepSummary] {
        &self.summaries
    }

    /// Runners whose reports have to be read before they can be ordered.
    pub fn looks(&self) -> &[Arc<str>] {
        &self.looks
    }

    fn look_if_unread(&mut self, runner: &RunnerView) {
        if runner.unread {
            self.looks.push(runner.id.clone());
        }
    }

    /// Forgets its pace: another node may have ordered until `now`.
    pub fn restart(&mut self, now: Instant) {
        self.services.clear();
        self.counted.clear();
        self.started = now;
        self.planned_at = now;
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
        self.summaries.clear();
        self.looks.clear();
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
            // Adapters first: they take milliseconds, and wait for seconds once
            // their runner loads a model.
            let plan = AdapterPlan {
                service: &service.name,
                engine,
                demand: &adapters,
                book,
                now,
            };
            self.plan_adapters(&plan, runners, &mut orders);
            let mut state = self.service_state(&service.name);
            state.share.set_longest_load(longest_load(engine));
            follow_loads(&mut state.share, runners, now);
            mark_overtaxed(&service.name, &models, runners);
            self.count_starved(&service.name, &mut state, &models, runners, now);
            let question = Question {
                service: &service.name,
                engine,
                demand: &models,
                starved: &state.starved,
                runners,
            };
            let decided = self.decisions.decide(&self.settings.policy, &question);
            let plan = ModelPlan {
                service: &service.name,
                engine,
                demand: &models,
                starved: &state.starved.clone(),
                decided: &decided,
                adapted: &adapted,
                switches: &self.settings.switches.clone(),
                now,
            };
            let summary = self.plan_models(&plan, &mut state, runners, &mut orders);
            self.summaries.push(summary);
            self.services.insert(service.name.clone(), state);
        }
        self.planned_at = now;
        orders
    }

    fn service_state(&mut self, service: &Arc<str>) -> ServiceState {
        let (started, limits) = (self.started, self.settings.pace);
        self.services
            .remove(service)
            .unwrap_or_else(|| ServiceState {
                pace: LoadPace::new(limits, started),
                share: StoreShare::new(started),
                starved: BTreeMap::new(),
            })
    }

    /// Counts requests for models that have no replica.
    fn count_starved(
        &self,
        service: &Arc<str>,
        state: &mut ServiceState,
        demand: &BTreeMap<Arc<str>, ModelDemand>,
        runners: &[RunnerView],
        now: Instant,
    ) {
        let passed = now.saturating_duration_since(self.planned_at);
        let held: HashSet<&str> = runners
            .iter()
            .filter(|runner| runner.service == *service && runner.takes_work() && runner.reachable)
            .flat_map(|runner| &runner.models)
            .map(|held| &*held.model)
            .collect();
        let is_there = |model: &str| held.contains(model);
        let counts = self.settings.switches.is_on(Mechanism::Starvation);
        state.starved.retain(|model, _| !is_there(model));
        for (model, demand) in demand {
            let wanted = demand.rate > 0.0 || demand.waiting > 0;
            if counts && wanted && !is_there(model) {
                let starved = state.starved.entry(model.clone()).or_default();
                let a_second = demand.rate + AGING * f64::from(demand.waiting);
                *starved += a_second * passed.as_secs_f64();
            }
        }
    }

    fn plan_adapters(
        &mut self,
        plan: &AdapterPlan<'_>,
        runners: &mut [RunnerView],
        orders: &mut Vec<PlannedOrder>,
    ) {
        for (model, adapter) in plan.wanted(runners) {
            let Some((index, action)) = plan.step(runners, &model, &adapter) else {
                continue;
            };
            let runner = &mut runners[index];
            if !runner.orderable() {
                self.look_if_unread(runner);
                continue;
            }
            runner.ordered = Some(action.clone());
            orders.push(PlannedOrder {
                runner: runner.id.clone(),
                action,
                source: Source::Memory,
                wanted_by: model,
            });
        }
    }

    /// Chooses places for models that lack replicas, the best first, and orders
    /// the first step towards each.
    fn plan_models(
        &mut self,
        plan: &ModelPlan<'_>,
        state: &mut ServiceState,
        runners: &mut [RunnerView],
        orders: &mut Vec<PlannedOrder>,
    ) -> StepSummary {
        let mut board = Board::new(plan, runners);
        let rate = plan.engine.loads_per_second;
        let ready = state.pace.tokens_at(plan.now, rate);
        let mut summary = summarize(plan, &state.share, ready, board.census());
        let before = orders.len();
        // Loads from the store for which room is being made; they begin soon.
        let mut making_room = 0;
        let mut lacking: Vec<(Place, Arc<str>)> = plan
            .lacking(board.census())
            .into_iter()
            .filter_map(|model| {
                let remote = may_load(plan, state, making_room);
                let place = board.best_place(runners, &model, remote)?;
                Some((place, model))
            })
            .collect();
        while let Some((place, model)) = take_best(&mut lacking) {
            // What was done meanwhile may have changed its place and its worth.
            let remote = may_load(plan, state, making_room);
            let Some(now) = board.best_place(runners, &model, remote) else {
                continue;
            };
            if now.score < place.score {
                lacking.push((now, model));
                continue;
            }
            if !runners[now.runner].orderable() {
                self.look_if_unread(&runners[now.runner]);
                continue;
            }
            let Some(action) = self.step(plan, state, (&runners[now.runner], &model), &now) else {
                continue;
            };
            let victim = now.victims.first();
            making_room += usize::from(victim.is_some() && now.source == Source::Remote);
            board.order(runners, now.runner, &model, victim);
            let runner = &mut runners[now.runner];
            runner.ordered = Some(action.clone());
            runner.busy_until = None;
            orders.push(PlannedOrder {
                runner: runner.id.clone(),
                source: now.source,
                wanted_by: model.clone(),
                action,
            });
            let remote = may_load(plan, state, making_room);
            if plan.lacks(board.census(), &model)
                && let Some(next) = board.best_place(runners, &model, remote)
            {
                lacking.push((next, model));
            }
        }
        summary.orders = orders.len() - before;
        summary
    }

    /// The next order towards `model` at its place: to make room, or to load.
    fn step(
        &mut self,
        plan: &ModelPlan<'_>,
        state: &mut ServiceState,
        (runner, model): (&RunnerView, &Arc<str>),
        place: &Place,
    ) -> Option<OrderAction> {
        if let Some(victim) = place.victims.first() {
            let model = victim.clone();
            return Some(OrderAction::UnloadModel { model });
        }
        if place.source == Source::Remote {
            if !self.take_pace(plan, state, runner) {
                return None;
            }
            let alone = plan.engine.models.get(model)?.remote_load;
            let runner = runner.id.clone();
            state.share.begin(runner, model.clone(), alone, plan.now);
        }
        let model = model.clone();
        Some(OrderAction::LoadModel { model })
    }

    /// Counts a load from the weight store, if one may begin.
    fn take_pace(
        &mut self,
        plan: &ModelPlan<'_>,
        state: &mut ServiceState,
        runner: &RunnerView,
    ) -> bool {
        if self.counted.get(&runner.id) == Some(&runner.sequence) {
            return true;
        }
        if state.pace.ready(plan.now, plan.engine.loads_per_second) < 1.0 {
            return false;
        }
        state.pace.take();
        self.counted.insert(runner.id.clone(), runner.sequence);
        true
    }
}

/// What a load from the weight store takes by itself at most.
fn longest_load(engine: &EngineSpec) -> Duration {
    let loads = engine.models.values().map(|model| model.remote_load);
    loads.max().unwrap_or_default()
}

/// Takes in which loads from the weight store have ended.
fn follow_loads(share: &mut StoreShare, runners: &[RunnerView], now: Instant) {
    let is_held = |id: &str, model: &str| {
        let runner = runners.iter().find(|runner| &*runner.id == id)?;
        runner.open.then(|| runner.held(model).is_some())
    };
    share.update(is_held, now);
}

/// Whether a load from the store may begin beside `making_room` that will.
fn may_load(plan: &ModelPlan<'_>, state: &mut ServiceState, making_room: usize) -> bool {
    let ready = state.pace.ready(plan.now, plan.engine.loads_per_second);
    let shared = plan.switches.is_on(Mechanism::StoreShare);
    ready - making_room as f64 >= 1.0 && (!shared || state.share.has_room(making_room))
}

fn take_best(lacking: &mut Vec<(Place, Arc<str>)>) -> Option<(Place, Arc<str>)> {
    let best = (0..lacking.len()).max_by(|a, b| {
        let (a, b) = (&lacking[*a], &lacking[*b]);
        a.0.score.total_cmp(&b.0.score).then_with(|| b.1.cmp(&a.1))
    })?;
    Some(lacking.swap_remove(best))
}
