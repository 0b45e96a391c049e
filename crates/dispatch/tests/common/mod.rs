#![allow(dead_code)] // Each test file uses a part.
//! A model service with one runner, for tests of the dispatcher.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::{
    AllowedRegions, ColdBounds, Configuration, EngineSpec, ModelReference, ModelSpec, Runner,
    RunnerState, Service,
};
use barleyspar_dispatch::{AttemptKind, BudgetLimits, Dispatcher, Query, Site, answer_due_at};

pub const SECOND: Duration = Duration::from_secs(1);
pub const LOAD: Duration = Duration::from_secs(3);
/// Time until the deadline of each request.
const DEADLINE: Duration = Duration::from_secs(15);

/// A configuration with one engine service and one model.
pub fn configuration() -> Configuration {
    let model = ModelSpec {
        weights_mb: 50.0,
        remote_load: LOAD,
        disk_load: LOAD,
        memory_load: LOAD,
        adapter_mb: 1.0,
    };
    let engine = EngineSpec {
        slots: 8.into(),
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
        cold: None,
        health_path: None,
    };
    Configuration {
        version: 1,
        services: BTreeMap::from([("engine".into(), Arc::new(service))]),
        ..Configuration::default()
    }
}

/// A runner of the engine service without models.
pub fn runner() -> Runner {
    Runner {
        id: "runner-1".into(),
        name: "runner-1".into(),
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
    }
}

/// A dispatcher that knows one runner, with a copy of the model on its disk.
pub fn dispatcher(now: Instant) -> Dispatcher {
    let mut runner = runner();
    runner.copies.disk.push("cold".into());
    dispatcher_with(runner, now)
}

/// A site with one region.
pub fn site() -> Site {
    Site {
        regions: BTreeMap::from([("zone".into(), "region".into())]),
        cold_bounds: ColdBounds {
            overage: 1.5,
            tolerance: 5.0,
        },
    }
}

/// A dispatcher that knows `runner`.
pub fn dispatcher_with(runner: Runner, now: Instant) -> Dispatcher {
    let limits = BudgetLimits {
        ratio: 0.2,
        window: 10 * SECOND,
        extra: 10.0,
    };
    let mut dispatcher = Dispatcher::new("node".into(), "zone".into(), limits, site(), now);
    dispatcher.set_configuration(Arc::new(configuration()));
    dispatcher.update_runner(runner, now);
    dispatcher
}

/// A request whose client leaves after `patience` without an event.
pub fn query(now: Instant, patience: Duration) -> Query {
    Query {
        request: 0,
        after_stall: false,
        service: "engine".into(),
        wanted: Some(ModelReference {
            model: "cold".into(),
            adapter: None,
        }),
        tenant: None,
        priority: 1,
        cache_tokens: 100,
        prompt_tokens: 100,
        prefix_key: None,
        deadline: now + DEADLINE,
        due_at: answer_due_at(now + patience.min(DEADLINE), now),
        target_gap: None,
        allowed_regions: AllowedRegions::default(),
        software: None,
        excluded_runners: Vec::new(),
        avoided_runners: Vec::new(),
        attempt: AttemptKind::First,
        may_wait: true,
    }
}
