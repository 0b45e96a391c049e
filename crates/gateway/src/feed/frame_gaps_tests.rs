use super::*;
use crate::feed::state_tests::bounds;

/// Times of a site with these bounds of two seconds.
fn gaps() -> FrameGaps {
    FrameGaps::new(&FeedTimes::new(&bounds()))
}

const MILLISECOND: Duration = Duration::from_millis(1);

#[test]
fn a_parent_that_answers_no_hello_is_late_after_one_and_a_half_polls() {
    let gaps = gaps();
    assert_eq!(gaps.late_at() - gaps.last_at, 600 * MILLISECOND);
    assert_eq!(gaps.silent_at() - gaps.last_at, 1200 * MILLISECOND);
}

#[test]
fn a_frame_is_late_when_it_misses_its_usual_time_by_half() {
    let mut gaps = gaps();
    let start = gaps.last_at;
    for number in 1..=20 {
        gaps.record_frame(start + 400 * MILLISECOND * number);
    }
    assert_eq!(gaps.late_at() - gaps.last_at, 600 * MILLISECOND);
}

#[test]
fn frames_of_a_slow_store_are_awaited_for_longer() {
    let mut gaps = gaps();
    let start = gaps.last_at;
    for number in 1..=20 {
        gaps.record_frame(start + 900 * MILLISECOND * number);
    }
    assert_eq!(gaps.late_at() - gaps.last_at, 1350 * MILLISECOND);
    assert_eq!(gaps.silent_at(), gaps.late_at());
}
