//! Estimates how long the cold start of a model takes: the time from the first request
//! for a model that no runner holds until a runner holds it.
//!
//! The load itself takes a known time; waiting for a runner, for memory to be freed and
//! for the weight store's rate does not. The duration of recent cold starts of a service
//! covers all of these together.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::ModelReference;

/// Weight of the newest cold start in the moving average.
const NEWEST_WEIGHT: f64 = 0.3;
/// Time after which a cold start without a recorded end is dropped.
const MAX_TRACKED_AGE: Duration = Duration::from_secs(30);
/// Time for which the average duration of recent cold starts is used.
const AVERAGE_LIFETIME: Duration = Duration::from_secs(15);
/// Minimum of the estimated time until a cold start ends.
const MIN_REMAINING: Duration = Duration::from_millis(400);
/// Remaining time of a cold start that has taken longer than expected, as a fraction of
/// its age.
const OVERDUE_FRACTION: f64 = 0.5;

#[derive(Debug)]
struct AverageDuration {
    seconds: f64,
    at: Instant,
}

/// Cold starts under way, and the average duration of recent ones for each service.
#[derive(Debug, Default)]
pub struct ColdStarts {
    wanted_since: HashMap<(Arc<str>, ModelReference), Instant>,
    averages: HashMap<Arc<str>, AverageDuration>,
}

impl ColdStarts {
    /// Records that a request wants the model `wanted` and that no runner holds it. The
    /// cold start counts from the first such request.
    pub fn record_begin(&mut self, service: &Arc<str>, wanted: &ModelReference, now: Instant) {
        self.wanted_since
            .retain(|_, since| now.saturating_duration_since(*since) < MAX_TRACKED_AGE);
        self.wanted_since
            .entry((service.clone(), wanted.clone()))
            .or_insert(now);
    }

    /// Ends the cold starts of `service` whose model `is_loaded`, and takes their
    /// durations into the average.
    pub fn record_end(
        &mut self,
        service: &Arc<str>,
        is_loaded: impl Fn(&ModelReference) -> bool,
        now: Instant,
    ) {
        let mut samples = Vec::new();
        self.wanted_since.retain(|(wanted_service, wanted), since| {
            let ended = wanted_service == service && is_loaded(wanted);
            if ended {
                samples.push(now.saturating_duration_since(*since));
            }
            !ended
        });
        for sample in samples {
            self.add_sample(service, sample, now);
        }
    }

    fn add_sample(&mut self, service: &Arc<str>, sample: Duration, now: Instant) {
        let sample = sample.as_secs_f64();
        let average = self
            .averages
            .entry(service.clone())
            .or_insert(AverageDuration {
                seconds: sample,
                at: now,
            });
        let age = now.saturating_duration_since(average.at);
        let weight = if age > AVERAGE_LIFETIME {
            1.0
        } else {
            NEWEST_WEIGHT
        };
        average.seconds += weight * (sample - average.seconds);
        average.at = now;
    }

    /// Returns the time until `wanted` is expected to be ready, if its load alone takes
    /// `load`.
    pub fn remaining(
        &self,
        service: &Arc<str>,
        wanted: &ModelReference,
        load: Duration,
        now: Instant,
    ) -> Duration {
        let recent_average = self
            .averages
            .get(service)
            .filter(|recent_average| {
                now.saturating_duration_since(recent_average.at) < AVERAGE_LIFETIME
            })
            .map_or(Duration::ZERO, |recent_average| {
                Duration::from_secs_f64(recent_average.seconds)
            });
        let expected_total = load.max(recent_average);
        let age = self
            .wanted_since
            .get(&(service.clone(), wanted.clone()))
            .map_or(Duration::ZERO, |since| {
                now.saturating_duration_since(*since)
            });
        if age > expected_total {
            return age.mul_f64(OVERDUE_FRACTION).max(MIN_REMAINING);
        }
        (expected_total - age).max(MIN_REMAINING)
    }
}

#[cfg(test)]
#[path = "cold_start_tests.rs"]
mod tests;
