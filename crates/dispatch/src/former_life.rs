//! When all that a node's former life had sent to the runners of a service has arrived.
//!
//! A process that has just started knows nothing of what its predecessor had sent. Runners that
//! stand still read that later. A runner that has answered this process reads, and so has read what
//! was sent before.

use std::sync::Arc;
use std::time::Instant;

use barleyspar_catalog::Runner;

use crate::dispatcher::Dispatcher;
use crate::runner::RunnerEntry;

/// Number of runners of a service up to which a process that has just started asks each for an
/// answer. Of more, it waits for those that it uses.
const MOST_ASKED_RUNNERS: usize = 32;

impl Dispatcher {
    /// Settles the retry budget of `service` once what the former life had sent has arrived.
    pub(crate) fn settle_budget(&mut self, service: &Arc<str>, now: Instant) {
        if !self.budget(service).is_settled() && self.has_former_life_arrived(service, now) {
            self.budget(service).settle(now);
        }
    }

    /// Whether all runners of `service` have answered this process. After its first window, those
    /// that [`Self::asked_runners`] names are enough.
    fn has_former_life_arrived(&self, service: &Arc<str>, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.started_at);
        let is_known = self.runners_of(service).next().is_some();
        let is_silent = |entry: &RunnerEntry| !entry.has_answered;
        if age < self.budget_limits.window {
            return is_known && !self.runners_of(service).any(is_silent);
        }
        is_known && !self.asked_runners(service).into_iter().any(is_silent)
    }

    /// Returns the runners whose first answer a retry budget waits for.
    pub(crate) fn runners_that_delay_settling(&self) -> Vec<Arc<Runner>> {
        let is_unsettled = |service: &&Arc<str>| {
            let budget = self.budgets.get(*service);
            budget.is_none_or(|budget| !budget.is_settled())
        };
        let services = self.configuration.services.keys().filter(is_unsettled);
        let asked = services.flat_map(|service| self.asked_runners(service));
        let silent = asked.filter(|entry| !entry.has_answered);
        silent.map(|entry| entry.runner.clone()).collect()
    }

    /// Returns the runners of `service` that this process asks for an answer: all, or of more than
    /// [`MOST_ASKED_RUNNERS`] those that it has used, since its predecessor hardly used others.
    fn asked_runners(&self, service: &Arc<str>) -> Vec<&RunnerEntry> {
        if self.runners_of(service).count() <= MOST_ASKED_RUNNERS {
            return self.runners_of(service).collect();
        }
        let is_of_service = |entry: &&RunnerEntry| entry.runner.service == *service;
        self.used_runners().filter(is_of_service).collect()
    }

    fn runners_of(&self, service: &Arc<str>) -> impl Iterator<Item = &RunnerEntry> {
        let is_of_service = |entry: &&RunnerEntry| entry.runner.service == *service;
        self.runners.values().filter(is_of_service)
    }
}
