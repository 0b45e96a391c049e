//! A tenant's limit over a whole fleet: owners against equal shares, and both
//! against one perfect bucket.
//!
//! `cargo test -p barleyspar-callers --test fleet -- --nocapture` prints the table
//! of docs/design/callers.md.

use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_callers::{
    QuotaAnswer, QuotaLedger, QuotaLimit, QuotaOwner, QuotaRequest, Share, Subject, TokenBucket,
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
/// Tokens of a request, in turn: a few are long.
const COSTS: [u64; 5] = [700, 1600, 1600, 1600, 4000];
const STEP: Duration = Duration::from_millis(5);
const LENGTH: Duration = Duration::from_secs(30);
/// Silence after which a node is thought gone.
const SILENCE: Duration = Duration::from_millis(1600);

/// What befalls the fleet from the tenth second on.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Trouble {
    None,
    /// A third of the nodes hear nobody for eight seconds.
    Cut,
    /// The tenant's owner is gone for good.
    OwnerDies,
    /// The tenant's owner stands still for seven seconds.
    OwnerFreezes,
    /// All nodes start anew, without what they knew.
    AllRestart,
    /// The limit falls to a third.
    Lowered,
}

const TROUBLES: [Trouble; 6] = [
    Trouble::None,
    Trouble::Cut,
    Trouble::OwnerDies,
    Trouble::OwnerFreezes,
    Trouble::AllRestart,
    Trouble::Lowered,
];

struct Node {
    ledger: QuotaLedger,
    owner: QuotaOwner,
    share: TokenBucket,
}

struct Fleet {
    trouble: Trouble,
    nodes: Vec<Node>,
    start: Instant,
    now: Instant,
    numbers: u64,
}

/// What was granted: when and how much.
type Granted = Vec<(Instant, u64)>;

impl Fleet {
    fn new(count: usize, trouble: Trouble) -> Self {
        let start = Instant::now();
        let node = |_| Node {
            ledger: QuotaLedger::new(BOUNDS.window),
            owner: QuotaOwner::new(start, SILENCE),
            share: TokenBucket::empty(start),
        };
        Self {
            trouble,
            nodes: (0..count).map(node).collect(),
            start,
            now: start,
            numbers: 0,
        }
    }

    fn seconds(&self) -> f64 {
        (self.now - self.start).as_secs_f64()
    }

    fn since_trouble(&self) -> f64 {
        self.seconds() - 10.0
    }

    /// Whether `node` hears others and is heard, as things are.
    fn is_in(&self, node: usize) -> bool {
        let since = self.since_trouble();
        match self.trouble {
            Trouble::Cut => node % 3 != 1 || !(0.0..8.0).contains(&since),
            Trouble::OwnerDies => node != 0 || since < 0.0,
            Trouble::OwnerFreezes => node != 0 || !(0.0..7.0).contains(&since),
            _ => true,
        }
    }

    /// The same as others believe it: they notice within [`SILENCE`].
    fn is_thought_in(&self, node: usize) -> bool {
        let lately = (SILENCE.as_secs_f64() + self.since_trouble() > 0.0)
            && self.since_trouble() < SILENCE.as_secs_f64();
        lately || self.is_in(node)
    }

    /// The nodes that `node` hears, itself included.
    fn heard(&self, node: usize) -> Vec<usize> {
        let alone = !self.is_in(node) && self.since_trouble() > SILENCE.as_secs_f64();
        if alone {
            return vec![node];
        }
        (0..self.nodes.len())
            .filter(|other| *other == node || self.is_thought_in(*other))
            .collect()
    }

    fn limit(&self) -> QuotaLimit {
        let lowered = self.trouble == Trouble::Lowered && self.since_trouble() > 0.0;
        let part = if lowered { 1.0 / 3.0 } else { 1.0 };
        let quota = Quota {
            per_second: QUOTA.per_second * part,
            burst: QUOTA.burst * part,
            ..QUOTA
        };
        QuotaLimit::new(&quota, &BOUNDS)
    }

    fn restart_all(&mut self) {
        let count = self.nodes.len();
        let (start, now, numbers) = (self.start, self.now, self.numbers);
        *self = Self::new(count, self.trouble);
        for node in &mut self.nodes {
            node.owner = QuotaOwner::new(now, SILENCE);
            node.share = TokenBucket::empty(now);
        }
        (self.start, self.now, self.numbers) = (start, now, numbers);
    }

    /// A request of `cost` comes to `node`; the owners decide.
    fn by_owners(&mut self, node: usize, cost: u64) -> bool {
        let tenant = Subject::Tenant("tenant".into());
        let (now, limit) = (self.now, self.limit());
        let owner = self.heard(node)[0];
        let owner_name: Arc<str> = format!("node-{owner}").into();
        let elsewhere_ms = self.nodes[node].ledger.asks(&tenant, &owner_name, now);
        self.numbers += 1;
        let request = QuotaRequest {
            number: self.numbers,
            node: format!("node-{node}").into(),
            subject: tenant.clone(),
            named: None,
            cost,
            once_for: None,
            elsewhere_ms,
        };
        let reached = owner == node || (self.is_in(node) && self.is_in(owner));
        let share = Share {
            heard: self.heard(owner).len(),
            nodes: self.nodes.len(),
        };
        if !reached || self.heard(owner)[0] != owner {
            let draw = (self.numbers * 7919 % 1000) as f64 / 1000.0;
            return self.nodes[node]
                .ledger
                .take_reserve(&tenant, cost, draw, now);
        }
        let (granted, reserve) = match self.nodes[owner].owner.answer(&request, limit, share, now) {
            QuotaAnswer::Granted { reserve } => (true, reserve),
            QuotaAnswer::Denied { reserve, .. } => (false, reserve),
            QuotaAnswer::NotOwner => unreachable!("an owner never says so itself"),
        };
        self.nodes[node].ledger.set_reserve(&tenant, reserve, now);
        granted
    }

