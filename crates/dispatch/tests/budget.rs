//! The retry budget holds over all nodes, whatever the order of events.

use std::time::{Duration, Instant};

use barleyspar_dispatch::{BudgetLimits, RetryBudget};
use quickcheck::{Gen, QuickCheck, TestResult};

const LIMITS: BudgetLimits = BudgetLimits {
    ratio: 0.2,
    window: Duration::from_secs(10),
    extra: 52.0,
};

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
        let node = &mut nodes[usize::from(node) % NODES];
        if !retry {
            node.count_request(now);
            requests.push(now);
        } else if node.try_take(now, NODES) {
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
    assert!(!budget.try_take(started, 1));
    assert!(budget.try_take(started + LIMITS.window, 1));
}
