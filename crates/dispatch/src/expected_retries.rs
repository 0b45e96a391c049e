//! Refused clients that are expected to retry.

use std::collections::BTreeMap;
use std::time::Instant;

/// Largest number of clients that are counted at once for one model or adapter: more would
/// not change what is loaded.
const MAXIMUM_EXPECTED: usize = 256;

/// The clients that one node refused for one model or adapter, each until the time by which
/// it is expected to have retried.
#[derive(Debug, Default)]
pub(crate) struct ExpectedRetries {
    /// Number of clients by the time until which they count.
    by_time: BTreeMap<Instant, u32>,
}

impl ExpectedRetries {
    /// Counts a client until `until`. If too many are counted, it replaces the one that is
    /// expected next.
    pub(crate) fn expect(&mut self, until: Instant) {
        *self.by_time.entry(until).or_default() += 1;
        let total: u32 = self.by_time.values().sum();
        if total as usize > MAXIMUM_EXPECTED {
            self.remove_first();
        }
    }

    /// Drops the clients whose time to come back is over.
    pub(crate) fn remove_overdue(&mut self, now: Instant) {
        self.by_time.retain(|until, _| now < *until);
    }

    /// Returns the number of clients that are still expected at `now`.
    pub(crate) fn count(&self, now: Instant) -> u32 {
        let expected = self.by_time.iter().filter(|(until, _)| now < **until);
        expected.map(|(_, clients)| clients).sum()
    }

    fn remove_first(&mut self) {
        let Some(mut first) = self.by_time.first_entry() else {
            return;
        };
        *first.get_mut() -= 1;
        if *first.get() == 0 {
            first.remove();
        }
    }
}
