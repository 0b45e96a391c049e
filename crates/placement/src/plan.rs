//! What a keeper does next: a pure function of the inventory, the log's state
//! and what routers wait for.
//!
//! Invariant: a load is planned only if the runner's grant, for the engine's
//! current incarnation, allows it, and only into memory that the newest
//! inventory shows free. An inventory counts memory from the moment a load
//! order is taken until an unload is done.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_control_log::ControlState;
use barleyspar_domain::{AdapterName, AdapterSpec, HolderState, ModelName, ModelSpec, RunnerName};
use barleyspar_platform::engine::{Action, HeldModel, HoldState, Inventory};
use barleyspar_policy::Decision;
use tokio::time::Instant;

use crate::eviction;

/// A model, with or without an adapter, that requests ask for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Target {
    /// The model.
    pub model: ModelName,
    /// The adapter.
    pub adapter: Option<AdapterName>,
}

/// Whether and when a target can be had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It is held.
    Ready,
    /// It is being loaded, or can be.
    Possible,
    /// The runner is not granted the model, or the object is unknown.
    NotGranted,
    /// There is no memory that could be freed for it now.
    NoMemory,
    /// The runner may hold it, but other runners that must give it up have not
    /// confirmed yet.
    Withdrawing,
}

/// What planning looks at.
pub struct Situation<'a> {
    /// The runner.
    pub runner: &'a RunnerName,
    /// Its newest inventory.
    pub inventory: &'a Inventory,
    /// Time since that inventory was taken.
    pub inventory_age: Duration,
    /// The log's state.
    pub state: &'a ControlState,
    /// Decisions for the models that are held, wanted or asked about here.
    pub decisions: &'a BTreeMap<ModelName, Arc<Decision>>,
    /// Targets that requests wait for, with their earliest deadline.
    pub wants: &'a BTreeMap<Target, Instant>,
    /// Keep-alive where the policy does not say.
    pub default_keep_alive: Duration,
    /// Idle time before a model may make room for another.
    pub shortest_residency: Duration,
}

