//! Evacuations: operators stop and resume requests to the runners of a zone.

use std::time::Duration;

use barleyspar_catalog::{Bounds, RequestKind};
use barleyspar_standin::{World, plain_service, route};

const SECOND: Duration = Duration::from_secs(1);
const GATEWAYS: u8 = 3;

/// Plain runners in two zones, and gateways in the first one.
async fn world() -> World {
    let mut world = World::new(
        vec![plain_service("plain")],
        vec![route("/plain/", "plain", RequestKind::Idempotent)],
    );
    world.start_runner("near-1", "plain", &[]);
    world.start_runner("near-2", "plain", &[]);
    world.start_runner_in_zone("far", "far-1", "plain", &[]);
    world.start_runner_in_zone("far", "far-2", "plain", &[]);
    for number in 1..=GATEWAYS {
        world.start_gateway(number).await;
    }
    world.run_for(8 * SECOND).await;
    world
}

/// Number of requests that the runners of the first zone received.
fn near_requests(world: &World) -> u64 {
    let near = world
        .runners
        .iter()
        .filter(|(id, _)| id.starts_with("near"));
    near.map(|(_, runner)| runner.request_count()).sum()
}

/// Sends `times` requests to every gateway and asserts that all are served. The request ids
/// start with `label`.
async fn assert_served_by_all(world: &World, times: usize, label: &str) {
    for number in 1..=GATEWAYS {
        for time in 0..times {
            let id = format!("{label}-{number}-{time}");
            let answer = world.request(number, "/plain/x", &id, None).await;
            assert_eq!(answer.code(), 200, "{id}");
        }
    }
}

/// Guards against gateways that send requests into an evacuated zone because the entries of
/// its runners still say that they are available.
#[tokio::test(start_paused = true)]
async fn an_evacuated_zone_gets_no_requests_until_the_evacuation_ends() {
    let world = world().await;
    assert_served_by_all(&world, 10, "before").await;
    assert!(near_requests(&world) > 0);
    world.set_evacuated("zone", true);
    world.run_for(2 * SECOND).await;
    let before = near_requests(&world);
    assert_served_by_all(&world, 10, "meanwhile").await;
    assert_eq!(near_requests(&world), before);
    world.set_evacuated("zone", false);
    world.run_for(2 * SECOND).await;
    assert_served_by_all(&world, 10, "after").await;
    assert!(near_requests(&world) > before);
}

#[tokio::test(start_paused = true)]
async fn gateways_that_start_or_reconnect_apply_an_evacuation() {
    let mut world = world().await;
    world.store.set_refused(World::gateway_host(1), true);
    world
        .network
        .cut(World::gateway_host(1), World::gateway_host(2));
    world
        .network
        .cut(World::gateway_host(1), World::gateway_host(3));
    world.kill_gateway(2);
    world.set_evacuated("zone", true);
    world.run_for(3 * SECOND).await;
    world.start_gateway(2).await;
    world.store.set_refused(World::gateway_host(1), false);
    world.run_for(2 * SECOND).await;
    let before = near_requests(&world);
    assert_served_by_all(&world, 10, "meanwhile").await;
    assert_eq!(near_requests(&world), before);
}

#[tokio::test(start_paused = true)]
async fn an_evacuation_that_ended_during_a_store_outage_is_not_kept() {
    let world = world().await;
    world.set_evacuated("zone", true);
    world.run_for(2 * SECOND).await;
    world.store.set_down(true);
    world.run_for(SECOND).await;
    world.set_evacuated("zone", false);
    world.store.compact_history();
    world.store.set_down(false);
    world.run_for(3 * SECOND).await;
    let before = near_requests(&world);
    assert_served_by_all(&world, 10, "after").await;
    assert!(near_requests(&world) > before);
}

/// The bound for evacuations decides how often the store is read if it is shorter than those
/// for configurations and draining runners. A gateway that ignores it learns of the evacuation
/// late.
#[tokio::test(start_paused = true)]
async fn an_evacuation_is_in_force_within_its_own_bound() {
    let mut world = World::new(
        vec![plain_service("plain")],
        vec![route("/plain/", "plain", RequestKind::Idempotent)],
    );
    world.start_runner("near-1", "plain", &[]);
    world.start_runner_in_zone("far", "far-1", "plain", &[]);
    let long = |bounds: &mut Bounds| {
        bounds.configuration_apply_time = 20 * SECOND;
        bounds.drain_timeout = 20 * SECOND;
        bounds.evacuation_time = Some(SECOND);
    };
    for number in 1..=GATEWAYS {
        world.start_gateway_with_bounds(number, long).await;
    }
    world.run_for(8 * SECOND).await;
    // One of the gateways watches the store for all. Each in turn loses its connections to the
    // store.
    for number in 1..=GATEWAYS {
        world
            .network
            .stall_connections(World::gateway_host(number), World::store_host());
        world.set_evacuated("zone", true);
        world.run_for(SECOND).await;
        world.network.heal();
        for other in (1..=GATEWAYS).filter(|other| *other != number) {
            let before = near_requests(&world);
            let id = format!("asked-{number}-{other}");
            let answer = world.request(other, "/plain/x", &id, None).await;
            assert_eq!(
                (answer.code(), near_requests(&world)),
                (200, before),
                "{id}"
            );
        }
        world.set_evacuated("zone", false);
        world.run_for(2 * SECOND).await;
    }
}
