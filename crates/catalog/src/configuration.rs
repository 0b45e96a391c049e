//! The operators' configuration.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::Tenant;

/// One version of the configuration, whole.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Configuration {
    /// Rises with each change, in uneven steps.
    pub version: u64,
    /// Routes, in the order of the configuration.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Arc<Service>>,
    /// What a client may send and how long it may take.
    pub limits: ClientLimits,
    /// Who may call; if there are none, everybody may.
    #[serde(default)]
    pub tenants: Vec<Arc<Tenant>>,
}

/// How often a request of a route may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// More than once.
    Idempotent,
    /// At most once.
    NonIdempotent,
    /// At most once, unless the route says that streams may be resumed.
    Streaming,
}

/// A part of a route's traffic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// The service that gets this part.
    pub service: Arc<str>,
    /// The part's size relative to the other parts.
    pub weight: u32,
}

/// Sends the requests of a host and a path to services.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// Host that the request names.
    pub host: Arc<str>,
    /// Beginning of the path; begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// How often its requests may run.
    pub kind: RequestKind,
    /// Longest time that a client's attempt is held.
    pub timeout: Option<Duration>,
    /// Time within which an answer (of a stream, its first event) is in time.
    pub target_latency: Option<Duration>,
    /// Longest pause between a stream's events that is in time.
    pub target_gap: Option<Duration>,
    /// Time after which clients give up a silent stream.
    pub stream_patience: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// The services and their parts; never empty.
    pub backends: Vec<Backend>,
    /// The most runners that one client's attempt may go to.
    pub maximum_attempts: u32,
    /// Whether a broken stream may be continued at another runner.
    pub resumable: bool,
    /// Whether callers without a credential may use it.
    pub public: bool,
    /// Regions in which its requests may be served; empty means all.
    #[serde(default)]
    pub regions: Vec<Arc<str>>,
}

impl Route {
    /// Whether its requests may run more than once.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::NonIdempotent => false,
            RequestKind::Streaming => self.resumable,
        }
    }
}

/// A service: a set of interchangeable runners.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: Arc<str>,
    /// Connections that one runner takes from all callers together.
    pub connection_limit: u32,
    /// The model engine of its runners; absent for plain services.
    pub engine: Option<EngineSpec>,
    /// What its runners bear while they are cold; absent where they are never so.
    #[serde(default)]
    pub cold: Option<ColdSpec>,
}

/// How a service's runners are right behind their start.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdSpec {
    /// Time for which a runner stays cold.
    pub time: Duration,
    /// Requests a second that a cold runner bears.
    pub per_second: f64,
}

/// What the runners of a model service are like.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that a runner works on at once.
    pub slots: u32,
    /// Tokens that a runner's cache holds.
    pub cache_tokens: u64,
    /// Megabytes for weights and adapters together.
    pub memory_mb: f64,
    /// Adapters that a runner holds at most.
    pub adapter_capacity: u32,
    /// Loads a second that the weight store allows, over all runners.
    pub loads_per_second: f64,
    /// Models by name.
    pub models: BTreeMap<Arc<str>, ModelSpec>,
}

/// A model's weights.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ModelSpec {
    /// Size in megabytes.
    pub weights_mb: f64,
    /// Load from the weight store.
    pub remote_load: Duration,
    /// Load from the runner's disk.
    pub disk_load: Duration,
    /// Load from the runner's memory.
    pub memory_load: Duration,
    /// Size of one adapter in megabytes.
    pub adapter_mb: f64,
}

/// What a client may send and how long it may take.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time to send a head.
    pub header_timeout: Duration,
    /// Time that a connection may rest between requests.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
