//! Interns the names that many runners' entries contain: services, zones, models, adapters.
//!
//! A node keeps an entry for every runner of the site. With a separate copy of each name in
//! each entry, ten thousand entries take 2 MB more.

use std::collections::HashSet;
use std::sync::Arc;

use barleyspar_catalog::Runner;

/// Unused names are removed once there are more names than twice those in use at the last
/// cleanup plus this number.
const UNUSED_ALLOWANCE: usize = 1024;

/// A set of interned names. Names that no runner's entry uses are removed from time to time.
#[derive(Debug, Default)]
pub struct Names {
    interned: HashSet<Arc<str>>,
    used_at_cleanup: usize,
}

impl Names {
    /// Replaces the names in `runner` by their interned copies, and frees the unused capacity
    /// of its lists.
    pub fn intern_names(&mut self, runner: &mut Runner) {
        self.intern(&mut runner.service);
        self.intern(&mut runner.zone);
        for loaded in &mut runner.models {
            self.intern(&mut loaded.model);
            self.intern_all(&mut loaded.adapters);
        }
        runner.models.shrink_to_fit();
        self.intern_all(&mut runner.copies.memory);
        self.intern_all(&mut runner.copies.disk);
    }

    fn intern_all(&mut self, names: &mut Vec<Arc<str>>) {
        names.iter_mut().for_each(|name| self.intern(name));
        names.shrink_to_fit();
    }

    fn intern(&mut self, name: &mut Arc<str>) {
        if let Some(interned) = self.interned.get(name) {
            *name = interned.clone();
            return;
        }
        if self.interned.len() > 2 * self.used_at_cleanup + UNUSED_ALLOWANCE {
            self.interned
                .retain(|interned| Arc::strong_count(interned) > 1);
            self.used_at_cleanup = self.interned.len();
        }
        self.interned.insert(name.clone());
    }
}

#[cfg(test)]
#[path = "names_tests.rs"]
mod tests;
