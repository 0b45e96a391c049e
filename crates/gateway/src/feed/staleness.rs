//! Reports, in the log and the metrics, when this node's copy of the store becomes
//! stale and when it is current again.

use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use crate::context::Context;
use crate::feed::state::FeedState;
use crate::feed::times::FeedTimes;
use crate::journal::milliseconds;

/// Logs and counts each period in which the copy of the store is stale, and tells admission
/// of its start. Returns when the feed ends.
pub async fn report_staleness(
    mut state: watch::Receiver<FeedState>,
    times: FeedTimes,
    context: &Context,
) {
    while until_stale(&mut state, &times).await.is_ok() {
        let stale_since = Instant::now();
        context.notice_old_view();
        log_stale(&state.borrow(), stale_since);
        let is_current = |state: &FeedState| !state.is_stale(&times, Instant::now());
        let Ok(current_state) = state.wait_for(is_current).await else {
            return;
        };
        let lasted = stale_since.elapsed();
        context.metrics.view_current_again(lasted);
        tracing::info!(
            event = "knowledge_current",
            era = current_state.revision().era,
            revision = current_state.revision().number,
            steps_from_store = current_state.depth(),
            lasted_ms = milliseconds(lasted)
        );
    }
}

/// Waits until the copy is stale; returns an error if the feed ends before.
async fn until_stale(
    state: &mut watch::Receiver<FeedState>,
    times: &FeedTimes,
) -> Result<(), watch::error::RecvError> {
    loop {
        let now = Instant::now();
        let (stale, stale_at) = {
            let state = state.borrow_and_update();
            (state.is_stale(times, now), state.stale_at(times, now))
        };
        if stale {
            return Ok(());
        }
        if let Ok(changed) = timeout_at(stale_at, state.changed()).await {
            changed?;
        }
    }
}

fn log_stale(state: &FeedState, now: Instant) {
    tracing::info!(
        event = "knowledge_old",
        era = state.revision().era,
        revision = state.revision().number,
        steps_from_store = state.depth(),
        age_ms = state.age(now).map(milliseconds)
    );
}
