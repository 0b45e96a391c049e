//! How long a load is expected to take, corrected by what was seen.

use std::collections::BTreeMap;
use std::time::Duration;

use barleyspar_platform::engine::CacheTier;

const BYTES_PER_GIB: f64 = 1024.0 * 1024.0 * 1024.0;
/// Weight of the newest observation.
const NEWEST_WEIGHT: f64 = 0.3;

/// Seconds per GiB for each place a checkpoint may be loaded from.
#[derive(Debug, Clone)]
pub struct LoadEstimate {
    seconds_per_gib: BTreeMap<CacheTier, f64>,
}

impl Default for LoadEstimate {
    /// Starting values; the first few loads replace them.
    fn default() -> Self {
        Self {
            seconds_per_gib: BTreeMap::from([
                (CacheTier::Memory, 0.1),
                (CacheTier::Disk, 0.4),
                (CacheTier::Remote, 1.0),
            ]),
        }
    }
}

impl LoadEstimate {
    /// Expected time to load `bytes` from `tier`.
    pub fn expect(&self, tier: CacheTier, bytes: u64) -> Duration {
        let rate = self.seconds_per_gib.get(&tier).copied().unwrap_or(1.0);
        Duration::from_secs_f64(rate * bytes as f64 / BYTES_PER_GIB)
    }

    /// Takes in that loading `bytes` from `tier` took `seen`.
    pub fn observe(&mut self, tier: CacheTier, bytes: u64, seen: Duration) {
        if bytes == 0 {
            return;
        }
        let rate = seen.as_secs_f64() * BYTES_PER_GIB / bytes as f64;
        let known = self.seconds_per_gib.entry(tier).or_insert(rate);
        *known += NEWEST_WEIGHT * (rate - *known);
    }
}
