//! The runners as the placement task keeps them.
//!
//! Every node may come to lead, so each keeps what discovery shows of every runner,
//! shared with its other parts. Only a leader has more of them: what they reported and
//! what they were ordered.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{Configuration, Runner, RunnerLimit, RunnerState};
use barleyspar_dispatch::{RunnerKey, runner_key};
use tokio::time::Instant;

use crate::dispatch::{LeavingRunners, Limits};
use crate::placement::entry::Entry;

/// Runners up to which a new leader reads the reports of all. Each costs a connection
/// and a probe: of more runners a report is read when the first order is to be given
/// there. A tenth of the descriptors of a small machine.
const READ_AT_ONCE: usize = 400;

/// Time between two looks at a runner that some node cannot reach.
const DOUBT_PAUSE: Duration = Duration::from_millis(400);

/// The runners.
#[derive(Default)]
pub struct Runners {
    known: BTreeMap<Arc<str>, Arc<Runner>>,
    led: BTreeMap<Arc<str>, Entry>,
    evacuated: BTreeSet<Arc<str>>,
}

impl Runners {
    /// Begins to lead: nothing of an earlier time is believed.
    pub fn lead(&mut self, configuration: &Configuration) {
        self.led.clear();
        self.cover(configuration);
    }

    /// Ends to lead.
    pub fn rest(&mut self) {
        self.led.clear();
    }

    /// Makes sure that all engines of `configuration` are led.
    pub fn cover(&mut self, configuration: &Configuration) {
        let engines: Vec<Arc<Runner>> = self
            .known
            .values()
            .filter(|runner| is_engine(configuration, runner))
            .cloned()
            .collect();
        let reads = engines.len() <= READ_AT_ONCE;
        for runner in engines {
            self.entry(&runner, reads);
        }
    }

    /// The entry of `runner`, made if there is none.
    fn entry(&mut self, runner: &Arc<Runner>, reads: bool) -> &mut Entry {
        let evacuated = self.evacuated.contains(&runner.zone);
        self.led.entry(runner.id.clone()).or_insert_with(|| {
            let mut entry = Entry::new(runner);
            entry.view.evacuated = evacuated;
            entry.view.unread = !reads;
            entry.report_at = reads.then(Instant::now);
            entry
        })
    }

    /// Takes in a runner's entry. `leads` while this node orders.
    pub fn update(&mut self, runner: Arc<Runner>, configuration: &Configuration, leads: bool) {
        let Some(runner) = self.newest(runner) else {
            return;
        };
        if !leads || !is_engine(configuration, &runner) {
            return;
        }
        let reads = self.led.len() <= READ_AT_ONCE;
        let entry = self.entry(&runner, reads);
        entry.view.open = runner.state == RunnerState::Available;
        if !entry.view.reported {
            entry.view.models = runner.models.clone();
        }
        if !runner.copies.memory.is_empty() || !runner.copies.disk.is_empty() {
            entry.view.copies = runner.copies.clone();
        }
        entry.runner = runner;
    }

    /// Keeps `runner` unless something newer is known: a runner that was draining
    /// stays so, and a lower heartbeat is a late one. What holds now, if that is new.
    fn newest(&mut self, mut runner: Arc<Runner>) -> Option<Arc<Runner>> {
        if let Some(known) = self.known.get(&runner.id) {
            let drains = [known.state, runner.state].contains(&RunnerState::Draining);
            let is_late = runner.heartbeat < known.heartbeat;
            if is_late && (!drains || known.state == RunnerState::Draining) {
                return None;
            }
            if is_late {
                runner = known.clone();
            }
            if drains && runner.state != RunnerState::Draining {
                Arc::make_mut(&mut runner).state = RunnerState::Draining;
            }
        }
        self.known.insert(runner.id.clone(), runner.clone());
        Some(runner)
    }

    /// Forgets a runner.
    pub fn remove(&mut self, id: &str) {
        self.known.remove(id);
        self.led.remove(id);
    }

    /// Forgets all runners but those in `kept`.
    pub fn retain(&mut self, kept: &[Arc<str>]) {
        let kept: BTreeSet<&Arc<str>> = kept.iter().collect();
        self.known.retain(|id, _| kept.contains(id));
        self.led.retain(|id, _| kept.contains(id));
    }

    /// Nothing is loaded for callers where nothing is sent.
    pub fn set_evacuated(&mut self, zones: BTreeSet<Arc<str>>) {
        for entry in self.led.values_mut() {
            entry.view.evacuated = zones.contains(&entry.view.zone);
        }
        self.evacuated = zones;
    }

    /// Takes in which runners said that they leave, whatever their entries say.
    pub fn set_leaving(&mut self, leaving: &LeavingRunners) {
        for id in leaving.iter() {
            if let Some(entry) = self.led.get_mut(id) {
                entry.view.open = false;
            }
        }
    }

    /// Takes in the limits that runners named lately. An order to one whose limit is
    /// reached is not given; it is not planned again before it can be.
    pub fn set_limits(&mut self, limits: &Limits) {
        let now = Instant::now();
        for (id, entry) in &mut self.led {
            let advertised = limits
                .get(id)
                .filter(|advertised| advertised.binds(now.into_std()));
            let limit = advertised.and_then(|advertised| advertised.limit);
            entry.view.limit = limit.map(RunnerLimit::per_second);
            entry.view.held_back = entry.held_back_until.is_some_and(|until| now < until);
        }
    }

    /// Looks again at runners that some node cannot reach.
    pub fn doubt(&mut self, unreachable: &[RunnerKey]) {
        if unreachable.is_empty() {
            return;
        }
        for entry in self.led.values_mut() {
            let doubted = unreachable.contains(&runner_key(&entry.runner.id));
            let asked = entry.report_at.is_some() || entry.asking;
            if doubted && !asked && entry.looked_at.elapsed() > DOUBT_PAUSE {
                entry.report_at = Some(Instant::now());
            }
        }
    }

    /// Has the reports of these runners read.
    pub fn look(&mut self, ids: &[Arc<str>]) {
        for id in ids {
            if let Some(entry) = self.led.get_mut(id) {
                entry.report_at.get_or_insert_with(Instant::now);
            }
        }
    }

    /// The runner with this id, if it is led.
    pub fn get(&self, id: &str) -> Option<&Entry> {
        self.led.get(id)
    }

    /// The runner with this id, if it is led.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Entry> {
        self.led.get_mut(id)
    }

    /// All that are led.
    pub fn led(&self) -> impl Iterator<Item = &Entry> {
        self.led.values()
    }

    /// All that are led.
    pub fn led_mut(&mut self) -> impl Iterator<Item = &mut Entry> {
        self.led.values_mut()
    }
}

/// An entry may name a service that nobody configured, and any address.
fn is_engine(configuration: &Configuration, runner: &Runner) -> bool {
    let service = configuration.services.get(&runner.service);
    service.is_some_and(|service| service.engine.is_some())
}
