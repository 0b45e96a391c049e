//! What one gateway keeps, by the size of the site: bytes on its heap.

use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{World, engine_service, route};

#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

const SECOND: Duration = Duration::from_secs(1);
/// Models of the site.
const MODELS: usize = 500;

fn live_bytes() -> usize {
    dhat::HeapStats::get().curr_bytes
}

/// Bytes that the second gateway of a site with `runners` keeps.
async fn bytes_of_a_gateway(runners: usize) -> usize {
    let models: Vec<String> = (0..MODELS)
        .map(|number| format!("model-{number}"))
        .collect();
    let models: Vec<&str> = models.iter().map(String::as_str).collect();
    let mut world = World::new(
        vec![engine_service("engine", &models)],
        vec![route("/stream/", "engine", RequestKind::Streaming)],
    );
    world.add_runner_entries("engine", runners);
    world.start_gateway(1).await;
    world.run_for(5 * SECOND).await;
    let before = live_bytes();
    world.start_gateway(2).await;
    world.run_for(5 * SECOND).await;
    live_bytes() - before
}

/// A node keeps something of every runner of the site. At 985 nodes and 10,000 runners
/// that was 2.8 KB each (30 MB a node, 30 GB on the machine that played them all).
/// The aim: the smallest nodes have 160 MB and 28 MB are enough for such a site, of
/// which the program takes 12 and a node without runners 3: 1,300 bytes a runner.
#[tokio::test(start_paused = true)]
async fn a_node_keeps_little_of_each_runner() {
    const MOST: usize = 1300;
    let _profiler = dhat::Profiler::builder().testing().build();
    let few = bytes_of_a_gateway(500).await;
    let many = bytes_of_a_gateway(2500).await;
    let each = (many - few) / 2000;
    assert!(each <= MOST, "{each} bytes a runner");
}
