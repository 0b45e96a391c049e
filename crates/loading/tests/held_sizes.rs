//! Tests of the planner's orders, and of the sizes on record, after models have changed their
//! size or are no longer listed.

mod common;

use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{Configuration, OrderAction};
use barleyspar_loading::{HeldCopies, ModelSizes, PossibleLoad, RunnerView};
use common::{
    Case, SERVICE, TARGET_ONE, configuration, demand_item, load, recorded, runner, unload,
};

/// A configuration that lists these models with weights of `weights_mb`, of the 100 MB of a
/// runner.
fn listing(models: &[&str], weights_mb: f64) -> Configuration {
    let mut configuration = configuration(models);
    let service = configuration.services.get_mut(SERVICE);
    let service = Arc::make_mut(service.expect("the service exists"));
    let engine = service.engine.as_mut().expect("the service has an engine");
    for spec in engine.models.values_mut() {
        spec.weights_mb = weights_mb;
    }
    configuration
}

/// Orders of a step in which one request waits for `model` at these runners.
fn orders_for(
    model: &str,
    listed: &Configuration,
    sizes: &ModelSizes,
    runners: &mut [RunnerView],
) -> Vec<(String, OrderAction)> {
    let mut case = Case::new(TARGET_ONE, vec![demand_item(model, None, 1)]);
    case.plan_with_record(listed, sizes, runners)
}

#[test]
fn a_retired_model_makes_room_even_if_callers_wait_for_it() {
    let (before, now) = (configuration(&["a", "b", "c"]), configuration(&["a", "c"]));
    let waiting = ["a", "b", "c"].map(|model| demand_item(model, None, 3));
    let mut case = Case::new(TARGET_ONE, waiting.to_vec());
    let mut runners = [runner("1", &["a", "b"])];
    let orders = case.plan_with_record(&now, &recorded(&[&before]), &mut runners);
    assert_eq!(orders, [("1".to_owned(), unload("b"))]);
}

#[test]
fn a_model_of_unknown_size_is_unloaded_and_nothing_is_loaded_beside_it() {
    let now = configuration(&["a", "c"]);
    let mut runners = [runner("1", &["b"])];
    let orders = orders_for("c", &now, &recorded(&[&now]), &mut runners);
    assert_eq!(orders, [("1".to_owned(), unload("b"))]);
}

#[test]
fn a_copy_that_was_loaded_larger_than_listed_now_keeps_its_memory() {
    let (before, now) = (
        listing(&["a", "b", "c"], 45.0),
        listing(&["a", "b", "c"], 32.0),
    );
    let mut runners = [runner("1", &["a", "b"])];
    let orders = orders_for("c", &now, &recorded(&[&before]), &mut runners);
    assert!(
        matches!(&orders[..], [(_, OrderAction::UnloadModel { .. })]),
        "{orders:?}"
    );
}

#[test]
fn copies_that_this_leader_loaded_smaller_leave_room_for_another() {
    let (before, now) = (
        listing(&["a", "b", "c"], 45.0),
        listing(&["a", "b", "c"], 32.0),
    );
    let mut runners = [runner("1", &["a", "b"])];
    runners[0].ordered_weights_mb = ["a", "b"].map(|model| (model.into(), 32.0)).into();
    let orders = orders_for("c", &now, &recorded(&[&before]), &mut runners);
    assert_eq!(orders, [("1".to_owned(), load("c"))]);
}

#[test]
fn a_model_is_not_loaded_before_its_size_is_on_record() {
    let (before, now) = (listing(&["a"], 20.0), listing(&["a", "b"], 30.0));
    for model in ["a", "b"] {
        let mut runners = [runner("1", &[])];
        let sizes = recorded(&[&before]);
        assert_eq!(orders_for(model, &now, &sizes, &mut runners), [], "{model}");
        let sizes = recorded(&[&before, &now]);
        let orders = orders_for(model, &now, &sizes, &mut runners);
        assert_eq!(orders, [("1".to_owned(), load(model))]);
    }
}

