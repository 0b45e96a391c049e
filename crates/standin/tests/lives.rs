//! Runners that restart: a new incarnation under the same name and address.

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

/// A restarted runner counts heartbeats and orders from zero. Gateways that compared them with
/// those of the former incarnation took its new entry and reports for old ones: they sent
/// requests for models that it did not have, and orders that it refused.
#[tokio::test(start_paused = true)]
async fn a_restarted_runner_gets_requests_for_the_models_that_it_has_now() {
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
    let requests_before = engine.request_count();
    let loaded = world.request(1, "/stream/x", "held", Some("d")).await;
    assert_eq!(
        (loaded.code(), engine.request_count()),
        (200, requests_before + 1)
    );
    // A model that only the former incarnation had is loaded again.
    let lost = world.request(2, "/stream/x", "lost", Some("a")).await;
    assert_eq!((lost.code(), lost.complete), (200, true));
    assert!(!engine.overcommitted());
}

/// Guards against orders that exceed a restarted engine's memory because they are based on the
/// models that its former incarnation had. The store is down, so the leader learns of the new
/// incarnation only from the engine's report.
#[tokio::test(start_paused = true)]
async fn a_runner_that_restarts_during_a_store_outage_is_not_overcommitted() {
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
async fn a_load_that_a_restart_interrupts_is_ordered_again() {
    let world = world().await;
    let engine = &world.runners["engine-1"];
    let request = world.request(1, "/stream/x", "asked", Some("c"));
    let restart = async {
        world.run_for(SECOND / 2).await;
        engine.restart(&world.network, &[]);
        engine.publish_entry();
    };
    let (answer, ()) = tokio::join!(request, restart);
    assert_eq!((answer.code(), answer.complete), (200, true));
    assert!(!engine.overcommitted());
}

/// Failures of the former incarnation must not make gateways avoid the new one.
#[tokio::test(start_paused = true)]
async fn failures_of_a_former_incarnation_do_not_count_against_the_new_one() {
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

/// An entry that cannot be decoded must not keep gateways from using the other entries.
#[tokio::test(start_paused = true)]
async fn an_unreadable_entry_does_not_affect_other_runners() {
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
    // A runner whose own entry is overwritten is not used until it writes the entry again.
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
