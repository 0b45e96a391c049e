//! Parts of prompts that are suspected of crashing runners, judged by the crashes and the
//! answers that all nodes report to each other.
//!
//! A part that crashes runners does so once they begin to write an answer, whatever else
//! the request holds, and no two such requests need be alike. Most crash before the first event
//! of the answer. Each crash therefore raises suspicion against all parts of the requests that
//! the runner had just started; an answer that begins clears all parts of its request. What
//! remains suspected over several crashes is the cause. Crashes at another moment are judged by
//! [`Presences`].

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::Fingerprint;
use crate::presences::{PresenceReport, Presences};

/// Number of crashes without an answer in between after which a part is considered their cause.
/// Each request with the part crashes up to two runners.
const CRASHES_TO_CONVICT: usize = 3;
/// The same for a part with which answers have begun within [`TRUSTED_FOR`]: it has not always
/// crashed runners, and usually many requests share it.
const CRASHES_TO_CONVICT_TRUSTED: usize = 5;
/// Time after an answer began for which its parts are trusted.
const TRUSTED_FOR: Duration = Duration::from_secs(60);
/// Crashes closer together than this count once: runners that share a machine or a switch
/// crash together, whatever they run.
pub(crate) const COINCIDENCE: Duration = Duration::from_millis(100);
/// Time for which a part is held that is considered the cause of crashes. After it, one more
/// crash is enough for as long again.
pub const PART_HELD_FOR: Duration = Duration::from_secs(600);
/// Time for which a crash counts.
pub(crate) const CRASH_KEPT_FOR: Duration = Duration::from_secs(600);
/// Time before a part was considered the cause within which a run that its runner outlived still
/// speaks for it.
const OUTLIVED_BEFORE: Duration = Duration::from_secs(10);
/// Time after an acquittal for which nodes that have not heard of it are not believed.
const ACQUITTED_FOR: Duration = Duration::from_secs(30);
/// Largest number of parts of each kind that are remembered (about 1 MB together).
pub(crate) const MAX_PARTS: usize = 8192;
/// Largest number of parts of one prompt that are looked at.
pub const MAX_PARTS_OF_REQUEST: usize = 16;

/// A crash of a runner, with one request that the runner had just started. Nodes report it to
/// each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Id of the runner's incarnation.
    pub runner: Arc<str>,
    /// The request.
    pub request: Fingerprint,
    /// The parts of the request's prompt that other requests may share.
    pub parts: Vec<Fingerprint>,
}

/// One crash at which a part was.
#[derive(Debug, Clone)]
struct Crash {
    runner: Arc<str>,
    request: Fingerprint,
    at: Instant,
}

/// The parts that this node suspects, trusts, or has considered the cause of crashes.
#[derive(Debug, Default)]
pub struct Suspects {
    /// Crashes at which each part was since an answer with it last began.
    crashes: HashMap<Fingerprint, Vec<Crash>>,
    /// When an answer with each part last began, as far as this node knows.
    answered: HashMap<Fingerprint, Instant>,
    /// When each part was last considered the cause of crashes.
    convicted: HashMap<Fingerprint, Instant>,
    /// When each part was last acquitted.
    acquitted: HashMap<Fingerprint, Instant>,
    /// When a run with each part was last outlived by its runner.
    outlived: HashMap<Fingerprint, Instant>,
    presences: Presences,
}

impl Suspects {
    /// Counts a crash against the parts of the request. Returns those that are now considered
    /// the cause. A crash that is explained by a part already considered so counts against
    /// no other part.
    pub fn record_crash(&mut self, report: &CrashReport, now: Instant) -> Vec<Fingerprint> {
        self.forget_old(now);
        let parts = report.parts.iter().take(MAX_PARTS_OF_REQUEST);
        let parts: Vec<Fingerprint> = parts.copied().collect();
        if parts.iter().any(|part| self.is_held(*part, now)) {
            self.presences.explain_crash(&report.runner, now);
            return Vec::new();
        }
        for part in &parts {
            self.add_crash(*part, report, now);
        }
        let guilty = self.most_suspected(&parts, now);
        for part in &guilty {
            self.convict(*part, now);
        }
        guilty
    }

    fn add_crash(&mut self, part: Fingerprint, report: &CrashReport, now: Instant) {
        if self.crashes.len() >= MAX_PARTS && !self.crashes.contains_key(&part) {
            return;
        }
        let crashes = self.crashes.entry(part).or_default();
        if crashes.iter().all(|crash| crash.runner != report.runner) {
            crashes.push(Crash {
                runner: report.runner.clone(),
                request: report.request,
                at: now,
            });
        }
    }

    /// Returns the parts among `parts` with enough crashes to be the cause. If trusted and
    /// untrusted ones have, the untrusted ones are.
    fn most_suspected(&self, parts: &[Fingerprint], now: Instant) -> Vec<Fingerprint> {
        let enough = parts
            .iter()
            .copied()
            .filter(|part| self.has_enough_crashes(*part, now));
        let (trusted, untrusted): (Vec<Fingerprint>, Vec<Fingerprint>) =
            enough.partition(|part| self.is_trusted(*part, now));
        if untrusted.is_empty() {
            trusted
        } else {
            untrusted
        }
    }

    fn has_enough_crashes(&self, part: Fingerprint, now: Instant) -> bool {
        let crashes = self.crashes.get(&part).map_or(&[][..], Vec::as_slice);
        if self.convicted.contains_key(&part) {
            return !crashes.is_empty();
        }
        let requests: BTreeSet<Fingerprint> = crashes.iter().map(|crash| crash.request).collect();
        let needed = if self.is_trusted(part, now) {
            CRASHES_TO_CONVICT_TRUSTED
        } else {
            CRASHES_TO_CONVICT
        };
        requests.len() > 1 && separate(crashes) >= needed
    }

