//! CPU time of one planning step by the size of the site.
//!
//! `cargo bench -p barleyspar-loading` prints a line for each size: the number of
//! runners, models and models with waiting requests, and the milliseconds per step.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::{
    ClientLimits, Configuration, EngineSpec, LoadedModel, ModelSpec, Service, WeightCopies,
};
use barleyspar_dispatch::DemandItem;
use barleyspar_domain::Switches;
use barleyspar_loading::{
    ClusterDemand, KnownSizes, LoadRateLimits, ModelSizes, Planner, PlannerSettings, RunnerView,
};
use barleyspar_policy::Program;

/// Numbers of runners and models in the users' deployments, and in the largest planned
/// one.
const SIZES: [(usize, usize); 4] = [(9, 50), (90, 481), (240, 862), (3700, 900)];
const MODELS_PER_RUNNER: usize = 3;
const ON_DISK: usize = 18;
/// One model in this many has a waiting request.
const WAITING_EVERY: usize = 12;
const STEPS: u32 = 40;
const POLICY: &str = include_str!("../../../deploy/policy.rhai");

fn name(number: usize) -> Arc<str> {
    format!("model-{number}").into()
}

fn configuration(models: usize) -> Configuration {
    let spec = ModelSpec {
        weights_mb: 70_000.0,
        remote_load: Duration::from_secs(6),
        disk_load: Duration::from_millis(840),
        memory_load: Duration::from_millis(470),
        adapter_mb: 66.0,
    };
    let engine = EngineSpec {
        slots: 16.into(),
        cache_tokens: 80_000,
        memory_mb: 230_000.0,
        adapter_capacity: 8,
        loads_per_second: 36.0,
        models: (0..models)
            .map(|number| (name(number), spec.clone()))
            .collect(),
    };
    let service = Service {
        name: "engine".into(),
        connection_limit: 500,
        engine: Some(engine),
        cold: None,
        health_path: None,
    };
    Configuration {
        version: 1,
        routes: Vec::new(),
        services: BTreeMap::from([(service.name.clone(), Arc::new(service))]),
        limits: ClientLimits::default(),
        tenants: Vec::new(),
    }
}

fn runner(number: usize, models: usize) -> RunnerView {
    let at = |offset: usize| name((number * MODELS_PER_RUNNER + offset * 7) % models);
    let held = |model| LoadedModel {
        model,
        version: 1,
        adapters: Vec::new(),
    };
    RunnerView {
        id: format!("runner-{number}").into(),
        service: "engine".into(),
        software: Default::default(),
        zone: format!("zone-{}", number % 3).into(),
        available: true,
        evacuated: false,
        rate_limit: None,
        calls_blocked: false,
        over_limit: Vec::new(),
        spare_rate: 0.0,
        report_unread: false,
        report_known: true,
        reachable: true,
        sequence: 0,
        busy: false,
        models: (0..MODELS_PER_RUNNER).map(at).map(held).collect(),
        pending_adapters: Vec::new(),
        copies: WeightCopies {
            memory: Vec::new(),
            disk: (0..ON_DISK).map(at).collect(),
        },
        ordered_weights_mb: BTreeMap::new(),
        earlier_capacity: None,
        order_in_progress: None,
        busy_until: None,
        possible_load: None,
        tokens_per_second: None,
    }
}

fn demand(models: usize) -> Vec<DemandItem> {
    let item = |number: usize| DemandItem {
        service: "engine".into(),
        model: name(number),
        adapter: None,
        waiting: u32::from(number.is_multiple_of(WAITING_EVERY)),
        priority: (number % 3) as u8,
        in_flight: 1,
        rate: 0.2,
    };
    (0..models).map(item).collect()
}

fn main() {
    for (runners, models) in SIZES {
        let configuration = configuration(models);
        let mut recorded = ModelSizes::default();
        recorded.raise_to_listed(&configuration);
        let sizes = KnownSizes::new(recorded, &configuration);
        let views: Vec<RunnerView> = (0..runners).map(|number| runner(number, models)).collect();
        let settings = PlannerSettings {
            policy: Program::compile(POLICY).expect("the policy compiles"),
            load_rate_limits: LoadRateLimits {
                window: Duration::from_secs(5),
                overage: 1.1,
            },
            switches: Switches::default(),
        };
        let start = Instant::now();
        let mut planner = Planner::new(settings, start);
        let mut cluster_demand = ClusterDemand::default();
        cluster_demand.update("node".into(), demand(models), Duration::from_secs(3), start);
        for _ in 0..STEPS {
            planner.plan(
                &configuration,
                &sizes,
                &mut views.clone(),
                &mut cluster_demand,
                start,
            );
        }
        let step_time = start.elapsed() / STEPS;
        let waiting = models.div_ceil(WAITING_EVERY);
        println!(
            "{runners} runners, {models} models, {waiting} with waiting requests: {:.2} ms",
            step_time.as_secs_f64() * 1000.0
        );
    }
}
