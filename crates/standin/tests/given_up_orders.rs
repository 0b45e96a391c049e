//! Orders that a leader abandons while it is cut off from the runner. If such an order arrived
//! after the cut, a runner that checks no fencing tokens would carry it out, although another
//! gateway may be the leader by then.

use std::time::Duration;

use barleyspar_catalog::{Bounds, RequestKind};
use barleyspar_standin::{World, engine_service, route};

const SECOND: Duration = Duration::from_secs(1);
const GATEWAYS: u8 = 3;

/// Number of the gateway that is the placement leader.
async fn leader(world: &World) -> u8 {
    for number in 1..=GATEWAYS {
        if world.metric(number, "barleyspar_leading ").await == Some(1.0) {
            return number;
        }
    }
    panic!("nobody leads");
}

#[tokio::test(start_paused = true)]
async fn an_abandoned_order_does_not_reach_its_runner_when_a_cut_ends() {
    let mut world = World::new(
        vec![engine_service("engine", &["a", "b", "c"])],
        vec![route("/stream/", "engine", RequestKind::Streaming)],
    );
    let engine = world.start_runner("engine-1", "engine", &[]);
    for number in 1..=GATEWAYS {
        let unfenced = |bounds: &mut Bounds| bounds.fencing_enforced = false;
        world.start_gateway_with_bounds(number, unfenced).await;
    }
    world.run_for(12 * SECOND).await;
    let leader = leader(&world).await;
    let other = leader % GATEWAYS + 1;
    // This load leaves the leader with an open connection to the runner.
    assert_eq!(
        world
            .request(other, "/stream/x", "b", Some("b"))
            .await
            .code(),
        200
    );
    let orders = engine.orders().len();
    let host = World::gateway_host(leader);
    world.network.cut(host, engine.address().ip());
    world
        .request_with_deadline(other, "/stream/x", "c", Some("c"), 2 * SECOND)
        .await;
    world.kill_gateway(leader);
    world.network.heal();
    world.run_for(SECOND / 10).await;
    assert_eq!(engine.orders().len(), orders);
}
