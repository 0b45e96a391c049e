//! Replica grants: which runners may load and hold a model.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, RunnerName};

/// State of one holder's entry in a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HolderState {
    /// The runner may load and hold the model.
    Granted,
    /// The runner must unload the model. It counts as a replica until its keeper has
    /// confirmed, under its fence, that the runner does not hold the model.
    Revoking,
}

/// A runner that may hold a model, as listed in the model's grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Name that the machine list gives the runner.
    pub runner: RunnerName,
    /// Incarnation of the runner at the time of the grant.
    pub incarnation: Incarnation,
    /// Whether the runner may hold the model or must unload it.
    pub state: HolderState,
}

/// The runners that may hold one model.
///
/// Invariant: a holder is added only while `holders.len() < decided`, and removed only
/// after its unload is confirmed or its incarnation has ended for good. Therefore, the
/// number of loaded replicas never exceeds the largest `decided` since the last confirmed
/// removal.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Number of replicas that the model's policy has decided on.
    pub decided: u32,
    /// Runners that may hold the model, in the order in which they are to load it.
    pub holders: Vec<Holder>,
}

impl Grant {
    /// Returns the entry of `runner`; `None` if the grant does not list it.
    pub fn holder(&self, runner: &RunnerName) -> Option<&Holder> {
        self.holders.iter().find(|holder| &holder.runner == runner)
    }

    /// Returns whether `runner` may load the model: it is listed and not being revoked.
    pub fn may_load(&self, runner: &RunnerName) -> bool {
        self.holder(runner)
            .is_some_and(|holder| holder.state == HolderState::Granted)
    }
}
