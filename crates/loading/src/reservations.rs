//! Places set aside for replicas: a plan of several orders to one runner is one
//! decision, kept until it is carried out or makes no sense any more.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::view::RunnerView;

/// Longest time for which a runner stays set aside.
const LONGEST: Duration = Duration::from_secs(6);

#[derive(Debug)]
struct Reservation {
    model: Arc<str>,
    since: Instant,
}

/// By runner, the model that it is to load.
#[derive(Debug, Default)]
pub struct Reservations {
    by_runner: BTreeMap<Arc<str>, Reservation>,
}

impl Reservations {
    /// The model that `runner` is set aside for.
    pub fn get(&self, runner: &str) -> Option<&Arc<str>> {
        self.by_runner
            .get(runner)
            .map(|reservation| &reservation.model)
    }

    /// Sets `runner` aside for `model`.
    pub fn insert(&mut self, runner: Arc<str>, model: Arc<str>, since: Instant) {
        self.by_runner.insert(runner, Reservation { model, since });
    }

    /// Ends the reservation of `runner`.
    pub fn remove(&mut self, runner: &str) {
        self.by_runner.remove(runner);
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.by_runner.clear();
    }

    /// Forgets what is done, too old, at a runner that is gone, or for a model
    /// that `is_wanted` no longer names.
    pub fn retain(
        &mut self,
        runners: &[RunnerView],
        is_wanted: impl Fn(&str, &str) -> bool,
        now: Instant,
    ) {
        self.by_runner.retain(|id, reservation| {
            let Some(runner) = runners.iter().find(|runner| runner.id == *id) else {
                return false;
            };
            let model = &*reservation.model;
            let young = now.saturating_duration_since(reservation.since) < LONGEST;
            let open = runner.open && runner.reachable;
            let done = runner.held(model).is_some() && !runner.unloads(model);
            young && open && !done && is_wanted(&runner.service, model)
        });
    }
}
