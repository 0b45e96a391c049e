//! How long models take to be there once somebody wants them.
//!
//! Loading itself takes a known time; waiting for a runner, for memory to be
//! freed and for the weight store's rate does not. What cold starts took lately
//! tells both together.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::ModelReference;

/// Weight of the newest cold start.
const WEIGHT: f64 = 0.3;
/// Time after which a cold start that nobody saw end is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(30);
/// Time after which what cold starts took tells nothing any more.
const BELIEVED_FOR: Duration = Duration::from_secs(15);
/// Shortest time that is foretold.
const SHORTEST: Duration = Duration::from_millis(400);
/// Part of its age that a cold start is thought to take still when it has
/// taken longer than expected.
const OVERDUE_PART: f64 = 0.5;

#[derive(Debug)]
struct Observed {
    seconds: f64,
    at: Instant,
}

/// Cold starts under way, and what they took lately.
#[derive(Debug, Default)]
pub struct ColdStarts {
    wanted_since: HashMap<(Arc<str>, ModelReference), Instant>,
    observed: HashMap<Arc<str>, Observed>,
}

impl ColdStarts {
    /// Somebody wants `wanted` and no runner holds it.
    pub fn begin(&mut self, service: &Arc<str>, wanted: &ModelReference, now: Instant) {
        self.wanted_since
            .retain(|_, since| now.saturating_duration_since(*since) < FORGOTTEN_AFTER);
        self.wanted_since
            .entry((service.clone(), wanted.clone()))
            .or_insert(now);
    }

    /// Takes in which of the wanted models are there now.
    pub fn end(
        &mut self,
        service: &Arc<str>,
        is_there: impl Fn(&ModelReference) -> bool,
        now: Instant,
    ) {
        let mut samples = Vec::new();
        self.wanted_since.retain(|(of, wanted), since| {
            let ended = of == service && is_there(wanted);
            if ended {
                samples.push(now.saturating_duration_since(*since));
            }
            !ended
        });
        for sample in samples {
            self.observe(service, sample, now);
        }
    }

    fn observe(&mut self, service: &Arc<str>, sample: Duration, now: Instant) {
        let sample = sample.as_secs_f64();
        let known = self.observed.entry(service.clone()).or_insert(Observed {
            seconds: sample,
            at: now,
        });
        let age = now.saturating_duration_since(known.at);
        let weight = if age > BELIEVED_FOR { 1.0 } else { WEIGHT };
        known.seconds += weight * (sample - known.seconds);
        known.at = now;
    }

    /// Time until `wanted` is expected to be there, if its load takes `load`.
    pub fn remaining(
        &self,
        service: &Arc<str>,
        wanted: &ModelReference,
        load: Duration,
        now: Instant,
    ) -> Duration {
        let observed = self
            .observed
            .get(service)
            .filter(|observed| now.saturating_duration_since(observed.at) < BELIEVED_FOR)
            .map_or(Duration::ZERO, |observed| {
                Duration::from_secs_f64(observed.seconds)
            });
        let whole = load.max(observed);
        let age = self
            .wanted_since
            .get(&(service.clone(), wanted.clone()))
            .map_or(Duration::ZERO, |since| {
                now.saturating_duration_since(*since)
            });
        if age > whole {
            return age.mul_f64(OVERDUE_PART).max(SHORTEST);
        }
        (whole - age).max(SHORTEST)
    }
}

#[cfg(test)]
#[path = "cold_start_tests.rs"]
mod tests;
