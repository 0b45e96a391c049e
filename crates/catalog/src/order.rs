//! Orders to model runners (loads and unloads) and the reports of these runners.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

use crate::{LoadedModel, WeightCopies};

/// The load or unload that an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAction {
    /// Load the weights of a model.
    LoadModel {
        /// Name of the model to load, as its service lists it
        /// ([`EngineSpec::models`](crate::EngineSpec::models)).
        model: Arc<str>,
    },
    /// Unload a model with its adapters.
    UnloadModel {
        /// Name of the model to unload, as the runner reports it.
        model: Arc<str>,
    },
    /// Load an adapter of a model that is already loaded.
    LoadAdapter {
        /// Name of the adapter's model.
        model: Arc<str>,
        /// Name of the adapter to load, as callers ask for it.
        adapter: Arc<str>,
    },
    /// Unload an adapter; its model stays loaded.
    UnloadAdapter {
        /// Name of the adapter's model.
        model: Arc<str>,
        /// Name of the adapter to unload, as the runner reports it.
        adapter: Arc<str>,
    },
}

impl OrderAction {
    /// Returns the model to load or unload, or the model of the adapter.
    pub fn model(&self) -> &Arc<str> {
        match self {
            Self::LoadModel { model }
            | Self::UnloadModel { model }
            | Self::LoadAdapter { model, .. }
            | Self::UnloadAdapter { model, .. } => model,
        }
    }

    /// Returns the adapter to load or unload; `None` if the order concerns a model.
    pub fn adapter(&self) -> Option<&Arc<str>> {
        match self {
            Self::LoadAdapter { adapter, .. } | Self::UnloadAdapter { adapter, .. } => {
                Some(adapter)
            }
            Self::LoadModel { .. } | Self::UnloadModel { .. } => None,
        }
    }

    /// Returns whether the order loads a model or adapter (`false`: it unloads one).
    pub fn is_load(&self) -> bool {
        matches!(self, Self::LoadModel { .. } | Self::LoadAdapter { .. })
    }

    /// Returns the name of the action in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::LoadModel { .. } => "load_model",
            Self::UnloadModel { .. } => "unload_model",
            Self::LoadAdapter { .. } => "load_adapter",
            Self::UnloadAdapter { .. } => "unload_adapter",
        }
    }
}

/// An order to a runner, with the values by which the runner detects outdated orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Name of the runner that is to execute the order; any other runner refuses it.
    pub runner: Arc<str>,
    /// The load or unload to execute.
    pub action: OrderAction,
    /// Name of the node that gives the order, which holds the lease.
    pub holder: Arc<str>,
    /// Fencing token of the holder's lease. Runners refuse an order whose token is lower
    /// than one that they have seen.
    pub fencing_token: u64,
    /// Number of orders that the runner has accepted since its start, according to the node's
    /// view. The runner refuses the order if its own count differs.
    pub expected_sequence: u64,
}

/// A runner's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// The runner has started to execute the order.
    Accepted,
    /// The runner is already in the state that the order asks for.
    AlreadyHolds,
    /// The runner is executing another order, or the expected sequence number differs.
    Conflict,
    /// The order's fencing token is lower than one that the runner has seen.
    Fenced,
    /// The order reached another runner, which now has the address.
    WrongRunner,
    /// The runner refuses the order for another reason; holds the HTTP status.
    Rejected(u16),
}

/// A runner's report on its state, which may be some hundred milliseconds old.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Start of the runner's incarnation, in milliseconds since 1970; `None` if the report
    /// does not state it.
    pub born: Option<u64>,
    /// Number of orders that the runner has accepted since its start.
    pub sequence: u64,
    /// Whether the runner is executing an order.
    pub busy: bool,
    /// Models loaded on the runner.
    pub models: Vec<LoadedModel>,
    /// Adapters whose load has not finished, as pairs of model and adapter.
    pub pending_adapters: Vec<(Arc<str>, Arc<str>)>,
    /// Local weight copies that the runner keeps in host memory and on disk.
    pub copies: WeightCopies,
    /// Number of requests in the runner's queue.
    pub queued: u32,
    /// Number of requests that the runner is processing.
    pub running: u32,
    /// Number of tokens in the runner's cache that cannot be evicted.
    pub cache_used: u64,
}
