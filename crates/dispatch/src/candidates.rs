//! Which runners could take a request now: those that may have it at all, are sound and
//! have room for it, and are the first that should.

use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::Service;

use crate::cold;
use crate::dispatcher::Dispatcher;
use crate::eligibility::{can_serve, has_room};
use crate::query::Query;
use crate::runner::RunnerEntry;

impl Dispatcher {
    /// The runners that could take `query` now.
    pub(crate) fn candidates<'a>(&'a self, query: &'a Query, now: Instant) -> Vec<&'a RunnerEntry> {
        let mut able = self.able(query, now);
        able.retain(|entry| entry.has_rate_permit(now));
        preferred(able, now)
    }

    /// Runners that could take `query` but for permits to call them, and that are to: all
    /// of them if no other can, else those whose limits are in doubt.
    pub(crate) fn lacking_rate_permit(&self, query: &Query, now: Instant) -> Vec<Arc<str>> {
        if self.limited.is_empty() {
            return Vec::new();
        }
        let able = self.able(query, now);
        let others = able.iter().any(|entry| entry.has_rate_permit(now));
        let lacking = able
            .into_iter()
            .filter(|entry| !entry.has_rate_permit(now) && (!others || entry.is_doubted(now)));
        lacking.map(|entry| entry.runner.id.clone()).collect()
    }

    /// The runners that could take `query` now, whatever limits they name.
    fn able<'a>(&'a self, query: &'a Query, now: Instant) -> Vec<&'a RunnerEntry> {
        let service = self
            .configuration
            .services
            .get(&query.service)
            .map(|service| &**service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let usable: Vec<&RunnerEntry> = self
            .possible(query, engine.is_some())
            .filter(|entry| entry.runner.service == query.service && entry.is_open(now))
            .filter(|entry| !query.excluded.contains(&entry.runner.id))
            .filter(|entry| self.is_home(entry, query))
            .filter(|entry| self.pauses.allow(&entry.runner.id, now))
            .filter(|entry| can_serve(entry, query, engine, now))
            .collect();
        let healthy: Vec<&RunnerEntry> = usable
            .iter()
            .copied()
            .filter(|entry| !entry.health().is_blocked(now))
            .collect();
        // With no sound runner left, a doubtful one is better than none.
        let considered = if healthy.is_empty() { usable } else { healthy };
        considered
            .into_iter()
            .filter(|entry| !entry.health().is_busy(now))
            .filter(|entry| has_room(entry, query, engine))
            .filter(|entry| self.spares_cold(entry, service, now))
            .collect()
    }

    /// Whether `query` may be served where the runner is.
    pub(crate) fn is_home(&self, entry: &RunnerEntry, query: &Query) -> bool {
        query.homes.allow(self.site.regions.get(&entry.runner.zone))
    }

    /// Whether one more request now is within this node's part of what the runner
    /// bears; always so for one that is not cold.
    fn spares_cold(&self, entry: &RunnerEntry, service: Option<&Service>, now: Instant) -> bool {
        let Some(spec) = service.and_then(|service| service.cold) else {
            return true;
        };
        if !entry.is_cold(now) {
            return true;
        }
        let (id, bounds) = (&entry.runner.id, &self.site.cold);
        let pause = cold::pause(id, &self.name, &self.members, &spec, bounds);
        let rested = |pause: Duration| {
            let since = |at| now.saturating_duration_since(at);
            entry.sent_at().is_none_or(|at| since(at) >= pause)
        };
        pause.is_some_and(rested)
    }

    /// Runners that may serve `query`: those that may hold its model.
    fn possible<'a>(
        &'a self,
        query: &'a Query,
        has_engine: bool,
    ) -> Box<dyn Iterator<Item = &'a RunnerEntry> + 'a> {
        match query.wanted.as_ref().filter(|_| has_engine) {
            Some(wanted) => Box::new(self.may_hold(&wanted.model)),
            None => Box::new(self.runners.values()),
        }
    }

    /// Runners that may hold `model`.
    pub(crate) fn may_hold<'a>(
        &'a self,
        model: &'a str,
    ) -> impl Iterator<Item = &'a RunnerEntry> + 'a {
        let ids = self.holders.of(model);
        ids.filter_map(|id| self.runners.get(id))
    }
}

/// Rate-limited runners, and those whose zone is evacuated, serve only what no other can;
/// one whose limit is in doubt serves first, since its answer shows whether it holds.
fn preferred(candidates: Vec<&RunnerEntry>, now: Instant) -> Vec<&RunnerEntry> {
    let (doubted, others): (Vec<&RunnerEntry>, Vec<&RunnerEntry>) = candidates
        .into_iter()
        .partition(|entry| entry.is_doubted(now));
    if !doubted.is_empty() {
        return doubted;
    }
    let (last, first): (Vec<&RunnerEntry>, Vec<&RunnerEntry>) = others
        .into_iter()
        .partition(|entry| entry.is_evacuated() || entry.is_limited_lately(now));
    if first.is_empty() { last } else { first }
}
