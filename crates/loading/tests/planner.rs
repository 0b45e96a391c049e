//! The planner's orders: memory, replicas, pace, adapters, eviction; the lease.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::{
    ClientLimits, Configuration, EngineSpec, HeldModel, ModelSpec, OrderAction, Service,
    WeightCopies,
};
use barleyspar_dispatch::DemandItem;
use barleyspar_loading::{
    DemandBook, Lease, LeaseSettings, LoadPace, PaceLimits, Planner, PlannerSettings, RunnerView,
    Switches, free_mb,
};
use barleyspar_policy::Program;

const SERVICE: &str = "engine";
const BELIEVED_FOR: Duration = Duration::from_secs(3);

fn configuration(models: &[&str]) -> Configuration {
    let spec = ModelSpec {
        weights_mb: 45.0,
        remote_load: Duration::from_secs(4),
        disk_load: Duration::from_secs(2),
        memory_load: Duration::from_secs(1),
        adapter_mb: 1.0,
    };
    let engine = EngineSpec {
        slots: 64,
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
    };
    Configuration {
        version: 1,
        routes: Vec::new(),
        services: BTreeMap::from([(service.name.clone(), Arc::new(service))]),
        limits: ClientLimits::default(),
        tenants: Vec::new(),
    }
}

fn runner(id: &str, models: &[&str]) -> RunnerView {
    RunnerView {
        id: id.into(),
        service: SERVICE.into(),
        zone: "zone".into(),
        open: true,
        evacuated: false,
        limit: None,
        held_back: false,
        overtaxed: Vec::new(),
        unread: false,
        reported: true,
        reachable: true,
        sequence: 0,
        busy: false,
        models: models
            .iter()
            .map(|name| HeldModel {
                model: (*name).into(),
                version: 1,
                adapters: Vec::new(),
            })
            .collect(),
        pending_adapters: Vec::new(),
        copies: WeightCopies::default(),
        ordered: None,
        busy_until: None,
    }
}

fn wish(model: &str, adapter: Option<&str>, waiting: u32) -> DemandItem {
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

/// The load ordered at `runner` is done.
fn end_load(runner: &mut RunnerView) {
    if let Some(OrderAction::LoadModel { model }) = runner.ordered.take() {
        runner.models.push(HeldModel {
            model,
            version: 1,
            adapters: Vec::new(),
        });
        runner.sequence += 1;
    }
}

struct Case {
    planner: Planner,
    book: DemandBook,
    now: Instant,
}

impl Case {
    fn new(policy: &str, wishes: Vec<DemandItem>) -> Self {
        let started = Instant::now();
        let policy = Program::compile(policy).expect("the policy is well formed");
        let mut book = DemandBook::default();
        let now = started + Duration::from_secs(10);
        book.update("node".into(), wishes, BELIEVED_FOR, now);
        Self {
            planner: Planner::new(
                PlannerSettings {
                    policy,
                    pace: PaceLimits {
                        window: Duration::from_secs(5),
                        overage: 1.1,
                    },
                    switches: Switches::default(),
                },
                started,
            ),
            book,
            now,
        }
    }

    fn plan(
        &mut self,
        configuration: &Configuration,
        runners: &mut [RunnerView],
    ) -> Vec<(String, OrderAction)> {
        self.planner
            .plan(configuration, runners, &mut self.book, self.now)
            .into_iter()
            .map(|order| (order.runner.to_string(), order.action))
            .collect()
    }
}

const ONE: &str = "fn decide(context) { #{ replicas: 2, target: 1 } }";

fn load(model: &str) -> OrderAction {
    OrderAction::LoadModel {
        model: model.into(),
    }
}

fn unload(model: &str) -> OrderAction {
    OrderAction::UnloadModel {
        model: model.into(),
    }
}

#[test]
fn a_wanted_model_goes_where_there_is_room() {
    let mut case = Case::new(ONE, vec![wish("c", None, 1)]);
    let mut runners = [runner("1", &["a", "b"]), runner("2", &["a"])];
    let orders = case.plan(&configuration(&["a", "b", "c"]), &mut runners);
    assert_eq!(orders, [("2".to_owned(), load("c"))]);
}

#[test]
fn it_goes_where_a_copy_is_near() {
    let mut case = Case::new(ONE, vec![wish("c", None, 1)]);
    let mut runners = [runner("1", &[]), runner("2", &[])];
    runners[1].copies.disk = vec!["c".into()];
    let orders = case.plan(&configuration(&["c"]), &mut runners);
    assert_eq!(orders, [("2".to_owned(), load("c"))]);
}

#[test]
fn room_is_made_before_a_load_is_ordered() {
    let mut case = Case::new(ONE, vec![wish("c", None, 1)]);
    let mut runners = [runner("1", &["a", "b"])];
    let orders = case.plan(&configuration(&["a", "b", "c"]), &mut runners);
    assert!(
        matches!(&orders[..], [(_, OrderAction::UnloadModel { .. })]),
        "{orders:?}"
    );
}

#[test]
fn a_model_that_is_wanted_and_the_last_does_not_make_way() {
    let wishes = vec![wish("a", None, 1), wish("b", None, 1), wish("c", None, 1)];
    let mut case = Case::new(ONE, wishes);
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
        |runner| runner.reported = false,
        |runner| runner.open = false,
        |runner| runner.ordered = Some(unload("a")),
    ] {
        let mut case = Case::new(ONE, vec![wish("c", None, 1)]);
        let mut runners = [runner("1", &[])];
        change(&mut runners[0]);
        assert_eq!(case.plan(&configuration(&["a", "c"]), &mut runners), []);
    }
}

