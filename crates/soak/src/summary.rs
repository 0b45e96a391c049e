//! The last line of a soak.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::checks::Violation;
use crate::checks::gateways::{Lateness, lateness_by_tenths};
use crate::clients::STREAM_EVENTS;
use crate::observations::{AttemptOutcome, FollowedStream, Observations};

/// What a soak has shown.
#[derive(Debug, Serialize)]
pub struct Summary<'a> {
    /// Seed of the faults and the traffic.
    pub seed: u64,
    /// Number of attempts of clients.
    pub attempts: usize,
    /// Number of those that were served.
    pub served: usize,
    /// Attempts by what the client got: a status, `incomplete`, `closed` or `timed_out`.
    pub outcomes: BTreeMap<String, usize>,
    /// Number of streams that clients followed over their tries.
    pub followed_streams: usize,
    /// Number of those that were taken up again after an event.
    pub resumed_streams: usize,
    /// Number of those taken up again that came to their end.
    pub resumed_whole: usize,
    /// Faults and planned work, by kind.
    pub faults: BTreeMap<&'static str, usize>,
    /// Number of answers on routes that were changed.
    pub probes: usize,
    /// Answers on changed routes of gateways in touch, and how many of them came from an
    /// earlier configuration, by the tenths of a second since the acknowledgement.
    pub lateness_by_tenths: BTreeMap<u64, Lateness>,
    /// Number of copies of the store that were compared with it.
    pub copies: usize,
    /// Longest time in which no attempt was served, in milliseconds.
    pub longest_outage_ms: u128,
    /// What broke a promise.
    pub violations: &'a [Violation],
}

impl<'a> Summary<'a> {
    /// Sums up the observations of a soak.
    pub fn new(seed: u64, observations: &Observations, violations: &'a [Violation]) -> Self {
        let mut outcomes = BTreeMap::new();
        for attempt in &observations.attempts {
            *outcomes.entry(name_of(attempt.outcome)).or_default() += 1;
        }
        let mut faults = BTreeMap::new();
        for fault in &observations.faults {
            *faults.entry(fault.kind).or_default() += 1;
        }
        let served = observations
            .attempts
            .iter()
            .filter(|attempt| attempt.is_served());
        let streams = &observations.streams;
        let resumed = streams.iter().filter(|stream| stream.resumed_tries > 0);
        let is_whole = |stream: &&FollowedStream| stream.event_ids.last() == Some(&STREAM_EVENTS);
        Self {
            seed,
            attempts: observations.attempts.len(),
            served: served.count(),
            outcomes,
            followed_streams: streams.len(),
            resumed_streams: resumed.clone().count(),
            resumed_whole: resumed.filter(is_whole).count(),
            faults,
            probes: observations.probes.len(),
            lateness_by_tenths: lateness_by_tenths(observations),
            copies: observations.copies.len(),
            longest_outage_ms: longest_outage(observations).as_millis(),
            violations,
        }
    }
}

fn name_of(outcome: AttemptOutcome) -> String {
    match outcome {
        AttemptOutcome::Answered {
            complete: false, ..
        } => "incomplete".to_owned(),
        AttemptOutcome::Answered { status, .. } => status.to_string(),
        AttemptOutcome::Closed => "closed".to_owned(),
        AttemptOutcome::TimedOut => "timed_out".to_owned(),
    }
}

fn longest_outage(observations: &Observations) -> Duration {
    let served = observations
        .attempts
        .iter()
        .filter(|attempt| attempt.is_served());
    let mut ends: Vec<Duration> = served.map(|attempt| attempt.ended_at).collect();
    ends.sort();
    let gaps = ends.windows(2).map(|pair| pair[1] - pair[0]);
    gaps.max().unwrap_or_default()
}
