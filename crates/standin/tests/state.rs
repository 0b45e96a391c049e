//! Heap memory of one gateway by the number of runners of the site.

use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{World, engine_service, route};

#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

const SECOND: Duration = Duration::from_secs(1);
/// Number of models that the engines of the site can load.
const MODELS: usize = 500;

/// Number of bytes that the whole process keeps on the heap now.
fn live_bytes() -> usize {
    dhat::HeapStats::get().curr_bytes
}

/// Number of bytes that the second gateway of a site with this number of runners keeps on the
/// heap.
async fn gateway_heap_bytes(runners: usize) -> usize {
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

/// Guards against a gateway that uses too much memory for each runner of the site. With 2.8 KB
/// per runner, a site of 985 gateways and 10,000 runners takes 30 MB per gateway, and 30 GB on
/// a machine that simulates it.
///
/// The limit of 1,300 bytes comes from the smallest nodes, which have 160 MB: 28 MB must be
/// enough for such a site. Of these, the program takes 12 MB, and a gateway without runners
/// takes 3 MB.
#[tokio::test(start_paused = true)]
async fn a_gateway_uses_little_memory_per_runner() {
    const MAX_BYTES_PER_RUNNER: usize = 1300;
    let _profiler = dhat::Profiler::builder().testing().build();
    let bytes_of_few = gateway_heap_bytes(500).await;
    let bytes_of_many = gateway_heap_bytes(2500).await;
    let bytes_per_runner = (bytes_of_many - bytes_of_few) / 2000;
    assert!(
        bytes_per_runner <= MAX_BYTES_PER_RUNNER,
        "{bytes_per_runner} bytes per runner"
    );
}
