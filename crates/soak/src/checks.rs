//! The promises, checked on the observations of a soak. Pure functions: each returns what breaks
//! one promise.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use serde::Serialize;

use crate::clients::{ANSWER_SLACK, PLAIN_DEADLINE, STREAM_DEADLINE};
use crate::observations::{
    Attempt, AttemptOutcome, Observations, RequestKind, RunnerEvent, Target,
};
use crate::site::{
    CONFIGURATION_BOUND, CONTACT_TIME, DRAIN_BOUND, MOST_REPLICAS, RETRY_EXTRA, RETRY_RATIO,
    RETRY_WINDOW, is_engine,
};

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Time that an event takes from a runner to the soak's record.
const RECORD_SLACK: Duration = Duration::from_millis(300);
/// Time after the last fault within which the site must serve as before.
const RECOVERY_BOUND: Duration = Duration::from_secs(12);
/// Part of the attempts of each kind that must be served after the recovery.
const RECOVERED_SHARE: f64 = 0.9;
/// Requests that undisturbed gateways may take and leave without an answer, over the whole soak.
const TOLERATED_LOSSES: usize = 3;

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Name of the promise.
    pub promise: &'static str,
    /// What was seen, with the ids of the requests.
    pub seen: String,
}

impl Violation {
    fn new(promise: &'static str, seen: String) -> Self {
        Self { promise, seen }
    }
}

/// Returns all broken promises. `traffic_end`: when the clients ended.
pub fn check(observations: &Observations, traffic_end: Duration) -> Vec<Violation> {
    let runs = runs_by_id(observations);
    [
        writes_run_at_most_once(observations, &runs),
        refusals_are_true(observations, &runs),
        answers_are_right(observations),
        answers_come_in_time(observations),
        planned_stops_cut_nothing(observations, &runs),
        kept_connections_are_answered(observations, &runs),
        planned_stops_end_in_time(observations),
        draining_runners_get_nothing(observations),
        changes_are_in_force_and_stay(observations),
        memory_is_never_overcommitted(observations),
        replicas_stay_within_the_policy(observations),
        fencing_tokens_have_one_holder(observations),
        retries_stay_within_the_budget(observations),
        gateways_do_not_end_by_themselves(observations),
        the_site_recovers(observations, traffic_end),
    ]
    .concat()
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

fn writes_run_at_most_once(
    observations: &Observations,
    runs: &HashMap<&str, Vec<u8>>,
) -> Vec<Violation> {
    let writes = observations.attempts.iter();
    let writes = writes.filter(|attempt| attempt.kind == RequestKind::Write);
    let twice = writes.filter(|write| {
        runs.get(&*write.id)
            .is_some_and(|runners| runners.len() > 1)
    });
    twice
        .map(|write| Violation::new("at_most_once", format!("{} ran twice", write.id)))
        .collect()
}

fn refusals_are_true(observations: &Observations, runs: &HashMap<&str, Vec<u8>>) -> Vec<Violation> {
    let is_promise = |attempt: &&Attempt| {
        let AttemptOutcome::Answered { status, .. } = attempt.outcome else {
            return false;
        };
        attempt.kind == RequestKind::Write && PROMISES.contains(&status)
    };
    let refused = observations.attempts.iter().filter(is_promise);
    let untrue = refused.filter(|attempt| runs.contains_key(&*attempt.id));
    untrue
        .map(|attempt| Violation::new("not_run_is_true", format!("{} ran", attempt.id)))
        .collect()
}

fn answers_are_right(observations: &Observations) -> Vec<Violation> {
    let is_wrong = |attempt: &&Attempt| {
        matches!(
            attempt.outcome,
            AttemptOutcome::Answered {
                status: 200,
                complete: true,
                right_body: false
            }
        )
    };
    let wrong = observations.attempts.iter().filter(is_wrong);
    wrong
        .map(|attempt| Violation::new("whole_answers", format!("{}: wrong body", attempt.id)))
        .collect()
}

fn answers_come_in_time(observations: &Observations) -> Vec<Violation> {
    let late = observations.attempts.iter().filter(|attempt| {
        let deadline = match attempt.kind {
            RequestKind::Stream => STREAM_DEADLINE,
            RequestKind::Write | RequestKind::Read => PLAIN_DEADLINE,
        };
        attempt.ended_at - attempt.sent_at >= deadline + ANSWER_SLACK
    });
    let unexcused = late.filter(|attempt| !is_gateway_disturbed(observations, attempt));
    let describe = |attempt: &Attempt| {
        let took = attempt.ended_at - attempt.sent_at;
        format!("{} at gateway {}: {took:?}", attempt.id, attempt.gateway)
    };
    unexcused
        .map(|attempt| Violation::new("in_time", describe(attempt)))
        .collect()
}

/// Whether the gateway of an attempt, or its links to clients, were disturbed by something that
/// was not planned.
fn is_gateway_disturbed(observations: &Observations, attempt: &Attempt) -> bool {
    let targets = [
        Target::Gateway(attempt.gateway),
        Target::ClientLink(attempt.gateway),
    ];
    is_disturbed(
        observations,
        &targets,
        false,
        attempt.sent_at,
        attempt.ended_at,
    )
}

/// Attempts that ran at a runner and whose answer is missing or cut off, though nothing
/// unplanned disturbed the gateway, its clients' links or the runners that ran them.
fn unexcused_losses<'a>(
    observations: &'a Observations,
    runs: &'a HashMap<&str, Vec<u8>>,
) -> impl Iterator<Item = &'a Attempt> {
    let is_lost = |attempt: &&Attempt| {
        matches!(
            attempt.outcome,
            AttemptOutcome::Closed
                | AttemptOutcome::Answered {
                    complete: false,
                    ..
                }
        )
    };
    let lost = observations.attempts.iter().filter(is_lost);
    lost.filter(move |attempt| {
        let Some(runners) = runs.get(&*attempt.id) else {
            return false;
        };
        let targets: Vec<Target> = runners
            .iter()
            .flat_map(|number| [Target::Runner(*number), Target::RunnerLink(*number)])
            .collect();
        let (from, to) = (attempt.sent_at, attempt.ended_at);
        !is_gateway_disturbed(observations, attempt)
            && !is_struck(observations, &targets, true, from, to)
    })
}

