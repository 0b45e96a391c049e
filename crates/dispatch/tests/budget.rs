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

const NODES: usize = 4;

/// One step of all nodes: time that has passed in milliseconds, a node, and what it does.
type Step = (u16, u8, Action);

/// What a node does, or what happens to it.
#[derive(Debug, Clone, Copy)]
enum Action {
    /// It sends the first attempt of a request.
    Request,
    /// It retries, if the budget allows it.
    Retry,
    /// The runners read all retries that have not arrived, of all lives of all nodes.
    Arrivals,
    /// Its process is killed and starts again.
    Kill,
    /// No node does anything for this number of seconds.
    Pause(u8),
}

impl Arbitrary for Action {
    fn arbitrary(random: &mut Gen) -> Self {
        let seconds = u8::arbitrary(random) % 16;
        let actions = [
            (12, Self::Request),
            (24, Self::Retry),
            (3, Self::Arrivals),
            (1, Self::Kill),
            (1, Self::Pause(seconds)),
        ];
        let weighted = actions.map(|(weight, action)| vec![action; weight]);
        *random
            .choose(&weighted.concat())
            .expect("there are actions")
    }
}

/// Nodes that share a budget, over all their lives, with what runners and clients have seen.
struct Site {
    nodes: Vec<RetryBudget>,
    now: Instant,
    /// Retries of each node's present life that have not arrived.
    pending: [usize; NODES],
    /// Retries of former lives that have not arrived.
    left_behind: usize,
    requests: Vec<Instant>,
    arrivals: Vec<Instant>,
}

impl Site {
    fn new() -> Self {
        let now = Instant::now();
        let node = |_| RetryBudget::new(LIMITS, now);
        Self {
            nodes: (0..NODES).map(node).collect(),
            now,
            pending: [0; NODES],
            left_behind: 0,
            requests: Vec::new(),
            arrivals: Vec::new(),
        }
    }

    fn take(&mut self, (elapsed_ms, node, action): Step) {
        self.now += Duration::from_millis(u64::from(elapsed_ms % 200));
        let position = usize::from(node) % NODES;
        match action {
            Action::Request => {
                self.nodes[position].count_request(self.now);
                self.requests.push(self.now);
            }
            Action::Retry => {
                let share = share(NODES, position);
                let taken = self.nodes[position].try_take(self.now, share);
                self.pending[position] += usize::from(taken);
            }
            Action::Arrivals => self.read_all(),
            Action::Kill => {
                self.left_behind += std::mem::take(&mut self.pending[position]);
                self.nodes[position] = RetryBudget::new(LIMITS, self.now);
            }
            Action::Pause(seconds) => self.now += Duration::from_secs(u64::from(seconds)),
        }
    }

    fn read_all(&mut self) {
        let left_behind = std::mem::take(&mut self.left_behind);
        self.arrivals.extend(vec![self.now; left_behind]);
        for (node, pending) in self.nodes.iter_mut().zip(&mut self.pending) {
            for _ in 0..std::mem::take(pending) {
                node.record_arrival(self.now);
                self.arrivals.push(self.now);
            }
            node.settle(self.now);
        }
    }

    /// Whether all arrivals in the window that ends now are within the bound.
    fn is_within_bound(&self) -> bool {
        let Some(start) = self.now.checked_sub(LIMITS.window) else {
            return true;
        };
        let within = |times: &[Instant], start: Instant| {
            let is_within = |at: &&Instant| **at > start && **at <= start + LIMITS.window;
            times.iter().filter(is_within).count() as f64
        };
        let starts = [
            Some(start),
            start.checked_sub(LIMITS.window / 2),
            start.checked_sub(LIMITS.window),
        ];
        let requests = starts
            .into_iter()
            .flatten()
            .map(|start| within(&self.requests, start));
        let most_requests = requests.fold(0.0, f64::max);
        within(&self.arrivals, start) <= LIMITS.ratio * most_requests + LIMITS.extra
    }
}

/// Checks the bound over all nodes on what runners receive, after each step.
fn bound_holds(steps: Vec<Step>) -> TestResult {
    let mut site = Site::new();
    for step in steps {
        site.take(step);
        if !site.is_within_bound() {
            return TestResult::failed();
        }
    }
    TestResult::passed()
}

