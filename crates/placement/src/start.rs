//! Start of placement at one node.

use std::sync::{Arc, Mutex};

use barleyspar_control_log::ControlLog;
use barleyspar_kernel::{Kernel, Stage};
use barleyspar_membership::MembershipHandle;
use barleyspar_peer::{PeerDispatch, PeerTransport};
use barleyspar_platform::{Engine, MachineList};
use rand_chacha::ChaCha8Rng;

use crate::coordinator::run_coordinator;
use crate::keeper::{self, KeeperHandle};
use crate::machines::run_notices;
use crate::notices::NoticeHandler;
use crate::{Decisions, LeavingNotices, NOTICE_SERVICE, PlacementConfig};

/// What placement is started with.
pub struct PlacementParts {
    /// Kernel of the node.
    pub kernel: Kernel,
    /// Settings.
    pub config: PlacementConfig,
    /// Calls to other nodes.
    pub transport: Arc<dyn PeerTransport>,
    /// Calls from other nodes.
    pub dispatch: PeerDispatch,
    /// Membership.
    pub membership: MembershipHandle,
    /// Control log.
    pub log: ControlLog,
    /// Engines.
    pub engine: Arc<dyn Engine>,
    /// The platform's machine list.
    pub machines: Arc<dyn MachineList>,
    /// Random source.
    pub random: ChaCha8Rng,
    /// Wall clock, in milliseconds since the Unix epoch.
    pub wall_clock: Arc<dyn Fn() -> u64 + Send + Sync>,
}

/// What the tasks of placement share.
pub(crate) struct Shared {
    pub kernel: Kernel,
    pub config: PlacementConfig,
    pub transport: Arc<dyn PeerTransport>,
    pub membership: MembershipHandle,
    pub log: ControlLog,
    pub engine: Arc<dyn Engine>,
    pub machines: Arc<dyn MachineList>,
    pub notices: LeavingNotices,
    pub decisions: Mutex<Decisions>,
    pub wall_clock: Arc<dyn Fn() -> u64 + Send + Sync>,
}

/// Handles to placement.
#[derive(Clone)]
pub struct Placement {
    /// The keepers of this node.
    pub keeper: KeeperHandle,
    /// Runners known to be leaving.
    pub notices: LeavingNotices,
}

/// Starts placement at one node.
pub fn start(parts: PlacementParts) -> Placement {
    let notices = LeavingNotices::default();
    parts.dispatch.register(
        NOTICE_SERVICE,
        Arc::new(NoticeHandler {
            notices: notices.clone(),
        }),
    );
    let shared = Arc::new(Shared {
        kernel: parts.kernel.clone(),
        config: parts.config,
        transport: parts.transport,
        membership: parts.membership,
        log: parts.log,
        engine: parts.engine,
        machines: parts.machines,
        notices: notices.clone(),
        decisions: Mutex::default(),
        wall_clock: parts.wall_clock,
    });
    let coordinating = Arc::clone(&shared);
    parts
        .kernel
        .supervise(Stage::Control, "coordinator", move || {
            run_coordinator(Arc::clone(&coordinating))
        });
    let noticing = Arc::clone(&shared);
    parts
        .kernel
        .supervise(Stage::Control, "machine-notices", move || {
            run_notices(Arc::clone(&noticing))
        });
    let keeper = keeper::start(&shared, &parts.dispatch, parts.random);
    Placement { keeper, notices }
}
