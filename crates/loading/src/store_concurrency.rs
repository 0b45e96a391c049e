//! Estimates how many loads from the weight store can run concurrently at full speed.
//!
//! The store does not publish this number; it is derived from loads that took longer than
//! they take alone.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum number of concurrent loads while nothing is known about the store.
const INITIAL_MAXIMUM: f64 = 4.0;
/// Time in seconds within which the first loads should end even if the store serves only
/// one at full speed: about as long as callers of batch work wait. Where a load takes 13
/// to 20 s and only one runs at full speed, four at once keep four runners from all other
/// orders for a minute each, and none of them ends within `LOAD_TIMEOUT`, so that the
/// estimate never improves.
const FIRST_WAVE_SECONDS: f64 = 25.0;
/// Minimum number of concurrent loads; without any load the estimate could not improve.
const MINIMUM_LIMIT: f64 = 1.0;
/// Ratio of a load's time to its time alone above which it counts as slowed by other
/// loads.
const SLOWDOWN_RATIO: f64 = 1.25;
/// Growth factor of the estimate per wave of loads (loads that run at the same time)
/// until one is slowed. A wave is slowed at most by the factor by which the estimate
/// overshoots.
const INITIAL_GROWTH: f64 = 1.5;
/// Time after the start of leadership, in multiples of a load's time, during which loads
/// of the previous leader may slow the loads of this one.
const PREDECESSOR_LOADS_FACTOR: f64 = 2.0;
/// Delay between the end of a load and the report that shows it.
const REPORT_DELAY: Duration = Duration::from_millis(350);
/// Time after which a load whose end was never reported is dropped.
const LOAD_TIMEOUT: Duration = Duration::from_secs(40);

#[derive(Debug)]
struct Load {
    model: Arc<str>,
    started_at: Instant,
    /// Time that the load takes if no other load runs at the same time.
    time_alone: Duration,
    /// Number of loads in progress when this one started, itself included.
    concurrent: usize,
}

/// Estimate of the concurrency limit of one service's weight store, and the loads in
/// progress.
#[derive(Debug)]
pub struct StoreConcurrency {
    loads: BTreeMap<Arc<str>, Load>,
    leading_since: Instant,
    /// Longest time that any model of the service takes to load alone.
    longest_load: Duration,
    /// Estimated number of concurrent loads at full speed; `None` until a load has ended.
    at_full_speed: Option<f64>,
    /// Whether a load has been slowed by others. Until then the estimate grows by
    /// `INITIAL_GROWTH`.
    slowdown_seen: bool,
}

impl StoreConcurrency {
    /// Creates an estimate without observations, for a node that leads from
    /// `leading_since` on.
    pub fn new(leading_since: Instant) -> Self {
        Self {
            loads: BTreeMap::new(),
            leading_since,
            longest_load: Duration::ZERO,
            at_full_speed: None,
            slowdown_seen: false,
        }
    }

    /// Returns whether one more load is expected to run at full speed, next to the loads
    /// in progress and `planned` loads that are about to start.
    pub fn allows_load(&self, planned: usize) -> bool {
        ((self.loads.len() + planned) as f64) < self.concurrency_limit()
    }

    /// Returns the number of loads that are assumed to be in progress: started, and
    /// neither reported as ended nor timed out.
    pub fn loads_in_progress(&self) -> usize {
        self.loads.len()
    }

    /// Returns the number of concurrent loads that are expected to run at full speed.
    pub fn concurrency_limit(&self) -> f64 {
        self.at_full_speed.unwrap_or_else(|| {
            let seconds = self.longest_load.as_secs_f64().max(f64::EPSILON);
            (FIRST_WAVE_SECONDS / seconds)
                .floor()
                .clamp(MINIMUM_LIMIT, INITIAL_MAXIMUM)
        })
    }

    /// Sets the longest time that any model takes to load alone, from which the first
    /// limit is derived.
    pub fn set_longest_load(&mut self, longest_load: Duration) {
        self.longest_load = longest_load;
    }

    /// Records that a load starts at `runner`, which takes `time_alone` if no other load
    /// runs at the same time.
    pub fn record_start(
        &mut self,
        runner: Arc<str>,
        model: Arc<str>,
        time_alone: Duration,
        now: Instant,
    ) {
        let concurrent = self.loads.len() + 1;
        let load = Load {
            model,
            started_at: now,
            time_alone,
            concurrent,
        };
        self.loads.insert(runner, load);
    }

    /// Removes loads that have ended and updates the estimate from their times. `is_held`
    /// returns whether a runner holds a model, or `None` if the runner is gone.
    pub fn update(&mut self, is_held: impl Fn(&str, &str) -> Option<bool>, now: Instant) {
        let mut ended = Vec::new();
        self.loads.retain(|runner, load| {
            let age = now.saturating_duration_since(load.started_at);
            match is_held(runner, &load.model) {
                Some(true) => {
                    let beside_predecessor_loads = load.started_at
                        < self.leading_since + load.time_alone.mul_f64(PREDECESSOR_LOADS_FACTOR);
                    let took = age.saturating_sub(REPORT_DELAY);
                    ended.push((
                        took,
                        load.time_alone,
                        load.concurrent,
                        beside_predecessor_loads,
                    ));
                    false
                }
                Some(false) => age < LOAD_TIMEOUT,
                None => false,
            }
        });
        for (took, time_alone, concurrent, beside_predecessor_loads) in ended {
            let slowdown = took.as_secs_f64() / time_alone.as_secs_f64().max(f64::EPSILON);
            if slowdown <= SLOWDOWN_RATIO || !beside_predecessor_loads {
                self.update_estimate(slowdown, concurrent as f64);
            }
        }
    }

    /// Updates the estimate from a load that took `slowdown` times as long as alone and
    /// started as one of `concurrent` loads.
    fn update_estimate(&mut self, slowdown: f64, concurrent: f64) {
        if slowdown > SLOWDOWN_RATIO {
            self.slowdown_seen = true;
            self.at_full_speed = Some((concurrent / slowdown).max(MINIMUM_LIMIT));
        } else if !self.slowdown_seen {
            // No load has been slowed yet: as in TCP slow start, the limit is reached in
            // few steps at the cost of one slowed wave.
            self.at_full_speed = Some(self.concurrency_limit().max(concurrent * INITIAL_GROWTH));
        } else if concurrent + 1.0 >= self.concurrency_limit() {
            self.at_full_speed = Some(self.concurrency_limit() + 1.0);
        }
    }
}

#[cfg(test)]
#[path = "store_concurrency_tests.rs"]
mod tests;
