//! The dispatcher's record of a runner: its entry, its load, and what this node observed
//! of it.

use std::collections::HashMap;
use std::sync::{Arc, LazyLock};
use std::time::{Duration, Instant};

use barleyspar_catalog::{LoadedModel, ModelReference, Runner, RunnerKey, RunnerState, runner_key};

use crate::accepts_work::AcceptsWork;
use crate::health::Health;
use crate::inventory::Inventory;
use crate::rate_limit::RateLimit;
use crate::unread::UnreadPrompts;

/// Time after an inventory in which an arriving entry may still be older than the
/// inventory.
const ENTRY_LAG: Duration = Duration::from_millis(2000);
/// Longest time that a runner takes to unload a model, its last requests included.
const LONGEST_UNLOAD: Duration = Duration::from_secs(15);
/// Weight of the newest stream's event gap in the moving average.
const EVENT_GAP_WEIGHT: f64 = 0.3;
/// Time for which a runner is assumed not to hold a model, after it answered that it does
/// not hold the model.
const NOT_HELD_TIME: Duration = Duration::from_millis(1500);

/// Time for which a runner gets no more requests for a model that it refused although
/// most of its slots are free. It probably executes an order that concerns the model,
/// such as its unload.
const REFUSED_TIME: Duration = Duration::from_millis(400);

/// A runner, and what this node knows of it. A node has a record of every runner of the
/// site but uses few of them, so what it learns by using one is kept separately
/// ([`Observations`]).
#[derive(Debug)]
pub struct RunnerEntry {
    /// The newest entry from discovery, with the models of the newest inventory.
    pub runner: Arc<Runner>,
    /// Key of the runner in messages between nodes.
    pub key: RunnerKey,
    /// Number of attempts of this node in flight at the runner.
    pub in_flight: u32,
    /// Cache tokens that this node's attempts in flight at the runner may need.
    pub reserved_tokens: u64,
    /// Prompts of this node's attempts in flight that the runner has yet to read.
    pub unread: UnreadPrompts,
    /// Number of attempts of other nodes in flight at the runner, by their last reports.
    pub peer_in_flight: u32,
    /// Whether the runner has answered a call of this process.
    pub has_answered: bool,
    /// Whether another runner answered at this runner's address, so that this incarnation
    /// is gone for good.
    replaced: bool,
    /// While operators evacuate the runner's zone: the time until which it still serves
    /// what no other runner can.
    evacuation_deadline: Option<Instant>,
    observations: Option<Box<Observations>>,
}

/// What this node observed of a runner, or learnt of it from the placement leader.
#[derive(Debug, Default)]
struct Observations {
    health: Health,
    /// Shared with granted attempts that are not sent yet.
    accepts_work: Option<Arc<AcceptsWork>>,
    /// Until when the runner is cold by its own entry.
    cold_until: Option<Instant>,
    /// Until when the runner may be cold without its entry showing it.
    presumed_cold_until: Option<Instant>,
    last_sent_at: Option<Instant>,
    not_held_until: HashMap<ModelReference, Instant>,
    /// Models that the runner unloads, and until when this is assumed.
    unloading_until: HashMap<Arc<str>, Instant>,
    /// The model that the runner loads, and when the load is expected to end.
    loading: Option<(Arc<str>, Instant)>,
    /// Models that the runner is assumed to refuse though it holds them, and until when.
    refusing_until: HashMap<ModelReference, Instant>,
    last_report: Option<InventoryReport>,
    /// Models of an entry that arrived shortly after an inventory and may be older than
    /// it.
    unconfirmed_models: Option<Vec<LoadedModel>>,
    /// Usual seconds between two events of a stream, by model.
    event_gaps: HashMap<Arc<str>, f64>,
    /// The rate limit; `None` if the runner never advertised one.
    rate_limit: Option<RateLimit>,
}

/// Empty observations, returned for each runner of which this node has recorded none.
static NO_OBSERVATIONS: LazyLock<Observations> = LazyLock::new(Observations::default);

/// Sequence number and arrival time of the newest inventory that this node received of a
/// runner.
#[derive(Debug, Clone, Copy)]
struct InventoryReport {
    sequence: u64,
    at: Instant,
}

