//! Permits to take tenants' requests, to call rate-limited runners, and to send on requests that
//! were at crashed runners, from one count over all nodes.
//!
//! Each limit has an owner among the nodes that hear each other; the others ask it
//! before they take a request or call the runner, which costs one exchange of
//! datagrams. Who gets no answer goes by the reserve that the owner granted before.

mod owners;
mod task;

use std::sync::Arc;
use std::time::Duration;

use barleyspar_callers::{Fingerprint, QuotaAnswer, QuotaRequest, Subject};
use barleyspar_catalog::RunnerLimit;
use tokio::sync::{mpsc, oneshot};

pub use task::QuotaTask;

/// Time for which an owner is asked to count a crash: a silent one is replaced in less.
const CRASH_PATIENCE: Duration = Duration::from_secs(3);

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaDecision {
    /// It may be taken.
    Granted,
    /// The limit is reached; it would be granted after this time.
    Denied(Duration),
    /// Nobody who knows has answered.
    Unknown,
}

/// Messages to the task.
enum Command {
    Admit {
        subject: Subject,
        named: Option<RunnerLimit>,
        cost: u64,
        once_for: Option<Arc<str>>,
        patience: Duration,
        reply: oneshot::Sender<QuotaDecision>,
    },
    GiveBack {
        subject: Subject,
        cost: u64,
    },
    Asked(QuotaRequest),
    Answered {
        number: u64,
        answer: QuotaAnswer,
    },
}

/// A handle to the task.
#[derive(Debug, Clone)]
pub struct QuotaHandle {
    // Bounded by the requests in flight and by what peers send: each command is
    // carried out at once.
    commands: mpsc::UnboundedSender<Command>,
}

/// The receiving end of a [`QuotaHandle`].
pub struct QuotaInbox(mpsc::UnboundedReceiver<Command>);

/// Creates the handle; [`QuotaTask::new`] takes the other end.
pub fn channel() -> (QuotaHandle, QuotaInbox) {
    let (commands, inbox) = mpsc::unbounded_channel();
    (QuotaHandle { commands }, QuotaInbox(inbox))
}

/// What a request was granted; given back when it is dropped unless it was used.
#[derive(Debug)]
pub struct Charge {
    quota: QuotaHandle,
    tenant: Arc<str>,
    cost: u64,
    used: bool,
}

impl Charge {
    /// What a request of `tenant` was granted.
    pub fn new(quota: QuotaHandle, tenant: Arc<str>, cost: u64) -> Self {
        Self {
            quota,
            tenant,
            cost,
            used: false,
        }
    }

    /// Units that were granted.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Notes that the request may have run.
    pub fn used(&mut self) {
        self.used = true;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.used {
            let (subject, cost) = (Subject::Tenant(self.tenant.clone()), self.cost);
            self.quota.send(Command::GiveBack { subject, cost });
        }
    }
}

impl QuotaHandle {
    fn send(&self, command: Command) {
        // The task ends only with the process.
        let _ = self.commands.send(command);
    }

    /// Asks for a permit to take a request of `tenant` that counts `cost` units and
    /// can wait for `patience` until somebody who knows answers.
    pub async fn admit(&self, tenant: Arc<str>, cost: u64, patience: Duration) -> QuotaDecision {
        let (reply, decision) = oneshot::channel();
        self.send(Command::Admit {
            subject: Subject::Tenant(tenant),
            named: None,
            cost,
            once_for: None,
            patience,
            reply,
        });
        decision.await.unwrap_or(QuotaDecision::Unknown)
    }

    /// Asks for a permit to call `runner` once, which named this limit.
    pub async fn admit_call(&self, runner: Arc<str>, limit: RunnerLimit) -> QuotaDecision {
        let (reply, decision) = oneshot::channel();
        self.send(Command::Admit {
            subject: Subject::Runner(runner),
            named: Some(limit),
            cost: 1,
            once_for: None,
            patience: Duration::ZERO,
            reply,
        });
        decision.await.unwrap_or(QuotaDecision::Unknown)
    }

    /// Asks whether `request` may be sent on although `runner` crashed with it there,
    /// which counts `weight`.
    pub async fn admit_crash(
        &self,
        request: Fingerprint,
        weight: u64,
        runner: Arc<str>,
    ) -> QuotaDecision {
        let (reply, decision) = oneshot::channel();
        self.send(Command::Admit {
            subject: Subject::Request(request),
            named: None,
            cost: weight,
            once_for: Some(runner),
            patience: CRASH_PATIENCE,
            reply,
        });
        decision.await.unwrap_or(QuotaDecision::Unknown)
    }

    /// Another node asks this one.
    pub fn asked(&self, request: QuotaRequest) {
        self.send(Command::Asked(request));
    }

    /// The owner of a limit has answered request `number`.
    pub fn answered(&self, number: u64, answer: QuotaAnswer) {
        self.send(Command::Answered { number, answer });
    }
}
