//! Tests of the planner's orders while runners may still carry out loads that they left
//! unanswered.

mod common;

use std::time::Duration;

use barleyspar_loading::{PossibleLoad, RunnerView};
use common::{Case, TARGET_ONE, configuration, demand_item, load, runner};

const ONE: &str = "fn decide(context) { #{ replicas: 1, target: 1 } }";

/// Plans for waiting requests while the first of two empty runners may still load the model.
/// `reachable`: whether that runner answers its reports.
fn plan(policy: &str, reachable: bool) -> Vec<(String, barleyspar_catalog::OrderAction)> {
    let mut case = Case::new(policy, vec![demand_item("a", None, 3)]);
    let silent = RunnerView {
        report_known: reachable,
        reachable,
        possible_load: Some(PossibleLoad {
            model: "a".into(),
            sequence: 0,
            until: case.now + Duration::from_secs(10),
        }),
        ..runner("silent", &[])
    };
    let mut runners = [silent, runner("other", &[])];
    case.plan(&configuration(&["a"]), &mut runners)
}

#[test]
fn a_load_that_may_still_be_carried_out_counts_towards_the_policy() {
    assert_eq!(plan(ONE, false), []);
    assert_eq!(plan(TARGET_ONE, false), [("other".to_owned(), load("a"))]);
}

#[test]
fn a_runner_that_answers_again_gets_the_order_anew() {
    assert_eq!(plan(ONE, true), [("silent".to_owned(), load("a"))]);
}
