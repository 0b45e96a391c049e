use super::*;
use crate::checks::gateways::{Lateness, lateness_by_tenths, the_site_recovers};
use crate::checks::requests::TOLERATED_LOSSES;
use crate::observations::{
    Attempt, AttemptOutcome, CopyObservation, Expected, FaultRecord, FollowedStream, RequestKind,
    RouteProbe, RunnerObservation, StoreChange, StoreObservation,
};
use crate::site::{OTHER_PLAIN, PLAIN, RETRY_EXTRA};

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn attempt(id: &str, kind: RequestKind, outcome: AttemptOutcome) -> Attempt {
    Attempt {
        id: id.into(),
        kind,
        gateway: 1,
        sent_at: seconds(10),
        ended_at: seconds(11),
        outcome,
    }
}

fn answered(status: u16) -> AttemptOutcome {
    AttemptOutcome::Answered {
        status,
        complete: true,
        right_body: status == 200,
    }
}

fn observed(runner: u8, at: u64, event: RunnerEvent) -> RunnerObservation {
    RunnerObservation {
        runner,
        life: 0,
        at: seconds(at),
        event,
    }
}

fn run(runner: u8, at: u64, id: &str) -> RunnerObservation {
    observed(runner, at, RunnerEvent::Run(id.into()))
}

fn fault(target: Target, planned: bool, from: u64, until: u64) -> FaultRecord {
    FaultRecord {
        kind: if planned {
            "gateway_stop"
        } else {
            "gateway_kill"
        },
        planned,
        target,
        from: seconds(from),
        until: Some(seconds(until)),
    }
}

/// Names of the promises that these observations break, without the recovery.
fn broken(observations: &Observations) -> Vec<&'static str> {
    let violations = check(observations, seconds(100));
    let promises = violations.into_iter().map(|violation| violation.promise);
    promises.filter(|promise| *promise != "recovery").collect()
}

#[test]
fn a_write_that_runs_twice_is_noticed() {
    let mut observations = Observations::default();
    observations
        .attempts
        .push(attempt("w", RequestKind::Write, answered(502)));
    observations.runners.push(run(1, 10, "w"));
    assert!(broken(&observations).is_empty());
    observations.runners.push(run(2, 10, "w"));
    assert_eq!(broken(&observations), ["at_most_once"]);
}

#[test]
fn a_refusal_of_a_write_that_ran_is_noticed() {
    let mut observations = Observations::default();
    observations
        .attempts
        .push(attempt("w", RequestKind::Write, answered(503)));
    assert!(broken(&observations).is_empty());
    observations.runners.push(run(1, 10, "w"));
    assert_eq!(broken(&observations), ["not_run_is_true"]);
}

#[test]
fn a_wrong_body_is_noticed() {
    let mut observations = Observations::default();
    let wrong = AttemptOutcome::Answered {
        status: 200,
        complete: true,
        right_body: false,
    };
    observations
        .attempts
        .push(attempt("r", RequestKind::Read, wrong));
    assert_eq!(broken(&observations), ["whole_answers"]);
}

#[test]
fn a_late_answer_is_noticed_unless_its_gateway_was_disturbed() {
    let mut observations = Observations::default();
    let mut late = attempt("r", RequestKind::Read, AttemptOutcome::TimedOut);
    late.ended_at = seconds(14);
    observations.attempts.push(late);
    assert_eq!(broken(&observations), ["in_time"]);
    observations
        .faults
        .push(fault(Target::Runner(1), false, 10, 12));
    assert_eq!(broken(&observations), ["in_time"]);
    observations
        .faults
        .push(fault(Target::Gateway(1), false, 10, 12));
    assert!(broken(&observations).is_empty());
}

#[test]
fn a_request_that_a_planned_stop_cuts_is_noticed() {
    let mut observations = Observations::default();
    observations
        .attempts
        .push(attempt("w", RequestKind::Write, AttemptOutcome::Closed));
    observations
        .faults
        .push(fault(Target::Gateway(1), true, 9, 12));
    assert!(broken(&observations).is_empty(), "it was not passed on");
    observations.runners.push(run(1, 10, "w"));
    assert_eq!(broken(&observations), ["planned_stops_cut_nothing"]);
}

