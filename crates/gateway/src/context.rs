//! What all parts of a gateway share.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_callers::{AccessBounds, Denial, Knowledge, authorize};
use barleyspar_catalog::{Credential, Dialect, NodeSettings, Route, RouteTable, Runner, Tenant};
use tokio::sync::{Semaphore, watch};
use tokio::time::Instant;

use crate::crashes::CrashHandle;
use crate::dispatch::DispatchHandle;
use crate::inflight::InFlight;
use crate::lifecycle::Lifecycle;
use crate::metrics::Metrics;
use crate::network::Network;
use crate::quota::QuotaHandle;
use crate::upstream::{Checkout, ConnectError, Connection, Pool};

/// Time for a connection to a runner to come up.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Bytes of a unit of memory for bodies.
pub const BODY_UNIT: usize = 1024;
/// Part of the process's memory that bodies of requests may take together.
const BODY_PART: u64 = 4;

/// Memory for bodies of a process with `memory_bytes`.
pub fn body_memory(memory_bytes: u64) -> Arc<Semaphore> {
    Arc::new(Semaphore::new(
        (memory_bytes / BODY_PART) as usize / BODY_UNIT,
    ))
}

/// Shared by all tasks of a gateway; everything in it is immutable, a handle
/// or a channel.
#[derive(Clone)]
pub struct Context {
    /// The platform's names and formats.
    pub dialect: Arc<dyn Dialect>,
    /// The network.
    pub network: Arc<dyn Network>,
    /// Settings of the process.
    pub settings: Arc<NodeSettings>,
    /// When the process started.
    pub started: Instant,
    /// The routes in force; `None` until a configuration is known.
    pub routes: watch::Receiver<Option<Arc<RouteTable>>>,
    /// When the routes in force were known to be the operators' latest; `None`
    /// until that was so once.
    pub confirmed: watch::Receiver<Option<Instant>>,
    /// How old that knowledge may be.
    pub access: AccessBounds,
    /// Permits to take requests from tenants.
    pub quota: QuotaHandle,
    /// The dispatcher.
    pub dispatch: DispatchHandle,
    /// What becomes known of requests whose connections to runners broke.
    pub crashes: CrashHandle,
    /// Connections to runners.
    pub pool: Arc<Pool>,
    /// Whether the process is being stopped.
    pub lifecycle: Lifecycle,
    /// Memory for bodies of requests, in units of [`BODY_UNIT`] bytes.
    pub body_memory: Arc<Semaphore>,
    /// Figures.
    pub metrics: Arc<Metrics>,
    /// Callers' requests in flight.
    pub requests: Arc<InFlight>,
}

impl Context {
    /// The tenant under which a request on `route` with `credential` is served
    /// now, by the routes in force.
    pub fn authorize(
        &self,
        route: &Route,
        credential: Option<&Credential>,
    ) -> Result<Option<Arc<Tenant>>, Denial> {
        let table = self.routes.borrow().clone();
        let table = table.ok_or(Denial::OldKnowledge)?;
        authorize(self.knowledge(&table), route, credential, &self.access)
    }

    /// Whether this node knows routes, and knows them well enough to serve
    /// callers by their credentials, if they have any.
    pub fn may_serve(&self) -> bool {
        let Some(table) = self.routes.borrow().clone() else {
            return false;
        };
        let knowledge = self.knowledge(&table);
        table.configuration().tenants.is_empty() || knowledge.may_serve(&self.access)
    }

    /// `table` with the age of what this node knows.
    fn knowledge<'a>(&self, table: &'a RouteTable) -> Knowledge<'a> {
        Knowledge {
            table,
            age: self.knowledge_age(),
        }
    }

    /// Time for which this node may have missed changes of the configuration.
    pub fn knowledge_age(&self) -> Option<Duration> {
        self.confirmed.borrow().map(|at| at.elapsed())
    }

    /// A connection to `runner`: one that rested, or a new one within `timeout`.
    pub async fn connect(
        &self,
        runner: &Runner,
        timeout: Duration,
    ) -> Result<Connection, ConnectError> {
        let share = self.connection_share(&runner.service);
        let slot = match self.pool.checkout(&runner.id, share) {
            Checkout::Idle(connection) => return Ok(*connection),
            Checkout::Open(slot) => slot,
            Checkout::Full => return Err(ConnectError::NoShareLeft),
        };
        Connection::open(&*self.network, runner.address, timeout, Some(slot)).await
    }

    /// A new connection to `runner` within `timeout`, whatever rests.
    pub async fn connect_anew(
        &self,
        runner: &Runner,
        timeout: Duration,
    ) -> Result<Connection, ConnectError> {
        let share = self.connection_share(&runner.service);
        let slot = self.pool.reserve(&runner.id, share);
        let slot = slot.ok_or(ConnectError::NoShareLeft)?;
        Connection::open(&*self.network, runner.address, timeout, Some(slot)).await
    }

    /// Connections that this node may have to one runner of `service`.
    fn connection_share(&self, service: &str) -> u32 {
        /// The rest covers nodes that do not know of each other yet.
        const USED_PART: f64 = 0.8;
        let routes = self.routes.borrow();
        let limit = routes
            .as_ref()
            .and_then(|table| table.configuration().services.get(service))
            .map_or(u32::MAX, |service| service.connection_limit);
        let share = f64::from(limit) * USED_PART / f64::from(self.dispatch.nodes());
        (share as u32).max(1)
    }
}
