//! How a new placement leader reads the reports of many runners.

use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{World, engine_service, route};

const SECOND: Duration = Duration::from_secs(1);
/// Number of runners, more than a new leader may call at once.
const RUNNERS: usize = 600;

/// Guards against a new leader that opens a connection to every runner for its report. With
/// 10,000 runners that took 196 MB, and more file descriptors than its machine has.
#[tokio::test(start_paused = true)]
async fn a_new_leader_opens_few_connections_to_many_runners() {
    let mut world = World::new(
        vec![engine_service(
            "engine",
            &["a", "b", "c", "d", "e", "f", "g"],
        )],
        vec![route("/stream/", "engine", RequestKind::Streaming)],
    );
    // Nothing listens at the address of these runners, so each connection is refused and
    // counted.
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