/// Whether a planned stop of the attempt's gateway touches it.
fn is_during_planned_stop(observations: &Observations, attempt: &Attempt) -> bool {
    observations.faults.iter().any(|fault| {
        fault.planned
            && fault.target == Target::Gateway(attempt.gateway)
            && fault.from <= attempt.ended_at
            && fault.until.is_none_or(|until| until >= attempt.sent_at)
    })
}

fn planned_stops_cut_nothing(
    observations: &Observations,
    runs: &HashMap<&str, Vec<u8>>,
) -> Vec<Violation> {
    let losses = unexcused_losses(observations, runs);
    let cut = losses.filter(|attempt| is_during_planned_stop(observations, attempt));
    cut.map(|attempt| {
        let seen = format!(
            "{} at gateway {} got no answer",
            attempt.id, attempt.gateway
        );
        Violation::new("planned_stops_cut_nothing", seen)
    })
    .collect()
}

fn kept_connections_are_answered(
    observations: &Observations,
    runs: &HashMap<&str, Vec<u8>>,
) -> Vec<Violation> {
    let losses = unexcused_losses(observations, runs);
    let lost: Vec<&str> = losses
        .filter(|attempt| !is_during_planned_stop(observations, attempt))
        .map(|attempt| &*attempt.id)
        .collect();
    if lost.len() <= TOLERATED_LOSSES {
        return Vec::new();
    }
    vec![Violation::new(
        "answers_on_kept_connections",
        lost.join(" "),
    )]
}

