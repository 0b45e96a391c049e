//! What a node and the home of a limit say to each other.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::RunnerLimit;
use serde::{Deserialize, Serialize};

/// Time after which a runner that nobody asked leave to call is forgotten.
pub(crate) const RUNNER_KEPT_FOR: Duration = Duration::from_secs(60);

/// Whose limit over all nodes a request counts against.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// The callers of the tenant of this name.
    Tenant(Arc<str>),
    /// The runner with this id, which is in need.
    Runner(Arc<str>),
}

impl Subject {
    /// The tenant's name, or the runner's id.
    pub fn name(&self) -> &Arc<str> {
        match self {
            Self::Tenant(name) | Self::Runner(name) => name,
        }
    }
}

/// A node asks a home for leave to take a tenant's request, or to call a runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// The asking node's number for it.
    pub number: u64,
    /// The node that asks.
    pub node: Arc<str>,
    /// Whose limit it counts against.
    pub subject: Subject,
    /// The limit that a runner named; a tenant's stands in the configuration.
    pub named: Option<RunnerLimit>,
    /// Units of the request.
    pub cost: u64,
    /// Milliseconds since the node last asked another home about this subject; a
    /// node that has asked none within a window says nothing.
    pub elsewhere_ms: Option<u32>,
}

/// The home's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaAnswer {
    /// The request may be taken.
    Granted {
        /// Units that the node may take without asking while the home is silent.
        reserve: u64,
    },
    /// The limit is reached.
    Denied {
        /// Milliseconds until the request would be granted.
        wait_ms: u32,
        /// As above.
        reserve: u64,
    },
    /// The node that was asked is not the home, or knows no such limit.
    NotHome,
}
