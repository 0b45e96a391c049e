//! Tests that the time that runners take to read prompts decides how many replicas a model
//! gets and where they stand.

mod common;

use std::time::Duration;

use barleyspar_catalog::OrderAction;
use barleyspar_dispatch::{DemandItem, PromptDemandItem};
use barleyspar_loading::RunnerView;
use common::{
    Case, SERVICE, TARGET_ONE, VALID_FOR, configuration, demand_item, finish_load, load, runner,
    unload,
};

/// Prompt tokens that each runner reads a second, unless a test says otherwise.
const SPEED: f64 = 20_000.0;
/// The policy in the deployment folder.
const DEPLOYED: &str = include_str!("../../../deploy/policy.rhai");
/// A policy of two replicas, and a third by reading.
const THIRD_BY_READING: &str =
    "fn decide(c) { let count = if c.reading > 1.0 { 3 } else { 2 }; #{ replicas: count } }";

fn reading_runner(id: &str, models: &[&str]) -> RunnerView {
    RunnerView {
        tokens_per_second: Some(SPEED),
        ..runner(id, models)
    }
}

/// Steady prompts: the recent rates equal the average.
fn prompts(model: &str, tokens_per_second: f64) -> PromptDemandItem {
    PromptDemandItem {
        service: SERVICE.into(),
        model: model.into(),
        tokens_per_second: tokens_per_second as f32,
        recent_tokens_per_second: tokens_per_second as f32,
        recent_requests_per_second: 20.0,
    }
}

fn in_use(model: &str, in_flight: u32, rate: f32) -> DemandItem {
    DemandItem {
        in_flight,
        rate,
        ..demand_item(model, None, 0)
    }
}

fn report_prompts(case: &mut Case, items: Vec<PromptDemandItem>) {
    let now = case.now;
    case.cluster_demand
        .update_prompts("node".into(), items, VALID_FOR, now);
}

/// The hot model of most tests: 24 requests a second of 1,500 tokens, 22 in flight.
fn hot() -> DemandItem {
    in_use("hot", 22, 24.0)
}

/// Two runners of 64 slots hold the hot model, two others are empty.
fn two_hot_runners() -> [RunnerView; 4] {
    [
        reading_runner("1", &["hot"]),
        reading_runner("2", &["hot"]),
        reading_runner("3", &[]),
        reading_runner("4", &[]),
    ]
}

/// Both runners read 0.9 of their time, while 22 of their 128 slots are in use.
#[test]
fn runners_that_read_nine_tenths_of_their_time_are_relieved_though_slots_are_free() {
    let orders_without = |mechanism: &str| {
        let mut case = Case::without(mechanism, DEPLOYED, vec![hot()]);
        report_prompts(&mut case, vec![prompts("hot", 1.8 * SPEED)]);
        case.plan(&configuration(&["hot"]), &mut two_hot_runners())
    };
    let orders = orders_without("");
    assert!(!orders.is_empty(), "a third replica within one step");
    assert!(orders.iter().all(|(_, action)| *action == load("hot")));
    assert_eq!(orders_without("reading"), [], "slots ask for no third one");
}

/// One load may begin. The hot model's two runners read 0.9 of their time, and one request
/// waits for a model without a replica.
#[test]
fn a_replica_for_prompts_that_meet_outweighs_one_request_of_a_rare_model() {
    let first_load = |tokens_per_second: f64| {
        let mut case = Case::new(DEPLOYED, vec![hot(), demand_item("rare", None, 1)]);
        report_prompts(&mut case, vec![prompts("hot", tokens_per_second)]);
        let mut runners = two_hot_runners();
        runners[3].available = false;
        case.plan(&configuration(&["hot", "rare"]), &mut runners[..])
    };
    assert_eq!(first_load(1.8 * SPEED), [("3".to_owned(), load("hot"))]);
    assert_eq!(first_load(0.1 * SPEED), [("3".to_owned(), load("rare"))]);
}

#[test]
fn nothing_changes_where_no_speed_is_known() {
    let plan = |tokens_per_second: f64| {
        let policy = "fn decide(c) { #{ replicas: if c.reading == 0.0 { 2 } else { 9 } } }";
        let mut case = Case::new(policy, vec![hot(), demand_item("rare", None, 1)]);
        report_prompts(&mut case, vec![prompts("hot", tokens_per_second)]);
        let mut runners = two_hot_runners();
        for runner in &mut runners {
            runner.tokens_per_second = None;
        }
        case.plan(&configuration(&["hot", "rare"]), &mut runners)
    };
    assert_eq!(plan(9.0 * SPEED), plan(0.0));
}

