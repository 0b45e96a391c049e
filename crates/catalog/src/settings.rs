//! Settings of a gateway process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// What a gateway is told when it starts.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Unique name of the node.
    pub name: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Regions of the site's zones, by zone.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where readiness is asked for.
    pub readiness_address: SocketAddr,
    /// Where other nodes send datagrams.
    pub peer_address: SocketAddr,
    /// Where figures are asked for, if anywhere.
    pub metrics_address: Option<SocketAddr>,
    /// The key-value store.
    pub store_address: SocketAddr,
    /// Shortest time to live of a lease that the store grants.
    pub minimum_lease: Duration,
    /// Limits of the machine.
    pub limits: MachineLimits,
    /// Bounds that the site promises.
    pub bounds: Bounds,
}

/// Limits of the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineLimits {
    /// Bytes of memory of the process.
    pub memory_bytes: u64,
    /// Sockets and files of the process.
    pub descriptors: u32,
    /// Megabits a second of the machine's link.
    pub link_megabits: u32,
}

/// How exactly tenants' limits hold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Window in which what a tenant takes is counted.
    pub window: Duration,
    /// Part by which a window may exceed the limit.
    pub overage: f64,
    /// Units by which a window may exceed the limit besides.
    pub tolerance: f64,
}

/// Bounds that the site promises or expects.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time from the request to stop until the process is killed.
    pub grace_period: Duration,
    /// Time within which an accepted configuration must be in force.
    pub change_in_force: Duration,
    /// Time after which a leaving runner must get no more work.
    pub drain_timeout: Duration,
    /// Retries per request over all nodes.
    pub retry_ratio: f64,
    /// Window in which retries are counted.
    pub retry_window: Duration,
    /// Retries over all nodes in a window beyond the ratio.
    pub retry_extra: f64,
    /// Time within which only one node may give a runner orders.
    pub lease_duration: Duration,
    /// Whether runners refuse tokens lower than one they have seen.
    pub fencing_enforced: bool,
    /// Window in which loads from the weight store are counted.
    pub load_window: Duration,
    /// Factor by which loads in a window may exceed the store's rate.
    pub load_overage: f64,
    /// Time after which no node serves under a credential that was taken away,
    /// whatever it can reach; `None` where only nodes in touch are bound.
    pub revocation: Option<Duration>,
    /// What tenants may take beyond their limits.
    pub quota: QuotaBounds,
    /// Time within which the evacuation of a zone must be in force; `None` where
    /// zones are not evacuated.
    pub evacuation: Option<Duration>,
    /// What a cold runner may get, over all nodes.
    pub cold: ColdBounds,
}

/// How exactly the limit on requests to a cold runner holds, over all nodes: in
/// a second it may get what it bears times `overage`, and `tolerance` more.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBounds {
    /// Factor on the requests a second that the runner bears.
    pub overage: f64,
    /// Requests beyond that.
    pub tolerance: f64,
}
