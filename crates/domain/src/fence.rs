//! Fences: ordered numbers by which an engine distinguishes a newer keeper (the node that
//! gives it orders) from an older one.
//!
//! An engine refuses every order whose fence is lower than the highest fence that it has
//! seen. Fences are compared field by field in this order:
//!
//! 1. `log_floor`: the control log position up to which the orders of this keeper take
//!    the log into account. It never decreases. A keeper that takes over reads it from the
//!    engine and loads nothing until its own copy of the log has reached this position.
//!    Otherwise, a keeper with an outdated copy could load a model although an earlier
//!    keeper has revoked its grant and the engine has confirmed the revocation.
//! 2. `term`: increases with every takeover.
//! 3. `holder`: derived from the keeper's address, so that two takeovers with the same
//!    term never have equal epochs.
//! 4. `sequence`: increases with every order, so that an order that arrives late or twice
//!    cannot undo a later order of the same keeper.

use serde::{Deserialize, Serialize};

/// The period in which one keeper gives orders to one runner.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch {
    /// Control log position up to which this keeper's orders take the log into account.
    pub log_floor: u64,
    /// Number of takeovers of the runner up to and including the one that began this epoch.
    pub term: u64,
    /// Number unique to the keeper's node, derived from its peer address. Orders epochs
    /// with equal terms.
    pub holder: u64,
}

impl Epoch {
    /// Returns the epoch in which `holder` takes the runner over after the epoch `self`.
    pub fn successor(self, holder: u64) -> Self {
        Self {
            log_floor: self.log_floor,
            term: self.term + 1,
            holder,
        }
    }

    /// Returns this epoch with its log floor raised to at least `position`.
    pub fn with_log_floor(self, position: u64) -> Self {
        Self {
            log_floor: self.log_floor.max(position),
            ..self
        }
    }
}

/// The fence of one order. An engine refuses an order whose fence is lower than the highest
/// that it has seen.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fence {
    /// Epoch of the keeper that gives the order.
    pub epoch: Epoch,
    /// Number of the order within the epoch, increasing.
    pub sequence: u64,
}
