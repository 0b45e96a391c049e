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
    models: HashMap<Arc<str>, Vec<Arc<str>>>,
}

impl Holders {
    /// The runner `id` may hold `models`, and no others.
    pub fn set(&mut self, id: &Arc<str>, models: Vec<Arc<str>>) {
        if self.models.get(id).is_some_and(|known| *known == models) {
            return;
        }
        self.remove(id);
        for model in &models {
            self.by_model
                .entry(model.clone())
                .or_default()
                .insert(id.clone());
        }
        self.models.insert(id.clone(), models);
    }

    /// The runner `id` is gone.
    pub fn remove(&mut self, id: &str) {
        for model in self.models.remove(id).unwrap_or_default() {
            let Some(runners) = self.by_model.get_mut(&model) else {
                continue;
            };
            runners.remove(id);
            if runners.is_empty() {
                self.by_model.remove(&model);
            }
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
