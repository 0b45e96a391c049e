//! Tests of waiting for a stage of the process: a later stage counts as reached, and a process
//! that is never stopped reaches none after `Running`.

use std::time::Duration;

use super::{Lifecycle, Stage};

/// Guards against readiness checks without an answer: a third of them got none when each
/// stage counted as reached for a lifecycle whose sender is dropped.
#[tokio::test(start_paused = true)]
async fn a_process_that_is_never_stopped_reaches_no_stage() {
    let lifecycle = Lifecycle::never_stopped();
    let reached = lifecycle.wait_for_stage(Stage::Closing);
    let waited = tokio::time::timeout(Duration::from_secs(60), reached).await;
    assert!(waited.is_err());
}

#[tokio::test(start_paused = true)]
async fn a_later_stage_counts_as_reached() {
    let (stage, lifecycle) = Lifecycle::running();
    stage.send_replace(Stage::Closing);
    lifecycle.wait_for_stage(Stage::Draining).await;
    assert_eq!(lifecycle.stage(), Stage::Closing);
}
