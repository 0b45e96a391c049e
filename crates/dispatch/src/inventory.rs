//! What a runner holds, as the placement leader tells all nodes.

use std::sync::Arc;

use barleyspar_catalog::HeldModel;
use serde::{Deserialize, Serialize};

/// What a runner holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Inventory {
    /// The runner.
    pub runner: Arc<str>,
    /// Orders it has taken.
    pub sequence: u64,
    /// Its models, without those that it is told to drop.
    pub models: Vec<HeldModel>,
    /// Models that it is told to drop. It names them in its entry until their
    /// last request has ended, and takes no new request for them.
    pub unloading: Vec<Arc<str>>,
    /// The model that it is told to load, if any.
    pub loading: Option<Loading>,
}

/// A load that was ordered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loading {
    /// The model.
    pub model: Arc<str>,
    /// Milliseconds until it is expected to be there.
    pub ready_in_ms: u32,
}
