//! A runner as the dispatcher keeps it.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, LazyLock};
use std::time::{Duration, Instant};

use barleyspar_catalog::{HeldModel, ModelReference, Runner, RunnerState};

use crate::health::Health;
use crate::inventory::Inventory;
use crate::rate_limit::RateLimit;

/// A runner's incarnation in messages between nodes.
pub type RunnerKey = u32;

/// The key of the runner with this id.
pub fn runner_key(id: &str) -> RunnerKey {
    barleyspar_domain::rank("runner", id) as RunnerKey
}

/// Time after a report in which an entry may still be older than it.
const ENTRY_LAG: Duration = Duration::from_millis(2000);
/// Longest time that a runner takes to drop a model, its last requests included.
const LONGEST_UNLOAD: Duration = Duration::from_secs(15);
/// Weight of the newest stream's pace.
const GAP_WEIGHT: f64 = 0.3;
/// Time for which a runner is thought not to hold what it said it lacks.
const NOT_HELD_TIME: Duration = Duration::from_millis(1500);

/// Time for which a runner with room that refused a model gets no more requests
/// for it: an order that concerns the model must be under way.
const REFUSED_TIME: Duration = Duration::from_millis(400);

/// A runner with what this node knows of it. A node keeps one of every runner of the
/// site and uses few, so what is learnt by using one stands apart ([`Seen`]).
#[derive(Debug)]
pub struct RunnerEntry {
    /// The runner as discovery or the placement leader showed it last.
    pub runner: Arc<Runner>,
    /// Its key in messages between nodes.
    pub key: RunnerKey,
    /// Attempts of this node in flight.
    pub in_flight: u32,
    /// Tokens of those attempts.
    pub tokens: u64,
    /// Prompt tokens of those attempts that the runner has yet to read.
    pub unread_tokens: u64,
    /// Attempts of other nodes in flight, as they said last.
    pub peer_in_flight: u32,
    /// Whether another runner has its address: this one never comes back.
    replaced: bool,
    /// Where the operators evacuate its zone: until when it still serves what no
    /// other runner can.
    evacuated: Option<Instant>,
    seen: Option<Box<Seen>>,
}

/// What this node has seen of a runner, or was told of it by the leader.
#[derive(Debug, Default)]
struct Seen {
    health: Health,
    /// Whether it takes new work, for attempts that are about to be sent.
    open: Option<Arc<AtomicBool>>,
    /// Until when it is cold by its own entry.
    cold_until: Option<Instant>,
    /// Until when it may be cold without having said so.
    doubted_until: Option<Instant>,
    sent_at: Option<Instant>,
    lacking: HashMap<ModelReference, Instant>,
    /// Models on their way out, and until when that is believed.
    unloading: HashMap<Arc<str>, Instant>,
    /// The model that it loads, and when that is expected to be there.
    loading: Option<(Arc<str>, Instant)>,
    /// Models that it is thought to refuse though it holds them, and until when.
    refusing: HashMap<ModelReference, Instant>,
    reported: Option<Reported>,
    /// Models of an entry that may be older than the last report.
    doubtful_models: Option<Vec<HeldModel>>,
    /// Usual seconds between two events of a stream, by model.
    gaps: HashMap<Arc<str>, f64>,
    /// Its limit, if it ever named one.
    rate_limit: Option<RateLimit>,
}

/// What is known of a runner that this node never used.
static NOTHING: LazyLock<Seen> = LazyLock::new(Seen::default);

/// The last report of the runner that this node was told of.
#[derive(Debug, Clone, Copy)]
struct Reported {
    sequence: u64,
    at: Instant,
}

impl Seen {
    /// Whether an entry may still be older than the last report.
    fn is_reported_lately(&self, now: Instant) -> bool {
        self.reported
            .is_some_and(|report| now.saturating_duration_since(report.at) < ENTRY_LAG)
    }
}

impl RunnerEntry {
    /// A runner that has just been discovered.
    pub fn new(runner: Arc<Runner>, now: Instant) -> Self {
        let mut entry = Self {
            key: runner_key(&runner.id),
            runner,
            in_flight: 0,
            tokens: 0,
            unread_tokens: 0,
            peer_in_flight: 0,
            replaced: false,
            evacuated: None,
            seen: None,
        };
        entry.warms(now);
        entry
    }

    fn seen(&self) -> &Seen {
        self.seen.as_deref().unwrap_or(&NOTHING)
    }

