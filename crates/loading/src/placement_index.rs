//! Finds the best runner for one more replica of a model. The capacity of each runner is
//! computed once per planning step, and again only after an order changed it.

use std::cell::OnceCell;
use std::collections::HashMap;
use std::sync::Arc;

use barleyspar_domain::Mechanism;

use crate::memory::free_mb;
use crate::models::{EvictionCandidate, ModelPlan, Placement, WantedReplica};
use crate::replica_counts::ReplicaCounts;
use crate::view::{RunnerView, WeightSource};

/// Time in seconds from an unload order until the runner's report confirms it: the
/// order's answer plus the report read after it.
const UNLOAD_SECONDS: f64 = 0.35;
/// Cost in seconds of placing a second replica in a zone that already has one.
const SAME_ZONE_COST: f64 = 0.3;
/// Cost in seconds of a load that blocks all adapter loads of some model while it runs.
const ADAPTERS_BLOCKED_COST: f64 = 6.0;
/// Fraction of the streams at a runner that are delayed by a load on it; measured, see
/// docs/design/placement.md.
const DISTURBED_FRACTION: f64 = 0.08;
/// Minimum time in seconds by which the value of a placement is divided, so that very
/// short loads do not get unbounded scores.
const MINIMUM_SECONDS: f64 = 0.2;

/// Capacity of one runner, independent of the model to be placed on it.
#[derive(Debug)]
struct RunnerCapacity {
    free_mb: f64,
    eviction_candidates: Vec<EvictionCandidate>,
    /// Weighted number of streams in flight at the runner, and weighted streams that
    /// start there per second.
    streams: (f64, f64),
    /// Prompt tokens a second that are expected for the models at the runner.
    prompt_tokens: f64,
}

/// Candidate runners of one service during one planning step, with the orders of that
/// step applied.
pub struct PlacementIndex<'a> {
    plan: &'a ModelPlan<'a>,
    counts: ReplicaCounts,
    capacities: Vec<OnceCell<RunnerCapacity>>,
    /// Runners that have a copy of a model's weights in host memory or on disk, by model.
    copies: HashMap<Arc<str>, Vec<(usize, WeightSource)>>,
    /// Number of runners that hold a model and accept orders now or once their report is
    /// read, by model with adapters in use.
    adapter_hosts: HashMap<Arc<str>, usize>,
}

impl<'a> PlacementIndex<'a> {
    /// Creates the index for the service of `plan`.
    pub fn new(plan: &'a ModelPlan<'a>, runners: &[RunnerView]) -> Self {
        let mut placements = Self {
            plan,
            counts: ReplicaCounts::new(plan.service, runners),
            capacities: runners.iter().map(|_| OnceCell::new()).collect(),
            copies: HashMap::new(),
            adapter_hosts: HashMap::new(),
        };
        for (index, runner) in runners.iter().enumerate() {
            if runner.service == *plan.service && runner.accepts_requests() {
                placements.index_copies(index, runner);
                placements.count_adapter_host(runner);
            }
        }
        placements
    }

    /// Returns the replica counts, including the orders already applied in this step.
    pub fn counts(&self) -> &ReplicaCounts {
        &self.counts
    }

    fn index_copies(&mut self, index: usize, runner: &RunnerView) {
        let lists = [
            (&runner.copies.memory, WeightSource::Memory),
            (&runner.copies.disk, WeightSource::Disk),
        ];
        for (models, source) in lists {
            for model in models {
                let sources = self.copies.entry(model.clone()).or_default();
                // Copies in memory are listed first and load faster, so a copy of the
                // same model on disk is skipped.
                if sources.last().is_none_or(|(indexed, _)| *indexed != index) {
                    sources.push((index, source));
                }
            }
        }
    }

    fn count_adapter_host(&mut self, runner: &RunnerView) {
        if !runner.accepts_orders_once_read() {
            return;
        }
        for loaded in &runner.models {
            if self.plan.with_active_adapters.contains(&loaded.model) {
                *self.adapter_hosts.entry(loaded.model.clone()).or_default() += 1;
            }
        }
    }

