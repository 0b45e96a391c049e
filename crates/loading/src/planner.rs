//! Turns demand, policy and the runners' reports into orders.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::{Configuration, EngineSpec, OrderAction};
use barleyspar_domain::{Mechanism, Switches};
use barleyspar_policy::Program;

use crate::adapters::{AdapterPlan, ReservedPlaces};
use crate::decisions::{PolicyDecisions, PolicyQuery};
use crate::demand::ClusterDemand;
use crate::load_rate::{LoadRateLimiter, LoadRateLimits};
use crate::memory::{free_mb, model_of_unknown_size};
use crate::model_sizes::KnownSizes;
use crate::models::{ModelPlan, Placement, WantedReplica};
use crate::over_limit::mark_over_limit;
use crate::placement_index::PlacementIndex;
use crate::reading::ReadingSpeeds;
use crate::store_concurrency::StoreConcurrency;
use crate::stream_demand::models_to_load;
use crate::summary::{StepSummary, summarize};
use crate::unserved::{UnservedRequests, reachable_models};
use crate::view::{RunnerView, WeightSource};

/// Requests per second above which an adapter counts as in use.
const ADAPTER_IN_USE_RATE: f64 = 0.02;

/// Configuration of a planner, fixed when it is created.
#[derive(Debug)]
pub struct PlannerSettings {
    /// The operators' policy, which decides the number and zones of replicas for each
    /// model.
    pub policy: Program,
    /// Limits on loads from the weight store.
    pub load_rate_limits: LoadRateLimits,
    /// Planner mechanisms that are switched off for comparison runs.
    pub switches: Switches,
}

/// An order that the leader should send to a runner now.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedOrder {
    /// Id of the runner that gets the order.
    pub runner: Arc<str>,
    /// Load or unload to be carried out by the runner.
    pub action: OrderAction,
    /// Where a load reads the weights from; for the log only. The source of the load that
    /// follows for an unload that makes room, `Memory` for adapter orders.
    pub source: WeightSource,
    /// Model for which the order is given. Differs from the model of the action if an
    /// unload makes room for another model.
    pub wanted_by: Arc<str>,
    /// Megabytes counted as free at the runner before the order; for the log only.
    pub free_mb: f64,
}

/// State of one service that is kept between planning steps.
#[derive(Debug)]
struct ServiceState {
    load_rate: LoadRateLimiter,
    store_loads: StoreConcurrency,
    unserved: UnservedRequests,
}

/// Decides which orders the leader gives. Each node that can become the leader has one.
#[derive(Debug)]
pub struct Planner {
    settings: PlannerSettings,
    services: BTreeMap<Arc<str>, ServiceState>,
    /// Sequence number of each runner at its last load counted against the store's rate.
    /// A runner carries out at most one of all orders with the same number.
    counted_sequences: BTreeMap<Arc<str>, u64>,
    decisions: PolicyDecisions,
    /// When this node created or last reset the state that depends on orders: other nodes
    /// may have given orders until then.
    reset_at: Instant,
    /// Time of the latest planning step, from which the next one counts unserved
    /// requests.
    planned_at: Instant,
    summaries: Vec<StepSummary>,
    /// Runners whose unread reports kept the latest step from ordering them.
    reports_needed: Vec<Arc<str>>,
}

impl Planner {
    /// Creates the planner of a node that may give orders from `now` on.
    pub fn new(settings: PlannerSettings, now: Instant) -> Self {
        Self {
            settings,
            services: BTreeMap::new(),
            counted_sequences: BTreeMap::new(),
            decisions: PolicyDecisions::default(),
            reset_at: now,
            planned_at: now,
            summaries: Vec::new(),
            reports_needed: Vec::new(),
        }
    }

    /// Returns one summary for each service with an engine, from the latest planning
    /// step.
    pub fn summaries(&self) -> &[StepSummary] {
        &self.summaries
    }

    /// Returns the runners whose reports must be read before the orders planned for them
    /// can be given.
    pub fn reports_needed(&self) -> &[Arc<str>] {
        &self.reports_needed
    }

    fn request_report_if_unread(&mut self, runner: &RunnerView) {
        if runner.report_unread {
            self.reports_needed.push(runner.id.clone());
        }
    }