    /// The same by equal shares of the limit, which need no messages.
    fn by_equal_shares(&mut self, node: usize, cost: u64) -> bool {
        let limit = self.limit().scaled(1.0 / self.nodes.len() as f64);
        // A share may be less than a request: then a full one is worth one.
        let limit = QuotaLimit {
            most_for_one: limit.depth,
            ..limit
        };
        let share = &mut self.nodes[node].share;
        share.take(cost as f64, limit, self.now).is_ok()
    }

    /// Asks for `demand` times the limit, most of it at few nodes: what was
    /// granted by the way `decide`, and by one perfect bucket.
    fn play(
        mut self,
        demand: f64,
        decide: impl Fn(&mut Self, usize, u64) -> bool,
    ) -> (Granted, Granted) {
        let mut perfect = TokenBucket::empty(self.start);
        let (mut granted, mut ideal) = (Vec::new(), Vec::new());
        let (mut owed, mut turn, mut restarted) = (0.0, 0_usize, false);
        while self.now - self.start < LENGTH {
            self.now += STEP;
            if self.trouble == Trouble::AllRestart && self.since_trouble() > 0.0 && !restarted {
                restarted = true;
                self.restart_all();
            }
            owed += demand * QUOTA.per_second * STEP.as_secs_f64();
            while owed > 0.0 {
                let cost = COSTS[turn % COSTS.len()];
                let node = self.sender(turn);
                turn += 1;
                owed -= cost as f64;
                if self.seconds() < 2.0 {
                    continue;
                }
                let limit = QuotaLimit {
                    per_second: self.limit().per_second / 1.05,
                    ..self.limit()
                };
                if perfect.take(cost as f64, limit, self.now).is_ok() {
                    ideal.push((self.now, cost));
                }
                if decide(&mut self, node, cost) {
                    granted.push((self.now, cost));
                }
            }
        }
        (granted, ideal)
    }

    /// Who gets the request of this turn: a fifth of the nodes get four fifths.
    fn sender(&self, turn: usize) -> usize {
        let nodes = self.nodes.len();
        let spread = turn.wrapping_mul(7919) / 3;
        let sender = if turn.is_multiple_of(5) {
            spread % nodes
        } else {
            spread % (nodes / 5).max(2)
        };
        // Nobody gets through to a node that is gone or stands still.
        let silent = matches!(self.trouble, Trouble::OwnerDies | Trouble::OwnerFreezes);
        if silent && !self.is_in(sender) {
            sender + 1
        } else {
            sender
        }
    }
}

fn sum(granted: &Granted) -> f64 {
    granted.iter().map(|(_, cost)| *cost as f64).sum()
}

/// Most tokens in any window, over what the rule allows.
fn fullest_window(granted: &Granted, limit_part: f64) -> f64 {
    let window = BOUNDS.window.as_secs_f64();
    let promised = (QUOTA.per_second * window + QUOTA.burst) * limit_part;
    let allowed = promised * (1.0 + BOUNDS.overage) + BOUNDS.tolerance;
    let (mut first, mut units, mut most) = (0, 0_u64, 0_u64);
    for (at, cost) in granted {
        units += cost;
        while *at - granted[first].0 > BOUNDS.window {
            units -= granted[first].1;
            first += 1;
        }
        most = most.max(units);
    }
    most as f64 / allowed
}

#[test]
fn owners_keep_the_limit_and_grant_what_it_allows() {
    println!(
        "nodes  demand  trouble       owners: window, granted   equal shares: window, granted"
    );
    for count in [6, 87, 295] {
        for demand in [0.6, 4.0] {
            for trouble in TROUBLES {
                let (granted, ideal) = Fleet::new(count, trouble).play(demand, Fleet::by_owners);
                let (equal, _) = Fleet::new(count, trouble).play(demand, Fleet::by_equal_shares);
                let window = fullest_window(&granted, 1.0);
                let part = sum(&granted) / sum(&ideal);
                println!(
                    "{count:5}  {demand:6}  {trouble:12?}  {window:.2}  {part:.2}   {:.2}  {:.2}",
                    fullest_window(&equal, 1.0),
                    sum(&equal) / sum(&ideal)
                );
                assert!(window <= 1.0, "{count} nodes, {trouble:?}: {window}");
                let least = least_granted(trouble, demand);
                assert!(part >= least, "{count} nodes, {trouble:?}: {part}");
            }
        }
    }
}

/// Part of what a perfect bucket grants that owners must grant: callers at nodes
/// that are cut off get little, and a new owner begins with nothing.
fn least_granted(trouble: Trouble, demand: f64) -> f64 {
    match trouble {
        Trouble::None | Trouble::Lowered => 0.98,
        Trouble::Cut if demand < 1.0 => 0.85,
        _ => 0.9,
    }
}

/// After a limit is lowered, the window that lies wholly behind it holds.
#[test]
fn a_lowered_limit_binds_within_a_window() {
    let (granted, _) = Fleet::new(87, Trouble::Lowered).play(4.0, Fleet::by_owners);
    let start = granted[0].0;
    let behind = Duration::from_secs(10) + BOUNDS.window;
    let late: Granted = granted
        .into_iter()
        .filter(|(at, _)| *at - start > behind)
        .collect();
    assert!(fullest_window(&late, 1.0 / 3.0) <= 1.0);
}

#[test]
fn what_was_not_used_serves_another_request_for_a_while() {
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
