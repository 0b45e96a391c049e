//! What a node and a tenant's home say to each other.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A node asks a tenant's home for leave to take a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// The asking node's number for it.
    pub number: u64,
    /// The node that asks.
    pub node: Arc<str>,
    /// The tenant.
    pub tenant: Arc<str>,
    /// Units of the request.
    pub cost: u64,
    /// Milliseconds since the node last asked another home about this tenant; a
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
    /// The tenant is over its limit.
    Denied {
        /// Milliseconds until the request would be granted.
        wait_ms: u32,
        /// As above.
        reserve: u64,
    },
    /// The node that was asked is not the tenant's home, or knows no such tenant.
    NotHome,
}
