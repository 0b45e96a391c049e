use std::future::pending;

use super::EssentialTasks;

#[tokio::test]
async fn a_task_that_panics_is_reported() {
    let tasks = EssentialTasks::new();
    tasks.spawn("healthy", pending());
    tasks.spawn("broken", async { panic!("a fault in the task") });
    assert_eq!(tasks.first_ended().await, "broken");
}
