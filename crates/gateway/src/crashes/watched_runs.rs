//! The requests that left a runner a short time ago, with their runners, and the runners that
//! crashed a short time ago.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use barleyspar_callers::{EndedRun, EndedRuns};
use barleyspar_catalog::Runner;

/// Time after a crash for which requests that are only then found to have left the runner count
/// as present.
const CRASH_KEPT_FOR: Duration = Duration::from_secs(10);
/// Time for which it is remembered that a runner drains; most have ended by then.
const LEAVING_KEPT_FOR: Duration = Duration::from_secs(60);

/// Ended runs, the runners at which they were, and runners that crashed.
#[derive(Debug, Default)]
pub struct WatchedRuns {
    runs: EndedRuns,
    /// The runners at which the runs were, by id.
    runners: HashMap<Arc<str>, Arc<Runner>>,
    /// Ids of crashed runners, with the time at which this node learnt of the crash.
    crashed: HashMap<Arc<str>, Instant>,
    /// Ids of draining runners, whose end is no crash, with the time at which they began to.
    leaving: HashMap<Arc<str>, Instant>,
}

impl WatchedRuns {
    /// Adds a request that ended its stay at `runner` at `now`, unless the runner drains.
    pub fn add(&mut self, runner: &Arc<Runner>, run: EndedRun, now: Instant) {
        if self.leaving.contains_key(&runner.id) {
            return;
        }
        self.runners.insert(runner.id.clone(), runner.clone());
        self.runs.add(run, now);
    }

    /// Returns the runner with the id `runner` if a request that was there is watched.
    pub fn runner(&self, runner: &str) -> Option<Arc<Runner>> {
        self.runners.get(runner).cloned()
    }

    /// Records that the runner with the id `runner` drains, and forgets the requests that were
    /// there.
    pub fn record_leaving(&mut self, runner: Arc<str>, now: Instant) {
        self.leaving
            .retain(|_, at| now.saturating_duration_since(*at) < LEAVING_KEPT_FOR);
        self.runners.remove(&runner);
        self.runs.take_at(&runner);
        self.leaving.insert(runner, now);
    }

    /// Returns whether the runner with the id `runner` crashed a short time ago.
    pub fn has_crashed(&self, runner: &str) -> bool {
        self.crashed.contains_key(runner)
    }

    /// Returns the ids of the watched runners whose address `successor` has now.
    pub fn former_runners_at(&self, successor: &Runner) -> Vec<Arc<str>> {
        let runners = self.runners.values();
        runners
            .filter(|runner| runner.address == successor.address && runner.id != successor.id)
            .map(|runner| runner.id.clone())
            .collect()
    }

    /// Records that the runner with the id `runner` crashed. Returns the requests that had left it.
    pub fn record_crash(&mut self, runner: &Arc<str>, now: Instant) -> Vec<EndedRun> {
        if self.leaving.contains_key(runner) {
            return Vec::new();
        }
        let is_recent = |at: Instant| now.saturating_duration_since(at) < CRASH_KEPT_FOR;
        self.crashed.retain(|_, at| is_recent(*at));
        self.crashed.entry(runner.clone()).or_insert(now);
        self.runners.remove(runner);
        self.runs.take_at(runner)
    }

    /// Removes and returns the complete runs that their runners outlived, and forgets old ones.
    pub fn take_outlived(&mut self, now: Instant) -> Vec<EndedRun> {
        let outlived = self.runs.take_outlived(now);
        let watched = self.runs.runners();
        self.runners.retain(|id, _| watched.contains(id));
        outlived
    }

    /// Returns whether no request is watched.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }
}