#[test]
fn no_adapter_is_unloaded_where_that_makes_no_room() {
    let listed = listing(&["a", "b"], 49.8);
    let orders = orders_for_adapter(&listed, &recorded(&[&listed]));
    assert_eq!(orders, []);
}

#[test]
fn a_retired_model_makes_room_for_an_adapter() {
    let (before, now) = (listing(&["a", "b"], 49.8), listing(&["a"], 49.8));
    let orders = orders_for_adapter(&now, &recorded(&[&before]));
    assert_eq!(orders, [("1".to_owned(), unload("b"))]);
}

/// Orders of a step in which requests wait for a second adapter of "a", at a runner that holds
/// "a", an adapter of it and "b".
fn orders_for_adapter(listed: &Configuration, sizes: &ModelSizes) -> Vec<(String, OrderAction)> {
    let waiting = vec![demand_item("a", Some("a2"), 9)];
    let mut runners = [runner("1", &["a", "b"])];
    runners[0].models[0].adapters = vec!["a1".into()];
    let mut case = Case::new(TARGET_ONE, waiting);
    case.plan_with_record(listed, sizes, &mut runners)
}

/// The sizes that stay on record of those in `before` while these runners hold what they do.
fn settled(before: &Configuration, now: &Configuration, runners: &[RunnerView]) -> ModelSizes {
    let engine = now.services[SERVICE].engine.as_ref();
    let engine = engine.expect("the service has an engine");
    let mut held = HeldCopies::default();
    for runner in runners {
        held.add_runner(runner, engine);
    }
    let mut sizes = recorded(&[before, now]);
    sizes.settle(now, &held);
    sizes
}

fn weights_mb(sizes: &ModelSizes, model: &str) -> Option<f64> {
    Some(sizes.get(SERVICE, model)?.weights_mb)
}

#[test]
fn a_size_on_record_falls_once_no_copy_of_it_can_be_held() {
    let (before, now) = (listing(&["a"], 45.0), listing(&["a"], 32.0));
    let mut loaded_now = runner("1", &["a"]);
    loaded_now.ordered_weights_mb = [("a".into(), 32.0)].into();
    for runners in [vec![], vec![runner("1", &["b"])], vec![loaded_now]] {
        let sizes = settled(&before, &now, &runners);
        assert_eq!(weights_mb(&sizes, "a"), Some(32.0), "{runners:?}");
    }
}

#[test]
fn a_size_on_record_stays_while_a_runner_may_hold_a_copy_of_it() {
    let (before, now) = (listing(&["a"], 45.0), listing(&["a"], 32.0));
    let until = std::time::Instant::now() + Duration::from_secs(1);
    for change in [
        (|runner: &mut RunnerView, _| runner.models = common::runner("1", &["a"]).models)
            as fn(&mut RunnerView, std::time::Instant),
        |runner, _| runner.report_known = false,
        |runner, _| runner.busy = true,
        |runner, _| runner.order_in_progress = Some(load("a")),
        |runner, until| {
            runner.possible_load = Some(PossibleLoad {
                model: "a".into(),
                sequence: 0,
                until,
            });
        },
    ] {
        let mut runners = [runner("1", &[])];
        change(&mut runners[0], until);
        let sizes = settled(&before, &now, &runners);
        assert_eq!(weights_mb(&sizes, "a"), Some(45.0), "{runners:?}");
    }
}

#[test]
fn the_size_of_a_retired_model_is_on_record_for_as_long_as_it_is_held() {
    let (before, now) = (listing(&["a", "b"], 45.0), listing(&["b"], 45.0));
    let held = settled(&before, &now, &[runner("1", &["a"])]);
    assert_eq!(weights_mb(&held, "a"), Some(45.0));
    let gone = settled(&before, &now, &[runner("1", &["b"])]);
    assert_eq!(gone, recorded(&[&now]));
}
