//! Tests of the planner's orders for broken streams, which go on only at runners of the software
//! version that began them.

mod common;

use barleyspar_catalog::{ModelReference, OrderAction, SoftwareVersion};
use barleyspar_dispatch::StreamDemandItem;
use barleyspar_loading::RunnerView;
use common::{Case, SERVICE, TARGET_ONE, VALID_FOR, configuration, demand_item, load, runner};

/// Three waiting streams for a model or adapter that were begun by version `v1`.
fn case(policy: &str, adapter: Option<&str>) -> Case {
    let mut case = Case::new(policy, vec![demand_item("a", adapter, 3)]);
    let item = StreamDemandItem {
        service: SERVICE.into(),
        wanted: ModelReference {
            model: "a".into(),
            adapter: adapter.map(Into::into),
        },
        software: SoftwareVersion::new("v1"),
        waiting: 3,
    };
    case.cluster_demand
        .update_streams("node".into(), vec![item], VALID_FOR, case.now);
    case
}

fn runner_of(version: &str, id: &str, models: &[&str]) -> RunnerView {
    RunnerView {
        software: SoftwareVersion::new(version),
        ..runner(id, models)
    }
}

#[test]
fn a_model_held_at_another_version_is_loaded_where_streams_can_go_on() {
    let mut runners = [
        runner_of("v2", "new-1", &["a"]),
        runner_of("v2", "new-2", &[]),
        runner_of("v1", "old", &[]),
    ];
    let mut case = case(TARGET_ONE, None);
    let configuration = configuration(&["a"]);
    let orders = case.plan(&configuration, &mut runners);
    assert_eq!(orders, [("old".to_owned(), load("a"))]);
    assert_eq!(case.plan(&configuration, &mut runners), []);
}

#[test]
fn a_model_without_a_replica_is_loaded_once_where_streams_can_go_on() {
    let mut runners = [
        runner_of("v2", "new", &[]),
        runner_of("v1", "old", &[]),
        runner_of("v2", "other", &[]),
    ];
    let orders = case(TARGET_ONE, None).plan(&configuration(&["a"]), &mut runners);
    assert_eq!(orders, [("old".to_owned(), load("a"))]);
}

#[test]
fn streams_get_no_replica_beyond_the_policy() {
    const ONE: &str = "fn decide(context) { #{ replicas: 1, target: 1 } }";
    let mut runners = [runner_of("v2", "new", &["a"]), runner_of("v1", "old", &[])];
    let orders = case(ONE, None).plan(&configuration(&["a"]), &mut runners);
    assert_eq!(orders, []);
}

#[test]
fn an_adapter_held_at_another_version_is_loaded_where_streams_can_go_on() {
    let mut new = runner_of("v2", "new", &["a"]);
    new.models[0].adapters = vec!["x".into()];
    let mut runners = [new, runner_of("v1", "old", &["a"])];
    let orders = case(TARGET_ONE, Some("x")).plan(&configuration(&["a"]), &mut runners);
    let load_adapter = OrderAction::LoadAdapter {
        model: "a".into(),
        adapter: "x".into(),
    };
    assert_eq!(orders, [("old".to_owned(), load_adapter)]);
}
