//! The control log: one total order of every decision that all nodes must agree on.
//!
//! An entry is one key of the platform's key-value service, `log/NUMBER`,
//! created by compare-and-swap on its absence. Numbers have no gaps, so whoever
//! creates entry *n + 1* knows the whole state up to *n*, and a conflicting
//! writer loses and sees why. Operators' objects, the runner directory and
//! replica grants all live in the log, so a node's position in it tells exactly
//! which decisions that node obeys.
//!
//! Nodes read the log from the key-value service (relays of each zone watch it)
//! and from each other, so it spreads while the service is down.

mod append;
mod config;
mod entry;
mod errors;
mod follow;
mod freshness;
mod handle;
mod keys;
mod messages;
mod retained;
#[cfg(test)]
mod retained_tests;
mod service;
mod snapshot;
mod spread;
mod state;

pub use append::{Appended, Proposal};
pub use config::ControlLogConfig;
pub use entry::{Change, ChangeId, Entry};
pub use errors::{AppendError, Conflict};
pub use handle::{ControlLog, LogView, StartParts, start};
pub use spread::{InForce, ZoneInForce};
pub use state::{ControlState, StoredObject};

/// Name of the service that answers calls of other nodes.
pub const PEER_SERVICE: &str = "control-log";