    /// Resets all state that depends on the orders given: another node may have given
    /// orders until `now`. Called when this node gains or loses the leader's lease.
    pub fn reset(&mut self, now: Instant) {
        self.services.clear();
        self.counted_sequences.clear();
        self.reset_at = now;
        self.planned_at = now;
    }

    /// Plans one step. Returns the orders to give now, at most one for each runner, and
    /// sets `order_in_progress` of their runners in `runners`. `sizes`: what models and
    /// adapters on runners take.
    pub fn plan(
        &mut self,
        configuration: &Configuration,
        sizes: &KnownSizes,
        runners: &mut [RunnerView],
        cluster_demand: &mut ClusterDemand,
        now: Instant,
    ) -> Vec<PlannedOrder> {
        let totals = cluster_demand.totals(now);
        self.summaries.clear();
        self.reports_needed.clear();
        let mut orders = Vec::new();
        for service in configuration.services.values() {
            let Some(engine) = &service.engine else {
                continue;
            };
            let mut models = BTreeMap::new();
            let mut adapters = BTreeMap::new();
            for ((demand_service, model, adapter), demand) in &totals {
                match adapter {
                    _ if *demand_service != service.name => {}
                    None => {
                        models.insert(model.clone(), *demand);
                    }
                    Some(adapter) => {
                        adapters.insert((model.clone(), adapter.clone()), *demand);
                    }
                }
            }
            let with_active_adapters: BTreeSet<Arc<str>> = adapters
                .iter()
                .filter(|(_, demand)| demand.is_active() || demand.rate > ADAPTER_IN_USE_RATE)
                .map(|((model, _), _)| model.clone())
                .collect();
            let unmet = cluster_demand.streams().unmet(&service.name, runners, now);
            // Adapters are planned first: they load in milliseconds, but would wait for
            // seconds behind a model load at the same runner.
            let plan = AdapterPlan {
                service: &service.name,
                engine,
                sizes,
                demand: &adapters,
                cluster_demand,
                unmet_by_version: &unmet,
                now,
            };
            self.plan_adapters(&plan, runners, &mut orders);
            self.unload_unknown(&plan, runners, &mut orders);
            let mut state = self.take_service_state(&service.name);
            state.store_loads.set_longest_load(longest_load(engine));
            update_store_loads(&mut state.store_loads, runners, now);
            mark_over_limit(&service.name, &models, runners);
            if self.settings.switches.is_enabled(Mechanism::Starvation) {
                let elapsed = now.saturating_duration_since(self.planned_at);
                let held = reachable_models(&service.name, runners);
                state.unserved.count(&models, &held, elapsed);
            }
            let reading_speeds = self.reading_speeds(&service.name, runners);
            let query = PolicyQuery {
                service: &service.name,
                engine,
                demand: &models,
                unserved: state.unserved.by_model(),
                reading_speeds: &reading_speeds,
                runners,
            };
            let decisions = self.decisions.decide(&self.settings.policy, &query);
            let wanted_by_streams = models_to_load(&unmet, &service.name, runners);
            let plan = ModelPlan {
                service: &service.name,
                engine,
                sizes,
                demand: &models,
                wanted_by_streams: &wanted_by_streams,
                unserved: &state.unserved.by_model().clone(),
                decisions: &decisions,
                reading_speeds: &reading_speeds,
                with_active_adapters: &with_active_adapters,
                switches: &self.settings.switches.clone(),
                now,
            };
            let mut summary = self.plan_models(&plan, &mut state, runners, &mut orders);
            summary.ignored_prompt_reports = cluster_demand.ignored_prompt_reports();
            self.summaries.push(summary);
            self.services.insert(service.name.clone(), state);
        }
        self.planned_at = now;
        orders
    }

    /// Returns the speeds at which the runners of `service` read prompts; none if reading is
    /// switched off.
    fn reading_speeds(&self, service: &str, runners: &[RunnerView]) -> ReadingSpeeds {
        if self.settings.switches.is_enabled(Mechanism::Reading) {
            ReadingSpeeds::new(service, runners)
        } else {
            ReadingSpeeds::default()
        }
    }

