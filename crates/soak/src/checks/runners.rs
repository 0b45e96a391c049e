//! What runners got: requests, orders and models.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Range;
use std::time::Duration;

use crate::checks::{RECORD_SLACK, Violation, is_in_touch};
use crate::deadly_parts::DEADLY_ID;
use crate::observations::{Attempt, Observations, RequestKind, RunnerEvent, Target};
use crate::site::{
    CONTACT_TIME, DRAIN_BOUND, MOST_REPLICAS, RETRY_EXTRA, RETRY_RATIO, RETRY_WINDOW, is_engine,
};

pub(super) fn draining_runners_get_nothing(observations: &Observations) -> Vec<Violation> {
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
                let is_late = attempt.sent_at > bound && observation.at > bound + RECORD_SLACK;
                if is_late && is_in_touch(observations, gateway, *since, observation.at) {
                    let seen = format!("{id} ran at runner {process:?}, {gateway} sent it");
                    violations.push(Violation::new("leaving_runners_get_no_work", seen));
                }
            }
            _ => {}
        }
    }
    violations
}

pub(super) fn memory_is_never_overcommitted(observations: &Observations) -> Vec<Violation> {
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

pub(super) fn replicas_stay_within_the_policy(observations: &Observations) -> Vec<Violation> {
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

pub(super) fn fencing_tokens_have_one_holder(observations: &Observations) -> Vec<Violation> {
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

pub(super) fn retries_stay_within_the_budget(observations: &Observations) -> Vec<Violation> {
    let mut first_arrivals: BTreeMap<bool, BTreeSet<u64>> = BTreeMap::new();
    let mut repeats: BTreeMap<bool, Vec<Duration>> = BTreeMap::new();
    for observation in &observations.runners {
        if let RunnerEvent::Arrival(id) = &observation.event {
            let service = is_engine(observation.runner);
            if !first_arrivals.entry(service).or_default().insert(*id) {
                repeats.entry(service).or_default().push(observation.at);
            }
        }
    }
    let mut violations = Vec::new();
    for (service, times) in repeats {
        for start in &times {
            let end = *start + RETRY_WINDOW;
            let count = times.iter().filter(|at| (*start..end).contains(at)).count();
            let requests = most_requests(observations, service, *start);
            let allowed = RETRY_RATIO * requests as f64 + RETRY_EXTRA;
            if count as f64 > allowed {
                let seen = format!("{count} repeated arrivals after {start:?}, {allowed} allowed");
                violations.push(Violation::new("retry_budget", seen));
                break;
            }
        }
    }
    violations
}

/// Number of the requests to engines, or to plain runners, in whichever has the most of the window
/// from `start` on, the one before it, and the one that begins half a window earlier.
fn most_requests(observations: &Observations, is_engine: bool, start: Duration) -> usize {
    let shifts = [Duration::ZERO, RETRY_WINDOW / 2, RETRY_WINDOW];
    let windows = shifts.map(|shift| {
        let end = (start + RETRY_WINDOW).saturating_sub(shift);
        start.saturating_sub(shift)..end
    });
    let count = |window: &Range<Duration>| {
        let is_counted = |attempt: &&Attempt| {
            (attempt.kind == RequestKind::Stream) == is_engine && window.contains(&attempt.sent_at)
        };
        observations.attempts.iter().filter(is_counted).count()
    };
    windows.iter().map(count).max().unwrap_or_default()
}

/// Number of engines that requests with one part may end before they are held.
const CRASHES_ALLOWED: usize = 5;
/// Number of such requests that may reach engines later than [`CONTACT_TIME`] after that.
const LATE_RUNS_ALLOWED: usize = 3;

pub(super) fn deadly_parts_are_held(observations: &Observations) -> Vec<Violation> {
    let is_crash = |event: &RunnerEvent| *event == RunnerEvent::Crashing;
    let mut crashes = observations
        .runners
        .iter()
        .filter(|observed| is_crash(&observed.event));
    let Some(last_allowed) = crashes.nth(CRASHES_ALLOWED - 1) else {
        return Vec::new();
    };
    let held_from = last_allowed.at + CONTACT_TIME + RECORD_SLACK;
    let late = observations.runners.iter().filter(|observed| {
        let is_deadly =
            matches!(&observed.event, RunnerEvent::Run(id) if id.starts_with(DEADLY_ID));
        is_deadly && observed.at > held_from
    });
    let late: Vec<Duration> = late.map(|observed| observed.at).collect();
    if late.len() <= LATE_RUNS_ALLOWED {
        return Vec::new();
    }
    let seen = format!(
        "{} runs later than {held_from:?}, {} crashes after the first five",
        late.len(),
        crashes.count()
    );
    vec![Violation::new("deadly_parts_are_held", seen)]
}
