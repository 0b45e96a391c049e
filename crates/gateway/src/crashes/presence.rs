//! The part of the crash task that judges parts of prompts by all requests that were at a crashed
//! runner, whatever their progress, and those that had left it.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_callers::{EndedRun, Fingerprint, PART_HELD_FOR, PresenceReport, Progress};
use barleyspar_catalog::Runner;
use tokio::time::Instant;

use crate::context::Context;
use crate::crashes::task::{CrashTask, now};
use crate::crashes::{BrokenRequest, Command, CrashNews};
use crate::journal;

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

impl CrashTask {
    /// Returns the report that the request was at the crashed runner; `None` if it cannot be the
    /// cause.
    pub(super) fn report_of(
        &mut self,
        broken: &BrokenRequest,
        runner: &Arc<str>,
    ) -> Option<PresenceReport> {
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
    pub(super) fn run_ended(&mut self, runner: &Arc<Runner>, run: EndedRun) {
        if self.watched_runs.has_crashed(&run.runner) {
            self.report_left(vec![run]);
        } else {
            self.watched_runs.add(runner, run, now());
        }
    }

    pub(super) fn runner_gone(&mut self, runner: &str) {
        if let Some(runner) = self.watched_runs.runner(runner) {
            self.probe(&runner);
        }
    }

    pub(super) fn runner_added(&mut self, runner: &Runner) {
        for former in self.watched_runs.former_runners_at(runner) {
            self.runner_crashed(&former);
        }
    }

    /// Counts the crash of `runner` against the requests that left it shortly before.
    pub(super) fn runner_crashed(&mut self, runner: &Arc<str>) {
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
    pub(super) fn publish_presences(&mut self, reports: Vec<PresenceReport>) {
        for report in &reports {
            self.record_presence(report);
        }
        for reports in reports.chunks(REPORTS_PER_MESSAGE) {
            let news = CrashNews::Present(reports.to_vec());
            self.peers.publish_crash_news(news);
        }
    }

    pub(super) fn record_presence(&mut self, report: &PresenceReport) {
        let own_node = &self.context.settings.name;
        self.suspects.record_presence(report, own_node, now());
        self.judge_at
            .get_or_insert_with(|| Instant::now() + JUDGED_AFTER);
    }

    pub(super) fn judge_presences(&mut self) {
        self.judge_at = None;
        for part in self.suspects.judge_presences(now()) {
            self.quarantine(part, PART_HELD_FOR, "presence");
        }
    }

    /// Clears the parts of runs that their runners outlived, and tells the other nodes of those
    /// that were suspected or held.
    pub(super) fn clear_outlived(&mut self) {
        self.next_outlived_check = Instant::now() + OUTLIVED_CHECK_INTERVAL;
        let outlived = self.watched_runs.take_outlived(now()).into_iter();
        let parts: Vec<Fingerprint> = outlived.flat_map(|run| run.parts).collect();
        for parts in self.clear_parts(&parts).chunks(PARTS_PER_MESSAGE) {
            let news = CrashNews::Outlived(parts.to_vec());
            self.peers.publish_crash_news(news);
        }
    }
}

/// Returns the stay of a request whose connection broke at a runner that did not crash, as far
/// as is known.
pub(super) fn ended_run(broken: &BrokenRequest, runner: &Arc<str>) -> EndedRun {
    EndedRun {
        runner: runner.clone(),
        request: broken.keys.request,
        parts: broken.keys.parts.clone(),
        had_answered: matches!(broken.progress, Progress::Answering | Progress::Established),
        is_complete: false,
    }
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
