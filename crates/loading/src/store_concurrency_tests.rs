use std::time::{Duration, Instant};

use super::StoreConcurrency;

const ALONE: Duration = Duration::from_secs(6);

fn store_led_since(since: Instant, longest_load: Duration) -> StoreConcurrency {
    let mut store = StoreConcurrency::new(since);
    store.set_longest_load(longest_load);
    store
}

/// Returns an estimate whose node has led for a minute, and the present time.
fn store_and_now() -> (StoreConcurrency, Instant) {
    let since = Instant::now();
    (
        store_led_since(since, ALONE),
        since + Duration::from_secs(60),
    )
}

/// Starts as many loads as allowed and ends them after the time `took` returns. Returns
/// their number.
fn run_wave(
    store: &mut StoreConcurrency,
    now: &mut Instant,
    took: impl Fn(usize) -> Duration,
) -> usize {
    let mut started = 0;
    while store.allows_load(0) {
        store.record_start(format!("{started}").into(), "model".into(), ALONE, *now);
        started += 1;
    }
    *now += took(started);
    store.update(|_, _| Some(true), *now);
    started
}

#[test]
fn more_loads_start_until_they_slow_each_other() {
    const AT_ONCE: usize = 7;
    let (mut store, mut now) = store_and_now();
    let took = |loads: usize| ALONE.mul_f64((loads as f64 / AT_ONCE as f64).max(1.0));
    let mut last = 0;
    for _ in 0..20 {
        last = run_wave(&mut store, &mut now, took);
    }
    assert!((AT_ONCE - 2..=AT_ONCE + 3).contains(&last), "{last}");
}

#[test]
fn fewer_loads_start_after_some_were_slowed() {
    let (mut store, mut now) = store_and_now();
    let first = run_wave(&mut store, &mut now, |_| ALONE * 2);
    let second = run_wave(&mut store, &mut now, |_| ALONE * 2);
    assert!(second < first, "{second} after {first}");
    assert!(second > 0);
}

#[test]
fn a_load_at_a_runner_that_is_gone_is_not_counted() {
    let (mut store, now) = store_and_now();
    while store.allows_load(0) {
        store.record_start("gone".into(), "model".into(), ALONE, now);
        store.update(|_, _| None, now);
        if store.allows_load(3) {
            return;
        }
    }
    panic!("loads of a runner that is gone still count");
}

#[test]
fn each_wave_grows_while_the_store_slows_no_load() {
    let (mut store, mut now) = store_and_now();
    let mut last = 0;
    for _ in 0..3 {
        last = run_wave(&mut store, &mut now, |_| ALONE);
    }
    assert!(last >= 8, "{last} loads in the third wave");
}

/// Guards against a limit that is too low after a change of leader: loads of the previous
/// leader that still run slow the first loads of the new one, which took the slowdown for
/// the store's limit.
#[test]
fn loads_slowed_by_those_of_the_previous_leader_are_ignored() {
    let mut now = Instant::now();
    let mut store = store_led_since(now, ALONE);
    let first = run_wave(&mut store, &mut now, |_| ALONE * 2);
    let second = run_wave(&mut store, &mut now, |_| ALONE);
    assert!(second >= first, "{second} after {first}");
}

/// Guards against a first limit that is too high: four loads at once from a store that
/// runs one at full speed took a minute each, and blocked all other orders at their
/// runners.
#[test]
fn long_loads_start_one_at_a_time_until_one_has_ended() {
    let long = Duration::from_secs(20);
    let since = Instant::now();
    let mut store = store_led_since(since, long);
    let mut now = since + Duration::from_secs(60);
    assert_eq!(run_wave(&mut store, &mut now, |_| long), 1);
    let mut alone = store_led_since(since, long);
    alone.record_start("slow".into(), "model".into(), long, now);
    alone.update(|_, _| Some(true), now + long * 4);
    assert!(alone.allows_load(0) && !alone.allows_load(1));
}