impl Situation<'_> {
    /// Whether this runner, in this incarnation, may hold `model`.
    ///
    /// The grant may lag behind a policy that was lowered a moment ago, for as
    /// long as the key-value service is down. So the newest decision counts too:
    /// only as many holders as it decides, the first ones, may hold the model.
    pub fn is_granted(&self, model: &ModelName) -> bool {
        let Some(grant) = self.state.grants().get(model) else {
            return false;
        };
        let same_life = grant
            .holder(self.runner)
            .is_some_and(|holder| holder.incarnation == self.inventory.incarnation);
        let mut granted = grant
            .holders
            .iter()
            .filter(|holder| holder.state == HolderState::Granted);
        let place = granted.position(|holder| &holder.runner == self.runner);
        same_life
            && place.is_some_and(|place| place < self.decided(model) as usize)
            && self.state.model(model).is_some()
    }

    /// The number of replicas decided now.
    fn decided(&self, model: &ModelName) -> u32 {
        let granted = self
            .state
            .grants()
            .get(model)
            .map_or(0, |grant| grant.decided);
        let decision = self.decisions.get(model);
        decision.map_or(granted, |decision| decision.replicas)
    }

    /// Whether a load may begin: not while more runners than are decided may
    /// still hold the model. A runner that is cut off may hold what it must give
    /// up for as long as the cut lasts; until it confirms, it counts.
    fn may_begin_load(&self, model: &ModelName) -> bool {
        let holders = self
            .state
            .grants()
            .get(model)
            .map_or(0, |grant| grant.holders.len());
        self.is_granted(model) && holders <= self.decided(model) as usize
    }

    /// How `target` stands.
    pub fn standing(&self, target: &Target) -> Standing {
        if self.is_ready(target) {
            return Standing::Ready;
        }
        let Some(needed) = self.needed_bytes(target) else {
            return Standing::NotGranted;
        };
        if !self.is_granted(&target.model) {
            return Standing::NotGranted;
        }
        let absent = self.inventory.held(&target.model).is_none();
        if absent && !self.may_begin_load(&target.model) {
            return Standing::Withdrawing;
        }
        let free = self.free_bytes() + self.bytes_being_freed();
        if needed <= free || self.victims(target, needed - free).is_some() {
            return Standing::Possible;
        }
        Standing::NoMemory
    }

    fn is_ready(&self, target: &Target) -> bool {
        let Some(held) = self.inventory.held(&target.model) else {
            return false;
        };
        let adapter_ready = target.adapter.as_ref().is_none_or(|adapter| {
            let mut adapters = held.adapters.iter();
            adapters.any(|a| &a.adapter == adapter && a.state == HoldState::Loaded)
        });
        held.state == HoldState::Loaded && adapter_ready
    }

    /// Memory that loading what is missing of `target` takes; `None` if the
    /// model or adapter does not exist.
    fn needed_bytes(&self, target: &Target) -> Option<u64> {
        let model = self.state.model(&target.model)?;
        let held = self.inventory.held(&target.model);
        let base = held.map_or(model.memory_bytes, |_| 0);
        let Some(name) = &target.adapter else {
            return Some(base);
        };
        let adapter = self.state.adapter(name)?;
        let held = held.filter(|h| h.adapters.iter().any(|a| &a.adapter == name));
        Some(base + held.map_or(adapter.memory_bytes, |_| 0))
    }

    fn free_bytes(&self) -> u64 {
        let used = self.inventory.used_bytes();
        self.inventory.memory_bytes.saturating_sub(used)
    }

    fn bytes_being_freed(&self) -> u64 {
        let unloading = self.inventory.models.iter();
        unloading
            .filter(|held| held.state == HoldState::Unloading)
            .map(HeldModel::total_bytes)
            .sum()
    }

    fn victims(&self, target: &Target, bytes: u64) -> Option<Vec<ModelName>> {
        let mut candidates = eviction::candidates(
            &self.inventory.models,
            self.inventory_age,
            self.shortest_residency,
        );
        candidates.retain(|candidate| candidate.model != target.model);
        candidates.retain(|candidate| !self.is_waited_for(&candidate.model));
        eviction::choose(candidates, bytes)
    }

    fn is_waited_for(&self, model: &ModelName) -> bool {
        self.wants.keys().any(|target| &target.model == model)
    }

    /// The next order to give, if any.
    pub fn next_action(&self) -> Option<Action> {
        self.unload_not_granted()
            .or_else(|| self.serve_wants())
            .or_else(|| self.prewarm())
            .or_else(|| self.unload_idle())
    }

    fn unload_not_granted(&self) -> Option<Action> {
        let outdated = |held: &HeldModel| {
            let spec = self.state.model(&held.model);
            spec.is_some_and(|spec| spec.version != held.version) && held.running == 0
        };
        let mut held = self.inventory.models.iter();
        held.find(|held| {
            let present = held.state != HoldState::Unloading;
            present && (!self.is_granted(&held.model) || outdated(held))
        })
        .map(|held| unload(&held.model))
    }

    fn serve_wants(&self) -> Option<Action> {
        let mut wants: Vec<(&Target, &Instant)> = self.wants.iter().collect();
        wants.sort_by_key(|(_, deadline)| **deadline);
        let targets = wants.into_iter().map(|(target, _)| target);
        let mut open = targets.filter(|target| self.standing(target) == Standing::Possible);
        open.find_map(|target| self.serve(target))
    }

    fn serve(&self, target: &Target) -> Option<Action> {
        let (load, needed) = self.next_load(target)?;
        let free = self.free_bytes();
        if needed <= free {
            return Some(load);
        }
        let missing = needed - free;
        if missing <= self.bytes_being_freed() {
            return None;
        }
        let victims = self.victims(target, missing - self.bytes_being_freed())?;
        victims.first().map(unload)
    }

    /// The load that `target` lacks next, and the memory it takes.
    fn next_load(&self, target: &Target) -> Option<(Action, u64)> {
        let model = self.state.model(&target.model)?;
        let Some(held) = self.inventory.held(&target.model) else {
            return Some((load_model(model), model.memory_bytes));
        };
        if held.state != HoldState::Loaded {
            return None;
        }
        let adapter = self.state.adapter(target.adapter.as_ref()?)?;
        if held.adapters.iter().any(|a| a.adapter == adapter.name) {
            return None;
        }
        Some((load_adapter(adapter), adapter.memory_bytes))
    }

    /// Loads a model whose policy wants it warm, into free memory only, at the
    /// first runner of its grant.
    fn prewarm(&self) -> Option<Action> {
        let mut warm = self
            .decisions
            .iter()
            .filter(|(_, decision)| decision.prewarm);
        warm.find_map(|(name, _)| {
            let model = self.state.model(name)?;
            let first = self.state.grants().get(name)?.holders.first()?;
            let here = &first.runner == self.runner && self.may_begin_load(name);
            let absent = self.inventory.held(name).is_none();
            (here && absent && model.memory_bytes <= self.free_bytes()).then(|| load_model(model))
        })
    }

    fn unload_idle(&self) -> Option<Action> {
        let idle = eviction::candidates(&self.inventory.models, self.inventory_age, Duration::ZERO);
        let mut expired = idle.into_iter().filter(|candidate| {
            let decision = self.decisions.get(&candidate.model);
            let kept_warm = decision.is_some_and(|decision| decision.prewarm);
            !kept_warm
                && !self.is_waited_for(&candidate.model)
                && candidate.idle >= self.keep_alive(&candidate.model)
        });
        expired.next().map(|candidate| unload(&candidate.model))
    }

    fn keep_alive(&self, model: &ModelName) -> Duration {
        let decision = self.decisions.get(model);
        decision
            .and_then(|decision| decision.keep_alive_seconds)
            .map_or(self.default_keep_alive, Duration::from_secs)
    }
}

fn unload(model: &ModelName) -> Action {
    Action::UnloadModel {
        model: model.clone(),
    }
}

fn load_model(model: &ModelSpec) -> Action {
    Action::LoadModel {
        model: model.name.clone(),
        version: model.version.clone(),
        memory_bytes: model.memory_bytes,
    }
}

fn load_adapter(adapter: &AdapterSpec) -> Action {
    Action::LoadAdapter {
        adapter: adapter.name.clone(),
        base: adapter.base.clone(),
        version: adapter.version.clone(),
        memory_bytes: adapter.memory_bytes,
    }
}
