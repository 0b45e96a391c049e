//! The retry budget holds over all nodes for any order of requests and retries.

use std::time::{Duration, Instant};

use barleyspar_dispatch::{BudgetLimits, BudgetShare, RetryBudget};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

const LIMITS: BudgetLimits = BudgetLimits {
    ratio: 0.2,
    window: Duration::from_secs(10),
    extra: 52.0,
};

fn share(nodes: usize, position: usize) -> BudgetShare {
    BudgetShare { nodes, position }
}

/// One step of all nodes: time that has passed, and what a node does.
type Step = (u16, u8, Action);

/// What a node does.
#[derive(Debug, Clone, Copy)]
enum Action {
    /// It sends the first attempt of a request.
    Request,
    /// It retries, if the budget allows it.
    Retry,
    /// The runners read all retries that have not arrived, of all nodes.
    Arrivals,
}

impl Arbitrary for Action {
    fn arbitrary(random: &mut Gen) -> Self {
        let actions = [
            Self::Request,
            Self::Request,
            Self::Retry,
            Self::Retry,
            Self::Arrivals,
        ];
        *random.choose(&actions).expect("there are actions")
    }
}

/// Checks the bound over all nodes on what runners receive, after each step.
fn bound_holds(steps: Vec<Step>) -> TestResult {
    const NODES: usize = 4;
    let started = Instant::now();
    let mut now = started;
    let mut nodes: Vec<RetryBudget> = (0..NODES)
        .map(|_| RetryBudget::new(LIMITS, started))
        .collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    let mut pending = [0; NODES];
    for (elapsed_ms, node, action) in steps {
        now += Duration::from_millis(u64::from(elapsed_ms % 200));
        let share = share(NODES, usize::from(node) % NODES);
        let node = &mut nodes[share.position];
        match action {
            Action::Request => {
                node.count_request(now);
                requests.push(now);
            }
            Action::Retry => pending[share.position] += usize::from(node.try_take(now, share)),
            Action::Arrivals => {
                for (node, pending) in nodes.iter_mut().zip(&mut pending) {
                    for _ in 0..std::mem::take(pending) {
                        node.record_arrival(now);
                        retries.push(now);
                    }
                }
            }
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
        .quickcheck(bound_holds as fn(Vec<Step>) -> TestResult);
}

#[test]
fn a_retry_that_has_not_arrived_counts_however_long_ago_it_was_sent() {
    let started = Instant::now();
    let limits = BudgetLimits {
        extra: 2.0,
        ..LIMITS
    };
    let mut budget = RetryBudget::new(limits, started);
    let sent_at = started + limits.window;
    assert!(budget.try_take(sent_at, share(1, 0)));
    let arrived_at = sent_at + 5 * limits.window;
    assert!(!budget.try_take(arrived_at, share(1, 0)));
    budget.record_arrival(arrived_at);
    let within_window = arrived_at + limits.window;
    assert!(!budget.try_take(within_window, share(1, 0)));
    let after_window = within_window + Duration::from_millis(1);
    assert!(budget.try_take(after_window, share(1, 0)));
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
