//! Running a node over real sockets until it is told to stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use barleyspar_kernel::{Kernel, Stage};
use barleyspar_membership::MembershipConfig;
use barleyspar_peer::{PeerDispatch, PeerListener, SharedSecret, TcpTransport, Traffic};
use barleyspar_platform::http::{HttpEngine, HttpKeyValue, HttpMachineList, HttpPlainService};
use poem::{Endpoint, Server};

use crate::caller::CallerApi;
use crate::listener::BoundedAcceptor;
use crate::operator::OperatorApi;
use crate::{Node, NodeError, NodeIdentity, NodeSettings, NodeTuning, Ports};

/// A connection without any byte either way for this long beyond the longest
/// deadline of a request is closed.
const IDLE_MARGIN: Duration = Duration::from_secs(60);

fn wall_clock() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// Runs a node until `stop` completes, then drains it. Returns the number of
/// tasks that had to be cut.
pub async fn run(
    settings: NodeSettings,
    tuning: NodeTuning,
    stop: impl Future<Output = ()> + Send,
) -> Result<usize, NodeError> {
    let traffic = Traffic::default();
    let dispatch = PeerDispatch::default();
    let secret = SharedSecret::new(&settings.node.shared_secret);
    let peers = PeerListener::bind(
        settings.node.peer_address,
        secret.clone(),
        traffic.clone(),
        dispatch.clone(),
    );
    let peers = peers.await.map_err(|source| NodeError::Listen {
        what: "peer listener",
        address: settings.node.peer_address.to_string(),
        source,
    })?;
    let ports = ports(&settings, secret, &traffic, dispatch)?;
    let membership = MembershipConfig {
        seeds: settings.node.seeds.clone(),
        ..tuning.membership
    };
    let identity = NodeIdentity {
        name: settings.node.name.clone(),
        zone: settings.node.zone.clone(),
        peer_address: settings.node.peer_address,
        incarnation: wall_clock(),
    };
    let node = Node::start(
        identity,
        ports,
        NodeTuning {
            membership,
            ..tuning
        },
    );
    let kernel = node.kernel.clone();
    let control_stop = kernel.stop_signal(Stage::Control);
    kernel.spawn(Stage::Control, async move {
        tokio::select! {
            biased;
            () = control_stop.raised() => {}
            () = peers.run() => {}
        }
    });
    let callers = CallerApi::new(node.clone(), settings.limits.clone(), traffic);
    let longest = Duration::from_millis(settings.limits.longest_deadline_milliseconds);
    let idle_limit = longest + IDLE_MARGIN;
    serve(
        &kernel,
        "caller listener",
        settings.node.caller_address,
        callers.routes(),
        idle_limit,
    )
    .await?;
    let operators = OperatorApi::new(node.clone(), settings.operator.clone());
    serve(
        &kernel,
        "operator listener",
        settings.node.operator_address,
        operators.routes(),
        idle_limit,
    )
    .await?;
    tracing::info!(
        node = %settings.node.name,
        zone = %settings.node.zone,
        callers = %settings.node.caller_address,
        operators = %settings.node.operator_address,
        peers = %settings.node.peer_address,
        "node started"
    );
    stop.await;
    tracing::info!(node = %settings.node.name, "node is draining");
    let limit = Duration::from_secs(settings.node.drain_seconds);
    let cut = node.drain(limit).await;
    tracing::info!(node = %settings.node.name, cut, "node stopped");
    Ok(cut)
}

fn ports(
    settings: &NodeSettings,
    secret: SharedSecret,
    traffic: &Traffic,
    dispatch: PeerDispatch,
) -> Result<Ports, NodeError> {
    let failed = |error: &dyn std::fmt::Display| NodeError::Client(error.to_string());
    let key_value = HttpKeyValue::new(settings.platform.key_value.clone());
    let machines = HttpMachineList::new(settings.platform.machine_list.clone());
    Ok(Ports {
        key_value: Arc::new(key_value.map_err(|e| failed(&e))?),
        machines: Arc::new(machines.map_err(|e| failed(&e))?),
        engine: Arc::new(HttpEngine::new().map_err(|e| failed(&e))?),
        plain: Arc::new(HttpPlainService::new().map_err(|e| failed(&e))?),
        transport: Arc::new(TcpTransport::new(secret, traffic.clone())),
        dispatch,
        wall_clock: Arc::new(wall_clock),
        seed: rand::random(),
    })
}

/// Opens a listener and serves `routes` there until the front stage stops; then
/// nothing new is accepted, and connections end with their requests.
async fn serve<E>(
    kernel: &Kernel,
    what: &'static str,
    address: SocketAddr,
    routes: E,
    idle_limit: Duration,
) -> Result<(), NodeError>
where
    E: Endpoint + 'static,
{
    let acceptor = BoundedAcceptor::bind(address).await;
    let acceptor = acceptor.map_err(|source| NodeError::Listen {
        what,
        address: address.to_string(),
        source,
    })?;
    let stop = kernel.stop_signal(Stage::Front);
    let server = Server::new_with_acceptor(acceptor).idle_timeout(idle_limit);
    kernel.spawn(Stage::Front, async move {
        let stopped = async move { stop.raised().await };
        let served = server
            .run_with_graceful_shutdown(routes, stopped, None)
            .await;
        if let Err(error) = served {
            tracing::error!(what, %error, "listener failed");
        }
    });
    Ok(())
}
