//! A request's way through a gateway, with every failure of a runner.

use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{Fault, World, engine_service, plain_service, route};

const SECOND: Duration = Duration::from_secs(1);
const STREAM: [u64; 40] = {
    let mut ids = [0; 40];
    let mut index = 0;
    while index < 40 {
        ids[index] = index as u64 + 1;
        index += 1;
    }
    ids
};

/// Two plain runners, two engines that hold one model, one gateway.
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

fn fail_all(world: &World, fault: Fault) {
    for runner in world.runners.values() {
        runner.set_fault(Some(fault));
    }
}

#[tokio::test(start_paused = true)]
async fn a_plain_request_comes_back_whole_and_signed() {
    let world = world().await;
    let answer = world.request(1, "/once/x", "a", None).await;
    assert_eq!(answer.code(), 200);
    assert_eq!(&answer.body[..], b"a");
    assert!(answer.complete && answer.headers.contains_key("signature"));
    assert_eq!(world.run_count("a"), 1);
}

#[tokio::test(start_paused = true)]
async fn a_stream_comes_back_whole() {
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
    fail_all(&world, Fault::ResetAfterRun);
    let answer = world.request(1, "/once/x", "a", None).await;
    assert_eq!(answer.code(), 502);
    assert_eq!(world.run_count("a"), 1);
}

#[tokio::test(start_paused = true)]
async fn a_silent_runner_is_not_said_not_to_have_run() {
    let world = world().await;
    fail_all(&world, Fault::NeverAnswer);
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
async fn a_rejection_by_all_runners_is_a_refusal_with_a_time_to_come_back() {
    let world = world().await;
    fail_all(&world, Fault::Reject);
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
async fn a_stream_that_may_not_be_resumed_does_not_look_complete() {
    let world = world().await;
    fail_all(&world, Fault::BreakStream(5));
    let answer = world.request(1, "/finite/x", "a", Some("held")).await;
    assert_eq!((answer.code(), answer.complete), (200, false));
    assert_eq!(answer.event_ids(), STREAM[..5]);
    assert_eq!(world.run_count("a"), 1);
}

#[tokio::test(start_paused = true)]
async fn a_client_that_leaves_stops_its_run() {
    let world = world().await;
    let left = tokio::time::timeout(
        Duration::from_millis(200),
        world.request(1, "/stream/x", "a", Some("held")),
    );
    assert!(left.await.is_err());
    world.run_for(5 * SECOND).await;
    let runs: Vec<_> = world
        .runners
        .values()
        .flat_map(|runner| runner.runs())
        .collect();
    let run = runs
        .iter()
        .find(|run| run.request_id == "a")
        .expect("it ran");
    assert!(!run.complete, "the run went on after its client had left");
}

#[tokio::test(start_paused = true)]
async fn a_runner_that_leaves_gets_no_new_requests() {
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
async fn a_draining_runner_stays_so_when_an_old_entry_comes_back() {
    let world = world().await;
    let key = "runner/plain-1";
    let old = world.store.get(key).expect("the entry is there");
    world.runners["plain-1"].drain();
    world.run_for(SECOND).await;
    world.store.put(key, old);
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
    fail_all(&world, Fault::ResetAfterRun);
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