#[test]
fn a_runner_of_unknown_speed_is_taken_to_read_like_the_others() {
    let mut case = Case::new(THIRD_BY_READING, vec![hot()]);
    report_prompts(&mut case, vec![prompts("hot", 1.2 * SPEED)]);
    let mut runners = two_hot_runners();
    runners[0].tokens_per_second = None;
    runners[2].tokens_per_second = None;
    assert_eq!(case.plan(&configuration(&["hot"]), &mut runners).len(), 1);
}

/// Requests and slots in use stay the same; only the prompts get longer.
#[test]
fn a_policy_is_asked_again_when_only_the_prompts_change() {
    let mut case = Case::new(THIRD_BY_READING, vec![hot()]);
    let mut runners = two_hot_runners();
    report_prompts(&mut case, vec![prompts("hot", 0.8 * SPEED)]);
    assert_eq!(case.plan(&configuration(&["hot"]), &mut runners), []);
    report_prompts(&mut case, vec![prompts("hot", 1.2 * SPEED)]);
    assert_eq!(case.plan(&configuration(&["hot"]), &mut runners).len(), 1);
}

#[test]
fn absurd_speeds_are_ignored_and_counted() {
    for absurd in [f64::NAN, f64::INFINITY, -SPEED, 0.0, 1.0, 1e12] {
        let mut case = Case::new(THIRD_BY_READING, vec![hot()]);
        report_prompts(&mut case, vec![prompts("hot", 0.8 * SPEED)]);
        let mut runners = two_hot_runners();
        runners[0].tokens_per_second = Some(absurd);
        assert_eq!(case.plan(&configuration(&["hot"]), &mut runners), []);
        let summary = &case.planner.summaries()[0];
        assert_eq!((summary.known_speeds, summary.ignored_speeds), (3, 1));
    }
}

#[test]
fn absurd_prompt_reports_are_ignored_and_counted() {
    for absurd in [f32::NAN, f32::INFINITY, -1.0, 1e12] {
        let mut case = Case::new(THIRD_BY_READING, vec![hot()]);
        let changes: [fn(&mut PromptDemandItem) -> &mut f32; 3] = [
            |item| &mut item.tokens_per_second,
            |item| &mut item.recent_tokens_per_second,
            |item| &mut item.recent_requests_per_second,
        ];
        for (number, change) in (1..).zip(changes) {
            let mut item = prompts("hot", 2.0 * SPEED);
            *change(&mut item) = absurd;
            report_prompts(&mut case, vec![item]);
            let orders = case.plan(&configuration(&["hot"]), &mut two_hot_runners());
            assert_eq!(orders, [], "{absurd}");
            let summary = &case.planner.summaries()[0];
            assert_eq!(summary.ignored_prompt_reports, number);
        }
    }
}

#[test]
fn prompts_reported_by_a_silent_node_are_forgotten() {
    let mut case = Case::new(THIRD_BY_READING, vec![hot()]);
    report_prompts(&mut case, vec![prompts("hot", 1.8 * SPEED)]);
    case.now += 2 * VALID_FOR;
    let now = case.now;
    case.cluster_demand
        .update("other".into(), vec![hot()], VALID_FOR, now);
    assert_eq!(
        case.plan(&configuration(&["hot"]), &mut two_hot_runners()),
        []
    );
}

/// The average of four seconds shows 0.3 of a runner, the last second 1.2 of one.
#[test]
fn a_model_whose_prompts_rise_is_counted_at_the_present_rate() {
    let orders = |recent_requests_per_second: f32| {
        let mut case = Case::new(THIRD_BY_READING, vec![hot()]);
        let rising = PromptDemandItem {
            recent_tokens_per_second: (1.2 * SPEED) as f32,
            recent_requests_per_second,
            ..prompts("hot", 0.3 * SPEED)
        };
        report_prompts(&mut case, vec![rising]);
        case.plan(&configuration(&["hot"]), &mut two_hot_runners())
    };
    assert_eq!(orders(16.0).len(), 1);
    assert_eq!(orders(1.4), [], "two prompts that came together by chance");
}