impl Observations {
    /// Whether an arriving entry may still be older than the last inventory.
    fn has_recent_report(&self, now: Instant) -> bool {
        self.last_report
            .is_some_and(|report| now.saturating_duration_since(report.at) < ENTRY_LAG)
    }
}

impl RunnerEntry {
    /// Creates the record of a runner that has just been discovered.
    pub fn new(runner: Arc<Runner>, now: Instant) -> Self {
        let mut entry = Self {
            key: runner_key(&runner.id),
            runner,
            in_flight: 0,
            reserved_tokens: 0,
            unread: UnreadPrompts::default(),
            peer_in_flight: 0,
            has_answered: false,
            replaced: false,
            evacuation_deadline: None,
            observations: None,
        };
        entry.update_cold_time(now);
        entry
    }

    fn observations(&self) -> &Observations {
        self.observations.as_deref().unwrap_or(&NO_OBSERVATIONS)
    }

    fn observations_mut(&mut self) -> &mut Observations {
        self.observations.get_or_insert_default()
    }

    /// Returns the health that this node derives from its own attempts at the runner.
    pub fn health(&self) -> &Health {
        &self.observations().health
    }

    /// Returns the runner's health for changes: to record an outcome or to block the
    /// runner.
    pub fn health_mut(&mut self) -> &mut Health {
        &mut self.observations_mut().health
    }

    /// Returns the runner's rate limit; `None` if it never advertised one.
    pub fn rate_limit(&self) -> Option<&RateLimit> {
        self.observations().rate_limit.as_ref()
    }

    /// Returns the runner's rate limit for changes; `None` if it never advertised one.
    pub fn rate_limit_mut(&mut self) -> Option<&mut RateLimit> {
        self.observations.as_mut()?.rate_limit.as_mut()
    }

    /// Stores the first limit that the runner advertises.
    pub fn set_rate_limit(&mut self, limit: RateLimit) {
        self.observations_mut().rate_limit = Some(limit);
    }

    /// Returns the state by which the gateway checks, before it sends a granted attempt,
    /// whether the runner still accepts new work. A new one is open, so this is called only
    /// while the runner accepts new work ([`Self::is_open`]).
    pub fn accepts_work(&mut self) -> Arc<AcceptsWork> {
        let deadline = self.evacuation_deadline;
        let new_state = || {
            let state = AcceptsWork::default();
            state.set_deadline(deadline);
            Arc::new(state)
        };
        self.observations_mut()
            .accepts_work
            .get_or_insert_with(new_state)
            .clone()
    }

    /// Lets granted attempts see the deadline of the evacuation, if there is one.
    fn share_evacuation_deadline(&self) {
        if let Some(accepts_work) = &self.observations().accepts_work {
            accepts_work.set_deadline(self.evacuation_deadline);
        }
    }

    /// Returns when this node last sent the runner a request; `None` if it never did.
    pub fn last_sent_at(&self) -> Option<Instant> {
        self.observations().last_sent_at
    }

    /// Records that this node sends the runner a request.
    pub fn record_send(&mut self, now: Instant) {
        self.observations_mut().last_sent_at = Some(now);
    }

    /// Updates the end of the runner's cold time from the newest entry.
    fn update_cold_time(&mut self, now: Instant) {
        let warming = self.runner.warming;
        if !warming.is_zero() || self.observations.is_some() {
            self.observations_mut().cold_until = Some(now + warming);
        }
    }

    /// Starts the evacuation of the runner: until `deadline` it gets only what no other
    /// runner can serve, and nothing from then on.
    pub fn evacuate(&mut self, deadline: Instant, now: Instant) {
        self.evacuation_deadline = Some(deadline);
        self.share_evacuation_deadline();
        if deadline <= now {
            self.close_accepts_work();
        }
    }

    /// Ends the evacuation of the runner. The runner may have gone cold just before,
    /// which its entry may show only at the next heartbeat: for `cold_time` it is assumed
    /// to be cold.
    pub fn cancel_evacuation(&mut self, cold_time: Duration, now: Instant) {
        self.evacuation_deadline = None;
        self.share_evacuation_deadline();
        if !cold_time.is_zero() {
            self.observations_mut().presumed_cold_until = Some(now + cold_time);
        }
    }

