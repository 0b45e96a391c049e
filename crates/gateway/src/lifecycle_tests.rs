//! Tests of the process's stages.

use std::time::Duration;

use super::{Lifecycle, Stage};

/// Found on a calm day: a third of the readiness questions got no answer, since
/// the stage of a process that is never stopped counted as reached at once.
#[tokio::test(start_paused = true)]
async fn a_process_that_is_never_stopped_reaches_no_stage() {
    let forever = Lifecycle::forever();
    let reached = forever.reached(Stage::Closing);
    let waited = tokio::time::timeout(Duration::from_secs(60), reached).await;
    assert!(waited.is_err());
}

#[tokio::test(start_paused = true)]
async fn a_later_stage_counts_as_reached() {
    let (stage, lifecycle) = Lifecycle::running();
    stage.send_replace(Stage::Closing);
    lifecycle.reached(Stage::Draining).await;
    assert_eq!(lifecycle.stage(), Stage::Closing);
}
