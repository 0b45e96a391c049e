//! Runners that signal in their answers that they drain, before their entries in the store
//! show it.

use std::net::IpAddr;
use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{RunnerStandIn, World, engine_service, plain_service, route};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
const GATEWAYS: u8 = 6;
/// Time within which a request is answered, including the network's delays.
const ANSWERED_WITHIN: Duration = Duration::from_millis(100);
/// Time within which all gateways apply a signal that one of them received.
const PROPAGATED_WITHIN: Duration = Duration::from_millis(500);

async fn plain_world() -> World {
    let mut world = World::new(
        vec![plain_service("plain")],
        vec![route("/plain/", "plain", RequestKind::Idempotent)],
    );
    for number in 1..=3 {
        world.start_runner(&format!("plain-{number}"), "plain", &[]);
    }
    world.start_gateways(1..=GATEWAYS).await;
    world.run_for(8 * SECOND).await;
    world
}

/// Sends requests to `gateways` in turn for `time`, about 30 per second, and asserts that all
/// are served.
async fn assert_served(world: &World, time: Duration, gateways: &[u8]) {
    let until = Instant::now() + time;
    for number in 0.. {
        if Instant::now() >= until {
            return;
        }
        let gateway = gateways[number % gateways.len()];
        let id = format!("{:?}-{number}", Instant::now());
        let answer = world.request(gateway, "/plain/x", &id, None).await;
        assert_eq!(answer.code(), 200, "{id}");
    }
}

fn all_gateways() -> Vec<u8> {
    (1..=GATEWAYS).collect()
}

/// Number of requests that `runner` received from `node` from `from` on.
fn requests_since(runner: &RunnerStandIn, node: IpAddr, from: Instant) -> usize {
    let calls = runner.calls();
    let counted = calls
        .iter()
        .filter(|call| call.is_request && call.node == node && call.at >= from);
    counted.count()
}

/// Number of requests that `runner` received from all gateways from `from` on.
fn all_requests_since(runner: &RunnerStandIn, from: Instant) -> usize {
    let hosts = all_gateways().into_iter().map(World::gateway_host);
    hosts.map(|node| requests_since(runner, node, from)).sum()
}

#[tokio::test(start_paused = true)]
async fn a_gateway_that_receives_a_draining_signal_sends_no_more_requests() {
    let world = plain_world().await;
    let runner = &world.runners["plain-1"];
    assert_served(&world, SECOND, &all_gateways()).await;
    runner.signal_draining();
    let signalled = Instant::now();
    assert_served(&world, 8 * SECOND, &all_gateways()).await;
    for number in all_gateways() {
        let node = World::gateway_host(number);
        let calls = runner.calls();
        let first_call = calls
            .iter()
            .find(|call| call.node == node && call.at >= signalled);
        let Some(first_call) = first_call else {
            continue;
        };
        let later = requests_since(runner, node, first_call.at + ANSWERED_WITHIN);
        assert_eq!(later, 0, "gateway {number}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_draining_signal_to_one_gateway_stops_the_requests_of_all() {
    let world = plain_world().await;
    let runner = &world.runners["plain-1"];
    assert_served(&world, SECOND, &all_gateways()).await;
    runner.signal_draining();
    let signalled = Instant::now();
    assert_served(&world, SECOND, &[1]).await;
    let received = Instant::now();
    assert!(all_requests_since(runner, signalled) > 0);
    assert_served(&world, 4 * SECOND, &all_gateways()).await;
    assert_eq!(all_requests_since(runner, received), 0);
}

#[tokio::test(start_paused = true)]
async fn a_rewritten_entry_does_not_end_the_draining_of_a_runner() {
    let world = plain_world().await;
    let runner = &world.runners["plain-1"];
    runner.signal_draining();
    assert_served(&world, SECOND, &all_gateways()).await;
    let received = Instant::now();
    world.store.remove("runner/plain-1");
    world.run_for(SECOND).await;
    runner.publish_entry();
    world.run_for(SECOND / 20).await;
    assert_served(&world, 4 * SECOND, &all_gateways()).await;
    assert_eq!(all_requests_since(runner, received), 0);
}

#[tokio::test(start_paused = true)]
async fn the_next_incarnation_of_a_drained_runner_gets_requests() {
    let world = plain_world().await;
    let runner = &world.runners["plain-1"];
    runner.signal_draining();
    assert_served(&world, SECOND, &all_gateways()).await;
    runner.restart(&world.network, &[]);
    runner.publish_entry();
    world.run_for(SECOND).await;
    let restarted = Instant::now();
    assert_served(&world, 4 * SECOND, &all_gateways()).await;
    assert!(all_requests_since(runner, restarted) > 0);
}

#[tokio::test(start_paused = true)]
async fn a_model_with_replicas_only_on_a_draining_runner_is_loaded_elsewhere() {
    let mut world = World::new(
        vec![engine_service("engine", &["a", "b", "c"])],
        vec![route("/stream/", "engine", RequestKind::Streaming)],
    );
    world.start_runner("engine-1", "engine", &["a", "b"]);
    world.start_runner("engine-2", "engine", &["c"]);
    world.start_gateways(1..=GATEWAYS).await;
    world.run_for(12 * SECOND).await;
    let draining = world.runners["engine-1"].clone();
    draining.signal_draining();
    let (signalled, orders) = (Instant::now(), draining.orders().len());
    for number in 0..30 {
        let gateway = number % GATEWAYS + 1;
        let id = format!("stream-{number}");
        let answer = world.request(gateway, "/stream/x", &id, Some("a")).await;
        assert_eq!(answer.code(), 200, "{id}");
    }
    assert!(world.runners["engine-2"].has_loaded("a"));
    let later = all_requests_since(&draining, signalled + PROPAGATED_WITHIN);
    assert_eq!(later, 0);
    assert_eq!(draining.orders().len(), orders);
}
