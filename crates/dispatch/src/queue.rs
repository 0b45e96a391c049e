//! The queue of requests that wait for a runner.

use std::time::Instant;

use barleyspar_catalog::ModelReference;

use crate::query::{Query, RefusalReason, Ticket};
use crate::slot_shares::SlotShares;
use crate::turnover::WaitingTurns;

/// A request that waits for a runner.
#[derive(Debug)]
pub struct WaitingRequest {
    /// Number of the request, unique within the queue and increasing with each queued
    /// request.
    pub ticket: Ticket,
    /// What the request needs of a runner.
    pub query: Query,
    /// When the request is refused, or examined again, if no runner can take it before.
    pub refuse_at: Instant,
    /// What kept the request from being served when it was last examined: the reason of
    /// its refusal.
    pub reason: RefusalReason,
}

/// Waiting requests of all services, and what tenants were granted.
#[derive(Debug, Default)]
pub struct Queue {
    entries: Vec<WaitingRequest>,
    shares: SlotShares,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, waiting: WaitingRequest) {
        self.entries.push(waiting);
    }

    /// Counts an attempt that is granted a runner, whether it waited or not. One that follows
    /// an unsent attempt is counted already.
    pub fn record_grant(&mut self, query: &Query, now: Instant) {
        self.shares.charge(query, now);
    }

    /// Removes and returns the request with this ticket.
    pub fn remove(&mut self, ticket: Ticket) -> Option<WaitingRequest> {
        let index = self
            .entries
            .iter()
            .position(|entry| entry.ticket == ticket)?;
        Some(self.entries.remove(index))
    }

    /// Removes and returns all requests, in the order in which they are served.
    pub fn take_all(&mut self) -> Vec<WaitingRequest> {
        let mut entries = std::mem::take(&mut self.entries);
        self.shares.sort(&mut entries);
        entries
    }

    /// Puts back requests from [`Self::take_all`].
    pub fn restore(&mut self, entries: Vec<WaitingRequest>) {
        self.entries = entries;
    }

    /// Counts the waiting requests of the same group that are served before that of `ticket`.
    pub fn count_ahead(&mut self, ticket: Ticket) -> usize {
        self.shares.sort(&mut self.entries);
        let mut turns = WaitingTurns::default();
        for entry in &self.entries {
            let group = entry.query.slot_group();
            if entry.ticket == ticket {
                return turns.count(&group);
            }
            turns.add(group);
        }
        0
    }

    /// Counts the waiting requests of `service` for the model `wanted`.
    pub fn count_waiting_for(&self, service: &str, wanted: &ModelReference) -> usize {
        let matches =
            |query: &Query| *query.service == *service && query.wanted.as_ref() == Some(wanted);
        let waiting = self.entries.iter().filter(|entry| matches(&entry.query));
        waiting.count()
    }

    /// What the waiting requests need.
    pub fn queries(&self) -> impl Iterator<Item = &Query> {
        self.entries.iter().map(|entry| &entry.query)
    }

    /// Number of waiting requests of all services together.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// The earliest time at which a waiting request is due to be refused; `None` if none
    /// waits.
    pub fn next_refusal_at(&self) -> Option<Instant> {
        self.entries.iter().map(|entry| entry.refuse_at).min()
    }
}
