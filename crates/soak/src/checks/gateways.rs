//! How gateways follow the configuration, end, and recover.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::checks::{Violation, is_disturbed};
use crate::observations::{Attempt, Observations, RequestKind, Target};
use crate::site::CONFIGURATION_BOUND;

/// Time after the last fault within which the site must serve as before.
const RECOVERY_BOUND: Duration = Duration::from_secs(12);
/// Part of the attempts of each kind that must be served after the recovery.
const RECOVERED_SHARE: f64 = 0.9;

pub(super) fn planned_stops_end_in_time(observations: &Observations) -> Vec<Violation> {
    let overdue = observations
        .faults
        .iter()
        .filter(|fault| fault.kind == "stop_overdue");
    overdue
        .map(|fault| {
            Violation::new(
                "planned_stops_end",
                format!("{:?} did not end", fault.target),
            )
        })
        .collect()
}

pub(super) fn changes_are_in_force_and_stay(observations: &Observations) -> Vec<Violation> {
    let mut in_force = BTreeSet::new();
    let mut violations = Vec::new();
    let mut probes: Vec<_> = observations.probes.iter().collect();
    probes.sort_by_key(|probe| probe.at);
    for probe in probes {
        let key = (&*probe.path, probe.gateway, probe.life);
        let seen = format!("{} at gateway {} (process {})", key.0, key.1, key.2);
        match probe.status {
            Some(404) if in_force.contains(&key) => {
                violations.push(Violation::new("configuration_never_goes_back", seen));
            }
            Some(404) => {
                let gateway = probe.gateway;
                let targets = [
                    Target::Gateway(gateway),
                    Target::StoreLink(gateway),
                    Target::Store,
                ];
                let from = probe.acknowledged_at;
                let is_due = probe.at >= from + CONFIGURATION_BOUND;
                if is_due && !is_disturbed(observations, &targets, true, from, probe.at) {
                    violations.push(Violation::new("configuration_in_force", seen));
                }
            }
            Some(_) => {
                in_force.insert(key);
            }
            None => {}
        }
    }
    violations
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
