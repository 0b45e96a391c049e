//! Tests of the judgement which parts of prompts crash runners.

use std::time::{Duration, Instant};

use barleyspar_callers::{CrashReport, Fingerprint, PART_HELD_FOR, Suspects};

const SECOND: Duration = Duration::from_secs(1);

fn part(id: u64) -> Fingerprint {
    Fingerprint::of_part("engine", id)
}

fn parts(ids: &[u64]) -> Vec<Fingerprint> {
    ids.iter().copied().map(part).collect()
}

fn request(number: u64) -> Fingerprint {
    Fingerprint::of("host", "/", None, &number.to_be_bytes())
}

/// The crash of runner `runner` under request `number`, whose prompt has the parts `ids`.
fn crash(runner: u64, number: u64, ids: &[u64]) -> CrashReport {
    CrashReport {
        runner: format!("runner-{runner}").into(),
        request: request(number),
        parts: parts(ids),
    }
}

/// Records one crash a second, each with a request of its own. Returns what was convicted at
/// each.
fn record(suspects: &mut Suspects, from: Instant, crashes: &[&[u64]]) -> Vec<Vec<Fingerprint>> {
    let numbered = (0..).zip(crashes);
    numbered
        .map(|(number, ids)| {
            let at = from + SECOND * (number as u32);
            suspects.record_crash(&crash(number, number, ids), at)
        })
        .collect()
}

#[test]
fn the_part_that_several_crashes_have_in_common_is_held() {
    let mut suspects = Suspects::default();
    let now = Instant::now();
    suspects.record_answer(&parts(&[1]), now);
    let convicted = record(&mut suspects, now, &[&[1, 9, 3], &[1, 4, 9], &[1, 9, 5]]);
    assert_eq!(convicted, [vec![], vec![], vec![part(9)]]);
}

#[test]
fn an_answer_clears_the_parts_of_its_request() {
    let mut suspects = Suspects::default();
    let now = Instant::now();
    record(&mut suspects, now, &[&[1, 9], &[1, 9]]);
    assert_eq!(suspects.record_answer(&parts(&[1]), now), parts(&[1]));
    let convicted = suspects.record_crash(&crash(7, 7, &[1, 9]), now + 3 * SECOND);
    assert_eq!(convicted, [part(9)]);
    assert_eq!(suspects.record_answer(&parts(&[3]), now), []);
}

#[test]
fn a_part_that_all_requests_share_is_held_if_no_answer_begins_any_more() {
    let mut suspects = Suspects::default();
    let now = Instant::now();
    suspects.record_answer(&parts(&[1]), now);
    let crashes: [&[u64]; 5] = [&[1, 2], &[1, 3], &[1, 4], &[1, 5], &[1, 6]];
    let convicted = record(&mut suspects, now, &crashes);
    assert_eq!(convicted.concat(), [part(1)]);
}

#[test]
fn runners_that_crash_together_count_once() {
    let mut suspects = Suspects::default();
    let now = Instant::now();
    for number in 0..20 {
        let at = now + Duration::from_millis(4 * number);
        let convicted = suspects.record_crash(&crash(number, number, &[1, 9]), at);
        assert_eq!(convicted, [], "runner {number}");
    }
}

#[test]
fn one_request_alone_convicts_no_part_that_others_share() {
    let mut suspects = Suspects::default();
    let now = Instant::now();
    for number in 0..6 {
        let at = now + SECOND * (number as u32);
        let convicted = suspects.record_crash(&crash(number, 0, &[1, 9]), at);
        assert_eq!(convicted, [], "runner {number}");
    }
}

#[test]
fn a_crash_that_is_explained_counts_against_no_other_part() {
    let mut suspects = Suspects::default();
    let now = Instant::now();
    record(&mut suspects, now, &[&[9, 2], &[9, 3], &[9, 4]]);
    let later = now + 10 * SECOND;
    let convicted = record(&mut suspects, later, &[&[9, 2], &[9, 2], &[9, 2], &[2]]);
    assert_eq!(convicted.concat(), []);
}

#[test]
fn a_part_whose_time_has_passed_is_held_again_after_one_crash() {
    let mut suspects = Suspects::default();
    let now = Instant::now();
    record(&mut suspects, now, &[&[9, 2], &[9, 3], &[9, 4]]);
    let later = now + PART_HELD_FOR + 3 * SECOND;
    let convicted = suspects.record_crash(&crash(8, 8, &[9, 5]), later);
    assert_eq!(convicted, [part(9)]);
}

#[test]
fn a_node_whose_runner_outlived_a_run_since_the_last_crash_does_not_hold_the_part() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    assert!(suspects.agrees_to_hold(part(9), now, now));
    let mut suspects = Suspects::default();
    suspects.record_outlived(&parts(&[9]), now);
    assert!(!suspects.agrees_to_hold(part(9), now + SECOND, now + SECOND));
    suspects.record_crash(&crash(1, 1, &[9]), now + 2 * SECOND);
    assert!(suspects.agrees_to_hold(part(9), now + 2 * SECOND, now + 3 * SECOND));
}

#[test]
fn a_run_that_was_outlived_long_before_the_crashes_refutes_nothing() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    suspects.record_outlived(&parts(&[9]), now);
    let later = now + 30 * SECOND;
    assert!(suspects.agrees_to_hold(part(9), later, later + SECOND));
}

#[test]
fn the_first_event_of_an_answer_does_not_acquit_a_part_that_is_held() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    record(&mut suspects, now, &[&[9, 2], &[9, 3], &[9, 4]]);
    let at = now + 4 * SECOND;
    assert_eq!(suspects.record_answer(&parts(&[9]), at), []);
    assert!(suspects.agrees_to_hold(part(9), at, at + SECOND));
}

#[test]
fn an_acquitted_part_is_not_held_again_by_old_news() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    record(&mut suspects, now, &[&[9, 2], &[9, 3], &[9, 4]]);
    let at = now + 4 * SECOND;
    assert_eq!(suspects.record_outlived(&parts(&[9]), at), parts(&[9]));
    assert!(!suspects.agrees_to_hold(part(9), now, at + SECOND));
}
