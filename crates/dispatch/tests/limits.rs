//! Rate-limited runners: which node may call them when, and how long requests wait for
//! them.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::{LoadedModel, Runner, RunnerLimit};
use barleyspar_dispatch::{
    Acquired, AdvertisedLimit, Dispatcher, LimitUpdate, RatePermitAnswer, RefusalReason, runner_key,
};
use common::{SECOND, dispatcher_with, query, runner};

const TARGET: Duration = Duration::from_millis(600);

/// A runner that holds the model.
fn holder(id: &str) -> Runner {
    let held = LoadedModel {
        model: "cold".into(),
        version: 1,
        adapters: Vec::new(),
    };
    Runner {
        id: id.into(),
        name: id.into(),
        models: vec![held],
        ..runner()
    }
}

fn advertised(per_second: Option<f64>, at: Instant) -> AdvertisedLimit {
    let limit = per_second.map(|rate| RunnerLimit::new(rate).expect("the rate is valid"));
    AdvertisedLimit { limit, at }
}

/// A dispatcher with runners that hold the model; the first advertises one request a
/// second.
fn dispatcher_with_limited_runner(ids: &[&str], now: Instant) -> Dispatcher {
    let mut dispatcher = dispatcher_with(holder(ids[0]), now);
    for id in &ids[1..] {
        dispatcher.update_runner(holder(id), now);
    }
    let change = dispatcher.record_advertised_limit(ids[0], advertised(Some(1.0), now));
    assert!(change.is_some());
    dispatcher
}

fn requested_permits(dispatcher: &mut Dispatcher, now: Instant) -> Vec<Arc<str>> {
    let requested_permits = dispatcher.start_permit_requests(now);
    requested_permits.into_iter().map(|(id, _)| id).collect()
}

/// Returns the runner that a request gets at once, if any.
fn granted_runner(dispatcher: &mut Dispatcher, now: Instant) -> Option<Arc<str>> {
    match dispatcher.acquire(query(now, 5 * SECOND), now) {
        Acquired::Granted(grant) => Some(grant.runner.id.clone()),
        Acquired::Waiting(ticket) => {
            dispatcher.cancel(ticket);
            None
        }
        Acquired::Refused(_) => None,
    }
}

#[test]
fn a_permit_is_requested_once_and_serves_one_request() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with_limited_runner(&["a"], now);
    assert!(requested_permits(&mut dispatcher, now).is_empty());
    let request = || query(now, 5 * SECOND);
    for _ in 0..2 {
        assert!(matches!(
            dispatcher.acquire(request(), now),
            Acquired::Waiting(_)
        ));
    }
    assert_eq!(requested_permits(&mut dispatcher, now), ["a".into()]);
    assert!(requested_permits(&mut dispatcher, now).is_empty());
    dispatcher.apply_rate_permit_answer("a", RatePermitAnswer::Granted, now);
    let answers = dispatcher.poll(now);
    assert_eq!(answers.len(), 1);
    assert!(answers[0].1.is_ok());
    assert_eq!(requested_permits(&mut dispatcher, now), ["a".into()]);
}

#[test]
fn a_denied_permit_is_requested_again_after_the_given_time() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with_limited_runner(&["a"], now);
    assert_eq!(granted_runner(&mut dispatcher, now), None);
    assert_eq!(requested_permits(&mut dispatcher, now).len(), 1);
    let wait = Duration::from_millis(200);
    dispatcher.apply_rate_permit_answer("a", RatePermitAnswer::Denied(wait), now);
    let waiting = dispatcher.acquire(query(now, 5 * SECOND), now);
    assert!(matches!(waiting, Acquired::Waiting(_)));
    assert!(requested_permits(&mut dispatcher, now).is_empty());
    assert_eq!(dispatcher.next_permit_request_at(), Some(now + wait));
    assert_eq!(requested_permits(&mut dispatcher, now + wait).len(), 1);
}