    /// Applies an order to `runners[index]` that leads to one more replica of `model`:
    /// `evicted` is unloaded first if it is given.
    pub fn apply_order(
        &mut self,
        runners: &[RunnerView],
        index: usize,
        model: &Arc<str>,
        evicted: Option<&Arc<str>>,
    ) {
        let runner = &runners[index];
        for loaded in &runner.models {
            if let Some(hosts) = self.adapter_hosts.get_mut(&loaded.model) {
                *hosts = hosts.saturating_sub(1);
            }
        }
        if let Some(evicted) = evicted {
            self.counts.remove(runner, evicted);
            self.invalidate_capacities(runners, evicted);
        }
        self.counts.add(runner, model, false);
        self.invalidate_capacities(runners, model);
        self.capacities[index] = OnceCell::new();
    }

    /// Drops the cached capacity of all runners that hold `model`: its replica count has
    /// changed, and with it the value of each replica.
    fn invalidate_capacities(&mut self, runners: &[RunnerView], model: &str) {
        for (capacity, runner) in self.capacities.iter_mut().zip(runners) {
            if capacity.get().is_some() && runner.loaded_model(model).is_some() {
                *capacity = OnceCell::new();
            }
        }
    }

    /// Returns the placement with the highest score for the replica `wanted`, or `None` if no placement is worth its cost. A runner that accepts orders only later
    /// is considered too. Loads from the weight store are considered only if
    /// `allow_remote` is true.
    pub fn best_placement(
        &self,
        runners: &[RunnerView],
        wanted: &WantedReplica,
        allow_remote: bool,
    ) -> Option<Placement> {
        let model = &wanted.model;
        let gain = self.plan.gain(&self.counts, wanted);
        let copies = self.copies.get(model).map_or(&[][..], Vec::as_slice);
        let placement = |index, source| {
            let runner: &RunnerView = &runners[index];
            let is_allowed = wanted.allows_version_of(runner);
            is_allowed
                .then(|| self.placement(runners, index, model, source, gain))
                .flatten()
        };
        let local = copies
            .iter()
            .filter_map(|(index, source)| placement(*index, *source));
        let remote_loads = (0..runners.len())
            .filter(|_| allow_remote)
            .filter(|index| !copies.iter().any(|(runner, _)| runner == index))
            .filter_map(|index| placement(index, WeightSource::Remote));
        local
            .chain(remote_loads)
            .filter(|placement| placement.score > 0.0)
            .max_by(|a, b| {
                let by_score = a.score.total_cmp(&b.score);
                by_score.then_with(|| a.runner.cmp(&b.runner))
            })
    }

    fn placement(
        &self,
        runners: &[RunnerView],
        index: usize,
        model: &Arc<str>,
        source: WeightSource,
        gain: f64,
    ) -> Option<Placement> {
        let runner = &runners[index];
        if !self.may_place(runner, model) {
            return None;
        }
        let spec = self.plan.engine.models.get(model)?;
        let capacity = self.capacities[index].get_or_init(|| self.capacity(runner));
        let load_seconds = source.load_time(spec).as_secs_f64();
        let mut seconds = self.plan.seconds_until_free(runner) + load_seconds;
        if self.counts.for_model(model).zones.contains(&runner.zone) {
            seconds += SAME_ZONE_COST;
        }
        if self.is_last_adapter_host(runner) {
            seconds += ADAPTERS_BLOCKED_COST;
        }
        let evictions = choose_evictions(capacity, spec.weights_mb)?;
        seconds += evictions.seconds;
        let disturbance = self.disturbance(capacity, load_seconds);
        let worth = self.reading_worth(runner, model, capacity, &evictions);
        let value = worth * (gain - evictions.loss - disturbance);
        Some(Placement {
            runner: index,
            evictions: evictions.models,
            source,
            score: value / seconds.max(MINIMUM_SECONDS),
        })
    }

    /// Returns whether a replica of `model` may be placed on `runner`, now or when it is
    /// free.
    fn may_place(&self, runner: &RunnerView, model: &str) -> bool {
        let may_wait = self.plan.switches.is_enabled(Mechanism::NearCopies);
        let may_order = may_wait || runner.accepts_orders_once_read();
        runner.service == *self.plan.service
            && runner.accepts_requests()
            && self.leaves_limit_kept(runner, model)
            && (runner.report_known || runner.report_unread)
            && may_order
            && runner.loaded_model(model).is_none()
            && self.leaves_policy_kept(runner, model)
            && self
                .plan
                .decisions
                .get(model)
                .is_some_and(|decision| decision.allows_zone(&runner.zone))
    }

