//! Runners that say in their answers that they leave, before the store knows.

use std::net::IpAddr;
use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{RunnerStandIn, World, engine_service, plain_service, route};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
const GATEWAYS: u8 = 6;
/// Time that a request takes, its way included.
const ANSWERED_WITHIN: Duration = Duration::from_millis(100);
/// Time within which all gateways know what one was told.
const TOLD_WITHIN: Duration = Duration::from_millis(500);

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

/// Asks `gateways` in turn, 30 times a second; all are served.
async fn ask_plain(world: &World, time: Duration, gateways: &[u8]) {
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

fn all() -> Vec<u8> {
    (1..=GATEWAYS).collect()
}

/// Requests that `node` sent to `runner` from `from` on.
fn requests_since(runner: &RunnerStandIn, node: IpAddr, from: Instant) -> usize {
    let calls = runner.calls();
    let counted = calls
        .iter()
        .filter(|call| call.is_request && call.node == node && call.at >= from);
    counted.count()
}

/// Requests that arrived from `from` on.
fn all_requests_since(runner: &RunnerStandIn, from: Instant) -> usize {
    let hosts = all().into_iter().map(World::gateway_host);
    hosts.map(|node| requests_since(runner, node, from)).sum()
}

#[tokio::test(start_paused = true)]
async fn a_runner_that_said_to_a_gateway_that_it_leaves_gets_nothing_more_from_it() {
    let world = plain_world().await;
    let runner = &world.runners["plain-1"];
    ask_plain(&world, SECOND, &all()).await;
    runner.signal_draining();
    let said = Instant::now();
    ask_plain(&world, 8 * SECOND, &all()).await;
    for number in all() {
        let node = World::gateway_host(number);
        let calls = runner.calls();
        let told = calls
            .iter()
            .find(|call| call.node == node && call.at >= said);
        let Some(told) = told else {
            continue;
        };
        let later = requests_since(runner, node, told.at + ANSWERED_WITHIN);
        assert_eq!(later, 0, "gateway {number}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_runner_that_said_to_one_gateway_that_it_leaves_gets_nothing_from_any() {
    let world = plain_world().await;
    let runner = &world.runners["plain-1"];
    ask_plain(&world, SECOND, &all()).await;
    runner.signal_draining();
    let said = Instant::now();
    ask_plain(&world, SECOND, &[1]).await;
    let told = Instant::now();
    assert!(all_requests_since(runner, said) > 0);
    ask_plain(&world, 4 * SECOND, &all()).await;
    assert_eq!(all_requests_since(runner, told), 0);
}

#[tokio::test(start_paused = true)]
async fn an_entry_that_comes_again_does_not_bring_a_leaving_runner_back() {
    let world = plain_world().await;
    let runner = &world.runners["plain-1"];
    runner.signal_draining();
    ask_plain(&world, SECOND, &all()).await;
    let told = Instant::now();
    world.store.remove("runner/plain-1");
    world.run_for(SECOND).await;
    runner.publish_entry();
    world.run_for(SECOND / 20).await;
    ask_plain(&world, 4 * SECOND, &all()).await;
    assert_eq!(all_requests_since(runner, told), 0);
}

#[tokio::test(start_paused = true)]
async fn the_next_life_of_a_runner_that_left_is_used() {
    let world = plain_world().await;
    let runner = &world.runners["plain-1"];
    runner.signal_draining();
    ask_plain(&world, SECOND, &all()).await;
    runner.restart(&world.network, &[]);
    runner.publish_entry();
    world.run_for(SECOND).await;
    let begun = Instant::now();
    ask_plain(&world, 4 * SECOND, &all()).await;
    assert!(all_requests_since(runner, begun) > 0);
}

#[tokio::test(start_paused = true)]
async fn what_only_a_leaving_runner_holds_is_loaded_elsewhere() {
    let mut world = World::new(
        vec![engine_service("engine", &["a", "b", "c"])],
        vec![route("/stream/", "engine", RequestKind::Streaming)],
    );
    world.start_runner("engine-1", "engine", &["a", "b"]);
    world.start_runner("engine-2", "engine", &["c"]);
    world.start_gateways(1..=GATEWAYS).await;
    world.run_for(12 * SECOND).await;
    let leaving = world.runners["engine-1"].clone();
    leaving.signal_draining();
    let (said, orders) = (Instant::now(), leaving.orders().len());
    for number in 0..30 {
        let gateway = number % GATEWAYS + 1;
        let id = format!("stream-{number}");
        let answer = world.request(gateway, "/stream/x", &id, Some("a")).await;
        assert_eq!(answer.code(), 200, "{id}");
    }
    assert!(world.runners["engine-2"].has_loaded("a"));
    let later = all_requests_since(&leaving, said + TOLD_WITHIN);
    assert_eq!(later, 0);
    assert_eq!(leaving.orders().len(), orders);
}
