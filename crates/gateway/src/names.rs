//! One copy of each name that many runners' entries carry: services, zones, models.
//!
//! A node keeps an entry of every runner of the site. With a copy of each name in each
//! entry, ten thousand of them take 2 MB more.

use std::collections::HashSet;
use std::sync::Arc;

use barleyspar_catalog::Runner;

/// Names beyond twice those in use after which names out of use are forgotten.
const SPARE: usize = 1024;

/// The names in use.
#[derive(Debug, Default)]
pub struct Names {
    known: HashSet<Arc<str>>,
    in_use: usize,
}

impl Names {
    /// Replaces the names in `runner` by the copies known, and gives back what its
    /// lists hold in reserve.
    pub fn share(&mut self, runner: &mut Runner) {
        self.share_name(&mut runner.service);
        self.share_name(&mut runner.zone);
        for held in &mut runner.models {
            self.share_name(&mut held.model);
            self.share_names(&mut held.adapters);
        }
        runner.models.shrink_to_fit();
        self.share_names(&mut runner.copies.memory);
        self.share_names(&mut runner.copies.disk);
    }

    fn share_names(&mut self, names: &mut Vec<Arc<str>>) {
        names.iter_mut().for_each(|name| self.share_name(name));
        names.shrink_to_fit();
    }

    fn share_name(&mut self, name: &mut Arc<str>) {
        if let Some(known) = self.known.get(name) {
            *name = known.clone();
            return;
        }
        if self.known.len() > 2 * self.in_use + SPARE {
            self.known.retain(|known| Arc::strong_count(known) > 1);
            self.in_use = self.known.len();
        }
        self.known.insert(name.clone());
    }
}

#[cfg(test)]
#[path = "names_tests.rs"]
mod tests;
