use std::time::Duration;

use tokio::time::{advance, sleep};

use super::next_stall;

#[tokio::test(start_paused = true)]
async fn a_process_that_stood_still_is_noticed() {
    let stall = tokio::spawn(next_stall());
    sleep(Duration::from_secs(5)).await;
    assert!(!stall.is_finished());
    advance(Duration::from_secs(2)).await;
    assert!(stall.await.unwrap() >= Duration::from_millis(1700));
}
