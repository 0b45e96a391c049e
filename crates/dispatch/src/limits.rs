//! Rate limits of runners, which hold for all nodes together.
//!
//! A runner advertises its limit in its answers, for as long as the limit holds. No node
//! can keep the limit alone: each call of such a runner needs a permit from the limit
//! owner, which counts the calls of all nodes. Nodes send each other the limits that they
//! received, so that nodes without an answer of the runner keep to its limit, too. The
//! dispatcher only names the runners for which a permit is needed, and uses the permits;
//! the gateway requests them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::{RunnerKey, RunnerLimit};
use serde::{Deserialize, Serialize};

use crate::dispatcher::Dispatcher;
use crate::rate_limit::{AdvertisedLimit, RateLimit, RatePermitAnswer};
use crate::runner::RunnerEntry;

/// Time for which the end of a runner's limit is sent to other nodes; covers several
/// messages.
const REMOVAL_BROADCAST_TIME: Duration = Duration::from_secs(3);
/// Largest number of limits in one message, some 500 bytes. Where most runners are
/// rate-limited, each node thus sends only the newest limits; nodes keep those that they
/// received before.
const MAX_LIMIT_UPDATES: usize = 32;

/// The rate limit that a runner advertised, as nodes report it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// Key of the runner's incarnation.
    pub runner: RunnerKey,
    /// Limit that the runner advertised; `None` if it advertises none any more.
    pub limit: Option<RunnerLimit>,
    /// Milliseconds from the runner's answer with this limit, or without one, to the
    /// update.
    pub age_ms: u32,
}

/// A change of a runner's limit in this node's view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitChange {
    /// Id of the runner's incarnation.
    pub runner: Arc<str>,
    /// The new limit; `None` if there is none any more.
    pub limit: Option<RunnerLimit>,
    /// The limit before the change; `None` if there was none.
    pub before: Option<RunnerLimit>,
}

impl RunnerEntry {
    /// Returns the last limit that the runner advertised; `None` if it never advertised
    /// one.
    pub fn advertised_limit(&self) -> Option<AdvertisedLimit> {
        self.rate_limit().map(RateLimit::advertised)
    }

    /// Whether the runner has a rate limit in this node's view, however stale that is.
    pub fn is_rate_limited(&self) -> bool {
        let advertised = self.advertised_limit();
        advertised.is_some_and(|advertised| advertised.limit.is_some())
    }

    /// Whether the runner advertised a limit recently, so that other runners are
    /// preferred.
    pub fn has_current_limit(&self, now: Instant) -> bool {
        let advertised = self.advertised_limit();
        advertised.is_some_and(|advertised| advertised.is_current(now))
    }

    /// Whether the limit of the runner is stale, so that a request is due which shows
    /// whether the limit still holds.
    pub fn has_stale_limit(&self, now: Instant) -> bool {
        let advertised = self.advertised_limit();
        advertised.is_some_and(|advertised| advertised.is_stale(now))
    }

    /// Whether this node may call the runner now with respect to its rate limit.
    pub fn has_rate_permit(&self, now: Instant) -> bool {
        self.rate_limit()
            .is_none_or(|limit| limit.permits_call(now))
    }

    /// When this node may get a permit for a request with `ahead` others before it;
    /// `None` if the runner has no limit or the wait is too long to be represented.
    pub fn rate_permit_at(&self, ahead: usize, now: Instant) -> Option<Instant> {
        self.rate_limit()?.permit_at(ahead, now)
    }

    /// Uses up the permit to call the runner, if it has a limit.
    pub fn consume_rate_permit(&mut self) {
        if let Some(limit) = self.rate_limit_mut() {
            limit.consume_permit();
        }
    }
}

