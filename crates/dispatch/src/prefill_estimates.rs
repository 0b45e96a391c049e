//! Updates of what the dispatcher knows of the time that runners take for prompts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::RunnerKey;
use barleyspar_prefill::{PrefillUpdate, SpeedChange};

use crate::dispatcher::Dispatcher;

/// A large change of the speed at which a runner reads prompts, in this node's view.
#[derive(Debug, Clone, PartialEq)]
pub struct RunnerSpeedChange {
    /// Id of the runner's incarnation.
    pub runner: Arc<str>,
    /// The speeds before and after the change.
    pub change: SpeedChange,
}

impl Dispatcher {
    /// Applies what prefill owners tell of their runners, and returns the large changes of
    /// their speeds. Updates on unknown runners are ignored.
    pub fn apply_prefill_updates(
        &mut self,
        updates: &[PrefillUpdate],
        now: Instant,
    ) -> Vec<RunnerSpeedChange> {
        let changes = updates.iter().filter_map(|update| {
            let runner = self.runner_ids_by_key.get(&update.runner)?.clone();
            let change = self.estimates.apply(update, now)?;
            Some(RunnerSpeedChange { runner, change })
        });
        changes.collect()
    }

    /// Records the wait for a permit that the prefill owner of a runner named in an answer.
    pub fn record_prefill_wait(&mut self, runner: RunnerKey, wait: Duration, now: Instant) {
        if self.runner_ids_by_key.contains_key(&runner) {
            self.estimates.record_wait(runner, wait, now);
        }
    }
}