/// Prompts keep 15 of 20 runners busy. The runners have no copy of the model, so all loads
/// come from the store, which allows two a second.
#[test]
fn the_load_rate_of_the_store_holds_however_much_is_read() {
    let mut case = Case::new(DEPLOYED, vec![hot()]);
    let configuration = configuration(&["hot"]);
    let mut runners: Vec<RunnerView> = (0..20)
        .map(|number| reading_runner(&number.to_string(), &[]))
        .collect();
    let mut loads = 0;
    // Ten steps of half a second.
    for _ in 0..10 {
        let now = case.now;
        case.cluster_demand
            .update("node".into(), vec![hot()], VALID_FOR, now);
        report_prompts(&mut case, vec![prompts("hot", 15.0 * SPEED)]);
        loads += case.plan(&configuration, &mut runners).len();
        runners.iter_mut().for_each(finish_load);
        case.now += Duration::from_millis(500);
    }
    assert!((8..=13).contains(&loads), "{loads} loads in five seconds");
}

/// The only other runner is full with the last replicas of models in use.
#[test]
fn last_replicas_in_use_are_not_evicted_for_reading() {
    let demand_items = vec![hot(), in_use("a", 1, 0.5), in_use("b", 1, 0.5)];
    let mut case = Case::new(DEPLOYED, demand_items);
    report_prompts(&mut case, vec![prompts("hot", 5.0 * SPEED)]);
    let mut runners = [
        reading_runner("1", &["hot", "x"]),
        reading_runner("2", &["a", "b"]),
    ];
    let orders = case.plan(&configuration(&["hot", "a", "b", "x"]), &mut runners);
    assert_eq!(orders, []);
}

#[test]
fn the_policy_keeps_the_last_word_however_much_is_read() {
    let policy = r#"fn decide(c) { #{ replicas: 3, zones: ["north"] } }"#;
    let mut case = Case::new(policy, vec![hot()]);
    report_prompts(&mut case, vec![prompts("hot", 9.0 * SPEED)]);
    let mut runners = two_hot_runners();
    runners[2].zone = "north".into();
    let mut orders = Vec::new();
    for _ in 0..3 {
        orders.extend(case.plan(&configuration(&["hot"]), &mut runners));
        runners.iter_mut().for_each(finish_load);
    }
    assert_eq!(orders, [("3".to_owned(), load("hot"))]);
}

/// Two runners with equally many streams; those of the second have long prompts, which take
/// 0.8 of its time to read. One request waits for a model without a replica.
#[test]
fn a_rare_models_replica_does_not_stand_beside_prompts_that_take_all_reading() {
    let chosen_without = |mechanism: &str| -> Vec<(String, OrderAction)> {
        let demand_items = vec![
            in_use("short", 10, 10.0),
            in_use("long", 10, 10.0),
            demand_item("rare", None, 1),
        ];
        let mut case = Case::without(mechanism, TARGET_ONE, demand_items);
        report_prompts(
            &mut case,
            vec![
                prompts("short", 0.05 * SPEED),
                prompts("long", 0.8 * SPEED),
                prompts("rare", 0.01 * SPEED),
            ],
        );
        let mut runners = [
            reading_runner("1", &["short"]),
            reading_runner("2", &["long"]),
        ];
        case.plan(&configuration(&["short", "long", "rare"]), &mut runners)
    };
    assert_eq!(chosen_without(""), [("1".to_owned(), load("rare"))]);
    assert_eq!(chosen_without("reading"), [("2".to_owned(), load("rare"))]);
}

/// The same, but the speed of the second runner is not known.
#[test]
fn a_runner_of_unknown_speed_is_avoided_for_its_prompts_like_the_others() {
    let demand_items = vec![
        in_use("short", 10, 10.0),
        in_use("long", 10, 10.0),
        demand_item("rare", None, 1),
    ];
    let mut case = Case::new(TARGET_ONE, demand_items);
    report_prompts(&mut case, vec![prompts("long", 0.8 * SPEED)]);
    let mut runners = [reading_runner("1", &["short"]), runner("2", &["long"])];
    let orders = case.plan(&configuration(&["short", "long", "rare"]), &mut runners);
    assert_eq!(orders, [("1".to_owned(), load("rare"))]);
}