impl Dispatcher {
    /// Records the limit that the runner `id` advertised, and returns the change, if any.
    /// An advertisement older than the known one is ignored, and so is the absence of a
    /// limit for a runner that never had one.
    pub fn record_advertised_limit(
        &mut self,
        id: &str,
        advertised: AdvertisedLimit,
    ) -> Option<LimitChange> {
        let entry = self.runners.get_mut(id)?;
        let runner = entry.runner.id.clone();
        let before = match entry.rate_limit_mut() {
            Some(limit) => limit.record_advertised(advertised)?,
            None => {
                advertised.limit?;
                entry.set_rate_limit(RateLimit::new(advertised));
                None
            }
        };
        self.limited_runner_ids.insert(runner.clone());
        (before != advertised.limit).then_some(LimitChange {
            runner,
            limit: advertised.limit,
            before,
        })
    }

    /// Applies the limit updates of another node, and returns the changes.
    pub fn apply_limit_updates(
        &mut self,
        updates: &[LimitUpdate],
        now: Instant,
    ) -> Vec<LimitChange> {
        let changes = updates.iter().filter_map(|update| {
            let id = self.runner_ids_by_key.get(&update.runner)?.clone();
            let age = Duration::from_millis(update.age_ms.into());
            let (limit, at) = (update.limit, now.checked_sub(age)?);
            self.record_advertised_limit(&id, AdvertisedLimit { limit, at })
        });
        changes.collect()
    }

    /// Returns the last limit of each runner that advertised one at some time.
    pub fn advertised_limits(&self) -> impl Iterator<Item = (&Arc<str>, AdvertisedLimit)> {
        let advertised = |id| self.runners.get(id)?.advertised_limit();
        self.limited_runner_ids
            .iter()
            .filter_map(move |id| Some((id, advertised(id)?)))
    }

    /// Returns the updates on runners' limits to send to other nodes, newest first; only
    /// the newest if there are many.
    pub fn limit_updates(&self, now: Instant) -> Vec<LimitUpdate> {
        let updates = self.advertised_limits().filter_map(|(id, advertised)| {
            let age = now.saturating_duration_since(advertised.at);
            let is_sent = advertised.limit.is_some() || age < REMOVAL_BROADCAST_TIME;
            is_sent.then_some(LimitUpdate {
                runner: self.runners.get(id)?.key,
                limit: advertised.limit,
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            })
        });
        let mut updates: Vec<LimitUpdate> = updates.collect();
        updates.sort_by_key(|update| update.age_ms);
        updates.truncate(MAX_LIMIT_UPDATES);
        updates
    }

    fn rate_limit_mut(&mut self, id: &str) -> Option<&mut RateLimit> {
        self.runners.get_mut(id)?.rate_limit_mut()
    }

    /// Notes that a request needs a permit to call the runner `id`.
    pub(crate) fn want_rate_permit(&mut self, id: &str) {
        if let Some(limit) = self.rate_limit_mut(id) {
            limit.want_permit();
        }
    }

    /// Returns the runners and limits for which a permit is to be requested from the
    /// limit owner now, and notes these requests as under way. Each answer goes to
    /// [`Self::apply_rate_permit_answer`].
    pub fn start_permit_requests(&mut self, now: Instant) -> Vec<(Arc<str>, RunnerLimit)> {
        let runners = &mut self.runners;
        let to_request = self.limited_runner_ids.iter().filter_map(|id| {
            let limit = runners.get_mut(id)?.rate_limit_mut()?;
            Some((id.clone(), limit.start_permit_request(now)?))
        });
        to_request.collect()
    }

    /// Earliest time at which a needed permit may be requested with
    /// [`Self::start_permit_requests`]; `None` if none is needed, or those needed may be
    /// requested at any time or are being requested.
    pub fn next_permit_request_at(&self) -> Option<Instant> {
        let next_request_at = |id| self.runners.get(id)?.rate_limit()?.next_request_at();
        self.limited_runner_ids
            .iter()
            .filter_map(next_request_at)
            .min()
    }

    /// Applies the limit owner's answer to a permit request for the runner `id`.
    pub fn apply_rate_permit_answer(&mut self, id: &str, answer: RatePermitAnswer, now: Instant) {
        if let Some(limit) = self.rate_limit_mut(id) {
            limit.apply_permit_answer(answer, now);
        }
    }
}
