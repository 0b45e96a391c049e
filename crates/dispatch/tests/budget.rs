//! The retry budget holds over all nodes, whatever the order of events.

use std::time::{Duration, Instant};

use barleyspar_dispatch::{BudgetLimits, RetryBudget, Share};
use quickcheck::{Gen, QuickCheck, TestResult};

const LIMITS: BudgetLimits = BudgetLimits {
    ratio: 0.2,
    window: Duration::from_secs(10),
    extra: 52.0,
};

fn share(nodes: usize, place: usize) -> Share {
    Share { nodes, place }
}

/// Steps are (milliseconds passed, node, whether it is a retry).
fn stays_within(steps: Vec<(u16, u8, bool)>) -> TestResult {
    const NODES: usize = 4;
    let started = Instant::now();
    let mut now = started;
    let mut nodes: Vec<RetryBudget> = (0..NODES)
        .map(|_| RetryBudget::new(LIMITS, started))
        .collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for (passed, node, retry) in steps {
        now += Duration::from_millis(u64::from(passed % 200));
        let share = share(NODES, usize::from(node) % NODES);
        let node = &mut nodes[share.place];
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
        let most = LIMITS.ratio * recent(&requests) + LIMITS.extra;
        if recent(&retries) > most {
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
        .quickcheck(stays_within as fn(Vec<(u16, u8, bool)>) -> TestResult);
}

#[test]
fn a_node_that_has_just_started_has_no_allowance() {
    let started = Instant::now();
    let mut budget = RetryBudget::new(LIMITS, started);
    assert!(!budget.try_take(started, share(1, 0)));
    assert!(budget.try_take(started + LIMITS.window, share(1, 0)));
}

/// What users would have seen at 985 nodes: a node's part of 1,040 retries in a window
/// is 0.74 of one, so of requests that failed at one runner (14 in 100 of one kind) few
/// were tried at another, while nearly all of the allowance lay idle.
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
                .map(|place| {
                    let mut budget = RetryBudget::new(LIMITS, started);
                    (0..requests).for_each(|_| budget.count_request(at));
                    let takes = |_: &usize| budget.try_take(at, share(nodes, place));
                    (0..EACH).filter(takes).count()
                })
                .sum();
            let most = LIMITS.extra + LIMITS.ratio * (requests * nodes) as f64;
            assert!(
                taken as f64 <= most,
                "{nodes} nodes, {requests} requests: {taken} of {most}"
            );
        }
    }
}
