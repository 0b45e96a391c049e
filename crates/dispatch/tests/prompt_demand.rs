//! The prompt tokens that a node reports for each model.

mod common;

use std::time::{Duration, Instant};

use barleyspar_catalog::ModelReference;
use barleyspar_dispatch::{AttemptKind, Dispatcher, PromptDemandItem, Query};
use common::{SECOND, dispatcher, query};

const PROMPT_TOKENS: u64 = 1_000;

fn ask(dispatcher: &mut Dispatcher, now: Instant, change: impl Fn(&mut Query)) {
    let mut query = query(now, SECOND);
    query.prompt_tokens = PROMPT_TOKENS;
    query.may_wait = false;
    change(&mut query);
    dispatcher.acquire(query, now);
}

/// Asks ten prompts a second for `seconds`, and returns the end of that time.
fn ask_steadily(dispatcher: &mut Dispatcher, from: Instant, seconds: u32) -> Instant {
    let interval = SECOND / 10;
    let times = (0..seconds * 10).map(|number| from + interval * number);
    for at in times {
        ask(dispatcher, at, |_| ());
    }
    from + SECOND * seconds
}

fn only_item(dispatcher: &mut Dispatcher, now: Instant) -> PromptDemandItem {
    let items = dispatcher.prompt_demand_items(now);
    let [item] = &items[..] else {
        panic!("{items:?}");
    };
    item.clone()
}

fn is_near(rate: f32, expected: f32) -> bool {
    (rate / expected - 1.0).abs() < 0.1
}

/// Ten prompts of 1,000 tokens a second for 30 s.
#[test]
fn steady_prompts_are_reported_at_their_rate() {
    let start = Instant::now();
    let mut dispatcher = dispatcher(start);
    let now = ask_steadily(&mut dispatcher, start, 30);
    let item = only_item(&mut dispatcher, now);
    assert_eq!((&*item.service, &*item.model), ("engine", "cold"));
    assert!(is_near(item.tokens_per_second, 10_000.0), "{item:?}");
    assert!(is_near(item.recent_tokens_per_second, 10_000.0), "{item:?}");
    assert!(is_near(item.recent_requests_per_second, 10.0), "{item:?}");
}

/// Ten prompts of 1,000 tokens a second for 2 s, none before.
#[test]
fn prompts_that_have_just_begun_show_in_the_recent_rate_first() {
    let start = Instant::now();
    let mut dispatcher = dispatcher(start);
    let now = ask_steadily(&mut dispatcher, start, 2);
    let item = only_item(&mut dispatcher, now);
    assert!(item.tokens_per_second < 4_000.0, "{item:?}");
    assert!(item.recent_tokens_per_second > 6_500.0, "{item:?}");
}

#[test]
fn a_prompt_for_an_adapter_counts_for_its_model() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    ask(&mut dispatcher, now, |_| ());
    let of_model = only_item(&mut dispatcher, now).tokens_per_second;
    ask(&mut dispatcher, now, |query| {
        query.wanted = Some(ModelReference {
            model: "cold".into(),
            adapter: Some("adapter".into()),
        });
    });
    let of_both = only_item(&mut dispatcher, now).tokens_per_second;
    assert!(is_near(of_both, 2.0 * of_model));
}

#[test]
fn retries_of_a_request_do_not_count_its_prompt_again() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    ask(&mut dispatcher, now, |_| ());
    let before = only_item(&mut dispatcher, now);
    ask(&mut dispatcher, now, |query| {
        query.attempt = AttemptKind::Retry
    });
    ask(&mut dispatcher, now, |query| {
        query.attempt = AttemptKind::Unsent
    });
    assert_eq!(only_item(&mut dispatcher, now), before);
}

/// The service's runners hold 100,000 tokens.
#[test]
fn a_prompt_that_no_runner_can_hold_is_ignored_and_counted() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    for tokens in [100_001, u64::MAX] {
        ask(&mut dispatcher, now, |query| query.prompt_tokens = tokens);
    }
    assert_eq!(dispatcher.prompt_demand_items(now), []);
    assert_eq!(dispatcher.ignored_prompts(), 2);
}

#[test]
fn a_model_without_prompts_for_a_minute_is_reported_no_longer() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    ask(&mut dispatcher, now, |_| ());
    let later = now + Duration::from_secs(60);
    assert_eq!(dispatcher.prompt_demand_items(later), []);
}
