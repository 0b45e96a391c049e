//! A tenant's limit over a whole fleet: compares limit owners with equal shares per node,
//! and both with one ideal bucket for all nodes.
//!
//! `cargo test -p barleyspar-callers --test fleet -- --nocapture` prints the table
//! of docs/design/callers.md.

use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_callers::{
    QuotaAnswer, QuotaLedger, QuotaLimit, QuotaOwner, QuotaRequest, Subject, TokenBucket,
    VisibleNodes,
};
use barleyspar_catalog::{Quota, QuotaBounds, QuotaUnit};

const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(8),
    overage: 0.1,
    tolerance: 11_000.0,
};
const QUOTA: Quota = Quota {
    unit: QuotaUnit::Tokens { unnamed: 200 },
    per_second: 20_000.0,
    burst: 20_000.0,
};
/// Costs of successive requests, in tokens; a few requests are long.
const COSTS: [u64; 5] = [700, 1600, 1600, 1600, 4000];
const STEP: Duration = Duration::from_millis(5);
const LENGTH: Duration = Duration::from_secs(30);
/// Time without messages after which a node is considered failed.
const FAILURE_DETECTION_TIME: Duration = Duration::from_millis(1600);

/// Fault in the fleet from the tenth second on.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// A third of the nodes are isolated for eight seconds.
    Cut,
    /// The tenant's limit owner fails permanently.
    OwnerDies,
    /// The tenant's limit owner stops for seven seconds.
    OwnerFreezes,
    /// All nodes restart and lose their state.
    AllRestart,
    /// The limit is lowered to a third.
    Lowered,
}

const FAULTS: [Fault; 6] = [
    Fault::None,
    Fault::Cut,
    Fault::OwnerDies,
    Fault::OwnerFreezes,
    Fault::AllRestart,
    Fault::Lowered,
];

struct Node {
    ledger: QuotaLedger,
    owner: QuotaOwner,
    share: TokenBucket,
}

struct Fleet {
    fault: Fault,
    nodes: Vec<Node>,
    start: Instant,
    now: Instant,
    numbers: u64,
}

/// Granted requests: time and cost of each.
type Granted = Vec<(Instant, u64)>;

impl Fleet {
    fn new(count: usize, fault: Fault) -> Self {
        let start = Instant::now();
        let node = |_| Node {
            ledger: QuotaLedger::new(BOUNDS.window),
            owner: QuotaOwner::new(start, FAILURE_DETECTION_TIME),
            share: TokenBucket::empty(start),
        };
        Self {
            fault,
            nodes: (0..count).map(node).collect(),
            start,
            now: start,
            numbers: 0,
        }
    }

    fn seconds(&self) -> f64 {
        (self.now - self.start).as_secs_f64()
    }

    /// Returns the time since the fault began, in seconds; negative before it.
    fn since_fault(&self) -> f64 {
        self.seconds() - 10.0
    }

    /// Returns whether `node` is connected to other nodes.
    fn is_connected(&self, node: usize) -> bool {
        let since = self.since_fault();
        match self.fault {
            Fault::Cut => node % 3 != 1 || !(0.0..8.0).contains(&since),
            Fault::OwnerDies => node != 0 || since < 0.0,
            Fault::OwnerFreezes => node != 0 || !(0.0..7.0).contains(&since),
            _ => true,
        }
    }

    /// Returns whether other nodes consider `node` connected: they notice a failure only after
    /// [`FAILURE_DETECTION_TIME`].
    fn is_considered_connected(&self, node: usize) -> bool {
        let undetected = (FAILURE_DETECTION_TIME.as_secs_f64() + self.since_fault() > 0.0)
            && self.since_fault() < FAILURE_DETECTION_TIME.as_secs_f64();
        undetected || self.is_connected(node)
    }

    /// Returns the nodes that `node` considers connected, itself included.
    fn visible_nodes(&self, node: usize) -> Vec<usize> {
        let isolated =
            !self.is_connected(node) && self.since_fault() > FAILURE_DETECTION_TIME.as_secs_f64();
        if isolated {
            return vec![node];
        }
        (0..self.nodes.len())
            .filter(|other| *other == node || self.is_considered_connected(*other))
            .collect()
    }

