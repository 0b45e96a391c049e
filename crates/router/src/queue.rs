//! Requests waiting for one target.

use std::collections::BTreeMap;

use barleyspar_domain::Verdict;
use tokio::time::Instant;

use crate::requests::{ModelRequest, Reply};

/// A waiting request.
#[derive(Debug)]
pub struct Entry {
    /// The request.
    pub request: ModelRequest,
    /// Where its outcome goes.
    pub reply: Reply,
    /// Attempts so far.
    pub attempts: u32,
    /// What is known over all attempts so far.
    pub verdict: Verdict,
}

/// Order of service: higher priority, then earlier deadline, then arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    priority: std::cmp::Reverse<i32>,
    deadline: Instant,
    arrival: u64,
}

/// Requests waiting for one target, in order of service.
///
/// Invariant: every entry leaves exactly once, by [`Self::pop`], by
/// [`Self::take_expired`] or by [`Self::drain`], and whoever takes it answers it.
#[derive(Debug, Default)]
pub struct Queue {
    entries: BTreeMap<Rank, Entry>,
    arrivals: u64,
}

impl Queue {
    /// Adds an entry.
    pub fn push(&mut self, entry: Entry) {
        self.arrivals += 1;
        let rank = Rank {
            priority: std::cmp::Reverse(entry.request.priority),
            deadline: entry.request.deadline,
            arrival: self.arrivals,
        };
        self.entries.insert(rank, entry);
    }

    /// Removes the entry to serve next.
    pub fn pop(&mut self) -> Option<Entry> {
        self.entries.pop_first().map(|(_, entry)| entry)
    }

    /// Removes the entry to serve last.
    pub fn pop_last(&mut self) -> Option<Entry> {
        self.entries.pop_last().map(|(_, entry)| entry)
    }

    /// Removes the entries whose deadline is at or before `time`.
    pub fn take_expired(&mut self, time: Instant) -> Vec<Entry> {
        let expired: Vec<Rank> = self
            .entries
            .keys()
            .filter(|rank| rank.deadline <= time)
            .copied()
            .collect();
        let removed = expired.iter().map(|rank| self.entries.remove(rank));
        removed.flatten().collect()
    }

    /// Removes the entries whose caller has gone away.
    pub fn take_abandoned(&mut self) -> Vec<Entry> {
        let gone: Vec<Rank> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.reply.is_closed())
            .map(|(rank, _)| *rank)
            .collect();
        let removed = gone.iter().map(|rank| self.entries.remove(rank));
        removed.flatten().collect()
    }

    /// Removes all entries.
    pub fn drain(&mut self) -> Vec<Entry> {
        std::mem::take(&mut self.entries).into_values().collect()
    }

    /// The lowest priority that waits.
    pub fn lowest_priority(&self) -> Option<i32> {
        self.entries.keys().next_back().map(|rank| rank.priority.0)
    }

    /// The earliest deadline.
    pub fn earliest_deadline(&self) -> Option<Instant> {
        self.entries.keys().map(|rank| rank.deadline).min()
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
