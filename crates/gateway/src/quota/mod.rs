//! Permits to accept tenants' requests, to call rate-limited runners, and to resend
//! requests that were at crashed runners, counted across all nodes.
//!
//! Each limit has an owner among the nodes that receive messages from each other. The other
//! nodes ask the owner before they accept a request, call the runner or resend the request,
//! which costs one exchange of datagrams. A node that gets no answer uses the reserve that
//! the owner granted it earlier.

mod task;

use std::sync::Arc;
use std::time::Duration;

use barleyspar_callers::{Fingerprint, QuotaAnswer, QuotaRequest, Subject};
use barleyspar_catalog::RunnerLimit;
use tokio::sync::{mpsc, oneshot};

pub use task::QuotaTask;

/// Time for which a node keeps asking a limit owner to count a crash. An unresponsive
/// owner is replaced in less time.
const CRASH_PATIENCE: Duration = Duration::from_secs(3);

/// Decision on a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The permit is granted.
    Granted,
    /// The limit is reached. The same request would be granted after this time.
    Denied(Duration),
    /// No limit owner decided, and this node's reserve was not sufficient.
    Unknown,
}

enum Command {
    Admit {
        subject: Subject,
        advertised_limit: Option<RunnerLimit>,
        cost: u64,
        charge_once_key: Option<Arc<str>>,
        patience: Duration,
        reply: oneshot::Sender<QuotaDecision>,
    },
    Refund {
        subject: Subject,
        cost: u64,
    },
    PeerRequest(QuotaRequest),
    OwnerAnswer {
        number: u64,
        answer: QuotaAnswer,
    },
}

/// A handle to the quota task of this node; clones share the task.
#[derive(Debug, Clone)]
pub struct QuotaHandle {
    // The queue has no limit of its own. Its length is bounded by the requests in flight and
    // by the messages of peers, since the task handles each command immediately.
    commands: mpsc::UnboundedSender<Command>,
}

/// The receiving end of a [`QuotaHandle`], consumed by the task.
pub struct QuotaInbox(mpsc::UnboundedReceiver<Command>);

/// Creates a handle and its receiving end, which [`QuotaTask::new`] takes.
pub fn channel() -> (QuotaHandle, QuotaInbox) {
    let (commands, inbox) = mpsc::unbounded_channel();
    (QuotaHandle { commands }, QuotaInbox(inbox))
}

/// Units granted to a tenant's request. They are returned to the quota when the charge is
/// dropped, unless it was marked as used.
#[derive(Debug)]
pub struct Charge {
    quota: QuotaHandle,
    tenant: Arc<str>,
    cost: u64,
    used: bool,
}

impl Charge {
    /// Records `cost` units granted to a request of `tenant`, not yet used.
    pub fn new(quota: QuotaHandle, tenant: Arc<str>, cost: u64) -> Self {
        Self {
            quota,
            tenant,
            cost,
            used: false,
        }
    }

    /// Returns the number of units granted.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Marks the units as used, because the request may have run. They are not returned
    /// on drop.
    pub fn mark_used(&mut self) {
        self.used = true;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.used {
            let (subject, cost) = (Subject::Tenant(self.tenant.clone()), self.cost);
            self.quota.send(Command::Refund { subject, cost });
        }
    }
}

impl QuotaHandle {
    fn send(&self, command: Command) {
        // The quota task ends only with the process, so the command is always received.
        let _ = self.commands.send(command);
    }

    /// Requests a permit to accept a request of `tenant` that costs `cost` units. While no
    /// limit owner answers and the reserve is used up, the owner is asked again for up to
    /// `patience`.
    pub async fn admit(&self, tenant: Arc<str>, cost: u64, patience: Duration) -> QuotaDecision {
        let (reply, decision) = oneshot::channel();
        self.send(Command::Admit {
            subject: Subject::Tenant(tenant),
            advertised_limit: None,
            cost,
            charge_once_key: None,
            patience,
            reply,
        });
        decision.await.unwrap_or(QuotaDecision::Unknown)
    }

    /// Requests a permit for one call of `runner`, which advertised `limit`.
    pub async fn admit_call(&self, runner: Arc<str>, limit: RunnerLimit) -> QuotaDecision {
        let (reply, decision) = oneshot::channel();
        self.send(Command::Admit {
            subject: Subject::Runner(runner),
            advertised_limit: Some(limit),
            cost: 1,
            charge_once_key: None,
            patience: Duration::ZERO,
            reply,
        });
        decision.await.unwrap_or(QuotaDecision::Unknown)
    }

    /// Has the limit owner count the crash of `runner` with `weight` against `request`, once
    /// per runner. Returns whether the request may be sent to another runner.
    pub async fn count_crash(
        &self,
        request: Fingerprint,
        weight: u64,
        runner: Arc<str>,
    ) -> QuotaDecision {
        let (reply, decision) = oneshot::channel();
        self.send(Command::Admit {
            subject: Subject::Request(request),
            advertised_limit: None,
            cost: weight,
            charge_once_key: Some(runner),
            patience: CRASH_PATIENCE,
            reply,
        });
        decision.await.unwrap_or(QuotaDecision::Unknown)
    }

    /// Answers a peer's request for a permit: the task sends the answer to the peer.
    pub fn handle_peer_request(&self, request: QuotaRequest) {
        self.send(Command::PeerRequest(request));
    }

    /// Handles the limit owner's answer to the request `number` of this node.
    pub fn handle_owner_answer(&self, number: u64, answer: QuotaAnswer) {
        self.send(Command::OwnerAnswer { number, answer });
    }
}
