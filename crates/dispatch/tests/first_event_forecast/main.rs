//! The choice of the runner by the expected time of the first event.

#[path = "../common/mod.rs"]
mod common;
mod load;
mod simulated_site;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::{LoadedModel, Runner, runner_key};
use barleyspar_dispatch::{Acquired, Arrival, BudgetLimits, Dispatcher, Outcome, Query};
use barleyspar_prefill::PrefillUpdate;
use common::{SECOND, configuration, query, runner, site};
use load::{Load, Played};
use quickcheck::{Gen, QuickCheck};
use simulated_site::play;

/// 60 runners of speeds 0.6, 1 and 1.6, 60 models on three runners each, of which the first
/// is asked for about eight times as often as the last; 88 nodes with views up to 250 ms old; 300
/// prompts a second of 400 to 2600 tokens, about a third of what the runners can read.
fn load(seed: u64) -> Load {
    Load {
        seed,
        requests_per_second: 300.0,
        skew: 0.5,
        time: 10 * SECOND,
        ..Load::default()
    }
}

fn without_estimates(load: &Load) -> Played {
    play(&Load {
        has_estimates: false,
        ..load.clone()
    })
}

#[test]
fn many_callers_wait_though_a_faster_or_idle_runner_could_read_their_prompts() {
    for seed in 1..=3 {
        let by_slots = without_estimates(&load(seed));
        let by_forecast = play(&load(seed));
        let busiest = (by_slots.busiest_seconds(), by_forecast.busiest_seconds());
        for wait in [400, 1000].map(Duration::from_millis) {
            let beyond = (by_slots.share_beyond(wait), by_forecast.share_beyond(wait));
            println!("seed {seed}: beyond {wait:?} {beyond:?}, busiest {busiest:?}");
            assert!(
                beyond.1 <= 0.5 * beyond.0,
                "seed {seed}: {wait:?} {beyond:?}"
            );
        }
        assert!(busiest.1 <= busiest.0, "seed {seed}: busiest {busiest:?}");
        let over_mean = (
            by_slots.busiest_over_mean(),
            by_forecast.busiest_over_mean(),
        );
        println!("seed {seed}: over the mean {over_mean:?}");
    }
}

/// One runner reads at a tenth of its speed from second 3 to second 8.
#[test]
fn a_runner_is_avoided_long_after_it_has_recovered() {
    let slow = 1;
    let at = Duration::from_secs;
    let load = Load {
        speed_changes: vec![(slow, at(3), 0.1), (slow, at(8), 1.0)],
        time: at(20),
        ..load(1)
    };
    let played = play(&load);
    let count = |from, to| played.sent_to(slow, at(from)..at(to));
    let (before, during, after) = (count(1, 3), count(5, 8), count(14, 18));
    assert!(
        during * 2 <= before,
        "{before} in 2 s, then {during} in 3 s"
    );
    assert!(after >= before, "{before} in 2 s, then {after} in 4 s");
}

/// A runner that holds the model of the queries.
fn holder(id: &str) -> Runner {
    Runner {
        id: id.into(),
        slots: 32.into(),
        models: vec![LoadedModel {
            model: "cold".into(),
            version: 1,
            adapters: Vec::new(),
        }],
        ..runner()
    }
}

/// A dispatcher of a single node that knows these runners, so that no choice is random.
fn dispatcher(ids: &[&str], now: Instant) -> Dispatcher {
    named_dispatcher("node", ids, now)
}

/// A dispatcher of the node `name` that knows these runners.
fn named_dispatcher(name: &str, ids: &[&str], now: Instant) -> Dispatcher {
    let limits = BudgetLimits {
        ratio: 0.2,
        window: 10 * SECOND,
        extra: 10.0,
    };
    let mut dispatcher = Dispatcher::new(name.into(), "zone".into(), limits, site(), now);
    dispatcher.set_configuration(Arc::new(configuration()));
    for id in ids {
        dispatcher.update_runner(holder(id), now);
    }
    dispatcher
}

fn update(id: &str, tokens_per_second: u32, wait_ms: u16) -> PrefillUpdate {
    PrefillUpdate {
        runner: runner_key(id),
        tokens_per_second,
        wait_ms,
    }
}

fn prompt(now: Instant, tokens: u64) -> Query {
    Query {
        request: 0,
        after_stall: false,
        prompt_tokens: tokens,
        may_wait: false,
        ..query(now, 8 * SECOND)
    }
}

/// Returns the runner that gets `query`, whose attempt goes on.
fn granted(dispatcher: &mut Dispatcher, query: Query, now: Instant) -> Arc<str> {
    match dispatcher.acquire(query, now) {
        Acquired::Granted(grant) => grant.runner.id.clone(),
        other => panic!("the runners have free slots, but the answer is {other:?}"),
    }
}

