use std::time::Duration;

use barleyspar_catalog::Revision;
use tokio::time::{Instant, advance};

use super::complete_at;
use crate::feed::frame::{Content, Frame};

const SECOND: Duration = Duration::from_secs(1);

fn frame(since_hello_ms: u64, age_ms: u32) -> Frame {
    Frame {
        since_hello_ms,
        age_ms,
        depth: 0,
        revision: Revision::new(0, 1),
        content: Content::Events(Vec::new()),
    }
}

/// Guards against taking the first frame for new when the node freezes between sending
/// its hello and reading that frame.
#[tokio::test(start_paused = true)]
async fn a_first_frame_that_is_read_late_is_old() {
    let hello_at = Instant::now();
    advance(7 * SECOND).await;
    assert_eq!(complete_at(hello_at, &frame(0, 0)).elapsed(), 7 * SECOND);
}

#[tokio::test(start_paused = true)]
async fn later_frames_count_from_the_hello_too() {
    let hello_at = Instant::now();
    advance(10 * SECOND).await;
    let at = complete_at(hello_at, &frame(9500, 400));
    assert_eq!(at.elapsed(), SECOND / 2 + 2 * SECOND / 5);
}