    fn is_trusted(&self, part: Fingerprint, now: Instant) -> bool {
        let answered = self.answered.get(&part);
        answered.is_some_and(|at| now.saturating_duration_since(*at) < TRUSTED_FOR)
    }

    fn is_held(&self, part: Fingerprint, now: Instant) -> bool {
        let convicted = self.convicted.get(&part);
        convicted.is_some_and(|at| now.saturating_duration_since(*at) < PART_HELD_FOR)
    }

    /// Considers the part the cause of its crashes, which then count against no other part.
    fn convict(&mut self, part: Fingerprint, now: Instant) {
        self.acquitted.remove(&part);
        self.convicted.insert(part, now);
        self.presences.explain(part, now);
        let explained = self.crashes.remove(&part).unwrap_or_default();
        self.crashes.retain(|_, crashes| {
            crashes.retain(|crash| explained.iter().all(|other| other.runner != crash.runner));
            !crashes.is_empty()
        });
    }

    /// Returns this node's evidence on runs and crashes at any progress.
    pub fn presences(&mut self) -> &mut Presences {
        &mut self.presences
    }

    /// Records that a request was at a crashed runner. A crash that is explained by a part already
    /// considered the cause counts against no other part. `own_node` is this node's name.
    pub fn record_presence(&mut self, report: &PresenceReport, own_node: &str, now: Instant) {
        let mut parts = report.parts.iter().take(MAX_PARTS_OF_REQUEST);
        if parts.any(|reported| self.is_held(reported.part, now)) {
            self.presences.explain_crash(&report.runner, now);
        } else {
            self.presences.record(report, own_node, now);
        }
    }

    /// Returns the parts that are now considered the cause of crashes because they were present
    /// at so many.
    pub fn judge_presences(&mut self, now: Instant) -> Vec<Fingerprint> {
        self.presences.forget_old(now);
        let mut guilty = Vec::new();
        while let Some(part) = self.presences.cause(now) {
            self.convict(part, now);
            guilty.push(part);
        }
        guilty
    }

    /// Records that an answer to a request with these parts began. Returns the parts that this
    /// clears of a suspicion, of which other nodes should learn.
    pub fn record_answer(&mut self, parts: &[Fingerprint], now: Instant) -> Vec<Fingerprint> {
        let parts = parts.iter().take(MAX_PARTS_OF_REQUEST);
        let cleared = parts.copied().filter(|part| {
            if self.answered.len() < MAX_PARTS || self.answered.contains_key(part) {
                self.answered.insert(*part, now);
            }
            self.crashes.remove(part).is_some()
        });
        let cleared = cleared.collect();
        self.forget_old(now);
        cleared
    }

    /// Records that runners outlived complete runs of requests with these parts. Returns the
    /// parts that this clears of a suspicion, or acquits, of which other nodes should learn.
    pub fn record_outlived(&mut self, parts: &[Fingerprint], now: Instant) -> Vec<Fingerprint> {
        let cleared = parts.iter().copied().filter(|part| {
            if self.outlived.len() < MAX_PARTS || self.outlived.contains_key(part) {
                self.outlived.insert(*part, now);
            }
            let was_held = self.convicted.remove(part).is_some();
            if was_held {
                self.acquitted.insert(*part, now);
            }
            let was_present = self.presences.clear(*part);
            let was_suspected = self.crashes.remove(part).is_some();
            was_held || was_present || was_suspected
        });
        let cleared = cleared.collect();
        self.forget_old(now);
        cleared
    }

    /// Decides on a part that another node considered the cause of crashes at `convicted_at`.
    /// Returns whether this node holds it, too: not if it was acquitted a moment ago, or if a run
    /// with it was outlived about then and no crash came after that, as far as this node knows.
    pub fn agrees_to_hold(
        &mut self,
        part: Fingerprint,
        convicted_at: Instant,
        now: Instant,
    ) -> bool {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < ACQUITTED_FOR;
        let was_acquitted = self.acquitted.get(&part).is_some_and(is_recent);
        let was_outlived = self
            .outlived
            .get(&part)
            .is_some_and(|at| *at + OUTLIVED_BEFORE > convicted_at);
        let is_suspected = self.crashes.contains_key(&part) || self.presences.is_suspected(part);
        let is_clean = was_outlived && !is_suspected;
        let agrees = self.is_held(part, now) || !(was_acquitted || is_clean);
        if agrees {
            self.convicted.entry(part).or_insert(now);
        }
        agrees
    }

    fn forget_old(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.crashes.retain(|_, crashes| {
            crashes.retain(|crash| age(crash.at) < CRASH_KEPT_FOR);
            !crashes.is_empty()
        });
        if self.answered.len() >= MAX_PARTS {
            self.answered.retain(|_, at| age(*at) < TRUSTED_FOR);
        }
        if self.outlived.len() >= MAX_PARTS {
            self.outlived.retain(|_, at| age(*at) < TRUSTED_FOR);
        }
        self.convicted.retain(|_, at| age(*at) < 2 * PART_HELD_FOR);
        self.acquitted.retain(|_, at| age(*at) < ACQUITTED_FOR);
    }
}

/// Returns the number of crashes that are not a coincidence of the one before.
fn separate(crashes: &[Crash]) -> usize {
    let mut last: Option<Instant> = None;
    let is_separate = |crash: &&Crash| {
        let counts =
            last.is_none_or(|last| crash.at.saturating_duration_since(last) >= COINCIDENCE);
        if counts {
            last = Some(crash.at);
        }
        counts
    };
    crashes.iter().filter(is_separate).count()
}
