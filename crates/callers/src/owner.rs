//! The owner of a limit: the one node that counts what all nodes take from a tenant,
//! send a rate-limited runner, or saw crash under a request.
//!
//! All nodes pick the same owner from the nodes that they hear. Those that hear
//! different ones, across a partition, pick several. One group at most is more
//! than half of all and has the whole limit; each other one has so little that
//! all of them together stay within the promised overage, whoever is cut off
//! from whom.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_domain::part_left;

use crate::bucket::{QuotaLimit, TokenBucket};
use crate::crashes::{FORGIVEN_IN_SECONDS, TOLERATED_WEIGHT};
use crate::messages::{QuotaAnswer, QuotaRequest, RUNNER_KEPT_FOR, Subject};

/// Time in which what a node asked for counts half as much.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Part of all asking below which a node is forgotten.
const FORGOTTEN_PART: f64 = 1e-4;

/// What a group of half of all nodes or less may grant, as a part of its part of
/// the limit: together at most a tenth of it, beside a group that grants it whole.
const MINORITY_PART: f64 = 0.1;

/// How many of all nodes an owner hears, itself included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Nodes that it hears.
    pub heard: usize,
    /// All nodes that there are.
    pub nodes: usize,
}

impl Share {
    /// The part of the limit that such an owner grants, 0 to 1.
    pub fn part(self) -> f64 {
        if self.heard * 2 > self.nodes {
            return 1.0;
        }
        MINORITY_PART * self.heard as f64 / self.nodes.max(1) as f64
    }
}

/// Units asked for lately, fading.
#[derive(Debug, Clone, Copy)]
struct Asked {
    units: f64,
    at: Instant,
}

impl Asked {
    fn at(self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.units * part_left(age, HALF_LIFE)
    }

    fn add(&mut self, units: f64, now: Instant) {
        self.units = self.at(now) + units;
        self.at = now;
    }
}

/// Accounts, some 2 MB, from which on those of requests are kept for a shorter time.
const MANY_ACCOUNTS: usize = 10_000;
/// Time for which the account of a request is kept then.
const REQUEST_KEPT_AT_LEAST: Duration = Duration::from_secs(60);
/// Time for which it is kept otherwise: until all that it collected has come back.
const REQUEST_KEPT_FOR: Duration =
    Duration::from_secs((TOLERATED_WEIGHT * FORGIVEN_IN_SECONDS) as u64);

#[derive(Debug)]
struct Account {
    bucket: TokenBucket,
    /// Units that were taken once, by what they were taken for.
    taken_once: HashMap<Arc<str>, u64>,
    /// Since when no other owner is known to have been asked.
    alone_since: Instant,
    asked: Asked,
    nodes: HashMap<Arc<str>, Asked>,
}

impl Account {
    fn new(bucket: TokenBucket, started: Instant) -> Self {
        Self {
            bucket,
            taken_once: HashMap::new(),
            alone_since: started,
            asked: Asked {
                units: 0.0,
                at: started,
            },
            nodes: HashMap::new(),
        }
    }

    fn was_asked_within(&self, time: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.asked.at) < time
    }

    /// A node asked another owner at `at`. If that is news, what that owner granted
    /// is not known here, and this one starts with nothing.
    fn heard_of_other_owner(&mut self, at: Instant, now: Instant) {
        if at > self.alone_since {
            self.bucket = TokenBucket::empty(now);
            self.alone_since = now;
        }
    }

    /// Takes the units of `request`, or says when that will be possible.
    fn take(
        &mut self,
        request: &QuotaRequest,
        limit: QuotaLimit,
        now: Instant,
    ) -> Result<(), Duration> {
        let Some(once_for) = &request.once_for else {
            return self.bucket.take(request.cost as f64, limit, now);
        };
        let taken = self.taken_once.get(once_for).copied().unwrap_or(0);
        if request.cost > taken {
            self.bucket
                .take((request.cost - taken) as f64, limit, now)?;
            self.taken_once.insert(once_for.clone(), request.cost);
        }
        Ok(())
    }

    /// Counts that `node` asks for `units`; the part of all asking that is its.
    fn count(&mut self, node: &Arc<str>, units: f64, now: Instant) -> f64 {
        self.asked.add(units, now);
        let all = self.asked.at(now).max(f64::EPSILON);
        let of_node = self.nodes.entry(node.clone()).or_insert(Asked {
            units: 0.0,
            at: now,
        });
        of_node.add(units, now);
        let part = of_node.at(now) / all;
        self.nodes
            .retain(|_, asked| asked.at(now) / all > FORGOTTEN_PART);
        part.min(1.0)
    }
}

/// The accounts of the limits whose owner this node is.
#[derive(Debug)]
pub struct QuotaOwner {
    started: Instant,
    /// Time for which nodes go on by their reserves when this node falls silent.
    reserved_for: Duration,
    accounts: HashMap<Subject, Account>,
}

impl QuotaOwner {
    /// An owner that started at `started` and whose silence is noticed within
    /// `reserved_for`. What was granted before it started is not known to it, so
    /// its accounts start empty.
    pub fn new(started: Instant, reserved_for: Duration) -> Self {
        Self {
            started,
            reserved_for,
            accounts: HashMap::new(),
        }
    }

    /// Forgets tenants that `known` does not name, and runners that nobody calls.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool, now: Instant) {
        self.accounts.retain(|subject, account| match subject {
            Subject::Tenant(name) => known(name),
            Subject::Runner(_) => account.was_asked_within(RUNNER_KEPT_FOR, now),
            Subject::Request(_) => account.was_asked_within(REQUEST_KEPT_FOR, now),
        });
    }

    /// Makes room for the account of one more request.
    fn forget_requests(&mut self, now: Instant) {
        if self.accounts.len() >= MANY_ACCOUNTS {
            self.accounts.retain(|subject, account| {
                !matches!(subject, Subject::Request(_))
                    || account.was_asked_within(REQUEST_KEPT_AT_LEAST, now)
            });
        }
    }

    /// Answers `request` against this limit over all nodes, for the `share` of them
    /// that this node hears.
    pub fn answer(
        &mut self,
        request: &QuotaRequest,
        limit: QuotaLimit,
        share: Share,
        now: Instant,
    ) -> QuotaAnswer {
        if matches!(request.subject, Subject::Request(_)) {
            self.forget_requests(now);
        }
        let started = match &request.subject {
            Subject::Tenant(_) => self.started,
            // What it was sent before it named its limit is not counted here.
            Subject::Runner(_) | Subject::Request(_) => now,
        };
        let (bucket, limit) = match &request.subject {
            // Two owners may each bear as many crashes; a part of so few would bear none.
            Subject::Request(_) => (TokenBucket::full(limit, now), limit),
            _ => (TokenBucket::empty(started), limit.scaled(share.part())),
        };
        let account = self
            .accounts
            .entry(request.subject.clone())
            .or_insert_with(|| Account::new(bucket, started));
        if let Some(elsewhere_ms) = request.elsewhere_ms {
            let ago = Duration::from_millis(elsewhere_ms.into());
            account.heard_of_other_owner(now.checked_sub(ago).unwrap_or(started), now);
        }
        let cost = request.cost as f64;
        let part = account.count(&request.node, cost, now);
        let reserve = (part * limit.per_second * self.reserved_for.as_secs_f64()) as u64;
        match account.take(request, limit, now) {
            Ok(()) => QuotaAnswer::Granted { reserve },
            Err(wait) => QuotaAnswer::Denied {
                wait_ms: u32::try_from(wait.as_millis() + 1).unwrap_or(u32::MAX),
                reserve,
            },
        }
    }
}
