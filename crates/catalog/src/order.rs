//! Orders to model runners and their reports.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

use crate::{HeldModel, WeightCopies};

/// What a runner is to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAction {
    /// Load a model's weights.
    LoadModel {
        /// The model.
        model: Arc<str>,
    },
    /// Drop a model with its adapters.
    UnloadModel {
        /// The model.
        model: Arc<str>,
    },
    /// Load an adapter of a model that is there.
    LoadAdapter {
        /// The model.
        model: Arc<str>,
        /// Its adapter.
        adapter: Arc<str>,
    },
    /// Drop an adapter.
    UnloadAdapter {
        /// The model.
        model: Arc<str>,
        /// Its adapter.
        adapter: Arc<str>,
    },
}

impl OrderAction {
    /// The model that the order concerns.
    pub fn model(&self) -> &Arc<str> {
        match self {
            Self::LoadModel { model }
            | Self::UnloadModel { model }
            | Self::LoadAdapter { model, .. }
            | Self::UnloadAdapter { model, .. } => model,
        }
    }

    /// The adapter that the order concerns.
    pub fn adapter(&self) -> Option<&Arc<str>> {
        match self {
            Self::LoadAdapter { adapter, .. } | Self::UnloadAdapter { adapter, .. } => {
                Some(adapter)
            }
            Self::LoadModel { .. } | Self::UnloadModel { .. } => None,
        }
    }

    /// Whether the order loads, rather than unloads.
    pub fn is_load(&self) -> bool {
        matches!(self, Self::LoadModel { .. } | Self::LoadAdapter { .. })
    }

    /// The order's name in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::LoadModel { .. } => "load_model",
            Self::UnloadModel { .. } => "unload_model",
            Self::LoadAdapter { .. } => "load_adapter",
            Self::UnloadAdapter { .. } => "unload_adapter",
        }
    }
}

/// An order with its fence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The runner that is meant, by its own id; any other refuses.
    pub runner: Arc<str>,
    /// What is to be done.
    pub action: OrderAction,
    /// The node that orders.
    pub holder: Arc<str>,
    /// The holder's token; runners refuse lower ones than they have seen.
    pub fencing_token: u64,
    /// Orders that the runner has taken so far; it refuses if the number differs.
    pub expected_sequence: u64,
}

/// A runner's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// It is being done.
    Accepted,
    /// It holds already.
    AlreadyHolds,
    /// Another order is under way, or the sequence number differs.
    Conflict,
    /// The token is lower than one the runner has seen.
    Fenced,
    /// Another runner has the address.
    WrongRunner,
    /// The order is refused for another reason.
    Rejected(u16),
}

/// A runner's report of itself, some hundred milliseconds old.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// When the life of the runner that reports began, in milliseconds since 1970,
    /// where it says so.
    pub born: Option<u64>,
    /// Orders taken.
    pub sequence: u64,
    /// Whether an order is under way.
    pub busy: bool,
    /// Models held.
    pub models: Vec<HeldModel>,
    /// Adapters on their way, as model and adapter.
    pub pending_adapters: Vec<(Arc<str>, Arc<str>)>,
    /// Copies of weights outside accelerator memory.
    pub copies: WeightCopies,
    /// Requests that wait at the runner.
    pub queued: u32,
    /// Requests that run.
    pub running: u32,
    /// Cache tokens that cannot give way.
    pub cache_used: u64,
}
