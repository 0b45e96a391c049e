//! Tests of the planner's orders (memory, replicas, load rate, adapters, eviction) and of
//! the lease.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::OrderAction;
use barleyspar_dispatch::DemandItem;
use barleyspar_domain::Switches;
use barleyspar_loading::{
    KnownSizes, Lease, LeaseSettings, LoadRateLimiter, LoadRateLimits, RunnerView, free_mb,
};
use common::{
    Case, SERVICE, TARGET_ONE, VALID_FOR, configuration, demand_item, finish_load, load, recorded,
    runner, unload,
};

#[test]
fn a_wanted_model_goes_where_there_is_room() {
    let mut case = Case::new(TARGET_ONE, vec![demand_item("c", None, 1)]);
    let mut runners = [runner("1", &["a", "b"]), runner("2", &["a"])];
    let orders = case.plan(&configuration(&["a", "b", "c"]), &mut runners);
    assert_eq!(orders, [("2".to_owned(), load("c"))]);
}

#[test]
fn a_wanted_model_goes_where_a_local_weight_copy_is() {
    let mut case = Case::new(TARGET_ONE, vec![demand_item("c", None, 1)]);
    let mut runners = [runner("1", &[]), runner("2", &[])];
    runners[1].copies.disk = vec!["c".into()];
    let orders = case.plan(&configuration(&["c"]), &mut runners);
    assert_eq!(orders, [("2".to_owned(), load("c"))]);
}

#[test]
fn room_is_made_before_a_load_is_ordered() {
    let mut case = Case::new(TARGET_ONE, vec![demand_item("c", None, 1)]);
    let mut runners = [runner("1", &["a", "b"])];
    let orders = case.plan(&configuration(&["a", "b", "c"]), &mut runners);
    assert!(
        matches!(&orders[..], [(_, OrderAction::UnloadModel { .. })]),
        "{orders:?}"
    );
}

#[test]
fn the_last_replica_of_a_model_with_demand_is_not_evicted() {
    let demand_items = vec![
        demand_item("a", None, 1),
        demand_item("b", None, 1),
        demand_item("c", None, 1),
    ];
    let mut case = Case::new(TARGET_ONE, demand_items);
    let mut runners = [runner("1", &["a", "b"])];
    assert_eq!(
        case.plan(&configuration(&["a", "b", "c"]), &mut runners),
        []
    );
}

#[test]
fn nothing_is_ordered_at_a_busy_or_unknown_runner() {
    for change in [
        (|runner: &mut RunnerView| runner.busy = true) as fn(&mut RunnerView),
        |runner| runner.report_known = false,
        |runner| runner.available = false,
        |runner| runner.order_in_progress = Some(unload("a")),
    ] {
        let mut case = Case::new(TARGET_ONE, vec![demand_item("c", None, 1)]);
        let mut runners = [runner("1", &[])];
        change(&mut runners[0]);
        assert_eq!(case.plan(&configuration(&["a", "c"]), &mut runners), []);
    }
}

#[test]
fn a_load_under_way_counts_as_a_replica_and_takes_memory() {
    let mut case = Case::new(TARGET_ONE, vec![demand_item("c", None, 5)]);
    let mut runners = [runner("1", &["a"]), runner("2", &[])];
    runners[0].order_in_progress = Some(load("c"));
    runners[0].busy = true;
    let configuration = configuration(&["a", "c"]);
    assert_eq!(case.plan(&configuration, &mut runners), []);
    let engine = configuration.services[SERVICE]
        .engine
        .as_ref()
        .expect("the service has an engine");
    let sizes = KnownSizes::new(recorded(&[&configuration]), &configuration);
    assert!(free_mb(&runners[0], engine, &sizes) < 10.0);
}

#[test]
fn an_unreachable_replica_is_replaced_within_the_policys_maximum() {
    let orders_after_loss = |policy: &str| {
        let mut case = Case::new(policy, vec![demand_item("a", None, 1)]);
        let mut runners = [runner("1", &["a"]), runner("2", &[])];
        runners[0].reachable = false;
        runners[0].report_known = false;
        case.plan(&configuration(&["a"]), &mut runners)
    };
    assert_eq!(orders_after_loss(TARGET_ONE), [("2".to_owned(), load("a"))]);
    assert_eq!(
        orders_after_loss("fn decide(context) { #{ replicas: 1 } }"),
        []
    );
}

