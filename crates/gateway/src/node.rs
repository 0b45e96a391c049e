//! Starts a gateway: builds its shared state, spawns its tasks and opens its listeners.
//! Stops it on SIGTERM, with a grace period for requests in flight.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_callers::AccessBounds;
use barleyspar_catalog::{Dialect, NodeSettings};
use barleyspar_dispatch::{BudgetLimits, Dispatcher, Site};
use barleyspar_domain::{Mechanism, Switches};
use barleyspar_loading::{LoadRateLimits, Planner, PlannerSettings};
use barleyspar_policy::Program;
use thiserror::Error;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{Instant, sleep, timeout};

use crate::answer_memory::AnswerMemory;
use crate::arrival_probes::probe_runners;
use crate::arrivals::Arrivals;
use crate::body::AnswerBody;
use crate::context::{Context, body_memory};
use crate::contradicting_entries::ContradictingEntries;
use crate::crashes::CrashTask;
use crate::discovery::Discovery;
use crate::dispatch::DispatchHandle;
use crate::essential_tasks::EssentialTasks;
use crate::feed::{Confirmations, FeedState, FeedTask};
use crate::kept_configuration::ConfigurationKeeper;
use crate::lifecycle::{Lifecycle, Stage};
use crate::listener::{self, ListenerLimits};
use crate::names::Names;
use crate::network::{Listener, Network};
use crate::origins::OriginTask;
use crate::placement::{self, LeaseKeeper, PlacementTask, RecordedSizes, SizeRecorder};
use crate::prefill::PrefillTask;
use crate::quota::QuotaTask;
use crate::restore_tracker::RestoreTracker;
use crate::software_record::{RecordedVersions, SoftwareRecorder};
use crate::stalls::StallWatch;
use crate::store::Store;
use crate::tunnel::{self, TunnelPeers};
use crate::{
    crashes, dispatch, feed, origins, peers, prefill, quota, rate_permits, readiness, register,
    request,
};

/// Capacity of the queue of batches of changes from the feed.
const CHANGE_QUEUE: usize = 64;
/// File descriptors reserved for connections to runners and the store, and for files.
const RESERVED_DESCRIPTORS: usize = 1200;
/// Lower bound of the number of callers' connections, and the limit of the metrics listener.
const MIN_CONNECTIONS: usize = 64;
/// Time after the signal to stop for which load balancers may still open new connections.
const NEW_CONNECTIONS_PERIOD: Duration = Duration::from_millis(2600);
/// Time before the end of the grace period at which the remaining requests are cut off.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// Time without a SIGHUP after which the settings are read again.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which expired idle connections to runners are closed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Reason why a gateway could not be started.
#[derive(Debug, Error)]
pub enum NodeError {
    /// An address in the settings could not be bound, for example because it is in use.
    #[error("cannot bind the {what} {address}: {cause}")]
    Address {
        /// Kind of the address, such as `caller address`.
        what: &'static str,
        /// The address that could not be bound, with its port.
        address: String,
        /// The error of the operating system.
        cause: io::Error,
    },
    /// The handlers for SIGTERM and SIGHUP could not be installed.
    #[error("cannot handle signals: {0}")]
    Signals(io::Error),
    /// A task without which the gateway must not serve has ended, by a panic for example.
    #[error("the task {0} has ended")]
    TaskEnded(&'static str),
}

/// Options of model placement: the operators' policy, and switches for measurements.
#[derive(Debug)]
pub struct PlacementOptions {
    /// The policy program, which decides how many replicas a model may have.
    pub policy: Program,
    /// Parts of the planner that are switched off, to measure their effect.
    pub switches: Switches,
}

impl PlacementOptions {
    /// Returns the planner's settings: these options and the limits on the rate of loads.
    fn planner_settings(self, load_rate_limits: LoadRateLimits) -> PlannerSettings {
        PlannerSettings {
            policy: self.policy,
            load_rate_limits,
            switches: self.switches,
        }
    }
}

/// Runs a gateway on `network` until it has stopped after a SIGTERM. `read_settings` reads the
/// settings again: at each SIGHUP and at an interval. Fails if one of the gateway's tasks ends.
pub async fn run(
    read_settings: impl Fn() -> Result<NodeSettings, String> + Send + 'static,
    settings: NodeSettings,
    dialect: Arc<dyn Dialect>,
    placement_options: PlacementOptions,
    network: Arc<dyn Network>,
) -> Result<(), NodeError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(NodeError::Signals)?;
    let hangup = signal(SignalKind::hangup()).map_err(NodeError::Signals)?;
    let gateway = Gateway::start(settings, dialect, placement_options, network).await?;
    let dispatch = gateway.context.dispatch.clone();
    let limits = retry_budget(&gateway.context.settings);
    crate::tasks::spawn(follow_settings(hangup, read_settings, limits, dispatch));
    let ended_task = tokio::select! {
        _ = terminate.recv() => None,
        task = gateway.tasks.first_ended() => Some(task),
    };
    if let Some(task) = ended_task {
        return Err(NodeError::TaskEnded(task));
    }
    tracing::info!(event = "stopping", reason = "SIGTERM");
    gateway.stop().await;
    tracing::info!(event = "stopped");
    Ok(())
}

