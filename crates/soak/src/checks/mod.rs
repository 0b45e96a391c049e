//! The promises, checked on the observations of a soak. Pure functions: each returns what breaks
//! one promise.

mod copies;
pub mod gateways;
mod partitions;
mod requests;
mod runners;
mod streams;

use std::collections::HashMap;
use std::time::Duration;

use serde::Serialize;

use crate::observations::{Observations, RunnerEvent, Target};
use crate::site::CONTACT_TIME;

/// Time that an event takes from a runner to the soak's record.
const RECORD_SLACK: Duration = Duration::from_millis(300);

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Name of the promise.
    pub promise: &'static str,
    /// What was seen, with the ids of the requests.
    pub seen: String,
}

impl Violation {
    pub(super) fn new(promise: &'static str, seen: String) -> Self {
        Self { promise, seen }
    }
}

/// Returns all broken promises. `traffic_end`: when the clients ended.
pub fn check(observations: &Observations, traffic_end: Duration) -> Vec<Violation> {
    let runs = runs_by_id(observations);
    [
        requests::writes_run_at_most_once(observations, &runs),
        requests::refusals_are_true(observations, &runs),
        requests::answers_are_right(observations),
        requests::answers_come_in_time(observations),
        streams::streams_keep_their_software_version(observations),
        streams::streams_lack_and_repeat_no_event(observations),
        requests::planned_stops_cut_nothing(observations, &runs),
        requests::kept_connections_are_answered(observations, &runs),
        partitions::gateways_without_runners_serve_as_the_others(observations),
        gateways::planned_stops_end_in_time(observations),
        runners::draining_runners_get_nothing(observations),
        gateways::changes_are_in_force_and_stay(observations, &runs),
        copies::copies_agree_with_the_store(observations),
        copies::copies_are_as_young_as_they_claim(observations),
        runners::memory_is_never_overcommitted(observations),
        runners::replicas_stay_within_the_policy(observations),
        runners::fencing_tokens_have_one_holder(observations),
        runners::deadly_parts_are_held(observations),
        runners::retries_stay_within_the_budget(observations),
        gateways::gateways_do_not_end_by_themselves(observations),
        gateways::the_site_recovers(observations, traffic_end),
    ]
    .concat()
}

/// Whether the gateway was in touch with the store from `from` to `to`, and [`CONTACT_TIME`]
/// before: neither it nor the store was struck, and its own link to the store or one through
/// another gateway was sound.
fn is_in_touch(observations: &Observations, gateway: u8, from: Duration, to: Duration) -> bool {
    let is_sound = |targets: &[Target]| !is_disturbed(observations, targets, true, from, to);
    if !is_sound(&[Target::Gateway(gateway), Target::Store]) {
        return false;
    }
    let links_a_peer = |peer: u8| {
        let targets = [
            Target::Gateway(peer),
            Target::StoreLink(peer),
            Target::PeerLinks(peer),
        ];
        peer != gateway && is_sound(&targets)
    };
    let through_a_peer =
        || is_sound(&[Target::PeerLinks(gateway)]) && (1..=observations.gateways).any(links_a_peer);
    is_sound(&[Target::StoreLink(gateway)]) || through_a_peer()
}

/// Whether a fault on one of `targets` touches the time from `from` to `to`, or the
/// [`CONTACT_TIME`] before it. Planned work counts only if `planned`.
fn is_disturbed(
    observations: &Observations,
    targets: &[Target],
    planned: bool,
    from: Duration,
    to: Duration,
) -> bool {
    is_struck(
        observations,
        targets,
        planned,
        from.saturating_sub(CONTACT_TIME),
        to,
    )
}

/// Whether a fault on one of `targets` touches the time from `from` to `to`. Planned work counts
/// only if `planned`.
fn is_struck(
    observations: &Observations,
    targets: &[Target],
    planned: bool,
    from: Duration,
    to: Duration,
) -> bool {
    observations.faults.iter().any(|fault| {
        targets.contains(&fault.target)
            && (planned || !fault.planned)
            && fault.from <= to
            && fault.until.is_none_or(|until| until >= from)
    })
}

/// Numbers of the runners that ran each request, by its id, once for each run.
fn runs_by_id(observations: &Observations) -> HashMap<&str, Vec<u8>> {
    let mut runs: HashMap<&str, Vec<u8>> = HashMap::new();
    for observation in &observations.runners {
        if let RunnerEvent::Run(id) = &observation.event {
            runs.entry(id).or_default().push(observation.runner);
        }
    }
    runs
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;
