use std::time::Duration;

use super::Patience;

const PERIOD: Duration = Duration::from_secs(1);

fn times(calls: usize) -> Vec<u32> {
    let mut patience = Patience::new(PERIOD);
    (0..calls)
        .map(|_| patience.next_call().as_secs() as u32)
        .collect()
}

#[test]
fn some_calls_may_take_long_and_most_are_short() {
    assert_eq!(times(9), [1, 2, 1, 4, 1, 2, 1, 8, 1]);
}

/// Each call is sent a period after the one before: call `number` is open from
/// `number` to `number + time`.
#[test]
fn at_most_four_calls_are_open_at_once() {
    let times = times(100);
    for now in 0..100 {
        let open = |(number, time): (usize, &u32)| number <= now && now < number + *time as usize;
        let count = times.iter().enumerate().filter(|call| open(*call)).count();
        assert!(count <= 4, "{count} at {now}");
    }
}

#[test]
fn a_store_that_answers_within_eight_periods_is_heard_within_sixteen() {
    let times = times(100);
    for needed in 1..=8_u32 {
        for back_at in 0..60 {
            let answered = (back_at..100)
                .find(|number| times[*number] >= needed)
                .map(|number| number + needed as usize);
            let longest = back_at + 2 * needed.next_power_of_two() as usize;
            assert!(
                answered.is_some_and(|at| at <= longest),
                "{needed} {back_at}"
            );
        }
    }
}

#[test]
fn nothing_of_one_silence_lengthens_the_next() {
    let mut patience = Patience::new(PERIOD);
    for _ in 0..7 {
        patience.next_call();
        patience.refused(true);
    }
    patience.start_anew();
    assert_eq!(patience.next_call(), PERIOD);
    assert_eq!(patience.refused(true), Duration::from_millis(150));
}

#[test]
fn pauses_after_refusals_stay_within_a_period() {
    let mut patience = Patience::new(PERIOD);
    let longest = (0..100).map(|_| patience.refused(true)).max();
    assert_eq!(longest, Some(PERIOD));
    let mut patience = Patience::new(PERIOD);
    let longest = (0..100).map(|_| patience.refused(false)).max();
    assert_eq!(longest, Some(Duration::from_millis(300)));
}
