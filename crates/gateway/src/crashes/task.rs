//! The crash task: distinguishes crashes from broken connections and maintains this
//! node's quarantine.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use barleyspar_callers::{
    CrashReport, EndedRun, Fingerprint, PART_HELD_FOR, PresenceReport, Progress, Quarantine,
    QuarantineUpdate, RecentlyServed, Suspects,
};
use barleyspar_catalog::Runner;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

use crate::context::{CONNECT_TIMEOUT, Context};
use crate::crashes::watched_runs::WatchedRuns;
use crate::crashes::{BrokenRequest, Command, CrashInbox, CrashNews};
use crate::journal;
use crate::peers::PeerHandle;
use crate::quota::QuotaDecision;
use crate::tasks::sleep_until_some;
use crate::upstream::ConnectError;

/// Time from the first report of a crash until it is judged which part was the cause, so that
/// the reports of all nodes are in.
const JUDGED_AFTER: Duration = Duration::from_millis(60);
/// Interval at which it is looked for runs that their runners outlived.
const OUTLIVED_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Number of reports in one message to other nodes, to keep it within one packet.
const REPORTS_PER_MESSAGE: usize = 8;
/// Number of parts in one message to other nodes.
const PARTS_PER_MESSAGE: usize = 64;
/// Weight of a crash against a request that had left the runner before.
const WEIGHT_AFTER_LEAVING: u64 = 1;

