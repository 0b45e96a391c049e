//! Requests through one gateway, with each fault of a runner.

use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{Fault, World, engine_service, plain_service, route};

const SECOND: Duration = Duration::from_secs(1);
/// Ids of all events of a complete stream.
const STREAM: [u64; 40] = {
    let mut ids = [0; 40];
    let mut index = 0;
    while index < 40 {
        ids[index] = index as u64 + 1;
        index += 1;
    }
    ids
};

/// One gateway, two plain runners, and two engines with the model `held` loaded and not
/// `rare`.
async fn world() -> World {
    let mut finite = route("/finite/", "engine", RequestKind::Streaming);
    finite.resumable = false;
    let mut world = World::new(
        vec![
            plain_service("plain"),
            engine_service("engine", &["held", "rare"]),
        ],
        vec![
            route("/once/", "plain", RequestKind::NonIdempotent),
            route("/often/", "plain", RequestKind::Idempotent),
            route("/stream/", "engine", RequestKind::Streaming),
            finite,
        ],
    );
    for id in ["plain-1", "plain-2"] {
        world.start_runner(id, "plain", &[]);
    }
    for id in ["engine-1", "engine-2"] {
        world.start_runner(id, "engine", &["held"]);
    }
    world.start_gateway(1).await;
    world.run_for(12 * SECOND).await;
    world
}

fn set_fault_of_all(world: &World, fault: Fault) {
    for runner in world.runners.values() {
        runner.set_fault(Some(fault));
    }
}

#[tokio::test(start_paused = true)]
async fn a_plain_answer_arrives_complete_and_signed() {
    let world = world().await;
    let answer = world.request(1, "/once/x", "a", None).await;
    assert_eq!(answer.code(), 200);
    assert_eq!(&answer.body[..], b"a");
    assert!(answer.complete && answer.headers.contains_key("signature"));
    assert_eq!(world.run_count("a"), 1);
}

#[tokio::test(start_paused = true)]
async fn a_stream_arrives_complete() {
    let world = world().await;
    let answer = world.request(1, "/stream/x", "a", Some("held")).await;
    assert_eq!((answer.code(), answer.complete), (200, true));
    assert_eq!(answer.event_ids(), STREAM);
}

#[tokio::test(start_paused = true)]
async fn an_unknown_route_is_not_found() {
    let world = world().await;
    assert_eq!(world.request(1, "/nowhere/", "a", None).await.code(), 404);
}

#[tokio::test(start_paused = true)]
async fn a_request_that_may_have_run_is_not_repeated() {
    let world = world().await;
    set_fault_of_all(&world, Fault::ResetAfterRun);
    let answer = world.request(1, "/once/x", "a", None).await;
    assert_eq!(answer.code(), 502);
    assert_eq!(world.run_count("a"), 1);
}

#[tokio::test(start_paused = true)]
async fn a_request_at_a_runner_that_never_answers_times_out_without_a_repeat() {
    let world = world().await;
    set_fault_of_all(&world, Fault::NeverAnswer);
    let answer = world
        .request_with_deadline(1, "/once/x", "a", None, SECOND)
        .await;
    assert_eq!(answer.code(), 504);
    assert_eq!(world.run_count("a"), 1);
}

