//! The runners as the placement task tracks them.
//!
//! Any node may become the leader, so each keeps the store's entry of every runner,
//! shared with the other parts of the node. Only the leader also tracks their reports
//! and orders.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{Configuration, EngineSpec, Runner, RunnerLimit, RunnerState};
use barleyspar_dispatch::{Inventory, RunnerKey, runner_key};
use barleyspar_loading::{HeldCopies, PossibleLoad, RunnerCapacity};
use tokio::time::Instant;

use crate::dispatch::{AdvertisedLimits, DrainingRunners};
use crate::placement::tracked_runner::{TrackedRunner, note_possible_load};

/// Maximum number of runners for which a new leader reads all reports at once. Each
/// read costs a connection and a probe; with more runners, a report is read when the
/// first order for the runner is planned. These connections take a tenth of the
/// descriptors of a small machine.
const MAX_INITIAL_REPORTS: usize = 400;

/// Minimum time between two reads of the report of a runner that some node cannot
/// reach.
const UNREACHABLE_REPORT_PAUSE: Duration = Duration::from_millis(400);

/// All runners in the store and, on the leader, the state of those that it may give
/// orders.
#[derive(Default)]
pub struct Runners {
    known: BTreeMap<Arc<str>, Arc<Runner>>,
    tracked: BTreeMap<Arc<str>, TrackedRunner>,
    evacuated: BTreeSet<Arc<str>>,
    /// The last load that a leader published as ordered, by runner: model, and number of orders
    /// that the runner had accepted before.
    published_loads: BTreeMap<Arc<str>, (Arc<str>, u64)>,
    /// Capacities of the runners that were known before more was listed for their service.
    earlier_capacities: BTreeMap<Arc<str>, RunnerCapacity>,
}

impl Runners {
    /// Starts leading: drops the state of an earlier term and tracks the engines of
    /// `configuration`.
    pub fn start_leading(&mut self, configuration: &Configuration) {
        self.tracked.clear();
        self.track_engines(configuration);
        for (id, (model, sequence)) in &self.published_loads {
            if let Some(entry) = self.tracked.get_mut(id) {
                note_possible_load(&mut entry.view, model, *sequence);
            }
        }
    }

    /// Notes which load the leader has ordered at a runner, by the inventory that it published;
    /// one without a load ends the one before.
    pub fn note_published(&mut self, inventory: &Inventory) {
        let id = inventory.runner.clone();
        match &inventory.loading {
            Some(loading) if self.known.contains_key(&id) => {
                let load = (loading.model.clone(), inventory.sequence);
                self.published_loads.insert(id, load);
            }
            _ => {
                self.published_loads.remove(&id);
            }
        }
    }

    /// Stops leading: drops the state of reports and orders.
    pub fn stop_leading(&mut self) {
        self.tracked.clear();
    }

    /// Tracks all runners whose service has an engine in `configuration`.
    pub fn track_engines(&mut self, configuration: &Configuration) {
        let engines: Vec<Arc<Runner>> = self
            .known
            .values()
            .filter(|runner| is_engine(configuration, runner))
            .cloned()
            .collect();
        let reads_report = engines.len() <= MAX_INITIAL_REPORTS;
        for runner in engines {
            self.entry(&runner, reads_report);
        }
    }

    /// Keeps the capacities that `former` listed for the known runners whose service has more in
    /// `configuration`: processes that run do not grow.
    pub fn keep_capacities(&mut self, former: &Configuration, configuration: &Configuration) {
        for runner in self.known.values() {
            let engines = [former, configuration].map(|listing| engine_of(listing, runner));
            let [Some(former), Some(present)] =
                engines.map(|engine| engine.map(RunnerCapacity::of))
            else {
                continue;
            };
            if former.min(present) != present {
                let kept = self.earlier_capacities.entry(runner.id.clone());
                kept.and_modify(|kept| *kept = kept.min(former))
                    .or_insert(former);
            }
        }
        for (id, entry) in &mut self.tracked {
            entry.view.earlier_capacity = self.earlier_capacities.get(id).copied();
        }
    }

