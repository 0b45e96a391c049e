//! A leader of many runners.

use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{World, engine_service, route};

const SECOND: Duration = Duration::from_secs(1);
/// More than a new leader reads the reports of at once.
const RUNNERS: usize = 600;

/// What was seen with 10,000 runners: a new leader opened a connection to each for its
/// report, which took 196 MB and would have taken more descriptors than its machine has.
#[tokio::test(start_paused = true)]
async fn a_leader_of_many_runners_asks_few_of_them() {
    let mut world = World::new(
        vec![engine_service(
            "engine",
            &["a", "b", "c", "d", "e", "f", "g"],
        )],
        vec![route("/stream/", "engine", RequestKind::Streaming)],
    );
    // Nobody listens at their address: each connection is refused, and counted.
    world.add_runner_entries("engine", RUNNERS);
    world.start_runner("engine-1", "engine", &["e"]);
    for number in 1..=2 {
        world.start_gateway(number).await;
    }
    world.run_for(8 * SECOND).await;
    let refused = world.network.refused_connections();
    assert!(refused < 20, "{refused} connections");
    let answer = world.request(1, "/stream/x", "asked", Some("e")).await;
    assert_eq!((answer.code(), answer.complete), (200, true));
}
