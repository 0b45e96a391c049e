//! The crash task: distinguishes crashes from broken connections and maintains this
//! node's quarantine.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_callers::{
    CrashReport, Fingerprint, PART_HELD_FOR, Progress, Quarantine, QuarantineUpdate,
    RecentlyServed, Suspects,
};
use barleyspar_catalog::Runner;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

use crate::context::{CONNECT_TIMEOUT, Context};
use crate::crashes::presence::ended_run;
use crate::crashes::watched_runs::WatchedRuns;
use crate::crashes::{BrokenRequest, Command, CrashInbox, CrashNews};
use crate::journal;
use crate::peers::PeerHandle;
use crate::quota::QuotaDecision;
use crate::tasks::sleep_until_some;
use crate::upstream::ConnectError;

/// The crash task: broken requests under examination, recently served requests, and the
/// sender that publishes this node's quarantine.
pub struct CrashTask {
    pub(super) context: Context,
    inbox: mpsc::UnboundedReceiver<Command>,
    /// Broken requests at runners that are being probed with a new connection, by runner
    /// id.
    awaiting_probe: HashMap<Arc<str>, Vec<BrokenRequest>>,
    pub(super) recently_served: RecentlyServed,
    pub(super) watched_runs: WatchedRuns,
    pub(super) suspects: Suspects,
    /// When reports of crashes are judged; `None` if there are none since the last time.
    pub(super) judge_at: Option<Instant>,
    pub(super) next_outlived_check: Instant,
    pub(super) peers: PeerHandle,
    quarantine: watch::Sender<Quarantine>,
}

impl CrashTask {
    /// Creates the task of the node with this context.
    pub fn new(context: Context, peers: PeerHandle, inbox: CrashInbox) -> Self {
        Self {
            context,
            inbox: inbox.0,
            awaiting_probe: HashMap::new(),
            recently_served: RecentlyServed::default(),
            watched_runs: WatchedRuns::default(),
            suspects: Suspects::default(),
            judge_at: None,
            next_outlived_check: Instant::now(),
            peers,
            quarantine: inbox.1,
        }
    }

    /// Handles commands until the process ends.
    pub async fn run(mut self) {
        loop {
            let has_runs = !self.watched_runs.is_empty();
            tokio::select! {
                command = self.inbox.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                () = sleep_until_some(self.judge_at) => self.judge_presences(),
                () = sleep_until(self.next_outlived_check), if has_runs => self.clear_outlived(),
            }
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::ConnectionBroke(runner, broken) => self.connection_broke(runner, broken),
            Command::ProbeFinished(runner, crashed) => self.probe_finished(&runner, crashed),
            Command::CrashCounted(broken, decision) => self.crash_counted(broken, decision),
            Command::LeftRunCounted(request, decision) => {
                self.quarantine_if_denied(request, decision)
            }
            Command::RequestServed(request) => self.recently_served.add(request, now()),
            Command::QuarantineUpdate(updates) => self.apply_updates(&updates),
            Command::AnswerBegan(keys) => self.answer_began(&keys.parts),
            Command::RunEnded(runner, run) => self.run_ended(&runner, run),
            Command::RunnerGone(runner) => self.runner_gone(&runner),
            Command::RunnerLeaving(runner) => self.watched_runs.record_leaving(runner, now()),
            Command::RunnerAdded(runner) => self.runner_added(&runner),
            Command::News(news) => self.apply_news(&news),
        }
    }

    fn apply_news(&mut self, news: &CrashNews) {
        match news {
            CrashNews::Crashed(report) => {
                self.judge_parts(report);
                self.runner_crashed(&report.runner);
            }
            CrashNews::Answered(parts) => {
                self.suspects.record_answer(parts, now());
            }
            CrashNews::Present(reports) => {
                for report in reports {
                    self.record_presence(report);
                    self.runner_crashed(&report.runner);
                }
            }
            CrashNews::Outlived(parts) => {
                self.clear_parts(parts);
            }
        }
    }

    fn connection_broke(&mut self, runner: Arc<Runner>, broken: BrokenRequest) {
        self.probe(&runner).push(broken);
    }

    /// Starts a probe of `runner`, unless one is under way. Returns the broken requests that wait
    /// for it.
    pub(super) fn probe(&mut self, runner: &Arc<Runner>) -> &mut Vec<BrokenRequest> {
        let context = &self.context;
        self.awaiting_probe
            .entry(runner.id.clone())
            .or_insert_with(|| {
                crate::tasks::spawn(probe(context.clone(), runner.clone()));
                Vec::new()
            })
    }

    fn probe_finished(&mut self, runner: &Arc<Runner>, crashed: bool) {
        let waiting = self.awaiting_probe.remove(&runner.id).unwrap_or_default();
        let cause = if crashed { "crash" } else { "connection" };
        let mut present = Vec::new();
        for broken in waiting {
            let progress = broken.progress.name();
            self.context.metrics.connection_broke(progress, cause);
            if crashed {
                present.extend(self.report_of(&broken, &runner.id));
                self.count_crash(broken, &runner.id);
            } else {
                journal::connection_broke(&runner.id, &broken);
                self.run_ended(runner, ended_run(&broken, &runner.id));
            }
        }
        self.publish_presences(present);
        if crashed {
            self.runner_crashed(&runner.id);
        }
    }

