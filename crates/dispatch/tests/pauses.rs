//! Runners that asked this node for a pause: when they are called again.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::{HeldModel, Runner};
use barleyspar_dispatch::{Acquired, Dispatcher, Outcome, RefusalReason};
use common::{SECOND, dispatcher_with, query, runner};

const TARGET: Duration = Duration::from_millis(600);

/// A runner that holds the model.
fn holder() -> Runner {
    let held = HeldModel {
        model: "cold".into(),
        version: 1,
        adapters: Vec::new(),
    };
    Runner {
        models: vec![held],
        ..runner()
    }
}

/// A dispatcher whose only runner asks for `pause`.
fn paused(pause: Duration, now: Instant) -> Dispatcher {
    let mut dispatcher = dispatcher_with(holder(), now);
    dispatcher.hear_pause(&holder().id, pause, now);
    dispatcher
}

fn is_granted(dispatcher: &mut Dispatcher, now: Instant) -> bool {
    match dispatcher.acquire(query(now, TARGET, 5 * SECOND), now) {
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
    let mut dispatcher = paused(3 * SECOND, now);
    dispatcher.remove_runner(&holder().id);
    dispatcher.update_runner(Arc::new(holder()), now + SECOND);
    assert!(!is_granted(&mut dispatcher, now + 2 * SECOND));
    assert!(is_granted(&mut dispatcher, now + 3 * SECOND));
}

#[test]
fn a_shorter_pause_does_not_end_a_longer_one() {
    let now = Instant::now();
    let mut dispatcher = paused(3 * SECOND, now);
    dispatcher.hear_pause(&holder().id, SECOND, now + SECOND);
    assert!(!is_granted(&mut dispatcher, now + 2 * SECOND));
    assert!(is_granted(&mut dispatcher, now + 3 * SECOND));
}

#[test]
fn a_request_that_waits_for_a_pause_is_refused_as_soon_as_that_is_put_off() {
    let now = Instant::now();
    let mut dispatcher = paused(TARGET / 2, now);
    let waiting = dispatcher.acquire(query(now, TARGET, 30 * SECOND), now);
    assert!(matches!(waiting, Acquired::Waiting(_)));
    let later = now + TARGET / 4;
    assert!(dispatcher.poll(later).is_empty());
    dispatcher.hear_pause(&holder().id, 4 * SECOND, later);
    let (_, answer) = dispatcher.poll(later).pop().expect("it is answered");
    let refusal = answer.expect_err("the runner wants a pause");
    assert_eq!(refusal.reason, RefusalReason::Paused);
    assert!(refusal.retry_after >= 4 * SECOND);
}

#[test]
fn a_pause_longer_than_any_clock_counts_is_kept() {
    let now = Instant::now();
    let mut dispatcher = paused(Duration::MAX, now);
    assert!(!is_granted(&mut dispatcher, now + 3600 * SECOND));
}

#[test]
fn a_runner_gets_one_request_after_its_pause_until_it_has_taken_that() {
    let now = Instant::now();
    let mut dispatcher = paused(SECOND, now);
    let over = now + SECOND;
    let request = || query(over, TARGET, 5 * SECOND);
    for outcome in [Outcome::Abandoned, Outcome::Paused] {
        let Acquired::Granted(first) = dispatcher.acquire(request(), over) else {
            panic!("the pause is over");
        };
        assert!(!is_granted(&mut dispatcher, over));
        dispatcher.finish(first.permit, outcome, over);
    }
    let Acquired::Granted(first) = dispatcher.acquire(request(), over) else {
        panic!("nothing shows that it takes requests");
    };
    assert!(!is_granted(&mut dispatcher, over));
    let first_byte = SECOND / 10;
    dispatcher.observe(first.permit, Outcome::PromptRead { first_byte }, over);
    assert!(is_granted(&mut dispatcher, over));
    assert!(is_granted(&mut dispatcher, over));
}
