//! Entries of the log.

use std::fmt;

use barleyspar_domain::{Grant, ModelName, ObjectKey, ObjectSpec, RunnerName, RunnerRecord};
use serde::{Deserialize, Serialize};

/// Identifies one change, so that its author recognizes it after a lost answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ChangeId(pub u64, pub u64);

impl fmt::Display for ChangeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}{:016x}", self.0, self.1)
    }
}

/// One change of the state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Create or replace an object.
    PutObject(ObjectSpec),
    /// Delete an object.
    DeleteObject(ObjectKey),
    /// Create or replace a runner.
    PutRunner(RunnerRecord),
    /// Forget a runner whose incarnation is gone for good.
    RemoveRunner(RunnerName),
    /// Create or replace the grant of a model.
    SetGrant(ModelName, Grant),
    /// Drop the grant, empty by then, of a model that was deleted.
    DropGrant(ModelName),
}

/// An entry: changes that take effect together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Number of the entry, from 1, without gaps.
    pub position: u64,
    /// Id.
    pub change: ChangeId,
    /// Operator, or the node's service, that made it.
    pub author: String,
    /// When it was written, in milliseconds since the Unix epoch.
    pub written_at: u64,
    /// Its changes, in order.
    pub changes: Vec<Change>,
}
