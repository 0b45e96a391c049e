//! Detects requests that crash runners, from the crashes seen by all nodes, and keeps
//! them from being sent to any runner for a time (quarantine).
//!
//! When a connection to a runner breaks during a request, the task finds out whether the
//! runner crashed or only the connection broke. The owner of the request's limit
//! ([`crate::quota`]) counts the crashes seen by all nodes. A request involved in too
//! many crashes is put in quarantine, and nodes send each other quarantine updates.

mod task;

use std::sync::Arc;
use std::time::Duration;

use barleyspar_callers::{Fingerprint, Progress, Quarantine, QuarantineUpdate};
use barleyspar_catalog::Runner;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use crate::quota::QuotaDecision;

pub use task::CrashTask;

/// A request whose connection to its runner broke.
#[derive(Debug)]
pub struct BrokenRequest {
    /// Id that the client gave to the request, for the log; `-` if it gave none.
    pub request: Arc<str>,
    /// Fingerprint that identifies equal requests on all nodes.
    pub fingerprint: Fingerprint,
    /// How far the runner had processed the request.
    pub progress: Progress,
    /// Ids of the parts of the request's prompt that other requests may share, in order.
    pub parts: Arc<[u64]>,
    decision_sender: DecisionSender,
}

/// Dropped when the decision on resending the request is known, so that the
/// [`ResendDecision`] completes.
type DecisionSender = oneshot::Sender<()>;
/// Completes, with an error since its sender is dropped, when the decision on resending the
/// request is known.
pub type ResendDecision = oneshot::Receiver<()>;

impl BrokenRequest {
    /// Creates the record of a broken request, and a receiver that completes when the
    /// decision on resending the request is known.
    pub fn new(
        request: Arc<str>,
        fingerprint: Fingerprint,
        progress: Progress,
        parts: Arc<[u64]>,
    ) -> (Self, ResendDecision) {
        let (decision_sender, resend_decision) = oneshot::channel();
        let broken = Self {
            request,
            fingerprint,
            progress,
            parts,
            decision_sender,
        };
        (broken, resend_decision)
    }
}

enum Command {
    ConnectionBroke(Arc<Runner>, BrokenRequest),
    ProbeFinished(Arc<Runner>, bool),
    CrashCounted(BrokenRequest, QuotaDecision),
    RequestServed(Fingerprint),
    QuarantineUpdate(Vec<QuarantineUpdate>),
}

/// A handle to the crash task of this node; clones share the task.
#[derive(Debug, Clone)]
pub struct CrashHandle {
    // The queue has no limit of its own. Its length is bounded by the attempts in flight and
    // by the messages of peers, since the task handles each command immediately.
    commands: mpsc::UnboundedSender<Command>,
    quarantine: watch::Receiver<Quarantine>,
}

impl CrashHandle {
    /// Reports that the connection to `runner` broke during a request.
    pub fn report_broken_connection(&self, runner: Arc<Runner>, broken: BrokenRequest) {
        self.send(Command::ConnectionBroke(runner, broken));
    }

    /// Reports that `request` was answered successfully, so that later crashes are not
    /// attributed to it for a while.
    pub fn report_served(&self, request: Fingerprint) {
        self.send(Command::RequestServed(request));
    }

    /// Applies quarantine updates received from another node.
    pub fn apply_quarantine_updates(&self, updates: Vec<QuarantineUpdate>) {
        if !updates.is_empty() {
            self.send(Command::QuarantineUpdate(updates));
        }
    }

    /// Returns the remaining time of the quarantine of `request`; `None` if it is not
    /// quarantined.
    pub fn remaining_quarantine(&self, request: Fingerprint) -> Option<Duration> {
        let now = Instant::now().into_std();
        self.quarantine.borrow().remaining(request, now)
    }

    /// Waits until `request` is quarantined, and returns the remaining time of the
    /// quarantine.
    pub async fn wait_until_quarantined(&self, request: Fingerprint) -> Duration {
        let mut quarantine = self.quarantine.clone();
        loop {
            quarantine.borrow_and_update();
            if let Some(remaining) = self.remaining_quarantine(request) {
                return remaining;
            }
            if quarantine.changed().await.is_err() {
                // The crash task, which publishes the quarantine, has ended. It ends only with
                // the process.
                std::future::pending::<()>().await;
            }
        }
    }

    /// Returns a receiver that is notified when the set of quarantined requests changes.
    pub fn watch_quarantine(&self) -> watch::Receiver<Quarantine> {
        self.quarantine.clone()
    }

    fn send(&self, command: Command) {
        // The crash task ends only with the process, so the command is always received.
        let _ = self.commands.send(command);
    }
}

/// The receiving end of a [`CrashHandle`], and the sender that publishes the quarantine to
/// the handle; consumed by the task.
pub struct CrashInbox(mpsc::UnboundedReceiver<Command>, watch::Sender<Quarantine>);

/// Creates a handle and its receiving end, which [`CrashTask::new`] takes.
pub fn channel() -> (CrashHandle, CrashInbox) {
    let (commands, inbox) = mpsc::unbounded_channel();
    let (sender, quarantine) = watch::channel(Quarantine::default());
    (
        CrashHandle {
            commands,
            quarantine,
        },
        CrashInbox(inbox, sender),
    )
}
