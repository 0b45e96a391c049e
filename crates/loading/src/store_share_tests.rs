use std::time::{Duration, Instant};

use super::StoreShare;

const ALONE: Duration = Duration::from_secs(6);

fn share_since(since: Instant, longest_load: Duration) -> StoreShare {
    let mut share = StoreShare::new(since);
    share.set_longest_load(longest_load);
    share
}

/// What is known a minute after this node began to lead, and that moment.
fn share_and_now() -> (StoreShare, Instant) {
    let since = Instant::now();
    (share_since(since, ALONE), since + Duration::from_secs(60))
}

/// Begins as many loads as may, and ends them after `took`; how many there were.
fn round(share: &mut StoreShare, now: &mut Instant, took: impl Fn(usize) -> Duration) -> usize {
    let mut begun = 0;
    while share.has_room(0) {
        share.begin(format!("{begun}").into(), "model".into(), ALONE, *now);
        begun += 1;
    }
    *now += took(begun);
    share.update(|_, _| Some(true), *now);
    begun
}

#[test]
fn loads_at_full_speed_call_for_more_until_they_slow_each_other() {
    const AT_ONCE: usize = 7;
    let (mut share, mut now) = share_and_now();
    let took = |loads: usize| ALONE.mul_f64((loads as f64 / AT_ONCE as f64).max(1.0));
    let mut last = 0;
    for _ in 0..20 {
        last = round(&mut share, &mut now, took);
    }
    assert!((AT_ONCE - 2..=AT_ONCE + 3).contains(&last), "{last}");
}

#[test]
fn loads_that_are_slowed_call_for_fewer() {
    let (mut share, mut now) = share_and_now();
    let first = round(&mut share, &mut now, |_| ALONE * 2);
    let second = round(&mut share, &mut now, |_| ALONE * 2);
    assert!(second < first, "{second} after {first}");
    assert!(second > 0);
}

#[test]
fn a_load_of_a_runner_that_is_gone_counts_no_more() {
    let (mut share, now) = share_and_now();
    while share.has_room(0) {
        share.begin("gone".into(), "model".into(), ALONE, now);
        share.update(|_, _| None, now);
        if share.has_room(3) {
            return;
        }
    }
    panic!("loads of a runner that is gone still count");
}

#[test]
fn a_store_that_slows_nothing_is_used_more_with_each_wave() {
    let (mut share, mut now) = share_and_now();
    let mut last = 0;
    for _ in 0..3 {
        last = round(&mut share, &mut now, |_| ALONE);
    }
    assert!(last >= 8, "{last} loads in the third wave");
}

/// Found on a played day: after a change of leader sixteen loads of the former one
/// still ran, and the new one took two at once for the most that the store serves.
#[test]
fn loads_slowed_by_those_of_a_predecessor_tell_nothing() {
    let mut now = Instant::now();
    let mut share = share_since(now, ALONE);
    let first = round(&mut share, &mut now, |_| ALONE * 2);
    let second = round(&mut share, &mut now, |_| ALONE);
    assert!(second >= first, "{second} after {first}");
}

/// Found on played days: four loads at once of a store that runs one of them at
/// full speed took a minute each, and kept their runners from all other orders.
#[test]
fn long_loads_begin_one_at_a_time_until_something_is_seen() {
    let long = Duration::from_secs(20);
    let since = Instant::now();
    let mut share = share_since(since, long);
    let mut now = since + Duration::from_secs(60);
    assert_eq!(round(&mut share, &mut now, |_| long), 1);
    let mut alone = share_since(since, long);
    alone.begin("slow".into(), "model".into(), long, now);
    alone.update(|_, _| Some(true), now + long * 4);
    assert!(alone.has_room(0) && !alone.has_room(1));
}
