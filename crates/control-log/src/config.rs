//! Settings of the control log.

use std::time::Duration;

/// Times and numbers of the control log.
#[derive(Debug, Clone)]
pub struct ControlLogConfig {
    /// Longest wait of one watch on the key-value service.
    pub watch_wait: Duration,
    /// Entries read from the key-value service at once.
    pub read_batch: usize,
    /// Entries kept for peers that are a little behind.
    pub retained_entries: usize,
    /// Shortest pause after the key-value service failed.
    pub shortest_pause: Duration,
    /// Longest pause after it failed repeatedly.
    pub longest_pause: Duration,
    /// Time an append may take before it is given up as unknown.
    pub append_time_limit: Duration,
    /// Time for a call to another node.
    pub peer_time_limit: Duration,
    /// Members of a zone that watch the key-value service.
    pub watchers_per_zone: usize,
    /// A node that nobody answered for this long no longer acts on its copy.
    /// It must be shorter than the time after which members declare it dead.
    pub contact_time: Duration,
    /// Entries between two snapshots in the key-value service.
    pub snapshot_interval: u64,
}

impl Default for ControlLogConfig {
    fn default() -> Self {
        Self {
            watch_wait: Duration::from_secs(20),
            read_batch: 64,
            retained_entries: 512,
            shortest_pause: Duration::from_millis(200),
            longest_pause: Duration::from_secs(10),
            append_time_limit: Duration::from_secs(10),
            peer_time_limit: Duration::from_secs(2),
            watchers_per_zone: 2,
            contact_time: Duration::from_millis(3_500),
            snapshot_interval: 2_000,
        }
    }
}
