//! Requests that crash runners: found out at all nodes together, and sent to no runner for
//! a while.
//!
//! When a connection to a runner breaks under a request, the task tells the runner's crash
//! from a connection that broke alone. The owner of the request's limit ([`crate::quota`])
//! counts the crashes that all nodes saw; a request that was part of too many is in
//! quarantine, which nodes tell each other.

mod task;

use std::sync::Arc;
use std::time::Duration;

use barleyspar_callers::{Fingerprint, Progress, Quarantine, QuarantineNews};
use barleyspar_catalog::Runner;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use crate::quota::QuotaDecision;

pub use task::CrashTask;

/// A request whose connection to its runner broke.
#[derive(Debug)]
pub struct Broken {
    /// Id of the caller's attempt.
    pub request: Arc<str>,
    /// The request.
    pub fingerprint: Fingerprint,
    /// How far it had come.
    pub progress: Progress,
    settled: Settling,
}

/// Dropped when it is known whether a request that lost its runner may be sent on.
type Settling = oneshot::Sender<()>;
/// Ends when that is known.
pub type Settled = oneshot::Receiver<()>;

impl Broken {
    /// A request that lost its runner, and a way to wait until it is known whether it may
    /// be sent on.
    pub fn new(request: Arc<str>, fingerprint: Fingerprint, progress: Progress) -> (Self, Settled) {
        let (settled, known) = oneshot::channel();
        let broken = Self {
            request,
            fingerprint,
            progress,
            settled,
        };
        (broken, known)
    }
}

enum Command {
    Broke(Arc<Runner>, Broken),
    Probed(Arc<Runner>, bool),
    Counted(Broken, QuotaDecision),
    Served(Fingerprint),
    Hear(Vec<QuarantineNews>),
}

/// A handle to the task.
#[derive(Debug, Clone)]
pub struct CrashHandle {
    // Bounded by the attempts in flight and by what peers send: each command is carried
    // out at once.
    commands: mpsc::UnboundedSender<Command>,
    quarantine: watch::Receiver<Quarantine>,
}

impl CrashHandle {
    /// The connection to `runner` broke under a request.
    pub fn broke(&self, runner: Arc<Runner>, broken: Broken) {
        self.send(Command::Broke(runner, broken));
    }

    /// `request` was answered well.
    pub fn served(&self, request: Fingerprint) {
        self.send(Command::Served(request));
    }

    /// Takes in what another node tells of requests in quarantine.
    pub fn hear(&self, news: Vec<QuarantineNews>) {
        if !news.is_empty() {
            self.send(Command::Hear(news));
        }
    }

    /// How much longer `request` may be sent to no runner, if it is in quarantine.
    pub fn quarantined(&self, request: Fingerprint) -> Option<Duration> {
        let now = Instant::now().into_std();
        self.quarantine.borrow().left(request, now)
    }

    /// Waits until `request` is in quarantine: for how long.
    pub async fn until_quarantined(&self, request: Fingerprint) -> Duration {
        let mut quarantine = self.quarantine.clone();
        loop {
            quarantine.borrow_and_update();
            if let Some(left) = self.quarantined(request) {
                return left;
            }
            if quarantine.changed().await.is_err() {
                // The task ends only with the process.
                std::future::pending::<()>().await;
            }
        }
    }

    /// The requests in quarantine, as they change.
    pub fn quarantine(&self) -> watch::Receiver<Quarantine> {
        self.quarantine.clone()
    }

    fn send(&self, command: Command) {
        // The task ends only with the process.
        let _ = self.commands.send(command);
    }
}

/// The receiving end of a [`CrashHandle`].
pub struct CrashInbox(mpsc::UnboundedReceiver<Command>, watch::Sender<Quarantine>);

/// Creates the handle; [`CrashTask::new`] takes the other end.
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
