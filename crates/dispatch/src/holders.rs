//! Index of the runners that may hold a model, so that a request looks at these alone.
//!
//! The index is a superset of the true holders: callers still check whether a runner from
//! the index holds the model, while a runner that is not in the index never does.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// Ids of runners by the models that they may hold.
#[derive(Debug, Default)]
pub struct Holders {
    by_model: HashMap<Arc<str>, BTreeSet<Arc<str>>>,
}

impl Holders {
    /// Replaces the models of the runner `id` in the index: `before` are those that it
    /// had there, `after` those that it may hold from now on.
    pub fn replace_models(&mut self, id: &Arc<str>, before: &[Arc<str>], after: &[Arc<str>]) {
        for model in before.iter().filter(|model| !after.contains(model)) {
            self.remove(id, model);
        }
        for model in after.iter().filter(|model| !before.contains(model)) {
            let runners = self.by_model.entry(model.clone()).or_default();
            runners.insert(id.clone());
        }
    }

    fn remove(&mut self, id: &Arc<str>, model: &Arc<str>) {
        let Some(runners) = self.by_model.get_mut(model) else {
            return;
        };
        runners.remove(id);
        if runners.is_empty() {
            self.by_model.remove(model);
        }
    }

    /// Returns the ids of the runners that may hold `model`, in ascending order.
    pub fn possible_holders(&self, model: &str) -> impl Iterator<Item = &Arc<str>> {
        self.by_model.get(model).into_iter().flatten()
    }
}

#[cfg(test)]
#[path = "holders_tests.rs"]
mod tests;
