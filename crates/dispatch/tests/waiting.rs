//! Who waits for a model that is not there, and who is told to come back.

mod common;

use std::time::{Duration, Instant};

use barleyspar_dispatch::{Acquired, Query, Refusal, RefusalReason};
use common::{LOAD, SECOND, dispatcher, query};

/// The refusal that a request gets which finds no runner, and after how long.
fn refusal(query: Query, now: Instant) -> (Refusal, Duration) {
    let mut dispatcher = dispatcher(now);
    match dispatcher.acquire(query, now) {
        Acquired::Refused(refusal) => (refusal, Duration::ZERO),
        Acquired::Granted(_) => panic!("no runner holds the model"),
        Acquired::Waiting(_) => {
            let at = dispatcher.next_refusal().expect("it waits");
            let mut answers = dispatcher.poll(at);
            let refusal = answers.remove(0).1.expect_err("no runner came");
            (refusal, at - now)
        }
    }
}

#[test]
fn a_request_that_would_be_late_is_told_at_once_when_to_come_back() {
    let now = Instant::now();
    let target = SECOND * 3 / 5;
    let (refusal, after) = refusal(query(now, target, 5 * SECOND), now);
    assert_eq!(refusal.reason, RefusalReason::NotLoaded);
    assert!(after < target / 4, "{after:?}");
    assert!(refusal.retry_after >= LOAD && refusal.retry_after <= 5 * SECOND);
}

#[test]
fn a_request_that_can_be_in_time_waits() {
    let now = Instant::now();
    let (_, after) = refusal(query(now, 6 * SECOND, 6 * SECOND), now);
    assert!(after > 5 * SECOND, "{after:?}");
}

#[test]
fn a_request_that_comes_back_waits() {
    let now = Instant::now();
    let mut query = query(now, SECOND * 3 / 5, 5 * SECOND);
    query.returning = true;
    let (_, after) = refusal(query, now);
    assert!(after > 4 * SECOND, "{after:?}");
}

#[test]
fn nobody_is_held_in_vain_beyond_the_limit() {
    let now = Instant::now();
    let (_, after) = refusal(query(now, 12 * SECOND, 14 * SECOND), now);
    assert_eq!(after, 7 * SECOND);
}