/// Four runners share prompts that take 0.8 of one, so each reads 0.2 of its time; another
/// one reads 0.6 of its time for a model of its own. All have equally many streams.
#[test]
fn prompts_that_several_replicas_share_count_in_part_at_each() {
    let demand_items = vec![
        in_use("shared", 40, 40.0),
        in_use("single", 10, 10.0),
        demand_item("rare", None, 1),
    ];
    let mut case = Case::new(TARGET_ONE, demand_items);
    let reports = vec![
        prompts("shared", 0.8 * SPEED),
        prompts("single", 0.6 * SPEED),
    ];
    report_prompts(&mut case, reports);
    let mut runners = ["shared", "single", "shared", "shared", "shared"]
        .map(|model| reading_runner("", &[model]));
    for (number, runner) in (1..).zip(&mut runners) {
        runner.id = number.to_string().into();
        // A runner with such a limit serves, and has no calls to spare for a further model.
        runner.rate_limit = (number > 2).then_some(0.5);
    }
    let orders = case.plan(&configuration(&["shared", "single", "rare"]), &mut runners);
    assert_eq!(orders, [("1".to_owned(), load("rare"))]);
}

/// The first runner has a copy in memory and is soon free, but is loading a model whose
/// prompts take five runners. The second one reads nothing and loads from the store.
#[test]
fn prompts_of_a_model_under_way_count_at_its_runner() {
    let chosen_at = |tokens_per_second: f64| {
        let demand_items = vec![in_use("long", 10, 10.0), demand_item("rare", None, 1)];
        let mut case = Case::new(TARGET_ONE, demand_items);
        report_prompts(&mut case, vec![prompts("long", tokens_per_second)]);
        let mut runners = [reading_runner("1", &[]), reading_runner("2", &[])];
        runners[0].copies.memory = vec!["rare".into()];
        runners[0].busy = true;
        runners[0].busy_until = Some(case.now);
        runners[0].order_in_progress = Some(load("long"));
        case.plan(&configuration(&["long", "rare"]), &mut runners)
    };
    assert_eq!(chosen_at(0.0), [], "the model waits for the first runner");
    assert_eq!(chosen_at(5.0 * SPEED), [("2".to_owned(), load("rare"))]);
}

/// Each of two runners must evict a replica that is not needed. What the first evicts takes
/// 0.9 of its reading; what the second keeps takes 0.8.
#[test]
fn prompts_of_an_evicted_replica_do_not_count_at_its_runner() {
    let demand_items = vec![
        in_use("long", 0, 1.0),
        in_use("short", 0, 1.0),
        in_use("kept-short", 1, 1.0),
        in_use("kept-long", 1, 1.0),
        demand_item("rare", None, 1),
    ];
    let mut case = Case::new(TARGET_ONE, demand_items);
    let reports = vec![
        prompts("long", 1.8 * SPEED),
        prompts("kept-long", 0.8 * SPEED),
    ];
    report_prompts(&mut case, reports);
    let mut runners = [
        reading_runner("1", &["long", "kept-short"]),
        reading_runner("2", &["short", "kept-long"]),
        reading_runner("3", &["long", "short"]),
    ];
    // A rate-limited runner serves, but gets no further models.
    runners[2].rate_limit = Some(1000.0);
    let models = ["long", "short", "kept-short", "kept-long", "rare"];
    let orders = case.plan(&configuration(&models), &mut runners);
    assert_eq!(orders, [("1".to_owned(), unload("long"))]);
}

/// The only runner with room reads all of its time for another model.
#[test]
fn a_model_without_replica_is_loaded_beside_saturated_reading_if_there_is_no_other_place() {
    let demand_items = vec![in_use("long", 10, 10.0), demand_item("rare", None, 1)];
    let mut case = Case::new(TARGET_ONE, demand_items);
    let reports = vec![prompts("long", 2.0 * SPEED), prompts("rare", 0.01 * SPEED)];
    report_prompts(&mut case, reports);
    let mut runners = [reading_runner("1", &["long"])];
    let orders = case.plan(&configuration(&["long", "rare"]), &mut runners);
    assert_eq!(orders, [("1".to_owned(), load("rare"))]);
}

/// Runners of 0.6, 1.0 and 1.6 of the mean speed. Reading takes more than one of them.
#[test]
fn a_model_that_reads_much_goes_to_the_fastest_free_runner() {
    let mut case = Case::new(TARGET_ONE, vec![demand_item("long", None, 9)]);
    report_prompts(&mut case, vec![prompts("long", 1.4 * SPEED)]);
    let speeds = [1.6, 1.0, 0.6];
    let mut runners = ["1", "2", "3"].map(|id| reading_runner(id, &[]));
    for (runner, speed) in runners.iter_mut().zip(speeds) {
        runner.tokens_per_second = Some(speed * SPEED);
    }
    let orders = case.plan(&configuration(&["long"]), &mut runners);
    assert_eq!(orders, [("1".to_owned(), load("long"))]);
}
