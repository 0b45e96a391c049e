//! The planner's view of a model runner.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::{
    EngineSpec, LoadedModel, ModelSpec, OrderAction, Runner, RunnerState, SoftwareVersion,
    WeightCopies,
};

/// Where a load reads the model's weights from, fastest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WeightSource {
    /// A copy in the runner's host memory.
    Memory,
    /// A copy on the runner's disk.
    Disk,
    /// The weight store, over the network; loads from it are rate-limited.
    Remote,
}

impl WeightSource {
    /// Returns the time that loading a model with `spec` takes from this source without
    /// concurrent loads.
    pub fn load_time(self, spec: &ModelSpec) -> Duration {
        match self {
            Self::Memory => spec.memory_load,
            Self::Disk => spec.disk_load,
            Self::Remote => spec.remote_load,
        }
    }
}

/// A load that a runner may still carry out. It checks then that it has accepted no other order
/// meanwhile.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PossibleLoad {
    /// Name of the model.
    pub model: Arc<str>,
    /// Number of orders that the runner had accepted when the load was ordered.
    pub sequence: u64,
    /// When it is not expected any more, if the runner answers by then.
    pub until: Instant,
}

/// Accelerator memory of a runner and its places for adapters.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunnerCapacity {
    /// Megabytes for weights and adapters together.
    pub memory_mb: f64,
    /// Maximum number of adapters loaded at once.
    pub adapters: u32,
}

impl RunnerCapacity {
    /// Returns the capacity that `engine` lists.
    pub fn of(engine: &EngineSpec) -> Self {
        Self {
            memory_mb: engine.memory_mb,
            adapters: engine.adapter_capacity,
        }
    }

    /// Returns what is in both.
    pub fn min(self, other: Self) -> Self {
        Self {
            memory_mb: self.memory_mb.min(other.memory_mb),
            adapters: self.adapters.min(other.adapters),
        }
    }
}

/// A model runner with the content of its latest report and the order in progress.
#[derive(Debug, Clone)]
pub struct RunnerView {
    /// Id of the runner's incarnation, from its discovery entry; a restart changes it.
    pub id: Arc<str>,
    /// Name of the service that the runner belongs to.
    pub service: Arc<str>,
    /// Version of the runner's software.
    pub software: SoftwareVersion,
    /// Zone in which the runner is placed, by which policies permit replicas on it.
    pub zone: Arc<str>,
    /// Whether the runner accepts new work: neither its discovery entry nor its own
    /// signals say that it is draining.
    pub available: bool,
    /// Whether operators evacuate the runner's zone: nothing is loaded on the runner, and
    /// its replicas do not count as reachable, although they may serve until the
    /// evacuation's deadline.
    pub evacuated: bool,
    /// Calls per second that the runner accepts from all nodes together; `None` if it has
    /// not recently advertised a limit.
    pub rate_limit: Option<f64>,
    /// Whether the runner may not be called now, because its rate limit is reached or it
    /// requested a pause.
    pub calls_blocked: bool,
    /// Models of this runner whose demand exceeds its rate limit and that no unlimited
    /// runner holds. Set in each planning step.
    pub over_limit: Vec<Arc<str>>,
    /// Calls per second that the rate limit leaves for further models. Set in each planning
    /// step; without a limit it is not used.
    pub spare_rate: f64,
    /// Whether the leader reads this runner's report only on demand and has not read it
    /// yet. The planner requests the report before the first order.
    pub report_unread: bool,
    /// Whether this node has a report of the runner that it read as the leader and that
    /// is not invalidated by a failed call.
    pub report_known: bool,
    /// Whether the runner answered the latest call of this node.
    pub reachable: bool,
    /// Number of orders that the runner has accepted; an order names the number it
    /// expects.
    pub sequence: u64,
    /// Whether the runner is carrying out an order, or may be.
    pub busy: bool,
    /// Models loaded on the runner, with their adapters.
    pub models: Vec<LoadedModel>,
    /// Megabytes of the weights that the runner loaded by accepted orders of this leader, by
    /// model: the largest size listed since the order. Others may have been loaded under any
    /// configuration.
    pub ordered_weights_mb: BTreeMap<Arc<str>, f64>,
    /// Capacity that was listed when the runner became known, or a lower one listed since;
    /// `None` if it is what is listed now.
    pub earlier_capacity: Option<RunnerCapacity>,
    /// Adapters being loaded, as pairs of model and adapter.
    pub pending_adapters: Vec<(Arc<str>, Arc<str>)>,
    /// Models with a copy of their weights in the runner's host memory or on its disk.
    pub copies: WeightCopies,
    /// The leader's order that the runner is carrying out or that is being sent; `None`
    /// without one.
    pub order_in_progress: Option<OrderAction>,
    /// When the order in progress is expected to end; `None` if unknown.
    pub busy_until: Option<Instant>,
    /// A load that the runner may have been ordered without an answer, by this leader or a former
    /// one, and may still carry out; `None` if there is none.
    pub possible_load: Option<PossibleLoad>,
    /// Prompt tokens that the runner reads a second, learned from its answers; `None` if
    /// it is not known.
    pub tokens_per_second: Option<f64>,
}