    /// Whether the runner's rate limit, if it has one, covers the requests for `model` besides
    /// those for the models that it holds.
    fn leaves_limit_kept(&self, runner: &RunnerView, model: &str) -> bool {
        if runner.rate_limit.is_none() {
            return true;
        }
        let demand = self.plan.demand.get(model);
        demand.map_or(0.0, |demand| demand.rate) < runner.spare_rate
    }

    /// Whether the policy's number of replicas holds even if all loads are carried out that
    /// runners left unanswered. One at `runner` itself is superseded by a new order there.
    fn leaves_policy_kept(&self, runner: &RunnerView, model: &str) -> bool {
        let replicas = self.counts.for_model(model);
        let superseded = usize::from(runner.may_load(model) && !runner.is_loading(model));
        let elsewhere = replicas.possible.saturating_sub(superseded);
        replicas.total + elsewhere < self.plan.replica_limit(model)
    }

    fn capacity(&self, runner: &RunnerView) -> RunnerCapacity {
        RunnerCapacity {
            free_mb: free_mb(runner, self.plan.engine, self.plan.sizes),
            eviction_candidates: self.plan.eviction_candidates(&self.counts, runner),
            streams: self.plan.stream_load(&self.counts, runner),
            prompt_tokens: self.plan.prompt_tokens_at(&self.counts, runner),
        }
    }

    /// Returns the cost of a load that takes `seconds` to the streams at the same runner:
    /// their decoding steps take longer during the load.
    fn disturbance(&self, capacity: &RunnerCapacity, seconds: f64) -> f64 {
        if !self.plan.switches.is_enabled(Mechanism::Disturbance) {
            return 0.0;
        }
        let (present, starting_per_second) = capacity.streams;
        DISTURBED_FRACTION * (present + starting_per_second * seconds)
    }

    /// Returns the factor by which the prompts that `runner` reads for its other models
    /// reduce the value of placing `model` there. It is never 0, so that a model with no
    /// better place is loaded nevertheless.
    fn reading_worth(
        &self,
        runner: &RunnerView,
        model: &str,
        capacity: &RunnerCapacity,
        evictions: &Evictions,
    ) -> f64 {
        let replicas = self.counts.for_model(model).reachable + 1;
        let own = self.plan.prompt_tokens_per_replica(model, replicas);
        let others = (capacity.prompt_tokens - evictions.prompt_tokens).max(0.0);
        self.plan.reading_speeds.relative_worth(runner, own, others)
    }

    /// Returns whether a load on `runner` would leave no runner able to load adapters for
    /// some model whose adapters are in use.
    fn is_last_adapter_host(&self, runner: &RunnerView) -> bool {
        let this_runner = usize::from(runner.accepts_orders_once_read());
        runner
            .models
            .iter()
            .filter(|loaded| self.plan.with_active_adapters.contains(&loaded.model))
            .any(|loaded| {
                self.adapter_hosts.get(&loaded.model).copied().unwrap_or(0) <= this_runner
            })
    }
}

/// Replicas to evict from a runner to free memory.
#[derive(Debug, Default)]
struct Evictions {
    models: Vec<Arc<str>>,
    /// Value lost, in weighted requests.
    loss: f64,
    /// Time in seconds that the unloads take.
    seconds: f64,
    /// Prompt tokens a second that were expected for the evicted replicas.
    prompt_tokens: f64,
}

/// Chooses the cheapest replicas to evict until `needed_mb` are free; `None` if not enough
/// memory can be freed.
fn choose_evictions(capacity: &RunnerCapacity, needed_mb: f64) -> Option<Evictions> {
    let mut missing = needed_mb - capacity.free_mb;
    let mut evictions = Evictions::default();
    let mut cheapest = capacity.eviction_candidates.iter();
    while missing > 0.0 {
        let candidate = cheapest.next()?;
        missing -= candidate.weights_mb;
        evictions.models.push(candidate.model.clone());
        evictions.loss += candidate.loss;
        evictions.seconds += UNLOAD_SECONDS + candidate.drain_seconds;
        evictions.prompt_tokens += candidate.prompt_tokens;
    }
    Some(evictions)
}
