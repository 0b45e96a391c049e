//! Runners that signalled in their answers or by their entries that they are draining.
//!
//! The store may show this much later than the runner's answers do, and may show an older
//! entry again afterwards. A signal therefore holds as long as the runner's incarnation.
//! Nodes send each other the signals from answers, so that nodes that have no such answer
//! of their own stop using the runner, too.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::dispatcher::Dispatcher;

/// Time for which a draining runner is remembered: longer than a runner takes to exit,
/// and than its entry takes to disappear from the store.
const REMEMBERED_FOR: Duration = Duration::from_secs(600);
/// Time for which updates on a draining runner are sent to other nodes; covers many
/// messages, so that lost ones do not matter.
const BROADCAST_TIME: Duration = Duration::from_secs(30);
/// Largest number of draining runners in one message, about one kilobyte.
const MAX_DRAINING_UPDATES: usize = 32;

/// A runner that signalled that it is draining, as nodes report it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainingUpdate {
    /// Id of the runner's incarnation.
    pub runner: Arc<str>,
    /// Milliseconds since the runner first signalled that it is draining.
    pub age_ms: u32,
}

/// The runners that signalled that they are draining, each with its first signal.
#[derive(Debug, Default)]
pub struct DrainingRunners {
    first_signals: BTreeMap<Arc<str>, DrainingSignal>,
}

/// The first signal of a runner that it is draining.
#[derive(Debug, Clone, Copy)]
struct DrainingSignal {
    at: Instant,
    /// Whether the runner's entry in the store showed first that it is draining. Nodes send
    /// each other no update about it, since every node reads the entry by itself.
    in_store: bool,
}

impl DrainingRunners {
    /// Records a signal of the runner `id`, and drops those older than
    /// [`REMEMBERED_FOR`]. Returns whether it is the first one of the runner.
    fn record(&mut self, id: &Arc<str>, signal: DrainingSignal, now: Instant) -> bool {
        self.first_signals
            .retain(|_, signal| now.saturating_duration_since(signal.at) < REMEMBERED_FOR);
        if self.contains(id) {
            return false;
        }
        self.first_signals.insert(id.clone(), signal);
        true
    }

    /// Whether the runner `id` is draining.
    pub fn contains(&self, id: &str) -> bool {
        self.first_signals.contains_key(id)
    }

    /// Returns the updates to send to other nodes, newest first; only the newest if there
    /// are many.
    fn updates(&self, now: Instant) -> Vec<DrainingUpdate> {
        let age = |signal: &DrainingSignal| now.saturating_duration_since(signal.at);
        let to_send = self
            .first_signals
            .iter()
            .filter(|(_, signal)| !signal.in_store && age(signal) < BROADCAST_TIME);
        let mut updates: Vec<DrainingUpdate> = to_send
            .map(|(runner, signal)| DrainingUpdate {
                runner: runner.clone(),
                age_ms: u32::try_from(age(signal).as_millis()).unwrap_or(u32::MAX),
            })
            .collect();
        updates.sort_by_key(|update| update.age_ms);
        updates.truncate(MAX_DRAINING_UPDATES);
        updates
    }
}

impl Dispatcher {
    /// Records that the runner's entry in the store shows it as draining. Returns whether
    /// the runner was not known to be draining before.
    pub(crate) fn record_draining_entry(&mut self, id: &Arc<str>, now: Instant) -> bool {
        let in_store = true;
        self.draining
            .record(id, DrainingSignal { at: now, in_store }, now)
    }

    /// Records that the runner `id` signalled at `at` that it is draining, and stops
    /// using it. Returns whether the runner was not known to be draining before.
    pub fn record_draining(&mut self, id: &Arc<str>, at: Instant, now: Instant) -> bool {
        let in_store = false;
        let is_first_signal = self
            .draining
            .record(id, DrainingSignal { at, in_store }, now);
        if let Some(entry) = self.runners.get_mut(id) {
            entry.mark_draining();
        }
        is_first_signal
    }

    /// Applies the draining updates of another node. Returns the runners that were not
    /// known to be draining.
    pub fn apply_draining_updates(
        &mut self,
        updates: &[DrainingUpdate],
        now: Instant,
    ) -> Vec<Arc<str>> {
        let added = updates.iter().filter(|update| {
            let age = Duration::from_millis(update.age_ms.into());
            let at = now.checked_sub(age).unwrap_or(now);
            age < BROADCAST_TIME && self.record_draining(&update.runner, at, now)
        });
        added.map(|update| update.runner.clone()).collect()
    }

    /// Returns the ids of all runners that are known to be draining.
    pub fn draining_runners(&self) -> BTreeSet<Arc<str>> {
        self.draining.first_signals.keys().cloned().collect()
    }

    /// Returns the updates on draining runners that are to be sent to other nodes now.
    pub fn draining_updates(&self, now: Instant) -> Vec<DrainingUpdate> {
        self.draining.updates(now)
    }
}
