//! How gateways follow the configuration, end, and recover.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use serde::Serialize;

use crate::checks::{Violation, is_in_touch, is_struck, runs_by_id};
use crate::observations::{
    Attempt, Expected, FaultRecord, Observations, RequestKind, RouteProbe, Target,
};
use crate::site::{CONFIGURATION_BOUND, GRACE_PERIOD, service_name};

/// Time after the last fault within which the site must serve as before.
const RECOVERY_BOUND: Duration = Duration::from_secs(12);
/// Part of the attempts of each kind that must be served after the recovery.
const RECOVERED_SHARE: f64 = 0.9;

pub(super) fn planned_stops_end_in_time(observations: &Observations) -> Vec<Violation> {
    // A runner that drains ends after the store has taken its word, however long that takes.
    let awaits_store = |fault: &FaultRecord| {
        let stop_began = fault.from.saturating_sub(GRACE_PERIOD);
        matches!(fault.target, Target::Runner(_))
            && is_struck(observations, &[Target::Store], true, stop_began, fault.from)
    };
    let overdue = observations
        .faults
        .iter()
        .filter(|fault| fault.kind == "stop_overdue" && !awaits_store(fault));
    overdue
        .map(|fault| {
            Violation::new(
                "planned_stops_end",
                format!("{:?} did not end", fault.target),
            )
        })
        .collect()
}

/// What a gateway's answer says of the change that it was asked about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shown {
    /// The change was in force.
    InForce,
    /// An earlier configuration was in force.
    Earlier,
    /// The answer does not tell.
    Unknown,
}

fn shown_by(probe: &RouteProbe, runs: &HashMap<&str, Vec<u8>>) -> Shown {
    let runner = runs.get(&*probe.id).and_then(|runners| runners.first());
    match (probe.expected, runner, probe.status) {
        (Expected::Service(service), Some(runner), _) if service_name(*runner) == service => {
            Shown::InForce
        }
        (_, Some(_), _) => Shown::Earlier,
        (Expected::Service(_), None, Some(404)) => Shown::Earlier,
        (Expected::NotFound, None, Some(404)) => Shown::InForce,
        (_, None, _) => Shown::Unknown,
    }
}

pub(super) fn changes_are_in_force_and_stay(
    observations: &Observations,
    runs: &HashMap<&str, Vec<u8>>,
) -> Vec<Violation> {
    let mut in_force = BTreeSet::new();
    let mut violations = Vec::new();
    let mut probes: Vec<_> = observations.probes.iter().collect();
    probes.sort_by_key(|probe| probe.at);
    for probe in probes {
        let process = (probe.gateway, probe.life);
        let key = (probe.version, process);
        let seen = format!(
            "version {}, {} expected {:?}: {} at gateway {:?} got {:?}",
            probe.version, probe.path, probe.expected, probe.id, process, probe.status
        );
        match shown_by(probe, runs) {
            Shown::InForce => {
                in_force.insert(key);
            }
            Shown::Earlier if in_force.contains(&key) => {
                violations.push(Violation::new("configuration_never_goes_back", seen));
            }
            Shown::Earlier if is_due(observations, probe) => {
                violations.push(Violation::new("configuration_in_force", seen));
            }
            Shown::Earlier | Shown::Unknown => {}
        }
    }
    violations
}

/// Whether the change must have been in force when the gateway was asked.
fn is_due(observations: &Observations, probe: &RouteProbe) -> bool {
    let from = probe.acknowledged_at;
    probe.at >= from + CONFIGURATION_BOUND
        && is_in_touch(observations, probe.gateway, from, probe.at)
}

/// Answers on changed routes of gateways in touch, by the time since the acknowledgement.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Lateness {
    /// Number of answers that tell which configuration was in force.
    pub answers: usize,
    /// Number of those by an earlier configuration.
    pub earlier: usize,
}

/// Returns how many answers came from an earlier configuration, by the tenth of a second after
/// the acknowledgement in which the gateway was asked.
pub fn lateness_by_tenths(observations: &Observations) -> BTreeMap<u64, Lateness> {
    let runs = runs_by_id(observations);
    let mut by_tenths: BTreeMap<u64, Lateness> = BTreeMap::new();
    for probe in &observations.probes {
        let shown = shown_by(probe, &runs);
        let from = probe.acknowledged_at;
        if shown == Shown::Unknown || !is_in_touch(observations, probe.gateway, from, probe.at) {
            continue;
        }
        let tenths = (probe.at - from).as_millis() as u64 / 100;
        let lateness = by_tenths.entry(tenths).or_default();
        lateness.answers += 1;
        lateness.earlier += usize::from(shown == Shown::Earlier);
    }
    by_tenths
}

pub(super) fn gateways_do_not_end_by_themselves(observations: &Observations) -> Vec<Violation> {
    let ended = observations
        .faults
        .iter()
        .filter(|fault| fault.kind == "ended_by_itself");
    ended
        .map(|fault| Violation::new("processes_live", format!("{:?} ended", fault.target)))
        .collect()
}

pub(super) fn the_site_recovers(
    observations: &Observations,
    traffic_end: Duration,
) -> Vec<Violation> {
    let ends = observations
        .faults
        .iter()
        .map(|fault| fault.until.unwrap_or(traffic_end));
    let recovered_at = ends.max().unwrap_or_default() + RECOVERY_BOUND;
    let mut violations = Vec::new();
    for kind in [RequestKind::Write, RequestKind::Read, RequestKind::Stream] {
        let attempts = observations.attempts.iter();
        let late: Vec<&Attempt> = attempts
            .filter(|attempt| attempt.kind == kind && attempt.sent_at >= recovered_at)
            .collect();
        let served = late.iter().filter(|attempt| attempt.is_served()).count();
        if late.is_empty() || (served as f64) < RECOVERED_SHARE * late.len() as f64 {
            let seen = format!(
                "{kind:?}: {served} of {} after {recovered_at:?}",
                late.len()
            );
            violations.push(Violation::new("recovery", seen));
        }
    }
    violations
}