    fn limit(&self) -> QuotaLimit {
        let lowered = self.fault == Fault::Lowered && self.since_fault() > 0.0;
        let factor = if lowered { 1.0 / 3.0 } else { 1.0 };
        let quota = Quota {
            per_second: QUOTA.per_second * factor,
            burst: QUOTA.burst * factor,
            ..QUOTA
        };
        QuotaLimit::new(&quota, &BOUNDS)
    }

    fn restart_all(&mut self) {
        let count = self.nodes.len();
        let (start, now, numbers) = (self.start, self.now, self.numbers);
        *self = Self::new(count, self.fault);
        for node in &mut self.nodes {
            node.owner = QuotaOwner::new(now, FAILURE_DETECTION_TIME);
            node.share = TokenBucket::empty(now);
        }
        (self.start, self.now, self.numbers) = (start, now, numbers);
    }

    /// Returns whether a request of `cost` at `node` is granted, decided by limit owners.
    fn granted_by_owners(&mut self, node: usize, cost: u64) -> bool {
        let tenant = Subject::Tenant("tenant".into());
        let (now, limit) = (self.now, self.limit());
        let owner = self.visible_nodes(node)[0];
        let owner_name: Arc<str> = format!("node-{owner}").into();
        let elsewhere_ms = self.nodes[node]
            .ledger
            .record_question(&tenant, &owner_name, now);
        self.numbers += 1;
        let request = QuotaRequest {
            number: self.numbers,
            node: format!("node-{node}").into(),
            subject: tenant.clone(),
            named: None,
            cost,
            charge_once_key: None,
            other_owner_asked_ms: elsewhere_ms,
        };
        let reachable = owner == node || (self.is_connected(node) && self.is_connected(owner));
        let share = VisibleNodes {
            visible: self.visible_nodes(owner).len(),
            total: self.nodes.len(),
        };
        if !reachable || self.visible_nodes(owner)[0] != owner {
            let draw = (self.numbers * 7919 % 1000) as f64 / 1000.0;
            return self.nodes[node]
                .ledger
                .take_reserve(&tenant, cost, draw, now);
        }
        let (granted, reserve) = match self.nodes[owner].owner.answer(&request, limit, share, now) {
            QuotaAnswer::Granted { reserve } => (true, reserve),
            QuotaAnswer::Denied { reserve, .. } => (false, reserve),
            QuotaAnswer::NotOwner => unreachable!("an owner never returns this itself"),
        };
        self.nodes[node].ledger.set_reserve(&tenant, reserve, now);
        granted
    }

    /// Returns whether a request of `cost` at `node` is granted, decided by equal shares of
    /// the limit, which need no messages.
    fn granted_by_equal_shares(&mut self, node: usize, cost: u64) -> bool {
        let limit = self.limit().scaled(1.0 / self.nodes.len() as f64);
        // A share may be smaller than a request's cost; a full share then grants it.
        let limit = QuotaLimit {
            maximum_required: limit.depth,
            ..limit
        };
        let share = &mut self.nodes[node].share;
        share.try_take(cost as f64, limit, self.now).is_ok()
    }

    /// Simulates requests for `demand` times the limit, most of them at few nodes. Returns
    /// the requests that `decide` granted, and those that one ideal bucket granted.
    fn simulate(
        mut self,
        demand: f64,
        decide: impl Fn(&mut Self, usize, u64) -> bool,
    ) -> (Granted, Granted) {
        let mut ideal_bucket = TokenBucket::empty(self.start);
        let (mut granted, mut ideal) = (Vec::new(), Vec::new());
        let (mut demanded, mut number, mut restarted) = (0.0, 0_usize, false);
        while self.now - self.start < LENGTH {
            self.now += STEP;
            if self.fault == Fault::AllRestart && self.since_fault() > 0.0 && !restarted {
                restarted = true;
                self.restart_all();
            }
            demanded += demand * QUOTA.per_second * STEP.as_secs_f64();
            while demanded > 0.0 {
                let cost = COSTS[number % COSTS.len()];
                let node = self.receiving_node(number);
                number += 1;
                demanded -= cost as f64;
                if self.seconds() < 2.0 {
                    continue;
                }
                let limit = QuotaLimit {
                    per_second: self.limit().per_second / 1.05,
                    ..self.limit()
                };
                if ideal_bucket.try_take(cost as f64, limit, self.now).is_ok() {
                    ideal.push((self.now, cost));
                }
                if decide(&mut self, node, cost) {
                    granted.push((self.now, cost));
                }
            }
        }
        (granted, ideal)
    }