/// A running gateway. [`run`] starts one per process; tests in virtual time start several in
/// one process.
pub struct Gateway {
    context: Context,
    tasks: EssentialTasks,
    stage: watch::Sender<Stage>,
}

impl Gateway {
    /// Starts a gateway's tasks on the current runtime and returns when its listeners are
    /// open.
    pub async fn start(
        settings: NodeSettings,
        dialect: Arc<dyn Dialect>,
        placement_options: PlacementOptions,
        network: Arc<dyn Network>,
    ) -> Result<Self, NodeError> {
        let (stage, lifecycle) = Lifecycle::running();
        let tasks = EssentialTasks::new(lifecycle.clone());
        let context = start(
            settings,
            dialect,
            placement_options,
            network,
            lifecycle,
            &tasks,
        )
        .await?;
        Ok(Self {
            context,
            tasks,
            stage,
        })
    }

    /// Stops the gateway in order. It first accepts requests as long as load balancers may
    /// still send some, then waits until no request is in flight or the grace period is almost
    /// over.
    pub async fn stop(&self) {
        drain(&self.context, &self.stage).await;
    }
}

/// Reads the settings again at each SIGHUP and every [`SETTINGS_INTERVAL`], and applies the
/// retry budget in them, which can change while the process runs. Faulty settings are logged
/// and ignored.
async fn follow_settings(
    mut hangup: Signal,
    read_settings: impl Fn() -> Result<NodeSettings, String>,
    mut limits: BudgetLimits,
    dispatch: DispatchHandle,
) {
    loop {
        // Whether this reading follows a SIGHUP.
        let told = timeout(SETTINGS_INTERVAL, hangup.recv()).await.is_ok();
        match read_settings() {
            Err(cause) => tracing::warn!(event = "settings_rejected", cause),
            Ok(settings) => {
                let new_limits = retry_budget(&settings);
                let changed = new_limits != limits;
                if changed {
                    limits = new_limits;
                    dispatch.set_budget_limits(limits);
                }
                if told || changed {
                    tracing::info!(event = "settings_read", told, changed);
                }
            }
        }
    }
}

/// Takes the process through the stages `Draining` and `Closing`. Returns when no request is
/// in flight and callers have got their answers, or [`KILL_MARGIN`] before the grace period ends.
async fn drain(context: &Context, stage: &watch::Sender<Stage>) {
    let deadline = Instant::now() + context.settings.bounds.grace_period - KILL_MARGIN;
    context.lifecycle.set_deadline(deadline);
    stage.send_replace(Stage::Draining);
    sleep(NEW_CONNECTIONS_PERIOD).await;
    stage.send_replace(Stage::Closing);
    let remaining = deadline.saturating_duration_since(Instant::now());
    let ended = async {
        context.requests_in_flight.wait_until_idle().await;
        context.caller_connections.wait_until_idle().await;
    };
    if timeout(remaining, ended).await.is_err() {
        tracing::warn!(event = "stopped_with_callers");
    }
}