    /// Raises the sizes of the copies that this leader ordered to those that `configuration`
    /// lists: a runner loads the newest size, which this node may have learned only later.
    pub fn raise_ordered_sizes(&mut self, configuration: &Configuration) {
        for entry in self.tracked.values_mut() {
            entry.raise_ordered_sizes(configuration);
        }
    }

    /// Returns what the runners hold, load or may load.
    pub fn held_copies(&self, configuration: &Configuration) -> HeldCopies {
        let mut copies = HeldCopies::default();
        for runner in self.known.values() {
            for held in &runner.models {
                copies.add_named(&runner.service, &held.model);
            }
        }
        for entry in self.tracked.values() {
            if let Some(engine) = engine_of(configuration, &entry.runner) {
                copies.add_runner(&entry.view, engine);
            }
        }
        copies
    }

    /// Returns the tracked entry of `runner`, created if there is none; `reads_report`
    /// tells whether a new entry's report is read at once.
    fn entry(&mut self, runner: &Arc<Runner>, reads_report: bool) -> &mut TrackedRunner {
        let evacuated = self.evacuated.contains(&runner.zone);
        let earlier_capacity = self.earlier_capacities.get(&runner.id).copied();
        self.tracked.entry(runner.id.clone()).or_insert_with(|| {
            let mut entry = TrackedRunner::new(runner);
            entry.view.evacuated = evacuated;
            entry.view.earlier_capacity = earlier_capacity;
            entry.view.report_unread = !reads_report;
            entry.report_at = reads_report.then(Instant::now);
            entry
        })
    }

    /// Applies a runner's entry in the store. `leads` tells whether this node is the
    /// leader.
    pub fn update(&mut self, runner: Arc<Runner>, configuration: &Configuration, leads: bool) {
        let Some(runner) = self.merge_entry(runner) else {
            return;
        };
        if !leads || !is_engine(configuration, &runner) {
            return;
        }
        let reads_report = self.tracked.len() <= MAX_INITIAL_REPORTS;
        let entry = self.entry(&runner, reads_report);
        entry.view.available = runner.state == RunnerState::Available;
        if !entry.view.report_known {
            entry.view.models = runner.models.clone();
        }
        if !runner.copies.memory.is_empty() || !runner.copies.disk.is_empty() {
            entry.view.copies = runner.copies.clone();
        }
        entry.runner = runner;
    }

    /// Merges `runner` with the known entry and returns the result, or `None` if it
    /// adds nothing. A draining runner stays draining, and a lower heartbeat marks a
    /// late entry.
    fn merge_entry(&mut self, mut runner: Arc<Runner>) -> Option<Arc<Runner>> {
        if let Some(known) = self.known.get(&runner.id) {
            let is_draining = [known.state, runner.state].contains(&RunnerState::Draining);
            let is_late = runner.heartbeat < known.heartbeat;
            if is_late && (!is_draining || known.state == RunnerState::Draining) {
                return None;
            }
            if is_late {
                runner = known.clone();
            }
            if is_draining && runner.state != RunnerState::Draining {
                Arc::make_mut(&mut runner).state = RunnerState::Draining;
            }
        }
        self.known.insert(runner.id.clone(), runner.clone());
        Some(runner)
    }

    /// Drops a runner, so that it gets no orders.
    pub fn remove(&mut self, id: &str) {
        self.known.remove(id);
        self.tracked.remove(id);
        self.published_loads.remove(id);
        self.earlier_capacities.remove(id);
    }

    /// Drops all runners whose ids are not in `kept`.
    pub fn retain(&mut self, kept: &[Arc<str>]) {
        let kept: BTreeSet<&Arc<str>> = kept.iter().collect();
        self.known.retain(|id, _| kept.contains(id));
        self.tracked.retain(|id, _| kept.contains(id));
        self.published_loads.retain(|id, _| kept.contains(id));
        self.earlier_capacities.retain(|id, _| kept.contains(id));
    }

    /// Sets the zones under evacuation. Their runners get no requests, so nothing is
    /// loaded there for callers.
    pub fn set_evacuated(&mut self, zones: BTreeSet<Arc<str>>) {
        for entry in self.tracked.values_mut() {
            entry.view.evacuated = zones.contains(&entry.view.zone);
        }
        self.evacuated = zones;
    }

