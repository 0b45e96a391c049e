//! Which requests wait for a model that no runner holds, and which clients are told to
//! retry.

mod common;

use std::time::{Duration, Instant};

use barleyspar_dispatch::{
    Acquired, Dispatcher, Inventory, Loading, Query, Refusal, RefusalReason,
};
use common::{LOAD, SECOND, dispatcher, dispatcher_with, query, runner};

const CHAT_TARGET: Duration = Duration::from_millis(600);

/// Returns the refusal of a request that gets no runner, and after how long it comes.
fn refusal_by_dispatcher(
    mut dispatcher: Dispatcher,
    query: Query,
    now: Instant,
) -> (Refusal, Duration) {
    match dispatcher.acquire(query, now) {
        Acquired::Refused(refusal) => (refusal, Duration::ZERO),
        Acquired::Granted(_) => panic!("no runner holds the model"),
        Acquired::Waiting(_) => {
            for _ in 0..10 {
                let at = dispatcher.next_refusal_at().expect("it waits");
                if let Some((_, answer)) = dispatcher.poll(at).pop() {
                    return (answer.expect_err("no runner came"), at - now);
                }
            }
            panic!("it is never refused");
        }
    }
}

/// Returns the same for a dispatcher whose runner has a copy of the model on its disk.
fn refusal(query: Query, now: Instant) -> (Refusal, Duration) {
    refusal_by_dispatcher(dispatcher(now), query, now)
}

/// Applies an inventory by which the runner loads the model within `ready_in`.
fn order_load(dispatcher: &mut Dispatcher, ready_in: Duration, now: Instant) {
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
    dispatcher.apply_inventory(inventory, now);
}

#[test]
fn a_request_that_would_be_late_is_refused_at_once() {
    let now = Instant::now();
    let (refusal, waited) = refusal(query(now, CHAT_TARGET, 5 * SECOND), now);
    assert_eq!(refusal.reason, RefusalReason::NotLoaded);
    assert!(waited <= CHAT_TARGET / 8, "{waited:?}");
    assert!(refusal.retry_after >= LOAD && refusal.retry_after <= 5 * SECOND);
}

#[test]
fn a_request_that_can_be_in_time_waits() {
    let now = Instant::now();
    let (_, waited) = refusal(query(now, 6 * SECOND, 6 * SECOND), now);
    assert!(waited > 5 * SECOND, "{waited:?}");
}

#[test]
fn a_request_of_a_returning_client_waits() {
    let now = Instant::now();
    let mut query = query(now, CHAT_TARGET, 5 * SECOND);
    query.is_client_retry = true;
    let (_, waited) = refusal(query, now);
    assert!(waited > 4 * SECOND, "{waited:?}");
}

/// No request waits for a model that has to come from the weight store without an ordered
/// load, nor for one that is loaded only after the client has left.
#[test]
fn no_request_waits_without_an_ordered_load_or_beyond_its_patience() {
    let now = Instant::now();
    for returning in [false, true] {
        let mut unplanned = query(now, 2 * SECOND, 14 * SECOND);
        unplanned.is_client_retry = returning;
        let mut late = unplanned.clone();
        let (_, waited) = refusal_by_dispatcher(dispatcher_with(runner(), now), unplanned, now);
        assert!(waited <= 2 * SECOND / 8, "{waited:?}");
        let mut dispatcher = dispatcher_with(runner(), now);
        order_load(&mut dispatcher, 20 * SECOND, now);
        late.patience = Some(14 * SECOND);
        let (_, waited) = refusal_by_dispatcher(dispatcher, late, now);
        assert!(waited <= 2 * SECOND / 8, "{waited:?}");
    }
}

/// A request waits on if a load is ordered after it was queued and before it is refused.
#[test]
fn a_request_waits_on_if_a_load_is_ordered_meanwhile() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(runner(), now);
    let mut query = query(now, 2 * SECOND, 14 * SECOND);
    query.is_client_retry = true;
    assert!(matches!(
        dispatcher.acquire(query, now),
        Acquired::Waiting(_)
    ));
    order_load(&mut dispatcher, LOAD, now);
    let first_refusal = dispatcher.next_refusal_at().expect("it waits");
    assert!(first_refusal - now <= 2 * SECOND / 8);
    assert!(dispatcher.poll(first_refusal).is_empty(), "it is refused");
    let second_refusal = dispatcher.next_refusal_at().expect("it waits on");
    assert!(
        second_refusal - now > 4 * LOAD,
        "{:?}",
        second_refusal - now
    );
}

#[test]
fn an_ordered_load_decides_the_retry_time() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(runner(), now);
    order_load(&mut dispatcher, 2 * SECOND, now);
    let (refusal, _) = refusal_by_dispatcher(dispatcher, query(now, CHAT_TARGET, 2 * SECOND), now);
    let retry_after = refusal.retry_after;
    assert!(
        retry_after >= 2 * SECOND && retry_after < 3 * SECOND,
        "{retry_after:?}"
    );
}