/// Builds the shared state, opens the listeners and spawns all tasks.
async fn start(
    settings: NodeSettings,
    dialect: Arc<dyn Dialect>,
    placement_options: PlacementOptions,
    network: Arc<dyn Network>,
    lifecycle: Lifecycle,
    tasks: &EssentialTasks,
) -> Result<Context, NodeError> {
    let settings = Arc::new(settings);
    let urgent_demand = Arc::new(Notify::new());
    let (routes_sender, routes) = watch::channel(None);
    let (confirmed_sender, confirmed_at) = watch::channel(None);
    let (read_sender, read_at) = watch::channel(None);
    let (quota, quota_inbox) = quota::channel();
    let (prefill, prefill_inbox) = prefill::channel();
    let uses_prefill = placement_options.switches.is_enabled(Mechanism::Prefill);
    let (crashes, crash_inbox) = crashes::channel();
    let (origins, origin_inbox) = origins::channel();
    let (rate_permits, rate_permit_requests) = mpsc::unbounded_channel();
    let (peer_handle, peer_inbox) = peers::channel();
    let now = Instant::now().into_std();
    let dispatcher = Dispatcher::new(
        settings.name.clone(),
        settings.zone.clone(),
        retry_budget(&settings),
        Site {
            regions: settings.regions.clone(),
            cold_bounds: settings.bounds.cold,
        },
        now,
    );
    let context = Context {
        dialect: dialect.clone(),
        network: network.clone(),
        settings: settings.clone(),
        started_at: Instant::now(),
        routes,
        confirmed_at,
        confirmations: Confirmations::new(read_at),
        old_view: Arc::default(),
        quota,
        prefill: uses_prefill.then(|| prefill.clone()),
        access_bounds: AccessBounds::new(&settings.bounds),
        dispatch: dispatch::start(dispatcher, urgent_demand.clone(), rate_permits, tasks),
        crashes,
        origins,
        pool: Arc::default(),
        reachability: Arc::default(),
        tunnel_peers: TunnelPeers::new(peer_handle.seen_peers(), settings.tunnel_address.port()),
        lifecycle,
        stalls: StallWatch::default(),
        requests_in_flight: Arc::default(),
        caller_connections: Arc::default(),
        metrics: Arc::default(),
        body_memory: body_memory(settings.limits.memory_bytes),
        answer_memory: AnswerMemory::new(settings.limits.memory_bytes),
    };
    let store = Store::new(
        settings.store_address,
        dialect,
        network.clone(),
        context.metrics.clone(),
    );
    let (placement_handle, placement_inbox) = placement::channel();
    let (leader_sender, leader) = watch::channel(None);
    let (lease_era_sender, lease_era) = watch::channel(0);
    let (lease, watched_lease) = watch::channel(None);
    let (recorded_sender, recorded) = watch::channel(RecordedVersions::new());
    let (sizes_sender, recorded_sizes) = watch::channel(RecordedSizes::default());
    let (wanted_sizes_sender, wanted_sizes) = watch::channel(None);
    let (changes_sender, changes) = mpsc::channel(CHANGE_QUEUE);

    let socket = network
        .datagrams(settings.peer_address)
        .await
        .map_err(|cause| address_error("peer address", settings.peer_address, cause))?;
    let follower_listener = network
        .listen(settings.peer_address)
        .await
        .map_err(|cause| address_error("peer address", settings.peer_address, cause))?;
    let tunnel_listener = network
        .listen(settings.tunnel_address)
        .await
        .map_err(|cause| address_error("tunnel address", settings.tunnel_address, cause))?;
    let caller_listener = network
        .listen(settings.caller_address)
        .await
        .map_err(|cause| address_error("caller address", settings.caller_address, cause))?;
    let readiness_listener = network
        .listen(settings.readiness_address)
        .await
        .map_err(|cause| address_error("readiness address", settings.readiness_address, cause))?;

    let discovery = Discovery {
        context: context.clone(),
        routes: routes_sender,
        placement: placement_handle.clone(),
        peers: peer_handle.clone(),
        leader: leader_sender,
        lease_era: lease_era_sender,
        confirmed_at: confirmed_sender,
        read_at: read_sender,
        configuration_keeper: ConfigurationKeeper {
            context: context.clone(),
            store: store.clone(),
            seen_peers: peer_handle.seen_peers(),
            shown_version: watch::Sender::new(0),
        },
        configuration_item: None,
        kept_revision: None,
        configuration_unreadable: false,
        names: Names::default(),
        arrivals: Arrivals::default(),
        runners: HashMap::new(),
        contradicting_entries: ContradictingEntries::default(),
        restore_tracker: RestoreTracker::default(),
        recorded_software: recorded_sender,
        recorded_sizes: sizes_sender,
        evacuated_zones: BTreeMap::new(),
    };
    let seen_peers = peer_handle.seen_peers();
    let feed_peers = peer_handle.seen_peers();
    let load_rate_limits = LoadRateLimits {
        window: settings.bounds.load_window,
        overage: settings.bounds.load_overage,
    };
    let planner = Planner::new(placement_options.planner_settings(load_rate_limits), now);
    let quota_task = QuotaTask::new(context.clone(), peer_handle.clone(), quota_inbox);
    let crash_task = CrashTask::new(context.clone(), peer_handle.clone(), crash_inbox);
    let origin_task = OriginTask::new(context.clone(), peer_handle.clone(), origin_inbox);
    let prefill_task =
        PrefillTask::new(context.clone(), peer_handle.clone(), prefill, prefill_inbox);
    let placement_task = PlacementTask::new(
        context.clone(),
        planner,
        watched_lease,
        peer_handle,
        wanted_sizes_sender,
        placement_handle.clone(),
        placement_inbox,
    );
    let peer_task = peers::PeerTask::new(
        context.clone(),
        socket,
        peer_inbox,
        leader.clone(),
        placement_handle,
        urgent_demand,
    );
    let software_recorder = SoftwareRecorder {
        context: context.clone(),
        store: store.clone(),
        lease: lease.subscribe(),
        recorded,
    };
    let size_recorder = SizeRecorder {
        store: store.clone(),
        lease: lease.subscribe(),
        leader: leader.clone(),
        recorded: recorded_sizes,
        wanted: wanted_sizes,
    };
    let lease_keeper = LeaseKeeper {
        context: context.clone(),
        store: store.clone(),
        leader,
        lease_era,
        seen_peers,
        lease,
    };
    tasks.spawn("discovery", discovery.run(changes));
    let (feed_state_sender, feed_state) = watch::channel(FeedState::default());
    let feed_task = FeedTask::new(
        context.clone(),
        store.with_own_connections(),
        feed_peers,
        feed_state_sender,
        changes_sender,
    );
    tasks.spawn(
        "feed_server",
        feed::serve(follower_listener, feed_state.clone()),
    );
    tasks.spawn("feed", feed_task.run());
    tasks.spawn("tunnels", tunnel::serve(context.clone(), tunnel_listener));
    tasks.spawn(
        "register",
        register::register(store, context.clone(), feed_state.clone()),
    );
    tasks.spawn("peers", peer_task.run());
    tasks.spawn("placement", placement_task.run());
    tasks.spawn("quota", quota_task.run());
    if uses_prefill {
        tasks.spawn("prefill", prefill_task.run());
    }
    tasks.spawn("crashes", crash_task.run());
    tasks.spawn("origins", origin_task.run());
    tasks.spawn(
        "rate_permits",
        rate_permits::serve_requests(context.clone(), rate_permit_requests),
    );
    tasks.spawn("lease", lease_keeper.run());
    tasks.spawn("software_record", software_recorder.run());
    tasks.spawn("size_record", size_recorder.run());
    tasks.spawn(
        "idle_connections",
        close_expired_connections(context.clone()),
    );
    tasks.spawn("arrival_probes", probe_runners(context.clone()));
    tasks.spawn("stalls", context.stalls.clone().report_stalls());
    if let Some(address) = settings.metrics_address {
        let metrics_listener = network
            .listen(address)
            .await
            .map_err(|cause| address_error("metrics address", address, cause))?;
        serve_metrics(&context, metrics_listener);
    }
    serve(&context, caller_listener, readiness_listener, tasks);
    tracing::info!(
        event = "started",
        zone = &*settings.zone,
        callers = %settings.caller_address,
        store = %settings.store_address,
        fencing_enforced = settings.bounds.fencing_enforced,
        retry_extra = settings.bounds.retry_extra
    );
    Ok(context)
}