/// Returns the runner that gets `query`, whose attempt then ends at once.
fn chosen(dispatcher: &mut Dispatcher, query: Query, now: Instant) -> Option<Arc<str>> {
    match dispatcher.acquire(query, now) {
        Acquired::Granted(grant) => {
            dispatcher.finish(grant.permit, Outcome::Abandoned, Arrival::Over, now);
            Some(grant.runner.id.clone())
        }
        _ => None,
    }
}

#[test]
fn a_prompt_waits_at_a_fast_runner_though_a_slow_one_would_read_it_sooner() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&["a", "b"], now);
    for (fast, slow) in [("a", "b"), ("b", "a")] {
        let waiting = [update(fast, 20_000, 0), update(slow, 10_000, 0)];
        dispatcher.apply_prefill_updates(&waiting, now);
        let first = chosen(&mut dispatcher, prompt(now, 1000), now);
        assert_eq!(first.as_deref(), Some(fast));
        let busy = [update(fast, 20_000, 400), update(slow, 10_000, 0)];
        dispatcher.apply_prefill_updates(&busy, now);
        let second = chosen(&mut dispatcher, prompt(now, 1000), now);
        assert_eq!(second.as_deref(), Some(slow));
    }
}

/// Two equal runners were told to have the same wait. Then one of them gets a prompt that
/// takes it 400 ms, and three short ones follow.
fn short_prompts_beside_a_long_one(wait_ms: u16) -> Vec<bool> {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&["a", "b"], now);
    let updates = ["a", "b"].map(|id| update(id, 20_000, wait_ms));
    dispatcher.apply_prefill_updates(&updates, now);
    let later = now + Duration::from_millis(1);
    let long = granted(&mut dispatcher, prompt(later, 8000), later);
    let is_beside_long = |_| granted(&mut dispatcher, prompt(later, 200), later) == long;
    (0..3).map(is_beside_long).collect()
}

#[test]
fn own_prompts_do_not_count_until_the_owner_tells_of_them() {
    assert_eq!(short_prompts_beside_a_long_one(0), [false; 3]);
}

#[test]
fn own_prompts_do_not_add_to_a_wait_that_was_told_before() {
    assert_eq!(short_prompts_beside_a_long_one(600), [false; 3]);
}

/// A long prompt that was granted before the owner told a wait of zero is still unread.
#[test]
fn own_unread_prompts_are_forgotten_at_an_update() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&["a", "b"], now);
    let long = granted(&mut dispatcher, prompt(now, 8000), now);
    let later = now + Duration::from_millis(10);
    let updates = ["a", "b"].map(|id| update(id, 20_000, 0));
    dispatcher.apply_prefill_updates(&updates, later);
    for _ in 0..3 {
        let short = granted(&mut dispatcher, prompt(later, 200), later);
        assert_ne!(short, long);
    }
}

/// The wait at the runner with a long prompt of this node includes that prompt.
#[test]
fn own_unread_prompts_count_twice_once_the_owner_has_told_of_them() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&["a", "b"], now);
    dispatcher.apply_prefill_updates(&[update("a", 20_000, 0), update("b", 20_000, 500)], now);
    let long = granted(&mut dispatcher, prompt(now, 8000), now);
    assert_eq!(&*long, "a");
    let later = now + Duration::from_millis(10);
    let updates = [update("a", 20_000, 500), update("b", 20_000, 700)];
    dispatcher.apply_prefill_updates(&updates, later);
    assert_eq!(granted(&mut dispatcher, prompt(later, 200), later), long);
}

#[test]
fn a_prompt_that_was_read_still_counts() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&["a", "b"], now);
    let updates = [update("a", 20_000, 0), update("b", 20_000, 200)];
    dispatcher.apply_prefill_updates(&updates, now);
    let Acquired::Granted(grant) = dispatcher.acquire(prompt(now, 8000), now) else {
        panic!("both runners have free slots");
    };
    let first_byte = Duration::from_millis(400);
    let outcome = Outcome::PromptRead { first_byte };
    let later = now + Duration::from_millis(10);
    dispatcher.record_interim_outcome(grant.permit, outcome, later);
    let next = granted(&mut dispatcher, prompt(later, 200), later);
    assert_eq!(next, grant.runner.id);
}

/// Owners tell each second what they know, but no prompt shows that the slow runner has
/// recovered, until a request tries it.
#[test]
fn a_runner_that_was_slow_is_never_tried_again() {
    let start = Instant::now();
    let mut dispatcher = dispatcher(&["fast", "slow"], start);
    let first_try = (0..60).find(|second| {
        let now = start + *second * SECOND;
        let updates = [update("fast", 20_000, 100), update("slow", 1_000, 0)];
        dispatcher.apply_prefill_updates(&updates, now);
        chosen(&mut dispatcher, prompt(now, 1000), now).as_deref() == Some("slow")
    });
    let first_try = first_try.expect("it is tried within a minute");
    assert!((3..=15).contains(&first_try), "{first_try} s");
}

