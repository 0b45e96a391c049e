//! What clients got for their requests.

use std::collections::HashMap;
use std::time::Duration;

use crate::checks::{Violation, is_disturbed, is_struck};
use crate::clients::{ANSWER_SLACK, PLAIN_DEADLINE, STREAM_DEADLINE};
use crate::observations::{Attempt, AttemptOutcome, Observations, RequestKind, Target};
use crate::site::CONTACT_TIME;

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Requests that undisturbed gateways may take and leave without an answer, over the whole soak.
pub(super) const TOLERATED_LOSSES: usize = 3;

pub(super) fn writes_run_at_most_once(
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

pub(super) fn refusals_are_true(
    observations: &Observations,
    runs: &HashMap<&str, Vec<u8>>,
) -> Vec<Violation> {
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

pub(super) fn answers_are_right(observations: &Observations) -> Vec<Violation> {
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

pub(super) fn answers_come_in_time(observations: &Observations) -> Vec<Violation> {
    let late = observations.attempts.iter().filter(|attempt| {
        attempt.ended_at - attempt.sent_at >= deadline_of(attempt) + ANSWER_SLACK
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

/// Time that the client gave the attempt.
fn deadline_of(attempt: &Attempt) -> Duration {
    match attempt.kind {
        RequestKind::Stream => STREAM_DEADLINE,
        RequestKind::Write | RequestKind::Read => PLAIN_DEADLINE,
    }
}

/// Attempts that ran at a runner and whose answer is missing or cut off before their deadline,
/// though nothing unplanned disturbed the gateway, its clients' links or the runners that ran
/// them.
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
    let is_early = |attempt: &&Attempt| attempt.ended_at - attempt.sent_at < deadline_of(attempt);
    let attempts = observations.attempts.iter();
    let lost = attempts.filter(is_lost).filter(is_early);
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
            && !loses_runners_meanwhile(observations, attempt)
            && !is_struck(observations, &targets, true, from, to)
    })
}

/// Whether the attempt's gateway lost all runners while the attempt was open, or less than the
/// contact time before it was sent. What is sent later goes through a peer.
fn loses_runners_meanwhile(observations: &Observations, attempt: &Attempt) -> bool {
    observations.faults.iter().any(|fault| {
        fault.target == Target::LinksToRunners(attempt.gateway)
            && fault.from <= attempt.ended_at
            && fault.from + CONTACT_TIME > attempt.sent_at
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

pub(super) fn planned_stops_cut_nothing(
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

pub(super) fn kept_connections_are_answered(
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
