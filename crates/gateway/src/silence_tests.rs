use super::*;

const SHORTEST: Duration = Duration::from_millis(300);
const TIME_LEFT: Duration = Duration::from_secs(10);

/// Load: a slow and a fast runner that are both sound.
#[test]
fn a_runner_that_is_always_slow_is_given_up() {
    let slow = silence_timeout(Some(Duration::from_secs(1)), TIME_LEFT, SHORTEST);
    let fast = silence_timeout(Some(Duration::from_millis(100)), TIME_LEFT, SHORTEST);
    assert_eq!(slow, Duration::from_secs(4));
    assert_eq!(fast, Duration::from_millis(400));
}

#[test]
fn no_time_is_left_for_another_runner() {
    for usual in [None, Some(Duration::from_secs(9)), Some(Duration::MAX)] {
        assert_eq!(silence_timeout(usual, TIME_LEFT, SHORTEST), TIME_LEFT / 2);
    }
}

#[test]
fn a_short_silence_of_a_fast_runner_counts() {
    let usual = Some(Duration::from_millis(5));
    assert_eq!(silence_timeout(usual, TIME_LEFT, SHORTEST), SHORTEST);
}
