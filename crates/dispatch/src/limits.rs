//! What runners in need take from all nodes together.
//!
//! A runner names its limit in its answers, for as long as it holds. No node may keep
//! it alone: each call of such a runner needs leave from the home of its limit, which
//! counts for all nodes. Nodes tell each other what they heard, so that those that the
//! runner has not told yet spare it, too. The dispatcher only says for which runners
//! leave is wanted, and uses it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::RunnerLimit;
use serde::{Deserialize, Serialize};

use crate::dispatcher::Dispatcher;
use crate::runner::{RunnerEntry, RunnerKey};

/// Time after a runner's last word from which on it is asked again, also by a request
/// that others could take: no word comes from a runner that nobody uses.
const DOUBTED_AFTER: Duration = Duration::from_secs(5);
/// Time for which leave to call a runner holds.
const LEAVE_LASTS: Duration = Duration::from_millis(500);
/// Time until a home that gave no answer is asked again.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(150);
/// Time for which nodes are told that a runner names no limit any more: several
/// messages.
const END_TOLD_FOR: Duration = Duration::from_secs(3);
/// Limits that a message tells at most, some 500 bytes: where most runners are in need,
/// each node keeps what it was told by them, and the newest news.
const MOST_TOLD: usize = 32;

/// What a runner said of its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitWord {
    /// The limit; `None` where it names none.
    pub limit: Option<RunnerLimit>,
    /// When it said so.
    pub at: Instant,
}

impl LimitWord {
    /// Whether the runner named a limit, and may take more by now.
    pub fn is_doubted(&self, now: Instant) -> bool {
        self.limit.is_some() && now.saturating_duration_since(self.at) >= DOUBTED_AFTER
    }

    /// Whether the runner named a limit a short while ago.
    pub fn binds(&self, now: Instant) -> bool {
        self.limit.is_some() && !self.is_doubted(now)
    }
}

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

/// What the home of a limit says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaveAnswer {
    /// The runner may be called once.
    Granted,
    /// It may be called after this time.
    Denied(Duration),
    /// No home answered.
    Unknown,
}

/// Leave of this node to call a runner in need.
#[derive(Debug, Clone, Copy, Default)]
struct Leave {
    granted_until: Option<Instant>,
    wanted: bool,
    asking: bool,
    /// When asking makes sense again.
    next_at: Option<Instant>,
}

/// A runner that named a limit once.
#[derive(Debug)]
pub struct Limited {
    word: LimitWord,
    leave: Leave,
}

impl RunnerEntry {
    /// What it said last of its limit; `None` if it never named one.
    pub fn limit_word(&self) -> Option<LimitWord> {
        self.limited().map(|limited| limited.word)
    }

    /// Whether it names a limit, as far as this node knows.
    pub fn is_limited(&self) -> bool {
        self.limit_word().is_some_and(|word| word.limit.is_some())
    }

    /// Whether it named a limit lately, so that others are to be preferred.
    pub fn is_in_need(&self, now: Instant) -> bool {
        self.limit_word().is_some_and(|word| word.binds(now))
    }

    /// Whether it named a limit and a request is due that shows whether it still does.
    pub fn is_doubted(&self, now: Instant) -> bool {
        self.limit_word().is_some_and(|word| word.is_doubted(now))
    }

    /// Whether this node may call it now, as far as its limit goes.
    pub fn has_leave(&self, now: Instant) -> bool {
        !self.is_limited()
            || self
                .limited()
                .is_some_and(|limited| limited.leave.holds(now))
    }

    /// When this node may be allowed to call it, `ahead` other requests before.
    pub fn leave_at(&self, ahead: usize, now: Instant) -> Option<Instant> {
        let limited = self.limited()?;
        let per_second = limited.word.limit?.per_second();
        let next = limited.leave.next_at.unwrap_or(now).max(now);
        let queue = Duration::try_from_secs_f64(ahead as f64 / per_second).ok()?;
        next.checked_add(queue)
    }

    /// This node calls it.
    pub fn use_leave(&mut self) {
        if let Some(limited) = self.limited_mut() {
            limited.leave.granted_until = None;
        }
    }
}

impl Leave {
    fn holds(&self, now: Instant) -> bool {
        self.granted_until.is_some_and(|until| now < until)
    }

    /// When the home is asked next, if leave is wanted then; `None` while it is being
    /// asked, or if it may be asked at any time.
    fn next_question(&self) -> Option<Instant> {
        self.next_at
            .max(self.granted_until)
            .filter(|_| !self.asking)
    }