#[test]
fn requests_lost_on_kept_connections_are_noticed() {
    let mut observations = Observations::default();
    for number in 0..=TOLERATED_LOSSES {
        let id = format!("w{number}");
        assert!(broken(&observations).is_empty());
        observations.runners.push(run(1, 10, &id));
        observations
            .attempts
            .push(attempt(&id, RequestKind::Write, AttemptOutcome::Closed));
    }
    assert_eq!(broken(&observations), ["answers_on_kept_connections"]);
}

#[test]
fn a_request_at_a_runner_that_drains_is_noticed() {
    let mut observations = Observations::default();
    observations
        .attempts
        .push(attempt("r", RequestKind::Read, answered(200)));
    observations
        .runners
        .push(observed(1, 5, RunnerEvent::Draining));
    observations.runners.push(run(1, 10, "r"));
    assert_eq!(broken(&observations), ["leaving_runners_get_no_work"]);
    observations.faults.push(fault(Target::Store, false, 4, 6));
    assert!(broken(&observations).is_empty());
}

fn probe(at: u64, expected: Expected, status: u16) -> RouteProbe {
    RouteProbe {
        id: format!("p{at}"),
        path: "/added-2/".into(),
        version: 2,
        expected,
        acknowledged_at: seconds(10),
        gateway: 1,
        life: 0,
        at: seconds(at),
        status: Some(status),
    }
}

#[test]
fn a_route_that_is_late_or_goes_back_is_noticed() {
    let added = Expected::Service(PLAIN);
    let mut observations = Observations::default();
    observations.probes.push(probe(13, added, 404));
    assert_eq!(broken(&observations), ["configuration_in_force"]);
    observations
        .faults
        .push(fault(Target::StoreLink(1), false, 8, 11));
    assert!(broken(&observations).is_empty());
    observations
        .probes
        .extend([probe(14, added, 200), probe(15, added, 404)]);
    observations.runners.push(run(2, 14, "p14"));
    assert_eq!(broken(&observations), ["configuration_never_goes_back"]);
}

#[test]
fn a_gateway_that_reaches_the_store_only_through_a_peer_must_not_be_late() {
    let mut observations = Observations {
        gateways: 2,
        ..Observations::default()
    };
    observations
        .probes
        .push(probe(13, Expected::Service(PLAIN), 404));
    observations
        .faults
        .push(fault(Target::StoreLink(1), false, 8, 11));
    assert_eq!(broken(&observations), ["configuration_in_force"]);
    for lost in [
        Target::PeerLinks(1),
        Target::PeerLinks(2),
        Target::StoreLink(2),
        Target::Gateway(2),
    ] {
        observations.faults.push(fault(lost, false, 12, 13));
        assert!(broken(&observations).is_empty(), "{lost:?}");
        observations.faults.pop();
    }
}

#[test]
fn answers_by_an_earlier_configuration_are_counted_by_their_time() {
    let mut observations = Observations::default();
    let added = Expected::Service(PLAIN);
    let probes = [probe(11, added, 404), probe(13, added, 200)];
    observations.probes.extend(probes);
    observations.runners.push(run(2, 13, "p13"));
    let lateness = |earlier| Lateness {
        answers: 1,
        earlier,
    };
    let by_tenths = lateness_by_tenths(&observations);
    assert_eq!(by_tenths, [(10, lateness(1)), (30, lateness(0))].into());
}

#[test]
fn a_route_that_is_moved_late_is_noticed() {
    let mut observations = Observations::default();
    let moved = Expected::Service(OTHER_PLAIN);
    observations.probes.push(probe(13, moved, 200));
    observations.runners.push(run(4, 13, "p13"));
    assert!(broken(&observations).is_empty());
    observations.probes.push(probe(14, moved, 200));
    observations.runners.push(run(2, 14, "p14"));
    assert_eq!(broken(&observations), ["configuration_never_goes_back"]);
    observations.probes.remove(0);
    assert_eq!(broken(&observations), ["configuration_in_force"]);
}

#[test]
fn a_route_that_is_removed_late_is_noticed() {
    let mut observations = Observations::default();
    observations.probes.push(probe(13, Expected::NotFound, 404));
    assert!(broken(&observations).is_empty());
    observations.probes[0].status = Some(200);
    observations.runners.push(run(4, 13, "p13"));
    assert_eq!(broken(&observations), ["configuration_in_force"]);
}

