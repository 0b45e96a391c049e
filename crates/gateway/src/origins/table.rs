//! The origins that one node knows, bounded in number and age.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use barleyspar_catalog::SoftwareVersion;

use crate::origins::StreamKey;

/// Time for which an origin is kept: longer than any client takes a stream up again.
const KEPT_FOR: Duration = Duration::from_secs(120);
/// Largest number of origins that a node keeps (about 3 MB); beyond it the oldest are dropped.
const MAX_ORIGINS: usize = 20_000;

/// The origins of streams that this node knows.
#[derive(Debug, Default)]
pub struct OriginTable {
    /// Origin of each stream, and when it was recorded.
    origins: HashMap<StreamKey, (SoftwareVersion, Instant)>,
    /// Streams in the order in which they were recorded. A stream that was recorded again is
    /// listed twice; its first entry is then older than its origin.
    by_age: VecDeque<(Instant, StreamKey)>,
}

impl OriginTable {
    /// Records the origin of a stream, in place of an earlier one: a client that begins anew
    /// under the same id has another stream.
    pub fn record(&mut self, stream: StreamKey, software: SoftwareVersion, now: Instant) {
        self.origins.insert(stream, (software, now));
        self.by_age.push_back((now, stream));
        self.drop_old(now);
    }

    /// Returns the version that began the stream; `None` if it is not known.
    pub fn origin_of(&self, stream: StreamKey) -> Option<&SoftwareVersion> {
        self.origins.get(&stream).map(|(software, _)| software)
    }

    fn drop_old(&mut self, now: Instant) {
        while let Some((at, stream)) = self.by_age.front().copied()
            && (self.by_age.len() > MAX_ORIGINS || now.saturating_duration_since(at) > KEPT_FOR)
        {
            self.by_age.pop_front();
            if self
                .origins
                .get(&stream)
                .is_some_and(|(_, since)| *since == at)
            {
                self.origins.remove(&stream);
            }
        }
    }
}

#[cfg(test)]
#[path = "table_tests.rs"]
mod tests;
