//! Runners that asked this node for a pause: it calls them again when that is over.
//!
//! A pause is asked of one node and says nothing to the others. It outlasts the runner's
//! entry, which may go and come again meanwhile.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::dispatcher::Dispatcher;
use crate::runner::RunnerEntry;

/// Longest pause that is kept.
const LONGEST_PAUSE: Duration = Duration::from_secs(24 * 3600);

/// When the pauses end, by runner.
#[derive(Debug, Default)]
pub struct Pauses {
    ends: BTreeMap<Arc<str>, Instant>,
}

impl Pauses {
    /// The runner `id` wants nothing for `pause` from `now` on. One that it asked for
    /// before and that lasts longer goes on.
    fn add(&mut self, id: &Arc<str>, pause: Duration, now: Instant) {
        self.ends.retain(|_, end| now < *end);
        let end = now + pause.min(LONGEST_PAUSE);
        let known = self.ends.entry(id.clone()).or_insert(end);
        *known = end.max(*known);
    }

    /// When the pause of the runner `id` ends, if it wants one.
    fn end(&self, id: &str, now: Instant) -> Option<Instant> {
        self.ends.get(id).copied().filter(|end| now < *end)
    }

    /// When the next pause ends.
    fn next_end(&self, now: Instant) -> Option<Instant> {
        self.ends.values().copied().filter(|end| now < *end).min()
    }
}

impl Dispatcher {
    /// Takes in that the runner `id` wants nothing of this node for `pause` from `now` on.
    pub fn hear_pause(&mut self, id: &Arc<str>, pause: Duration, now: Instant) {
        self.pauses.add(id, pause, now);
    }

    /// When the pauses of runners end, those that want one.
    pub fn pauses(&self, now: Instant) -> BTreeMap<Arc<str>, Instant> {
        let lasting = self.pauses.ends.iter().filter(|(_, end)| now < **end);
        lasting.map(|(id, end)| (id.clone(), *end)).collect()
    }

    /// When the next pause ends.
    pub fn next_pause_end(&self, now: Instant) -> Option<Instant> {
        self.pauses.next_end(now)
    }

    /// When the pause of this runner ends, if it wants one.
    pub(crate) fn pause_end(&self, entry: &RunnerEntry, now: Instant) -> Option<Instant> {
        self.pauses.end(&entry.runner.id, now)
    }

    /// When the first of `runners` takes calls again; `None` unless all want a pause.
    pub(crate) fn first_pause_end<'a>(
        &self,
        runners: impl Iterator<Item = &'a RunnerEntry>,
        now: Instant,
    ) -> Option<Instant> {
        let ends: Option<Vec<Instant>> = runners.map(|entry| self.pause_end(entry, now)).collect();
        ends?.into_iter().min()
    }
}
