//! Runners that said that they leave, in their answers or by their entries.
//!
//! The store may hear of it much later than callers' requests do, and may show an older
//! entry again afterwards: what a runner said holds for as long as this life of it. What it
//! said in an answer nodes tell each other, so that those that it has not answered send it
//! nothing either.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::dispatcher::Dispatcher;

/// Time for which it is remembered that a runner leaves: longer than any takes to end, and
/// than its entry takes to go.
const REMEMBERED_FOR: Duration = Duration::from_secs(600);
/// Time for which other nodes are told that a runner leaves: many messages.
const TOLD_FOR: Duration = Duration::from_secs(30);
/// Leaving runners that a message names at most, some kilobyte.
const MOST_TOLD: usize = 32;

/// What a node tells others of a runner that leaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNews {
    /// The runner's life.
    pub runner: Arc<str>,
    /// Milliseconds since it said so first.
    pub age_ms: u32,
}

/// The runners that said that they leave, and how each said so first.
#[derive(Debug, Default)]
pub struct Leaving {
    said: BTreeMap<Arc<str>, Said>,
}

/// How a runner said that it leaves.
#[derive(Debug, Clone, Copy)]
struct Said {
    at: Instant,
    /// Whether by its entry in the store, which every node reads.
    in_store: bool,
}

impl Leaving {
    /// The runner `id` said so; whether that is news.
    fn add(&mut self, id: &Arc<str>, said: Said, now: Instant) -> bool {
        self.said
            .retain(|_, said| now.saturating_duration_since(said.at) < REMEMBERED_FOR);
        if self.contains(id) {
            return false;
        }
        self.said.insert(id.clone(), said);
        true
    }

    /// Whether the runner `id` leaves.
    pub fn contains(&self, id: &str) -> bool {
        self.said.contains_key(id)
    }

    /// What others are to be told: what became known last, if there is much.
    fn news(&self, now: Instant) -> Vec<LeavingNews> {
        let age = |said: &Said| now.saturating_duration_since(said.at);
        let told = self
            .said
            .iter()
            .filter(|(_, said)| !said.in_store && age(said) < TOLD_FOR);
        let mut news: Vec<LeavingNews> = told
            .map(|(runner, said)| LeavingNews {
                runner: runner.clone(),
                age_ms: u32::try_from(age(said).as_millis()).unwrap_or(u32::MAX),
            })
            .collect();
        news.sort_by_key(|news| news.age_ms);
        news.truncate(MOST_TOLD);
        news
    }
}

impl Dispatcher {
    /// Takes in that the entry of the runner `id` says that it leaves; whether that is
    /// news.
    pub(crate) fn see_leaving(&mut self, id: &Arc<str>, now: Instant) -> bool {
        let in_store = true;
        self.leaving.add(id, Said { at: now, in_store }, now)
    }

    /// Takes in that the runner `id` said at `at` that it leaves; whether that is news.
    pub fn hear_leaving(&mut self, id: &Arc<str>, at: Instant, now: Instant) -> bool {
        let in_store = false;
        let is_news = self.leaving.add(id, Said { at, in_store }, now);
        if let Some(entry) = self.runners.get_mut(id) {
            entry.leave();
        }
        is_news
    }

    /// Takes in what another node heard; the runners of which that is news.
    pub fn hear_leaving_news(&mut self, news: &[LeavingNews], now: Instant) -> Vec<Arc<str>> {
        let added = news.iter().filter(|news| {
            let age = Duration::from_millis(news.age_ms.into());
            let at = now.checked_sub(age).unwrap_or(now);
            age < TOLD_FOR && self.hear_leaving(&news.runner, at, now)
        });
        added.map(|news| news.runner.clone()).collect()
    }

    /// The runners that said that they leave.
    pub fn leaving(&self) -> BTreeSet<Arc<str>> {
        self.leaving.said.keys().cloned().collect()
    }

    /// What other nodes are to be told of leaving runners.
    pub fn leaving_news(&self, now: Instant) -> Vec<LeavingNews> {
        self.leaving.news(now)
    }
}
