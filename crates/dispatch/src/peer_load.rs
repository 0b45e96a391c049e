//! Attempts of other nodes in flight, as those said last.
//!
//! A message changes the sums only by what it says differently from the one
//! before it, so its cost does not grow with the nodes or the runners.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::runner::RunnerKey;

/// Time between two looks for sources that fell silent. A fraction of the
/// shortest time for which a message is believed (about a second).
const SWEEP: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Source {
    believed_until: Instant,
    in_flight: Vec<(RunnerKey, u32)>,
}

/// What all sources said last, and its sum by runner.
#[derive(Debug, Default)]
pub struct PeerLoads {
    sources: HashMap<Arc<str>, Source>,
    sums: HashMap<RunnerKey, u32>,
    swept_at: Option<Instant>,
}

impl PeerLoads {
    /// Takes in what `source` says, believed for `believed_for`; runners whose
    /// sums have changed.
    pub fn update(
        &mut self,
        source: Arc<str>,
        in_flight: Vec<(RunnerKey, u32)>,
        believed_for: Duration,
        now: Instant,
    ) -> Vec<RunnerKey> {
        let mut touched = self.sweep(now);
        for (key, count) in &in_flight {
            *self.sums.entry(*key).or_default() += count;
            touched.push(*key);
        }
        let latest = Source {
            believed_until: now + believed_for,
            in_flight,
        };
        if let Some(former) = self.sources.insert(source, latest) {
            self.subtract(former, &mut touched);
        }
        touched
    }

    /// Attempts of all other nodes in flight at the runner with this key.
    pub fn at(&self, key: RunnerKey) -> u32 {
        self.sums.get(&key).copied().unwrap_or(0)
    }

    /// Forgets sources that fell silent; runners whose sums have changed.
    fn sweep(&mut self, now: Instant) -> Vec<RunnerKey> {
        let mut touched = Vec::new();
        let swept_lately = self
            .swept_at
            .is_some_and(|at| now.saturating_duration_since(at) < SWEEP);
        if swept_lately {
            return touched;
        }
        self.swept_at = Some(now);
        let silent: Vec<Arc<str>> = self
            .sources
            .iter()
            .filter(|(_, source)| source.believed_until <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in silent {
            if let Some(source) = self.sources.remove(&name) {
                self.subtract(source, &mut touched);
            }
        }
        touched
    }

    fn subtract(&mut self, source: Source, touched: &mut Vec<RunnerKey>) {
        for (key, count) in source.in_flight {
            if let Some(sum) = self.sums.get_mut(&key) {
                *sum = sum.saturating_sub(count);
                if *sum == 0 {
                    self.sums.remove(&key);
                }
            }
            touched.push(key);
        }
    }
}

#[cfg(test)]
#[path = "peer_load_tests.rs"]
mod tests;
