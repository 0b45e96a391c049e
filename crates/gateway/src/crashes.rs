//! Tells a runner's crash from a connection that broke alone, and which requests were at
//! the runner then.
//!
//! A crash closes the runner's port, too: a new connection shows it, and serves the next
//! request if there was none.

use std::collections::HashMap;
use std::sync::Arc;

use barleyspar_callers::Fingerprint;
use barleyspar_catalog::Runner;
use tokio::sync::mpsc;

use crate::context::{CONNECT_TIMEOUT, Context};
use crate::journal;
use crate::upstream::ConnectError;

/// How far a request had come at a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// A stream of which no head had come: it waited in the runner's queue, as a rule.
    Queued,
    /// The runner had begun to run it, as far as is known, and nothing of its answer's
    /// body had come.
    Started,
    /// Some of its answer's body had come.
    Answering,
}

impl Progress {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Started => "started",
            Self::Answering => "answering",
        }
    }
}

/// A request whose connection to its runner broke.
#[derive(Debug, Clone)]
pub struct Broken {
    /// Id of the caller's attempt.
    pub request: Arc<str>,
    /// The request.
    pub fingerprint: Fingerprint,
    /// How far it had come.
    pub progress: Progress,
}

enum Command {
    Broke(Arc<Runner>, Broken),
    Probed(Arc<Runner>, bool),
}

/// A handle to the task.
#[derive(Debug, Clone)]
pub struct CrashHandle {
    // Bounded by the attempts in flight: each breaks once.
    commands: mpsc::UnboundedSender<Command>,
}

impl CrashHandle {
    /// The connection to `runner` broke under a request.
    pub fn broke(&self, runner: Arc<Runner>, broken: Broken) {
        self.send(Command::Broke(runner, broken));
    }

    fn send(&self, command: Command) {
        // The task ends only with the process.
        let _ = self.commands.send(command);
    }
}

/// The receiving end of a [`CrashHandle`].
pub struct CrashInbox(mpsc::UnboundedReceiver<Command>);

/// Creates the handle; [`CrashTask::new`] takes the other end.
pub fn channel() -> (CrashHandle, CrashInbox) {
    let (commands, inbox) = mpsc::unbounded_channel();
    (CrashHandle { commands }, CrashInbox(inbox))
}

/// The task.
pub struct CrashTask {
    context: Context,
    inbox: mpsc::UnboundedReceiver<Command>,
    /// What broke at runners to which a connection is being tried, by runner.
    probed: HashMap<Arc<str>, Vec<Broken>>,
}

impl CrashTask {
    /// A task of the node with this context.
    pub fn new(context: Context, inbox: CrashInbox) -> Self {
        Self {
            context,
            inbox: inbox.0,
            probed: HashMap::new(),
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        while let Some(command) = self.inbox.recv().await {
            match command {
                Command::Broke(runner, broken) => self.broke(runner, broken),
                Command::Probed(runner, crashed) => self.probed(&runner, crashed),
            }
        }
    }

    fn broke(&mut self, runner: Arc<Runner>, broken: Broken) {
        let waiting = self.probed.entry(runner.id.clone()).or_default();
        waiting.push(broken);
        if waiting.len() == 1 {
            crate::tasks::spawn(probe(self.context.clone(), runner));
        }
    }

    fn probed(&mut self, runner: &Runner, crashed: bool) {
        for broken in self.probed.remove(&runner.id).unwrap_or_default() {
            let cause = if crashed { "crash" } else { "connection" };
            let progress = broken.progress.name();
            self.context.metrics.attempt_broke(progress, cause);
            if crashed {
                journal::runner_crashed(&runner.id, &broken);
            }
        }
    }
}

/// Tries a new connection to `runner`. Without one of its own share to spare, this node
/// cannot tell, and takes it that the runner lives.
async fn probe(context: Context, runner: Arc<Runner>) {
    let crashed = match context.connect_anew(&runner, CONNECT_TIMEOUT).await {
        Ok(connection) => {
            context.pool.put_back(&runner.id, connection, None);
            false
        }
        Err(ConnectError::NoShareLeft) => false,
        Err(ConnectError::Refused(_) | ConnectError::TimedOut) => true,
    };
    context.crashes.send(Command::Probed(runner, crashed));
}
