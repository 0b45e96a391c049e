//! A model runner as the planner sees it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::{HeldModel, ModelSpec, OrderAction, Runner, RunnerState, WeightCopies};

/// Where a load takes the weights from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The runner's host memory.
    Memory,
    /// The runner's disk.
    Disk,
    /// The weight store.
    Remote,
}

impl Source {
    /// Time that a load of a model like `spec` takes from here.
    pub fn load_time(self, spec: &ModelSpec) -> Duration {
        match self {
            Self::Memory => spec.memory_load,
            Self::Disk => spec.disk_load,
            Self::Remote => spec.remote_load,
        }
    }
}

/// A model runner with its own report and the orders under way.
#[derive(Debug, Clone)]
pub struct RunnerView {
    /// The runner.
    pub id: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Whether it takes new work and stays.
    pub open: bool,
    /// Whether the operators want nothing more to be sent to its zone.
    pub evacuated: bool,
    /// Calls a second that it takes from all nodes together, if it named a limit a short
    /// while ago.
    pub limit: Option<f64>,
    /// Whether it may not be called now: its limit is reached, or it asked for a pause.
    pub held_back: bool,
    /// Models that are asked for more than the limit allows, and stand nowhere else.
    pub overtaxed: Vec<Arc<str>>,
    /// Whether its report was not asked for yet since this node may order it: the
    /// planner has it read before the first order.
    pub unread: bool,
    /// Whether its report is known since this node may order it.
    pub reported: bool,
    /// Whether it answered when it was last asked.
    pub reachable: bool,
    /// Orders taken.
    pub sequence: u64,
    /// Whether an order is under way, or may be.
    pub busy: bool,
    /// Models held.
    pub models: Vec<HeldModel>,
    /// Adapters on their way.
    pub pending_adapters: Vec<(Arc<str>, Arc<str>)>,
    /// Copies of weights.
    pub copies: WeightCopies,
    /// The order under way.
    pub ordered: Option<OrderAction>,
    /// When that is expected to be done.
    pub busy_until: Option<Instant>,
}

impl RunnerView {
    /// A runner of which only the discovery's entry is known.
    pub fn new(runner: &Runner) -> Self {
        Self {
            id: runner.id.clone(),
            service: runner.service.clone(),
            zone: runner.zone.clone(),
            open: runner.state == RunnerState::Available,
            evacuated: false,
            limit: None,
            held_back: false,
            overtaxed: Vec::new(),
            unread: false,
            reported: false,
            reachable: true,
            sequence: 0,
            busy: false,
            models: runner.models.clone(),
            pending_adapters: Vec::new(),
            copies: runner.copies.clone(),
            ordered: None,
            busy_until: None,
        }
    }

    /// Whether requests go there, as far as its own state and the operators say.
    pub fn takes_work(&self) -> bool {
        self.open && !self.evacuated
    }

    /// Whether the planner may order it now.
    pub fn orderable(&self) -> bool {
        let is_free = !self.busy && self.ordered.is_none() && !self.held_back;
        self.takes_work() && self.reported && is_free
    }

    /// Whether the planner may order it now, or as soon as its report is read.
    pub fn orderable_once_read(&self) -> bool {
        self.orderable() || (self.unread && self.takes_work())
    }

    /// The held model of this name.
    pub fn held(&self, model: &str) -> Option<&HeldModel> {
        self.models.iter().find(|held| &*held.model == model)
    }

    /// Whether the model is held or being loaded.
    pub fn holds_or_loads(&self, model: &str) -> bool {
        self.held(model).is_some() || self.loads(model)
    }

    /// Whether the model is being loaded.
    pub fn loads(&self, model: &str) -> bool {
        matches!(&self.ordered, Some(OrderAction::LoadModel { model: loading }) if &**loading == model)
    }

    /// Whether the model is being dropped.
    pub fn unloads(&self, model: &str) -> bool {
        matches!(&self.ordered, Some(OrderAction::UnloadModel { model: going }) if &**going == model)
    }

    /// Where a load of the model would take its weights from.
    pub fn source(&self, model: &str) -> Source {
        let has = |copies: &[Arc<str>]| copies.iter().any(|copy| &**copy == model);
        if has(&self.copies.memory) {
            Source::Memory
        } else if has(&self.copies.disk) {
            Source::Disk
        } else {
            Source::Remote
        }
    }
}
