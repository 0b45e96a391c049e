//! Which runners may hold a model, so that a request looks at these alone.
//!
//! An index, kept a superset of the truth: a runner that it names is still
//! asked whether it holds the model, one that it does not name never does.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// Runners by the models that they may hold.
#[derive(Debug, Default)]
pub struct Holders {
    by_model: HashMap<Arc<str>, BTreeSet<Arc<str>>>,
}

impl Holders {
    /// The runner `id` may hold `after`, where it might hold `before` until now.
    pub fn change(&mut self, id: &Arc<str>, before: &[Arc<str>], after: &[Arc<str>]) {
        for model in before.iter().filter(|model| !after.contains(model)) {
            self.forget(id, model);
        }
        for model in after.iter().filter(|model| !before.contains(model)) {
            let runners = self.by_model.entry(model.clone()).or_default();
            runners.insert(id.clone());
        }
    }

    fn forget(&mut self, id: &Arc<str>, model: &Arc<str>) {
        let Some(runners) = self.by_model.get_mut(model) else {
            return;
        };
        runners.remove(id);
        if runners.is_empty() {
            self.by_model.remove(model);
        }
    }

    /// Runners that may hold `model`, in the order of their ids.
    pub fn of(&self, model: &str) -> impl Iterator<Item = &Arc<str>> {
        self.by_model.get(model).into_iter().flatten()
    }
}

#[cfg(test)]
#[path = "holders_tests.rs"]
mod tests;