fn planned_stops_end_in_time(observations: &Observations) -> Vec<Violation> {
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

fn draining_runners_get_nothing(observations: &Observations) -> Vec<Violation> {
    let attempts: HashMap<&str, &Attempt> = observations
        .attempts
        .iter()
        .map(|attempt| (&*attempt.id, attempt))
        .collect();
    let mut draining = HashMap::new();
    let mut violations = Vec::new();
    for observation in &observations.runners {
        let process = (observation.runner, observation.life);
        match &observation.event {
            RunnerEvent::Draining => {
                draining.entry(process).or_insert(observation.at);
            }
            RunnerEvent::Run(id) => {
                let (Some(since), Some(attempt)) = (draining.get(&process), attempts.get(&**id))
                else {
                    continue;
                };
                let bound = *since + DRAIN_BOUND;
                let gateway = attempt.gateway;
                let targets = [
                    Target::Gateway(gateway),
                    Target::StoreLink(gateway),
                    Target::Store,
                ];
                let is_late = attempt.sent_at > bound && observation.at > bound + RECORD_SLACK;
                if is_late && !is_disturbed(observations, &targets, true, *since, observation.at) {
                    let seen = format!("{id} ran at runner {process:?}, {gateway} sent it");
                    violations.push(Violation::new("leaving_runners_get_no_work", seen));
                }
            }
            _ => {}
        }
    }
    violations
}

fn changes_are_in_force_and_stay(observations: &Observations) -> Vec<Violation> {
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

fn memory_is_never_overcommitted(observations: &Observations) -> Vec<Violation> {
    let overcommitted = observations.runners.iter();
    let overcommitted =
        overcommitted.filter(|observation| observation.event == RunnerEvent::Overcommitted);
    overcommitted
        .map(|observation| {
            Violation::new(
                "memory",
                format!("runner {} got too much", observation.runner),
            )
        })
        .collect()
}

fn replicas_stay_within_the_policy(observations: &Observations) -> Vec<Violation> {
    let mut held: BTreeMap<u8, (u32, &[String])> = BTreeMap::new();
    let mut violations = Vec::new();
    for observation in &observations.runners {
        let RunnerEvent::Models(models) = &observation.event else {
            continue;
        };
        held.insert(observation.runner, (observation.life, models));
        for model in models {
            let holders = held.iter().filter(|(runner, (_, models))| {
                models.contains(model) && !is_ending(observations, **runner, observation.at)
            });
            let holders: Vec<u8> = holders.map(|(runner, _)| *runner).collect();
            if holders.len() > MOST_REPLICAS {
                let at = observation.at;
                let seen = format!("{model} at runners {holders:?} after {at:?}");
                violations.push(Violation::new("replicas_within_the_policy", seen));
            }
        }
    }
    violations
}

/// Whether the runner's process is being stopped or killed at `at`.
fn is_ending(observations: &Observations, runner: u8, at: Duration) -> bool {
    observations.faults.iter().any(|fault| {
        fault.target == Target::Runner(runner)
            && fault.kind != "runner_pause"
            && fault.from <= at
            && fault.until.is_none_or(|until| until + RECORD_SLACK >= at)
    })
}

fn fencing_tokens_have_one_holder(observations: &Observations) -> Vec<Violation> {
    let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
    let mut violations = Vec::new();
    for observation in &observations.runners {
        if let RunnerEvent::Order { holder, token } = &observation.event {
            let first = *holders.entry(*token).or_insert(holder);
            if first != holder {
                let seen = format!("token {token} of {first} and {holder}");
                violations.push(Violation::new("one_holder_of_a_token", seen));
            }
        }
    }
    violations
}

fn retries_stay_within_the_budget(observations: &Observations) -> Vec<Violation> {
    let mut first_runs: BTreeMap<bool, BTreeSet<&str>> = BTreeMap::new();
    let mut repeats: BTreeMap<bool, Vec<Duration>> = BTreeMap::new();
    for observation in &observations.runners {
        if let RunnerEvent::Run(id) = &observation.event {
            let service = is_engine(observation.runner);
            if !first_runs.entry(service).or_default().insert(id) {
                repeats.entry(service).or_default().push(observation.at);
            }
        }
    }
    let mut violations = Vec::new();
    for (service, times) in repeats {
        for start in &times {
            let end = *start + RETRY_WINDOW;
            let count = times.iter().filter(|at| (*start..end).contains(at)).count();
            // The window with the most requests of three counts; the longest span covers them.
            let earliest = start.saturating_sub(RETRY_WINDOW);
            let requests = observations.attempts.iter().filter(|attempt| {
                (attempt.kind == RequestKind::Stream) == service
                    && (earliest..end).contains(&attempt.sent_at)
            });
            let allowed = RETRY_RATIO * requests.count() as f64 + RETRY_EXTRA;
            if count as f64 > allowed {
                let seen = format!("{count} repeats after {start:?}, {allowed} allowed");
                violations.push(Violation::new("retry_budget", seen));
                break;
            }
        }
    }
    violations
}

fn gateways_do_not_end_by_themselves(observations: &Observations) -> Vec<Violation> {
    let ended = observations
        .faults
        .iter()
        .filter(|fault| fault.kind == "ended_by_itself");
    ended
        .map(|fault| Violation::new("processes_live", format!("{:?} ended", fault.target)))
        .collect()
}

fn the_site_recovers(observations: &Observations, traffic_end: Duration) -> Vec<Violation> {
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

#[cfg(test)]
#[path = "checks_tests.rs"]
mod tests;
