//! What a node and the owner of a limit say to each other.

use std::sync::Arc;
use std::time::Duration;

use crate::Fingerprint;
use barleyspar_catalog::RunnerLimit;
use serde::{Deserialize, Serialize};

/// Time after which a runner that nobody asked to call is forgotten.
pub(crate) const RUNNER_KEPT_FOR: Duration = Duration::from_secs(60);

/// Whose limit over all nodes a request counts against.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// The callers of the tenant of this name.
    Tenant(Arc<str>),
    /// The runner with this id, which is rate-limited.
    Runner(Arc<str>),
    /// A caller's request that was at runners that crashed.
    Request(Fingerprint),
}

impl Subject {
    /// The tenant's name, the runner's id, or the request's fingerprint.
    pub fn name(&self) -> Arc<str> {
        match self {
            Self::Tenant(name) | Self::Runner(name) => name.clone(),
            Self::Request(fingerprint) => fingerprint.to_string().into(),
        }
    }
}

/// A node asks an owner for a permit to take a tenant's request, to call a runner, or to send
/// on a request that was at a runner that crashed.
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
    /// What the units are for, where they are taken once whoever asks for it: the
    /// runner that crashed.
    pub once_for: Option<Arc<str>>,
    /// Milliseconds since the node last asked another owner about this subject; a
    /// node that has asked none within a window says nothing.
    pub elsewhere_ms: Option<u32>,
}

/// The owner's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaAnswer {
    /// The request may be taken.
    Granted {
        /// Units that the node may take without asking while the owner is silent.
        reserve: u64,
    },
    /// The limit is reached.
    Denied {
        /// Milliseconds until the request would be granted.
        wait_ms: u32,
        /// As above.
        reserve: u64,
    },
    /// The node that was asked is not the owner, or knows no such limit.
    NotOwner,
}
