//! Starts a gateway and ends it.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_callers::AccessBounds;
use barleyspar_catalog::{Dialect, NodeSettings};
use barleyspar_dispatch::{BudgetLimits, Dispatcher, Site};
use barleyspar_loading::{PaceLimits, Planner, PlannerSettings, Switches};
use barleyspar_policy::Program;
use thiserror::Error;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{Instant, sleep, timeout};

use crate::arrivals::Arrivals;
use crate::body::AnswerBody;
use crate::context::{Context, body_memory};
use crate::crashes::CrashTask;
use crate::discovery::Discovery;
use crate::dispatch::DispatchHandle;
use crate::feed::{FeedState, FeedTask};
use crate::kept_configuration::ConfigurationKeeper;
use crate::lifecycle::{Lifecycle, Stage};
use crate::listener::{self, ListenerLimits};
use crate::names::Names;
use crate::network::{Listener, Network, Sockets};
use crate::placement::{self, LeaseKeeper, PlacementTask};
use crate::quota::QuotaTask;
use crate::restored::Restored;
use crate::store::Store;
use crate::{crashes, dispatch, feed, peers, quota, rate_permits, readiness, register, request};

/// Changes of the store that may wait to be taken in.
const CHANGES: usize = 64;
/// Descriptors kept for runners, the store and files.
const OTHER_DESCRIPTORS: usize = 1200;
/// Fewest callers' connections.
const FEWEST_CONNECTIONS: usize = 64;
/// Time after the request to stop in which new connections may still come.
const STILL_FOUND: Duration = Duration::from_millis(2600);
/// Time before the kill at which what is left is cut.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// Time between two looks at the settings when nobody says that they changed.
const SETTINGS_CHECK: Duration = Duration::from_secs(5);
/// Time between two looks at idle connections.
const SWEEP: Duration = Duration::from_secs(2);

/// Why a gateway could not run.
#[derive(Debug, Error)]
pub enum NodeError {
    /// An address could not be used.
    #[error("{what} {address}: {cause}")]
    Address {
        /// What the address is for.
        what: &'static str,
        /// The address.
        address: String,
        /// Why.
        cause: io::Error,
    },
    /// Signals cannot be taken.
    #[error("signals: {0}")]
    Signals(io::Error),
}

/// How models are placed: what operators and those who measure decide.
#[derive(Debug)]
pub struct Placing {
    /// How many replicas a model may have.
    pub policy: Program,
    /// What is switched off.
    pub switches: Switches,
}

impl Placing {
    fn with_pace(self, pace: PaceLimits) -> PlannerSettings {
        PlannerSettings {
            policy: self.policy,
            pace,
            switches: self.switches,
        }
    }
}

/// Runs a gateway until it is told to stop.
pub async fn run(
    read_settings: impl Fn() -> Result<NodeSettings, String> + Send + 'static,
    settings: NodeSettings,
    dialect: Arc<dyn Dialect>,
    placing: Placing,
) -> Result<(), NodeError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(NodeError::Signals)?;
    let hangup = signal(SignalKind::hangup()).map_err(NodeError::Signals)?;
    let gateway = Gateway::start(settings, dialect, placing, Arc::new(Sockets)).await?;
    let dispatch = gateway.context.dispatch.clone();
    let limits = budget(&gateway.context.settings);
    crate::tasks::spawn(follow_settings(hangup, read_settings, limits, dispatch));
    let _ = terminate.recv().await;
    tracing::info!(event = "stopping", reason = "SIGTERM");
    gateway.stop().await;
    tracing::info!(event = "stopped");
    Ok(())
}

/// A running gateway.
pub struct Gateway {
    context: Context,
    stage: watch::Sender<Stage>,
}

impl Gateway {
    /// Starts a gateway's tasks on the current runtime.
    pub async fn start(
        settings: NodeSettings,
        dialect: Arc<dyn Dialect>,
        placing: Placing,
        network: Arc<dyn Network>,
    ) -> Result<Self, NodeError> {
        let (stage, lifecycle) = Lifecycle::running();
        let context = start(settings, dialect, placing, network, lifecycle).await?;
        Ok(Self { context, stage })
    }