/// The crash task: broken requests under examination, recently served requests, and the
/// sender that publishes this node's quarantine.
pub struct CrashTask {
    context: Context,
    inbox: mpsc::UnboundedReceiver<Command>,
    /// Broken requests at runners that are being probed with a new connection, by runner
    /// id.
    awaiting_probe: HashMap<Arc<str>, Vec<BrokenRequest>>,
    recently_served: RecentlyServed,
    watched_runs: WatchedRuns,
    suspects: Suspects,
    /// When reports of crashes are judged; `None` if there are none since the last time.
    judge_at: Option<Instant>,
    next_outlived_check: Instant,
    peers: PeerHandle,
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
            Command::LeftRunCounted(request, decision) => self.left_run_counted(request, decision),
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
    fn probe(&mut self, runner: &Arc<Runner>) -> &mut Vec<BrokenRequest> {
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

    /// Returns the report that the request was at the crashed runner; `None` if it cannot be the
    /// cause.
    fn report_of(&mut self, broken: &BrokenRequest, runner: &Arc<str>) -> Option<PresenceReport> {
        let may_be_cause = broken.progress != Progress::Established;
        let had_answered = broken.progress == Progress::Answering;
        (may_be_cause && !broken.keys.parts.is_empty()).then(|| {
            let run = (broken.keys.request, broken.keys.parts.as_slice());
            let node = &self.context.settings.name;
            self.suspects
                .presences()
                .report(runner, run, had_answered, node, now())
        })
    }

    /// Puts a request that ended its stay at a runner on the list of those whose runners are
    /// watched.
    fn run_ended(&mut self, runner: &Arc<Runner>, run: EndedRun) {
        if self.watched_runs.has_crashed(&run.runner) {
            self.report_left(vec![run]);
        } else {
            self.watched_runs.add(runner, run, now());
        }
    }

    fn runner_gone(&mut self, runner: &str) {
        if let Some(runner) = self.watched_runs.runner(runner) {
            self.probe(&runner);
        }
    }

    fn runner_added(&mut self, runner: &Runner) {
        for former in self.watched_runs.former_runners_at(runner) {
            self.runner_crashed(&former);
        }
    }

    /// Counts the crash of `runner` against the requests that left it shortly before.
    fn runner_crashed(&mut self, runner: &Arc<str>) {
        let left = self.watched_runs.record_crash(runner, now());
        self.report_left(left);
    }

    fn report_left(&mut self, left: Vec<EndedRun>) {
        let mut present = Vec::new();
        for run in left {
            journal::runner_crashed_after(&run);
            if !run.parts.is_empty() {
                let key = (run.request, run.parts.as_slice());
                let node = &self.context.settings.name;
                let presences = self.suspects.presences();
                present.push(presences.report(&run.runner, key, run.had_answered, node, now()));
            }
            let is_harmless = run.is_complete || self.recently_served.contains(run.request, now());
            if !is_harmless {
                crate::tasks::spawn(count_left_run(self.context.clone(), run));
            }
        }
        self.publish_presences(present);
    }

    /// Records reports of this node, and sends them to all others.
    fn publish_presences(&mut self, reports: Vec<PresenceReport>) {
        for report in &reports {
            self.record_presence(report);
        }
        for reports in reports.chunks(REPORTS_PER_MESSAGE) {
            let news = CrashNews::Present(reports.to_vec());
            self.peers.publish_crash_news(news);
        }
    }

    fn record_presence(&mut self, report: &PresenceReport) {
        let own_node = &self.context.settings.name;
        self.suspects.record_presence(report, own_node, now());
        self.judge_at
            .get_or_insert_with(|| Instant::now() + JUDGED_AFTER);
    }

    fn judge_presences(&mut self) {
        self.judge_at = None;
        for part in self.suspects.judge_presences(now()) {
            self.quarantine(part, PART_HELD_FOR, "presence");
        }
    }

    /// Clears the parts of runs that their runners outlived, and tells the other nodes of those
    /// that were suspected or held.
    fn clear_outlived(&mut self) {
        self.next_outlived_check = Instant::now() + OUTLIVED_CHECK_INTERVAL;
        let mut cleared = Vec::new();
        for run in self.watched_runs.take_outlived(now()) {
            cleared.extend(self.clear_parts(&run.parts));
        }
        for parts in cleared.chunks(PARTS_PER_MESSAGE) {
            let news = CrashNews::Outlived(parts.to_vec());
            self.peers.publish_crash_news(news);
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
    fn clear_parts(&mut self, parts: &[Fingerprint]) -> Vec<Fingerprint> {
        let cleared = self.suspects.record_outlived(parts, now());
        for part in &cleared {
            let remove = |quarantine: &mut Quarantine| quarantine.remove(*part);
            if self.quarantine.send_if_modified(remove) {
                journal::quarantine_ended(*part);
            }
        }
        cleared
    }

    /// Quarantines the request if the limit owner denied resending it after a crash. Then
    /// signals that the decision on resending is known.
    fn crash_counted(&self, broken: BrokenRequest, decision: QuotaDecision) {
        if let QuotaDecision::Denied(remaining) = decision {
            self.quarantine(broken.keys.request, remaining, "owner");
        }
        drop(broken.decision_sender);
    }

    /// Quarantines a request that had left the crashed runner if the limit owner denied
    /// resending it.
    fn left_run_counted(&self, request: Fingerprint, decision: QuotaDecision) {
        if let QuotaDecision::Denied(remaining) = decision {
            self.quarantine(request, remaining, "owner");
        }
    }

    /// Quarantines a request or a part of prompts. `source` says who decided that.
    fn quarantine(&self, key: Fingerprint, remaining: Duration, source: &'static str) {
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

/// Returns the stay of a request whose connection broke at a runner that did not crash, as far
/// as is known.
fn ended_run(broken: &BrokenRequest, runner: &Arc<str>) -> EndedRun {
    EndedRun {
        runner: runner.clone(),
        request: broken.keys.request,
        parts: broken.keys.parts.clone(),
        had_answered: matches!(broken.progress, Progress::Answering | Progress::Established),
        is_complete: false,
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

/// Has the limit owner count the crash of a runner against a request that had left it, and sends
/// the decision to the crash task.
async fn count_left_run(context: Context, run: EndedRun) {
    let counted = context
        .quota
        .count_crash(run.request, WEIGHT_AFTER_LEAVING, run.runner);
    let decision = counted.await;
    context
        .crashes
        .send(Command::LeftRunCounted(run.request, decision));
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}
