//! Connections that stall for good, without a reset, while new ones work.

use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{World, engine_service, plain_service, route};

const SECOND: Duration = Duration::from_secs(1);
/// Time within which a change must be in force at all gateways.
const CHANGE_BOUND: Duration = Duration::from_secs(2);
const GATEWAYS: u8 = 4;

async fn world() -> World {
    let mut world = World::new(
        vec![
            plain_service("plain"),
            engine_service("engine", &["held", "rare"]),
        ],
        vec![
            route("/plain/", "plain", RequestKind::Idempotent),
            route("/stream/", "engine", RequestKind::Streaming),
        ],
    );
    world.start_runner("plain-1", "plain", &[]);
    world.start_runner("plain-2", "plain", &[]);
    world.start_runner("engine-1", "engine", &["held"]);
    for number in 1..=GATEWAYS {
        world.start_gateway(number).await;
    }
    world.run_for(12 * SECOND).await;
    world
}

/// Adds a route and asserts that all gateways serve it in time.
async fn assert_change_in_force(world: &mut World) {
    let added = route("/added/", "plain", RequestKind::Idempotent);
    world.configure(|configuration| configuration.routes.push(added.into()));
    world.run_for(CHANGE_BOUND).await;
    for number in 1..=GATEWAYS {
        let answer = world.request(number, "/added/x", "a", None).await;
        assert_eq!(answer.code(), 200, "gateway {number}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_is_in_force_although_connections_to_the_store_stalled() {
    let mut world = world().await;
    for number in 1..=GATEWAYS {
        world
            .network
            .stall_connections(World::gateway_host(number), World::store_host());
    }
    assert_change_in_force(&mut world).await;
}

#[tokio::test(start_paused = true)]
async fn a_change_is_in_force_although_connections_between_gateways_stalled() {
    let mut world = world().await;
    for one in 1..=GATEWAYS {
        for other in one + 1..=GATEWAYS {
            world
                .network
                .stall_connections(World::gateway_host(one), World::gateway_host(other));
        }
    }
    assert_change_in_force(&mut world).await;
}

/// The leader must still send orders after its connections to the store and to runners have
/// stalled.
#[tokio::test(start_paused = true)]
async fn a_model_is_loaded_although_connections_of_the_leader_stalled() {
    let world = world().await;
    let engine = world.runners["engine-1"].address().ip();
    for number in 1..=GATEWAYS {
        world
            .network
            .stall_connections(World::gateway_host(number), World::store_host());
        world
            .network
            .stall_connections(World::gateway_host(number), engine);
    }
    let answer = world.request(1, "/stream/x", "a", Some("rare")).await;
    assert_eq!((answer.code(), answer.complete), (200, true));
}

/// Each gateway has several idle connections to each runner. After they stall, at most one
/// request per runner may be delayed, and not one per connection.
#[tokio::test(start_paused = true)]
async fn stalled_connections_delay_at_most_one_request_per_runner() {
    let world = world().await;
    let request = async |id: String| {
        let started = tokio::time::Instant::now();
        let answer = world.request(1, "/plain/x", &id, None).await;
        (answer.code() == 200, started.elapsed())
    };
    let warm = (0..12).map(|number| request(format!("warm-{number}")));
    futures_util::future::join_all(warm).await;
    world.run_for(SECOND / 10).await;
    for runner in world.runners.values() {
        world
            .network
            .stall_connections(World::gateway_host(1), runner.address().ip());
    }
    let mut slow = 0;
    for number in 0..8 {
        let (served, took) = request(format!("after-{number}")).await;
        slow += usize::from(!served || took > SECOND / 10);
    }
    assert!(
        slow <= 2,
        "{slow} requests were delayed by stalled connections"
    );
}