#[test]
fn too_many_replicas_are_noticed() {
    let mut observations = Observations::default();
    for runner in 1..=3 {
        assert!(broken(&observations).is_empty());
        let event = RunnerEvent::Models(vec!["a".into()]);
        observations.runners.push(observed(runner, 10, event));
    }
    assert_eq!(broken(&observations), ["replicas_within_the_policy"]);
}

#[test]
fn a_new_process_of_a_runner_that_holds_nothing_is_no_replica() {
    let mut observations = Observations::default();
    let models =
        |models: &[&str]| RunnerEvent::Models(models.iter().map(|m| (*m).into()).collect());
    observations.runners.push(observed(1, 5, models(&["a"])));
    observations.runners.push(observed(2, 5, models(&["a"])));
    let mut new_process = observed(1, 8, models(&[]));
    new_process.life = 1;
    observations.runners.push(new_process);
    observations.runners.push(observed(3, 10, models(&["a"])));
    assert!(broken(&observations).is_empty());
}

fn change(number: u64, key: &str, removed: bool) -> StoreObservation {
    StoreObservation {
        at: seconds(number),
        change: StoreChange {
            number,
            key: key.into(),
            removed,
        },
    }
}

fn copy(number: u64, items: &[(&str, u64)]) -> CopyObservation {
    CopyObservation {
        gateway: 1,
        asked_at: seconds(10),
        number,
        age: seconds(4),
        items: items
            .iter()
            .map(|(key, number)| ((*key).to_owned(), *number))
            .collect(),
    }
}

#[test]
fn a_copy_that_lost_a_change_is_noticed() {
    let mut observations = Observations::default();
    observations.store_changes.extend([
        change(1, "a", false),
        change(2, "b", false),
        change(3, "a", false),
        change(5, "b", true),
        change(7, "a", false),
    ]);
    observations.copies.push(copy(6, &[("a", 3)]));
    observations.copies.push(copy(6, &[("a", 7)]));
    assert!(broken(&observations).is_empty());
    observations.copies.push(copy(6, &[("a", 1)]));
    assert_eq!(broken(&observations), ["copies_agree_with_the_store"]);
    observations.copies[2] = copy(6, &[("a", 3), ("b", 2)]);
    assert_eq!(broken(&observations), ["copies_agree_with_the_store"]);
    observations.copies[2] = copy(6, &[]);
    assert_eq!(broken(&observations), ["copies_agree_with_the_store"]);
}

#[test]
fn a_copy_that_is_older_than_it_claims_is_noticed() {
    let mut observations = Observations::default();
    observations
        .store_changes
        .extend([change(1, "a", false), change(6, "a", false)]);
    observations.copies.push(copy(1, &[("a", 1)]));
    assert_eq!(broken(&observations), ["copies_are_as_young_as_they_claim"]);
    observations.copies[0].age = seconds(5);
    assert!(broken(&observations).is_empty());
}

#[test]
fn a_stop_that_takes_too_long_is_noticed_unless_a_runner_waits_for_the_store() {
    let overdue = |target| FaultRecord {
        kind: "stop_overdue",
        planned: false,
        target,
        from: seconds(20),
        until: Some(seconds(20)),
    };
    let mut observations = Observations::default();
    observations.faults.push(overdue(Target::Runner(1)));
    assert_eq!(broken(&observations), ["planned_stops_end"]);
    observations
        .faults
        .push(fault(Target::Store, false, 13, 15));
    assert!(broken(&observations).is_empty());
    observations.faults.push(overdue(Target::Gateway(1)));
    assert_eq!(broken(&observations), ["planned_stops_end"]);
}

#[test]
fn overcommitted_memory_is_noticed() {
    let mut observations = Observations::default();
    observations
        .runners
        .push(observed(1, 10, RunnerEvent::Overcommitted));
    assert_eq!(broken(&observations), ["memory"]);
}

#[test]
fn two_holders_of_a_token_are_noticed() {
    let mut observations = Observations::default();
    for holder in ["gateway-1", "gateway-2"] {
        assert!(broken(&observations).is_empty());
        let event = RunnerEvent::Order {
            holder: holder.into(),
            token: 7,
        };
        observations.runners.push(observed(1, 10, event));
    }
    assert_eq!(broken(&observations), ["one_holder_of_a_token"]);
}

