//! At which crashes of runners parts of prompts were present, whatever the progress of their
//! requests.
//!
//! A runner may crash before the first byte of an answer, after some events, or after the
//! request has left it. So each request that was at the runner, or was there shortly before, is
//! evidence against the parts of its prompt, though weaker than that of a request that had
//! just started ([`crate::Suspects`]). The evidence for a part is that runners live on: each
//! answer with it that has begun and did not end in a crash raises the number of crashes that are
//! needed, and a run that its runner outlived clears the part.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::Fingerprint;
use crate::suspects::{COINCIDENCE, CRASH_KEPT_FOR, MAX_PARTS, MAX_PARTS_OF_REQUEST};

/// Number of crashes at which a part must have been present to be considered their cause, if no
/// answer with it began lately.
const CRASHES_NEEDED: usize = 5;
/// Number of crashes among these that must be no coincidences.
const SEPARATE_CRASHES_NEEDED: usize = 3;
/// Number of crashes needed for a part that all requests at its crashes have, sound ones too: to
/// hold it is to serve nothing, and if it is the cause, crashes come as often as requests.
const CRASHES_NEEDED_IF_SHARED_BY_ALL: usize = 20;
/// Largest number by which answers that began raise [`CRASHES_NEEDED`].
const MAX_ADDED_BY_ANSWERS: usize = 20;
/// Time for which an answer that began raises the number of crashes that are needed.
const ANSWERS_COUNT_FOR: Duration = Duration::from_secs(10);
/// Largest number of crashes remembered for a part.
const MAX_CRASHES_OF_PART: usize = 2 * (CRASHES_NEEDED + MAX_ADDED_BY_ANSWERS);
/// Time for which a crash that is explained counts against no part, whoever reports it.
const EXPLAINED_FOR: Duration = Duration::from_secs(30);

/// A request that was at a runner when it crashed, or shortly before. Nodes report it to each
/// other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresenceReport {
    /// Id of the runner's incarnation.
    pub runner: Arc<str>,
    /// The request.
    pub request: Fingerprint,
    /// The parts of the request's prompt that other requests may share.
    pub parts: Vec<ReportedPart>,
    /// Name of the reporting node.
    pub node: Arc<str>,
}

/// A part of a prompt at a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedPart {
    /// The part.
    pub part: Fingerprint,
    /// Number of answers with the part that began lately at the reporting node and did not end
    /// in a crash.
    pub unharmed_answers: u8,
}

#[derive(Debug, Clone)]
struct Presence {
    runner: Arc<str>,
    /// The first request with the part that was reported.
    request: Fingerprint,
    /// Number of requests with the part that were reported.
    requests: u32,
    at: Instant,
}

/// A part that was present at enough crashes to be their cause.
struct Candidate {
    part: Fingerprint,
    /// Number of crashes.
    count: usize,
    /// The part's share of the requests at each crash, summed over the crashes.
    share: f64,
    /// Number of crashes that are needed.
    needed: usize,
}

/// The crashes at which each part was present, and the answers that speak for it.
#[derive(Debug, Default)]
pub struct Presences {
    crashes: HashMap<Fingerprint, Vec<Presence>>,
    /// Number of requests reported for each crash, by runner, with the time of the last report.
    requests: HashMap<Arc<str>, (u32, Instant)>,
    /// When the answers of this node that did not end in a crash began, by part.
    own_answers: HashMap<Fingerprint, VecDeque<Instant>>,
    /// What other nodes last reported of such answers, with the time of the report.
    reported_answers: HashMap<Fingerprint, BTreeMap<Arc<str>, (u8, Instant)>>,
    /// Runners whose crash is explained, with the time of the explanation.
    explained: VecDeque<(Arc<str>, Instant)>,
}

impl Presences {
    /// Records that an answer of this node to a request with these parts began.
    pub fn record_answer(&mut self, parts: &[Fingerprint], now: Instant) {
        self.forget_old_answers(now);
        for part in parts.iter().take(MAX_PARTS_OF_REQUEST) {
            if self.own_answers.len() < MAX_PARTS || self.own_answers.contains_key(part) {
                let answers = self.own_answers.entry(*part).or_default();
                answers.push_back(now);
                if answers.len() > MAX_ADDED_BY_ANSWERS {
                    answers.pop_front();
                }
            }
        }
    }

    /// Returns this node's report of a crash of `runner` under a request with these parts.
    /// `had_answered`: whether the request's answer had begun. `node` is this node's name.
    pub fn report(
        &mut self,
        runner: &Arc<str>,
        (request, parts): (Fingerprint, &[Fingerprint]),
        had_answered: bool,
        node: &Arc<str>,
        now: Instant,
    ) -> PresenceReport {
        let parts = parts.iter().take(MAX_PARTS_OF_REQUEST);
        let parts = parts.map(|part| ReportedPart {
            part: *part,
            unharmed_answers: self.unharmed_answers(*part, had_answered, now),
        });
        PresenceReport {
            runner: runner.clone(),
            request,
            parts: parts.collect(),
            node: node.clone(),
        }
    }

