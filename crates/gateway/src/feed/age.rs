//! Tells, in the log and the figures, when this node's knowledge of the store
//! grows too old to rely on, and when it is current again.

use std::sync::Arc;

use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use crate::feed::state::FeedState;
use crate::feed::times::FeedTimes;
use crate::journal::milliseconds;
use crate::metrics::Metrics;

/// Tells of each spell without current knowledge until the feed ends.
pub async fn tell_of_age(
    mut state: watch::Receiver<FeedState>,
    times: FeedTimes,
    metrics: Arc<Metrics>,
) {
    while until_old(&mut state, &times).await.is_ok() {
        let old_since = Instant::now();
        tell_old(&state.borrow(), old_since);
        let current = |state: &FeedState| !state.is_overdue(&times, Instant::now());
        let Ok(now_current) = state.wait_for(current).await else {
            return;
        };
        let lasted = old_since.elapsed();
        metrics.knowledge_current(lasted);
        tracing::info!(
            event = "knowledge_current",
            era = now_current.revision().era,
            revision = now_current.revision().number,
            steps_from_store = now_current.depth(),
            lasted_ms = milliseconds(lasted)
        );
    }
}

/// Waits until the copy is too old to rely on a parent; an error if the feed ended.
async fn until_old(
    state: &mut watch::Receiver<FeedState>,
    times: &FeedTimes,
) -> Result<(), watch::error::RecvError> {
    loop {
        let now = Instant::now();
        let (old, deadline) = {
            let state = state.borrow_and_update();
            (state.is_overdue(times, now), state.deadline(times, now))
        };
        if old {
            return Ok(());
        }
        if let Ok(changed) = timeout_at(deadline, state.changed()).await {
            changed?;
        }
    }
}

fn tell_old(state: &FeedState, now: Instant) {
    tracing::info!(
        event = "knowledge_old",
        era = state.revision().era,
        revision = state.revision().number,
        steps_from_store = state.depth(),
        age_ms = state.age(now).map(milliseconds)
    );
}