    /// Takes the state of `service` out of the planner, or creates it. The caller puts it
    /// back after the step.
    fn take_service_state(&mut self, service: &Arc<str>) -> ServiceState {
        let (reset_at, limits) = (self.reset_at, self.settings.load_rate_limits);
        self.services
            .remove(service)
            .unwrap_or_else(|| ServiceState {
                load_rate: LoadRateLimiter::new(limits, reset_at),
                store_loads: StoreConcurrency::new(reset_at),
                unserved: UnservedRequests::default(),
            })
    }

    fn plan_adapters(
        &mut self,
        plan: &AdapterPlan<'_>,
        runners: &mut [RunnerView],
        orders: &mut Vec<PlannedOrder>,
    ) {
        let mut places = ReservedPlaces::default();
        for missing in plan.missing_adapters(runners) {
            let order = plan.next_order(runners, &mut places, &missing);
            let Some((index, action)) = order else {
                continue;
            };
            let runner = &mut runners[index];
            if !runner.accepts_orders() {
                self.request_report_if_unread(runner);
                continue;
            }
            orders.push(PlannedOrder {
                runner: runner.id.clone(),
                action: action.clone(),
                source: WeightSource::Memory,
                wanted_by: missing.model,
                free_mb: free_mb(runner, plan.engine, plan.sizes),
            });
            runner.order_in_progress = Some(action);
        }
    }

    /// Orders the unload of models whose size is not known: they are not listed, so nobody
    /// asks for them, and nothing can be loaded beside them.
    fn unload_unknown(
        &self,
        plan: &AdapterPlan<'_>,
        runners: &mut [RunnerView],
        orders: &mut Vec<PlannedOrder>,
    ) {
        let of_service = runners
            .iter_mut()
            .filter(|runner| runner.service == *plan.service && runner.accepts_orders());
        for runner in of_service {
            let Some(model) = model_of_unknown_size(runner, plan.sizes) else {
                continue;
            };
            let action = OrderAction::UnloadModel {
                model: model.clone(),
            };
            orders.push(PlannedOrder {
                runner: runner.id.clone(),
                action: action.clone(),
                source: WeightSource::Memory,
                wanted_by: model,
                free_mb: free_mb(runner, plan.engine, plan.sizes),
            });
            runner.order_in_progress = Some(action);
        }
    }

    /// Chooses placements for models that need replicas, best score first, and orders the
    /// first step of each.
    fn plan_models(
        &mut self,
        plan: &ModelPlan<'_>,
        state: &mut ServiceState,
        runners: &mut [RunnerView],
        orders: &mut Vec<PlannedOrder>,
    ) -> StepSummary {
        let mut placements = PlacementIndex::new(plan, runners);
        let rate = plan.engine.loads_per_second;
        let ready = state.load_rate.available(plan.now, rate);
        let mut summary = summarize(plan, &state.store_loads, ready, placements.counts());
        let orders_before = orders.len();
        // Number of loads from the store that start soon, after the unloads ordered in
        // this step.
        let mut making_room = 0;
        let mut candidates: Vec<(Placement, WantedReplica)> = plan
            .wanted_replicas(placements.counts())
            .into_iter()
            .filter_map(|wanted| {
                let allow_remote = may_load_from_store(plan, state, making_room);
                let placement = placements.best_placement(runners, &wanted, allow_remote)?;
                Some((placement, wanted))
            })
            .collect();
        while let Some((placement, wanted)) = pop_best(&mut candidates) {
            // Orders given earlier in this step may have made the replica unnecessary, or
            // changed its best placement and its score.
            if !plan.is_wanted(placements.counts(), &wanted) {
                continue;
            }
            let allow_remote = may_load_from_store(plan, state, making_room);
            let Some(current) = placements.best_placement(runners, &wanted, allow_remote) else {
                continue;
            };
            if current.score < placement.score {
                candidates.push((current, wanted));
                continue;
            }
            let model = wanted.model.clone();
            if !runners[current.runner].accepts_orders() {
                self.request_report_if_unread(&runners[current.runner]);
                continue;
            }
            let Some(action) =
                self.next_order(plan, state, (&runners[current.runner], &model), &current)
            else {
                continue;
            };
            let evicted = current.evictions.first();
            making_room += usize::from(evicted.is_some() && current.source == WeightSource::Remote);
            placements.apply_order(runners, current.runner, &model, evicted);
            let runner = &mut runners[current.runner];
            orders.push(PlannedOrder {
                runner: runner.id.clone(),
                source: current.source,
                wanted_by: model.clone(),
                action: action.clone(),
                free_mb: free_mb(runner, plan.engine, plan.sizes),
            });
            runner.order_in_progress = Some(action);
            runner.busy_until = None;
            let allow_remote = may_load_from_store(plan, state, making_room);
            if wanted.for_streams.is_none()
                && plan.is_wanted(placements.counts(), &wanted)
                && let Some(next) = placements.best_placement(runners, &wanted, allow_remote)
            {
                candidates.push((next, wanted));
            }
        }
        summary.orders = orders.len() - orders_before;
        summary
    }