/// Guards against requests that wait until their clients leave, for a permit that is
/// known to come too late.
#[test]
fn a_request_is_refused_at_once_when_a_permit_comes_too_late() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with_limited_runner(&["a"], now);
    let waiting = dispatcher.acquire(query(now, 5 * SECOND), now);
    assert!(matches!(waiting, Acquired::Waiting(_)));
    assert_eq!(requested_permits(&mut dispatcher, now).len(), 1);
    let answered_at = now + TARGET / 8;
    dispatcher.apply_rate_permit_answer("a", RatePermitAnswer::Denied(10 * SECOND), answered_at);
    let (_, answer) = dispatcher
        .poll(answered_at)
        .pop()
        .expect("the request is answered");
    let refusal = answer.expect_err("no runner came");
    assert_eq!(refusal.reason, RefusalReason::Limited);
    assert!(refusal.retry_after >= SECOND);
}

#[test]
fn a_rate_limited_runner_serves_only_what_no_other_can() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with_limited_runner(&["a", "b"], now);
    // The permit is kept for a request that only the limited runner can take.
    dispatcher.apply_rate_permit_answer("a", RatePermitAnswer::Granted, now);
    for _ in 0..8 {
        assert_eq!(granted_runner(&mut dispatcher, now).as_deref(), Some("b"));
    }
    let now = now + SECOND;
    // Runner `b` is full, and the permit to call runner `a` has expired.
    assert_eq!(granted_runner(&mut dispatcher, now), None);
    assert_eq!(requested_permits(&mut dispatcher, now).len(), 1);
    dispatcher.apply_rate_permit_answer("a", RatePermitAnswer::Granted, now);
    assert_eq!(granted_runner(&mut dispatcher, now).as_deref(), Some("a"));
}

#[test]
fn a_stale_limit_is_probed() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with_limited_runner(&["a", "b"], now);
    let later = now + 6 * SECOND;
    assert_eq!(granted_runner(&mut dispatcher, later).as_deref(), Some("b"));
    assert_eq!(requested_permits(&mut dispatcher, later).len(), 1);
    dispatcher.apply_rate_permit_answer("a", RatePermitAnswer::Granted, later);
    assert_eq!(granted_runner(&mut dispatcher, later).as_deref(), Some("a"));
    let change = dispatcher.record_advertised_limit("a", advertised(None, later));
    assert!(change.is_some_and(|change| change.limit.is_none()));
    let runners = [0, 1].map(|_| granted_runner(&mut dispatcher, later));
    assert!(runners.contains(&Some("a".into())));
}

/// Messages between nodes stay small when all runners are rate-limited.
#[test]
fn only_the_newest_limits_are_sent_to_other_nodes() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with_limited_runner(&["a"], now);
    for number in 0..500_u64 {
        let id = format!("runner-{number}");
        dispatcher.update_runner(holder(&id), now);
        let at = now + Duration::from_millis(number);
        dispatcher.record_advertised_limit(&id, advertised(Some(1.0), at));
    }
    let updates = dispatcher.limit_updates(now + SECOND);
    assert!(updates.len() <= 100, "{}", updates.len());
    assert_eq!(updates[0].runner, runner_key("runner-499"));
}

#[test]
fn the_newest_advertisement_counts_whichever_node_received_it() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with_limited_runner(&["a"], now);
    let update = |per_second: Option<f64>, age_ms| LimitUpdate {
        runner: runner_key("a"),
        limit: per_second.and_then(RunnerLimit::new),
        age_ms,
    };
    let later = now + SECOND;
    assert!(
        dispatcher
            .apply_limit_updates(&[update(None, 1500)], later)
            .is_empty()
    );
    assert_eq!(
        dispatcher
            .apply_limit_updates(&[update(Some(2.0), 500)], later)
            .len(),
        1
    );
    assert_eq!(
        dispatcher
            .apply_limit_updates(&[update(None, 100)], later)
            .len(),
        1
    );
    assert_eq!(granted_runner(&mut dispatcher, later).as_deref(), Some("a"));
    // The end of a limit is sent to other nodes for a while, a limit as long as it lasts.
    assert_eq!(dispatcher.limit_updates(later).len(), 1);
    assert!(dispatcher.limit_updates(later + 10 * SECOND).is_empty());
}
