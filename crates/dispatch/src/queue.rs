//! The queue of requests that wait for a runner.

use std::time::Instant;

use barleyspar_catalog::ModelReference;

use crate::query::{Query, RefusalReason, Ticket};

/// A request that waits for a runner.
#[derive(Debug)]
pub struct WaitingRequest {
    /// Number of the request, unique within the queue and increasing with each queued
    /// request.
    pub ticket: Ticket,
    /// What the request needs of a runner.
    pub query: Query,
    /// When the request began to wait.
    pub waiting_since: Instant,
    /// When the request is refused if no runner can take it before.
    pub refuse_at: Instant,
    /// What kept the request from being served when it was last examined: the reason of
    /// its refusal.
    pub reason: RefusalReason,
}

/// Waiting requests, most urgent first; among equals, by deadline and then by ticket.
#[derive(Debug, Default)]
pub struct Queue {
    entries: Vec<WaitingRequest>,
}

impl Queue {
    /// Inserts a request at its position in the order.
    pub fn push(&mut self, waiting: WaitingRequest) {
        let key =
            |entry: &WaitingRequest| (entry.query.priority, entry.query.deadline, entry.ticket);
        let index = self
            .entries
            .partition_point(|entry| key(entry) <= key(&waiting));
        self.entries.insert(index, waiting);
    }

    /// Removes and returns the request with this ticket.
    pub fn remove(&mut self, ticket: Ticket) -> Option<WaitingRequest> {
        let index = self
            .entries
            .iter()
            .position(|entry| entry.ticket == ticket)?;
        Some(self.entries.remove(index))
    }

    /// Removes and returns all requests, in order.
    pub fn take_all(&mut self) -> Vec<WaitingRequest> {
        std::mem::take(&mut self.entries)
    }

    /// Puts back requests from [`Self::take_all`], in the same order.
    pub fn restore(&mut self, entries: Vec<WaitingRequest>) {
        self.entries = entries;
    }

    /// Counts the waiting requests of `service` for the model `wanted`.
    pub fn count_waiting_for(&self, service: &str, wanted: &ModelReference) -> usize {
        let matches =
            |query: &Query| *query.service == *service && query.wanted.as_ref() == Some(wanted);
        let waiting = self.entries.iter().filter(|entry| matches(&entry.query));
        waiting.count()
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
