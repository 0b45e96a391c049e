//! Selects the runners that could take a request now: those that may serve it, are
//! healthy, have room, and belong to the group preferred by rate limits and evacuations.

use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::Service;

use crate::cold_pacing;
use crate::dispatcher::Dispatcher;
use crate::eligibility::{accepts_model, has_room};
use crate::query::Query;
use crate::runner::RunnerEntry;

impl Dispatcher {
    /// Returns the runners that could take `query` now, reduced to the preferred group.
    pub(crate) fn candidates<'a>(&'a self, query: &'a Query, now: Instant) -> Vec<&'a RunnerEntry> {
        let mut eligible = self.eligible(query, now);
        eligible.retain(|entry| entry.has_rate_permit(now));
        without_avoided(preferred_group(eligible, now), &query.avoided_runners)
    }

    /// Returns the runners for which a permit is to be requested. They could take `query` if
    /// this node had a permit to call them. If no other runner can take the query, these are
    /// all such runners, else only those whose advertised limit is stale.
    pub(crate) fn lacking_rate_permit(&self, query: &Query, now: Instant) -> Vec<Arc<str>> {
        if self.limited_runner_ids.is_empty() {
            return Vec::new();
        }
        let eligible = self.eligible(query, now);
        let others_can_take = eligible.iter().any(|entry| entry.has_rate_permit(now));
        let lacking = eligible.into_iter().filter(|entry| {
            !entry.has_rate_permit(now) && (!others_can_take || entry.has_stale_limit(now))
        });
        lacking.map(|entry| entry.runner.id.clone()).collect()
    }

    /// Returns the runners that could take `query` now if rate limits are left out of
    /// account.
    fn eligible<'a>(&'a self, query: &'a Query, now: Instant) -> Vec<&'a RunnerEntry> {
        let service = self
            .configuration
            .services
            .get(&query.service)
            .map(|service| &**service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let usable: Vec<&RunnerEntry> = self
            .possible_runners(query, engine.is_some())
            .filter(|entry| entry.runner.service == query.service && entry.is_open(now))
            .filter(|entry| !query.excluded_runners.contains(&entry.runner.id))
            .filter(|entry| self.is_allowed(entry, query))
            .filter(|entry| self.requested_pauses.allows(&entry.runner.id, now))
            .filter(|entry| accepts_model(entry, query, engine, now))
            .collect();
        let healthy: Vec<&RunnerEntry> = usable
            .iter()
            .copied()
            .filter(|entry| !entry.health().is_blocked(now))
            .collect();
        // If all usable runners are blocked, a blocked one is better than none.
        let considered = if healthy.is_empty() { usable } else { healthy };
        considered
            .into_iter()
            .filter(|entry| !entry.health().is_busy(now))
            .filter(|entry| has_room(entry, query, engine))
            .filter(|entry| self.is_within_brittle_share(entry))
            .filter(|entry| self.is_within_cold_rate(entry, service, now))
            .collect()
    }

    /// Whether `query` may be served at the runner: in its region, and at its software version.
    pub(crate) fn is_allowed(&self, entry: &RunnerEntry, query: &Query) -> bool {
        let is_in_region = query
            .allowed_regions
            .includes(self.site.regions.get(&entry.runner.zone));
        let software = query.software.as_ref();
        is_in_region && software.is_none_or(|software| *software == entry.runner.software)
    }

    /// Whether one more request now keeps this node within its share of the rate that a
    /// cold runner can take. Always true for a runner that is not cold.
    fn is_within_cold_rate(
        &self,
        entry: &RunnerEntry,
        service: Option<&Service>,
        now: Instant,
    ) -> bool {
        let Some(spec) = service.and_then(|service| service.cold) else {
            return true;
        };
        if !entry.is_cold(now) {
            return true;
        }
        let (id, bounds) = (&entry.runner.id, &self.site.cold_bounds);
        let interval = cold_pacing::request_interval(id, &self.name, &self.members, &spec, bounds);
        let interval_passed = |interval: Duration| {
            let since = |at| now.saturating_duration_since(at);
            entry.last_sent_at().is_none_or(|at| since(at) >= interval)
        };
        interval.is_some_and(interval_passed)
    }

    /// Returns the runners that may serve `query`: for an engine, those that may hold the
    /// model, else all known runners.
    fn possible_runners<'a>(
        &'a self,
        query: &'a Query,
        has_engine: bool,
    ) -> Box<dyn Iterator<Item = &'a RunnerEntry> + 'a> {
        match query.wanted.as_ref().filter(|_| has_engine) {
            Some(wanted) => Box::new(self.possible_holders(&wanted.model)),
            None => Box::new(self.runners.values()),
        }
    }

    /// Returns the runners that may hold `model`, by the index of holders.
    pub(crate) fn possible_holders<'a>(
        &'a self,
        model: &'a str,
    ) -> impl Iterator<Item = &'a RunnerEntry> + 'a {
        let ids = self.holders.possible_holders(model);
        ids.filter_map(|id| self.runners.get(id))
    }
}

/// Drops the runners with ids in `avoided`, unless no other candidate remains.
fn without_avoided<'a>(
    candidates: Vec<&'a RunnerEntry>,
    avoided: &[Arc<str>],
) -> Vec<&'a RunnerEntry> {
    let is_avoided = |entry: &&RunnerEntry| avoided.contains(&entry.runner.id);
    let (avoided, others): (Vec<&RunnerEntry>, Vec<&RunnerEntry>) =
        candidates.into_iter().partition(is_avoided);
    if others.is_empty() { avoided } else { others }
}

/// Reduces `candidates` to the group that is preferred. A runner whose advertised limit
/// is stale comes first, since its answer shows whether the limit still holds. Runners
/// with a current limit or in an evacuated zone serve only what no other runner can.
fn preferred_group(candidates: Vec<&RunnerEntry>, now: Instant) -> Vec<&RunnerEntry> {
    let (stale_limited, others): (Vec<&RunnerEntry>, Vec<&RunnerEntry>) = candidates
        .into_iter()
        .partition(|entry| entry.has_stale_limit(now));
    if !stale_limited.is_empty() {
        return stale_limited;
    }
    let (less_preferred, preferred): (Vec<&RunnerEntry>, Vec<&RunnerEntry>) = others
        .into_iter()
        .partition(|entry| entry.is_evacuated() || entry.has_current_limit(now));
    if preferred.is_empty() {
        less_preferred
    } else {
        preferred
    }
}