#[test]
fn a_load_under_way_counts_as_a_replica_and_takes_memory() {
    let mut case = Case::new(ONE, vec![wish("c", None, 5)]);
    let mut runners = [runner("1", &["a"]), runner("2", &[])];
    runners[0].ordered = Some(load("c"));
    runners[0].busy = true;
    let configuration = configuration(&["a", "c"]);
    assert_eq!(case.plan(&configuration, &mut runners), []);
    let engine = configuration.services[SERVICE]
        .engine
        .as_ref()
        .expect("it is one");
    assert!(free_mb(&runners[0], engine) < 10.0);
}

#[test]
fn an_unreachable_replica_is_replaced_within_the_count_decided() {
    let lost = |policy: &str| {
        let mut case = Case::new(policy, vec![wish("a", None, 1)]);
        let mut runners = [runner("1", &["a"]), runner("2", &[])];
        runners[0].reachable = false;
        runners[0].reported = false;
        case.plan(&configuration(&["a"]), &mut runners)
    };
    assert_eq!(lost(ONE), [("2".to_owned(), load("a"))]);
    assert_eq!(lost("fn decide(context) { #{ replicas: 1 } }"), []);
}

#[test]
fn loads_from_the_store_are_paced() {
    let names: Vec<String> = (0..20).map(|number| format!("m{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let wishes = names.iter().map(|name| wish(name, None, 1)).collect();
    let mut case = Case::new(ONE, wishes);
    let configuration = configuration(&names);
    let mut runners: Vec<RunnerView> = (0..20)
        .map(|number| runner(&number.to_string(), &[]))
        .collect();
    let mut loads = 0;
    // Ten steps of half a second: five seconds at two loads a second.
    for _ in 0..10 {
        loads += case.plan(&configuration, &mut runners).len();
        // They end at once, so that nothing but the pace holds further ones up.
        runners.iter_mut().for_each(end_load);
        case.now += Duration::from_millis(500);
        let wishes = names.iter().map(|name| wish(name, None, 1)).collect();
        case.book
            .update("node".into(), wishes, BELIEVED_FOR, case.now);
    }
    assert!((8..=13).contains(&loads), "{loads} loads in five seconds");
}

#[test]
fn a_full_runner_drops_the_adapter_used_the_longest_ago() {
    let mut case = Case::new(ONE, vec![wish("a", Some("new"), 1)]);
    let earlier = case.now - Duration::from_secs(1);
    let mut used = wish("a", Some("recent"), 0);
    used.in_flight = 1;
    case.book
        .update("other".into(), vec![used], BELIEVED_FOR, earlier);
    case.book
        .update("other".into(), Vec::new(), BELIEVED_FOR, case.now);
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
fn a_lease_is_used_only_while_it_surely_lasts_and_after_its_quiet_time() {
    let start = Instant::now();
    let second = Duration::from_secs(1);
    let settings = LeaseSettings {
        margin: second / 5,
        quiet: 3 * second,
    };
    let mut lease = Lease::new(1, 7, start, 4 * second, start, settings);
    assert!(!lease.may_order(start + 2 * second));
    assert!(lease.may_order(start + 3 * second));
    assert!(!lease.may_order(start + 4 * second - second / 10));
    lease.renewed(start + 3 * second, 4 * second);
    assert!(lease.may_order(start + 6 * second));
    assert!(!lease.surely_held(start + 7 * second));
}

/// Found on scale days: adapters waited for seconds behind the load of a model
/// that had been ordered at the only runner that could take them.
#[test]
fn a_load_leaves_a_runner_that_takes_adapters() {
    let mut adapted = wish("a", Some("x"), 0);
    adapted.in_flight = 1;
    let mut case = Case::new(ONE, vec![adapted, wish("c", None, 1)]);
    let mut runners = [runner("1", &["a"]), runner("2", &["b"])];
    // The runner that must stay free would be the quicker one.
    runners[0].copies.memory = vec!["c".into()];
    runners[0].models[0].adapters = vec!["x".into()];
    let orders = case.plan(&configuration(&["a", "b", "c"]), &mut runners);
    assert_eq!(orders, [("2".to_owned(), load("c"))]);
}

/// Found on a scale day of a large site: a model whose one replica was full got
/// no other for 22 s, since always some rare model had none.
#[test]
fn a_full_model_gets_a_further_replica_though_others_have_none() {
    let names: Vec<String> = (0..20).map(|number| format!("m{number}")).collect();
    let mut models: Vec<&str> = names.iter().map(String::as_str).collect();
    models.push("busy");
    let mut wishes: Vec<DemandItem> = names.iter().map(|name| wish(name, None, 1)).collect();
    wishes.push(wish("busy", None, 50));
    let policy = "fn decide(context) { #{ replicas: 5, target: 4 } }";
    let mut case = Case::new(policy, wishes);
    let mut runners: Vec<RunnerView> = (0..20)
        .map(|number| runner(&number.to_string(), &[]))
        .collect();
    runners[0] = runner("0", &["busy"]);
    let orders = case.plan(&configuration(&models), &mut runners);
    assert!(orders.len() < 5, "the weight store's rate allows few loads");
    assert!(orders.iter().any(|(_, action)| *action == load("busy")));
}

#[test]
fn a_burst_calls_for_no_more_than_twice_the_replicas_and_two() {
    let policy = "fn decide(context) { #{ replicas: 20, target: 20 } }";
    let mut case = Case::new(policy, vec![wish("a", None, 500)]);
    let mut runners: Vec<RunnerView> = (0..20)
        .map(|number| {
            let mut runner = runner(&number.to_string(), &[]);
            // Loads from a copy have no pace.
            runner.copies.disk = vec!["a".into()];
            runner
        })
        .collect();
    let mut orders = 0;
    for _ in 0..10 {
        orders += case.plan(&configuration(&["a"]), &mut runners).len();
    }
    assert_eq!(orders, 2, "none is there yet");
}

#[test]
fn room_is_made_only_for_loads_that_may_begin() {
    let wishes = (0..10).map(|number| wish(&format!("m{number}"), None, 1));
    let mut case = Case::new(ONE, wishes.collect());
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
    let mut case = Case::new(ONE, vec![wish("a", None, 1)]);
    let configuration = configuration(&["a"]);
    let mut runners = [runner("1", &[])];
    for _ in 0..20 {
        // Its answer was lost, and the report says that it was not carried out.
        runners[0].ordered = None;
        assert_eq!(case.plan(&configuration, &mut runners).len(), 1);
    }
}

/// In no window do more loads begin than the site allows.
#[test]
fn the_pace_keeps_to_the_sites_window_and_overage() {
    for (rate, seconds, overage) in [(2.2, 5, 1.1), (42.0, 5, 1.1), (10.0, 2, 1.0)] {
        let limits = PaceLimits {
            window: Duration::from_secs(seconds),
            overage,
        };
        let allowed = rate * seconds as f64 * overage + 3.0;
        let start = Instant::now();
        let mut pace = LoadPace::new(limits, start);
        let mut begun: Vec<Duration> = Vec::new();
        for step in 0..600 {
            let at = Duration::from_millis(step * 100);
            // A rest now and then, so that the bucket is full after it.
            while step % 100 > 60 && pace.ready(start + at, rate) >= 1.0 {
                pace.take();
                begun.push(at);
            }
        }
        for first in &begun {
            let end = *first + limits.window;
            let inside = begun.iter().filter(|at| *at >= first && **at < end);
            assert!(inside.count() as f64 <= allowed, "{rate} a second");
        }
    }
}

/// Found on a scale day of the first site: adapters of a model that had just
/// come up waited for 6 s, since its runner was given another model at once.
#[test]
fn an_adapter_goes_before_a_model_at_the_same_runner() {
    let wishes = vec![wish("a", Some("x"), 1), wish("b", None, 9)];
    let mut case = Case::new(ONE, wishes);
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
        .expect_err("there is none");
    assert!(error.to_string().contains("\"speed\""), "{error}");
    assert!(error.to_string().contains("near-copies"), "{error}");
    assert_eq!("".parse(), Ok(Switches::default()));
}

/// Found on the third customer's days: loads of 6 s from the weight store were
/// begun while the runner that had the weights on disk was busy for a moment.
#[test]
fn a_busy_runner_with_a_copy_is_waited_for() {
    let mut case = Case::new(ONE, vec![wish("c", None, 1)]);
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

/// Found on the third customer's days: places stood empty for 2 s, since after
/// each unload some other model seemed more urgent at some other runner.
#[test]
fn room_that_was_made_is_used_at_once() {
    let mut case = Case::new(ONE, vec![wish("c", None, 1)]);
    let mut runners = [runner("1", &["a", "b"]), runner("2", &["a", "b"])];
    let configuration = configuration(&["a", "b", "c", "d"]);
    let orders = case.plan(&configuration, &mut runners);
    let [(freed, OrderAction::UnloadModel { model: victim })] = &orders[..] else {
        panic!("{orders:?}");
    };
    let place = runners
        .iter()
        .position(|runner| *runner.id == **freed)
        .expect("it is one of them");
    runners[place].models.retain(|held| held.model != *victim);
    runners[place].ordered = None;
    // Meanwhile many more wait for another model.
    let wishes = vec![wish("c", None, 1), wish("d", None, 50)];
    case.book
        .update("node".into(), wishes, BELIEVED_FOR, case.now);
    let orders = case.plan(&configuration, &mut runners);
    assert!(orders.contains(&(freed.clone(), load("d"))), "{orders:?}");
    assert_eq!(orders.len(), 2, "room for the other is made elsewhere");
}

#[test]
fn a_load_goes_where_it_disturbs_few_streams() {
    let mut streaming = wish("a", None, 0);
    streaming.in_flight = 30;
    streaming.rate = 10.0;
    let mut case = Case::new(ONE, vec![streaming, wish("c", None, 1)]);
    let mut runners = [runner("1", &["a"]), runner("2", &["b"])];
    let orders = case.plan(&configuration(&["a", "b", "c"]), &mut runners);
    assert_eq!(orders, [("2".to_owned(), load("c"))]);
}

#[test]
fn a_policy_says_in_which_zones_a_model_may_be() {
    let policy = r#"fn decide(context) { #{ replicas: 1, zones: ["north"] } }"#;
    let mut case = Case::new(policy, vec![wish("c", None, 1)]);
    let mut runners = [runner("1", &[]), runner("2", &["a"])];
    runners[1].zone = "north".into();
    // The other would be the quicker one.
    runners[0].copies.memory = vec!["c".into()];
    let orders = case.plan(&configuration(&["a", "c"]), &mut runners);
    assert_eq!(orders, [("2".to_owned(), load("c"))]);
}

#[test]
fn a_policy_sees_the_rank_and_who_was_never_served() {
    let policy = "fn decide(context) {
        #{ replicas: if context.priority == 1 && context.starved > 1.5 { 1 } else { 0 } }
    }";
    let asked = || DemandItem {
        rate: 1.0,
        ..wish("c", None, 1)
    };
    let mut case = Case::new(policy, vec![asked()]);
    let mut runners = [runner("1", &[])];
    let configuration = configuration(&["c"]);
    // Nobody has planned since the start, ten seconds ago: that counts once.
    case.planner.restart(case.now);
    assert_eq!(case.plan(&configuration, &mut runners), []);
    case.now += Duration::from_secs(2);
    case.book
        .update("node".into(), vec![asked()], BELIEVED_FOR, case.now);
    let orders = case.plan(&configuration, &mut runners);
    assert_eq!(orders, [("1".to_owned(), load("c"))]);
}

#[test]
fn a_runner_that_stays_busy_is_not_waited_for_without_end() {
    // Found on a played day: the busiest model got no further replica for twelve
    // seconds, since a runner with a copy was thought free in a moment all along.
    let mut case = Case::new(ONE, vec![wish("a", None, 3)]);
    let mut busy = runner("1", &[]);
    busy.copies.disk = vec!["a".into()];
    busy.busy = true;
    busy.busy_until = Some(case.now + Duration::from_millis(300));
    let mut runners = [busy, runner("2", &[])];
    let configuration = configuration(&["a"]);
    let orders = case.plan(&configuration, &mut runners);
    assert_eq!(orders, [], "the copy's runner is free sooner");
    case.now += Duration::from_secs(4);
    case.book.update(
        "node".into(),
        vec![wish("a", None, 3)],
        BELIEVED_FOR,
        case.now,
    );
    let orders = case.plan(&configuration, &mut runners);
    assert_eq!(orders, [("2".to_owned(), load("a"))]);
}

/// The policy that is deployed.
const DEPLOYED: &str = include_str!("../../../deploy/policy.rhai");

#[test]
fn a_full_model_gets_a_further_replica_also_from_the_store() {
    let crowded = DemandItem {
        in_flight: 36,
        rate: 28.0,
        ..wish("hot", None, 20)
    };
    let mut wishes = vec![crowded];
    let other = |number: usize| format!("other-{number}");
    for number in 0..17 {
        let idle = number > 9;
        wishes.push(DemandItem {
            in_flight: if idle { 0 } else { 3 },
            rate: if idle { 0.02 } else { 3.0 },
            ..wish(&other(number), None, 0)
        });
    }
    let names: Vec<String> = (0..17).map(other).chain(["hot".to_owned()]).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut configuration = configuration(&names);
    let service = configuration
        .services
        .get_mut(SERVICE)
        .expect("it is there");
    let engine = Arc::make_mut(service).engine.as_mut().expect("it has one");
    engine.slots = 12;
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
    let mut case = Case::new(DEPLOYED, wishes);
    let orders = case.plan(&configuration, &mut runners);
    let for_room = |(_, action): &(String, OrderAction)| !action.is_load();
    assert!(
        orders.len() >= 3 && orders.iter().all(for_room),
        "{orders:?}"
    );
    let summary = &case.planner.summaries()[0];
    let most = summary.most_wanted.as_ref().expect("some model is");
    assert_eq!((&*most.model, most.replicas), ("hot", 3));
    assert_eq!(most.needed, 10, "one on each runner: {most:?}");
}

/// A leader of thousands of runners does not ask them all for their reports: what
/// their entries say is enough to choose a place, and the report of that one is read
/// before the first order there.
#[test]
fn a_runner_whose_report_was_never_read_is_read_and_then_ordered() {
    let mut case = Case::new(ONE, vec![wish("c", None, 1)]);
    let mut runners = [runner("1", &["a", "b"]), runner("2", &["a"])];
    for runner in &mut runners {
        runner.unread = true;
        runner.reported = false;
    }
    let configuration = configuration(&["a", "b", "c"]);
    assert_eq!(case.plan(&configuration, &mut runners), []);
    assert_eq!(case.planner.looks(), ["2".into()]);
    runners[1].unread = false;
    runners[1].reported = true;
    let orders = case.plan(&configuration, &mut runners);
    assert_eq!(orders, [("2".to_owned(), load("c"))]);
    assert!(case.planner.looks().is_empty());
}

#[test]
fn an_adapter_is_loaded_at_a_runner_once_its_report_is_read() {
    let mut case = Case::new(ONE, vec![wish("a", Some("a1"), 1)]);
    let mut runners = [runner("1", &["a"])];
    runners[0].unread = true;
    runners[0].reported = false;
    let configuration = configuration(&["a"]);
    assert_eq!(case.plan(&configuration, &mut runners), []);
    assert_eq!(case.planner.looks(), ["1".into()]);
    runners[0].unread = false;
    runners[0].reported = true;
    let orders = case.plan(&configuration, &mut runners);
    assert_eq!(orders.len(), 1);
    assert!(orders[0].1.adapter().is_some());
}

/// Where nothing is sent nothing is loaded; what stands there counts against what the
/// policy allows, and is wanted elsewhere.
#[test]
fn an_evacuated_runner_is_not_ordered_and_its_replica_is_loaded_elsewhere() {
    let mut case = Case::new(ONE, vec![wish("a", None, 1)]);
    let mut runners = [runner("1", &["a"]), runner("2", &[]), runner("3", &[])];
    runners[0].evacuated = true;
    runners[1].evacuated = true;
    let configuration = configuration(&["a"]);
    let orders = case.plan(&configuration, &mut runners);
    assert_eq!(orders, [("3".to_owned(), load("a"))]);
    end_load(&mut runners[2]);
    assert_eq!(case.plan(&configuration, &mut runners), []);
}
