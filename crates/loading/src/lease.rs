//! The right to order runners: a lease in the store, held by one node.
//!
//! A holder orders only while its lease surely lasts by its own monotonic
//! clock, and only after the time in which its predecessor's last order may
//! still count has passed.

use std::time::{Duration, Instant};

/// Times of the lease.
#[derive(Debug, Clone, Copy)]
pub struct LeaseSettings {
    /// Time taken off the lease for the clock's and the network's slack.
    pub margin: Duration,
    /// Time before the first order, from when the lease fell vacant or was taken.
    pub quiet: Duration,
}

/// A lease held by this node.
#[derive(Debug, Clone, Copy)]
pub struct Lease {
    /// The store's name of the lease.
    pub id: u64,
    /// Fencing token: the store's revision at which the lease was taken.
    pub token: u64,
    quiet_from: Instant,
    surely_until: Instant,
    settings: LeaseSettings,
}

impl Lease {
    /// A lease granted for `time_to_live` by a call sent at `granted_call`; the
    /// predecessor surely gave no order after `quiet_from`.
    pub fn new(
        id: u64,
        token: u64,
        granted_call: Instant,
        time_to_live: Duration,
        quiet_from: Instant,
        settings: LeaseSettings,
    ) -> Self {
        Self {
            id,
            token,
            quiet_from,
            surely_until: end_of(granted_call, time_to_live, settings),
            settings,
        }
    }

    /// Takes in a renewal whose call was sent at `sent`.
    pub fn renewed(&mut self, sent: Instant, time_to_live: Duration) {
        self.surely_until = self
            .surely_until
            .max(end_of(sent, time_to_live, self.settings));
    }

    /// Whether the lease surely lasts at `now`.
    pub fn surely_held(&self, now: Instant) -> bool {
        now < self.surely_until
    }

    /// Whether orders may be given at `now`.
    pub fn may_order(&self, now: Instant) -> bool {
        self.surely_held(now) && now >= self.quiet_from + self.settings.quiet
    }
}

fn end_of(sent: Instant, time_to_live: Duration, settings: LeaseSettings) -> Instant {
    sent + time_to_live.saturating_sub(settings.margin)
}
