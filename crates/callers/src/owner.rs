//! The limit owner: the node that counts, for all nodes, the use of a tenant's quota, the
//! calls to a rate-limited runner, or the runner crashes at which a request was present.
//!
//! All nodes choose the owner by the same function of the nodes from which they receive
//! messages. In a network partition, the groups of nodes may choose different owners. At
//! most one group contains more than half of all nodes, and its owner grants the whole
//! limit. The owners of all other groups grant so little that the total stays within the
//! guaranteed overage in every partition.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_domain::decay_factor;

use crate::bucket::{QuotaLimit, TokenBucket};
use crate::crashes::{SECONDS_PER_FORGIVEN_UNIT, TOLERATED_WEIGHT};
use crate::messages::{QuotaAnswer, QuotaRequest, RUNNER_KEPT_FOR, Subject};

/// Half-life of the weight of the units that a node asked for.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// An account drops its record on a node that asked for at most this fraction of all units
/// recently asked for.
const NEGLIGIBLE_FRACTION: f64 = 1e-4;

/// Factor on the limit that a group of at most half of all nodes grants, applied to the
/// group's fraction of all nodes. All such groups together grant at most a tenth of the limit,
/// in addition to a majority group that grants the whole limit.
const MINORITY_FACTOR: f64 = 0.1;

/// The nodes that an owner can see: their number and that of all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VisibleNodes {
    /// Number of nodes from which the owner has recently received a message, itself included.
    pub visible: usize,
    /// Number of all nodes, whether or not the owner can reach them.
    pub total: usize,
}

impl VisibleNodes {
    /// Returns the fraction of the limit that the owner grants, from 0 to 1: the whole limit
    /// if it sees more than half of all nodes.
    pub fn limit_fraction(self) -> f64 {
        if self.visible * 2 > self.total {
            return 1.0;
        }
        MINORITY_FACTOR * self.visible as f64 / self.total.max(1) as f64
    }
}

/// Exponentially decaying sum of the units that nodes asked for.
#[derive(Debug, Clone, Copy)]
struct DecayingUnits {
    /// Sum of the units, each decayed by the time from its request to `updated_at`.
    units: f64,
    updated_at: Instant,
}

impl DecayingUnits {
    /// Returns the decayed sum at `now`.
    fn at(self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.units * decay_factor(age, HALF_LIFE)
    }

    fn add(&mut self, units: f64, now: Instant) {
        self.units = self.at(now) + units;
        self.updated_at = now;
    }
}

/// Number of accounts (about 2 MB) from which on accounts of requests are dropped after
/// [`REQUEST_KEPT_AT_LEAST`].
const MANY_ACCOUNTS: usize = 10_000;
/// Time after its last use for which the account of a request is kept when there are at least
/// [`MANY_ACCOUNTS`].
const REQUEST_KEPT_AT_LEAST: Duration = Duration::from_secs(60);
/// Time after its last use for which the account of a request is kept when there are fewer
/// than [`MANY_ACCOUNTS`]: until all of its accumulated crash weight has decayed.
const REQUEST_KEPT_FOR: Duration =
    Duration::from_secs((TOLERATED_WEIGHT * SECONDS_PER_FORGIVEN_UNIT) as u64);

/// The limit owner's record of one subject: how many units of its limit may still be
/// granted, and which nodes asked for units.
#[derive(Debug)]
struct Account {
    bucket: TokenBucket,
    /// Units that were charged for each [`QuotaRequest::charge_once_key`].
    charged_once: HashMap<Arc<str>, u64>,
    /// Time at which this owner last learned that a node had asked another owner, or the
    /// account's start. The bucket counts all use since then.
    sole_owner_since: Instant,
    /// Decaying sum of the units that all nodes asked for.
    total: DecayingUnits,
    /// Decaying sum of the units that each node asked for, by the node's name. Nodes with
    /// a negligible fraction of `total` are dropped.
    nodes: HashMap<Arc<str>, DecayingUnits>,
}

impl Account {
    fn new(bucket: TokenBucket, started: Instant) -> Self {
        Self {
            bucket,
            charged_once: HashMap::new(),
            sole_owner_since: started,
            total: DecayingUnits {
                units: 0.0,
                updated_at: started,
            },
            nodes: HashMap::new(),
        }
    }

