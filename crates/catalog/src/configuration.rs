//! The operators' configuration: routes, services, client limits and tenants.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::Tenant;
use crate::slots::SlotCount;

/// One complete version of the configuration.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Configuration {
    /// Version number. Each change increases it, by one or more.
    pub version: u64,
    /// Routes, in the order in which the operators list them.
    pub routes: Vec<Arc<Route>>,
    /// Services by their names.
    pub services: BTreeMap<Arc<str>, Arc<Service>>,
    /// Limits on the size and duration of clients' requests.
    pub limits: ClientLimits,
    /// Tenants, whose callers may send requests. If there are none, no request needs a
    /// credential.
    #[serde(default)]
    pub tenants: Vec<Arc<Tenant>>,
}

/// Whether a request of a route may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request must run at most once.
    NonIdempotent,
    /// The answer is a stream. The request must run at most once, unless the route is
    /// [`resumable`](Route::resumable).
    Streaming,
}

/// A service that receives a fraction of a route's traffic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Name of the service ([`Service::name`]) whose runners serve the backend's requests.
    pub service: Arc<str>,
    /// Weight of the backend. It receives this weight, divided by the sum of the weights of all
    /// backends of the route, as its fraction of the requests.
    pub weight: u32,
}

/// Rule that sends the requests for a host and a path prefix to services.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Route {
    /// Unique name of the route, used in logs and metrics.
    pub name: Arc<str>,
    /// Host in the request's `Host` header, with or without a port.
    pub host: Arc<str>,
    /// Prefix of the request's path; begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Whether the route's requests may run more than once.
    pub kind: RequestKind,
    /// Maximum time to serve a client's request; `None` if the route sets none.
    pub timeout: Option<Duration>,
    /// Target for the time until the answer, or until a stream's first event; `None` if
    /// the route sets none.
    pub target_latency: Option<Duration>,
    /// Target for the time between two events of a stream; `None` if the route sets none.
    pub target_gap: Option<Duration>,
    /// Time after which clients abandon a stream without events; `None` for routes that do
    /// not stream.
    pub stream_patience: Option<Duration>,
    /// Priority of the route's requests; 0 is the most urgent.
    pub priority: u8,
    /// Services among which the traffic is split; never empty.
    pub backends: Vec<Backend>,
    /// Maximum number of attempts (sends to a runner) for one request of a client. Each retry
    /// by the client counts as a new request.
    pub maximum_attempts: u32,
    /// Whether a broken stream may be resumed at another runner.
    pub resumable: bool,
    /// Whether callers without a credential may use the route.
    pub public: bool,
    /// Regions in which the route's requests may be served; empty for all.
    #[serde(default)]
    pub regions: Vec<Arc<str>>,
}

impl Route {
    /// Returns whether the route's requests may run more than once.
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
    /// Unique name of the service, by which routes and runners refer to it.
    pub name: Arc<str>,
    /// Maximum number of connections to one runner, from all nodes together.
    pub connection_limit: u32,
    /// Properties of the runners' model engine; `None` for plain services.
    pub engine: Option<EngineSpec>,
    /// Limit on requests to cold (recently started) runners; `None` for services whose
    /// runners need no such limit.
    #[serde(default)]
    pub cold: Option<ColdSpec>,
    /// Path at which its runners tell whether they are healthy; `None` if they do not.
    #[serde(default)]
    pub health_path: Option<Arc<str>>,
}

/// Limits for a service's runners shortly after their start, while they are cold.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdSpec {
    /// Time from its start for which a runner is cold.
    pub time: Duration,
    /// Maximum rate of requests to a cold runner, per second, from all nodes together.
    pub per_second: f64,
}

/// Properties of the runners of a model service and of its models.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Number of requests that a runner processes concurrently.
    pub slots: SlotCount,
    /// Capacity of a runner's cache, in tokens.
    pub cache_tokens: u64,
    /// Memory of a runner for weights and adapters together, in megabytes.
    pub memory_mb: f64,
    /// Maximum number of adapters loaded on a runner.
    pub adapter_capacity: u32,
    /// Maximum rate of loads from the weight store, per second, over all runners.
    pub loads_per_second: f64,
    /// Models of the service by their names.
    pub models: BTreeMap<Arc<str>, ModelSpec>,
}

/// Size and load times of a model's weights.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ModelSpec {
    /// Size of the weights, in megabytes.
    pub weights_mb: f64,
    /// Time to load the weights from the weight store.
    pub remote_load: Duration,
    /// Time to load the weights from the runner's disk.
    pub disk_load: Duration,
    /// Time to load the weights from the runner's host memory.
    pub memory_load: Duration,
    /// Size of each adapter of the model, in megabytes.
    pub adapter_mb: f64,
}

/// Limits on the size and duration of clients' requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for a client to send a request's head.
    pub header_timeout: Duration,
    /// Maximum time for which a client's connection may be idle between requests.
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