fn address_error(what: &'static str, address: std::net::SocketAddr, cause: io::Error) -> NodeError {
    NodeError::Address {
        what,
        address: address.to_string(),
        cause,
    }
}

fn retry_budget(settings: &NodeSettings) -> BudgetLimits {
    BudgetLimits {
        ratio: settings.bounds.retry_ratio,
        window: settings.bounds.retry_window,
        extra: settings.bounds.retry_extra,
    }
}

/// Spawns the tasks that serve callers' requests and readiness checks.
fn serve(
    context: &Context,
    caller_listener: Box<dyn Listener>,
    readiness_listener: Box<dyn Listener>,
    tasks: &EssentialTasks,
) {
    let descriptors = context.settings.limits.descriptors as usize;
    let connections = descriptors
        .saturating_sub(RESERVED_DESCRIPTORS)
        .max(MIN_CONNECTIONS);
    let limits_context = context.clone();
    let limits = move || {
        let routes = limits_context.routes.borrow();
        let limits = routes
            .as_ref()
            .map(|table| table.configuration().limits.clone())
            .unwrap_or_default();
        ListenerLimits {
            connections,
            header_bytes: limits.header_bytes,
            idle_timeout: limits.idle_timeout,
        }
    };
    let request_context = context.clone();
    let handle = move |request| {
        let context = request_context.clone();
        request::serve(context, request)
    };
    let lifecycle = context.lifecycle.clone();
    let caller_limits = limits.clone();
    tasks.spawn(
        "callers",
        listener::serve(
            caller_listener,
            caller_limits,
            lifecycle,
            context.caller_connections.clone(),
            handle,
        ),
    );
    let readiness_context = context.clone();
    let answer = move |request| {
        let context = readiness_context.clone();
        async move { readiness::answer(&context, &request) }
    };
    let never_stopped = Lifecycle::never_stopped();
    tasks.spawn(
        "readiness",
        listener::serve(
            readiness_listener,
            limits,
            never_stopped,
            Arc::default(),
            answer,
        ),
    );
}

/// Spawns the task that serves the metrics, on an address of its own.
fn serve_metrics(context: &Context, metrics_listener: Box<dyn Listener>) {
    let limits = || ListenerLimits {
        connections: MIN_CONNECTIONS,
        header_bytes: 0,
        idle_timeout: Duration::from_secs(15),
    };
    let metrics_context = context.clone();
    let answer = move |_request| {
        let text = metrics_context.metrics.text();
        async move { http::Response::new(AnswerBody::whole(text)) }
    };
    let never_stopped = Lifecycle::never_stopped();
    crate::tasks::spawn(listener::serve(
        metrics_listener,
        limits,
        never_stopped,
        Arc::default(),
        answer,
    ));
}

/// Closes connections to runners that exceed their idle limit, for as long as the process
/// runs.
async fn close_expired_connections(context: Context) {
    loop {
        sleep(IDLE_CHECK_INTERVAL).await;
        context.pool.close_expired();
    }
}