    fn was_asked_within(&self, time: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.total.updated_at) < time
    }

    /// Records that a node asked another owner at `at`. Since this owner does not know what
    /// the other one granted, its bucket is emptied, unless it was emptied after `at`.
    fn note_other_owner(&mut self, at: Instant, now: Instant) {
        if at > self.sole_owner_since {
            self.bucket = TokenBucket::empty(now);
            self.sole_owner_since = now;
        }
    }

    /// Charges the units of `request` to the bucket, or those by which they exceed what was
    /// charged for its `charge_once_key`. If the bucket holds too few, charges nothing and
    /// returns, as the error, the time until it will hold enough.
    fn try_charge(
        &mut self,
        request: &QuotaRequest,
        limit: QuotaLimit,
        now: Instant,
    ) -> Result<(), Duration> {
        let Some(key) = &request.charge_once_key else {
            return self.bucket.try_take(request.cost as f64, limit, now);
        };
        let charged = self.charged_once.get(key).copied().unwrap_or(0);
        if request.cost > charged {
            self.bucket
                .try_take((request.cost - charged) as f64, limit, now)?;
            self.charged_once.insert(key.clone(), request.cost);
        }
        Ok(())
    }

    /// Counts `units` that `node` asks for. Returns the fraction, from 0 to 1, of all recently
    /// asked units that this node asked for.
    fn count(&mut self, node: &Arc<str>, units: f64, now: Instant) -> f64 {
        self.total.add(units, now);
        let total = self.total.at(now).max(f64::EPSILON);
        let of_node = self.nodes.entry(node.clone()).or_insert(DecayingUnits {
            units: 0.0,
            updated_at: now,
        });
        of_node.add(units, now);
        let fraction = of_node.at(now) / total;
        self.nodes
            .retain(|_, units| units.at(now) / total > NEGLIGIBLE_FRACTION);
        fraction.min(1.0)
    }
}

/// The accounts of all limits of which this node is the owner.
#[derive(Debug)]
pub struct QuotaOwner {
    started: Instant,
    /// Time within which other nodes notice that this node does not answer. A node's reserve
    /// covers this time.
    failure_detection_time: Duration,
    accounts: HashMap<Subject, Account>,
}

impl QuotaOwner {
    /// Returns a limit owner on a node that started at `started` and whose failure other nodes
    /// notice within `failure_detection_time`. It does not know what was granted before it
    /// started. Therefore, the buckets of tenants are empty at `started`.
    pub fn new(started: Instant, failure_detection_time: Duration) -> Self {
        Self {
            started,
            failure_detection_time,
            accounts: HashMap::new(),
        }
    }

    /// Drops the accounts of tenants for which `is_known_tenant` returns false, and those of
    /// runners and requests that were not asked about for `RUNNER_KEPT_FOR` or
    /// `REQUEST_KEPT_FOR`.
    pub fn retain(&mut self, is_known_tenant: impl Fn(&str) -> bool, now: Instant) {
        self.accounts.retain(|subject, account| match subject {
            Subject::Tenant(name) => is_known_tenant(name),
            Subject::Runner(_) => account.was_asked_within(RUNNER_KEPT_FOR, now),
            Subject::Request(_) => account.was_asked_within(REQUEST_KEPT_FOR, now),
        });
    }

    /// Drops the accounts of requests that were not used for [`REQUEST_KEPT_AT_LEAST`], if
    /// there are at least [`MANY_ACCOUNTS`] accounts.
    fn drop_old_requests(&mut self, now: Instant) {
        if self.accounts.len() >= MANY_ACCOUNTS {
            self.accounts.retain(|subject, account| {
                !matches!(subject, Subject::Request(_))
                    || account.was_asked_within(REQUEST_KEPT_AT_LEAST, now)
            });
        }
    }

    /// Charges `request` to the account of its subject and returns the answer. `limit` is the
    /// limit over all nodes. This node grants only the fraction of it that follows from
    /// `visible_nodes`, except for the crashes of a request.
    pub fn answer(
        &mut self,
        request: &QuotaRequest,
        limit: QuotaLimit,
        visible_nodes: VisibleNodes,
        now: Instant,
    ) -> QuotaAnswer {
        if matches!(request.subject, Subject::Request(_)) {
            self.drop_old_requests(now);
        }
        let started = match &request.subject {
            Subject::Tenant(_) => self.started,
            // Calls to a runner before it advertised its limit are not counted.
            Subject::Runner(_) | Subject::Request(_) => now,
        };
        let (bucket, limit) = match &request.subject {
            // Each owner grants the whole limit on crashes, also in a network partition: only
            // few crashes are tolerated, and a fraction of them would be less than one crash.
            Subject::Request(_) => (TokenBucket::full(limit, now), limit),
            _ => (
                TokenBucket::empty(started),
                limit.scaled(visible_nodes.limit_fraction()),
            ),
        };
        let account = self
            .accounts
            .entry(request.subject.clone())
            .or_insert_with(|| Account::new(bucket, started));
        if let Some(asked_ms) = request.other_owner_asked_ms {
            let ago = Duration::from_millis(asked_ms.into());
            account.note_other_owner(now.checked_sub(ago).unwrap_or(started), now);
        }
        let cost = request.cost as f64;
        let fraction = account.count(&request.node, cost, now);
        let reserve =
            (fraction * limit.per_second * self.failure_detection_time.as_secs_f64()) as u64;
        match account.try_charge(request, limit, now) {
            Ok(()) => QuotaAnswer::Granted { reserve },
            Err(wait) => QuotaAnswer::Denied {
                wait_ms: u32::try_from(wait.as_millis() + 1).unwrap_or(u32::MAX),
                reserve,
            },
        }
    }
}
