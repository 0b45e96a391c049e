//! Counts the replicas of each model on the runners of one service.

use std::collections::HashMap;
use std::sync::Arc;

use barleyspar_catalog::OrderAction;

use crate::view::RunnerView;

/// Number and zones of the replicas of one model.
#[derive(Debug, Clone, Default)]
pub struct Replicas {
    /// Replicas that are loaded or being loaded, on runners that are not draining.
    pub total: usize,
    /// Loads on further runners that these may still carry out, by orders left unanswered.
    pub possible: usize,
    /// Replicas on runners that answer, have capacity left under their rate limit for the
    /// model, and are not in an evacuated zone.
    pub reachable: usize,
    /// Replicas that are already loaded.
    pub loaded: usize,
    /// Zone of each replica counted in `total`; a zone is listed once per replica.
    pub zones: Vec<Arc<str>>,
}

/// Replica counts by model.
#[derive(Debug, Default)]
pub struct ReplicaCounts {
    replicas: HashMap<Arc<str>, Replicas>,
    none: Replicas,
}

impl ReplicaCounts {
    /// Counts the models that available runners of `service` hold or are loading. Models
    /// that are being unloaded are left out.
    pub fn new(service: &str, runners: &[RunnerView]) -> Self {
        let mut counts = Self::default();
        for runner in runners {
            if &*runner.service != service || !runner.available {
                continue;
            }
            for loaded_model in &runner.models {
                if !runner.is_unloading(&loaded_model.model) {
                    counts.add(runner, &loaded_model.model, true);
                }
            }
            match &runner.order_in_progress {
                Some(OrderAction::LoadModel { model }) if runner.loaded_model(model).is_none() => {
                    counts.add(runner, model, false);
                }
                _ => {}
            }
            if let Some(possible) = &runner.possible_load
                && !runner.holds_or_loads(&possible.model)
            {
                let replicas = counts.replicas.entry(possible.model.clone());
                replicas.or_default().possible += 1;
            }
        }
        counts
    }

    /// Adds a replica of `model` at `runner`; `loaded` is false for one that is still
    /// being loaded.
    pub fn add(&mut self, runner: &RunnerView, model: &Arc<str>, loaded: bool) {
        let replicas = self.replicas.entry(model.clone()).or_default();
        replicas.total += 1;
        replicas.reachable += usize::from(can_serve(runner, model));
        replicas.loaded += usize::from(loaded);
        replicas.zones.push(runner.zone.clone());
    }

    /// Removes a loaded replica of `model` at `runner` from the counts.
    pub fn remove(&mut self, runner: &RunnerView, model: &str) {
        let Some(replicas) = self.replicas.get_mut(model) else {
            return;
        };
        replicas.total = replicas.total.saturating_sub(1);
        let reachable = usize::from(can_serve(runner, model));
        replicas.reachable = replicas.reachable.saturating_sub(reachable);
        replicas.loaded = replicas.loaded.saturating_sub(1);
        if let Some(index) = replicas.zones.iter().position(|zone| *zone == runner.zone) {
            replicas.zones.swap_remove(index);
        }
    }

    /// Returns the counts of `model`, all zero if it has no replica.
    pub fn for_model(&self, model: &str) -> &Replicas {
        self.replicas.get(model).unwrap_or(&self.none)
    }
}

fn can_serve(runner: &RunnerView, model: &str) -> bool {
    let is_over_limit = runner.over_limit.iter().any(|name| **name == *model);
    runner.reachable && runner.accepts_requests() && !is_over_limit
}
