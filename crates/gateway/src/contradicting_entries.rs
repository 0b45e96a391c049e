//! Runners' entries that contradict what is known: of an earlier incarnation, or with an earlier
//! heartbeat. A state machine without I/O.
//!
//! Such an entry is usually a late write of what has passed, and the runner writes its present
//! entry again at its next heartbeat. If it does not, the store's entry is the present one: what
//! was known came from a writer that stated a later start, or heartbeat, than the runner has.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::{Revision, Runner};
use tokio::time::Instant;

/// Time within which a runner writes its entry again if the store shows another one: several
/// heartbeats.
const REWRITE_TIME: Duration = Duration::from_secs(5);

/// An entry that contradicts what is known of its runner.
#[derive(Debug)]
struct Contradicting {
    entry: Runner,
    revision: Revision,
    /// Latest heartbeat that was known of the runner when it arrived.
    known_heartbeat: u64,
    /// When the first one of its runner arrived that nothing has refuted.
    since: Instant,
}

/// The contradicting entries that the store shows, by the names of their runners.
#[derive(Debug, Default)]
pub struct ContradictingEntries {
    entries: HashMap<Arc<str>, Contradicting>,
}

impl ContradictingEntries {
    /// Records an entry that contradicts `known`, the latest one of its runner.
    pub fn record(&mut self, entry: Runner, revision: Revision, known: &Runner, now: Instant) {
        let earlier = self.entries.get(&entry.name);
        let since = earlier.map_or(now, |earlier| earlier.since);
        let known_heartbeat = self.latest_heartbeat(known);
        let name = entry.name.clone();
        let contradicting = Contradicting {
            entry,
            revision,
            known_heartbeat,
            since,
        };
        self.entries.insert(name, contradicting);
    }

    /// Returns the latest heartbeat of the runner whose entry in use is `known`.
    pub fn latest_heartbeat(&self, known: &Runner) -> u64 {
        let contradicted = self.entries.get(&known.name);
        let contradicted = contradicted.map_or(0, |entry| entry.known_heartbeat);
        known.heartbeat.max(contradicted)
    }

    /// Records that what is known of the runner was written again, or that its entry is gone.
    pub fn refute(&mut self, name: &str) {
        self.entries.remove(name);
    }

    /// Takes the entries that nothing has refuted for [`REWRITE_TIME`]. `complete_at`: the time
    /// before which no change of the store is missing here.
    pub fn take_confirmed(&mut self, complete_at: Instant) -> Vec<(Runner, Revision)> {
        let is_confirmed =
            |_: &Arc<str>, entry: &mut Contradicting| entry.since + REWRITE_TIME <= complete_at;
        let confirmed = self.entries.extract_if(is_confirmed);
        confirmed
            .map(|(_, entry)| (entry.entry, entry.revision))
            .collect()
    }
}

#[cfg(test)]
#[path = "contradicting_entries_tests.rs"]
mod tests;
