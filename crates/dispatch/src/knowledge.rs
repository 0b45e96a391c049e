//! What the dispatcher is told of runners: by discovery, by the placement leader, and by
//! other nodes.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::{Runner, RunnerState};

use crate::dispatcher::Dispatcher;
use crate::inventory::Inventory;
use crate::runner::{RunnerEntry, RunnerKey};

impl Dispatcher {
    /// Takes in which zones the operators evacuate, and until when the runners of
    /// each still serve what no others can.
    pub fn set_evacuated(&mut self, zones: BTreeMap<Arc<str>, Instant>, now: Instant) {
        for entry in self.runners.values_mut() {
            if let Some(last) = zones.get(&entry.runner.zone) {
                entry.evacuate(*last, now);
            } else if entry.is_evacuated() {
                let service = self.configuration.services.get(&entry.runner.service);
                let cold = service.and_then(|service| service.cold);
                entry.take_back(cold.map_or(Duration::ZERO, |cold| cold.time), now);
            }
        }
        self.evacuated = zones;
    }

    /// Takes in a runner's entry. Whether it says as the first that the runner leaves.
    pub fn update_runner(&mut self, runner: impl Into<Arc<Runner>>, now: Instant) -> bool {
        let runner = runner.into();
        let id = runner.id.clone();
        let leaves = runner.state == RunnerState::Draining && self.see_leaving(&id, now);
        let before = self.possible_models(&id);
        match self.runners.get_mut(&runner.id) {
            Some(entry) => entry.update(runner, now),
            None => self.insert_runner(runner, now),
        }
        self.index(&id, &before);
        self.end_cold_starts(&id, now);
        leaves
    }

    fn insert_runner(&mut self, runner: Arc<Runner>, now: Instant) {
        let id = runner.id.clone();
        let mut entry = RunnerEntry::new(runner, now);
        entry.peer_in_flight = self.peer_loads.at(entry.key);
        if let Some(last) = self.evacuated.get(&entry.runner.zone) {
            entry.evacuate(*last, now);
        }
        if self.leaving.contains(&id) {
            entry.leave();
        }
        self.ids.insert(entry.key, id.clone());
        self.runners.insert(id, entry);
    }

    /// Models that the runner `id` may hold.
    fn possible_models(&self, id: &str) -> Vec<Arc<str>> {
        let entry = self.runners.get(id);
        entry.map(RunnerEntry::possible_models).unwrap_or_default()
    }

    /// Notes which models the runner `id` may hold, `before` which it might until now.
    fn index(&mut self, id: &Arc<str>, before: &[Arc<str>]) {
        let models = self.possible_models(id);
        self.holders.change(id, before, &models);
    }

    /// Notes that cold starts ended at the runner `id`.
    fn end_cold_starts(&mut self, id: &str, now: Instant) {
        if let Some(entry) = self.runners.get(id) {
            let service = &entry.runner.service;
            self.cold_starts
                .end(service, |wanted| entry.holds(wanted, now), now);
        }
    }

    /// Takes in what a runner holds, from its own report.
    pub fn update_models(&mut self, inventory: Inventory, now: Instant) {
        let id = inventory.runner.clone();
        let before = self.possible_models(&id);
        if let Some(entry) = self.runners.get_mut(&id) {
            entry.update_models(inventory, now);
        }
        self.index(&id, &before);
        self.end_cold_starts(&id, now);
    }

    /// Forgets a runner.
    pub fn remove_runner(&mut self, id: &str) {
        self.used.remove(id);
        self.limited.remove(id);
        if let Some(mut entry) = self.runners.remove(id) {
            self.holders
                .change(&entry.runner.id, &entry.possible_models(), &[]);
            self.ids.remove(&entry.key);
            entry.close();
        }
    }

    /// Forgets all runners but those in `kept`.
    pub fn retain_runners(&mut self, kept: &[Arc<str>]) {
        let kept: HashSet<&Arc<str>> = kept.iter().collect();
        let gone: Vec<Arc<str>> = self
            .runners
            .keys()
            .filter(|id| !kept.contains(id))
            .cloned()
            .collect();
        gone.iter().for_each(|id| self.remove_runner(id));
    }

    /// Takes in other nodes' attempts in flight, as `source` says, which will
    /// say it again within `believed_for`.
    pub fn set_peer_load(
        &mut self,
        source: Arc<str>,
        in_flight: Vec<(RunnerKey, u32)>,
        believed_for: Duration,
        now: Instant,
    ) {
        for key in self.peer_loads.update(source, in_flight, believed_for, now) {
            let id = self.ids.get(&key);
            if let Some(entry) = id.and_then(|id| self.runners.get_mut(id)) {
                entry.peer_in_flight = self.peer_loads.at(key);
            }
        }
    }
}
