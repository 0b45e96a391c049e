//! How old a node's knowledge may grow, from the bounds that the site promises.

use std::time::Duration;

use barleyspar_catalog::Bounds;

/// Parts of the shortest bound within which a change must have effect.
const POLL_PART: f64 = 0.2;
const BATCH_PART: f64 = 0.1;
const AGE_PART: f64 = 0.55;
const STEP_PART: f64 = 0.05;
/// A store that was silent is asked again within this part of the bound after it
/// serves again, which leaves as much for its answer and the way to followers.
const ASK_PART: f64 = 0.5;
/// Most answers take a few milliseconds, those of a slow store a tenth of the
/// shortest bound.
const UNSERVED_PART: f64 = 0.15;
/// A peer that knows more says so in its first frame, milliseconds after the
/// hello; one of eight is found within two bounds.
const TRIAL_PART: f64 = 0.25;
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
    /// Time between calls to a store that does not answer.
    pub ask_period: Duration,
    /// Time without the store's answer after which peers are asked besides.
    pub unserved_after: Duration,
    /// Time for a peer to show newer knowledge when the store does not serve us.
    pub peer_trial: Duration,
    age: Duration,
    step: Duration,
}

impl FeedTimes {
    /// The times for a site's bounds.
    pub fn new(bounds: &Bounds) -> Self {
        let bound = bounds.change_in_force.min(bounds.drain_timeout);
        let bound = bounds.evacuation.map_or(bound, |time| bound.min(time));
        Self {
            poll: bound.mul_f64(POLL_PART),
            batch_pause: bound.mul_f64(BATCH_PART),
            ask_period: bound.mul_f64(ASK_PART),
            unserved_after: bound.mul_f64(UNSERVED_PART),
            peer_trial: bound.mul_f64(TRIAL_PART),
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