/// 88 nodes heard 250 ms ago that one of three runners has a wait 100 ms shorter.
#[test]
fn all_nodes_choose_the_runner_that_was_told_to_be_free_first() {
    let told_at = Instant::now();
    let now = told_at + Duration::from_millis(250);
    let names: Vec<Arc<str>> = (0..88).map(|node| format!("node-{node}").into()).collect();
    let mut counts = BTreeMap::new();
    for name in &names {
        let mut dispatcher = named_dispatcher(name, &["a", "b", "c"], told_at);
        dispatcher.set_members(names.clone(), now);
        let waits = [("a", 400), ("b", 300), ("c", 400)];
        let updates = waits.map(|(id, wait_ms)| update(id, 20_000, wait_ms));
        dispatcher.apply_prefill_updates(&updates, told_at);
        let runner = granted(&mut dispatcher, prompt(now, 1000), now);
        *counts.entry(runner).or_insert(0) += 1;
    }
    let most = counts.values().max().copied().unwrap_or(0);
    assert!(most > 88 / 3 && most < 88 * 3 / 4, "{counts:?}");
}

#[test]
fn an_estimate_of_a_former_incarnation_is_used() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&["a-1", "b"], now);
    let updates = [update("a-1", 1_000, 60_000), update("b", 20_000, 100)];
    dispatcher.apply_prefill_updates(&updates, now);
    let before = chosen(&mut dispatcher, prompt(now, 1000), now);
    assert_eq!(before.as_deref(), Some("b"));
    dispatcher.remove_runner("a-1", now);
    dispatcher.update_runner(holder("a-2"), now);
    // An update on the former incarnation may still arrive.
    dispatcher.apply_prefill_updates(&updates, now);
    let after = chosen(&mut dispatcher, prompt(now, 1000), now);
    assert_eq!(after.as_deref(), Some("a-2"));
    // The same incarnation may be removed and discovered again.
    dispatcher.remove_runner("a-2", now);
    dispatcher.update_runner(holder("a-1"), now);
    let again = chosen(&mut dispatcher, prompt(now, 1000), now);
    assert_eq!(again.as_deref(), Some("a-1"));
}

#[test]
fn a_wait_changes_the_choice_though_no_speed_is_known() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&["a", "b"], now);
    let before = chosen(&mut dispatcher, prompt(now, 1000), now).expect("both are free");
    dispatcher.record_prefill_wait(runner_key(&before), 60 * SECOND, now);
    let after = chosen(&mut dispatcher, prompt(now, 1000), now);
    assert_eq!(after, Some(before));
}

/// Values of speeds, waits, ages and prompts, with the smallest and the largest ones.
type Values = Vec<(u32, u16, u16, u64)>;

#[test]
fn an_absurd_estimate_makes_a_request_lose_its_runners() {
    fn gets_a_runner(values: Values, answer_ms: u64) -> bool {
        let now = Instant::now() + 100 * SECOND;
        let mut dispatcher = dispatcher(&["a", "b", "c"], now);
        let absurd = [(0, 0, 0, 0), (u32::MAX, u16::MAX, u16::MAX, u64::MAX)];
        for (tokens_per_second, wait_ms, age_ms, tokens) in values.into_iter().chain(absurd) {
            for id in ["a", "b"] {
                let update = update(id, tokens_per_second, wait_ms);
                let told_at = now - Duration::from_millis(age_ms.into());
                dispatcher.apply_prefill_updates(&[update], told_at);
                if chosen(&mut dispatcher, prompt(now, tokens), now).is_none() {
                    return false;
                }
                let wait = Duration::from_millis(answer_ms);
                dispatcher.record_prefill_wait(runner_key("c"), wait, now);
            }
        }
        dispatcher.record_prefill_wait(runner_key("a"), Duration::MAX, now);
        chosen(&mut dispatcher, prompt(now, u64::MAX), now).is_some()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 1))
        .tests(200)
        .quickcheck(gets_a_runner as fn(Values, u64) -> bool);
}

#[test]
fn a_large_change_of_speed_is_not_told() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&["a", "b"], now);
    let mut changes = Vec::new();
    for (second, speed) in [10_000, 9_000, 8_100, 7_290, 6_561].into_iter().enumerate() {
        let at = now + Duration::from_secs(second as u64);
        changes.extend(dispatcher.apply_prefill_updates(&[update("b", speed, 0)], at));
    }
    let [change] = &changes[..] else {
        panic!("one change by more than a fifth: {changes:?}");
    };
    assert_eq!(&*change.runner, "b");
    assert_eq!(change.change.before, 10_000.0);
    assert_eq!(change.change.now, 7_290.0);
    assert_eq!(change.change.age, 3 * SECOND);
}
