//! Messages between the control log services of nodes.

use barleyspar_domain::NodeName;
use serde::{Deserialize, Serialize};

use crate::{ControlState, Entry};

/// A call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Request {
    /// What follows the caller's position.
    Since(u64),
    /// Whether the called node is current.
    IsCurrent,
    /// New entries; the answer tells the position reached.
    Push(Vec<Entry>),
    /// New entries, to be pushed to every member of the called node's zone.
    Spread(Vec<Entry>),
}

/// An answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Answer {
    /// Entries that follow the caller's position; empty if there are none.
    Entries(Vec<Entry>),
    /// The whole state: the caller is too far behind.
    State(Box<ControlState>),
    /// The position reached.
    Reached(u64),
    /// Whether the answering node is current, and its position.
    Current {
        /// Whether it is.
        current: bool,
        /// Its position.
        position: u64,
    },
    /// The zone's members below the last pushed position.
    Spread {
        /// Members that have reached it.
        reached: u32,
        /// Members that have not.
        missing: Vec<NodeName>,
    },
}