    /// Serves on until nothing comes any more, then until nothing is left or
    /// the grace period is over.
    pub async fn stop(&self) {
        drain(&self.context, &self.stage).await;
    }
}

/// Reads the settings anew when told to, and now and then; what can change
/// while the process runs is put in force, faulty settings are not.
async fn follow_settings(
    mut hangup: Signal,
    read_settings: impl Fn() -> Result<NodeSettings, String>,
    mut limits: BudgetLimits,
    dispatch: DispatchHandle,
) {
    loop {
        let told = timeout(SETTINGS_CHECK, hangup.recv()).await.is_ok();
        match read_settings() {
            Err(cause) => tracing::warn!(event = "settings_rejected", cause),
            Ok(settings) => {
                let newer = budget(&settings);
                let changed = newer != limits;
                if changed {
                    limits = newer;
                    dispatch.set_limits(limits);
                }
                if told || changed {
                    tracing::info!(event = "settings_read", told, changed);
                }
            }
        }
    }
}

async fn drain(context: &Context, stage: &watch::Sender<Stage>) {
    let deadline = Instant::now() + context.settings.bounds.grace_period - KILL_MARGIN;
    context.lifecycle.end_at(deadline);
    stage.send_replace(Stage::Draining);
    sleep(STILL_FOUND).await;
    stage.send_replace(Stage::Closing);
    let left = deadline.saturating_duration_since(Instant::now());
    let _ = timeout(left, context.requests.idle()).await;
}

