#![allow(dead_code)] // Each test file uses a part.
//! A service with an engine, its runners and a planner, for tests of the planner's orders.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::{
    ClientLimits, Configuration, EngineSpec, LoadedModel, ModelSpec, OrderAction, Service,
    SoftwareVersion, WeightCopies,
};
use barleyspar_dispatch::DemandItem;
use barleyspar_loading::{
    ClusterDemand, KnownSizes, LoadRateLimits, ModelSizes, Planner, PlannerSettings, RunnerView,
};
use barleyspar_policy::Program;

pub const SERVICE: &str = "engine";
pub const VALID_FOR: Duration = Duration::from_secs(3);

/// One service whose runners take two of these models, with 64 slots and two loads a
/// second from the store.
pub fn configuration(models: &[&str]) -> Configuration {
    let spec = ModelSpec {
        weights_mb: 45.0,
        remote_load: Duration::from_secs(4),
        disk_load: Duration::from_secs(2),
        memory_load: Duration::from_secs(1),
        adapter_mb: 1.0,
    };
    let engine = EngineSpec {
        slots: 64.into(),
        cache_tokens: 100_000,
        memory_mb: 100.0,
        adapter_capacity: 2,
        loads_per_second: 2.0,
        models: models
            .iter()
            .map(|name| (Arc::from(*name), spec.clone()))
            .collect(),
    };
    let service = Service {
        name: SERVICE.into(),
        connection_limit: 100,
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

/// A runner that accepts orders and holds these models.
pub fn runner(id: &str, models: &[&str]) -> RunnerView {
    RunnerView {
        id: id.into(),
        service: SERVICE.into(),
        software: SoftwareVersion::default(),
        zone: "zone".into(),
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
        models: models
            .iter()
            .map(|name| LoadedModel {
                model: (*name).into(),
                version: 1,
                adapters: Vec::new(),
            })
            .collect(),
        pending_adapters: Vec::new(),
        copies: WeightCopies::default(),
        ordered_weights_mb: BTreeMap::new(),
        earlier_capacity: None,
        order_in_progress: None,
        busy_until: None,
        possible_load: None,
        tokens_per_second: None,
    }
}

/// Requests that wait for a model or adapter, without a rate.
pub fn demand_item(model: &str, adapter: Option<&str>, waiting: u32) -> DemandItem {
    DemandItem {
        service: SERVICE.into(),
        model: model.into(),
        adapter: adapter.map(Into::into),
        waiting,
        priority: 1,
        in_flight: 0,
        rate: 0.0,
    }
}

/// Ends the load ordered at `runner`.
pub fn finish_load(runner: &mut RunnerView) {
    if let Some(OrderAction::LoadModel { model }) = runner.order_in_progress.take() {
        runner.models.push(LoadedModel {
            model,
            version: 1,
            adapters: Vec::new(),
        });
        runner.sequence += 1;
    }
}

/// A planner and the demand that it plans for, reported by one node at `now`.
pub struct Case {
    pub planner: Planner,
    pub cluster_demand: ClusterDemand,
    pub now: Instant,
}

impl Case {
    /// Creates a planner whose load rate is unused.
    pub fn new(policy: &str, demand_items: Vec<DemandItem>) -> Self {
        Self::without("", policy, demand_items)
    }

    /// Creates a planner with a mechanism switched off; none if its name is empty.
    pub fn without(mechanism: &str, policy: &str, demand_items: Vec<DemandItem>) -> Self {
        let started = Instant::now();
        let policy = Program::compile(policy).expect("the policy compiles");
        let mut cluster_demand = ClusterDemand::default();
        let now = started + Duration::from_secs(10);
        cluster_demand.update("node".into(), demand_items, VALID_FOR, now);
        Self {
            planner: Planner::new(
                PlannerSettings {
                    policy,
                    load_rate_limits: LoadRateLimits {
                        window: Duration::from_secs(5),
                        overage: 1.1,
                    },
                    switches: mechanism.parse().expect("the mechanism exists"),
                },
                started,
            ),
            cluster_demand,
            now,
        }
    }

    /// Plans one step, with the sizes of the configuration on record, and returns the ordered
    /// runners and actions.
    pub fn plan(
        &mut self,
        configuration: &Configuration,
        runners: &mut [RunnerView],
    ) -> Vec<(String, OrderAction)> {
        self.plan_with_record(configuration, &recorded(&[configuration]), runners)
    }

    /// Plans one step with these sizes on record and returns the ordered runners and actions.
    pub fn plan_with_record(
        &mut self,
        configuration: &Configuration,
        recorded: &ModelSizes,
        runners: &mut [RunnerView],
    ) -> Vec<(String, OrderAction)> {
        let sizes = KnownSizes::new(recorded.clone(), configuration);
        let (demand, now) = (&mut self.cluster_demand, self.now);
        self.planner
            .plan(configuration, &sizes, runners, demand, now)
            .into_iter()
            .map(|order| (order.runner.to_string(), order.action))
            .collect()
    }
}

/// The record of sizes that leaders leave which had these configurations.
pub fn recorded(configurations: &[&Configuration]) -> ModelSizes {
    let mut sizes = ModelSizes::default();
    for configuration in configurations {
        sizes.raise_to_listed(configuration);
    }
    sizes
}

/// A policy of one replica, and one more while it cannot be reached.
pub const TARGET_ONE: &str = "fn decide(context) { #{ replicas: 2, target: 1 } }";

pub fn load(model: &str) -> OrderAction {
    OrderAction::LoadModel {
        model: model.into(),
    }
}

pub fn unload(model: &str) -> OrderAction {
    OrderAction::UnloadModel {
        model: model.into(),
    }
}
