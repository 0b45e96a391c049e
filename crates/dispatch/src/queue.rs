//! Requests that wait for a runner.

use std::time::Instant;

use barleyspar_catalog::ModelReference;

use crate::query::{Query, RefusalReason, Ticket};

/// A request that waits.
#[derive(Debug)]
pub struct Waiting {
    /// Its ticket.
    pub ticket: Ticket,
    /// What it wants.
    pub query: Query,
    /// Since when it waits.
    pub since: Instant,
    /// When it is refused if nothing came up.
    pub refuse_at: Instant,
    /// The reason it is given then.
    pub reason: RefusalReason,
}

/// Waiting requests, most urgent first; among equals, the earliest deadline.
#[derive(Debug, Default)]
pub struct Queue {
    entries: Vec<Waiting>,
}

impl Queue {
    /// Puts a request into its place.
    pub fn push(&mut self, waiting: Waiting) {
        let key = |entry: &Waiting| (entry.query.priority, entry.query.deadline, entry.ticket);
        let place = self
            .entries
            .partition_point(|entry| key(entry) <= key(&waiting));
        self.entries.insert(place, waiting);
    }

    /// Takes out the request with this ticket.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let place = self
            .entries
            .iter()
            .position(|entry| entry.ticket == ticket)?;
        Some(self.entries.remove(place))
    }

    /// Takes out everything, in order.
    pub fn take(&mut self) -> Vec<Waiting> {
        std::mem::take(&mut self.entries)
    }

    /// Puts back what [`Self::take`] took, in the same order.
    pub fn restore(&mut self, entries: Vec<Waiting>) {
        self.entries = entries;
    }

    /// Requests of `service` that wait for `wanted`.
    pub fn wanting(&self, service: &str, wanted: &ModelReference) -> usize {
        let wants =
            |query: &Query| *query.service == *service && query.wanted.as_ref() == Some(wanted);
        let waiting = self.entries.iter().filter(|entry| wants(&entry.query));
        waiting.count()
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// The earliest moment at which a request is refused.
    pub fn next_refusal(&self) -> Option<Instant> {
        self.entries.iter().map(|entry| entry.refuse_at).min()
    }
}
