//! Which requests wait for a runner, for how long, and which clients are told to come back.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::{LoadedModel, Runner};
use barleyspar_dispatch::{
    Acquired, Arrival, Dispatcher, Failure, Inventory, Loading, Outcome, Query, Refusal,
    RefusalReason,
};
use common::{LOAD, SECOND, dispatcher, dispatcher_with, query, runner};

/// Returns the refusal of a request that gets no runner, and after how long it comes.
fn refusal_by_dispatcher(
    mut dispatcher: Dispatcher,
    query: Query,
    now: Instant,
) -> (Refusal, Duration) {
    match dispatcher.acquire(query, now) {
        Acquired::Refused(refusal) => (refusal, Duration::ZERO),
        Acquired::Granted(_) => panic!("no runner can take the request"),
        Acquired::Waiting(_) => {
            for _ in 0..10 {
                let at = dispatcher.next_refusal_at().expect("a request waits");
                if let Some((_, answer)) = dispatcher.poll(at).pop() {
                    return (answer.expect_err("no runner came"), at - now);
                }
            }
            panic!("the request is never refused");
        }
    }
}

/// Returns the refusal of a request, and after how long it comes, by a dispatcher whose
/// runner has a copy of the model on its disk.
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

/// A dispatcher whose only runner holds the model and has no free slot.
fn full_dispatcher(now: Instant) -> Dispatcher {
    let mut holder = runner();
    holder.slots = 1.into();
    holder.models = vec![LoadedModel {
        model: "cold".into(),
        version: 1,
        adapters: Vec::new(),
    }];
    let mut dispatcher = dispatcher_with(holder, now);
    let first = query(now, 10 * SECOND);
    assert!(matches!(
        dispatcher.acquire(first, now),
        Acquired::Granted(_)
    ));
    dispatcher
}

/// Clients that leave before the load could end.
#[test]
fn a_request_that_cannot_be_served_is_held() {
    let now = Instant::now();
    let (refusal, waited) = refusal(query(now, 3 * SECOND), now);
    assert_eq!(refusal.reason, RefusalReason::NotLoaded);
    assert_eq!(waited, Duration::ZERO);
    assert!(refusal.retry_after >= LOAD && refusal.retry_after <= 5 * SECOND);
}

/// Clients that stay for twice the time of a load that nobody orders.
#[test]
fn a_request_that_can_be_served_is_refused_or_held_once_it_cannot() {
    let now = Instant::now();
    let (_, waited) = refusal(query(now, 2 * LOAD), now);
    assert!(waited > LOAD / 2 && waited < LOAD, "{waited:?}");
}

#[test]
fn a_caller_with_more_time_is_served_less_often() {
    let now = Instant::now();
    let waits: Vec<bool> = (1..100)
        .map(|step| {
            let mut dispatcher = dispatcher_with(runner(), now);
            order_load(&mut dispatcher, LOAD, now);
            let query = query(now, SECOND / 10 * step);
            matches!(dispatcher.acquire(query, now), Acquired::Waiting(_))
        })
        .collect();
    assert!(waits.is_sorted() && waits[50] && !waits[10], "{waits:?}");
}

#[test]
fn a_request_waits_for_an_ordered_load_that_ends_after_its_client_has_left() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(runner(), now);
    order_load(&mut dispatcher, 20 * SECOND, now);
    let (_, waited) = refusal_by_dispatcher(dispatcher, query(now, 14 * SECOND), now);
    assert_eq!(waited, Duration::ZERO);
}

/// A load is ordered just before it would come too late.
#[test]
fn a_request_is_refused_although_a_load_was_ordered_meanwhile() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(runner(), now);
    assert!(matches!(
        dispatcher.acquire(query(now, 14 * SECOND), now),
        Acquired::Waiting(_)
    ));
    let first_refusal = dispatcher.next_refusal_at().expect("the request waits");
    assert!(first_refusal - now <= 14 * SECOND - LOAD);
    order_load(&mut dispatcher, LOAD, first_refusal);
    assert!(
        dispatcher.poll(first_refusal).is_empty(),
        "the request is refused"
    );
    let second_refusal = dispatcher.next_refusal_at().expect("the request waits on");
    assert!(second_refusal - first_refusal >= LOAD);
}

#[test]
fn an_ordered_load_decides_the_retry_time() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(runner(), now);
    order_load(&mut dispatcher, 2 * SECOND, now);
    let (refusal, _) = refusal_by_dispatcher(dispatcher, query(now, 2 * SECOND), now);
    let retry_after = refusal.retry_after;
    assert!(
        retry_after >= 2 * SECOND && retry_after < 3 * SECOND,
        "{retry_after:?}"
    );
}

/// The client has a tenth of a second until it leaves.
#[test]
fn a_refusal_reaches_its_client_too_late() {
    let now = Instant::now();
    for left in [SECOND / 10, 10 * SECOND] {
        let (_, waited) = refusal_by_dispatcher(full_dispatcher(now), query(now, left), now);
        let margin = (left / 2).min(SECOND / 5);
        assert!(waited >= left - margin && waited < left, "{waited:?}");
    }
}

/// The only runner that holds the model refused the request for lack of room.
#[test]
fn a_request_waits_for_a_slot_that_it_may_not_use() {
    let now = Instant::now();
    let mut dispatcher = full_dispatcher(now);
    let sent = query(now, 10 * SECOND);
    dispatcher.finish(1, Outcome::Busy, Arrival::Over, now);
    let retry = Query {
        request: 0,
        after_stall: false,
        excluded_runners: vec![runner().id],
        ..sent
    };
    let (refusal, waited) = refusal_by_dispatcher(dispatcher, retry, now);
    assert_eq!(
        (refusal.reason, waited),
        (RefusalReason::Full, Duration::ZERO)
    );
}

/// The only runner that holds the model crashed with the request.
#[test]
fn a_request_does_not_wait_for_its_model_to_be_loaded_elsewhere() {
    let now = Instant::now();
    let mut dispatcher = full_dispatcher(now);
    dispatcher.finish(1, Outcome::Failed(Failure::Broken), Arrival::Over, now);
    let other = Runner {
        id: "runner-2".into(),
        models: Vec::new(),
        ..runner()
    };
    dispatcher.update_runner(Arc::new(other), now);
    let retry = Query {
        request: 0,
        after_stall: false,
        excluded_runners: vec![runner().id],
        ..query(now, 10 * SECOND)
    };
    let (refusal, waited) = refusal_by_dispatcher(dispatcher, retry, now);
    assert_eq!(refusal.reason, RefusalReason::NotLoaded);
    assert!(waited > 5 * SECOND, "{waited:?}");
}

/// A hundred clients of a service without runners are refused at once.
#[test]
fn clients_without_a_runner_are_held_or_come_back_together() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    dispatcher.remove_runner(&runner().id, now);
    let mut told: Vec<Duration> = (0..100)
        .map(|_| match dispatcher.acquire(query(now, 14 * SECOND), now) {
            Acquired::Refused(refusal) => refusal.retry_after,
            other => panic!("the request waits for nothing: {other:?}"),
        })
        .collect();
    told.sort_unstable();
    assert!(told[99] <= 5 * SECOND, "{told:?}");
    assert!(told[75] - told[25] > SECOND, "{told:?}");
}