impl RunnerView {
    /// Creates the view of a runner of which only the discovery entry is known.
    pub fn new(runner: &Runner) -> Self {
        Self {
            id: runner.id.clone(),
            service: runner.service.clone(),
            software: runner.software.clone(),
            zone: runner.zone.clone(),
            available: runner.state == RunnerState::Available,
            evacuated: false,
            rate_limit: None,
            calls_blocked: false,
            over_limit: Vec::new(),
            spare_rate: 0.0,
            report_unread: false,
            report_known: false,
            reachable: true,
            sequence: 0,
            busy: false,
            models: runner.models.clone(),
            ordered_weights_mb: BTreeMap::new(),
            earlier_capacity: None,
            pending_adapters: Vec::new(),
            copies: runner.copies.clone(),
            order_in_progress: None,
            busy_until: None,
            possible_load: None,
            tokens_per_second: None,
        }
    }

    /// Returns whether the planner may count on the runner for new requests: it is not
    /// draining and not in an evacuated zone. Reachability is not considered.
    pub fn accepts_requests(&self) -> bool {
        self.available && !self.evacuated
    }

    /// Returns whether the planner may order the runner now.
    pub fn accepts_orders(&self) -> bool {
        let is_free = !self.busy && self.order_in_progress.is_none() && !self.calls_blocked;
        self.accepts_requests() && self.report_known && is_free
    }

    /// Returns whether the planner may order the runner now, or as soon as its report has
    /// been read.
    pub fn accepts_orders_once_read(&self) -> bool {
        self.accepts_orders() || (self.report_unread && self.accepts_requests())
    }

    /// Returns the runner's capacity: a running process gets no more than it was started with.
    pub fn capacity(&self, engine: &EngineSpec) -> RunnerCapacity {
        let listed = RunnerCapacity::of(engine);
        self.earlier_capacity
            .map_or(listed, |earlier| earlier.min(listed))
    }

    /// Returns the loaded model of this name; `None` if the runner does not hold it.
    pub fn loaded_model(&self, model: &str) -> Option<&LoadedModel> {
        self.models.iter().find(|held| &*held.model == model)
    }

    /// Returns whether the model is loaded or being loaded.
    pub fn holds_or_loads(&self, model: &str) -> bool {
        self.loaded_model(model).is_some() || self.is_loading(model)
    }

    /// Returns whether the adapter is loaded.
    pub fn holds_adapter(&self, model: &str, adapter: &str) -> bool {
        let held = self.loaded_model(model);
        held.is_some_and(|held| held.adapters.iter().any(|name| &**name == adapter))
    }

    /// Returns whether the runner may still load the model, by an order that it left unanswered.
    pub fn may_load(&self, model: &str) -> bool {
        let possible = self.possible_load.as_ref();
        possible.is_some_and(|possible| *possible.model == *model)
    }

    /// Returns whether the order in progress loads the model.
    pub fn is_loading(&self, model: &str) -> bool {
        matches!(&self.order_in_progress, Some(OrderAction::LoadModel { model: loading }) if &**loading == model)
    }

    /// Returns whether the adapter is being loaded, or the order in progress loads it.
    pub fn is_loading_adapter(&self, model: &str, adapter: &str) -> bool {
        let is_pending = self
            .pending_adapters
            .iter()
            .any(|(pending_model, name)| &**pending_model == model && &**name == adapter);
        let is_ordered = matches!(
            &self.order_in_progress,
            Some(OrderAction::LoadAdapter { model: ordered_model, adapter: name })
                if &**ordered_model == model && &**name == adapter
        );
        is_pending || is_ordered
    }

    /// Returns whether the order in progress unloads the model.
    pub fn is_unloading(&self, model: &str) -> bool {
        matches!(&self.order_in_progress, Some(OrderAction::UnloadModel { model: unloading }) if &**unloading == model)
    }

    /// Returns the fastest source from which the runner can load the model.
    pub fn weight_source(&self, model: &str) -> WeightSource {
        let has = |copies: &[Arc<str>]| copies.iter().any(|copy| &**copy == model);
        if has(&self.copies.memory) {
            WeightSource::Memory
        } else if has(&self.copies.disk) {
            WeightSource::Disk
        } else {
            WeightSource::Remote
        }
    }
}