    fn seen_mut(&mut self) -> &mut Seen {
        self.seen.get_or_insert_default()
    }

    /// Behaviour seen.
    pub fn health(&self) -> &Health {
        &self.seen().health
    }

    /// Behaviour seen, to be added to.
    pub fn health_mut(&mut self) -> &mut Health {
        &mut self.seen_mut().health
    }

    /// Its limit, if it ever named one.
    pub fn rate_limit(&self) -> Option<&RateLimit> {
        self.seen().rate_limit.as_ref()
    }

    /// Its limit, if it ever named one.
    pub fn rate_limit_mut(&mut self) -> Option<&mut RateLimit> {
        self.seen.as_mut()?.rate_limit.as_mut()
    }

    /// It has named a limit.
    pub fn set_rate_limit(&mut self, limit: RateLimit) {
        self.seen_mut().rate_limit = Some(limit);
    }

    /// Whether it takes new work, for an attempt that was granted by [`Self::is_open`].
    pub fn open(&mut self) -> Arc<AtomicBool> {
        let open = || Arc::new(AtomicBool::new(true));
        self.seen_mut().open.get_or_insert_with(open).clone()
    }

    /// When this node sent it a request last.
    pub fn sent_at(&self) -> Option<Instant> {
        self.seen().sent_at
    }

    /// Notes that this node sends it a request.
    pub fn sends(&mut self, now: Instant) {
        self.seen_mut().sent_at = Some(now);
    }

    /// Takes in for how long its newest entry says that it is cold.
    fn warms(&mut self, now: Instant) {
        let warming = self.runner.warming;
        if !warming.is_zero() || self.seen.is_some() {
            self.seen_mut().cold_until = Some(now + warming);
        }
    }

    /// The operators evacuate its zone: it gets what no other runner can serve until
    /// `last`, and nothing from then on.
    pub fn evacuate(&mut self, last: Instant, now: Instant) {
        self.evacuated = Some(last);
        if last <= now {
            self.close();
        }
    }

    /// The operators take the evacuation of its zone back. Its runners may have gone
    /// cold just before, and their entries may say so only at their next heartbeat:
    /// for `cold_time` it is thought cold.
    pub fn take_back(&mut self, cold_time: Duration, now: Instant) {
        self.evacuated = None;
        if !cold_time.is_zero() {
            self.seen_mut().doubted_until = Some(now + cold_time);
        }
    }

