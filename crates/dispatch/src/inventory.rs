//! The models that a runner holds, as the placement leader reports them to all nodes.

use std::sync::Arc;

use barleyspar_catalog::LoadedModel;
use serde::{Deserialize, Serialize};

/// The models of one runner, taken by the placement leader from the runner's own report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Inventory {
    /// Id of the runner's incarnation.
    pub runner: Arc<str>,
    /// Number of orders that the runner has taken; a higher one is newer.
    pub sequence: u64,
    /// Models loaded on the runner, without those that it is ordered to unload.
    pub models: Vec<LoadedModel>,
    /// Models that the runner is ordered to unload. The runner's entry names them until
    /// their last request has ended, and the runner refuses new requests for them.
    pub unloading: Vec<Arc<str>>,
    /// The model that the runner is ordered to load; `None` if there is no such order.
    pub loading: Option<Loading>,
}

/// A load that the placement leader ordered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loading {
    /// Name of the model to be loaded.
    pub model: Arc<str>,
    /// Milliseconds until the load is expected to end, from when the inventory is
    /// received.
    pub ready_in_ms: u32,
}