    fn may_ask(&self, now: Instant) -> bool {
        !self.asking && self.next_question().is_none_or(|at| at <= now)
    }
}

impl Dispatcher {
    /// Takes in what the runner `id` said of its limit; what that changes. A word
    /// older than the last one says nothing, nor does a runner that names no limit
    /// and never did.
    pub fn hear_limit(&mut self, id: &str, word: LimitWord) -> Option<LimitChange> {
        let entry = self.runners.get_mut(id)?;
        let runner = entry.runner.id.clone();
        let before = match entry.limited_mut() {
            Some(limited) if word.at < limited.word.at => return None,
            Some(limited) => {
                if word.limit.is_none() {
                    limited.leave = Leave::default();
                }
                std::mem::replace(&mut limited.word, word).limit
            }
            None => {
                word.limit?;
                let leave = Leave::default();
                entry.set_limited(Limited { word, leave });
                None
            }
        };
        self.limited.insert(runner.clone());
        (before != word.limit).then_some(LimitChange {
            runner,
            limit: word.limit,
            before,
        })
    }

    /// Takes in what another node heard; what that changes.
    pub fn hear_limits(&mut self, news: &[LimitNews], now: Instant) -> Vec<LimitChange> {
        let changes = news.iter().filter_map(|news| {
            let id = self.ids.get(&news.runner)?.clone();
            let age = Duration::from_millis(news.age_ms.into());
            let (limit, at) = (news.limit, now.checked_sub(age)?);
            self.hear_limit(&id, LimitWord { limit, at })
        });
        changes.collect()
    }

    /// What runners said last of their limits, those that named one.
    pub fn limits(&self) -> impl Iterator<Item = (&Arc<str>, LimitWord)> {
        let word = |id| self.runners.get(id)?.limit_word();
        self.limited
            .iter()
            .filter_map(move |id| Some((id, word(id)?)))
    }

    /// What other nodes are to be told of runners' limits.
    pub fn limit_news(&self, now: Instant) -> Vec<LimitNews> {
        let news = self.limits().filter_map(|(id, word)| {
            let age = now.saturating_duration_since(word.at);
            let is_told = word.limit.is_some() || age < END_TOLD_FOR;
            is_told.then_some(LimitNews {
                runner: self.runners.get(id)?.key,
                limit: word.limit,
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            })
        });
        let mut news: Vec<LimitNews> = news.collect();
        news.sort_by_key(|news| news.age_ms);
        news.truncate(MOST_TOLD);
        news
    }

    /// Notes that leave to call the runner `id` is wanted.
    pub(crate) fn want_leave(&mut self, id: &str) {
        let entry = self.runners.get_mut(id);
        if let Some(limited) = entry.and_then(RunnerEntry::limited_mut) {
            limited.leave.wanted = true;
        }
    }

    /// Runners for which the homes of their limits are to be asked for leave now; each
    /// question is answered to [`Self::take_leave`].
    pub fn leaves_to_ask(&mut self, now: Instant) -> Vec<(Arc<str>, RunnerLimit)> {
        let mut asked = Vec::new();
        for id in &self.limited {
            let entry = self.runners.get_mut(id);
            let Some(limited) = entry.and_then(RunnerEntry::limited_mut) else {
                continue;
            };
            let Some(limit) = limited.word.limit else {
                continue;
            };
            if limited.leave.wanted && limited.leave.may_ask(now) {
                limited.leave.wanted = false;
                limited.leave.asking = true;
                asked.push((id.clone(), limit));
            }
        }
        asked
    }

    /// When [`Self::leaves_to_ask`] names a runner next, if nothing else happens.
    pub fn next_leave(&self) -> Option<Instant> {
        let wanted = |id| {
            let leave = &self.runners.get(id)?.limited()?.leave;
            leave.next_question().filter(|_| leave.wanted)
        };
        self.limited.iter().filter_map(wanted).min()
    }

    /// Takes in the answer of the home of the limit of the runner `id`.
    pub fn take_leave(&mut self, id: &str, answer: LeaveAnswer, now: Instant) {
        let entry = self.runners.get_mut(id);
        let Some(limited) = entry.and_then(RunnerEntry::limited_mut) else {
            return;
        };
        let leave = &mut limited.leave;
        leave.asking = false;
        match answer {
            LeaveAnswer::Granted => leave.granted_until = Some(now + LEAVE_LASTS),
            LeaveAnswer::Denied(wait) => leave.next_at = now.checked_add(wait),
            LeaveAnswer::Unknown => leave.next_at = Some(now + UNANSWERED_PAUSE),
        }
    }
}
