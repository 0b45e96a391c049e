//! The time that a caller has: how long a request may wait so that its answer still arrives,
//! and when a refused client should come back.

use std::time::{Duration, Instant};

use barleyspar_domain::rendezvous_weight;

/// Time that an answer takes to its client, which has to be there before the client leaves.
/// Covers the network and a gateway that is busy at that moment.
const RETURN_TIME: Duration = Duration::from_millis(150);
/// Divisor of the time until the deadline: clients put off a retry for a third of that time
/// at most, as the platform promises, whatever they are told.
const RETRY_AFTER_DIVISOR: u32 = 3;
/// Time after which clients give up a request that the gateway has not read, as the platform
/// promises, or after a third of the time that they have, if that is shorter.
const UNREAD_PATIENCE: Duration = Duration::from_secs(1);
const UNREAD_PATIENCE_DIVISOR: u32 = 3;

/// Returns the time for which a request with `time_left` may wait before its body is read.
pub fn unread_patience(time_left: Duration) -> Duration {
    before_return(UNREAD_PATIENCE.min(time_left / UNREAD_PATIENCE_DIVISOR))
}

/// Returns the time by which a request needs its answer, or its refusal, if its client leaves
/// at `leaves_at`. A request with little time left has half of it.
pub fn answer_due_at(leaves_at: Instant, now: Instant) -> Instant {
    now + before_return(leaves_at.saturating_duration_since(now))
}

/// Returns the part of `time` that is left once an answer's way to its client is taken off.
fn before_return(time: Duration) -> Duration {
    (time / 2).max(time.saturating_sub(RETURN_TIME))
}

/// Returns the time after which a client should come back that can be served after `ready_in`
/// and has `time_left` until its deadline.
pub fn retry_after(ready_in: Duration, time_left: Duration) -> Duration {
    ready_in.min(time_left / RETRY_AFTER_DIVISOR)
}

/// Returns the time after which a client should come back if nothing is known of when it can
/// be served: spread by `seed` over the time for which clients put off a retry, so that
/// clients that are refused together do not come back together.
pub fn spread_retry_after(time_left: Duration, seed: &impl std::hash::Hash) -> Duration {
    let fraction = rendezvous_weight(seed, "retry") as f64 / u64::MAX as f64;
    (time_left / RETRY_AFTER_DIVISOR).mul_f64(fraction)
}

#[cfg(test)]
#[path = "callers_time_tests.rs"]
mod tests;