#[test]
fn all_nodes_together_stay_within_the_budget_over_all_lives_and_loads() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(1500, 7))
        .tests(400)
        .quickcheck(bound_holds as fn(Vec<Step>) -> TestResult);
}

#[test]
fn a_retry_that_has_not_arrived_counts_however_long_ago_it_was_sent() {
    let started = Instant::now();
    let limits = BudgetLimits {
        extra: 2.0,
        ..LIMITS
    };
    let mut budget = settled(limits, started);
    let sent_at = started + 2 * limits.window;
    assert!(budget.try_take(sent_at, share(1, 0)));
    let arrived_at = sent_at + 5 * limits.window;
    assert!(!budget.try_take(arrived_at, share(1, 0)));
    budget.record_arrival(arrived_at);
    let within_window = arrived_at + limits.window;
    assert!(!budget.try_take(within_window, share(1, 0)));
    let after_window = within_window + Duration::from_millis(1);
    assert!(budget.try_take(after_window, share(1, 0)));
}

/// A budget whose former life's retries arrived when the present one started.
fn settled(limits: BudgetLimits, started: Instant) -> RetryBudget {
    let mut budget = RetryBudget::new(limits, started);
    budget.settle(started);
    budget
}

/// Takes retries for a node without others until none is allowed, and returns their number.
fn take_all(budget: &mut RetryBudget, now: Instant) -> usize {
    (0..100)
        .filter(|_| budget.try_take(now, share(1, 0)))
        .count()
}

#[test]
fn a_node_that_has_just_started_has_what_its_predecessor_may_not_use() {
    let started = Instant::now();
    let mut budget = settled(LIMITS, started);
    assert!(!budget.try_take(started, share(1, 0)));
    let mut taken_at = |at| take_all(&mut budget, at);
    assert_eq!(taken_at(started + LIMITS.window / 2), 7, "half of 0.3 x 52");
    assert_eq!(taken_at(started + LIMITS.window), 8, "0.3 x 52 in all");
    let after_window = started + LIMITS.window + Duration::from_millis(1);
    assert_eq!(taken_at(after_window), 21, "0.7 x 52 in all");
}

#[test]
fn a_node_whose_former_life_may_have_left_retries_behind_has_no_allowance() {
    let started = Instant::now();
    let mut budget = RetryBudget::new(LIMITS, started);
    let later = started + 5 * LIMITS.window;
    (0..100).for_each(|_| budget.count_request(later));
    assert!(!budget.try_take(later, share(1, 0)));
}

#[test]
fn a_node_that_has_just_started_retries_by_the_ratio_of_its_own_requests() {
    let started = Instant::now();
    let mut budget = settled(LIMITS, started);
    (0..30).for_each(|_| budget.count_request(started));
    let at = started + Duration::from_millis(10);
    let taken = take_all(&mut budget, at);
    assert_eq!(taken, 4, "0.7 x 0.2 x 30 requests");
}

#[test]
fn retries_that_have_not_arrived_fit_into_the_fixed_allowance_at_any_load() {
    let started = Instant::now();
    let mut budget = settled(LIMITS, started);
    let at = started + 2 * LIMITS.window;
    (0..10_000).for_each(|_| budget.count_request(at));
    let later = at + Duration::from_millis(10);
    assert_eq!(take_all(&mut budget, later), 36, "0.7 x 52");
}

#[test]
fn requests_before_a_window_allow_no_arrivals_in_it() {
    let started = Instant::now();
    let mut budget = settled(LIMITS, started);
    let at = started + 2 * LIMITS.window;
    (0..1000).for_each(|_| budget.count_request(at));
    let later = at + Duration::from_millis(10);
    let mut taken = 0;
    while budget.try_take(later, share(1, 0)) {
        budget.record_arrival(later);
        taken += 1;
    }
    assert_eq!(taken, 36, "0.7 x 52");
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
    let at = started + 2 * limits.window;
    for nodes in [300, 985] {
        let mut budget = settled(limits, started);
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
    let at = started + 2 * LIMITS.window;
    for nodes in [1, 4, 40, 52, 53, 300, 985, 2000] {
        for requests in [0, 1, 3, 10] {
            let taken: usize = (0..nodes)
                .map(|position| {
                    let mut budget = settled(LIMITS, started);
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
