use std::future::pending;

use futures_util::FutureExt;

use super::EssentialTasks;
use crate::lifecycle::{Lifecycle, Stage};

#[tokio::test]
async fn a_task_that_panics_is_reported() {
    let tasks = EssentialTasks::new(Lifecycle::never_stopped());
    tasks.spawn("healthy", pending());
    tasks.spawn("broken", async { panic!("a fault in the task") });
    assert_eq!(tasks.first_ended().await, "broken");
}

#[tokio::test(start_paused = true)]
async fn a_task_that_ends_with_the_process_is_not_reported() {
    let (stage, lifecycle) = Lifecycle::running();
    let tasks = EssentialTasks::new(lifecycle.clone());
    let until_stopped = async move { lifecycle.wait_for_stage(Stage::Draining).await };
    tasks.spawn("until_stopped", until_stopped);
    stage.send_replace(Stage::Draining);
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    assert_eq!(tasks.first_ended().now_or_never(), None);
}
