//! Wiring of one node's services.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_control_log::{ControlLog, ControlLogConfig, StartParts};
use barleyspar_domain::{NodeName, ZoneName};
use barleyspar_kernel::{Kernel, Stage, mailbox};
use barleyspar_membership::{Identity, MembershipConfig, MembershipHandle};
use barleyspar_peer::{PeerDispatch, PeerTransport};
use barleyspar_placement::{Placement, PlacementConfig, PlacementParts};
use barleyspar_platform::{Engine, KeyValue, MachineList, PlainService};
use barleyspar_router::{Router, RouterConfig, RouterParts};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;

/// Notices of peers that are ahead in the log, waiting to be followed.
const AHEAD_CAPACITY: usize = 16;

/// Time for work to end once no request is in flight any more.
const WORK_LIMIT: Duration = Duration::from_secs(5);
/// Time for control tasks to end; those that wait for others are then dropped.
const CONTROL_LIMIT: Duration = Duration::from_secs(1);

/// Who a node is.
#[derive(Debug, Clone)]
pub struct NodeIdentity {
    /// Name.
    pub name: NodeName,
    /// Zone.
    pub zone: ZoneName,
    /// Address for other nodes.
    pub peer_address: SocketAddr,
    /// Larger than at any earlier start under this name.
    pub incarnation: u64,
}

/// The ports through which a node meets the world.
#[derive(Clone)]
pub struct Ports {
    /// The platform's key-value service.
    pub key_value: Arc<dyn KeyValue>,
    /// The platform's machine list.
    pub machines: Arc<dyn MachineList>,
    /// Model engines.
    pub engine: Arc<dyn Engine>,
    /// Plain services.
    pub plain: Arc<dyn PlainService>,
    /// Calls to other nodes.
    pub transport: Arc<dyn PeerTransport>,
    /// Calls from other nodes.
    pub dispatch: PeerDispatch,
    /// Wall clock, in milliseconds since the Unix epoch.
    pub wall_clock: Arc<dyn Fn() -> u64 + Send + Sync>,
    /// Seed of all randomness of the node.
    pub seed: u64,
}

/// Settings of a node's services; the defaults are for production.
#[derive(Debug, Clone, Default)]
pub struct NodeTuning {
    /// Membership.
    pub membership: MembershipConfig,
    /// Control log.
    pub log: ControlLogConfig,
    /// Placement.
    pub placement: PlacementConfig,
    /// Router.
    pub router: RouterConfig,
}

/// A running node. Cheap to clone.
#[derive(Clone)]
pub struct Node {
    /// Kernel.
    pub kernel: Kernel,
    /// Membership.
    pub membership: MembershipHandle,
    /// Control log.
    pub log: ControlLog,
    /// Placement.
    pub placement: Placement,
    /// Router.
    pub router: Router,
    /// Calls to other nodes.
    pub transport: Arc<dyn PeerTransport>,
    /// Wall clock, in milliseconds since the Unix epoch.
    pub wall_clock: Arc<dyn Fn() -> u64 + Send + Sync>,
}

impl Node {
    /// Starts all services of a node.
    pub fn start(identity: NodeIdentity, ports: Ports, tuning: NodeTuning) -> Self {
        let kernel = Kernel::new();
        let mut random = ChaCha8Rng::seed_from_u64(ports.seed);
        let (position_sender, position) = watch::channel(0);
        let (ahead, ahead_inbox) = mailbox(AHEAD_CAPACITY);
        let membership = barleyspar_membership::start(
            &kernel,
            Identity {
                name: identity.name,
                zone: identity.zone,
                address: identity.peer_address,
                incarnation: identity.incarnation,
            },
            tuning.membership,
            Arc::clone(&ports.transport),
            &ports.dispatch,
            position,
            ahead,
            ChaCha8Rng::from_rng(&mut random),
        );
        let log = barleyspar_control_log::start(StartParts {
            kernel: kernel.clone(),
            config: tuning.log,
            key_value: Arc::clone(&ports.key_value),
            transport: Arc::clone(&ports.transport),
            dispatch: ports.dispatch.clone(),
            membership: membership.clone(),
            ahead: ahead_inbox,
            position: position_sender,
            random: ChaCha8Rng::from_rng(&mut random),
            wall_clock: Arc::clone(&ports.wall_clock),
        });
        let placement = barleyspar_placement::start(PlacementParts {
            kernel: kernel.clone(),
            config: tuning.placement,
            transport: Arc::clone(&ports.transport),
            dispatch: ports.dispatch.clone(),
            membership: membership.clone(),
            log: log.clone(),
            engine: Arc::clone(&ports.engine),
            machines: ports.machines,
            random: ChaCha8Rng::from_rng(&mut random),
            wall_clock: Arc::clone(&ports.wall_clock),
        });
        let router = barleyspar_router::start(RouterParts {
            kernel: kernel.clone(),
            config: tuning.router,
            transport: Arc::clone(&ports.transport),
            membership: membership.clone(),
            log: log.clone(),
            placement: placement.clone(),
            engine: ports.engine,
            plain: ports.plain,
            key_value: ports.key_value,
            wall_clock: Arc::clone(&ports.wall_clock),
        });
        Self {
            kernel,
            membership,
            log,
            placement,
            router,
            transport: ports.transport,
            wall_clock: ports.wall_clock,
        }
    }

    /// Whether the node knows enough to serve callers.
    pub fn is_ready(&self) -> bool {
        self.log.view().current
    }

    /// Planned stop: tells the others, lets requests in flight end, and stops.
    /// Returns the number of tasks with requests that had to be cut after `limit`.
    pub async fn drain(&self, limit: Duration) -> usize {
        self.membership.leave().await;
        let front = self.kernel.shut_down_stage(Stage::Front, limit).await;
        let work = self.kernel.shut_down_stage(Stage::Work, WORK_LIMIT).await;
        self.kernel
            .shut_down_stage(Stage::Control, CONTROL_LIMIT)
            .await;
        self.kernel.abort_all();
        front + work
    }

    /// Ends the node at once, as the death of its process would.
    pub fn kill(&self) {
        self.kernel.abort_all();
    }
}
