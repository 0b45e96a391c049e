//! Runners that requested a pause of this node: when they get requests again.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::{LoadedModel, Runner};
use barleyspar_dispatch::{Acquired, Arrival, Dispatcher, Outcome, RefusalReason};
use common::{SECOND, dispatcher_with, query, runner};

const TARGET: Duration = Duration::from_millis(600);

/// A runner that holds the model.
fn holder() -> Runner {
    let held = LoadedModel {
        model: "cold".into(),
        version: 1,
        adapters: Vec::new(),
    };
    Runner {
        models: vec![held],
        ..runner()
    }
}

/// A dispatcher whose only runner requests `pause`.
fn dispatcher_with_pausing_runner(pause: Duration, now: Instant) -> Dispatcher {
    let mut dispatcher = dispatcher_with(holder(), now);
    dispatcher.record_requested_pause(&holder().id, pause, now);
    dispatcher
}

fn is_granted(dispatcher: &mut Dispatcher, now: Instant) -> bool {
    match dispatcher.acquire(query(now, 5 * SECOND), now) {
        Acquired::Granted(_) => true,
        Acquired::Waiting(ticket) => {
            dispatcher.cancel(ticket);
            false
        }
        Acquired::Refused(_) => false,
    }
}

#[test]
fn a_pause_outlasts_the_runners_entry() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with_pausing_runner(3 * SECOND, now);
    dispatcher.remove_runner(&holder().id, now);
    dispatcher.update_runner(Arc::new(holder()), now + SECOND);
    assert!(!is_granted(&mut dispatcher, now + 2 * SECOND));
    assert!(is_granted(&mut dispatcher, now + 3 * SECOND));
}

#[test]
fn a_shorter_pause_does_not_end_a_longer_one() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with_pausing_runner(3 * SECOND, now);
    dispatcher.record_requested_pause(&holder().id, SECOND, now + SECOND);
    assert!(!is_granted(&mut dispatcher, now + 2 * SECOND));
    assert!(is_granted(&mut dispatcher, now + 3 * SECOND));
}

#[test]
fn a_request_that_waits_for_a_pause_is_refused_when_the_pause_is_extended() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with_pausing_runner(TARGET / 2, now);
    let waiting = dispatcher.acquire(query(now, 4 * SECOND), now);
    assert!(matches!(waiting, Acquired::Waiting(_)));
    let later = now + TARGET / 4;
    assert!(dispatcher.poll(later).is_empty());
    dispatcher.record_requested_pause(&holder().id, 4 * SECOND, later);
    let (_, answer) = dispatcher
        .poll(later)
        .pop()
        .expect("the request is answered");
    let refusal = answer.expect_err("the runner is pausing");
    assert_eq!(refusal.reason, RefusalReason::Paused);
    assert!(refusal.retry_after >= 4 * SECOND);
}

#[test]
fn a_pause_of_the_longest_duration_is_kept() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with_pausing_runner(Duration::MAX, now);
    assert!(!is_granted(&mut dispatcher, now + 3600 * SECOND));
}

#[test]
fn after_its_pause_a_runner_gets_one_request_until_it_accepts_it() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with_pausing_runner(SECOND, now);
    let pause_end = now + SECOND;
    let request = || query(pause_end, 5 * SECOND);
    for outcome in [Outcome::Abandoned, Outcome::Paused] {
        let Acquired::Granted(first) = dispatcher.acquire(request(), pause_end) else {
            panic!("the pause is over");
        };
        assert!(!is_granted(&mut dispatcher, pause_end));
        dispatcher.finish(first.permit, outcome, Arrival::Over, pause_end);
    }
    let Acquired::Granted(first) = dispatcher.acquire(request(), pause_end) else {
        panic!("the runner has not accepted the probe");
    };
    assert!(!is_granted(&mut dispatcher, pause_end));
    let first_byte = SECOND / 10;
    dispatcher.record_interim_outcome(first.permit, Outcome::PromptRead { first_byte }, pause_end);
    assert!(is_granted(&mut dispatcher, pause_end));
    assert!(is_granted(&mut dispatcher, pause_end));
}
