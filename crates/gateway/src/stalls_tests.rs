use std::time::Duration;

use tokio::time::{Instant, advance, sleep};

use super::StallWatch;

#[tokio::test(start_paused = true)]
async fn a_process_that_stood_still_is_noticed() {
    let stall = tokio::spawn(async { StallWatch::default().next_stall().await });
    sleep(Duration::from_secs(5)).await;
    assert!(!stall.is_finished());
    advance(Duration::from_secs(2)).await;
    assert!(stall.await.unwrap() >= Duration::from_millis(1700));
}

#[tokio::test(start_paused = true)]
async fn what_is_read_after_a_stall_is_told_from_what_has_just_arrived() {
    let watch = StallWatch::default();
    tokio::spawn(watch.clone().report_stalls());
    sleep(Duration::from_secs(5)).await;
    assert!(!watch.is_catching_up(Instant::now()));
    let woke_at = Instant::now() + Duration::from_secs(2);
    assert!(watch.is_catching_up(woke_at), "before it is noticed");
    advance(Duration::from_secs(2)).await;
    sleep(Duration::from_millis(500)).await;
    assert!(watch.is_catching_up(Instant::now()), "once it is noticed");
    sleep(Duration::from_secs(1)).await;
    assert!(!watch.is_catching_up(Instant::now()));
}
