//! The leader's right to order runners: a lease in the store, held by one node.
//!
//! The holder gives orders only while the lease is certain to be valid by its own
//! monotonic clock, and only after the time in which the last order of the previous
//! leader may still take effect.

use std::time::{Duration, Instant};

/// Safety margins applied to a lease.
#[derive(Debug, Clone, Copy)]
pub struct LeaseSettings {
    /// Time subtracted from the lease's time to live, to cover clock drift and network
    /// delay.
    pub margin: Duration,
    /// Time without orders after the last order that the previous leader may have given,
    /// so that this order can no longer take effect.
    pub quiet_period: Duration,
}

/// A lease held by this node.
#[derive(Debug, Clone, Copy)]
pub struct Lease {
    /// Id that the store gave the lease, by which calls to the store renew or end it.
    pub id: u64,
    /// Fencing token: the store's revision at which the lease was taken.
    pub fencing_token: u64,
    quiet_from: Instant,
    valid_until: Instant,
    settings: LeaseSettings,
}

impl Lease {
    /// Creates a lease granted for `time_to_live` by a call sent at `sent_at`. The
    /// previous leader is certain to have given no order after `quiet_from`.
    pub fn new(
        id: u64,
        token: u64,
        sent_at: Instant,
        time_to_live: Duration,
        quiet_from: Instant,
        settings: LeaseSettings,
    ) -> Self {
        Self {
            id,
            fencing_token: token,
            quiet_from,
            valid_until: certain_end(sent_at, time_to_live, settings),
            settings,
        }
    }

    /// Extends the lease after a successful renewal whose call was sent at `sent_at`. A
    /// renewal that ends earlier than the current validity changes nothing.
    pub fn extend(&mut self, sent_at: Instant, time_to_live: Duration) {
        self.valid_until = self
            .valid_until
            .max(certain_end(sent_at, time_to_live, self.settings));
    }

    /// Returns whether the lease is certain to be valid at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.valid_until
    }

    /// Returns whether this node may give orders at `now`: the lease is valid and the
    /// quiet period is over.
    pub fn may_order(&self, now: Instant) -> bool {
        self.is_valid(now) && now >= self.quiet_from + self.settings.quiet_period
    }
}

/// Returns until when a lease is certain to be valid whose grant or renewal for
/// `time_to_live` was requested at `sent_at`.
fn certain_end(sent_at: Instant, time_to_live: Duration, settings: LeaseSettings) -> Instant {
    sent_at + time_to_live.saturating_sub(settings.margin)
}