    /// Number of answers of this node with the part that began lately, without one that ended in
    /// a crash now if `one_ended`.
    fn unharmed_answers(&mut self, part: Fingerprint, one_ended: bool, now: Instant) -> u8 {
        let Some(answers) = self.own_answers.get_mut(&part) else {
            return 0;
        };
        if one_ended {
            answers.pop_back();
        }
        answers.retain(|at| now.saturating_duration_since(*at) < ANSWERS_COUNT_FOR);
        u8::try_from(answers.len()).unwrap_or(u8::MAX)
    }

    /// Records a report of any node, this one included, whose name is `own_node`. Reports of
    /// crashes that are explained count against no part.
    pub fn record(&mut self, report: &PresenceReport, own_node: &str, now: Instant) {
        if self.is_explained(&report.runner) {
            return;
        }
        let requests = self.requests.entry(report.runner.clone());
        let (count, at) = requests.or_insert((0, now));
        (*count, *at) = (*count + 1, now);
        for reported in report.parts.iter().take(MAX_PARTS_OF_REQUEST) {
            if *report.node != *own_node {
                self.record_reported_answers(reported, &report.node, now);
            }
            self.add_crash(reported.part, report, now);
        }
    }

    fn record_reported_answers(&mut self, reported: &ReportedPart, node: &Arc<str>, now: Instant) {
        let has_room = self.reported_answers.len() < MAX_PARTS;
        if has_room || self.reported_answers.contains_key(&reported.part) {
            let by_node = self.reported_answers.entry(reported.part).or_default();
            by_node.insert(node.clone(), (reported.unharmed_answers, now));
        }
    }

    fn add_crash(&mut self, part: Fingerprint, report: &PresenceReport, now: Instant) {
        if self.crashes.len() >= MAX_PARTS && !self.crashes.contains_key(&part) {
            return;
        }
        let crashes = self.crashes.entry(part).or_default();
        let mut known = crashes.iter_mut();
        if let Some(crash) = known.find(|crash| crash.runner == report.runner) {
            crash.requests += 1;
        } else if crashes.len() < MAX_CRASHES_OF_PART {
            crashes.push(Presence {
                runner: report.runner.clone(),
                request: report.request,
                requests: 1,
                at: now,
            });
        }
    }

    /// Returns the part that is now considered the cause of crashes: of those present at enough
    /// of them, the one present at most. `None` if no part is, or if two cannot be told apart yet.
    pub fn cause(&self, now: Instant) -> Option<Fingerprint> {
        let candidates = self
            .crashes
            .iter()
            .filter(|(_, crashes)| crashes.len() >= CRASHES_NEEDED)
            .filter_map(|(part, crashes)| self.candidate(*part, crashes, now));
        let rank = |candidate: &Candidate| (candidate.count, candidate.share);
        let first = candidates.max_by(|one, other| {
            rank(one)
                .partial_cmp(&rank(other))
                .unwrap_or(Ordering::Equal)
        })?;
        let is_certain = first.count >= 2 * first.needed;
        (is_certain || !self.has_rival(&first, now)).then_some(first.part)
    }

    /// Returns whether another part may as well be the cause: it was present at as many crashes,
    /// with as large a share of the requests there, and few answers speak for it. Those in
    /// progress may still end in a crash.
    fn has_rival(&self, candidate: &Candidate, now: Instant) -> bool {
        self.crashes.iter().any(|(part, crashes)| {
            *part != candidate.part
                && crashes.len() >= candidate.count
                && self.share(crashes) >= candidate.share
                && self.answers(*part, now) < crashes.len()
                && !self.is_shared_by_all(crashes)
        })
    }

    /// Returns the part's share of the requests at each of these crashes, summed over them.
    fn share(&self, crashes: &[Presence]) -> f64 {
        let shares = crashes
            .iter()
            .map(|crash| f64::from(crash.requests) / f64::from(self.requests_at(crash)));
        shares.sum()
    }

    /// Number of requests that were reported for the crash.
    fn requests_at(&self, crash: &Presence) -> u32 {
        let known = self.requests.get(&crash.runner);
        known.map_or(crash.requests, |(count, _)| *count)
    }

