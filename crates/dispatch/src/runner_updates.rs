//! Updates of the dispatcher's view of the runners: entries from discovery, inventories
//! from the placement leader, and loads from other nodes.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::{Runner, RunnerKey, RunnerState};

use crate::dispatcher::Dispatcher;
use crate::inventory::Inventory;
use crate::runner::RunnerEntry;

impl Dispatcher {
    /// Sets the zones that operators evacuate, each with the time until which its runners
    /// still serve what no other runner can. Runners of a zone that is left out serve as
    /// before.
    pub fn set_evacuated_zones(&mut self, zones: BTreeMap<Arc<str>, Instant>, now: Instant) {
        for entry in self.runners.values_mut() {
            if let Some(deadline) = zones.get(&entry.runner.zone) {
                entry.evacuate(*deadline, now);
            } else if entry.is_evacuated() {
                let service = self.configuration.services.get(&entry.runner.service);
                let cold = service.and_then(|service| service.cold);
                entry.cancel_evacuation(cold.map_or(Duration::ZERO, |cold| cold.time), now);
            }
        }
        self.evacuated_zones = zones;
    }

    /// Applies the newest entry of a runner. Returns whether the entry is the first
    /// signal that this runner is draining.
    pub fn update_runner(&mut self, runner: impl Into<Arc<Runner>>, now: Instant) -> bool {
        let runner = runner.into();
        let id = runner.id.clone();
        let starts_draining =
            runner.state == RunnerState::Draining && self.record_draining_entry(&id, now);
        let before = self.possible_models(&id);
        match self.runners.get_mut(&runner.id) {
            Some(entry) => entry.update(runner, now),
            None => self.insert_runner(runner, now),
        }
        self.update_holders(&id, &before);
        self.end_cold_starts(&id, now);
        starts_draining
    }

    fn insert_runner(&mut self, runner: Arc<Runner>, now: Instant) {
        let id = runner.id.clone();
        self.end_former_runners(&runner, now);
        self.arrivals.record_presence(&id);
        self.software_history
            .record(&runner.service, &runner.software, now);
        let mut entry = RunnerEntry::new(runner, now);
        entry.peer_in_flight = self.peer_loads.in_flight_at(entry.key);
        if let Some(deadline) = self.evacuated_zones.get(&entry.runner.zone) {
            entry.evacuate(*deadline, now);
        }
        if self.draining.contains(&id) {
            entry.mark_draining();
        }
        self.runner_ids_by_key.insert(entry.key, id.clone());
        self.runners.insert(id, entry);
    }

    /// Returns the models that the runner `id` may hold; empty for an unknown runner.
    fn possible_models(&self, id: &str) -> Vec<Arc<str>> {
        let entry = self.runners.get(id);
        entry.map(RunnerEntry::possible_models).unwrap_or_default()
    }

    /// Updates the index of holders after a change of the runner `id`; `before` lists the
    /// models that it may have held until now.
    fn update_holders(&mut self, id: &Arc<str>, before: &[Arc<str>]) {
        let models = self.possible_models(id);
        self.holders.replace_models(id, before, &models);
    }

    /// Ends the recorded cold starts of models that the runner `id` now holds.
    fn end_cold_starts(&mut self, id: &str, now: Instant) {
        if let Some(entry) = self.runners.get(id) {
            let service = &entry.runner.service;
            self.cold_starts
                .record_end(service, |wanted| entry.holds(wanted, now), now);
        }
    }

    /// Applies the inventory of a runner. An inventory of an unknown runner is ignored.
    pub fn apply_inventory(&mut self, inventory: Inventory, now: Instant) {
        let id = inventory.runner.clone();
        let before = self.possible_models(&id);
        if let Some(entry) = self.runners.get_mut(&id) {
            entry.apply_inventory(inventory, now);
        }
        self.update_holders(&id, &before);
        self.end_cold_starts(&id, now);
    }

    /// Removes a runner, and marks it for granted attempts that are not sent yet as
    /// accepting no new work. Its draining signal and its requested pause stay recorded.
    pub fn remove_runner(&mut self, id: &str, now: Instant) {
        self.used_runner_ids.remove(id);
        self.limited_runner_ids.remove(id);
        self.arrivals.record_absence(id, now);
        if let Some(mut entry) = self.runners.remove(id) {
            let runner = &entry.runner;
            self.software_history
                .record(&runner.service, &runner.software, now);
            self.holders
                .replace_models(&entry.runner.id, &entry.possible_models(), &[]);
            self.runner_ids_by_key.remove(&entry.key);
            self.estimates.remove(entry.key);
            entry.close_accepts_work();
        }
    }

    /// Removes all runners except those in `kept`.
    pub fn retain_runners(&mut self, kept: &[Arc<str>], now: Instant) {
        let kept: HashSet<&Arc<str>> = kept.iter().collect();
        let removed: Vec<Arc<str>> = self
            .runners
            .keys()
            .filter(|id| !kept.contains(id))
            .cloned()
            .collect();
        removed.iter().for_each(|id| self.remove_runner(id, now));
    }

    /// Replaces the attempts in flight that the node `source` reported last, by runner.
    /// They count for `valid_for`, within which `source` is expected to report again.
    pub fn set_peer_load(
        &mut self,
        source: Arc<str>,
        in_flight: Vec<(RunnerKey, u32)>,
        valid_for: Duration,
        now: Instant,
    ) {
        for key in self.peer_loads.update(source, in_flight, valid_for, now) {
            let id = self.runner_ids_by_key.get(&key);
            if let Some(entry) = id.and_then(|id| self.runners.get_mut(id)) {
                entry.peer_in_flight = self.peer_loads.in_flight_at(key);
            }
        }
    }
}
