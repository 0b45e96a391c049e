//! Time limits of the feed, derived from the site's bounds.

use std::time::Duration;

use barleyspar_catalog::Bounds;

/// Time for which the store holds a poll, as a fraction of the site's shortest bound on
/// applying a change.
const POLL_FRACTION: f64 = 0.2;
/// Pause after a poll that returned changes, as a fraction of the site's shortest bound
/// on applying a change.
const BATCH_FRACTION: f64 = 0.1;
/// Maximum age of the copy of the node that watches the store, as a fraction of the
/// site's shortest bound on applying a change.
const AGE_FRACTION: f64 = 0.55;
/// Growth of a copy's maximum age with each step from the node that watches the store,
/// as a fraction of the site's shortest bound on applying a change.
const STEP_FRACTION: f64 = 0.05;
/// Time between two calls to an unresponsive store, as a fraction of the site's
/// shortest bound on applying a change. Once the store is back, it is called within
/// this time, which leaves the other half of the bound for its answer and for sending
/// it to followers.
const CALL_FRACTION: f64 = 0.5;
/// Time after which a store that does not answer counts as unreachable, as a fraction
/// of the site's shortest bound on applying a change. Most answers take a few
/// milliseconds, those of a slow store a tenth of the bound.
const UNREACHABLE_FRACTION: f64 = 0.15;
/// Time for which a peer that sends nothing is tried while the store is unreachable, as a
/// fraction of the site's shortest bound on applying a change.
const TRIAL_FRACTION: f64 = 0.25;
/// Time for which a peer on trial is followed after a frame that left this node's copy
/// stale, as a fraction of the site's shortest bound on applying a change. Eight such
/// peers are tried in the time that is left of the bound once the copy is stale and the
/// store unreachable.
const OUTDATED_PEER_FRACTION: f64 = 0.03;
/// Maximum depth for which [`FeedTimes::max_age`] grows; deployments with more nodes
/// than fit in a tree of this depth are not planned for.
const MAX_COUNTED_DEPTH: u32 = 4;

/// Time limits of the feed at one site.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedTimes {
    /// Maximum time for which the store holds a poll. The copy's age reaches up to
    /// twice this time before the next poll is answered.
    pub poll_wait: Duration,
    /// Pause after a poll that returned changes, so that the next ones come in batches.
    pub batch_pause: Duration,
    /// Time between calls while the store does not answer.
    pub call_period: Duration,
    /// Time without an answer of the store after which it counts as unreachable, and
    /// this node calls it once more and tries peers too.
    pub unreachable_after: Duration,
    /// Time within which a peer on trial must send a newer copy while the store is
    /// unreachable from this node.
    pub peer_trial: Duration,
    /// Time for which a peer on trial is still followed after it has shown that its copy
    /// is as outdated as this node's. It limits how often a node connects to peers during
    /// an outage of the store.
    pub outdated_peer_trial: Duration,
    /// Maximum age of the copy of the node that watches the store.
    base_age: Duration,
    /// Growth of a copy's maximum age with each step from the node that watches the
    /// store.
    age_per_step: Duration,
}

impl FeedTimes {
    /// Derives the times from the site's shortest bound on applying a change:
    /// `configuration_apply_time`, `drain_timeout` or, if there is one,
    /// `evacuation_time`.
    pub fn new(bounds: &Bounds) -> Self {
        let bound = bounds.configuration_apply_time.min(bounds.drain_timeout);
        let bound = bounds.evacuation_time.map_or(bound, |time| bound.min(time));
        Self {
            poll_wait: bound.mul_f64(POLL_FRACTION),
            batch_pause: bound.mul_f64(BATCH_FRACTION),
            call_period: bound.mul_f64(CALL_FRACTION),
            unreachable_after: bound.mul_f64(UNREACHABLE_FRACTION),
            peer_trial: bound.mul_f64(TRIAL_FRACTION),
            outdated_peer_trial: bound.mul_f64(OUTDATED_PEER_FRACTION),
            base_age: bound.mul_f64(AGE_FRACTION),
            age_per_step: bound.mul_f64(STEP_FRACTION),
        }
    }

    /// Maximum age of the copy of a node that is `depth` steps from the node that
    /// watches the store; a node with an older copy calls the store itself. It grows
    /// with the depth, so that nearer nodes call first and the others receive the
    /// answer from them.
    pub fn max_age(&self, depth: u32) -> Duration {
        self.base_age + self.age_of_steps(depth)
    }

    /// Time that `steps` steps from the store add to the age at which nodes turn to the store
    /// themselves, so that the nearest ones ask it and the others get its answer from them.
    pub fn age_of_steps(&self, steps: u32) -> Duration {
        self.age_per_step * steps.min(MAX_COUNTED_DEPTH)
    }
}
