//! Requests whose stay at a runner ended a moment ago without a sign that the runner crashed.
//!
//! A runner may crash after a request has left it: a silent one is left for another, its client
//! goes, or its answer is complete. For a time, such a request stays on the list. If its runner
//! crashes meanwhile, it may be the cause; if not, an answer that was completed speaks for it.

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Fingerprint;

/// Time for which a runner must outlive a completed answer before that speaks for the request.
pub const OUTLIVED_AFTER: Duration = Duration::from_secs(3);
/// Time for which a request that left a runner without an answer stays on the list: a runner that
/// stands still goes on with it later.
const LEFT_KEPT_FOR: Duration = Duration::from_secs(10);
/// Largest number of requests on the list (about 200 KB).
const MAX_RUNS: usize = 2048;

/// A request that was at a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// Id of the runner's incarnation.
    pub runner: Arc<str>,
    /// The request.
    pub request: Fingerprint,
    /// The parts of its prompt that other requests may share.
    pub parts: Vec<Fingerprint>,
    /// Whether its answer began.
    pub had_answered: bool,
    /// Whether its answer was completed.
    pub is_complete: bool,
}

/// The requests of this node whose runners are watched.
#[derive(Debug, Default)]
pub struct EndedRuns {
    /// In the order in which they ended.
    runs: VecDeque<(Instant, EndedRun)>,
}

impl EndedRuns {
    /// Adds a request that ended now. Beyond [`MAX_RUNS`] the oldest is dropped.
    pub fn add(&mut self, run: EndedRun, now: Instant) {
        self.runs.push_back((now, run));
        if self.runs.len() > MAX_RUNS {
            self.runs.pop_front();
        }
    }

    /// Removes and returns the requests that were at `runner`.
    pub fn take_at(&mut self, runner: &str) -> Vec<EndedRun> {
        let mut taken = Vec::new();
        self.runs.retain(|(_, run)| {
            let is_there = *run.runner == *runner;
            if is_there {
                taken.push(run.clone());
            }
            !is_there
        });
        taken
    }

    /// Removes the requests whose time on the list is over. Returns those with a completed answer,
    /// which their runners have outlived.
    pub fn take_outlived(&mut self, now: Instant) -> Vec<EndedRun> {
        let mut outlived = Vec::new();
        self.runs.retain(|(at, run)| {
            let age = now.saturating_duration_since(*at);
            let is_over = age >= kept_for(run);
            if is_over && run.is_complete {
                outlived.push(run.clone());
            }
            !is_over
        });
        outlived
    }

    /// Returns the ids of the runners at which the requests on the list were.
    pub fn runners(&self) -> HashSet<Arc<str>> {
        let runs = self.runs.iter();
        runs.map(|(_, run)| run.runner.clone()).collect()
    }

    /// Returns whether no request is on the list.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }
}

fn kept_for(run: &EndedRun) -> Duration {
    if run.is_complete {
        OUTLIVED_AFTER
    } else {
        LEFT_KEPT_FOR
    }
}
