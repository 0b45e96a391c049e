//! Attempts of other nodes in flight, as each reported them last.
//!
//! A message changes the sums only by its difference from the previous message of the
//! same node, so its cost does not grow with the number of nodes or of all runners.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_catalog::RunnerKey;

/// Time between two searches for expired reports: a fraction of the shortest time for
/// which a report is valid (about a second).
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Largest number of attempts in flight at one runner that is told apart from more: above the
/// slots of any runner.
const MOST_IN_FLIGHT: u32 = 1 << 20;

#[derive(Debug)]
struct LoadReport {
    valid_until: Instant,
    in_flight: Vec<(RunnerKey, u32)>,
}

/// The last report of each node, and their sums by runner.
#[derive(Debug, Default)]
pub struct PeerLoads {
    reports: HashMap<Arc<str>, LoadReport>,
    sums: HashMap<RunnerKey, u64>,
    swept_at: Option<Instant>,
}

impl PeerLoads {
    /// Replaces the report of the node `source`, valid for `valid_for`. Returns the
    /// runners whose sums may have changed.
    pub fn update(
        &mut self,
        source: Arc<str>,
        in_flight: Vec<(RunnerKey, u32)>,
        valid_for: Duration,
        now: Instant,
    ) -> Vec<RunnerKey> {
        let mut changed = self.drop_expired(now);
        for (key, count) in &in_flight {
            *self.sums.entry(*key).or_default() += u64::from(*count);
            changed.push(*key);
        }
        let latest = LoadReport {
            valid_until: now + valid_for,
            in_flight,
        };
        if let Some(previous) = self.reports.insert(source, latest) {
            self.subtract(previous, &mut changed);
        }
        changed
    }

    /// Returns the attempts of all other nodes in flight at the runner with this key, at most
    /// [`MOST_IN_FLIGHT`].
    pub fn in_flight_at(&self, key: RunnerKey) -> u32 {
        let sum = self.sums.get(&key).copied().unwrap_or(0);
        u32::try_from(sum).map_or(MOST_IN_FLIGHT, |sum| sum.min(MOST_IN_FLIGHT))
    }

    /// Drops the reports of nodes that were not heard from in time. Returns the runners
    /// whose sums may have changed.
    fn drop_expired(&mut self, now: Instant) -> Vec<RunnerKey> {
        let mut changed = Vec::new();
        let swept_recently = self
            .swept_at
            .is_some_and(|at| now.saturating_duration_since(at) < SWEEP_INTERVAL);
        if swept_recently {
            return changed;
        }
        self.swept_at = Some(now);
        let expired: Vec<Arc<str>> = self
            .reports
            .iter()
            .filter(|(_, report)| report.valid_until <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            if let Some(report) = self.reports.remove(&name) {
                self.subtract(report, &mut changed);
            }
        }
        changed
    }

    fn subtract(&mut self, report: LoadReport, changed: &mut Vec<RunnerKey>) {
        for (key, count) in report.in_flight {
            if let Some(sum) = self.sums.get_mut(&key) {
                *sum = sum.saturating_sub(count.into());
                if *sum == 0 {
                    self.sums.remove(&key);
                }
            }
            changed.push(key);
        }
    }
}

#[cfg(test)]
#[path = "peer_load_tests.rs"]
mod tests;
