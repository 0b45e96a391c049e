//! One node's list of quarantined requests: requests that are sent to no runner because
//! they are considered to crash runners.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::Fingerprint;

/// Maximum number of requests in the list, which takes 64 KB.
const MAXIMUM_ENTRIES: usize = 1024;
/// Number of the most recently added requests that each message to other nodes contains.
const NEWEST_PER_MESSAGE: usize = 8;
/// Number of requests that each message to other nodes contains in addition to the most
/// recently added ones. They change from message to message, so that a node that has just
/// started receives the whole list.
const OTHERS_PER_MESSAGE: usize = 8;
/// Minimum time by which a new end of a quarantine must be after the known end to replace it.
/// Nodes relay the updates that they receive, and each relay delays the end a little.
const MINIMUM_EXTENSION: Duration = Duration::from_secs(30);

/// Update on one quarantined request, which nodes broadcast to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineUpdate {
    /// Fingerprint of the quarantined request.
    pub request: Fingerprint,
    /// Time until the quarantine ends, in milliseconds.
    pub remaining_ms: u32,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    /// Time from which the request may be sent to runners again.
    until: Instant,
    /// Time at which this node added the request or last extended its quarantine.
    added: Instant,
}

/// The quarantined requests that one node knows, with the ends of their quarantines.
#[derive(Debug, Default)]
pub struct Quarantine {
    entries: BTreeMap<Fingerprint, Entry>,
}

impl Quarantine {
    /// Quarantines `request` until `until`. Returns whether the request was not quarantined
    /// before, or its quarantine ends considerably later than before.
    pub fn add(&mut self, request: Fingerprint, until: Instant, now: Instant) -> bool {
        self.entries.retain(|_, entry| entry.until > now);
        let known = self.entries.get(&request);
        if until <= now || known.is_some_and(|known| until < known.until + MINIMUM_EXTENSION) {
            return false;
        }
        let entry = Entry { until, added: now };
        self.entries.insert(request, entry);
        if self.entries.len() > MAXIMUM_ENTRIES {
            self.remove_first_to_end();
        }
        true
    }

    /// Ends the quarantine of `request`. Returns whether it was quarantined.
    pub fn remove(&mut self, request: Fingerprint) -> bool {
        self.entries.remove(&request).is_some()
    }

    fn remove_first_to_end(&mut self) {
        let first_to_end = self.entries.iter().min_by_key(|(_, entry)| entry.until);
        if let Some(request) = first_to_end.map(|(request, _)| *request) {
            self.entries.remove(&request);
        }
    }

    /// Applies updates from another node. Returns the requests whose quarantine is new or
    /// was extended.
    pub fn apply_updates(
        &mut self,
        updates: &[QuarantineUpdate],
        now: Instant,
    ) -> Vec<Fingerprint> {
        let ends = updates.iter().filter_map(|update| {
            let remaining = Duration::from_millis(update.remaining_ms.into());
            Some((update.request, now.checked_add(remaining)?))
        });
        ends.filter(|(request, until)| self.add(*request, *until, now))
            .map(|(request, _)| request)
            .collect()
    }

    /// Returns the time until the quarantine of `request` ends; `None` if it is not
    /// quarantined.
    pub fn remaining(&self, request: Fingerprint, now: Instant) -> Option<Duration> {
        let entry = self.entries.get(&request)?;
        let remaining = entry.until.saturating_duration_since(now);
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Returns the updates for the message to other nodes with the number `round`: the newest
    /// quarantines, and some of the older ones, in rotation by `round`.
    pub fn updates_for_round(&self, round: usize, now: Instant) -> Vec<QuarantineUpdate> {
        let mut entries: Vec<(Fingerprint, Entry)> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.until > now)
            .map(|(request, entry)| (*request, *entry))
            .collect();
        entries.sort_by_key(|(_, entry)| std::cmp::Reverse(entry.added));
        let others = entries.split_off(entries.len().min(NEWEST_PER_MESSAGE));
        let rounds = others.chunks(OTHERS_PER_MESSAGE).len().max(1);
        let rotating = others.chunks(OTHERS_PER_MESSAGE).nth(round % rounds);
        entries
            .iter()
            .chain(rotating.unwrap_or_default())
            .map(|(request, entry)| QuarantineUpdate {
                request: *request,
                remaining_ms: milliseconds(entry.until.saturating_duration_since(now)),
            })
            .collect()
    }
}

fn milliseconds(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
