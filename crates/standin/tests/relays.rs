//! Sites with so many gateways that they send updates over relays and not to all others
//! directly.

use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{World, engine_service, route};
use futures_util::future::join_all;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
const GATEWAYS: u8 = 48;

async fn world() -> World {
    let mut world = World::new(
        vec![engine_service(
            "engine",
            &["a", "b", "c", "d", "e", "f", "g", "h"],
        )],
        vec![route("/stream/", "engine", RequestKind::Streaming)],
    );
    world.start_runner("engine-1", "engine", &["a", "b"]);
    world.start_runner("engine-2", "engine", &["c", "d"]);
    world.start_runner("engine-3", "engine", &["e"]);
    for number in 1..=GATEWAYS {
        world.start_gateway(number).await;
    }
    world.run_for(8 * SECOND).await;
    world
}

/// Number of the gateway that is the placement leader, by the record in the store.
fn leader(world: &World) -> u8 {
    let value = world
        .store
        .get("barleyspar/placement/leader")
        .expect("a gateway is the leader");
    (1..=GATEWAYS)
        .rev()
        .find(|number| {
            let name = format!("gateway-{number}");
            value
                .windows(name.len())
                .any(|bytes| bytes == name.as_bytes())
        })
        .expect("the leader is one of the gateways")
}

/// Sends a request for `model` to gateway `number` and asserts that it is served. Returns the
/// time that the answer took.
async fn answer_time(world: &World, number: u8, id: &str, model: &str) -> Duration {
    let started = Instant::now();
    let answer = world.request(number, "/stream/x", id, Some(model)).await;
    assert_eq!((answer.code(), answer.complete), (200, true), "{id}");
    started.elapsed()
}

#[tokio::test(start_paused = true)]
async fn a_cold_model_is_loaded_once_for_a_burst_at_many_gateways() {
    let world = world().await;
    let requests = (1..=GATEWAYS).map(|number| async move {
        let id = format!("r{number}");
        (number, id)
    });
    let requests = join_all(requests).await;
    let answers = requests
        .iter()
        .map(|(number, id)| world.request(*number, "/stream/x", id, Some("f")));
    let answers = join_all(answers).await;
    assert!(
        answers
            .iter()
            .all(|answer| answer.code() == 200 && answer.complete)
    );
    assert_eq!(world.replica_count("f"), 1);
}

#[tokio::test(start_paused = true)]
async fn a_dead_leader_of_many_gateways_is_replaced_within_seconds() {
    let mut world = world().await;
    let former = leader(&world);
    world.kill_gateway(former);
    let other = former % GATEWAYS + 1;
    let took = answer_time(&world, other, "after", "f").await;
    // The time is spent on two seconds without word from the leader, the staggered delay of its
    // successor, one second to load the model, and the run of the request.
    assert!(took < 6 * SECOND, "{took:?}");
    assert_ne!(leader(&world), former);
}

#[tokio::test(start_paused = true)]
async fn every_gateway_learns_of_a_replica_after_a_fifth_of_all_have_died() {
    let mut world = world().await;
    let leader = leader(&world);
    let killed: Vec<u8> = (1..=GATEWAYS)
        .filter(|number| number.is_multiple_of(5) && *number != leader)
        .collect();
    killed.iter().for_each(|number| world.kill_gateway(*number));
    world.run_for(3 * SECOND).await;
    answer_time(&world, leader, "first", "g").await;
    for number in (1..=GATEWAYS).filter(|number| !killed.contains(number)) {
        let took = answer_time(&world, number, &format!("at-{number}"), "g").await;
        assert!(took < SECOND, "gateway {number} took {took:?}");
    }
}
