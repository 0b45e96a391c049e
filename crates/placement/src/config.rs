//! Settings of placement.

use std::time::Duration;

/// Times and numbers of placement.
#[derive(Debug, Clone)]
pub struct PlacementConfig {
    /// Pause between two rounds of the coordinator.
    pub coordinator_interval: Duration,
    /// Pause between two reads of the machine list.
    pub machine_list_interval: Duration,
    /// Successive lists a runner must be missing from before it is forgotten.
    pub absences_before_removal: u32,
    /// Pause between two looks of a keeper at its runner.
    pub keeper_interval: Duration,
    /// Longest wait of one inventory read.
    pub inventory_wait: Duration,
    /// Shortest time between two inventory reads while nothing is being loaded
    /// or unloaded: a busy engine's inventory changes with every request.
    pub inventory_pace: Duration,
    /// Takeovers one node makes at once.
    pub takeovers_at_once: usize,
    /// Time after which runners of a zone without working members are kept by
    /// members of other zones.
    pub orphan_zone_delay: Duration,
    /// Longest random pause before a takeover.
    pub takeover_jitter: Duration,
    /// Shortest pause after a failed or fenced takeover.
    pub shortest_takeover_pause: Duration,
    /// Longest pause after repeated ones.
    pub longest_takeover_pause: Duration,
    /// Time a replica is kept after its last use if its policy does not say.
    pub default_keep_alive: Duration,
    /// Time a replica must have been idle before it may make room for another.
    pub shortest_residency: Duration,
    /// Time for a call to another node's keeper, beyond the wait it asks for.
    pub peer_time_limit: Duration,
    /// When to try again after a refusal for want of memory.
    pub retry_after: Duration,
    /// Members of a zone that read the machine list for notices.
    pub list_readers_per_zone: usize,
}

impl Default for PlacementConfig {
    fn default() -> Self {
        Self {
            coordinator_interval: Duration::from_secs(1),
            machine_list_interval: Duration::from_secs(2),
            absences_before_removal: 3,
            keeper_interval: Duration::from_millis(500),
            inventory_wait: Duration::from_secs(15),
            inventory_pace: Duration::from_secs(2),
            takeovers_at_once: 4,
            orphan_zone_delay: Duration::from_secs(10),
            takeover_jitter: Duration::from_millis(300),
            shortest_takeover_pause: Duration::from_millis(500),
            longest_takeover_pause: Duration::from_secs(10),
            default_keep_alive: Duration::from_secs(120),
            shortest_residency: Duration::from_secs(1),
            peer_time_limit: Duration::from_secs(2),
            retry_after: Duration::from_secs(2),
            list_readers_per_zone: 1,
        }
    }
}