    /// Returns the part as a candidate for the cause of its crashes; `None` if they are too few.
    fn candidate(
        &self,
        part: Fingerprint,
        crashes: &[Presence],
        now: Instant,
    ) -> Option<Candidate> {
        let answers = self.answers(part, now);
        let requests: BTreeSet<Fingerprint> = crashes.iter().map(|crash| crash.request).collect();
        let needed = self.needed(crashes, answers);
        let count = crashes.len();
        let is_enough = count >= needed && separate(crashes) >= SEPARATE_CRASHES_NEEDED;
        (is_enough && requests.len() > 1).then_some(Candidate {
            part,
            count,
            share: self.share(crashes),
            needed,
        })
    }

    /// Returns the number of crashes that are needed for a part with these crashes, for which
    /// `answers` speak.
    fn needed(&self, crashes: &[Presence], answers: usize) -> usize {
        let needed = CRASHES_NEEDED + answers.min(MAX_ADDED_BY_ANSWERS);
        if self.is_shared_by_all(crashes) {
            needed.max(CRASHES_NEEDED_IF_SHARED_BY_ALL)
        } else {
            needed
        }
    }

    /// Returns whether all requests reported for these crashes have the part, though there were
    /// more requests than crashes.
    fn is_shared_by_all(&self, crashes: &[Presence]) -> bool {
        let all: u32 = crashes.iter().map(|crash| self.requests_at(crash)).sum();
        let with_part: u32 = crashes.iter().map(|crash| crash.requests).sum();
        all == with_part && all as usize > crashes.len()
    }

    /// Takes the crashes at which `part` was present as explained: they count against no other
    /// part, also when they are reported later.
    pub fn explain(&mut self, part: Fingerprint, now: Instant) {
        for crash in self.crashes.remove(&part).unwrap_or_default() {
            self.explain_crash(&crash.runner, now);
        }
    }

    /// Takes the crash of `runner` as explained.
    pub fn explain_crash(&mut self, runner: &Arc<str>, now: Instant) {
        if self.is_explained(runner) {
            return;
        }
        self.explained.push_back((runner.clone(), now));
        self.crashes.retain(|_, crashes| {
            crashes.retain(|crash| crash.runner != *runner);
            !crashes.is_empty()
        });
    }

    /// Clears `part`, with which a run was outlived by its runner. Returns whether it was present
    /// at any crash.
    pub fn clear(&mut self, part: Fingerprint) -> bool {
        self.crashes.remove(&part).is_some()
    }

    /// Returns whether `part` was present at a crash since it was last cleared.
    pub fn is_suspected(&self, part: Fingerprint) -> bool {
        self.crashes.contains_key(&part)
    }

    /// Number of answers with the part that began lately and did not end in a crash, at this
    /// node and those that reported.
    fn answers(&self, part: Fingerprint, now: Instant) -> usize {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < ANSWERS_COUNT_FOR;
        let own = self.own_answers.get(&part).map_or(0, |answers| {
            answers.iter().filter(|at| is_recent(**at)).count()
        });
        let reported = self.reported_answers.get(&part).map_or(0, |by_node| {
            let recent = by_node.values().filter(|(_, at)| is_recent(*at));
            recent.map(|(count, _)| usize::from(*count)).sum()
        });
        own + reported
    }

    fn is_explained(&self, runner: &Arc<str>) -> bool {
        self.explained.iter().any(|(known, _)| known == runner)
    }

    fn forget_old_answers(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < ANSWERS_COUNT_FOR;
        if self.own_answers.len() >= MAX_PARTS {
            self.own_answers
                .retain(|_, answers| answers.back().is_some_and(|at| is_recent(*at)));
        }
    }

    /// Forgets crashes, answers and explanations that are too old to count.
    pub fn forget_old(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.crashes.retain(|_, crashes| {
            crashes.retain(|crash| age(crash.at) < CRASH_KEPT_FOR);
            !crashes.is_empty()
        });
        self.reported_answers.retain(|_, by_node| {
            by_node.retain(|_, (_, at)| age(*at) < ANSWERS_COUNT_FOR);
            !by_node.is_empty()
        });
        self.requests.retain(|_, (_, at)| age(*at) < CRASH_KEPT_FOR);
        while let Some((_, at)) = self.explained.front()
            && age(*at) >= EXPLAINED_FOR
        {
            self.explained.pop_front();
        }
    }
}

/// Returns the number of crashes that are not a coincidence of the one before. Those that one
/// request met one after the other are none.
fn separate(crashes: &[Presence]) -> usize {
    let mut count = 0;
    let mut last: Option<&Presence> = None;
    for crash in crashes {
        let is_separate = last.is_none_or(|last| {
            let since = crash.at.saturating_duration_since(last.at);
            since >= COINCIDENCE || crash.request == last.request
        });
        if is_separate {
            count += 1;
            last = Some(crash);
        }
    }
    count
}
