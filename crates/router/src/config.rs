//! Settings of the router.

use std::time::Duration;

/// Times and numbers of the router.
#[derive(Debug, Clone)]
pub struct RouterConfig {
    /// Requests that may wait for one model or adapter at this node.
    pub maximum_waiting_per_target: usize,
    /// Requests that may wait at this node.
    pub maximum_waiting: usize,
    /// Requests that this node has at one replica at once.
    pub in_flight_per_replica: u32,
    /// Longest wait of one demand at a keeper.
    pub demand_wait: Duration,
    /// Longest wait of the watch over a replica that is ready. It may be long:
    /// the engine itself refuses what it no longer holds, and notices tell who
    /// is leaving. All nodes that use a model watch its keepers.
    pub ready_watch_wait: Duration,
    /// Time for a demand beyond its wait.
    pub peer_time_limit: Duration,
    /// Pause before a busy engine is tried again.
    pub busy_pause: Duration,
    /// Time after its last request that a target's replicas stay watched.
    pub watch_time: Duration,
    /// Attempts to resume one broken stream.
    pub resume_attempts: u32,
    /// Pause before a broken stream is resumed.
    pub resume_pause: Duration,
    /// Longest time between two chunks of an answer, attempts to resume it
    /// included; after that the caller is told that it broke off.
    pub longest_gap: Duration,
    /// Chunks buffered between an engine and its caller.
    pub chunk_buffer: usize,
    /// Retries allowed per 100 first attempts, over all requests.
    pub retry_percentage: u32,
    /// Failures in a row after which a runner is left alone for a while.
    pub breaker_failures: u32,
    /// How long it is left alone.
    pub breaker_pause: Duration,
    /// How long a claim on an idempotency key lasts.
    pub claim_time: Duration,
    /// When a refused caller is told to come back if nothing better is known.
    pub retry_after: Duration,
    /// In-flight requests by which a replica may be busier than the least busy
    /// one and still be preferred for its cached prefix or its zone.
    pub affinity_slack: u32,
}

impl Default for RouterConfig {
    fn default() -> Self {
        Self {
            maximum_waiting_per_target: 512,
            maximum_waiting: 4096,
            in_flight_per_replica: 64,
            demand_wait: Duration::from_secs(5),
            ready_watch_wait: Duration::from_secs(30),
            peer_time_limit: Duration::from_secs(2),
            busy_pause: Duration::from_millis(50),
            watch_time: Duration::from_secs(10),
            resume_attempts: 3,
            resume_pause: Duration::from_millis(50),
            longest_gap: Duration::from_secs(15),
            chunk_buffer: 64,
            retry_percentage: 20,
            breaker_failures: 3,
            breaker_pause: Duration::from_secs(2),
            claim_time: Duration::from_secs(24 * 3600),
            retry_after: Duration::from_secs(2),
            affinity_slack: 4,
        }
    }
}