#[test]
fn retries_beyond_the_budget_are_noticed() {
    let mut observations = Observations::default();
    for number in 0..=RETRY_EXTRA as u32 {
        assert!(broken(&observations).is_empty());
        let arrival = || RunnerEvent::Arrival(u64::from(number));
        observations
            .runners
            .extend([observed(2, 10, arrival()), observed(4, 10, arrival())]);
    }
    assert_eq!(broken(&observations), ["retry_budget"]);
}

#[test]
fn a_site_that_does_not_recover_is_noticed() {
    let mut observations = Observations::default();
    observations.faults.push(fault(Target::Store, false, 1, 5));
    let mut late = |kind, outcome| {
        let mut attempt = attempt("x", kind, outcome);
        (attempt.sent_at, attempt.ended_at) = (seconds(20), seconds(20));
        observations.attempts.push(attempt);
    };
    late(RequestKind::Write, answered(200));
    late(RequestKind::Read, answered(200));
    late(RequestKind::Stream, answered(503));
    let violations = the_site_recovers(&observations, seconds(30));
    assert_eq!(violations.len(), 1, "{violations:?}");
}

fn followed(event_ids: &[u64], software: &[&str]) -> FollowedStream {
    FollowedStream {
        id: "f".into(),
        event_ids: event_ids.to_vec(),
        software: software.iter().map(|name| (*name).to_owned()).collect(),
        resumed_tries: 1,
    }
}

#[test]
fn a_stream_of_two_software_versions_is_noticed() {
    let mut observations = Observations::default();
    let streams = &mut observations.streams;
    streams.push(followed(&[1, 2, 3], &["v1", "v1", "v1"]));
    assert!(broken(&observations).is_empty());
    let mixed = followed(&[1, 2, 3], &["v1", "v2", "v2"]);
    observations.streams.push(mixed);
    assert_eq!(broken(&observations), ["one_software_version"]);
}

#[test]
fn a_stream_that_lacks_or_repeats_an_event_is_noticed() {
    for event_ids in [[1, 3, 4], [1, 2, 2]] {
        let mut observations = Observations::default();
        observations.streams.push(followed(&event_ids, &["v1"; 3]));
        assert_eq!(broken(&observations), ["whole_streams"]);
    }
}

#[test]
fn a_gateway_without_runners_that_serves_worse_than_the_others_is_noticed() {
    let mut observations = Observations::default();
    let at = |gateway, number: u32, status| Attempt {
        gateway,
        ..attempt(
            &format!("{gateway}-{number}"),
            RequestKind::Read,
            answered(status),
        )
    };
    let attempts = (0..20).flat_map(|number| [at(1, number, 503), at(2, number, 200)]);
    observations.attempts.extend(attempts);
    for number in 0..20 {
        observations
            .runners
            .push(run(2, 10, &format!("2-{number}")));
    }
    assert!(broken(&observations).is_empty());
    let lost = fault(Target::LinksToRunners(1), false, 7, 12);
    observations.faults.push(lost);
    assert_eq!(broken(&observations), ["gateways_without_runners_serve"]);
    observations
        .faults
        .push(fault(Target::Gateway(1), false, 8, 9));
    assert!(broken(&observations).is_empty());
}

#[test]
fn an_answer_lost_long_after_its_gateway_lost_all_runners_is_noticed() {
    let mut observations = Observations::default();
    let incomplete = AttemptOutcome::Answered {
        status: 200,
        complete: false,
        right_body: false,
    };
    for number in 0..=TOLERATED_LOSSES {
        let id = format!("s{number}");
        let lost = attempt(&id, RequestKind::Stream, incomplete);
        observations.attempts.push(lost);
        observations.runners.push(run(1, 10, &id));
    }
    let links = |from| fault(Target::LinksToRunners(1), false, from, 12);
    observations.faults.push(links(8));
    assert!(broken(&observations).is_empty());
    observations.faults[0] = links(7);
    assert_eq!(broken(&observations), ["answers_on_kept_connections"]);
}

#[test]
fn a_part_that_goes_on_to_end_engines_is_noticed() {
    let mut observations = Observations::default();
    for at in 0..5 {
        let crash = observed(1, 10 + at, RunnerEvent::Crashing);
        observations.runners.push(crash);
    }
    let late = |at: u64| run(2, at, &format!("deadly-{at}-0"));
    observations
        .runners
        .extend((15..=16).chain(20..23).map(late));
    assert!(broken(&observations).is_empty());
    observations.runners.push(late(23));
    assert_eq!(broken(&observations), ["deadly_parts_are_held"]);
}