#[tokio::test(start_paused = true)]
async fn an_idempotent_request_is_repeated_at_another_runner() {
    let world = world().await;
    for fault in [Fault::ResetAfterRun, Fault::NeverAnswer] {
        world.runners["plain-1"].set_fault(Some(fault));
        for number in 0..6 {
            let id = format!("{fault:?}-{number}");
            let answer = world.request(1, "/often/x", &id, None).await;
            assert_eq!(answer.code(), 200, "{id}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_that_all_runners_reject_is_refused_with_a_retry_time() {
    let world = world().await;
    set_fault_of_all(&world, Fault::Reject);
    let answer = world.request(1, "/once/x", "a", None).await;
    assert_eq!(answer.code(), 503);
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(world.run_count("a"), 0);
}

#[tokio::test(start_paused = true)]
async fn a_broken_stream_is_continued_in_the_same_answer() {
    let world = world().await;
    world.runners["engine-1"].set_fault(Some(Fault::BreakStream(5)));
    for number in 0..4 {
        let id = format!("stream-{number}");
        let answer = world.request(1, "/stream/x", &id, Some("held")).await;
        assert_eq!((answer.code(), answer.complete), (200, true), "{id}");
        assert_eq!(answer.event_ids(), STREAM, "{id}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_stalled_stream_is_continued_in_the_same_answer() {
    let world = world().await;
    world.runners["engine-1"].set_fault(Some(Fault::StallStream(5)));
    for number in 0..4 {
        let id = format!("stream-{number}");
        let answer = world.request(1, "/stream/x", &id, Some("held")).await;
        assert_eq!((answer.code(), answer.complete), (200, true), "{id}");
        assert_eq!(answer.event_ids(), STREAM, "{id}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_broken_stream_that_is_not_resumable_does_not_look_complete() {
    let world = world().await;
    set_fault_of_all(&world, Fault::BreakStream(5));
    let answer = world.request(1, "/finite/x", "a", Some("held")).await;
    assert_eq!((answer.code(), answer.complete), (200, false));
    assert_eq!(answer.event_ids(), STREAM[..5]);
    assert_eq!(world.run_count("a"), 1);
}

#[tokio::test(start_paused = true)]
async fn a_run_is_cancelled_when_its_client_disconnects() {
    let world = world().await;
    let answer = tokio::time::timeout(
        Duration::from_millis(200),
        world.request(1, "/stream/x", "a", Some("held")),
    );
    assert!(answer.await.is_err());
    world.run_for(5 * SECOND).await;
    let runs: Vec<_> = world
        .runners
        .values()
        .flat_map(|runner| runner.runs())
        .collect();
    let run = runs
        .iter()
        .find(|run| run.request_id == "a")
        .expect("the request ran");
    assert!(
        !run.complete,
        "the run went on after its client had disconnected"
    );
}

#[tokio::test(start_paused = true)]
async fn a_draining_runner_gets_no_new_requests() {
    let world = world().await;
    world.runners["plain-1"].drain();
    world.run_for(SECOND).await;
    let before = world.runners["plain-1"].request_count();
    for number in 0..10 {
        let answer = world
            .request(1, "/once/x", &format!("r{number}"), None)
            .await;
        assert_eq!(answer.code(), 200);
    }
    assert_eq!(world.runners["plain-1"].request_count(), before);
}

#[tokio::test(start_paused = true)]
async fn an_old_entry_does_not_end_the_draining_of_a_runner() {
    let world = world().await;
    let key = "runner/plain-1";
    let old_entry = world.store.get(key).expect("the runner has an entry");
    world.runners["plain-1"].drain();
    world.run_for(SECOND).await;
    world.store.put(key, old_entry);
    world.run_for(SECOND).await;
    let before = world.runners["plain-1"].request_count();
    for number in 0..10 {
        world
            .request(1, "/once/x", &format!("r{number}"), None)
            .await;
    }
    assert_eq!(world.runners["plain-1"].request_count(), before);
}

#[tokio::test(start_paused = true)]
async fn retries_of_all_requests_stay_within_the_budget() {
    let world = world().await;
    set_fault_of_all(&world, Fault::ResetAfterRun);
    for number in 0..200 {
        world
            .request(1, "/often/x", &format!("r{number}"), None)
            .await;
    }
    let arrivals: u64 = world
        .runners
        .values()
        .map(|runner| runner.request_count())
        .sum();
    let retries = arrivals - 200;
    assert!(retries <= 50 + 40, "{retries} retries");
    assert!(retries > 0, "no retry at all");
}

#[tokio::test(start_paused = true)]
async fn a_body_over_the_limit_is_refused_before_it_is_sent_on() {
    let mut world = world().await;
    world.configure(|configuration| configuration.limits.body_bytes = 4);
    world.run_for(SECOND).await;
    assert_eq!(world.request(1, "/once/x", "four", None).await.code(), 200);
    assert_eq!(world.request(1, "/once/x", "fives", None).await.code(), 413);
    assert_eq!(world.run_count("fives"), 0);
}

#[tokio::test(start_paused = true)]
async fn a_deadline_that_passes_while_a_body_is_read_is_told_as_such() {
    let world = world().await;
    set_fault_of_all(&world, Fault::StallBody);
    let answer = world.request_with_deadline(1, "/once/x", "stalled", None, SECOND / 2);
    assert_eq!(answer.await.code(), 504);
}
