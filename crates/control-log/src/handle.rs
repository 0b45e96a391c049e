//! Handle to the control log of this node, and its start.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use barleyspar_kernel::{Address, Kernel, Stage, mailbox};
use barleyspar_membership::{MembershipHandle, PeerAhead};
use barleyspar_peer::{PeerDispatch, PeerError, PeerHandler, PeerTransport, decode, encode};
use barleyspar_platform::KeyValue;
use bytes::Bytes;
use rand_chacha::ChaCha8Rng;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use crate::append::{AppendRequest, Appended, Proposal, run_appender};
use crate::follow::run_follower;
use crate::freshness::run_freshness;
use crate::messages::{Answer, Request};
use crate::service::{Message, run_service};
use crate::snapshot::run_snapshots;
use crate::spread::{InForce, spread_to_zones};
use crate::{AppendError, ControlLogConfig, ControlState, PEER_SERVICE};

const MAILBOX_CAPACITY: usize = 1024;
const APPEND_CAPACITY: usize = 64;

/// The state at one moment.
#[derive(Debug, Clone)]
pub struct LogView {
    /// The state.
    pub state: Arc<ControlState>,
    /// Whether this node has read the log to its end, at the key-value service
    /// or from a member that is current, and has been in contact ever since.
    /// Otherwise its state may be older than what the system has accepted.
    pub current: bool,
}

/// What the control log is started with.
pub struct StartParts {
    /// Kernel of the node.
    pub kernel: Kernel,
    /// Settings.
    pub config: ControlLogConfig,
    /// The platform's key-value service.
    pub key_value: Arc<dyn KeyValue>,
    /// Calls to other nodes.
    pub transport: Arc<dyn PeerTransport>,
    /// Calls from other nodes.
    pub dispatch: PeerDispatch,
    /// Membership.
    pub membership: MembershipHandle,
    /// Notices that another node has read further.
    pub ahead: barleyspar_kernel::Inbox<PeerAhead>,
    /// Where this node tells membership how far it has read.
    pub position: watch::Sender<u64>,
    /// Random source.
    pub random: ChaCha8Rng,
    /// Wall clock, in milliseconds since the Unix epoch.
    pub wall_clock: Arc<dyn Fn() -> u64 + Send + Sync>,
}

/// What the tasks of the control log share.
pub(crate) struct Shared {
    pub kernel: Kernel,
    pub config: ControlLogConfig,
    pub key_value: Arc<dyn KeyValue>,
    pub transport: Arc<dyn PeerTransport>,
    pub membership: MembershipHandle,
    pub service: Address<Message>,
    pub view: watch::Receiver<LogView>,
    /// When the freshness task last looked.
    pub watched_at: watch::Sender<Instant>,
    pub wall_clock: Arc<dyn Fn() -> u64 + Send + Sync>,
}

impl Shared {
    pub(crate) fn view_now(&self) -> LogView {
        let view = self.view.borrow().clone();
        let watched = self.watched_at.borrow().elapsed() <= self.config.contact_time;
        LogView {
            current: view.current && watched,
            state: view.state,
        }
    }

    pub(crate) fn state(&self) -> Arc<ControlState> {
        Arc::clone(&self.view.borrow().state)
    }

    pub(crate) fn position(&self) -> u64 {
        self.view.borrow().state.position()
    }

    /// Waits at most `time_limit` until this node's copy has reached `position`.
    pub(crate) async fn reaches(&self, position: u64, time_limit: Duration) -> bool {
        let mut view = self.view.clone();
        let reached = view.wait_for(|view| view.state.position() >= position);
        let reached = tokio::time::timeout(time_limit, reached).await;
        matches!(reached, Ok(Ok(_)))
    }
}

/// Handle to the control log of this node. Cheap to clone.
#[derive(Clone)]
pub struct ControlLog {
    shared: Arc<Shared>,
    appender: Address<AppendRequest>,
}

impl ControlLog {
    /// The current view. Whether it is current is judged at this moment: a node
    /// that was frozen finds it out at its first look, not at the next turn of
    /// the task that watches over it.
    pub fn view(&self) -> LogView {
        self.shared.view_now()
    }

    /// The current state.
    pub fn state(&self) -> Arc<ControlState> {
        self.shared.state()
    }

