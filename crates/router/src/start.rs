//! Start of the router at one node.

use std::sync::Arc;

use barleyspar_control_log::ControlLog;
use barleyspar_domain::{Verdict, ZoneName};
use barleyspar_kernel::{Address, Kernel, Stage, mailbox};
use barleyspar_membership::MembershipHandle;
use barleyspar_peer::PeerTransport;
use barleyspar_placement::{KeeperHandle, LeavingNotices, Placement};
use barleyspar_platform::plain::PlainResponse;
use barleyspar_platform::{Engine, KeyValue, PlainService};
use tokio::sync::oneshot;

use crate::claims::Claims;
use crate::metrics::RouterCounters;
use crate::plain::{PlainCall, PlainRouter};
use crate::requests::{AnswerStream, ModelRequest};
use crate::service::{Message, Service};
use crate::{Reason, Refusal, RouterConfig};

const MAILBOX_CAPACITY: usize = 8192;
const SERVICE: &str = "router";

/// What the router is started with.
pub struct RouterParts {
    /// Kernel of the node.
    pub kernel: Kernel,
    /// Settings.
    pub config: RouterConfig,
    /// Calls to other nodes.
    pub transport: Arc<dyn PeerTransport>,
    /// Membership.
    pub membership: MembershipHandle,
    /// Control log.
    pub log: ControlLog,
    /// Placement.
    pub placement: Placement,
    /// Engines.
    pub engine: Arc<dyn Engine>,
    /// Plain services.
    pub plain: Arc<dyn PlainService>,
    /// The platform's key-value service.
    pub key_value: Arc<dyn KeyValue>,
    /// Wall clock, in milliseconds since the Unix epoch.
    pub wall_clock: Arc<dyn Fn() -> u64 + Send + Sync>,
}

/// What the router's tasks share.
pub(crate) struct Shared {
    pub kernel: Kernel,
    pub config: RouterConfig,
    pub zone: ZoneName,
    pub transport: Arc<dyn PeerTransport>,
    pub membership: MembershipHandle,
    pub log: ControlLog,
    pub keeper: KeeperHandle,
    pub notices: LeavingNotices,
    pub engine: Arc<dyn Engine>,
    pub plain: Arc<dyn PlainService>,
    pub counters: RouterCounters,
    pub service: Address<Message>,
    pub wall_clock: Arc<dyn Fn() -> u64 + Send + Sync>,
}

/// Handle to the router. Cheap to clone.
#[derive(Clone)]
pub struct Router {
    address: Address<Message>,
    plain: Arc<PlainRouter>,
    counters: RouterCounters,
}

impl Router {
    /// Answers or refuses a request for a model by its deadline.
    pub async fn generate(&self, request: ModelRequest) -> Result<AnswerStream, Refusal> {
        let (reply, outcome) = oneshot::channel();
        let message = Message::Submit(Box::new(request), reply);
        if self.address.try_send(message).is_err() {
            let refusal = Refusal::not_run(Reason::QueueFull, "this node is overloaded");
            return Err(refusal.retry_after(std::time::Duration::from_secs(1)));
        }
        outcome.await.unwrap_or_else(|_| {
            Err(Refusal {
                verdict: Verdict::MayHaveRun,
                reason: Reason::Stopping,
                detail: "the router ended".to_owned(),
                retry_after: None,
            })
        })
    }

    /// Answers or refuses a request to a plain service by its deadline.
    pub async fn call_plain(&self, call: PlainCall) -> Result<PlainResponse, Refusal> {
        self.plain.call(call).await
    }

    /// Counters.
    pub fn counters(&self) -> &RouterCounters {
        &self.counters
    }
}

/// Starts the router.
pub fn start(parts: RouterParts) -> Router {
    let (address, inbox) = mailbox(MAILBOX_CAPACITY);
    let counters = RouterCounters::default();
    let claims = Claims::new(parts.key_value, parts.config.claim_time);
    let shared = Arc::new(Shared {
        kernel: parts.kernel.clone(),
        config: parts.config,
        zone: parts.membership.view().me.zone.clone(),
        transport: parts.transport,
        membership: parts.membership,
        log: parts.log,
        keeper: parts.placement.keeper,
        notices: parts.placement.notices,
        engine: parts.engine,
        plain: parts.plain,
        counters: counters.clone(),
        service: address.clone(),
        wall_clock: parts.wall_clock,
    });
    parts.kernel.registry().register(SERVICE, address.clone());
    let plain = Arc::new(PlainRouter::new(Arc::clone(&shared), claims));
    parts.kernel.supervise(Stage::Work, SERVICE, move || {
        Service::new(Arc::clone(&shared)).run(inbox.clone())
    });
    Router {
        address,
        plain,
        counters,
    }
}
