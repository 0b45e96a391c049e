//! A whole site that starts at once: calls to the store, which are priced by number.

use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{World, plain_service, route};

const SECOND: Duration = Duration::from_secs(1);
/// More than tell each other everything directly; the larger sites' mechanisms work.
const GATEWAYS: u8 = 250;

/// What users paid: 9,166 priced calls of 985 gateways on a quiet day, 0.076 of its
/// worth. The operators' configuration came 1.6 s after the start. Until then nobody
/// could lead; when it came, all but the twelve best placed tried for the lease in the
/// same moment (grant, commit, end). And each node watched the store until it knew its
/// peers, a moment after it had read them.
///
/// What a node must do itself at such a start is to read what there is, and to enter
/// itself under a lease: three calls.
#[tokio::test(start_paused = true)]
async fn gateways_that_start_at_once_call_the_store_three_times_each() {
    const EACH: u64 = 3;
    /// The watcher's polls, and a few that try for the lease.
    const ALL: u64 = 60;
    let mut world = World::new(
        vec![plain_service("plain")],
        vec![route("/plain/", "plain", RequestKind::Idempotent)],
    );
    world.start_runner("plain-1", "plain", &[]);
    world.remove_configuration();
    world.store.set_extra_latency(SECOND / 20);
    world.start_gateways(1..=GATEWAYS).await;
    world.run_for(3 * SECOND / 2).await;
    world.configure(|_| {});
    world.run_for(10 * SECOND).await;
    let calls = world.store.call_counts_by_kind();
    // Renewals and readings that may be old cost a tenth.
    let priced: u64 = calls
        .iter()
        .filter(|(kind, _)| !["renew_lease", "read_stale"].contains(kind))
        .map(|(_, count)| count)
        .sum();
    assert!(priced <= EACH * u64::from(GATEWAYS) + ALL, "{calls:?}");
    let answer = world.request(GATEWAYS, "/plain/x", "asked", None).await;
    assert_eq!(answer.code(), 200);
}

/// What users saw: after all 87 gateways of a site had lost power, 57 requests of two
/// seconds were served in time, 221 before the way was changed in which a node decides
/// to watch the store. One that knew nothing waited 0.6 s for peers that it did not know.
#[tokio::test(start_paused = true)]
async fn a_gateway_that_knows_of_no_peer_asks_the_store_at_once() {
    let mut world = World::new(
        vec![plain_service("plain")],
        vec![route("/plain/", "plain", RequestKind::Idempotent)],
    );
    world.start_runner("plain-1", "plain", &[]);
    world.start_gateway(1).await;
    world.run_for(SECOND / 10).await;
    let answer = world.request(1, "/plain/x", "asked", None).await;
    assert_eq!(answer.code(), 200);
}
