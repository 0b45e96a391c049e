//! Rate-limited runners: who calls them, when, and what waits for them.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::{HeldModel, Runner, RunnerLimit};
use barleyspar_dispatch::{
    Acquired, AdvertisedLimit, Dispatcher, LimitNews, RatePermitAnswer, RefusalReason, runner_key,
};
use common::{SECOND, dispatcher_with, query, runner};

const TARGET: Duration = Duration::from_millis(600);

/// A runner that holds the model.
fn holder(id: &str) -> Runner {
    let held = HeldModel {
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

fn word(per_second: Option<f64>, at: Instant) -> AdvertisedLimit {
    let limit = per_second.map(|rate| RunnerLimit::new(rate).expect("it is a rate"));
    AdvertisedLimit { limit, at }
}

/// A dispatcher of runners that hold the model, of which the first names a limit of one.
fn limited(ids: &[&str], now: Instant) -> Dispatcher {
    let mut dispatcher = dispatcher_with(holder(ids[0]), now);
    for id in &ids[1..] {
        dispatcher.update_runner(holder(id), now);
    }
    let change = dispatcher.hear_limit(ids[0], word(Some(1.0), now));
    assert!(change.is_some());
    dispatcher
}

fn asked(dispatcher: &mut Dispatcher, now: Instant) -> Vec<Arc<str>> {
    let asked = dispatcher.rate_permits_to_ask(now);
    asked.into_iter().map(|(id, _)| id).collect()
}

/// The runner that a request gets at once.
fn granted(dispatcher: &mut Dispatcher, now: Instant) -> Option<Arc<str>> {
    match dispatcher.acquire(query(now, TARGET, 5 * SECOND), now) {
        Acquired::Granted(grant) => Some(grant.runner.id.clone()),
        Acquired::Waiting(ticket) => {
            dispatcher.cancel(ticket);
            None
        }
        Acquired::Refused(_) => None,
    }
}

#[test]
fn a_permit_is_asked_for_once_and_serves_one_request() {
    let now = Instant::now();
    let mut dispatcher = limited(&["a"], now);
    assert!(asked(&mut dispatcher, now).is_empty());
    let request = || query(now, TARGET, 5 * SECOND);
    for _ in 0..2 {
        assert!(matches!(
            dispatcher.acquire(request(), now),
            Acquired::Waiting(_)
        ));
    }
    assert_eq!(asked(&mut dispatcher, now), ["a".into()]);
    assert!(asked(&mut dispatcher, now).is_empty());
    dispatcher.take_rate_permit("a", RatePermitAnswer::Granted, now);
    let answers = dispatcher.poll(now);
    assert_eq!(answers.len(), 1);
    assert!(answers[0].1.is_ok());
    assert_eq!(asked(&mut dispatcher, now), ["a".into()]);
}

#[test]
fn an_owner_that_denies_a_permit_is_asked_again_when_it_said() {
    let now = Instant::now();
    let mut dispatcher = limited(&["a"], now);
    assert_eq!(granted(&mut dispatcher, now), None);
    assert_eq!(asked(&mut dispatcher, now).len(), 1);
    let wait = Duration::from_millis(200);
    dispatcher.take_rate_permit("a", RatePermitAnswer::Denied(wait), now);
    let waiting = dispatcher.acquire(query(now, TARGET, 5 * SECOND), now);
    assert!(matches!(waiting, Acquired::Waiting(_)));
    assert!(asked(&mut dispatcher, now).is_empty());
    assert_eq!(dispatcher.next_rate_permit(), Some(now + wait));
    assert_eq!(asked(&mut dispatcher, now + wait).len(), 1);
}

/// Held until their clients left, callers waited for a permit that was known to come later.
#[test]
fn a_request_is_refused_at_once_when_a_permit_comes_too_late() {
    let now = Instant::now();
    let mut dispatcher = limited(&["a"], now);
    let waiting = dispatcher.acquire(query(now, TARGET, 5 * SECOND), now);
    assert!(matches!(waiting, Acquired::Waiting(_)));
    assert_eq!(asked(&mut dispatcher, now).len(), 1);
    let heard = now + TARGET / 8;
    dispatcher.take_rate_permit("a", RatePermitAnswer::Denied(10 * SECOND), heard);
    let (_, answer) = dispatcher.poll(heard).pop().expect("it is answered");
    let refusal = answer.expect_err("no runner came");
    assert_eq!(refusal.reason, RefusalReason::Limited);
    assert!(refusal.retry_after >= SECOND);
}

#[test]
fn a_rate_limited_runner_serves_only_what_no_other_can() {
    let now = Instant::now();
    let mut dispatcher = limited(&["a", "b"], now);
    // A permit is there, and is kept for what only that runner can take.
    dispatcher.take_rate_permit("a", RatePermitAnswer::Granted, now);
    for _ in 0..8 {
        assert_eq!(granted(&mut dispatcher, now).as_deref(), Some("b"));
    }
    let now = now + SECOND;
    // The other one is full.
    assert_eq!(granted(&mut dispatcher, now), None);
    assert_eq!(asked(&mut dispatcher, now).len(), 1);
    dispatcher.take_rate_permit("a", RatePermitAnswer::Granted, now);
    assert_eq!(granted(&mut dispatcher, now).as_deref(), Some("a"));
}

#[test]
fn a_limit_that_was_not_heard_of_for_long_is_put_to_the_test() {
    let now = Instant::now();
    let mut dispatcher = limited(&["a", "b"], now);
    let later = now + 6 * SECOND;
    assert_eq!(granted(&mut dispatcher, later).as_deref(), Some("b"));
    assert_eq!(asked(&mut dispatcher, later).len(), 1);
    dispatcher.take_rate_permit("a", RatePermitAnswer::Granted, later);
    assert_eq!(granted(&mut dispatcher, later).as_deref(), Some("a"));
    let change = dispatcher.hear_limit("a", word(None, later));
    assert!(change.is_some_and(|change| change.limit.is_none()));
    let runners = [0, 1].map(|_| granted(&mut dispatcher, later));
    assert!(runners.contains(&Some("a".into())));
}

/// What nodes tell each other stays small when all runners are rate-limited.
#[test]
fn others_are_told_of_the_newest_limits_only() {
    let now = Instant::now();
    let mut dispatcher = limited(&["a"], now);
    for number in 0..500_u64 {
        let id = format!("runner-{number}");
        dispatcher.update_runner(holder(&id), now);
        let at = now + Duration::from_millis(number);
        dispatcher.hear_limit(&id, word(Some(1.0), at));
    }
    let news = dispatcher.limit_news(now + SECOND);
    assert!(news.len() <= 100, "{}", news.len());
    assert_eq!(news[0].runner, runner_key("runner-499"));
}

#[test]
fn the_newest_word_counts_whoever_heard_it() {
    let now = Instant::now();
    let mut dispatcher = limited(&["a"], now);
    let news = |per_second: Option<f64>, age_ms| LimitNews {
        runner: runner_key("a"),
        limit: per_second.and_then(RunnerLimit::new),
        age_ms,
    };
    let later = now + SECOND;
    assert!(
        dispatcher
            .hear_limits(&[news(None, 1500)], later)
            .is_empty()
    );
    assert_eq!(
        dispatcher.hear_limits(&[news(Some(2.0), 500)], later).len(),
        1
    );
    assert_eq!(dispatcher.hear_limits(&[news(None, 100)], later).len(), 1);
    assert_eq!(granted(&mut dispatcher, later).as_deref(), Some("a"));
    // Others are told of the end for a while, and of a limit as long as it lasts.
    assert_eq!(dispatcher.limit_news(later).len(), 1);
    assert!(dispatcher.limit_news(later + 10 * SECOND).is_empty());
}
