//! Tests of the list of requests whose runners are watched.

use std::time::{Duration, Instant};

use barleyspar_callers::{EndedRun, EndedRuns, Fingerprint, OUTLIVED_AFTER};

fn run(runner: &str, is_complete: bool) -> EndedRun {
    EndedRun {
        runner: runner.into(),
        request: Fingerprint::of("host", "/", None, b"body"),
        parts: vec![Fingerprint::of_part("engine", 9)],
        had_answered: is_complete,
        is_complete,
    }
}

#[test]
fn a_request_that_left_a_runner_is_found_when_the_runner_crashes() {
    let mut runs = EndedRuns::default();
    let now = Instant::now();
    runs.add(run("one", false), now);
    runs.add(run("other", false), now);
    assert_eq!(runs.take_at("one"), [run("one", false)]);
    assert_eq!(runs.take_at("one"), []);
}

#[test]
fn a_complete_run_is_outlived_only_after_a_while_and_a_left_one_never() {
    let mut runs = EndedRuns::default();
    let now = Instant::now();
    runs.add(run("one", true), now);
    runs.add(run("other", false), now);
    let before = now + OUTLIVED_AFTER - Duration::from_millis(1);
    assert_eq!(runs.take_outlived(before), []);
    assert_eq!(runs.take_outlived(now + OUTLIVED_AFTER), [run("one", true)]);
    assert_eq!(runs.take_outlived(now + 20 * OUTLIVED_AFTER), []);
    assert!(runs.is_empty());
}

#[test]
fn the_list_is_bounded() {
    let mut runs = EndedRuns::default();
    for _ in 0..10_000 {
        runs.add(run("one", false), Instant::now());
    }
    assert!(runs.take_at("one").len() <= 2048);
}
