//! What rate-limited runners take from all nodes together.
//!
//! A runner names its limit in its answers, for as long as it holds. No node may keep
//! it alone: each call of such a runner needs a permit from the owner of its limit, which
//! counts for all nodes. Nodes tell each other what they heard, so that those that the
//! runner has not told yet spare it, too. The dispatcher only says for which runners
//! a permit is wanted, and uses it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::RunnerLimit;
use serde::{Deserialize, Serialize};

use crate::dispatcher::Dispatcher;
use crate::rate_limit::{AdvertisedLimit, RateLimit, RatePermitAnswer};
use crate::runner::{RunnerEntry, RunnerKey};

/// Time for which nodes are told that a runner names no limit any more: several
/// messages.
const END_TOLD_FOR: Duration = Duration::from_secs(3);
/// Limits that a message tells at most, some 500 bytes: where most runners are
/// rate-limited, each node keeps what it was told by them, and the newest news.
const MOST_TOLD: usize = 32;

/// What a node tells others of a runner's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitNews {
    /// The runner.
    pub runner: RunnerKey,
    /// The limit; `None` where it names none any more.
    pub limit: Option<RunnerLimit>,
    /// Milliseconds since it said so.
    pub age_ms: u32,
}

/// A runner's limit as this node knows it has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitChange {
    /// The runner.
    pub runner: Arc<str>,
    /// The limit now.
    pub limit: Option<RunnerLimit>,
    /// The limit before.
    pub before: Option<RunnerLimit>,
}

impl RunnerEntry {
    /// What it said last of its limit; `None` if it never named one.
    pub fn advertised_limit(&self) -> Option<AdvertisedLimit> {
        self.rate_limit().map(RateLimit::advertised)
    }

    /// Whether it names a limit, as far as this node knows.
    pub fn is_limited(&self) -> bool {
        let advertised = self.advertised_limit();
        advertised.is_some_and(|advertised| advertised.limit.is_some())
    }

    /// Whether it named a limit lately, so that others are to be preferred.
    pub fn is_limited_lately(&self, now: Instant) -> bool {
        let advertised = self.advertised_limit();
        advertised.is_some_and(|advertised| advertised.binds(now))
    }

    /// Whether it named a limit and a request is due that shows whether it still does.
    pub fn is_doubted(&self, now: Instant) -> bool {
        let advertised = self.advertised_limit();
        advertised.is_some_and(|advertised| advertised.is_doubted(now))
    }

    /// Whether this node may call it now, as far as its limit goes.
    pub fn has_rate_permit(&self, now: Instant) -> bool {
        self.rate_limit().is_none_or(|limit| limit.permits(now))
    }

    /// When this node may be permitted to call it, `ahead` other requests before.
    pub fn rate_permit_at(&self, ahead: usize, now: Instant) -> Option<Instant> {
        self.rate_limit()?.permit_at(ahead, now)
    }

    /// This node calls it.
    pub fn use_rate_permit(&mut self) {
        if let Some(limit) = self.rate_limit_mut() {
            limit.use_permit();
        }
    }
}

impl Dispatcher {
    /// Takes in what the runner `id` said of its limit; what that changes. Something older
    /// than what is known says nothing, nor does a runner that names no limit and never
    /// did.
    pub fn hear_limit(&mut self, id: &str, advertised: AdvertisedLimit) -> Option<LimitChange> {
        let entry = self.runners.get_mut(id)?;
        let runner = entry.runner.id.clone();
        let before = match entry.rate_limit_mut() {
            Some(limit) => limit.hear(advertised)?,
            None => {
                advertised.limit?;
                entry.set_rate_limit(RateLimit::new(advertised));
                None
            }
        };
        self.limited.insert(runner.clone());
        (before != advertised.limit).then_some(LimitChange {
            runner,
            limit: advertised.limit,
            before,
        })
    }

    /// Takes in what another node heard; what that changes.
    pub fn hear_limits(&mut self, news: &[LimitNews], now: Instant) -> Vec<LimitChange> {
        let changes = news.iter().filter_map(|news| {
            let id = self.ids.get(&news.runner)?.clone();
            let age = Duration::from_millis(news.age_ms.into());
            let (limit, at) = (news.limit, now.checked_sub(age)?);
            self.hear_limit(&id, AdvertisedLimit { limit, at })
        });
        changes.collect()
    }

    /// What runners said last of their limits, those that named one.
    pub fn limits(&self) -> impl Iterator<Item = (&Arc<str>, AdvertisedLimit)> {
        let advertised = |id| self.runners.get(id)?.advertised_limit();
        self.limited
            .iter()
            .filter_map(move |id| Some((id, advertised(id)?)))
    }

    /// What other nodes are to be told of runners' limits.
    pub fn limit_news(&self, now: Instant) -> Vec<LimitNews> {
        let news = self.limits().filter_map(|(id, advertised)| {
            let age = now.saturating_duration_since(advertised.at);
            let is_told = advertised.limit.is_some() || age < END_TOLD_FOR;
            is_told.then_some(LimitNews {
                runner: self.runners.get(id)?.key,
                limit: advertised.limit,
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            })
        });
        let mut news: Vec<LimitNews> = news.collect();
        news.sort_by_key(|news| news.age_ms);
        news.truncate(MOST_TOLD);
        news
    }

    fn rate_limit_mut(&mut self, id: &str) -> Option<&mut RateLimit> {
        self.runners.get_mut(id)?.rate_limit_mut()
    }

    /// Notes that a permit to call the runner `id` is wanted.
    pub(crate) fn want_rate_permit(&mut self, id: &str) {
        if let Some(limit) = self.rate_limit_mut(id) {
            limit.want_permit();
        }
    }

    /// Runners for which the owners of their limits are to be asked for permits now; each
    /// question is answered to [`Self::take_rate_permit`].
    pub fn rate_permits_to_ask(&mut self, now: Instant) -> Vec<(Arc<str>, RunnerLimit)> {
        let runners = &mut self.runners;
        let to_ask = self.limited.iter().filter_map(|id| {
            let limit = runners.get_mut(id)?.rate_limit_mut()?;
            Some((id.clone(), limit.ask(now)?))
        });
        to_ask.collect()
    }

    /// When [`Self::rate_permits_to_ask`] names a runner next, if nothing else happens.
    pub fn next_rate_permit(&self) -> Option<Instant> {
        let next = |id| self.runners.get(id)?.rate_limit()?.next_question();
        self.limited.iter().filter_map(next).min()
    }

    /// Takes in the answer of the owner of the limit of the runner `id`.
    pub fn take_rate_permit(&mut self, id: &str, answer: RatePermitAnswer, now: Instant) {
        if let Some(limit) = self.rate_limit_mut(id) {
            limit.take(answer, now);
        }
    }
}
