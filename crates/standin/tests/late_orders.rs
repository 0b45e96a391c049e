//! Runners whose process stands still when they get an order: they leave it unanswered, and
//! carry it out when they go on.

use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{World, engine_service, route};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
const GATEWAYS: u8 = 4;
const RUNNERS: u8 = 5;
/// Replicas that the policy of the site allows.
const MAX_REPLICAS: usize = 2;
/// Time within which the leader orders a model at a further runner if the first ones are
/// silent.
const ORDERED_WITHIN: Duration = Duration::from_secs(4);

async fn world() -> World {
    let mut world = World::new(
        vec![engine_service("engine", &["a", "b"])],
        vec![route("/stream/", "engine", RequestKind::Streaming)],
    );
    for number in 1..=RUNNERS {
        world.start_runner(&format!("engine-{number}"), "engine", &[]);
    }
    world.start_gateways(1..=GATEWAYS).await;
    world.run_for(8 * SECOND).await;
    world
}

/// Sends requests for a model to `gateways`, four a second for `time`.
async fn send_requests(world: &World, gateways: &[u8], time: Duration) {
    for number in 0..4 * time.as_secs() as usize {
        let gateway = gateways[number % gateways.len()];
        let id = format!("request-{number}");
        // The answers do not matter here.
        drop(world.spawn_request((gateway, "/stream/x", Some("a")), &id));
        world.run_for(SECOND / 4).await;
    }
}

async fn leader(world: &World) -> u8 {
    for number in 1..=GATEWAYS {
        if world.metric(number, "barleyspar_leading").await == Some(1.0) {
            return number;
        }
    }
    panic!("no gateway leads");
}

fn set_paused(world: &World, paused: bool) {
    for runner in world.runners.values() {
        runner.set_paused(paused);
    }
}

#[tokio::test(start_paused = true)]
async fn silent_runners_that_go_on_load_no_replica_beyond_the_policy() {
    let world = world().await;
    let gateways: Vec<u8> = (1..=GATEWAYS).collect();
    set_paused(&world, true);
    send_requests(&world, &gateways, 2 * ORDERED_WITHIN).await;
    set_paused(&world, false);
    send_requests(&world, &gateways, 2 * ORDERED_WITHIN).await;
    let replicas = world.replica_count("a");
    assert!(
        (1..=MAX_REPLICAS).contains(&replicas),
        "{replicas} replicas"
    );
}

/// The leader dies with orders unanswered; its successor cannot read these runners' reports.
#[tokio::test(start_paused = true)]
async fn late_orders_of_a_former_leader_load_no_replica_beyond_the_policy() {
    let mut world = world().await;
    let leader = leader(&world).await;
    let others: Vec<u8> = (1..=GATEWAYS).filter(|number| *number != leader).collect();
    set_paused(&world, true);
    let paused_at = Instant::now();
    send_requests(&world, &others, ORDERED_WITHIN).await;
    world.kill_gateway(leader);
    let mut ordered = 0;
    for runner in world.runners.values() {
        // Reports wait while the process stands still, so calls other than requests are orders.
        let mut calls = runner.calls().into_iter();
        let was_ordered = calls.any(|call| call.at > paused_at && !call.is_request);
        runner.set_paused(was_ordered);
        ordered += usize::from(was_ordered);
    }
    assert!(ordered > 0, "no order was sent");
    send_requests(&world, &others, 2 * ORDERED_WITHIN).await;
    set_paused(&world, false);
    send_requests(&world, &others, ORDERED_WITHIN).await;
    let replicas = world.replica_count("a");
    assert!(
        (1..=MAX_REPLICAS).contains(&replicas),
        "{replicas} replicas"
    );
}
