//! Brittle services: their runners crash if they have to reject many requests for lack of
//! room, so that no more is sent to them than they can run.
//!
//! The runners say so in their answers, all of a service alike, and nodes tell each other.
//! While a service is brittle its slots are divided among the nodes, which needs no message:
//! slots are numbered over all runners of the service in the order of their ids, and dealt to
//! the nodes in turn. So every node gets as many as any other, and no runner gets more requests
//! than it has slots, whatever the nodes know of each other's load.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::dispatcher::Dispatcher;
use crate::runner::RunnerEntry;

/// Fraction of a runner's slots that is dealt to the nodes. The rest covers requests that have
/// ended for their node and not yet for the runner.
const DEALT_FRACTION: f64 = 0.9;
/// Time for which a runner of a brittle service that rejected a request for lack of room gets no
/// more of them from this node: rejections are counted within a second.
pub(crate) const BRITTLE_BUSY_TIME: Duration = Duration::from_millis(1200);
/// Time for which nodes tell each other that a service is not brittle any more; covers several
/// messages.
const END_BROADCAST_TIME: Duration = Duration::from_secs(3);

/// What runners of a service said last of its state.
#[derive(Debug, Clone, Copy)]
struct Statement {
    /// Number of rejections for lack of room within a second that a runner survives; `None` if
    /// the service is not brittle.
    tolerated: Option<u32>,
    at: Instant,
}

/// What is known of a brittle service, as nodes report it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittleUpdate {
    /// Name of the service.
    pub service: Arc<str>,
    /// Number of rejections for lack of room within a second that a runner survives; `None` if
    /// the service is not brittle any more.
    pub tolerated: Option<u32>,
    /// Milliseconds from the runner's answer to the update.
    pub age_ms: u32,
}

/// The services of which a runner has ever said that it is brittle.
#[derive(Debug, Default)]
pub struct BrittleServices {
    statements: HashMap<Arc<str>, Statement>,
}

impl BrittleServices {
    /// Whether the runners of `service` are brittle, as far as is known.
    pub fn contains(&self, service: &str) -> bool {
        let statement = self.statements.get(service);
        statement.is_some_and(|statement| statement.tolerated.is_some())
    }

    /// Records what a runner of `service` said at `at`. Returns whether that changes whether
    /// the service is brittle.
    fn record(&mut self, service: &Arc<str>, tolerated: Option<u32>, at: Instant) -> bool {
        let was_brittle = self.contains(service);
        let known = self.statements.get(service);
        let is_news = match known {
            Some(known) => known.at < at,
            None => tolerated.is_some(),
        };
        if is_news {
            let statement = Statement { tolerated, at };
            self.statements.insert(service.clone(), statement);
        }
        was_brittle != self.contains(service)
    }

    fn updates(&self, now: Instant) -> Vec<BrittleUpdate> {
        let age = |statement: &Statement| now.saturating_duration_since(statement.at);
        let told = self.statements.iter().filter(|(_, statement)| {
            statement.tolerated.is_some() || age(statement) < END_BROADCAST_TIME
        });
        told.map(|(service, statement)| BrittleUpdate {
            service: service.clone(),
            tolerated: statement.tolerated,
            age_ms: u32::try_from(age(statement).as_millis()).unwrap_or(u32::MAX),
        })
        .collect()
    }
}

impl Dispatcher {
    /// Records what the runner `id` said at `at` of its service: how many rejections for lack
    /// of room within a second it survives, or `None` if it is not brittle. Returns the service
    /// if it becomes brittle or ceases to be.
    pub fn record_brittle(
        &mut self,
        id: &str,
        tolerated: Option<u32>,
        at: Instant,
    ) -> Option<Arc<str>> {
        let service = self.runners.get(id)?.runner.service.clone();
        self.brittle
            .record(&service, tolerated, at)
            .then_some(service)
    }

    /// Applies the updates of another node. Returns the services that become brittle or cease
    /// to be.
    pub fn apply_brittle_updates(
        &mut self,
        updates: Vec<BrittleUpdate>,
        now: Instant,
    ) -> Vec<Arc<str>> {
        let changed = updates.into_iter().filter(|update| {
            let age = Duration::from_millis(update.age_ms.into());
            let is_known = self.configuration.services.contains_key(&update.service);
            let at = now.checked_sub(age).filter(|_| is_known);
            at.is_some_and(|at| self.brittle.record(&update.service, update.tolerated, at))
        });
        changed.map(|update| update.service).collect()
    }

    /// Returns the services that are brittle, as far as is known.
    pub fn brittle_services(&self) -> impl Iterator<Item = Arc<str>> {
        let services = self.brittle.statements.keys();
        services
            .filter(|service| self.brittle.contains(service))
            .cloned()
    }

    /// Returns what other nodes are to be told of brittle services now.
    pub fn brittle_updates(&self, now: Instant) -> Vec<BrittleUpdate> {
        self.brittle.updates(now)
    }

    /// Whether one more request of this node at the runner leaves it room, if its service is
    /// brittle.
    pub(crate) fn is_within_brittle_share(&self, entry: &RunnerEntry) -> bool {
        if !self.brittle.contains(&entry.runner.service) {
            return true;
        }
        let share = self.brittle_share(entry);
        entry.in_flight < share || (share == 0 && self.may_use_spare_slot(entry))
    }

    /// Whether a node with no share of the runner's slots may send it a request: at most one at
    /// a time, while half of the slots are free. That is so only where the nodes without a share
    /// are fewer than that half, so that even all of them at once find room.
    fn may_use_spare_slot(&self, entry: &RunnerEntry) -> bool {
        let slots = entry.runner.slots.get();
        let without_share = (self.node_count() as u32).saturating_sub(dealt_slots(slots));
        let is_mostly_free = entry.total_in_flight() * 2 < slots;
        entry.in_flight == 0 && is_mostly_free && without_share * 2 < slots
    }

    /// Number of the runner's slots that are dealt to this node.
    fn brittle_share(&self, entry: &RunnerEntry) -> u32 {
        let runners_before = self.runners.range(..entry.runner.id.clone());
        let slots_before = runners_before
            .filter(|(_, before)| before.runner.service == entry.runner.service)
            .map(|(_, before)| u64::from(dealt_slots(before.runner.slots.get())))
            .sum();
        let members_before = self.members.iter().filter(|member| **member < self.name);
        let position = members_before.count() as u64;
        let nodes = self.node_count() as u64;
        let slots_end = slots_before + u64::from(dealt_slots(entry.runner.slots.get()));
        let dealt_until = |slot: u64| (slot + nodes - 1 - position) / nodes;
        (dealt_until(slots_end) - dealt_until(slots_before)) as u32
    }
}

/// Returns how many of a runner's slots are dealt to the nodes.
fn dealt_slots(slots: u32) -> u32 {
    ((f64::from(slots) * DEALT_FRACTION) as u32).max(1)
}

#[cfg(test)]
#[path = "brittle_tests.rs"]
mod tests;
