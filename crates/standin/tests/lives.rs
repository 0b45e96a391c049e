//! Runners that start again under the id that they had.

use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{Fault, World, engine_service, plain_service, route};
use bytes::Bytes;

const SECOND: Duration = Duration::from_secs(1);

async fn world() -> World {
    let mut world = World::new(
        vec![
            plain_service("plain"),
            engine_service("engine", &["a", "b", "c", "d"]),
        ],
        vec![
            route("/plain/", "plain", RequestKind::NonIdempotent),
            route("/stream/", "engine", RequestKind::Streaming),
        ],
    );
    world.start_runner("plain-1", "plain", &[]);
    world.start_runner("engine-1", "engine", &["a", "b"]);
    for number in 1..=2 {
        world.start_gateway(number).await;
    }
    world.run_for(8 * SECOND).await;
    world
}

/// A runner that starts again counts its heartbeats and orders from nothing. What
/// was believed of its former life made the new one's entry look late, and its
/// reports old: it was asked for models that it did not hold, and ordered in vain.
#[tokio::test(start_paused = true)]
async fn a_runner_that_starts_again_is_known_by_what_it_holds_now() {
    let world = world().await;
    let engine = &world.runners["engine-1"];
    for _ in 0..20 {
        engine.publish_entry();
    }
    let answer = world.request(1, "/stream/x", "before", Some("c")).await;
    assert_eq!(answer.code(), 200);
    world.run_for(SECOND).await;
    engine.restart(&world.network, &["d"]);
    engine.publish_entry();
    world.run_for(SECOND).await;
    let arrivals = engine.request_count();
    let held = world.request(1, "/stream/x", "held", Some("d")).await;
    assert_eq!((held.code(), engine.request_count()), (200, arrivals + 1));
    // What only the former life held is loaded again.
    let lost = world.request(2, "/stream/x", "lost", Some("a")).await;
    assert_eq!((lost.code(), lost.complete), (200, true));
    assert!(!engine.overcommitted());
}

/// The leader hears of the new life from its report, while its entry cannot come.
#[tokio::test(start_paused = true)]
async fn a_runner_that_starts_again_while_the_store_is_down_is_not_overcommitted() {
    let world = world().await;
    let engine = &world.runners["engine-1"];
    world.store.set_down(true);
    engine.restart(&world.network, &["c", "d"]);
    for model in ["a", "c", "d"] {
        world
            .request_with_deadline(1, "/stream/x", model, Some(model), 2 * SECOND)
            .await;
    }
    assert!(!engine.overcommitted());
    world.store.set_down(false);
    engine.publish_entry();
    world.run_for(3 * SECOND).await;
    let answer = world.request(2, "/stream/x", "after", Some("d")).await;
    assert_eq!((answer.code(), answer.complete), (200, true));
    assert!(!engine.overcommitted());
}

#[tokio::test(start_paused = true)]
async fn a_runner_that_starts_again_in_the_middle_of_a_load_is_ordered_anew() {
    let world = world().await;
    let engine = &world.runners["engine-1"];
    let asked = world.request(1, "/stream/x", "asked", Some("c"));
    let restart = async {
        world.run_for(SECOND / 2).await;
        engine.restart(&world.network, &[]);
        engine.publish_entry();
    };
    let (answer, ()) = tokio::join!(asked, restart);
    assert_eq!((answer.code(), answer.complete), (200, true));
    assert!(!engine.overcommitted());
}

/// What was seen of the former life says nothing of the new one.
#[tokio::test(start_paused = true)]
async fn a_runner_that_starts_again_is_not_blamed_for_its_former_life() {
    let world = world().await;
    let plain = &world.runners["plain-1"];
    plain.set_fault(Some(Fault::ResetAfterRun));
    for number in 0..6 {
        world
            .request(1, "/plain/x", &format!("failed-{number}"), None)
            .await;
    }
    plain.set_fault(None);
    plain.restart(&world.network, &[]);
    plain.publish_entry();
    world.run_for(SECOND / 2).await;
    let answer = world.request(1, "/plain/x", "after", None).await;
    assert_eq!(answer.code(), 200);
}

/// Entries that others wrote name no runner to use; their neighbours hold.
#[tokio::test(start_paused = true)]
async fn entries_that_cannot_be_read_cost_no_other_runner() {
    let world = world().await;
    for (key, bytes) in [("runner/foreign", "\u{1}"), ("runner/empty", "")] {
        world
            .store
            .put(key, Bytes::copy_from_slice(bytes.as_bytes()));
    }
    world.run_for(SECOND).await;
    let plain = world.request(1, "/plain/x", "plain", None).await;
    let stream = world.request(2, "/stream/x", "stream", Some("a")).await;
    assert_eq!((plain.code(), stream.code()), (200, 200));
    // One that takes a runner's own entry makes it a runner that nobody knows.
    world
        .store
        .put("runner/plain-1", Bytes::from_static(b"\x01"));
    world.run_for(SECOND).await;
    let refused = world.request(1, "/plain/x", "refused", None).await;
    assert_eq!(refused.code(), 503);
    world.runners["plain-1"].publish_entry();
    world.run_for(SECOND).await;
    let again = world.request(1, "/plain/x", "again", None).await;
    assert_eq!(again.code(), 200);
}
