//! Operators take a zone's runners out of service and give them back.

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

/// Requests that arrived at the runners of the first zone.
fn near(world: &World) -> u64 {
    let near = world
        .runners
        .iter()
        .filter(|(id, _)| id.starts_with("near"));
    near.map(|(_, runner)| runner.request_count()).sum()
}

/// Asks every gateway `times` times; all are served.
async fn ask_all(world: &World, times: usize, what: &str) {
    for number in 1..=GATEWAYS {
        for time in 0..times {
            let id = format!("{what}-{number}-{time}");
            let answer = world.request(number, "/plain/x", &id, None).await;
            assert_eq!(answer.code(), 200, "{id}");
        }
    }
}

/// What users would have seen: requests that went on into a zone for the whole time
/// of its evacuation (649 on one played day), since nothing read it. The gateways
/// kept every runner whose entry said that it was available.
#[tokio::test(start_paused = true)]
async fn an_evacuated_zone_gets_nothing_until_it_is_taken_back() {
    let world = world().await;
    ask_all(&world, 10, "before").await;
    assert!(near(&world) > 0);
    world.set_evacuated("zone", true);
    world.run_for(2 * SECOND).await;
    let before = near(&world);
    ask_all(&world, 10, "meanwhile").await;
    assert_eq!(near(&world), before);
    world.set_evacuated("zone", false);
    world.run_for(2 * SECOND).await;
    ask_all(&world, 10, "after").await;
    assert!(near(&world) > before);
}

#[tokio::test(start_paused = true)]
async fn gateways_that_start_or_come_back_know_of_an_evacuation() {
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
    let before = near(&world);
    ask_all(&world, 10, "meanwhile").await;
    assert_eq!(near(&world), before);
}

#[tokio::test(start_paused = true)]
async fn an_evacuation_that_ended_unseen_is_over() {
    let world = world().await;
    world.set_evacuated("zone", true);
    world.run_for(2 * SECOND).await;
    world.store.set_down(true);
    world.run_for(SECOND).await;
    world.set_evacuated("zone", false);
    world.store.compact_history();
    world.store.set_down(false);
    world.run_for(3 * SECOND).await;
    let before = near(&world);
    ask_all(&world, 10, "after").await;
    assert!(near(&world) > before);
}

/// Its bound counts like those of a configuration and of a leaving runner: the
/// shortest of them says how often the store is asked.
#[tokio::test(start_paused = true)]
async fn an_evacuation_is_in_force_within_its_own_bound() {
    let mut world = World::new(
        vec![plain_service("plain")],
        vec![route("/plain/", "plain", RequestKind::Idempotent)],
    );
    world.start_runner("near-1", "plain", &[]);
    world.start_runner_in_zone("far", "far-1", "plain", &[]);
    let long = |bounds: &mut Bounds| {
        bounds.change_in_force = 20 * SECOND;
        bounds.drain_timeout = 20 * SECOND;
        bounds.evacuation = Some(SECOND);
    };
    for number in 1..=GATEWAYS {
        world.start_gateway_with_bounds(number, long).await;
    }
    world.run_for(8 * SECOND).await;
    // One of them watches the store for all: cut from it, it does not know of the change.
    for number in 1..=GATEWAYS {
        world
            .network
            .stall_connections(World::gateway_host(number), World::store_host());
        world.set_evacuated("zone", true);
        world.run_for(SECOND).await;
        world.network.heal();
        for other in (1..=GATEWAYS).filter(|other| *other != number) {
            let before = near(&world);
            let id = format!("asked-{number}-{other}");
            let answer = world.request(other, "/plain/x", &id, None).await;
            assert_eq!((answer.code(), near(&world)), (200, before), "{id}");
        }
        world.set_evacuated("zone", false);
        world.run_for(2 * SECOND).await;
    }
}