    /// Whether its zone is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.evacuated.is_some()
    }

    /// Whether it is cold, or may be.
    pub fn is_cold(&self, now: Instant) -> bool {
        let lasts = |until: Option<Instant>| until.is_some_and(|until| now < until);
        lasts(self.seen().cold_until) || lasts(self.seen().doubted_until)
    }

    /// Takes in a newer entry. A runner that was draining stays so: an entry
    /// that says otherwise is older than it looks.
    pub fn update(&mut self, newer: Arc<Runner>, now: Instant) {
        let drains = self.runner.state == RunnerState::Draining;
        let is_late = newer.heartbeat < self.runner.heartbeat;
        let state = if drains {
            RunnerState::Draining
        } else {
            newer.state
        };
        let mut newer = if is_late { self.runner.clone() } else { newer };
        if newer.state != state {
            Arc::make_mut(&mut newer).state = state;
        }
        if self.seen.is_some() {
            self.follow_models(&mut newer, now);
        }
        if newer.state == RunnerState::Draining {
            self.close();
        }
        self.runner = newer;
        if !is_late {
            self.warms(now);
        }
    }

    /// Weighs the models of a newer entry against the last report.
    fn follow_models(&mut self, newer: &mut Arc<Runner>, now: Instant) {
        let known = self.runner.models.clone();
        let seen = self.seen_mut();
        let fresh_report = seen.is_reported_lately(now);
        seen.doubtful_models = None;
        if fresh_report && newer.models != known {
            let models = std::mem::replace(&mut Arc::make_mut(newer).models, known.clone());
            seen.doubtful_models = Some(models);
        }
        if newer.models != known {
            seen.lacking.clear();
        }
    }

    /// Tells attempts that are about to be sent that the runner is leaving.
    pub fn close(&mut self) {
        // Attempts that are granted later, if any, have a flag of their own.
        let open = self.seen.as_mut().and_then(|seen| seen.open.take());
        if let Some(open) = open {
            open.store(false, Ordering::Relaxed);
        }
    }

    /// It leaves, whatever its entry says.
    pub fn leave(&mut self) {
        if self.runner.state != RunnerState::Draining {
            Arc::make_mut(&mut self.runner).state = RunnerState::Draining;
        }
        self.close();
    }

    /// Another runner answered at its address.
    pub fn replace(&mut self) {
        self.replaced = true;
        self.close();
    }

    /// Takes in what the runner holds, from its own report.
    pub fn update_models(&mut self, inventory: Inventory, now: Instant) {
        let sequence = inventory.sequence;
        let seen = self.seen_mut();
        if seen.reported.is_some_and(|known| sequence < known.sequence) {
            return;
        }
        seen.reported = Some(Reported { sequence, at: now });
        seen.lacking.clear();
        seen.doubtful_models = None;
        seen.unloading = inventory
            .unloading
            .into_iter()
            .map(|model| (model, now + LONGEST_UNLOAD))
            .collect();
        seen.loading = inventory.loading.map(|loading| {
            let ready_in = Duration::from_millis(loading.ready_in_ms.into());
            (loading.model, now + ready_in)
        });
        if self.runner.models != inventory.models {
            Arc::make_mut(&mut self.runner).models = inventory.models;
        }
    }

    /// When `model` is expected to be there, if the runner loads it.
    pub fn ready_at(&self, model: &str) -> Option<Instant> {
        let (_, at) = self
            .seen()
            .loading
            .as_ref()
            .filter(|(loading, _)| **loading == *model)?;
        Some(*at)
    }

    /// Remembers that the runner said it does not hold `wanted`.
    pub fn lacks(&mut self, wanted: ModelReference, now: Instant) {
        self.seen_mut().lacking.insert(wanted, now + NOT_HELD_TIME);
    }

    /// Remembers that the runner refused `wanted` although it has room.
    pub fn refuses(&mut self, wanted: ModelReference, now: Instant) {
        self.seen_mut().refusing.insert(wanted, now + REFUSED_TIME);
    }

    /// Whether most of its slots are free.
    pub fn has_much_room(&self) -> bool {
        self.total_in_flight() * 2 < self.runner.slots
    }

    /// Takes in how far apart a stream's events came.
    pub fn streamed(&mut self, model: &Arc<str>, usual_gap: Duration) {
        let sample = usual_gap.as_secs_f64();
        self.seen_mut()
            .gaps
            .entry(model.clone())
            .and_modify(|known| *known += GAP_WEIGHT * (sample - *known))
            .or_insert(sample);
    }

    /// Usual seconds between two events of a stream of `model`.
    pub fn usual_gap(&self, model: &str) -> Option<f64> {
        self.seen().gaps.get(model).copied()
    }

    /// Whether the runner takes new work.
    pub fn is_open(&self, now: Instant) -> bool {
        let is_evacuated = self.evacuated.is_some_and(|last| last <= now);
        self.runner.state == RunnerState::Available && !self.replaced && !is_evacuated
    }

    /// All models that it may be thought to hold now or later, until it is
    /// heard of again.
    pub fn possible_models(&self) -> Vec<Arc<str>> {
        let doubtful = self.seen().doubtful_models.iter().flatten();
        self.runner
            .models
            .iter()
            .chain(doubtful)
            .map(|held| held.model.clone())
            .collect()
    }

    /// Whether the runner holds `wanted`, as far as this node knows.
    pub fn holds(&self, wanted: &ModelReference, now: Instant) -> bool {
        let seen = self.seen();
        if seen.lacking.get(wanted).is_some_and(|until| now < *until) {
            return false;
        }
        let unloading = seen.unloading.get(&wanted.model);
        if unloading.is_some_and(|until| now < *until) {
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

    /// Whether the runner takes requests for `wanted`, as far as this node knows.
    pub fn takes(&self, wanted: &ModelReference, now: Instant) -> bool {
        let refusing = self.seen().refusing.get(wanted);
        let refuses = refusing.is_some_and(|until| now < *until);
        !refuses && self.holds(wanted, now)
    }

    /// The models that the runner was last said to hold; an entry that came
    /// right behind a report counts once it has stood for a while.
    fn models(&self, now: Instant) -> &[HeldModel] {
        let seen = self.seen();
        match &seen.doubtful_models {
            Some(models) if !seen.is_reported_lately(now) => models,
            _ => &self.runner.models,
        }
    }

    /// Attempts of all nodes in flight.
    pub fn total_in_flight(&self) -> u32 {
        self.in_flight + self.peer_in_flight
    }
}
