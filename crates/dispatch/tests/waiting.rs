//! Who waits for a model that is not there, and who is told to come back.

mod common;

use std::time::{Duration, Instant};

use barleyspar_dispatch::{
    Acquired, Dispatcher, Inventory, Loading, Query, Refusal, RefusalReason,
};
use common::{LOAD, SECOND, dispatcher, dispatcher_with, query, runner};

const CHAT_TARGET: Duration = Duration::from_millis(600);

/// The refusal that a request gets which finds no runner, and after how long.
fn refusal_by(mut dispatcher: Dispatcher, query: Query, now: Instant) -> (Refusal, Duration) {
    match dispatcher.acquire(query, now) {
        Acquired::Refused(refusal) => (refusal, Duration::ZERO),
        Acquired::Granted(_) => panic!("no runner holds the model"),
        Acquired::Waiting(_) => {
            for _ in 0..10 {
                let at = dispatcher.next_refusal().expect("it waits");
                if let Some((_, answer)) = dispatcher.poll(at).pop() {
                    return (answer.expect_err("no runner came"), at - now);
                }
            }
            panic!("it is never refused");
        }
    }
}

/// The same where a runner has a copy of the model on its disk.
fn refusal(query: Query, now: Instant) -> (Refusal, Duration) {
    refusal_by(dispatcher(now), query, now)
}

/// The leader says that the runner loads the model, which is there after `ready_in`.
fn plan(dispatcher: &mut Dispatcher, ready_in: Duration, now: Instant) {
    let inventory = Inventory {
        runner: runner().id,
        sequence: 1,
        models: Vec::new(),
        unloading: Vec::new(),
        loading: Some(Loading {
            model: "cold".into(),
            ready_in_ms: ready_in.as_millis() as u32,
        }),
    };
    dispatcher.update_models(inventory, now);
}

#[test]
fn a_request_that_would_be_late_is_told_at_once_when_to_come_back() {
    let now = Instant::now();
    let (refusal, after) = refusal(query(now, CHAT_TARGET, 5 * SECOND), now);
    assert_eq!(refusal.reason, RefusalReason::NotLoaded);
    assert!(after <= CHAT_TARGET / 8, "{after:?}");
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
    let mut query = query(now, CHAT_TARGET, 5 * SECOND);
    query.returning = true;
    let (_, after) = refusal(query, now);
    assert!(after > 4 * SECOND, "{after:?}");
}

/// What has to come from the weight store, and nobody fetches, is not waited for,
/// nor what comes only after the client has left.
#[test]
fn nobody_is_held_in_vain() {
    let now = Instant::now();
    for returning in [false, true] {
        let mut unplanned = query(now, 2 * SECOND, 14 * SECOND);
        unplanned.returning = returning;
        let mut late = unplanned.clone();
        let (_, after) = refusal_by(dispatcher_with(runner(), now), unplanned, now);
        assert!(after <= 2 * SECOND / 8, "{after:?}");
        let mut dispatcher = dispatcher_with(runner(), now);
        plan(&mut dispatcher, 20 * SECOND, now);
        late.patience = Some(14 * SECOND);
        let (_, after) = refusal_by(dispatcher, late, now);
        assert!(after <= 2 * SECOND / 8, "{after:?}");
    }
}

/// A load that is ordered while a request is about to be refused is waited for.
#[test]
fn a_request_waits_for_what_was_planned_meanwhile() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(runner(), now);
    let mut query = query(now, 2 * SECOND, 14 * SECOND);
    query.returning = true;
    assert!(matches!(
        dispatcher.acquire(query, now),
        Acquired::Waiting(_)
    ));
    plan(&mut dispatcher, LOAD, now);
    let early = dispatcher.next_refusal().expect("it waits");
    assert!(early - now <= 2 * SECOND / 8);
    assert!(dispatcher.poll(early).is_empty(), "it is refused");
    let last = dispatcher.next_refusal().expect("it waits on");
    assert!(last - now > 4 * LOAD, "{:?}", last - now);
}

#[test]
fn a_planned_load_tells_when_to_come_back() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(runner(), now);
    plan(&mut dispatcher, 2 * SECOND, now);
    let (refusal, _) = refusal_by(dispatcher, query(now, CHAT_TARGET, 2 * SECOND), now);
    let told = refusal.retry_after;
    assert!(told >= 2 * SECOND && told < 3 * SECOND, "{told:?}");
}
