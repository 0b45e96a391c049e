//! How old a node's knowledge may grow, from the bounds that the site promises.

use std::time::Duration;

use barleyspar_catalog::Bounds;

/// Parts of the shortest bound within which a change must have effect.
const POLL_PART: f64 = 0.2;
const BATCH_PART: f64 = 0.1;
const AGE_PART: f64 = 0.55;
const STEP_PART: f64 = 0.05;
/// Steps that count; trees of more nodes than these carry are not planned for.
const MOST_STEPS: u32 = 4;

/// Times of the feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedTimes {
    /// Longest time that the store holds a poll. Knowledge is up to twice as
    /// old before the next poll's answer.
    pub poll: Duration,
    /// Pause between polls that had changes, so that these come in batches.
    pub batch_pause: Duration,
    age: Duration,
    step: Duration,
}

impl FeedTimes {
    /// The times for a site's bounds.
    pub fn new(bounds: &Bounds) -> Self {
        let bound = bounds.change_in_force.min(bounds.drain_timeout);
        Self {
            poll: bound.mul_f64(POLL_PART),
            batch_pause: bound.mul_f64(BATCH_PART),
            age: bound.mul_f64(AGE_PART),
            step: bound.mul_f64(STEP_PART),
        }
    }

    /// Age of knowledge from which on a node `depth` steps from the store's
    /// watcher asks the store itself: nearer ones first, so that the others
    /// hear of the answer.
    pub fn longest_age(&self, depth: u32) -> Duration {
        self.age + self.step * depth.min(MOST_STEPS)
    }
}
