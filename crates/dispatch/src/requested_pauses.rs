//! Pauses that runners requested of this node: it sends them nothing until the pause
//! ends.
//!
//! A runner requests a pause of one node, and the pause does not concern other nodes. It
//! outlasts the runner's entry, which may be removed and added again meanwhile. After the
//! pause the runner gets a single request of this node as a probe; further ones wait
//! until the runner has accepted the probe.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::dispatcher::Dispatcher;
use crate::query::PermitId;
use crate::runner::RunnerEntry;

/// Longest pause that is honoured. Longer ones are cut to it, so that their end can be
/// represented.
const LONGEST_PAUSE: Duration = Duration::from_secs(24 * 3600);

/// Time after its end for which a pause is remembered while the runner gets no request.
const REMEMBERED_FOR: Duration = Duration::from_secs(60);

/// A pause that a runner requested of this node.
#[derive(Debug, Clone, Copy)]
struct RequestedPause {
    end: Instant,
    /// Permit of the first request after the pause, until the runner accepts it; `None`
    /// while no such request is under way.
    probe: Option<PermitId>,
}

/// Requested pauses by runner. Each is kept until the runner accepts a request after it.
#[derive(Debug, Default)]
pub struct RequestedPauses {
    pauses: BTreeMap<Arc<str>, RequestedPause>,
}

impl RequestedPauses {
    /// Records that the runner `id` requests a pause from `now` on. An earlier pause that
    /// ends later stays in force. Drops pauses that ended more than [`REMEMBERED_FOR`]
    /// ago.
    fn record(&mut self, id: &Arc<str>, pause: Duration, now: Instant) {
        self.pauses
            .retain(|_, pause| now < pause.end + REMEMBERED_FOR);
        let end = now + pause.min(LONGEST_PAUSE);
        let probe = None;
        let entry = self.pauses.entry(id.clone());
        let known = entry.or_insert(RequestedPause { end, probe });
        known.end = end.max(known.end);
        known.probe = None;
    }

    /// Returns when the pause of the runner `id` ends; `None` if it is not pausing at
    /// `now`.
    fn end_of(&self, id: &str, now: Instant) -> Option<Instant> {
        let end = self.pauses.get(id)?.end;
        (now < end).then_some(end)
    }

    /// Whether the runner `id` may get a request: it is not pausing, and no probe after
    /// its pause is under way.
    pub fn allows(&self, id: &str, now: Instant) -> bool {
        let pause = self.pauses.get(id);
        pause.is_none_or(|pause| pause.end <= now && pause.probe.is_none())
    }

    /// Records that the runner `id` gets a request: the probe, if it follows a pause.
    pub fn on_grant(&mut self, id: &str, permit: PermitId) {
        if let Some(pause) = self.pauses.get_mut(id) {
            pause.probe = Some(permit);
        }
    }

    /// Records that the runner accepted the request of `permit`; forgets the pause if
    /// that was the probe.
    pub fn on_accepted(&mut self, id: &str, permit: PermitId) {
        if self.is_probe(id, permit) {
            self.pauses.remove(id);
        }
    }

    /// Records that the request of `permit` ended. If it was the probe and the runner did
    /// not accept it, the next request becomes the probe.
    pub fn on_end(&mut self, id: &str, permit: PermitId) {
        if self.is_probe(id, permit)
            && let Some(pause) = self.pauses.get_mut(id)
        {
            pause.probe = None;
        }
    }

    fn is_probe(&self, id: &str, permit: PermitId) -> bool {
        let pause = self.pauses.get(id);
        pause.is_some_and(|pause| pause.probe == Some(permit))
    }

    /// Returns when the next pause ends; `None` if no runner is pausing.
    fn next_end(&self, now: Instant) -> Option<Instant> {
        let ends = self.pauses.values().map(|pause| pause.end);
        ends.filter(|end| now < *end).min()
    }
}

impl Dispatcher {
    /// Records that the runner `id` asked this node to send it nothing for `pause` from
    /// `now` on.
    pub fn record_requested_pause(&mut self, id: &Arc<str>, pause: Duration, now: Instant) {
        self.requested_pauses.record(id, pause, now);
    }

    /// Returns the runners that are pausing at `now`, each with the end of its pause.
    pub fn pause_ends(&self, now: Instant) -> BTreeMap<Arc<str>, Instant> {
        let pauses = self.requested_pauses.pauses.iter();
        let unfinished = pauses.filter(|(_, pause)| now < pause.end);
        unfinished
            .map(|(id, pause)| (id.clone(), pause.end))
            .collect()
    }

    /// Returns when the next pause ends; `None` if no runner is pausing.
    pub fn next_pause_end(&self, now: Instant) -> Option<Instant> {
        self.requested_pauses.next_end(now)
    }

    /// Returns when the pause of this runner ends; `None` if it is not pausing at `now`.
    pub(crate) fn pause_end(&self, entry: &RunnerEntry, now: Instant) -> Option<Instant> {
        self.requested_pauses.end_of(&entry.runner.id, now)
    }

    /// Returns when the first of `runners` ends its pause; `None` unless all of them are
    /// pausing.
    pub(crate) fn first_end_if_all_pause<'a>(
        &self,
        runners: impl Iterator<Item = &'a RunnerEntry>,
        now: Instant,
    ) -> Option<Instant> {
        let ends: Option<Vec<Instant>> = runners.map(|entry| self.pause_end(entry, now)).collect();
        ends?.into_iter().min()
    }
}
