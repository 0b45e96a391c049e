//! What a node keeps of the limits that it asks about: whom it asks, what it may take
//! while nobody answers, and what it was granted and did not use.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::messages::{RUNNER_KEPT_FOR, Subject};

/// Time for which units that a request was granted and did not use, since it was
/// not run, may serve another one.
const KEPT_FOR: Duration = Duration::from_secs(1);

/// Time for which a reserve holds: that in which the owner counts what a node asked
/// for, so that the parts of the nodes that have one add up to the whole.
const RESERVED_FOR: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct Entry {
    owner: Option<Arc<str>>,
    /// When that owner was asked last.
    asked: Option<Instant>,
    /// When another owner was asked last.
    elsewhere: Option<Instant>,
    reserve: u64,
    reserve_until: Option<Instant>,
    unused: u64,
    unused_until: Option<Instant>,
}

/// What one node keeps of each limit.
#[derive(Debug)]
pub struct QuotaLedger {
    window: Duration,
    entries: HashMap<Subject, Entry>,
}

impl QuotaLedger {
    /// An empty ledger, where tenants' requests are counted in this `window`.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            entries: HashMap::new(),
        }
    }

    /// Forgets tenants that `known` does not name, and runners that nobody calls.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool, now: Instant) {
        let is_called = |asked: Option<Instant>| {
            asked.is_some_and(|at| now.saturating_duration_since(at) < RUNNER_KEPT_FOR)
        };
        self.entries.retain(|subject, entry| match subject {
            Subject::Tenant(name) => known(name),
            Subject::Runner(_) | Subject::Request(_) => is_called(entry.asked),
        });
    }

    fn entry(&mut self, subject: &Subject) -> &mut Entry {
        self.entries.entry(subject.clone()).or_default()
    }

    /// Notes that `owner` is asked about `subject`. The milliseconds since another
    /// one was asked last, if that is not longer ago than a window.
    pub fn asks(&mut self, subject: &Subject, owner: &Arc<str>, now: Instant) -> Option<u32> {
        let window = self.window;
        let entry = self.entry(subject);
        let moved = entry.owner.as_ref().is_some_and(|former| former != owner);
        if moved {
            entry.elsewhere = entry.asked;
        }
        entry.owner = Some(owner.clone());
        entry.asked = Some(now);
        let ago = now.saturating_duration_since(entry.elsewhere?);
        (ago < window).then_some(ago.as_millis() as u32)
    }

    /// Takes in what may be taken without asking.
    pub fn set_reserve(&mut self, subject: &Subject, reserve: u64, now: Instant) {
        let entry = self.entry(subject);
        entry.reserve = reserve;
        entry.reserve_until = Some(now + RESERVED_FOR);
    }

    /// Takes `cost` from what may be taken without asking. Of less than `cost` it
    /// becomes a request by chance, so that the reserves of many nodes, of which
    /// none is worth a request, still are what they are together. `draw` is a
    /// random number from 0 to 1.
    pub fn take_reserve(&mut self, subject: &Subject, cost: u64, draw: f64, now: Instant) -> bool {
        let entry = self.entry(subject);
        if entry.reserve_until.is_none_or(|until| until <= now) {
            return false;
        }
        let reserve = &mut entry.reserve;
        if take(reserve, cost) {
            return true;
        }
        let left = std::mem::take(reserve);
        draw * (cost as f64) < left as f64
    }

    /// Takes back `cost` that was granted and not used.
    pub fn give_back(&mut self, subject: &Subject, cost: u64, now: Instant) {
        let entry = self.entry(subject);
        if entry.unused_until.is_none_or(|until| until <= now) {
            entry.unused = 0;
        }
        entry.unused += cost;
        entry.unused_until = Some(now + KEPT_FOR);
    }

    /// Takes `cost` from what was granted lately and not used.
    pub fn take_unused(&mut self, subject: &Subject, cost: u64, now: Instant) -> bool {
        let entry = self.entry(subject);
        entry.unused_until.is_some_and(|until| now < until) && take(&mut entry.unused, cost)
    }
}

fn take(units: &mut u64, cost: u64) -> bool {
    let enough = *units >= cost;
    if enough {
        *units -= cost;
    }
    enough
}