    /// Whether operators evacuate the runner's zone.
    pub fn is_evacuated(&self) -> bool {
        self.evacuation_deadline.is_some()
    }

    /// Whether the runner is cold (it has just started, and can take few requests), by
    /// its entry or by assumption after an evacuation.
    pub fn is_cold(&self, now: Instant) -> bool {
        let is_future = |until: Option<Instant>| until.is_some_and(|until| now < until);
        is_future(self.observations().cold_until)
            || is_future(self.observations().presumed_cold_until)
    }

    /// Applies an entry that arrived from discovery. Of an entry with an earlier
    /// heartbeat than the known one only the state is taken. A draining runner stays
    /// draining: an entry that shows another state is older than it appears.
    pub fn update(&mut self, arrived: Arc<Runner>, now: Instant) {
        let was_draining = self.runner.state == RunnerState::Draining;
        let is_late = arrived.heartbeat < self.runner.heartbeat;
        let state = if was_draining {
            RunnerState::Draining
        } else {
            arrived.state
        };
        let mut updated = if is_late {
            self.runner.clone()
        } else {
            arrived
        };
        if updated.state != state {
            Arc::make_mut(&mut updated).state = state;
        }
        if self.observations.is_some() && !is_late {
            self.reconcile_models(&mut updated, now);
        }
        if updated.state == RunnerState::Draining {
            self.close_accepts_work();
        }
        self.runner = updated;
        if !is_late {
            self.update_cold_time(now);
        }
    }

    /// Decides between the models of an arrived entry and those of the last inventory.
    /// Shortly after an inventory, differing models of an entry are kept aside as
    /// unconfirmed.
    fn reconcile_models(&mut self, arrived: &mut Arc<Runner>, now: Instant) {
        let known_models = self.runner.models.clone();
        let observations = self.observations_mut();
        let has_recent_report = observations.has_recent_report(now);
        observations.unconfirmed_models = None;
        if has_recent_report && arrived.models != known_models {
            let models =
                std::mem::replace(&mut Arc::make_mut(arrived).models, known_models.clone());
            observations.unconfirmed_models = Some(models);
        }
        if arrived.models != known_models {
            observations.not_held_until.clear();
        }
    }

    /// Tells granted attempts that the runner accepts no new work.
    pub fn close_accepts_work(&mut self) {
        // The state is removed from the record, since it stays closed: if the runner accepts
        // work again, attempts granted from then on share a new one.
        let accepts_work = self
            .observations
            .as_mut()
            .and_then(|observations| observations.accepts_work.take());
        if let Some(accepts_work) = accepts_work {
            accepts_work.close();
        }
    }

    /// Marks the runner as draining, also if its entry shows another state.
    pub fn mark_draining(&mut self) {
        if self.runner.state != RunnerState::Draining {
            Arc::make_mut(&mut self.runner).state = RunnerState::Draining;
        }
        self.close_accepts_work();
    }

    /// Records that another runner answered at this runner's address: this incarnation
    /// gets no more requests.
    pub fn mark_replaced(&mut self) {
        self.replaced = true;
        self.close_accepts_work();
    }

    /// Applies the runner's own report of its models; one that is older than the last is
    /// ignored.
    pub fn apply_inventory(&mut self, inventory: Inventory, now: Instant) {
        let sequence = inventory.sequence;
        let observations = self.observations_mut();
        if observations
            .last_report
            .is_some_and(|known| sequence < known.sequence)
        {
            return;
        }
        observations.last_report = Some(InventoryReport { sequence, at: now });
        observations.not_held_until.clear();
        observations.unconfirmed_models = None;
        observations.unloading_until = inventory
            .unloading
            .into_iter()
            .map(|model| (model, now + LONGEST_UNLOAD))
            .collect();
        observations.loading = inventory.loading.map(|loading| {
            let ready_in = Duration::from_millis(loading.ready_in_ms.into());
            (loading.model, now + ready_in)
        });
        if self.runner.models != inventory.models {
            Arc::make_mut(&mut self.runner).models = inventory.models;
        }
    }