async fn start(
    settings: NodeSettings,
    dialect: Arc<dyn Dialect>,
    placing: Placing,
    network: Arc<dyn Network>,
    lifecycle: Lifecycle,
) -> Result<Context, NodeError> {
    let settings = Arc::new(settings);
    let urgent = Arc::new(Notify::new());
    let (routes_sender, routes) = watch::channel(None);
    let (confirmed_sender, confirmed) = watch::channel(None);
    let (quota, quota_inbox) = quota::channel();
    let (crashes, crash_inbox) = crashes::channel();
    let (rate_permits, rate_permits_wanted) = mpsc::unbounded_channel();
    let now = Instant::now().into_std();
    let dispatcher = Dispatcher::new(
        settings.name.clone(),
        settings.zone.clone(),
        budget(&settings),
        Site {
            regions: settings.regions.clone(),
            cold: settings.bounds.cold,
        },
        now,
    );
    let context = Context {
        dialect: dialect.clone(),
        network: network.clone(),
        settings: settings.clone(),
        started: Instant::now(),
        routes,
        confirmed,
        quota,
        access: AccessBounds::new(&settings.bounds),
        dispatch: dispatch::start(dispatcher, urgent.clone(), rate_permits),
        crashes,
        pool: Arc::default(),
        lifecycle,
        requests: Arc::default(),
        metrics: Arc::default(),
        body_memory: body_memory(settings.limits.memory_bytes),
    };
    let store = Store::new(
        settings.store_address,
        dialect,
        network.clone(),
        context.metrics.clone(),
    );
    let (placement_handle, placement_inbox) = placement::channel();
    let (peer_handle, peer_inbox) = peers::channel();
    let (leader_sender, leader) = watch::channel(None);
    let (settled_era_sender, settled_era) = watch::channel(0);
    let (held, lease) = watch::channel(None);
    let (changes_sender, changes) = mpsc::channel(CHANGES);

    let socket = network
        .datagrams(settings.peer_address)
        .await
        .map_err(|cause| address_error("peer address", settings.peer_address, cause))?;
    let followers = network
        .listen(settings.peer_address)
        .await
        .map_err(|cause| address_error("peer address", settings.peer_address, cause))?;
    let callers = network
        .listen(settings.caller_address)
        .await
        .map_err(|cause| address_error("caller address", settings.caller_address, cause))?;
    let questions = network
        .listen(settings.readiness_address)
        .await
        .map_err(|cause| address_error("readiness address", settings.readiness_address, cause))?;

    let discovery = Discovery {
        context: context.clone(),
        routes: routes_sender,
        placement: placement_handle.clone(),
        peers: peer_handle.clone(),
        leader: leader_sender,
        settled_era: settled_era_sender,
        confirmed: confirmed_sender,
        keeper: ConfigurationKeeper {
            context: context.clone(),
            store: store.clone(),
            heard: peer_handle.heard(),
            shown: watch::Sender::new(0),
        },
        in_force: None,
        kept: None,
        unreadable: false,
        names: Names::default(),
        arrivals: Arrivals::default(),
        runners: HashMap::new(),
        restored: Restored::default(),
        evacuated: BTreeMap::new(),
    };
    let heard = peer_handle.heard();
    let feed_heard = peer_handle.heard();
    let pace = PaceLimits {
        window: settings.bounds.load_window,
        overage: settings.bounds.load_overage,
    };
    let planner = Planner::new(placing.with_pace(pace), now);
    let quota_task = QuotaTask::new(context.clone(), peer_handle.clone(), quota_inbox);
    let placement_task = PlacementTask::new(
        context.clone(),
        planner,
        lease,
        peer_handle,
        placement_handle.clone(),
        placement_inbox,
    );
    let peer_task = peers::PeerTask::new(
        context.clone(),
        socket,
        peer_inbox,
        leader.clone(),
        placement_handle,
        urgent,
    );
    let lease_keeper = LeaseKeeper {
        context: context.clone(),
        store: store.clone(),
        leader,
        settled_era,
        heard,
        held,
    };
    crate::tasks::spawn(discovery.run(changes));
    let (feed_state, feed_seen) = watch::channel(FeedState::default());
    let feed_task = FeedTask::new(
        context.clone(),
        store.separate(),
        feed_heard,
        feed_state,
        changes_sender,
    );
    crate::tasks::spawn(feed::serve(followers, feed_seen.clone()));
    crate::tasks::spawn(feed_task.run());
    crate::tasks::spawn(register::register(
        store,
        context.clone(),
        feed_seen.clone(),
    ));
    crate::tasks::spawn(peer_task.run());
    crate::tasks::spawn(placement_task.run());
    crate::tasks::spawn(quota_task.run());
    crate::tasks::spawn(CrashTask::new(context.clone(), crash_inbox).run());
    crate::tasks::spawn(rate_permits::ask(context.clone(), rate_permits_wanted));
    crate::tasks::spawn(lease_keeper.run());
    crate::tasks::spawn(sweep(context.clone()));
    if let Some(address) = settings.metrics_address {
        let figures = network
            .listen(address)
            .await
            .map_err(|cause| address_error("metrics address", address, cause))?;
        serve_figures(&context, figures);
    }
    serve(&context, callers, questions);
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

fn budget(settings: &NodeSettings) -> BudgetLimits {
    BudgetLimits {
        ratio: settings.bounds.retry_ratio,
        window: settings.bounds.retry_window,
        extra: settings.bounds.retry_extra,
    }
}

fn serve(context: &Context, callers: Box<dyn Listener>, questions: Box<dyn Listener>) {
    let descriptors = context.settings.limits.descriptors as usize;
    let connections = descriptors
        .saturating_sub(OTHER_DESCRIPTORS)
        .max(FEWEST_CONNECTIONS);
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
    let serving = context.clone();
    let handle = move |request| {
        let context = serving.clone();
        request::serve(context, request)
    };
    let lifecycle = context.lifecycle.clone();
    let caller_limits = limits.clone();
    crate::tasks::spawn(listener::serve(callers, caller_limits, lifecycle, handle));
    let asked = context.clone();
    let answer = move |request| {
        let context = asked.clone();
        async move { readiness::answer(&context, &request) }
    };
    let forever = Lifecycle::forever();
    crate::tasks::spawn(listener::serve(questions, limits, forever, answer));
}

/// Serves the figures on an address of their own.
fn serve_figures(context: &Context, figures: Box<dyn Listener>) {
    let limits = || ListenerLimits {
        connections: FEWEST_CONNECTIONS,
        header_bytes: 0,
        idle_timeout: Duration::from_secs(15),
    };
    let asked = context.clone();
    let answer = move |_request| {
        let text = asked.metrics.text();
        async move { http::Response::new(AnswerBody::whole(text)) }
    };
    let forever = Lifecycle::forever();
    crate::tasks::spawn(listener::serve(figures, limits, forever, answer));
}

/// Closes connections that rest too long.
async fn sweep(context: Context) {
    loop {
        sleep(SWEEP).await;
        context.pool.sweep();
    }
}
