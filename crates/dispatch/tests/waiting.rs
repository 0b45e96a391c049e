//! Who waits for a model that is not there, and who is told to come back.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::{
    Configuration, EngineSpec, ModelReference, ModelSpec, Runner, RunnerState, Service,
};
use barleyspar_dispatch::{
    Acquired, AttemptKind, BudgetLimits, Dispatcher, Query, Refusal, RefusalReason,
};

const SECOND: Duration = Duration::from_secs(1);
const LOAD: Duration = Duration::from_secs(3);

fn configuration() -> Configuration {
    let model = ModelSpec {
        weights_mb: 50.0,
        remote_load: LOAD,
        disk_load: LOAD,
        memory_load: LOAD,
        adapter_mb: 1.0,
    };
    let engine = EngineSpec {
        slots: 8,
        cache_tokens: 100_000,
        memory_mb: 200.0,
        adapter_capacity: 8,
        loads_per_second: 5.0,
        models: BTreeMap::from([("cold".into(), model)]),
    };
    let service = Service {
        name: "engine".into(),
        connection_limit: 100,
        engine: Some(engine),
    };
    Configuration {
        version: 1,
        services: BTreeMap::from([("engine".into(), Arc::new(service))]),
        ..Configuration::default()
    }
}

fn runner() -> Runner {
    Runner {
        id: "runner-1".into(),
        service: "engine".into(),
        address: "10.0.0.1:80".parse().expect("it is an address"),
        zone: "zone".into(),
        slots: 8,
        state: RunnerState::Available,
        warming: Duration::ZERO,
        remaining: None,
        heartbeat: 1,
        models: Vec::new(),
        copies: Default::default(),
    }
}

fn dispatcher(now: Instant) -> Dispatcher {
    let limits = BudgetLimits {
        ratio: 0.2,
        window: 10 * SECOND,
        extra: 10.0,
    };
    let mut dispatcher = Dispatcher::new("zone".into(), limits, now);
    dispatcher.set_configuration(Arc::new(configuration()));
    dispatcher.update_runner(runner(), now);
    dispatcher
}

/// A request whose client expects an event within `target` and leaves after
/// `patience` without one.
fn query(now: Instant, target: Duration, patience: Duration) -> Query {
    Query {
        service: "engine".into(),
        wanted: Some(ModelReference {
            model: "cold".into(),
            adapter: None,
        }),
        priority: 1,
        tokens: 100,
        prompt_tokens: 100,
        affinity: None,
        deadline: now + 15 * SECOND,
        target_latency: Some(target),
        patience: Some(patience),
        hold_limit: now + 7 * SECOND,
        returning: false,
        excluded: Vec::new(),
        attempt: AttemptKind::First,
        may_wait: true,
    }
}

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