    /// Counts the crash of `runner` against the request, unless this node recently served the
    /// same request successfully: it is then unlikely to be the cause, and many callers may
    /// send it.
    fn count_crash(&mut self, broken: BrokenRequest, runner: &Arc<str>) {
        let served_lately = self.recently_served.contains(broken.keys.request, now());
        journal::runner_crashed(runner, &broken, served_lately);
        self.report_started(&broken, runner);
        if !served_lately {
            let counting = count_at_owner(self.context.clone(), broken, runner.clone());
            crate::tasks::spawn(counting);
        }
    }

    /// Reports the crash to all nodes, this one included, if the runner had just started the
    /// request and a part of its prompt may be the cause.
    fn report_started(&mut self, broken: &BrokenRequest, runner: &Arc<str>) {
        let parts = &broken.keys.parts;
        if broken.progress != Progress::Started || parts.is_empty() {
            return;
        }
        let report = CrashReport {
            runner: runner.clone(),
            request: broken.keys.request,
            parts: parts.clone(),
        };
        self.judge_parts(&report);
        self.peers.publish_crash_news(CrashNews::Crashed(report));
    }

    /// Counts a crash against the parts of a prompt, and quarantines those found to be the
    /// cause.
    fn judge_parts(&mut self, report: &CrashReport) {
        for part in self.suspects.record_crash(report, now()) {
            self.quarantine(part, PART_HELD_FOR, "crashes");
        }
    }

    /// Records that an answer began at this node, and tells the others of the parts that this
    /// clears of a suspicion.
    fn answer_began(&mut self, parts: &[Fingerprint]) {
        self.suspects.presences().record_answer(parts, now());
        let cleared = self.suspects.record_answer(parts, now());
        if !cleared.is_empty() {
            self.peers.publish_crash_news(CrashNews::Answered(cleared));
        }
    }

    /// Clears parts of runs that their runners outlived. Returns those that were suspected or
    /// held.
    pub(super) fn clear_parts(&mut self, parts: &[Fingerprint]) -> Vec<Fingerprint> {
        let cleared = self.suspects.record_outlived(parts, now());
        for part in &cleared {
            let remove = |quarantine: &mut Quarantine| quarantine.remove(*part);
            if self.quarantine.send_if_modified(remove) {
                journal::quarantine_ended(*part);
            }
        }
        cleared
    }

    /// Applies the limit owner's decision, then signals that the decision on resending is known.
    fn crash_counted(&self, broken: BrokenRequest, decision: QuotaDecision) {
        self.quarantine_if_denied(broken.keys.request, decision);
        drop(broken.decision_sender);
    }

    /// Quarantines the request if the limit owner denied resending it after a crash.
    fn quarantine_if_denied(&self, request: Fingerprint, decision: QuotaDecision) {
        if let QuotaDecision::Denied(remaining) = decision {
            self.quarantine(request, remaining, "owner");
        }
    }

    /// Quarantines a request or a part of prompts. `source` says who decided that.
    pub(super) fn quarantine(&self, key: Fingerprint, remaining: Duration, source: &'static str) {
        let now = now();
        let Some(until) = now.checked_add(remaining) else {
            return;
        };
        let add = |quarantine: &mut Quarantine| quarantine.add(key, until, now);
        if self.quarantine.send_if_modified(add) {
            journal::quarantined(key, remaining, source);
        }
    }

    fn agrees_with(&mut self, update: &QuarantineUpdate, now: std::time::Instant) -> bool {
        let remaining = Duration::from_millis(update.remaining_ms.into());
        let held_for = PART_HELD_FOR.saturating_sub(remaining);
        let convicted_at = now.checked_sub(held_for).unwrap_or(now);
        self.suspects
            .agrees_to_hold(update.request, convicted_at, now)
    }

    /// Applies quarantines of other nodes, except those of parts with which runs were outlived
    /// since: the others then learn of that.
    fn apply_updates(&mut self, updates: &[QuarantineUpdate]) {
        let now = now();
        let (updates, refuted): (Vec<QuarantineUpdate>, Vec<QuarantineUpdate>) = updates
            .iter()
            .partition(|update| self.agrees_with(update, now));
        if !refuted.is_empty() {
            let parts = refuted.iter().map(|update| update.request).collect();
            self.peers.publish_crash_news(CrashNews::Outlived(parts));
        }
        let mut added = Vec::new();
        self.quarantine.send_if_modified(|quarantine| {
            added = quarantine.apply_updates(&updates, now);
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
            context.put_back(&runner, connection, None);
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
    let (request, weight) = (broken.keys.request, broken.progress.weight());
    let decision = context.quota.count_crash(request, weight, runner).await;
    context
        .crashes
        .send(Command::CrashCounted(broken, decision));
}

/// The present time, as the pure parts of this module take it.
pub(super) fn now() -> std::time::Instant {
    Instant::now().into_std()
}
