//! What runners in need take from all nodes together, as they said last.

use std::sync::Arc;
use std::time::Instant;

use barleyspar_catalog::RunnerLimit;

use crate::dispatcher::Dispatcher;
use crate::runner::RunnerEntry;

/// What a runner said of its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitWord {
    /// The limit; `None` where it names none.
    pub limit: Option<RunnerLimit>,
    /// When it said so.
    pub at: Instant,
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
    /// Whether it names a limit, as far as this node knows.
    pub fn is_limited(&self) -> bool {
        self.limit().is_some_and(|word| word.limit.is_some())
    }
}

impl Dispatcher {
    /// Takes in what the runner `id` said of its limit; what that changes. A word
    /// older than the last one says nothing, nor does a runner that names no limit
    /// and never did.
    pub fn hear_limit(&mut self, id: &str, word: LimitWord) -> Option<LimitChange> {
        let entry = self.runners.get_mut(id)?;
        let known = entry.limit();
        let is_late = known.is_some_and(|known| word.at < known.at);
        if is_late || (known.is_none() && word.limit.is_none()) {
            return None;
        }
        entry.set_limit(word);
        let before = known.and_then(|known| known.limit);
        (before != word.limit).then(|| LimitChange {
            runner: entry.runner.id.clone(),
            limit: word.limit,
            before,
        })
    }
}
