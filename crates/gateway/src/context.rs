//! The state and handles that all tasks of a gateway share.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use barleyspar_callers::{AccessBounds, ConfigurationView, Denial, authorize};
use barleyspar_catalog::{Credential, Dialect, NodeSettings, Route, RouteTable, Runner, Tenant};
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, timeout_at};

use crate::answer_memory::AnswerMemory;
use crate::crashes::CrashHandle;
use crate::dispatch::DispatchHandle;
use crate::feed::Confirmations;
use crate::inflight::InFlight;
use crate::journal;
use crate::lifecycle::Lifecycle;
use crate::metrics::Metrics;
use crate::network::{ByteStream, Network};
use crate::old_view::OldView;
use crate::origins::OriginHandle;
use crate::prefill::PrefillHandle;
use crate::quota::QuotaHandle;
use crate::reachability::Reachability;
use crate::stalls::StallWatch;
use crate::tunnel::{self, TunnelPeers};
use crate::upstream::{Checkout, ConnectError, Connection, ConnectionShare, Pool, open_stream};

/// Timeout for opening a connection to a runner.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of bytes that one permit of [`Context::body_memory`] reserves.
pub const BODY_UNIT: usize = 1024;
/// All request bodies together may use the memory of the process divided by this number.
const BODY_MEMORY_DIVISOR: u64 = 4;

/// Creates the semaphore from which request bodies reserve memory, for a process with
/// `memory_bytes` of memory. Each permit reserves [`BODY_UNIT`] bytes.
pub fn body_memory(memory_bytes: u64) -> Arc<Semaphore> {
    Arc::new(Semaphore::new(
        (memory_bytes / BODY_MEMORY_DIVISOR) as usize / BODY_UNIT,
    ))
}

/// State that all tasks of a gateway share. Each field is immutable, a handle or a channel,
/// so that clones see the same state.
#[derive(Clone)]
pub struct Context {
    /// Names and formats of the platform: objects in the store, headers, calls to runners.
    pub dialect: Arc<dyn Dialect>,
    /// Opens and accepts connections and sends datagrams: sockets, or memory in tests.
    pub network: Arc<dyn Network>,
    /// Settings with which the process was started.
    pub settings: Arc<NodeSettings>,
    /// When the gateway was started.
    pub started_at: Instant,
    /// Routes of the configuration in force; `None` before the first configuration.
    pub routes: watch::Receiver<Option<Arc<RouteTable>>>,
    /// When the routes in force were last confirmed to be the latest that the operators have
    /// set; `None` before the first confirmation.
    pub confirmed_at: watch::Receiver<Option<Instant>>,
    /// Lets tasks wait until this node knows what the store holds at present.
    pub confirmations: Confirmations,
    /// When the view that those routes belong to was noticed to be old.
    pub old_view: Arc<OldView>,
    /// Maximum staleness of the local view with which this node still checks credentials, and
    /// says that there is no route.
    pub access_bounds: AccessBounds,
    /// Handle to the task that obtains permits from limit owners, for tenants' quotas and
    /// runners' rate limits.
    pub quota: QuotaHandle,
    /// Handle to the task that obtains permits to send prompts from prefill owners; `None` if
    /// prompts are sent without permits.
    pub prefill: Option<PrefillHandle>,
    /// Handle to the dispatcher, which chooses runners for requests.
    pub dispatch: DispatchHandle,
    /// Handle to the task that examines broken connections and quarantines requests that
    /// crash runners.
    pub crashes: CrashHandle,
    /// Handle to the task that keeps the software versions that began streams.
    pub origins: OriginHandle,
    /// Idle connections to runners, and the number of open ones.
    pub pool: Arc<Pool>,
    /// What connection attempts have shown of this node's links to the runners. The lock is
    /// never held across an await.
    pub reachability: Arc<Mutex<Reachability>>,
    /// The peers through which this node may reach runners.
    pub tunnel_peers: TunnelPeers,
    /// Stage of the process: running, draining or closing.
    pub lifecycle: Lifecycle,
    /// Tells what is read just after the process stood still.
    pub stalls: StallWatch,
    /// Memory for request bodies, in units of [`BODY_UNIT`] bytes.
    pub body_memory: Arc<Semaphore>,
    /// Memory for what this node keeps of runners' answers.
    pub answer_memory: AnswerMemory,
    /// Metrics of the gateway, which the metrics listener serves.
    pub metrics: Arc<Metrics>,
    /// Counter of the callers' requests in flight.
    pub requests_in_flight: Arc<InFlight>,
    /// Counter of callers' open connections. An answer may still be on its way to its caller on
    /// one when its request has ended.
    pub caller_connections: Arc<InFlight>,
}

