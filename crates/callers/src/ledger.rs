//! A node's records on the limits for which it asks limit owners: which owner it asked, the
//! reserve that it may use while the owner does not answer, and granted units that it did
//! not use.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::messages::{RUNNER_KEPT_FOR, Subject};

/// Time for which units granted to a request that did not run may be used for another one.
const UNUSED_KEPT_FOR: Duration = Duration::from_secs(1);

/// Time for which a reserve is valid. It matches the time over which the owner counts the
/// requests of a node, so that the reserves of all nodes add up to the whole limit.
const RESERVE_VALID_FOR: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct Entry {
    /// The owner that was asked last.
    owner: Option<Arc<str>>,
    /// Time of the last request to `owner`.
    last_asked: Option<Instant>,
    /// Time of the last request to the owner before `owner`.
    previous_owner_asked: Option<Instant>,
    /// Units that may be used without asking, until `reserve_until`.
    reserve: u64,
    reserve_until: Option<Instant>,
    /// Granted units that were not used, usable until `unused_until`.
    unused: u64,
    unused_until: Option<Instant>,
}

/// One node's records on all limits for which it asks limit owners.
#[derive(Debug)]
pub struct QuotaLedger {
    window: Duration,
    entries: HashMap<Subject, Entry>,
}

impl QuotaLedger {
    /// Returns an empty ledger. `window` is the time over which limits are counted: a
    /// previous owner asked longer ago is not reported.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            entries: HashMap::new(),
        }
    }

    /// Drops the records on tenants for which `is_known_tenant` returns false, and on runners
    /// and requests about which no owner was asked for `RUNNER_KEPT_FOR`.
    pub fn retain(&mut self, is_known_tenant: impl Fn(&str) -> bool, now: Instant) {
        let is_recent = |last_asked: Option<Instant>| {
            last_asked.is_some_and(|at| now.saturating_duration_since(at) < RUNNER_KEPT_FOR)
        };
        self.entries.retain(|subject, entry| match subject {
            Subject::Tenant(name) => is_known_tenant(name),
            Subject::Runner(_) | Subject::Request(_) => is_recent(entry.last_asked),
        });
    }

    fn entry(&mut self, subject: &Subject) -> &mut Entry {
        self.entries.entry(subject.clone()).or_default()
    }

    /// Records that `owner` is asked about `subject`. Returns the time since this node last
    /// asked the previous owner, in milliseconds; `None` if it has asked no other owner
    /// within the window.
    pub fn record_question(
        &mut self,
        subject: &Subject,
        owner: &Arc<str>,
        now: Instant,
    ) -> Option<u32> {
        let window = self.window;
        let entry = self.entry(subject);
        let owner_changed = entry
            .owner
            .as_ref()
            .is_some_and(|previous| previous != owner);
        if owner_changed {
            entry.previous_owner_asked = entry.last_asked;
        }
        entry.owner = Some(owner.clone());
        entry.last_asked = Some(now);
        let ago = now.saturating_duration_since(entry.previous_owner_asked?);
        (ago < window).then_some(ago.as_millis() as u32)
    }

    /// Stores the units that may be used for `subject` without asking, as its owner has
    /// granted them.
    pub fn set_reserve(&mut self, subject: &Subject, reserve: u64, now: Instant) {
        let entry = self.entry(subject);
        entry.reserve = reserve;
        entry.reserve_until = Some(now + RESERVE_VALID_FOR);
    }

    /// Takes `cost` units from the reserve for `subject` and returns whether the request may
    /// run. If the reserve holds fewer units, it is used up and the request is granted with a
    /// probability of reserve / `cost`. Many nodes' reserves that are each too small for a
    /// request are thus used in full on average. `draw` is a random number from 0 to 1.
    pub fn take_reserve(&mut self, subject: &Subject, cost: u64, draw: f64, now: Instant) -> bool {
        let entry = self.entry(subject);
        if entry.reserve_until.is_none_or(|until| until <= now) {
            return false;
        }
        let reserve = &mut entry.reserve;
        if take_if_enough(reserve, cost) {
            return true;
        }
        let remainder = std::mem::take(reserve);
        draw * (cost as f64) < remainder as f64
    }

    /// Returns `cost` granted but unused units to the ledger, for use by another request on
    /// `subject`.
    pub fn give_back(&mut self, subject: &Subject, cost: u64, now: Instant) {
        let entry = self.entry(subject);
        if entry.unused_until.is_none_or(|until| until <= now) {
            entry.unused = 0;
        }
        entry.unused += cost;
        entry.unused_until = Some(now + UNUSED_KEPT_FOR);
    }

    /// Takes `cost` units from those given back recently for `subject`, and returns whether
    /// there were enough.
    pub fn take_unused(&mut self, subject: &Subject, cost: u64, now: Instant) -> bool {
        let entry = self.entry(subject);
        entry.unused_until.is_some_and(|until| now < until)
            && take_if_enough(&mut entry.unused, cost)
    }
}

/// Takes `cost` from `units` if they suffice, and returns whether they did.
fn take_if_enough(units: &mut u64, cost: u64) -> bool {
    let enough = *units >= cost;
    if enough {
        *units -= cost;
    }
    enough
}
