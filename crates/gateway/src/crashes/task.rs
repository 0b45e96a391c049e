//! The crash task: distinguishes crashes from broken connections and maintains this
//! node's quarantine.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_callers::{Fingerprint, Quarantine, QuarantineUpdate, RecentlyServed};
use barleyspar_catalog::Runner;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::context::{CONNECT_TIMEOUT, Context};
use crate::crashes::{BrokenRequest, Command, CrashInbox};
use crate::journal;
use crate::quota::QuotaDecision;
use crate::upstream::ConnectError;

/// The crash task: broken requests under examination, recently served requests, and the
/// sender that publishes this node's quarantine.
pub struct CrashTask {
    context: Context,
    inbox: mpsc::UnboundedReceiver<Command>,
    /// Broken requests at runners that are being probed with a new connection, by runner
    /// id.
    awaiting_probe: HashMap<Arc<str>, Vec<BrokenRequest>>,
    recently_served: RecentlyServed,
    quarantine: watch::Sender<Quarantine>,
}

impl CrashTask {
    /// Creates the task of the node with this context.
    pub fn new(context: Context, inbox: CrashInbox) -> Self {
        Self {
            context,
            inbox: inbox.0,
            awaiting_probe: HashMap::new(),
            recently_served: RecentlyServed::default(),
            quarantine: inbox.1,
        }
    }

    /// Handles commands until the process ends.
    pub async fn run(mut self) {
        while let Some(command) = self.inbox.recv().await {
            match command {
                Command::ConnectionBroke(runner, broken) => self.connection_broke(runner, broken),
                Command::ProbeFinished(runner, crashed) => self.probe_finished(&runner, crashed),
                Command::CrashCounted(broken, decision) => self.crash_counted(broken, decision),
                Command::RequestServed(request) => self.recently_served.add(request, now()),
                Command::QuarantineUpdate(updates) => self.apply_updates(&updates),
            }
        }
    }

    fn connection_broke(&mut self, runner: Arc<Runner>, broken: BrokenRequest) {
        let waiting = self.awaiting_probe.entry(runner.id.clone()).or_default();
        waiting.push(broken);
        if waiting.len() == 1 {
            crate::tasks::spawn(probe(self.context.clone(), runner));
        }
    }

    fn probe_finished(&mut self, runner: &Runner, crashed: bool) {
        for broken in self.awaiting_probe.remove(&runner.id).unwrap_or_default() {
            let cause = if crashed { "crash" } else { "connection" };
            let progress = broken.progress.name();
            self.context.metrics.connection_broke(progress, cause);
            if crashed {
                self.count_crash(broken, &runner.id);
            }
        }
    }

    /// Counts the crash of `runner` against the request, unless this node recently served the
    /// same request successfully: it is then unlikely to be the cause, and many callers may
    /// send it.
    fn count_crash(&self, broken: BrokenRequest, runner: &Arc<str>) {
        let served_lately = self.recently_served.contains(broken.fingerprint, now());
        journal::runner_crashed(runner, &broken, served_lately);
        if !served_lately {
            let counting = count_at_owner(self.context.clone(), broken, runner.clone());
            crate::tasks::spawn(counting);
        }
    }

    /// Quarantines the request if the limit owner denied resending it after a crash. Then
    /// signals that the decision on resending is known.
    fn crash_counted(&self, broken: BrokenRequest, decision: QuotaDecision) {
        if let QuotaDecision::Denied(remaining) = decision {
            self.quarantine_request(broken.fingerprint, remaining);
        }
        drop(broken.decision_sender);
    }

    fn quarantine_request(&self, request: Fingerprint, remaining: Duration) {
        let now = now();
        let Some(until) = now.checked_add(remaining) else {
            return;
        };
        let add = |quarantine: &mut Quarantine| quarantine.add(request, until, now);
        if self.quarantine.send_if_modified(add) {
            journal::quarantined(request, remaining, "owner");
        }
    }

    fn apply_updates(&self, updates: &[QuarantineUpdate]) {
        let now = now();
        let mut added = Vec::new();
        self.quarantine.send_if_modified(|quarantine| {
            added = quarantine.apply_updates(updates, now);
            !added.is_empty()
        });
        for request in added {
            let remaining = self.quarantine.borrow().remaining(request, now);
            journal::quarantined(request, remaining.unwrap_or_default(), "node");
        }
    }
}

/// Probes `runner` with a new connection: a crash closes the runner's port. A port that is
/// closed to this node only, while peers connect to it, belongs to a lost link and not to a
/// crash. If the connection times out, or this node's share of connections is in use, the runner counts as alive,
/// because links fail more often than runners crash.
async fn probe(context: Context, runner: Arc<Runner>) {
    let crashed = match context.open_connection(&runner, CONNECT_TIMEOUT).await {
        Ok(connection) => {
            // The connection is kept for the next request.
            context.pool.put_back(&runner.id, connection, None);
            false
        }
        Err(ConnectError::ConnectionLimitReached | ConnectError::TimedOut) => false,
        Err(ConnectError::Refused(_)) => true,
    };
    context
        .crashes
        .send(Command::ProbeFinished(runner, crashed));
}

/// Has the limit owner count the crash of `runner` against the request, and sends the
/// decision to the crash task.
async fn count_at_owner(context: Context, broken: BrokenRequest, runner: Arc<str>) {
    let (request, weight) = (broken.fingerprint, broken.progress.weight());
    let decision = context.quota.count_crash(request, weight, runner).await;
    context
        .crashes
        .send(Command::CrashCounted(broken, decision));
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}