    /// A receiver that changes with each new view.
    pub fn subscribe(&self) -> watch::Receiver<LogView> {
        self.shared.view.clone()
    }

    /// Appends what `proposal` makes of the newest state.
    pub async fn append(
        &self,
        author: String,
        proposal: Proposal,
    ) -> Result<Appended, AppendError> {
        let request = |reply| AppendRequest {
            author,
            proposal,
            reply,
        };
        let ended = |error: barleyspar_kernel::MailboxError| AppendError::Unknown {
            change: "none".to_owned(),
            cause: error.to_string(),
        };
        self.appender.ask(request).await.map_err(ended)?
    }

    /// Pushes the entries up to `position` to every zone and tells who obeys them.
    pub async fn spread(&self, position: u64) -> InForce {
        spread_to_zones(&self.shared, position).await
    }
}

struct Handler {
    shared: Arc<Shared>,
}

#[async_trait]
impl PeerHandler for Handler {
    async fn handle(&self, body: Bytes) -> Result<Bytes, PeerError> {
        let request: Request = decode(&body)?;
        let ended = |error: barleyspar_kernel::MailboxError| PeerError::Refused(error.to_string());
        let answer = match request {
            Request::Since(position) => {
                let ask = |reply| Message::Since(position, reply);
                self.shared.service.ask(ask).await.map_err(ended)?
            }
            Request::IsCurrent => {
                let view = self.shared.view_now();
                Answer::Current {
                    current: view.current,
                    position: view.state.position(),
                }
            }
            Request::Push(entries) => {
                Answer::Reached(ingest(&self.shared, entries).await.map_err(ended)?)
            }
            Request::Spread(entries) => crate::spread::spread_in_zone(&self.shared, entries).await,
        };
        encode(&answer)
    }
}

pub(crate) async fn ingest(
    shared: &Shared,
    entries: Vec<crate::Entry>,
) -> Result<u64, barleyspar_kernel::MailboxError> {
    let message = |reply: oneshot::Sender<u64>| Message::Ingest(entries, Some(reply));
    shared.service.ask(message).await
}

/// Starts the control log of a node.
pub fn start(parts: StartParts) -> ControlLog {
    let (service, inbox) = mailbox(MAILBOX_CAPACITY);
    let (appender, appends) = mailbox(APPEND_CAPACITY);
    let (view_sender, view) = watch::channel(LogView {
        state: Arc::default(),
        current: false,
    });
    let shared = Arc::new(Shared {
        kernel: parts.kernel.clone(),
        config: parts.config,
        key_value: parts.key_value,
        transport: parts.transport,
        membership: parts.membership,
        service: service.clone(),
        view,
        watched_at: watch::channel(Instant::now()).0,
        wall_clock: parts.wall_clock,
    });
    let handler = Handler {
        shared: Arc::clone(&shared),
    };
    parts.dispatch.register(PEER_SERVICE, Arc::new(handler));

    let retained = shared.config.retained_entries;
    let position = Arc::new(parts.position);
    let view_sender = Arc::new(view_sender);
    let stop = parts.kernel.stop_signal(Stage::Control);
    parts
        .kernel
        .supervise(Stage::Control, PEER_SERVICE, move || {
            run_service(
                inbox.clone(),
                Arc::clone(&view_sender),
                Arc::clone(&position),
                retained,
                stop.clone(),
            )
        });
    let follower = Arc::clone(&shared);
    let ahead = parts.ahead;
    let random = parts.random.clone();
    parts
        .kernel
        .supervise(Stage::Control, "control-log-follower", move || {
            run_follower(Arc::clone(&follower), ahead.clone(), random.clone())
        });
    let fresh = Arc::clone(&shared);
    let random = parts.random.clone();
    parts
        .kernel
        .supervise(Stage::Control, "control-log-freshness", move || {
            run_freshness(Arc::clone(&fresh), random.clone())
        });
    let appending = Arc::clone(&shared);
    let random = parts.random.clone();
    parts
        .kernel
        .supervise(Stage::Control, "control-log-appender", move || {
            run_appender(Arc::clone(&appending), appends.clone(), random.clone())
        });
    let snapshots = Arc::clone(&shared);
    parts
        .kernel
        .supervise(Stage::Control, "control-log-snapshots", move || {
            run_snapshots(Arc::clone(&snapshots))
        });
    ControlLog { shared, appender }
}
