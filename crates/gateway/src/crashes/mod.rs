//! Detects requests that crash runners, from the crashes seen by all nodes, and keeps
//! them from being sent to any runner for a time (quarantine).
//!
//! When a connection to a runner breaks during a request, the task finds out whether the
//! runner crashed or only the connection broke. The owner of the request's limit
//! ([`crate::quota`]) counts the crashes seen by all nodes. A request involved in too
//! many crashes is put in quarantine, and nodes send each other quarantine updates.
//!
//! Requests that differ may have the part of their prompts in common that crashes runners. Nodes
//! report crashes to each other, and answers that clear a part ([`Suspects`]); each judges
//! for itself, and the parts found guilty are quarantined like requests. A runner may crash
//! after the request has left it, so each request stays on a list for a while ([`EndedRun`]).
//!
//! [`Suspects`]: barleyspar_callers::Suspects

mod presence;
mod task;
mod watched_runs;

use std::sync::Arc;
use std::time::Duration;

use barleyspar_callers::{
    CrashReport, EndedRun, Fingerprint, MAX_PARTS_OF_REQUEST, PresenceReport, Progress, Quarantine,
    QuarantineUpdate,
};
use barleyspar_catalog::Runner;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use crate::quota::QuotaDecision;

pub use task::CrashTask;

/// By what a request may be quarantined.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineKeys {
    /// Fingerprint that identifies equal requests on all nodes.
    pub request: Fingerprint,
    /// Fingerprints of the parts of its prompt that other requests may share.
    pub parts: Vec<Fingerprint>,
}

impl QuarantineKeys {
    /// Returns the keys of the request `request` to `service`, whose prompt has the shared
    /// parts `part_ids`.
    pub fn new(request: Fingerprint, service: &str, part_ids: &[u64]) -> Self {
        let part_ids = part_ids.iter().take(MAX_PARTS_OF_REQUEST);
        Self {
            request,
            parts: part_ids
                .map(|id| Fingerprint::of_part(service, *id))
                .collect(),
        }
    }

    fn all(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        [self.request].into_iter().chain(self.parts.iter().copied())
    }
}

/// The quarantine that keeps a request from runners.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AppliedQuarantine {
    /// The request's fingerprint, or that of a part of its prompt.
    pub key: Fingerprint,
    /// Time until the quarantine ends.
    pub remaining: Duration,
}

/// News of crashes and answers, which nodes send to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashNews {
    /// A runner crashed under a request that it had just started.
    Crashed(CrashReport),
    /// Answers began to requests with these parts, which were suspected.
    Answered(Vec<Fingerprint>),
    /// A runner crashed under requests at any progress, or shortly after they had left it.
    Present(Vec<PresenceReport>),
    /// Runners outlived complete runs of requests with these parts, which were suspected or held.
    Outlived(Vec<Fingerprint>),
}

/// A request whose connection to its runner broke.
#[derive(Debug)]
pub struct BrokenRequest {
    /// Id that the client gave to the request, for the log; `-` if it gave none.
    pub request: Arc<str>,
    /// How far the runner had processed the request.
    pub progress: Progress,
    /// Ids of the parts of the request's prompt that other requests may share, in order.
    pub parts: Arc<[u64]>,
    /// By what the request may be quarantined.
    pub keys: Arc<QuarantineKeys>,
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
        keys: Arc<QuarantineKeys>,
        progress: Progress,
        parts: Arc<[u64]>,
    ) -> (Self, ResendDecision) {
        let (decision_sender, resend_decision) = oneshot::channel();
        let broken = Self {
            request,
            progress,
            parts,
            keys,
            decision_sender,
        };
        (broken, resend_decision)
    }
}

enum Command {
    ConnectionBroke(Arc<Runner>, BrokenRequest),
    ProbeFinished(Arc<Runner>, bool),
    CrashCounted(BrokenRequest, QuotaDecision),
    LeftRunCounted(Fingerprint, QuotaDecision),
    RequestServed(Fingerprint),
    QuarantineUpdate(Vec<QuarantineUpdate>),
    AnswerBegan(Arc<QuarantineKeys>),
    RunEnded(Arc<Runner>, EndedRun),
    RunnerGone(Arc<str>),
    RunnerLeaving(Arc<str>),
    RunnerAdded(Arc<Runner>),
    News(CrashNews),
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

    /// Reports that the answer to a request began, which clears the parts of its prompt.
    pub fn report_answer_began(&self, keys: Arc<QuarantineKeys>) {
        if !keys.parts.is_empty() {
            self.send(Command::AnswerBegan(keys));
        }
    }

    /// Reports that a request ended its stay at `runner` without a sign that the runner crashed.
    pub fn report_ended_run(&self, runner: Arc<Runner>, run: EndedRun) {
        self.send(Command::RunEnded(runner, run));
    }

    /// Reports that the runner with the id `runner` refused a connection, or that its entry went.
    pub fn report_runner_gone(&self, runner: Arc<str>) {
        self.send(Command::RunnerGone(runner));
    }

    /// Reports that the runner with the id `runner` drains, so that its end is no crash.
    pub fn report_runner_leaving(&self, runner: Arc<str>) {
        self.send(Command::RunnerLeaving(runner));
    }

    /// Reports that the store has an entry of a new runner, which may have the address of one
    /// that crashed.
    pub fn report_runner_added(&self, runner: Arc<Runner>) {
        self.send(Command::RunnerAdded(runner));
    }

    /// Applies news received from another node.
    pub fn apply_news(&self, news: CrashNews) {
        self.send(Command::News(news));
    }

    /// Returns the quarantine of the request or of a part of its prompt; `None` if there is
    /// none.
    pub fn applied_quarantine(&self, keys: &QuarantineKeys) -> Option<AppliedQuarantine> {
        let now = Instant::now().into_std();
        let quarantine = self.quarantine.borrow();
        keys.all().find_map(|key| {
            let remaining = quarantine.remaining(key, now)?;
            Some(AppliedQuarantine { key, remaining })
        })
    }

    /// Waits until the request, or a part of its prompt, is quarantined.
    pub async fn wait_until_quarantined(&self, keys: &QuarantineKeys) -> AppliedQuarantine {
        let mut quarantine = self.quarantine.clone();
        loop {
            quarantine.borrow_and_update();
            if let Some(applied) = self.applied_quarantine(keys) {
                return applied;
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
