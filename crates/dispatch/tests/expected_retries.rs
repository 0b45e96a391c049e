//! How long, and how often, refused clients count in the demand that a node reports.

mod common;

use std::time::{Duration, Instant};

use barleyspar_dispatch::{Acquired, Dispatcher, Query};
use common::{SECOND, dispatcher, query};

/// Time after its `Retry-After` within which a client has come back.
const SLACK: Duration = Duration::from_secs(1);

/// Refuses a request for a model that is not loaded, at `now`; returns the time that its
/// client was told to wait.
fn refuse(dispatcher: &mut Dispatcher, query: Query, now: Instant) -> Duration {
    let query = Query {
        request: 0,
        after_stall: false,
        may_wait: false,
        ..query
    };
    match dispatcher.acquire(query, now) {
        Acquired::Refused(refusal) => refusal.retry_after,
        _ => panic!("no runner holds the model"),
    }
}

fn refuse_new(dispatcher: &mut Dispatcher, now: Instant) -> Duration {
    refuse(dispatcher, query(now, 5 * SECOND), now)
}

fn waiting(dispatcher: &mut Dispatcher, now: Instant) -> u32 {
    let items = dispatcher.demand_items(now);
    items.iter().map(|item| item.waiting).sum()
}

/// Five clients are refused at once.
#[test]
fn several_refused_clients_count_as_one() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    for _ in 0..5 {
        refuse_new(&mut dispatcher, now);
    }
    assert_eq!(waiting(&mut dispatcher, now), 5);
}

/// Three clients are refused at once, of which each has longer until its deadline, and so is
/// told to come back later, than the one before.
#[test]
fn a_client_counts_until_another_ones_time() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    let ends = [3, 6, 9].map(|seconds| {
        let query = Query {
            request: 0,
            after_stall: false,
            deadline: now + seconds * SECOND,
            ..query(now, 5 * SECOND)
        };
        now + refuse(&mut dispatcher, query, now) + SLACK
    });
    assert!(ends[0] < ends[1] && ends[1] < ends[2], "{ends:?}");
    let just_before = |end: Instant| end - Duration::from_millis(1);
    assert_eq!(waiting(&mut dispatcher, just_before(ends[0])), 3);
    assert_eq!(waiting(&mut dispatcher, ends[0]), 2);
    assert_eq!(waiting(&mut dispatcher, just_before(ends[1])), 2);
    assert_eq!(waiting(&mut dispatcher, ends[1]), 1);
    assert_eq!(waiting(&mut dispatcher, ends[2]), 0);
}

/// Three clients are refused; one of them comes back and is refused again. The others come back
/// to other nodes, where they count.
#[test]
fn clients_that_came_back_count_on() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    let retry_after = (0..3)
        .map(|_| refuse_new(&mut dispatcher, now))
        .max()
        .expect("three clients were refused");
    let at = now + retry_after;
    let again = refuse_new(&mut dispatcher, at);
    assert!(again >= SLACK, "{again:?}");
    assert_eq!(waiting(&mut dispatcher, at + SLACK), 1);
}

/// 5,000 clients of one model are refused within five seconds.
#[test]
fn refused_clients_are_counted_without_bound() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    let last = (0..5_000)
        .map(|number| now + Duration::from_millis(number))
        .inspect(|at| {
            refuse_new(&mut dispatcher, *at);
        })
        .last()
        .expect("clients were refused");
    assert_eq!(waiting(&mut dispatcher, last), 256);
}