    /// Excludes draining runners from orders, even those whose entries in the store do
    /// not show yet that they drain.
    pub fn set_draining(&mut self, draining: &DrainingRunners) {
        for id in draining.iter() {
            if let Some(entry) = self.tracked.get_mut(id) {
                entry.view.available = false;
            }
        }
    }

    /// Applies the rate limits that runners advertised. An order to a runner whose
    /// limit is reached is not sent, and is planned again only once the runner may be
    /// called.
    pub fn set_limits(&mut self, limits: &AdvertisedLimits) {
        let now = Instant::now();
        for (id, entry) in &mut self.tracked {
            let advertised = limits
                .get(id)
                .filter(|advertised| advertised.is_current(now.into_std()));
            let limit = advertised.and_then(|advertised| advertised.limit);
            entry.view.rate_limit = limit.map(RunnerLimit::per_second);
            entry.view.calls_blocked = entry.no_calls_until.is_some_and(|until| now < until);
        }
    }

    /// Applies the learned reading speeds, in prompt tokens a second. Runners that are not
    /// among them have none.
    pub fn set_reading_speeds(&mut self, speeds: &[(RunnerKey, f64)]) {
        let speeds: HashMap<RunnerKey, f64> = speeds.iter().copied().collect();
        for (id, entry) in &mut self.tracked {
            entry.view.tokens_per_second = speeds.get(&runner_key(id)).copied();
        }
    }

    /// Forgets the loads left unanswered that are not expected any more.
    pub fn forget_late_loads(&mut self) {
        let now = Instant::now().into_std();
        for entry in self.tracked.values_mut() {
            let view = &mut entry.view;
            let answers = view.report_known;
            let is_over = |possible: &PossibleLoad| answers && possible.until <= now;
            if view.possible_load.as_ref().is_some_and(is_over) {
                view.possible_load = None;
            }
        }
    }

    /// Schedules a read of the reports of the runners in `unreachable`, which some node
    /// cannot reach, unless one was read within [`UNREACHABLE_REPORT_PAUSE`].
    pub fn reread_unreachable(&mut self, unreachable: &[RunnerKey]) {
        if unreachable.is_empty() {
            return;
        }
        for entry in self.tracked.values_mut() {
            let is_unreachable = unreachable.contains(&runner_key(&entry.runner.id));
            let is_requested = entry.report_at.is_some() || entry.report_in_progress;
            if is_unreachable
                && !is_requested
                && entry.report_requested_at.elapsed() > UNREACHABLE_REPORT_PAUSE
            {
                entry.report_at = Some(Instant::now());
            }
        }
    }

    /// Schedules a read of the reports of these runners, unless one is scheduled
    /// already.
    pub fn request_reports(&mut self, ids: &[Arc<str>]) {
        for id in ids {
            if let Some(entry) = self.tracked.get_mut(id) {
                entry.report_at.get_or_insert_with(Instant::now);
            }
        }
    }

    /// Returns the tracked runner with this id; `None` if it has no engine or this node
    /// does not lead.
    pub fn get(&self, id: &str) -> Option<&TrackedRunner> {
        self.tracked.get(id)
    }

    /// Returns the tracked runner with this id, for changes; `None` if it has no engine
    /// or this node does not lead.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut TrackedRunner> {
        self.tracked.get_mut(id)
    }

    /// The runners that the leader may give orders; empty unless this node leads.
    pub fn tracked(&self) -> impl Iterator<Item = &TrackedRunner> {
        self.tracked.values()
    }

    /// The runners that the leader may give orders; empty unless this node leads.
    pub fn tracked_mut(&mut self) -> impl Iterator<Item = &mut TrackedRunner> {
        self.tracked.values_mut()
    }
}

/// Whether the runner's service has an engine; false if the runner's entry names a
/// service that is not configured.
fn is_engine(configuration: &Configuration, runner: &Runner) -> bool {
    engine_of(configuration, runner).is_some()
}

/// What `configuration` lists of the engine of the runner's service; `None` if it lists none.
fn engine_of<'a>(configuration: &'a Configuration, runner: &Runner) -> Option<&'a EngineSpec> {
    let service = configuration.services.get(&runner.service)?;
    service.engine.as_ref()
}