    /// Returns the node that receives the request with this number: a fifth of the nodes
    /// receive four fifths of the requests.
    fn receiving_node(&self, number: usize) -> usize {
        let nodes = self.nodes.len();
        let spread = number.wrapping_mul(7919) / 3;
        let node = if number.is_multiple_of(5) {
            spread % nodes
        } else {
            spread % (nodes / 5).max(2)
        };
        // A failed or stopped node receives no requests.
        let owner_fails = matches!(self.fault, Fault::OwnerDies | Fault::OwnerFreezes);
        if owner_fails && !self.is_connected(node) {
            node + 1
        } else {
            node
        }
    }
}

fn sum(granted: &Granted) -> f64 {
    granted.iter().map(|(_, cost)| *cost as f64).sum()
}

/// Returns the maximum number of tokens granted in any window, as a fraction of what the
/// quota's bounds permit for `limit_factor` times the limit.
fn fullest_window(granted: &Granted, limit_factor: f64) -> f64 {
    let window = BOUNDS.window.as_secs_f64();
    let limit = (QUOTA.per_second * window + QUOTA.burst) * limit_factor;
    let permitted = limit * (1.0 + BOUNDS.overage) + BOUNDS.tolerance;
    let (mut first, mut units, mut most) = (0, 0_u64, 0_u64);
    for (at, cost) in granted {
        units += cost;
        while *at - granted[first].0 > BOUNDS.window {
            units -= granted[first].1;
            first += 1;
        }
        most = most.max(units);
    }
    most as f64 / permitted
}

#[test]
fn owners_keep_the_limit_and_grant_what_it_allows() {
    println!(
        "nodes  demand  fault         owners: window, granted   equal shares: window, granted"
    );
    for count in [6, 87, 295] {
        for demand in [0.6, 4.0] {
            for fault in FAULTS {
                let (granted, ideal) =
                    Fleet::new(count, fault).simulate(demand, Fleet::granted_by_owners);
                let (equal, _) =
                    Fleet::new(count, fault).simulate(demand, Fleet::granted_by_equal_shares);
                let window = fullest_window(&granted, 1.0);
                let fraction = sum(&granted) / sum(&ideal);
                println!(
                    "{count:5}  {demand:6}  {fault:12?}  {window:.2}  {fraction:.2}   {:.2}  {:.2}",
                    fullest_window(&equal, 1.0),
                    sum(&equal) / sum(&ideal)
                );
                assert!(window <= 1.0, "{count} nodes, {fault:?}: {window}");
                let least = least_granted(fault, demand);
                assert!(fraction >= least, "{count} nodes, {fault:?}: {fraction}");
            }
        }
    }
}

/// Returns the minimum that owners must grant, as a fraction of what an ideal bucket grants.
/// Callers at isolated nodes get little, and a new owner starts with an empty bucket.
fn least_granted(fault: Fault, demand: f64) -> f64 {
    match fault {
        Fault::None | Fault::Lowered => 0.98,
        Fault::Cut if demand < 1.0 => 0.85,
        _ => 0.9,
    }
}

/// Windows that lie entirely after the lowering of a limit must stay within the new limit.
#[test]
fn a_lowered_limit_binds_within_a_window() {
    let (granted, _) = Fleet::new(87, Fault::Lowered).simulate(4.0, Fleet::granted_by_owners);
    let start = granted[0].0;
    let first_full_window = Duration::from_secs(10) + BOUNDS.window;
    let later: Granted = granted
        .into_iter()
        .filter(|(at, _)| *at - start > first_full_window)
        .collect();
    assert!(fullest_window(&later, 1.0 / 3.0) <= 1.0);
}

#[test]
fn unused_units_may_be_used_by_another_request_for_a_while() {
    let now = Instant::now();
    let tenant = Subject::Tenant("tenant".into());
    let mut ledger = QuotaLedger::new(BOUNDS.window);
    ledger.give_back(&tenant, 1000, now);
    assert!(ledger.take_unused(&tenant, 600, now));
    assert!(!ledger.take_unused(&tenant, 600, now));
    let late = now + Duration::from_secs(2);
    assert!(!ledger.take_unused(&tenant, 100, late));
    ledger.give_back(&tenant, 1000, late);
    ledger.retain(|_| false, late);
    assert!(!ledger.take_unused(&tenant, 100, late));
}
