//! The cost of a runner by its expected lateness.

use std::sync::Arc;

use barleyspar_catalog::{AllowedRegions, Runner, RunnerState};
use barleyspar_prefill::{PrefillUpdate, RunnerEstimates};
use quickcheck::{Gen, QuickCheck};

use super::*;
use crate::query::AttemptKind;

fn entry(id: &str, now: Instant) -> RunnerEntry {
    let runner = Runner {
        id: id.into(),
        name: id.into(),
        born: None,
        service: "engine".into(),
        address: "10.0.0.1:80".parse().expect("the address is valid"),
        zone: "zone".into(),
        software: Default::default(),
        slots: 8.into(),
        state: RunnerState::Available,
        warming: Duration::ZERO,
        remaining: None,
        heartbeat: 1,
        models: Vec::new(),
        copies: Default::default(),
    };
    RunnerEntry::new(Arc::new(runner), now)
}

fn query(prompt_tokens: u64, now: Instant) -> Query {
    Query {
        request: 0,
        after_stall: false,
        service: "engine".into(),
        wanted: None,
        priority: 1,
        cache_tokens: 0,
        prompt_tokens,
        prefix_key: None,
        deadline: now,
        due_at: now,
        target_gap: Some(Duration::from_millis(300)),
        tenant: None,
        allowed_regions: AllowedRegions::default(),
        software: None,
        excluded_runners: Vec::new(),
        avoided_runners: Vec::new(),
        attempt: AttemptKind::First,
        may_wait: false,
    }
}

/// Speed, wait and age of an update.
type Told = (u32, u16, u16);

/// Returns the costs of two runners about which `told` was told, the first of which has an
/// unread prompt.
fn costs(told: [Told; 2], prompt_tokens: u64, nodes: usize) -> Vec<f64> {
    let now = Instant::now() + Duration::from_secs(100);
    let mut entries = [entry("a", now), entry("b", now)];
    entries[0].unread.add(1, prompt_tokens, now);
    let mut estimates = RunnerEstimates::default();
    for (entry, (tokens_per_second, wait_ms, age_ms)) in entries.iter().zip(told) {
        let update = PrefillUpdate {
            runner: entry.key,
            tokens_per_second,
            wait_ms,
        };
        estimates.apply(&update, now - Duration::from_millis(age_ms.into()));
    }
    let context = SelectionContext {
        zone: "zone",
        estimates: &estimates,
        nodes,
        seed: 1,
        now,
    };
    let candidates: Vec<&RunnerEntry> = entries.iter().collect();
    let query = query(prompt_tokens, now);
    let Some(forecast) = FirstEventForecast::new(&candidates, &query, context) else {
        return Vec::new();
    };
    candidates
        .iter()
        .map(|entry| forecast.cost(entry))
        .collect()
}

#[test]
fn an_absurd_estimate_makes_a_cost_infinite_or_negative() {
    fn is_finite(first: Told, second: Told, tokens: u64, nodes: u8) -> bool {
        let absurd = [0, u32::MAX].map(|speed| (speed, u16::MAX, u16::MAX));
        let pairs = [[first, second], [first, absurd[0]], absurd];
        pairs.into_iter().all(|told| {
            [tokens, u64::MAX].into_iter().all(|tokens| {
                let costs = costs(told, tokens, nodes.into());
                costs.iter().all(|cost| cost.is_finite() && *cost >= 0.0)
            })
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(1000, 1))
        .tests(1000)
        .quickcheck(is_finite as fn(Told, Told, u64, u8) -> bool);
}

/// Returns how much more a runner with a wait of `wait_ms` costs than one without.
fn cost_of(wait_ms: u16) -> f64 {
    let told = [(20_000, 0, 0), (20_000, wait_ms, 0)];
    let costs = costs(told, 1, 1);
    costs[1] - costs[0]
}

#[test]
fn a_wait_weighs_less_the_longer_it_is() {
    let (short, long) = (cost_of(100), cost_of(1_000));
    assert!(
        (long - 10.0 * short).abs() < 0.01 * long,
        "{short} and {long}"
    );
    assert!(long > 1.0, "{long}: more than that of a full runner");
}

#[test]
fn a_forecast_is_made_though_no_speed_is_known() {
    let told = [(0, 500, 0), (0, 0, 0)];
    assert_eq!(costs(told, 100, 1), []);
}

/// Load: a prompt that takes longer to read than the streams' pause at both runners; the
/// first is twice as fast and has 20 streams, the second has 2.
#[test]
fn a_long_prompt_holds_up_the_streams_of_a_crowded_runner() {
    let now = Instant::now();
    let mut entries = [entry("a", now), entry("b", now)];
    let mut estimates = RunnerEstimates::default();
    for (entry, (speed, streams)) in entries.iter_mut().zip([(20_000, 20), (10_000, 2)]) {
        entry.in_flight = streams;
        let update = PrefillUpdate {
            runner: entry.key,
            tokens_per_second: speed,
            wait_ms: 0,
        };
        estimates.apply(&update, now);
    }
    let context = SelectionContext {
        zone: "zone",
        estimates: &estimates,
        nodes: 1,
        seed: 1,
        now,
    };
    let candidates: Vec<&RunnerEntry> = entries.iter().collect();
    let cheapest = |prompt_tokens| {
        let query = query(prompt_tokens, now);
        let forecast = FirstEventForecast::new(&candidates, &query, context);
        let forecast = forecast.expect("the speeds are known");
        let costs = candidates.iter().map(|entry| forecast.cost(entry));
        let costs: Vec<f64> = costs.collect();
        usize::from(costs[1] < costs[0])
    };
    assert_eq!(cheapest(1_000), 0);
    assert_eq!(cheapest(8_000), 1);
}
