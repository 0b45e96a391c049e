use std::time::Duration;

use super::CallSchedule;

const PERIOD: Duration = Duration::from_secs(1);
const FIRST_PAUSE: Duration = Duration::from_millis(300);

fn timeouts(calls: usize) -> Vec<u32> {
    let mut schedule = CallSchedule::new(PERIOD, FIRST_PAUSE);
    (0..calls)
        .map(|_| schedule.next_timeout().as_secs() as u32)
        .collect()
}

#[test]
fn most_timeouts_are_short_and_some_are_long() {
    assert_eq!(timeouts(9), [1, 2, 1, 4, 1, 2, 1, 8, 1]);
}

/// Each call but the second is sent a period after the previous one: call `number` is open from
/// `number` to `number + time`.
#[test]
fn at_most_four_calls_are_open_at_once() {
    let timeouts = timeouts(100);
    for now in 0..100 {
        let open = |(number, time): (usize, &u32)| number <= now && now < number + *time as usize;
        let count = timeouts
            .iter()
            .enumerate()
            .filter(|call| open(*call))
            .count();
        assert!(count <= 4, "{count} at {now}");
    }
}

#[test]
fn a_store_that_answers_within_eight_periods_is_read_within_sixteen() {
    let timeouts = timeouts(100);
    for needed in 1..=8_u32 {
        for back_at in 0..60 {
            let answered = (back_at..100)
                .find(|number| timeouts[*number] >= needed)
                .map(|number| number + needed as usize);
            let latest = back_at + 2 * needed.next_power_of_two() as usize;
            assert!(
                answered.is_some_and(|at| at <= latest),
                "{needed} {back_at}"
            );
        }
    }
}

#[test]
fn a_reset_schedule_starts_from_the_shortest_times() {
    let mut schedule = CallSchedule::new(PERIOD, FIRST_PAUSE);
    for _ in 0..7 {
        schedule.next_timeout();
        schedule.pause_after_refusal(true);
    }
    schedule.reset();
    assert_eq!(schedule.next_timeout(), PERIOD);
    assert_eq!(
        schedule.pause_after_refusal(true),
        Duration::from_millis(150)
    );
}

#[test]
fn pauses_after_refusals_stay_within_a_period() {
    let mut schedule = CallSchedule::new(PERIOD, FIRST_PAUSE);
    let max_pause = (0..100).map(|_| schedule.pause_after_refusal(true)).max();
    assert_eq!(max_pause, Some(PERIOD));
    let mut schedule = CallSchedule::new(PERIOD, FIRST_PAUSE);
    let max_pause = (0..100).map(|_| schedule.pause_after_refusal(false)).max();
    assert_eq!(max_pause, Some(Duration::from_millis(300)));
}

#[test]
fn a_lost_answer_is_asked_for_again_long_before_a_period_is_over() {
    let mut schedule = CallSchedule::new(PERIOD, FIRST_PAUSE);
    let mut next_pause = || {
        schedule.next_timeout();
        schedule.pause_after_call()
    };
    assert_eq!(next_pause(), FIRST_PAUSE);
    assert_eq!(next_pause(), PERIOD);
    assert_eq!(next_pause(), PERIOD);
}
