//! Time limits of the feed, derived from the site's bounds.

use std::time::Duration;

use barleyspar_catalog::Bounds;

/// Fractions of the shortest bound within which a change must take effect.
const POLL_FRACTION: f64 = 0.2;
const BATCH_FRACTION: f64 = 0.1;
const AGE_FRACTION: f64 = 0.55;
const STEP_FRACTION: f64 = 0.05;
/// After an unresponsive store is back, it is called within this fraction of the bound,
/// which leaves as much for its answer and for sending it to followers.
const CALL_FRACTION: f64 = 0.5;
/// Most answers take a few milliseconds, those of a slow store a tenth of the shortest
/// bound.
const UNREACHABLE_FRACTION: f64 = 0.15;
/// A peer with a newer copy shows it in its first frame, milliseconds after the hello;
/// with this fraction one such peer out of eight is found within two bounds.
const TRIAL_FRACTION: f64 = 0.25;
/// Maximum depth for which [`FeedTimes::max_age`] grows; trees with more nodes than fit
/// in this depth are not planned for.
const MAX_COUNTED_DEPTH: u32 = 4;

/// Time limits of the feed at one site.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedTimes {
    /// Maximum time for which the store holds a poll. The copy is up to twice as old
    /// before the next poll's answer.
    pub poll: Duration,
    /// Pause after a poll that returned changes, so that the next ones come in batches.
    pub batch_pause: Duration,
    /// Time between calls while the store does not answer.
    pub call_period: Duration,
    /// Time without an answer of the store after which it counts as unreachable and
    /// peers are asked too.
    pub unreachable_after: Duration,
    /// Time for a peer to show a newer copy while the store is unreachable from this
    /// node.
    pub peer_trial: Duration,
    age: Duration,
    step: Duration,
}

impl FeedTimes {
    /// Derives the times from the shortest of the site's bounds on taking over changes.
    pub fn new(bounds: &Bounds) -> Self {
        let bound = bounds.configuration_apply_time.min(bounds.drain_timeout);
        let bound = bounds.evacuation_time.map_or(bound, |time| bound.min(time));
        Self {
            poll: bound.mul_f64(POLL_FRACTION),
            batch_pause: bound.mul_f64(BATCH_FRACTION),
            call_period: bound.mul_f64(CALL_FRACTION),
            unreachable_after: bound.mul_f64(UNREACHABLE_FRACTION),
            peer_trial: bound.mul_f64(TRIAL_FRACTION),
            age: bound.mul_f64(AGE_FRACTION),
            step: bound.mul_f64(STEP_FRACTION),
        }
    }

    /// Maximum age of the copy of a node that is `depth` steps from the store's
    /// watcher; from then on the node calls the store itself. It grows with the depth,
    /// so that nearer nodes call first and the others receive the answer from them.
    pub fn max_age(&self, depth: u32) -> Duration {
        self.age + self.step * depth.min(MAX_COUNTED_DEPTH)
    }
}
