//! Messages between a node and the owner of a limit.

use std::sync::Arc;
use std::time::Duration;

use crate::Fingerprint;
use barleyspar_catalog::RunnerLimit;
use serde::{Deserialize, Serialize};

/// Time after the last request about a runner's limit for which its records are kept.
pub(crate) const RUNNER_KEPT_FOR: Duration = Duration::from_secs(60);

/// The party whose limit over all nodes a quota request counts against.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// All callers of the tenant with this name.
    Tenant(Arc<str>),
    /// The runner with this incarnation id, which advertises a rate limit.
    Runner(Arc<str>),
    /// A caller's request that was at a runner when it crashed.
    Request(Fingerprint),
}

impl Subject {
    /// Returns the tenant's name, the runner's incarnation id or the request's fingerprint,
    /// which identifies the subject among those of its kind.
    pub fn name(&self) -> Arc<str> {
        match self {
            Self::Tenant(name) | Self::Runner(name) => name.clone(),
            Self::Request(fingerprint) => fingerprint.to_string().into(),
        }
    }
}

/// A node's question to a limit owner: for a permit to accept a tenant's request, to call a
/// runner, or to send a request again after a runner crashed under it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Number of the question, unique within the asking node; the answer refers to it.
    pub number: u64,
    /// Name of the asking node; the owner computes the node's reserve from its past
    /// requests.
    pub node: Arc<str>,
    /// The party against whose limit the units count.
    pub subject: Subject,
    /// Rate limit that the runner advertises; `None` for other subjects. A tenant's quota is
    /// read from the configuration.
    pub named: Option<RunnerLimit>,
    /// Number of units that the node asks for.
    pub cost: u64,
    /// Key for which the units are charged only once, whichever nodes ask: the id of the
    /// crashed runner. `None` to charge each question.
    pub charge_once_key: Option<Arc<str>>,
    /// Time since the node last asked another owner about this subject, in milliseconds;
    /// `None` if it has asked no other owner within the quota window.
    pub other_owner_asked_ms: Option<u32>,
}

/// Answer of a limit owner to a [`QuotaRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaAnswer {
    /// The units are granted and charged.
    Granted {
        /// Number of units that the node may use without asking while the owner does not
        /// answer.
        reserve: u64,
    },
    /// The limit is reached; nothing is charged.
    Denied {
        /// Time in milliseconds until the owner can grant these units, if it grants none to
        /// other requests before.
        wait_ms: u32,
        /// Number of units that the node may use without asking while the owner does not
        /// answer.
        reserve: u64,
    },
    /// The asked node is not the owner of this limit, or does not know the limit.
    NotOwner,
}
