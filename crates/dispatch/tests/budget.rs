//! The retry budget holds over all nodes for any order of requests and retries.

use std::time::{Duration, Instant};

use barleyspar_dispatch::{BudgetLimits, BudgetShare, RetryBudget};
use quickcheck::{Gen, QuickCheck, TestResult};

const LIMITS: BudgetLimits = BudgetLimits {
    ratio: 0.2,
    window: Duration::from_secs(10),
    extra: 52.0,
};

fn share(nodes: usize, position: usize) -> BudgetShare {
    BudgetShare { nodes, position }
}

/// Checks the bound over all nodes after each step. A step is (milliseconds passed, node,
/// whether it is a retry).
fn bound_holds(steps: Vec<(u16, u8, bool)>) -> TestResult {
    const NODES: usize = 4;
    let started = Instant::now();
    let mut now = started;
    let mut nodes: Vec<RetryBudget> = (0..NODES)
        .map(|_| RetryBudget::new(LIMITS, started))
        .collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for (elapsed_ms, node, retry) in steps {
        now += Duration::from_millis(u64::from(elapsed_ms % 200));
        let share = share(NODES, usize::from(node) % NODES);
        let node = &mut nodes[share.position];
        if !retry {
            node.count_request(now);
            requests.push(now);
        } else if node.try_take(now, share) {
            retries.push(now);
        }
        let recent = |times: &[Instant]| {
            times
                .iter()
                .filter(|time| now - **time <= LIMITS.window)
                .count() as f64
        };
        let most_retries = LIMITS.ratio * recent(&requests) + LIMITS.extra;
        if recent(&retries) > most_retries {
            return TestResult::failed();
        }
    }
    TestResult::passed()
}

#[test]
fn all_nodes_together_stay_within_the_budget() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 7))
        .tests(300)
        .quickcheck(bound_holds as fn(Vec<(u16, u8, bool)>) -> TestResult);
}

#[test]
fn a_node_that_has_just_started_has_no_allowance() {
    let started = Instant::now();
    let mut budget = RetryBudget::new(LIMITS, started);
    assert!(!budget.try_take(started, share(1, 0)));
    assert!(budget.try_take(started + LIMITS.window, share(1, 0)));
}

/// A node's fraction of 1,040 retries in a window is 0.74 of a retry at 985 nodes.
/// Without one whole retry for each node, few failed requests are retried while nearly
/// all of the allowance stays unused.
#[test]
fn one_of_hundreds_of_nodes_may_retry_once_in_a_window() {
    let limits = BudgetLimits {
        extra: 1040.0,
        ..LIMITS
    };
    let started = Instant::now();
    let at = started + limits.window;
    for nodes in [300, 985] {
        let mut budget = RetryBudget::new(limits, started);
        budget.count_request(at);
        assert!(
            budget.try_take(at, share(nodes, nodes - 1)),
            "{nodes} nodes"
        );
    }
}

#[test]
fn nodes_that_all_retry_at_once_stay_within_the_budget_at_any_size() {
    const EACH: usize = 8;
    let started = Instant::now();
    let at = started + LIMITS.window;
    for nodes in [1, 4, 40, 52, 53, 300, 985, 2000] {
        for requests in [0, 1, 3, 10] {
            let taken: usize = (0..nodes)
                .map(|position| {
                    let mut budget = RetryBudget::new(LIMITS, started);
                    (0..requests).for_each(|_| budget.count_request(at));
                    let takes = |_: &usize| budget.try_take(at, share(nodes, position));
                    (0..EACH).filter(takes).count()
                })
                .sum();
            let most_retries = LIMITS.extra + LIMITS.ratio * (requests * nodes) as f64;
            assert!(
                taken as f64 <= most_retries,
                "{nodes} nodes, {requests} requests: {taken} of {most_retries}"
            );
        }
    }
}
