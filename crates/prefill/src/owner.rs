//! Grants permits to send prompts to the runners of which this node is the prefill owner.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use barleyspar_catalog::RunnerKey;

use crate::runner::RunnerPrefill;
use crate::{
    PrefillAnswer, PrefillGrant, PrefillReport, PrefillRequest, PrefillUpdate, StreamPace,
};

/// Time without a question after which a runner's state is dropped.
const IDLE_TIME: Duration = Duration::from_secs(30);
/// Largest number of runners of which state is kept.
const MAX_RUNNERS: usize = 1024;
/// Shortest time between two polls.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Longest time between two polls while prompts wait, since their order changes with time.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The runners of which this node is the prefill owner.
#[derive(Debug, Default)]
pub struct PrefillOwner {
    runners: HashMap<RunnerKey, RunnerPrefill>,
    polled_at: Option<Instant>,
}

impl PrefillOwner {
    /// Answers a node's question: grants a permit, queues the prompt, or denies the permit if
    /// the prompt is not expected to be read within the request's patience. A question that is asked again gets
    /// the same answer as long as nothing has changed. Refuses to own more runners than it has
    /// room for.
    pub fn request(&mut self, request: &PrefillRequest, now: Instant) -> PrefillAnswer {
        if !self.runners.contains_key(&request.runner) && !self.make_room() {
            return PrefillAnswer::NotOwner;
        }
        let runner = self.runners.entry(request.runner);
        let runner = runner.or_insert_with(|| RunnerPrefill::new(request, now));
        runner.answer(request, now)
    }

    /// Applies a node's report that a prompt was read, or that its permit is not used.
    /// Reports on unknown prompts are ignored.
    pub fn report(&mut self, report: &PrefillReport, now: Instant) {
        let Some(runner) = self.runners.get_mut(&report.runner) else {
            return;
        };
        let id = (report.node.clone(), report.number);
        let read_time = report.read_ms.map(|ms| Duration::from_millis(ms.into()));
        runner.report(id, read_time, now);
    }

    /// Applies a node's report on the pace of a stream. One of an unknown runner is ignored.
    pub fn record_pace(&mut self, pace: StreamPace) {
        if let Some(runner) = self.runners.get_mut(&pace.runner) {
            runner.record_pace(Duration::from_millis(pace.event_ms.into()));
        }
    }

    /// Grants the waiting prompts that may be sent now.
    pub fn poll(&mut self, now: Instant) -> Vec<PrefillGrant> {
        self.polled_at = Some(now);
        let runners = self.runners.values_mut();
        let granted = runners.flat_map(|runner| runner.grant_waiting(now));
        granted
            .map(|(node, number)| PrefillGrant { node, number })
            .collect()
    }

    /// When [`Self::poll`] has to be called next, if no report or question comes before;
    /// `None` if no prompt waits. Later than the last poll, and at most 100 ms after it.
    pub fn next_poll_at(&self, now: Instant) -> Option<Instant> {
        let runners = self.runners.values();
        let changes = runners.filter_map(|runner| runner.next_change_at(now));
        let change_at = changes.min()?;
        Some(self.polled_at.map_or(now, |polled_at| {
            change_at.clamp(polled_at + MIN_POLL_INTERVAL, polled_at + MAX_POLL_INTERVAL)
        }))
    }

    /// Returns the updates on all runners, by their keys. Drops runners about which nobody asked
    /// lately.
    pub fn updates(&mut self, now: Instant) -> Vec<PrefillUpdate> {
        self.runners.retain(|_, runner| {
            let idle = now.saturating_duration_since(runner.asked_at()) >= IDLE_TIME;
            runner.has_waiting() || !idle
        });
        let updates = self.runners.iter_mut();
        let mut updates: Vec<PrefillUpdate> = updates
            .map(|(key, runner)| runner.update(*key, now))
            .collect();
        updates.sort_unstable_by_key(|update| update.runner);
        updates
    }

    /// Drops the runner without waiting prompts about which nobody asked for longest, if there
    /// is no room for another one. Returns whether there is room.
    fn make_room(&mut self) -> bool {
        if self.runners.len() < MAX_RUNNERS {
            return true;
        }
        let runners = self.runners.iter();
        let without_waiting = runners.filter(|(_, runner)| !runner.has_waiting());
        let oldest = without_waiting.min_by_key(|(_, runner)| runner.asked_at());
        let oldest = oldest.map(|(key, _)| *key);
        oldest.is_some_and(|key| self.runners.remove(&key).is_some())
    }
}