impl Context {
    /// Decides, by the routes in force, whether a request on `route` with `credential` may
    /// be served now. Returns the credential's tenant; `None` if the route requires no
    /// tenant.
    pub fn authorize(
        &self,
        route: &Route,
        credential: Option<&Credential>,
    ) -> Result<Option<Arc<Tenant>>, Denial> {
        let table = self.routes.borrow().clone();
        let table = table.ok_or(Denial::OldKnowledge)?;
        authorize(
            self.local_view(&table),
            route,
            credential,
            &self.access_bounds,
        )
    }

    /// Returns whether this node can serve callers: it has routes, and, if the
    /// configuration has tenants, its view is not too stale to check credentials.
    pub fn may_serve(&self) -> bool {
        let Some(table) = self.routes.borrow().clone() else {
            return false;
        };
        let local_view = self.local_view(&table);
        table.configuration().tenants.is_empty() || local_view.may_serve(&self.access_bounds)
    }

    /// Returns `table` with its staleness, for checks of credentials.
    fn local_view<'a>(&self, table: &'a RouteTable) -> ConfigurationView<'a> {
        ConfigurationView {
            table,
            staleness: self.view_staleness(),
        }
    }

    /// Returns the routes by which a request is decided now, `None` before the first
    /// configuration, and whether they are certainly the operators' latest within the site's
    /// bound. Waits for newer ones if they are not, but only in the first moments after this
    /// node noticed that its view is old.
    pub async fn current_routes(&self) -> (Option<Arc<RouteTable>>, bool) {
        if !self.has_certain_routes() {
            let until = self.notice_old_view();
            let mut confirmed_at = self.confirmed_at.clone();
            let confirmed = confirmed_at.wait_for(|at| self.are_routes_certain(*at));
            // If the time passes, the routes stay uncertain, as is checked below.
            let _ = timeout_at(until, confirmed).await;
        }
        let routes = self.routes.borrow().clone();
        (routes, self.has_certain_routes())
    }

    /// Records that this node's view is old, and returns until when requests wait for a newer
    /// one.
    pub fn notice_old_view(&self) -> Instant {
        let confirmed_at = *self.confirmed_at.borrow();
        self.old_view.notice(confirmed_at, Instant::now())
    }

    fn has_certain_routes(&self) -> bool {
        let confirmed_at = *self.confirmed_at.borrow();
        self.are_routes_certain(confirmed_at)
    }

    /// Whether the routes in force are recent enough to rely on if they were last confirmed at
    /// `confirmed_at`.
    fn are_routes_certain(&self, confirmed_at: Option<Instant>) -> bool {
        let routes = self.routes.borrow();
        let Some(table) = routes.as_ref() else {
            return false;
        };
        let view = ConfigurationView {
            table,
            staleness: confirmed_at.map(|at| at.elapsed()),
        };
        view.is_certain(&self.access_bounds)
    }

    /// Returns the version of the configuration in force; `None` before the first one.
    pub fn configuration_version(&self) -> Option<u64> {
        let routes = self.routes.borrow();
        routes.as_ref().map(|table| table.configuration().version)
    }

    /// Returns the time for which this node may have missed changes of the configuration;
    /// `None` if its view was never confirmed to be current.
    pub fn view_staleness(&self) -> Option<Duration> {
        self.confirmed_at.borrow().map(|at| at.elapsed())
    }

    /// Returns a connection to `runner`: an idle one from the pool, or else a new one that
    /// is opened within `timeout`, through a peer if this node has lost its own link.
    pub async fn connect(
        &self,
        runner: &Runner,
        timeout: Duration,
    ) -> Result<Connection, ConnectError> {
        match self.checkout(runner) {
            Checkout::Idle(connection) => Ok(*connection),
            Checkout::Open(slot) => tunnel::connect(self, runner, timeout, slot).await,
            Checkout::Full => Err(ConnectError::ConnectionLimitReached),
        }
    }

    /// Returns a connection to `runner` that goes through no peer: an idle one from the pool,
    /// or else a new one that is opened within `timeout`.
    pub async fn connect_directly(
        &self,
        runner: &Runner,
        timeout: Duration,
    ) -> Result<Connection, ConnectError> {
        match self.checkout(runner) {
            Checkout::Idle(connection) => Ok(*connection),
            Checkout::Open(slot) => {
                let stream = self.open_stream(runner, timeout).await?;
                Connection::over(stream, Some(slot), None).await
            }
            Checkout::Full => Err(ConnectError::ConnectionLimitReached),
        }
    }

    /// Opens a new connection to `runner` within `timeout`, even if the pool has an idle
    /// one; through a peer if this node has lost its own link.
    pub async fn open_connection(
        &self,
        runner: &Runner,
        timeout: Duration,
    ) -> Result<Connection, ConnectError> {
        let share = self.connection_share(&runner.service);
        let slot = self.pool.reserve(&runner.id, share);
        let slot = slot.ok_or(ConnectError::ConnectionLimitReached)?;
        tunnel::connect(self, runner, timeout, slot).await
    }

    fn checkout(&self, runner: &Runner) -> Checkout {
        let share = self.connection_share(&runner.service);
        self.pool.checkout(&runner.id, share)
    }

    /// Opens a stream to `runner` directly within `timeout`, and records and logs whether that
    /// succeeds.
    pub async fn open_stream(
        &self,
        runner: &Runner,
        timeout: Duration,
    ) -> Result<Box<dyn ByteStream>, ConnectError> {
        let opened = open_stream(&*self.network, runner.address, timeout).await;
        let now = Instant::now();
        self.with_reachability(|reachability| match &opened {
            Ok(_) => {
                if let Some(lasted) = reachability.record_connected(&runner.id, now) {
                    journal::runner_reached(&runner.id, lasted);
                }
            }
            Err(error) => {
                if matches!(error, ConnectError::Refused(_)) {
                    self.crashes.report_runner_gone(runner.id.clone());
                }
                if reachability.record_failed(&runner.id, now) {
                    let unreachable = reachability.unreachable_count();
                    journal::runner_unreachable(&runner.id, error, unreachable);
                }
            }
        });
        opened
    }

    /// Lets `act` read or change what is known of this node's links to the runners.
    pub fn with_reachability<T>(&self, act: impl FnOnce(&mut Reachability) -> T) -> T {
        let mut state = self
            .reachability
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let result = act(&mut state);
        self.metrics
            .set_unreachable_runners(state.unreachable_count());
        result
    }

    /// Returns a connection to `runner` to the pool after an answer was read completely from it.
    /// `keep_alive_seconds`: the keep-alive time that the runner announced, if any.
    pub fn put_back(
        &self,
        runner: &Runner,
        connection: Connection,
        keep_alive_seconds: Option<u64>,
    ) {
        let kept = self.connection_share(&runner.service).kept;
        self.pool
            .put_back(&runner.id, connection, keep_alive_seconds, kept);
    }

    /// Returns the numbers of connections that this node may have to one runner of `service`:
    /// an equal share of the service's limit, at least 1, and a lent part beyond it for
    /// connections in use. What all nodes have in use together is bounded by the runner's
    /// slots, whichever of them has the requests.
    fn connection_share(&self, service: &str) -> ConnectionShare {
        /// Fraction of the service's connection limit that is divided among the known nodes.
        const KEPT_FRACTION: f64 = 0.8;
        /// Fraction that a node may use beyond its share. The remainder covers nodes that do
        /// not know of each other yet, and two that use lent connections at a time.
        const LENT_FRACTION: f64 = 0.1;
        let routes = self.routes.borrow();
        let limit = routes
            .as_ref()
            .and_then(|table| table.configuration().services.get(service))
            .map_or(u32::MAX, |service| service.connection_limit);
        let limit = f64::from(limit);
        let share = limit * KEPT_FRACTION / f64::from(self.dispatch.member_count());
        let kept = (share as u32).max(1);
        ConnectionShare {
            kept,
            in_use: kept.saturating_add((limit * LENT_FRACTION) as u32),
        }
    }
}
