//! Runners that asked this node for a pause: it calls them again when that is over.
//!
//! A pause is asked of one node and says nothing to the others. It outlasts the runner's
//! entry, which may go and come again meanwhile. After it the runner gets one request of
//! this node; the next ones wait until it has taken that.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::dispatcher::Dispatcher;
use crate::query::PermitId;
use crate::runner::RunnerEntry;

/// Longest pause that is kept.
const LONGEST_PAUSE: Duration = Duration::from_secs(24 * 3600);

/// Time after its end for which a pause is remembered while the runner gets nothing.
const REMEMBERED_FOR: Duration = Duration::from_secs(60);

/// A pause that a runner asked for.
#[derive(Debug, Clone, Copy)]
struct Pause {
    end: Instant,
    /// The request that it got first after it, and has not taken yet.
    first: Option<PermitId>,
}

/// The pauses, by runner, until the runner has taken a request after its own.
#[derive(Debug, Default)]
pub struct Pauses {
    pauses: BTreeMap<Arc<str>, Pause>,
}

impl Pauses {
    /// The runner `id` wants nothing for `pause` from `now` on. One that it asked for
    /// before and that lasts longer goes on.
    fn add(&mut self, id: &Arc<str>, pause: Duration, now: Instant) {
        self.pauses
            .retain(|_, pause| now < pause.end + REMEMBERED_FOR);
        let end = now + pause.min(LONGEST_PAUSE);
        let first = None;
        let known = self.pauses.entry(id.clone());
        let known = known.or_insert(Pause { end, first });
        known.end = end.max(known.end);
        known.first = None;
    }

    /// When the pause of the runner `id` ends, if it wants one.
    fn end(&self, id: &str, now: Instant) -> Option<Instant> {
        let end = self.pauses.get(id)?.end;
        (now < end).then_some(end)
    }

    /// Whether the runner `id` is neither in a pause nor to show first that it is over.
    pub fn allow(&self, id: &str, now: Instant) -> bool {
        let pause = self.pauses.get(id);
        pause.is_none_or(|pause| pause.end <= now && pause.first.is_none())
    }

    /// The runner `id` gets a request.
    pub fn granted(&mut self, id: &str, permit: PermitId) {
        if let Some(pause) = self.pauses.get_mut(id) {
            pause.first = Some(permit);
        }
    }

    /// The runner `id` has taken a request.
    pub fn taken(&mut self, id: &str, permit: PermitId) {
        if self.is_first(id, permit) {
            self.pauses.remove(id);
        }
    }

    /// A request at the runner `id` ended without showing whether it takes requests.
    pub fn ended(&mut self, id: &str, permit: PermitId) {
        if self.is_first(id, permit)
            && let Some(pause) = self.pauses.get_mut(id)
        {
            pause.first = None;
        }
    }

    fn is_first(&self, id: &str, permit: PermitId) -> bool {
        let pause = self.pauses.get(id);
        pause.is_some_and(|pause| pause.first == Some(permit))
    }

    /// When the next pause ends.
    fn next_end(&self, now: Instant) -> Option<Instant> {
        let ends = self.pauses.values().map(|pause| pause.end);
        ends.filter(|end| now < *end).min()
    }
}

impl Dispatcher {
    /// Takes in that the runner `id` wants nothing of this node for `pause` from `now` on.
    pub fn hear_pause(&mut self, id: &Arc<str>, pause: Duration, now: Instant) {
        self.pauses.add(id, pause, now);
    }

    /// When the pauses of runners end, those that want one.
    pub fn pauses(&self, now: Instant) -> BTreeMap<Arc<str>, Instant> {
        let pauses = self.pauses.pauses.iter();
        let lasting = pauses.filter(|(_, pause)| now < pause.end);
        lasting.map(|(id, pause)| (id.clone(), pause.end)).collect()
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
