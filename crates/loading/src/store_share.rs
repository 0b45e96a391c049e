//! How many loads from the weight store run at full speed at once.
//!
//! The store does not say; loads that took longer than they take alone do.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Most loads at once from a store of which nothing has been seen.
const MOST_AT_FIRST: f64 = 4.0;
/// Time in seconds within which loads from a store of which nothing has been seen
/// should end even if it runs one at a time at full speed: about as long as callers
/// of batch work wait. Where a load takes 13 to 20 s and only one runs at full speed,
/// four at once kept four runners from all other orders for a minute each, and not
/// one of them ended in a day.
const WORST_WAVE: f64 = 25.0;
/// Loads that may always run, so that something is seen.
const FEWEST: f64 = 1.0;
/// Factor from which on a load counts as slowed by others.
const SLOWED: f64 = 1.25;
/// Growth of the estimate with each wave of loads while none was slowed: what it
/// overshoots by makes a wave at most as much slower.
const FIRST_GROWTH: f64 = 1.5;
/// Time from the beginning, in times of a load, within which loads that nobody
/// here began may slow others: a predecessor's, which also slowed each other.
const STRANGERS_FOR: f64 = 2.0;
/// Time until a load's end is known.
const SEEN_AFTER: Duration = Duration::from_millis(350);
/// Time after which a load that nobody saw end is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(40);

#[derive(Debug)]
struct Load {
    model: Arc<str>,
    began: Instant,
    alone: Duration,
    beside: usize,
}

/// Loads from one service's weight store.
#[derive(Debug)]
pub struct StoreShare {
    loads: BTreeMap<Arc<str>, Load>,
    since: Instant,
    /// What a load takes by itself at most.
    longest_load: Duration,
    /// Loads that run at full speed at once, once any was seen to end.
    at_full_speed: Option<f64>,
    /// Whether a load was seen slowed by others: until then the estimate doubles.
    bound_seen: bool,
}

impl StoreShare {
    /// Nothing is known yet; this node orders loads from `since` on.
    pub fn new(since: Instant) -> Self {
        Self {
            loads: BTreeMap::new(),
            since,
            longest_load: Duration::ZERO,
            at_full_speed: None,
            bound_seen: false,
        }
    }

    /// Whether one more load, with `planned` that are about to begin, runs at
    /// full speed as far as is known.
    pub fn has_room(&self, planned: usize) -> bool {
        ((self.loads.len() + planned) as f64) < self.bound()
    }

    /// Loads that are thought to be under way.
    pub fn under_way(&self) -> usize {
        self.loads.len()
    }

    /// Loads that are thought to run at full speed at once.
    pub fn bound(&self) -> f64 {
        self.at_full_speed.unwrap_or_else(|| {
            let seconds = self.longest_load.as_secs_f64().max(f64::EPSILON);
            (WORST_WAVE / seconds).floor().clamp(FEWEST, MOST_AT_FIRST)
        })
    }

    /// Takes in what a load takes by itself at most.
    pub fn set_longest_load(&mut self, longest_load: Duration) {
        self.longest_load = longest_load;
    }

    /// A load that takes `alone` by itself begins at `runner`.
    pub fn begin(&mut self, runner: Arc<str>, model: Arc<str>, alone: Duration, now: Instant) {
        let beside = self.loads.len() + 1;
        let load = Load {
            model,
            began: now,
            alone,
            beside,
        };
        self.loads.insert(runner, load);
    }

    /// Takes in which loads have ended: `is_held` tells whether a runner holds a
    /// model, or `None` if that runner is gone.
    pub fn update(&mut self, is_held: impl Fn(&str, &str) -> Option<bool>, now: Instant) {
        let mut ended = Vec::new();
        self.loads.retain(|runner, load| {
            let age = now.saturating_duration_since(load.began);
            match is_held(runner, &load.model) {
                Some(true) => {
                    let beside_strangers =
                        load.began < self.since + load.alone.mul_f64(STRANGERS_FOR);
                    let took = age.saturating_sub(SEEN_AFTER);
                    ended.push((took, load.alone, load.beside, beside_strangers));
                    false
                }
                Some(false) => age < FORGOTTEN_AFTER,
                None => false,
            }
        });
        for (took, alone, beside, beside_strangers) in ended {
            let slowness = took.as_secs_f64() / alone.as_secs_f64().max(f64::EPSILON);
            if slowness <= SLOWED || !beside_strangers {
                self.learn(slowness, beside as f64);
            }
        }
    }

    fn learn(&mut self, slowness: f64, beside: f64) {
        if slowness > SLOWED {
            self.bound_seen = true;
            self.at_full_speed = Some((beside / slowness).max(FEWEST));
        } else if !self.bound_seen {
            // Nothing has been lost so far: as with a connection's first window,
            // the bound is found in few steps, and costs one slowed wave.
            self.at_full_speed = Some(self.bound().max(beside * FIRST_GROWTH));
        } else if beside + 1.0 >= self.bound() {
            self.at_full_speed = Some(self.bound() + 1.0);
        }
    }
}

#[cfg(test)]
#[path = "store_share_tests.rs"]
mod tests;
