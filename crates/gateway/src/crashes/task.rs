//! The task that finds out about crashes and owns this node's quarantine.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_callers::{Fingerprint, Quarantine, QuarantineNews, RecentlyServed};
use barleyspar_catalog::Runner;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::context::{CONNECT_TIMEOUT, Context};
use crate::crashes::{Broken, Command, CrashInbox};
use crate::journal;
use crate::quota::QuotaDecision;
use crate::upstream::ConnectError;

/// The task.
pub struct CrashTask {
    context: Context,
    inbox: mpsc::UnboundedReceiver<Command>,
    /// What broke at runners to which a connection is being tried, by runner.
    probed: HashMap<Arc<str>, Vec<Broken>>,
    served: RecentlyServed,
    quarantine: watch::Sender<Quarantine>,
}

impl CrashTask {
    /// A task of the node with this context.
    pub fn new(context: Context, inbox: CrashInbox) -> Self {
        Self {
            context,
            inbox: inbox.0,
            probed: HashMap::new(),
            served: RecentlyServed::default(),
            quarantine: inbox.1,
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        while let Some(command) = self.inbox.recv().await {
            match command {
                Command::Broke(runner, broken) => self.broke(runner, broken),
                Command::Probed(runner, crashed) => self.probed(&runner, crashed),
                Command::Counted(broken, decision) => self.counted(broken, decision),
                Command::Served(request) => self.served.add(request, now()),
                Command::Hear(news) => self.hear(&news),
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
                self.crashed_under(broken, &runner.id);
            }
        }
    }

    /// Has a crash counted against the request that was at the runner. One that was
    /// served lately is not what crashed it: many callers ask for the same.
    fn crashed_under(&self, broken: Broken, runner: &Arc<str>) {
        let served_lately = self.served.contains(broken.fingerprint, now());
        journal::runner_crashed(runner, &broken, served_lately);
        if !served_lately {
            let count = count(self.context.clone(), broken, runner.clone());
            crate::tasks::spawn(count);
        }
    }

    /// A crash has been counted against a request, which may then be sent on or not.
    fn counted(&self, broken: Broken, decision: QuotaDecision) {
        if let QuotaDecision::Denied(left) = decision {
            self.quarantine(broken.fingerprint, left);
        }
        drop(broken.settled);
    }

    fn quarantine(&self, request: Fingerprint, left: Duration) {
        let now = now();
        let Some(until) = now.checked_add(left) else {
            return;
        };
        let add = |quarantine: &mut Quarantine| quarantine.add(request, until, now);
        if self.quarantine.send_if_modified(add) {
            journal::quarantined(request, left, "owner");
        }
    }

    fn hear(&self, news: &[QuarantineNews]) {
        let now = now();
        let mut added = Vec::new();
        self.quarantine.send_if_modified(|quarantine| {
            added = quarantine.hear(news, now);
            !added.is_empty()
        });
        for request in added {
            let left = self.quarantine.borrow().left(request, now);
            journal::quarantined(request, left.unwrap_or_default(), "node");
        }
    }
}

/// Tries a new connection to `runner`: a crash closes the runner's port, too. Where
/// nothing answers, or no connection of this node's share is left, the node cannot tell,
/// and takes it that the runner lives: links fail more often than runners crash.
async fn probe(context: Context, runner: Arc<Runner>) {
    let crashed = match context.connect_anew(&runner, CONNECT_TIMEOUT).await {
        Ok(connection) => {
            // It serves the next request.
            context.pool.put_back(&runner.id, connection, None);
            false
        }
        Err(ConnectError::NoShareLeft | ConnectError::TimedOut) => false,
        Err(ConnectError::Refused(_)) => true,
    };
    context.crashes.send(Command::Probed(runner, crashed));
}

/// Has the crash of `runner` counted by the owner of the request's limit.
async fn count(context: Context, broken: Broken, runner: Arc<str>) {
    let (request, weight) = (broken.fingerprint, broken.progress.weight());
    let decision = context.quota.admit_crash(request, weight, runner).await;
    context.crashes.send(Command::Counted(broken, decision));
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}