#[test]
fn loads_from_the_store_are_rate_limited() {
    let names: Vec<String> = (0..20).map(|number| format!("m{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let demand_items = names
        .iter()
        .map(|name| demand_item(name, None, 1))
        .collect();
    let mut case = Case::new(TARGET_ONE, demand_items);
    let configuration = configuration(&names);
    let mut runners: Vec<RunnerView> = (0..20)
        .map(|number| runner(&number.to_string(), &[]))
        .collect();
    let mut loads = 0;
    // Ten steps of half a second: five seconds at two loads per second.
    for _ in 0..10 {
        loads += case.plan(&configuration, &mut runners).len();
        // Loads end at once, so that only the rate limit delays further ones.
        runners.iter_mut().for_each(finish_load);
        case.now += Duration::from_millis(500);
        let demand_items = names
            .iter()
            .map(|name| demand_item(name, None, 1))
            .collect();
        case.cluster_demand
            .update("node".into(), demand_items, VALID_FOR, case.now);
    }
    assert!((8..=13).contains(&loads), "{loads} loads in five seconds");
}

#[test]
fn a_full_runner_drops_the_adapter_used_the_longest_ago() {
    let mut case = Case::new(TARGET_ONE, vec![demand_item("a", Some("new"), 1)]);
    let earlier = case.now - Duration::from_secs(1);
    let mut used = demand_item("a", Some("recent"), 0);
    used.in_flight = 1;
    case.cluster_demand
        .update("other".into(), vec![used], VALID_FOR, earlier);
    case.cluster_demand
        .update("other".into(), Vec::new(), VALID_FOR, case.now);
    let mut runners = [runner("1", &["a"])];
    runners[0].models[0].adapters = vec!["recent".into(), "old".into()];
    let orders = case.plan(&configuration(&["a"]), &mut runners);
    let expected = OrderAction::UnloadAdapter {
        model: "a".into(),
        adapter: "old".into(),
    };
    assert_eq!(orders, [("1".to_owned(), expected)]);
}

#[test]
fn a_lease_allows_orders_only_while_valid_and_after_its_quiet_period() {
    let start = Instant::now();
    let second = Duration::from_secs(1);
    let settings = LeaseSettings {
        margin: second / 5,
        quiet_period: 3 * second,
    };
    let mut lease = Lease::new(1, 7, start, 4 * second, start, settings);
    assert!(!lease.may_order(start + 2 * second));
    assert!(lease.may_order(start + 3 * second));
    assert!(!lease.may_order(start + 4 * second - second / 10));
    lease.extend(start + 3 * second, 4 * second);
    assert!(lease.may_order(start + 6 * second));
    assert!(!lease.is_valid(start + 7 * second));
}

/// Guards against adapters that wait for seconds: a model load had been ordered at the
/// only runner that could load them.
#[test]
fn a_load_leaves_a_runner_that_takes_adapters() {
    let mut with_active_adapters = demand_item("a", Some("x"), 0);
    with_active_adapters.in_flight = 1;
    let mut case = Case::new(
        TARGET_ONE,
        vec![with_active_adapters, demand_item("c", None, 1)],
    );
    let mut runners = [runner("1", &["a"]), runner("2", &["b"])];
    // A copy in memory makes the runner that must stay free the faster one.
    runners[0].copies.memory = vec!["c".into()];
    runners[0].models[0].adapters = vec!["x".into()];
    let orders = case.plan(&configuration(&["a", "b", "c"]), &mut runners);
    assert_eq!(orders, [("2".to_owned(), load("c"))]);
}

/// Guards against a full model that gets no further replica (22 s in a simulated large
/// site) as long as any rare model has none.
#[test]
fn a_full_model_gets_a_further_replica_though_others_have_none() {
    let names: Vec<String> = (0..20).map(|number| format!("m{number}")).collect();
    let mut models: Vec<&str> = names.iter().map(String::as_str).collect();
    models.push("busy");
    let mut demand_items: Vec<DemandItem> = names
        .iter()
        .map(|name| demand_item(name, None, 1))
        .collect();
    demand_items.push(demand_item("busy", None, 50));
    let policy = "fn decide(context) { #{ replicas: 5, target: 4 } }";
    let mut case = Case::new(policy, demand_items);
    let mut runners: Vec<RunnerView> = (0..20)
        .map(|number| runner(&number.to_string(), &[]))
        .collect();
    runners[0] = runner("0", &["busy"]);
    let orders = case.plan(&configuration(&models), &mut runners);
    assert!(orders.len() < 5, "the weight store's rate allows few loads");
    assert!(orders.iter().any(|(_, action)| *action == load("busy")));
}

#[test]
fn a_burst_at_most_doubles_the_replicas_plus_two() {
    let policy = "fn decide(context) { #{ replicas: 20, target: 20 } }";
    let mut case = Case::new(policy, vec![demand_item("a", None, 500)]);
    let mut runners: Vec<RunnerView> = (0..20)
        .map(|number| {
            let mut runner = runner(&number.to_string(), &[]);
            // The rate limit does not apply to loads from a copy.
            runner.copies.disk = vec!["a".into()];
            runner
        })
        .collect();
    let mut orders = 0;
    for _ in 0..10 {
        orders += case.plan(&configuration(&["a"]), &mut runners).len();
    }
    assert_eq!(orders, 2, "no replica is loaded yet");
}

#[test]
fn room_is_made_only_for_loads_that_may_begin() {
    let demand_items = (0..10).map(|number| demand_item(&format!("m{number}"), None, 1));
    let mut case = Case::new(TARGET_ONE, demand_items.collect());
    let names: Vec<String> = (0..10).map(|number| format!("m{number}")).collect();
    let mut models: Vec<&str> = names.iter().map(String::as_str).collect();
    models.extend(["x", "y"]);
    let mut runners: Vec<RunnerView> = (0..20)
        .map(|number| runner(&number.to_string(), &["x", "y"]))
        .collect();
    let orders = case.plan(&configuration(&models), &mut runners);
    assert!((1..5).contains(&orders.len()), "{orders:?}");
}

#[test]
fn orders_of_one_sequence_number_count_as_one_load() {
    let mut case = Case::new(TARGET_ONE, vec![demand_item("a", None, 1)]);
    let configuration = configuration(&["a"]);
    let mut runners = [runner("1", &[])];
    for _ in 0..20 {
        // The answer to the order was lost, and the report shows that it was not carried
        // out.
        runners[0].order_in_progress = None;
        assert_eq!(case.plan(&configuration, &mut runners).len(), 1);
    }
}

/// No window may contain more loads than the site allows.
#[test]
fn the_load_rate_keeps_to_the_sites_window_and_overage() {
    for (rate, seconds, overage) in [(2.2, 5, 1.1), (42.0, 5, 1.1), (10.0, 2, 1.0)] {
        let limits = LoadRateLimits {
            window: Duration::from_secs(seconds),
            overage,
        };
        let allowed = rate * seconds as f64 * overage + 3.0;
        let start = Instant::now();
        let mut limiter = LoadRateLimiter::new(limits, start);
        let mut started: Vec<Duration> = Vec::new();
        for step in 0..600 {
            let at = Duration::from_millis(step * 100);
            // Pauses now and then, so that the bucket is full afterwards.
            while step % 100 > 60 && limiter.refill(start + at, rate) >= 1.0 {
                limiter.consume();
                started.push(at);
            }
        }
        for first in &started {
            let end = *first + limits.window;
            let inside = started.iter().filter(|at| *at >= first && **at < end);
            assert!(inside.count() as f64 <= allowed, "{rate} a second");
        }
    }
}

/// Guards against adapters of a freshly loaded model that wait for 6 s, because its
/// runner was ordered to load another model at once.
#[test]
fn an_adapter_is_ordered_before_a_model_at_the_same_runner() {
    let demand_items = vec![demand_item("a", Some("x"), 1), demand_item("b", None, 9)];
    let mut case = Case::new(TARGET_ONE, demand_items);
    let mut runners = [runner("1", &["a"])];
    let orders = case.plan(&configuration(&["a", "b"]), &mut runners);
    let adapter = OrderAction::LoadAdapter {
        model: "a".into(),
        adapter: "x".into(),
    };
    assert_eq!(orders, [("1".to_owned(), adapter)]);
}

#[test]
fn an_unknown_switch_is_named() {
    let error = "ranks,speed"
        .parse::<Switches>()
        .expect_err("there is no mechanism of this name");
    assert!(error.to_string().contains("\"speed\""), "{error}");
    assert!(error.to_string().contains("near-copies"), "{error}");
    assert_eq!("".parse(), Ok(Switches::default()));
}

/// Guards against 6 s loads from the weight store that start while the runner with a
/// local weight copy is busy for a moment.
#[test]
fn a_model_waits_for_a_busy_runner_with_a_local_weight_copy() {
    let mut case = Case::new(TARGET_ONE, vec![demand_item("c", None, 1)]);
    let mut runners = [runner("1", &[]), runner("2", &[])];
    runners[1].copies.memory = vec!["c".into()];
    runners[1].busy = true;
    runners[1].busy_until = Some(case.now + Duration::from_millis(500));
    let configuration = configuration(&["c"]);
    assert_eq!(case.plan(&configuration, &mut runners), []);
    runners[1].busy = false;
    let orders = case.plan(&configuration, &mut runners);
    assert_eq!(orders, [("2".to_owned(), load("c"))]);
}

/// Guards against memory that stays unused for 2 s after an unload, because in the next
/// step another model seems more urgent at another runner.
#[test]
fn room_that_was_made_is_used_at_once() {
    let mut case = Case::new(TARGET_ONE, vec![demand_item("c", None, 1)]);
    let mut runners = [runner("1", &["a", "b"]), runner("2", &["a", "b"])];
    let configuration = configuration(&["a", "b", "c", "d"]);
    let orders = case.plan(&configuration, &mut runners);
    let [(freed, OrderAction::UnloadModel { model: evicted })] = &orders[..] else {
        panic!("{orders:?}");
    };
    let index = runners
        .iter()
        .position(|runner| *runner.id == **freed)
        .expect("the order names one of the runners");
    runners[index].models.retain(|held| held.model != *evicted);
    runners[index].order_in_progress = None;
    // Meanwhile many more requests wait for another model.
    let demand_items = vec![demand_item("c", None, 1), demand_item("d", None, 50)];
    case.cluster_demand
        .update("node".into(), demand_items, VALID_FOR, case.now);
    let orders = case.plan(&configuration, &mut runners);
    assert!(orders.contains(&(freed.clone(), load("d"))), "{orders:?}");
    assert_eq!(
        orders.len(),
        2,
        "the other model gets its memory on the other runner"
    );
}

#[test]
fn a_load_goes_where_it_disturbs_few_streams() {
    let mut streaming = demand_item("a", None, 0);
    streaming.in_flight = 30;
    streaming.rate = 10.0;
    let mut case = Case::new(TARGET_ONE, vec![streaming, demand_item("c", None, 1)]);
    let mut runners = [runner("1", &["a"]), runner("2", &["b"])];
    let orders = case.plan(&configuration(&["a", "b", "c"]), &mut runners);
    assert_eq!(orders, [("2".to_owned(), load("c"))]);
}

#[test]
fn a_policy_says_in_which_zones_a_model_may_be() {
    let policy = r#"fn decide(context) { #{ replicas: 1, zones: ["north"] } }"#;
    let mut case = Case::new(policy, vec![demand_item("c", None, 1)]);
    let mut runners = [runner("1", &[]), runner("2", &["a"])];
    runners[1].zone = "north".into();
    // The runner in the other zone would be faster.
    runners[0].copies.memory = vec!["c".into()];
    let orders = case.plan(&configuration(&["a", "c"]), &mut runners);
    assert_eq!(orders, [("2".to_owned(), load("c"))]);
}

#[test]
fn a_policy_sees_the_priority_and_unserved_requests() {
    let policy = "fn decide(context) {
        #{ replicas: if context.priority == 1 && context.starved > 1.5 { 1 } else { 0 } }
    }";
    let item_with_rate = || DemandItem {
        rate: 1.0,
        ..demand_item("c", None, 1)
    };
    let mut case = Case::new(policy, vec![item_with_rate()]);
    let mut runners = [runner("1", &[])];
    let configuration = configuration(&["c"]);
    // The time since the planner's start, ten seconds ago, must not count as unserved
    // demand.
    case.planner.reset(case.now);
    assert_eq!(case.plan(&configuration, &mut runners), []);
    case.now += Duration::from_secs(2);
    case.cluster_demand
        .update("node".into(), vec![item_with_rate()], VALID_FOR, case.now);
    let orders = case.plan(&configuration, &mut runners);
    assert_eq!(orders, [("1".to_owned(), load("c"))]);
}

#[test]
fn a_model_does_not_wait_forever_for_a_runner_that_stays_busy() {
    // Guards against waiting forever for a busy runner with a copy: the busiest model got
    // no further replica for twelve seconds, because that runner was always expected to
    // be free soon.
    let mut case = Case::new(TARGET_ONE, vec![demand_item("a", None, 3)]);
    let mut busy = runner("1", &[]);
    busy.copies.disk = vec!["a".into()];
    busy.busy = true;
    busy.busy_until = Some(case.now + Duration::from_millis(300));
    let mut runners = [busy, runner("2", &[])];
    let configuration = configuration(&["a"]);
    let orders = case.plan(&configuration, &mut runners);
    assert_eq!(
        orders,
        [],
        "the runner with the copy is expected to be free sooner"
    );
    case.now += Duration::from_secs(4);
    case.cluster_demand.update(
        "node".into(),
        vec![demand_item("a", None, 3)],
        VALID_FOR,
        case.now,
    );
    let orders = case.plan(&configuration, &mut runners);
    assert_eq!(orders, [("2".to_owned(), load("a"))]);
}

/// The policy in the deployment folder.
const DEPLOYED: &str = include_str!("../../../deploy/policy.rhai");

#[test]
fn a_full_model_gets_a_further_replica_also_from_the_store() {
    let crowded = DemandItem {
        in_flight: 36,
        rate: 28.0,
        ..demand_item("hot", None, 20)
    };
    let mut demand_items = vec![crowded];
    let other = |number: usize| format!("other-{number}");
    for number in 0..17 {
        let idle = number > 9;
        demand_items.push(DemandItem {
            in_flight: if idle { 0 } else { 3 },
            rate: if idle { 0.02 } else { 3.0 },
            ..demand_item(&other(number), None, 0)
        });
    }
    let names: Vec<String> = (0..17).map(other).chain(["hot".to_owned()]).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut configuration = configuration(&names);
    let service = configuration
        .services
        .get_mut(SERVICE)
        .expect("the service is configured");
    let engine = Arc::make_mut(service)
        .engine
        .as_mut()
        .expect("the service has an engine");
    engine.slots = 12.into();
    let mut runners: Vec<RunnerView> = (0..10)
        .map(|number| {
            let second = other(number);
            let first = if number < 3 {
                "hot".to_owned()
            } else {
                other(number + 7)
            };
            runner(&number.to_string(), &[&first, &second])
        })
        .collect();
    let mut case = Case::new(DEPLOYED, demand_items);
    let orders = case.plan(&configuration, &mut runners);
    let for_room = |(_, action): &(String, OrderAction)| !action.is_load();
    assert!(
        orders.len() >= 3 && orders.iter().all(for_room),
        "{orders:?}"
    );
    let summary = &case.planner.summaries()[0];
    let most = summary
        .most_wanted
        .as_ref()
        .expect("a model has waiting requests");
    assert_eq!((&*most.model, most.replicas), ("hot", 3));
    assert_eq!(most.needed, 10, "one on each runner: {most:?}");
}

/// A leader of thousands of runners does not read all their reports at once: the
/// discovery entries suffice to choose a placement, and only that runner's report is read
/// before its first order.
#[test]
fn a_runner_whose_report_was_never_read_is_read_and_then_ordered() {
    let mut case = Case::new(TARGET_ONE, vec![demand_item("c", None, 1)]);
    let mut runners = [runner("1", &["a", "b"]), runner("2", &["a"])];
    for runner in &mut runners {
        runner.report_unread = true;
        runner.report_known = false;
    }
    let configuration = configuration(&["a", "b", "c"]);
    assert_eq!(case.plan(&configuration, &mut runners), []);
    assert_eq!(case.planner.reports_needed(), ["2".into()]);
    runners[1].report_unread = false;
    runners[1].report_known = true;
    let orders = case.plan(&configuration, &mut runners);
    assert_eq!(orders, [("2".to_owned(), load("c"))]);
    assert!(case.planner.reports_needed().is_empty());
}

#[test]
fn an_adapter_is_loaded_at_a_runner_once_its_report_is_read() {
    let mut case = Case::new(TARGET_ONE, vec![demand_item("a", Some("a1"), 1)]);
    let mut runners = [runner("1", &["a"])];
    runners[0].report_unread = true;
    runners[0].report_known = false;
    let configuration = configuration(&["a"]);
    assert_eq!(case.plan(&configuration, &mut runners), []);
    assert_eq!(case.planner.reports_needed(), ["1".into()]);
    runners[0].report_unread = false;
    runners[0].report_known = true;
    let orders = case.plan(&configuration, &mut runners);
    assert_eq!(orders.len(), 1);
    assert!(orders[0].1.adapter().is_some());
}

/// An evacuated runner gets no orders. Its replicas count against the policy's maximum
/// but not as reachable, so the model is loaded elsewhere.
#[test]
fn an_evacuated_runner_is_not_ordered_and_its_replica_is_loaded_elsewhere() {
    let mut case = Case::new(TARGET_ONE, vec![demand_item("a", None, 1)]);
    let mut runners = [runner("1", &["a"]), runner("2", &[]), runner("3", &[])];
    runners[0].evacuated = true;
    runners[1].evacuated = true;
    let configuration = configuration(&["a"]);
    let orders = case.plan(&configuration, &mut runners);
    assert_eq!(orders, [("3".to_owned(), load("a"))]);
    finish_load(&mut runners[2]);
    assert_eq!(case.plan(&configuration, &mut runners), []);
}