    /// When the load of `model` is expected to end; `None` if the runner does not load
    /// it.
    pub fn load_ready_at(&self, model: &str) -> Option<Instant> {
        let (_, at) = self
            .observations()
            .loading
            .as_ref()
            .filter(|(loading, _)| **loading == *model)?;
        Some(*at)
    }

    /// Records that the runner answered that it does not hold `wanted`. It is assumed not
    /// to hold it for `NOT_HELD_TIME`.
    pub fn record_not_held(&mut self, wanted: ModelReference, now: Instant) {
        self.observations_mut()
            .not_held_until
            .insert(wanted, now + NOT_HELD_TIME);
    }

    /// Records that the runner refused `wanted` although most of its slots are free. It
    /// gets no requests for it for `REFUSED_TIME`.
    pub fn record_refusal(&mut self, wanted: ModelReference, now: Instant) {
        self.observations_mut()
            .refusing_until
            .insert(wanted, now + REFUSED_TIME);
    }

    /// Whether more than half of the runner's slots are free.
    pub fn has_mostly_free_slots(&self) -> bool {
        self.total_in_flight() * 2 < self.runner.slots.get()
    }

    /// Takes the usual gap between events of a stream into the moving average of its
    /// model.
    pub fn record_event_gap(&mut self, model: &Arc<str>, usual_gap: Duration) {
        let sample = usual_gap.as_secs_f64();
        self.observations_mut()
            .event_gaps
            .entry(model.clone())
            .and_modify(|known| *known += EVENT_GAP_WEIGHT * (sample - *known))
            .or_insert(sample);
    }

    /// Usual seconds between two events of a stream of `model`; `None` before the first
    /// stream.
    pub fn usual_event_gap(&self, model: &str) -> Option<f64> {
        self.observations().event_gaps.get(model).copied()
    }

    /// Whether the runner accepts new work in this node's view.
    pub fn is_open(&self, now: Instant) -> bool {
        let is_evacuated = self
            .evacuation_deadline
            .is_some_and(|deadline| deadline <= now);
        self.runner.state == RunnerState::Available && !self.replaced && !is_evacuated
    }

    /// Returns all models that the runner may hold, unconfirmed ones included, until its
    /// next entry or inventory.
    pub fn possible_models(&self) -> Vec<Arc<str>> {
        let unconfirmed = self.observations().unconfirmed_models.iter().flatten();
        self.runner
            .models
            .iter()
            .chain(unconfirmed)
            .map(|held| held.model.clone())
            .collect()
    }

    /// Whether the runner holds `wanted` in this node's view.
    pub fn holds(&self, wanted: &ModelReference, now: Instant) -> bool {
        let observations = self.observations();
        if observations
            .not_held_until
            .get(wanted)
            .is_some_and(|until| now < *until)
        {
            return false;
        }
        let unloading_until = observations.unloading_until.get(&wanted.model);
        if unloading_until.is_some_and(|until| now < *until) {
            return false;
        }
        let held = self
            .models(now)
            .iter()
            .find(|held| held.model == wanted.model);
        match (&wanted.adapter, held) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(adapter), Some(held)) => held.adapters.contains(adapter),
        }
    }

    /// Whether the runner holds `wanted` and is not assumed to refuse requests for it.
    pub fn accepts(&self, wanted: &ModelReference, now: Instant) -> bool {
        let refusing_until = self.observations().refusing_until.get(wanted);
        let is_refusing = refusing_until.is_some_and(|until| now < *until);
        !is_refusing && self.holds(wanted, now)
    }

    /// Returns the models that the runner holds. Models of an entry that followed an
    /// inventory closely count only after [`ENTRY_LAG`].
    fn models(&self, now: Instant) -> &[LoadedModel] {
        let observations = self.observations();
        match &observations.unconfirmed_models {
            Some(models) if !observations.has_recent_report(now) => models,
            _ => &self.runner.models,
        }
    }

    /// Attempts of all nodes in flight at the runner.
    pub fn total_in_flight(&self) -> u32 {
        self.in_flight + self.peer_in_flight
    }
}
