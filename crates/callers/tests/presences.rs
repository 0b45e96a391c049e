//! Tests of the judgement by which parts were present at crashes, whatever the progress.

use std::time::{Duration, Instant};

use barleyspar_callers::{Fingerprint, Presences};

const SECOND: Duration = Duration::from_secs(1);

fn part(id: u64) -> Fingerprint {
    Fingerprint::of_part("engine", id)
}

fn request(number: u64) -> Fingerprint {
    Fingerprint::of("host", "/", None, &number.to_be_bytes())
}

/// Records that runner `runner` crashed under request `number`, whose prompt has the parts `ids`.
fn record(presences: &mut Presences, (runner, number): (u64, u64), ids: &[u64], now: Instant) {
    let runner = format!("runner-{runner}").into();
    let parts: Vec<Fingerprint> = ids.iter().copied().map(part).collect();
    let run = (request(number), parts.as_slice());
    let report = presences.report(&runner, run, false, &"node".into(), now);
    presences.record(&report, "node", now);
}

/// Records five crashes, a second apart, of requests with the parts 1 and 9, beside a sound
/// request with the parts 1 and another.
fn record_five(presences: &mut Presences, from: Instant) -> Instant {
    for number in 0..5 {
        let at = from + SECOND * number as u32;
        record(presences, (number, number), &[1, 9], at);
        record(presences, (number, 100 + number), &[1, 20 + number], at);
    }
    from + SECOND * 4
}

#[test]
fn a_part_at_five_crashes_is_their_cause_and_one_that_all_requests_share_is_not() {
    let mut presences = Presences::default();
    let now = record_five(&mut presences, Instant::now());
    assert_eq!(presences.cause(now), Some(part(9)));
    presences.explain(part(9), now);
    assert_eq!(presences.cause(now), None);
}

#[test]
fn crashes_that_are_explained_count_against_no_part_that_is_reported_later() {
    let mut presences = Presences::default();
    let now = record_five(&mut presences, Instant::now());
    presences.explain(part(9), now);
    for number in 0..5 {
        record(&mut presences, (number, 200 + number), &[7], now);
    }
    assert!(!presences.is_suspected(part(7)));
}

#[test]
fn a_run_that_its_runner_outlived_clears_the_part() {
    let mut presences = Presences::default();
    let now = record_five(&mut presences, Instant::now());
    assert!(presences.clear(part(9)));
    assert_eq!(presences.cause(now), None);
}

#[test]
fn each_answer_that_began_and_did_not_end_in_a_crash_raises_the_number_of_crashes() {
    let mut presences = Presences::default();
    let from = Instant::now();
    let now = record_five(&mut presences, from);
    presences.record_answer(&[part(9)], now);
    assert_eq!(presences.cause(now), None);
    record(&mut presences, (5, 5), &[1, 9], now + SECOND);
    assert_eq!(presences.cause(now + SECOND), Some(part(9)));
}

#[test]
fn answers_that_began_long_ago_raise_nothing() {
    let mut presences = Presences::default();
    let from = Instant::now();
    presences.record_answer(&[part(9)], from);
    let now = record_five(&mut presences, from + 20 * SECOND);
    assert_eq!(presences.cause(now), Some(part(9)));
}

#[test]
fn runners_that_crash_together_are_no_cause() {
    let mut presences = Presences::default();
    let now = Instant::now();
    for number in 0..20 {
        let at = now + Duration::from_millis(4 * number);
        record(&mut presences, (number, number), &[1, 9], at);
    }
    assert_eq!(presences.cause(now + SECOND), None);
}

#[test]
fn one_request_alone_makes_no_part_a_cause() {
    let mut presences = Presences::default();
    let now = Instant::now();
    for runner in 0..8 {
        record(
            &mut presences,
            (runner, 0),
            &[1, 9],
            now + SECOND * runner as u32,
        );
    }
    assert_eq!(presences.cause(now + 8 * SECOND), None);
}

#[test]
fn parts_that_cannot_be_told_apart_are_causes_only_after_twice_as_many_crashes() {
    let mut presences = Presences::default();
    let from = Instant::now();
    let mut found = Vec::new();
    for number in 0..10 {
        let at = from + SECOND * number as u32;
        record(&mut presences, (number, number), &[8, 9], at);
        record(&mut presences, (number, 100 + number), &[20 + number], at);
        found.push(presences.cause(at));
    }
    let first = found.iter().position(Option::is_some);
    assert_eq!(first, Some(9));
}