    /// Returns the next order that `placement` of `model` takes: the unload of an evicted
    /// model, or the load. `None` if the rate of the weight store allows no load.
    fn next_order(
        &mut self,
        plan: &ModelPlan<'_>,
        state: &mut ServiceState,
        (runner, model): (&RunnerView, &Arc<str>),
        placement: &Placement,
    ) -> Option<OrderAction> {
        if let Some(evicted) = placement.evictions.first() {
            let model = evicted.clone();
            return Some(OrderAction::UnloadModel { model });
        }
        if placement.source == WeightSource::Remote {
            if !self.consume_load_rate(plan, state, runner) {
                return None;
            }
            let time_alone = plan.engine.models.get(model)?.remote_load;
            let runner = runner.id.clone();
            state
                .store_loads
                .record_start(runner, model.clone(), time_alone, plan.now);
        }
        let model = model.clone();
        Some(OrderAction::LoadModel { model })
    }

    /// Counts a load from the weight store against the store's rate. Returns false if no
    /// load may start now. A repeated order with the same sequence number is counted
    /// once.
    fn consume_load_rate(
        &mut self,
        plan: &ModelPlan<'_>,
        state: &mut ServiceState,
        runner: &RunnerView,
    ) -> bool {
        if self.counted_sequences.get(&runner.id) == Some(&runner.sequence) {
            return true;
        }
        if state
            .load_rate
            .refill(plan.now, plan.engine.loads_per_second)
            < 1.0
        {
            return false;
        }
        state.load_rate.consume();
        self.counted_sequences
            .insert(runner.id.clone(), runner.sequence);
        true
    }
}

/// Returns the longest time that any model takes to load from the weight store without
/// concurrent loads.
fn longest_load(engine: &EngineSpec) -> Duration {
    let loads = engine.models.values().map(|model| model.remote_load);
    loads.max().unwrap_or_default()
}

/// Updates `store_loads` with the loads that have ended, from the models that runners now
/// hold.
fn update_store_loads(store_loads: &mut StoreConcurrency, runners: &[RunnerView], now: Instant) {
    let is_held = |id: &str, model: &str| {
        let runner = runners.iter().find(|runner| &*runner.id == id)?;
        runner
            .available
            .then(|| runner.loaded_model(model).is_some())
    };
    store_loads.update(is_held, now);
}

/// Returns whether another load from the weight store may start, on top of the
/// `making_room` loads that will start after their unloads.
fn may_load_from_store(plan: &ModelPlan<'_>, state: &mut ServiceState, making_room: usize) -> bool {
    let ready = state
        .load_rate
        .refill(plan.now, plan.engine.loads_per_second);
    let limited = plan.switches.is_enabled(Mechanism::StoreShare);
    ready - making_room as f64 >= 1.0 && (!limited || state.store_loads.allows_load(making_room))
}

/// Removes and returns the candidate to place first. One that broken streams wait for comes
/// before the others, since it serves all other requests of its model as well.
fn pop_best(
    candidates: &mut Vec<(Placement, WantedReplica)>,
) -> Option<(Placement, WantedReplica)> {
    let best = (0..candidates.len()).max_by(|a, b| {
        let (a, b) = (&candidates[*a], &candidates[*b]);
        let is_for_streams = |wanted: &WantedReplica| wanted.for_streams.is_some();
        is_for_streams(&a.1)
            .cmp(&is_for_streams(&b.1))
            .then_with(|| a.0.score.total_cmp(&b.0.score))
            .then_with(|| b.1.model.cmp(&a.1.model))
    })?;
    Some(candidates.swap_remove(best))
}
