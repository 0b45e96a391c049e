//! Gateways that are partitioned from all runners while callers, the store and the other
//! gateways still reach them.

use std::ops::RangeInclusive;
use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{
    Answer, Cut, World, default_bounds, engine_service, plain_service, route,
};
use futures_util::future::join_all;
use tokio::time::{Instant, sleep_until};

const SECOND: Duration = Duration::from_secs(1);
const GATEWAYS: u8 = 6;
/// Gateways that are partitioned from all runners.
const PARTITIONED: RangeInclusive<u8> = 1..=3;
/// Time from the start of a partition after which its callers must be served.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Lease duration of the site, within which orders of two holders must not take turns.
const LEASE_DURATION: Duration = Duration::from_secs(3);
/// Time from a request to the reset of its connection: its run has begun, and the first event has
/// not arrived.
const BEFORE_FIRST_EVENT: Duration = Duration::from_millis(40);
/// Time for which the runners keep an idle connection open.
const KEEP_ALIVE_TIME: Duration = Duration::from_secs(10);
/// Requests sent together to each gateway: one of each kind.
const ROUTES: [(&str, Option<&str>); 3] = [
    ("/write/x", None),
    ("/read/x", None),
    ("/stream/x", Some("a")),
];
const CUTS: [Cut; 3] = [Cut::Silent, Cut::Reset, Cut::RefusesNew];

async fn world() -> World {
    let mut world = World::new(
        vec![
            plain_service("plain"),
            engine_service("engine", &["a", "b", "cold"]),
        ],
        vec![
            route("/write/", "plain", RequestKind::NonIdempotent),
            route("/read/", "plain", RequestKind::Idempotent),
            route("/stream/", "engine", RequestKind::Streaming),
        ],
    );
    for number in 1..=3 {
        world.start_runner(&format!("plain-{number}"), "plain", &[]);
        world.start_runner(&format!("engine-{number}"), "engine", &["a"]);
    }
    world.start_gateways(1..=GATEWAYS).await;
    world.run_for(8 * SECOND).await;
    world
}

/// Cuts these gateways off from all runners.
fn partition(world: &World, gateways: impl IntoIterator<Item = u8>, cut: Cut) {
    for number in gateways {
        for runner in world.runners.values() {
            let (gateway, runner) = (World::gateway_host(number), runner.address().ip());
            world.network.cut_in_way(gateway, runner, cut);
        }
    }
}

/// A request of [`send_load`], with its answer.
struct Served {
    gateway: u8,
    id: String,
    answer: Answer,
}

impl Served {
    fn is_served(&self) -> bool {
        self.answer.code() == 200 && self.answer.complete
    }
}

/// Sends one request of each kind to each gateway every tenth of a second, for `time`.
async fn send_load(world: &World, label: &str, time: Duration) -> Vec<Served> {
    let started = Instant::now();
    let rounds = (time.as_secs_f64() * 10.0) as u32;
    let requests = (0..rounds).flat_map(|round| {
        (1..=GATEWAYS).flat_map(move |gateway| {
            ROUTES.map(|(path, model)| async move {
                sleep_until(started + SECOND / 10 * round).await;
                let id = format!("{label}-{round}-{gateway}-{path}");
                let answer = world.request(gateway, path, &id, model).await;
                Served {
                    gateway,
                    id,
                    answer,
                }
            })
        })
    });
    join_all(requests).await
}

/// Asserts that callers of the partitioned gateways are served as the others are.
fn assert_served_alike(sent: &[Served], cut: Cut) {
    let share = |is_partitioned: bool| {
        let those = sent
            .iter()
            .filter(|served| PARTITIONED.contains(&served.gateway) == is_partitioned);
        let (served, all) = those.fold((0, 0), |(served, all), request| {
            (served + usize::from(request.is_served()), all + 1)
        });
        (served, all)
    };
    let ((served, all), (others_served, others)) = (share(true), share(false));
    assert!(
        served * others * 3 >= others_served * all * 2,
        "{cut:?}: {served} of {all} at partitioned gateways, {others_served} of {others} at others"
    );
    let failed = all - served;
    assert!(failed <= 10 + all / 50, "{cut:?}: {failed} of {all} failed");
}

/// Partitions half of the gateways in this way and asserts that their callers are served.
async fn assert_callers_served(cut: Cut) {
    let world = world().await;
    send_load(&world, "before", SECOND).await;
    partition(&world, PARTITIONED, cut);
    if cut == Cut::RefusesNew {
        // Connections that were open before have reached the end of their keep-alive time.
        world.run_for(KEEP_ALIVE_TIME).await;
    } else {
        send_load(&world, "detecting", CONTACT_TIME).await;
    }
    let sent = send_load(&world, "partitioned", 8 * SECOND).await;
    assert_served_alike(&sent, cut);
    assert_no_write_ran_twice(&world, &sent);
}

fn assert_no_write_ran_twice(world: &World, sent: &[Served]) {
    for write in sent.iter().filter(|request| request.id.contains("/write/")) {
        let runs = world.run_count(&write.id);
        assert!(runs <= 1, "{} ran {runs} times", write.id);
    }
}

#[tokio::test(start_paused = true)]
async fn callers_are_served_while_links_to_all_runners_hang() {
    assert_callers_served(Cut::Silent).await;
}

#[tokio::test(start_paused = true)]
async fn callers_are_served_while_links_to_all_runners_are_reset() {
    assert_callers_served(Cut::Reset).await;
}

#[tokio::test(start_paused = true)]
async fn callers_are_served_while_all_runners_refuse_new_connections() {
    assert_callers_served(Cut::RefusesNew).await;
}

/// A site whose gateway 1 has noticed that it is partitioned from all runners.
async fn world_with_partitioned_gateway(cut: Cut) -> World {
    let world = world().await;
    partition(&world, [1], cut);
    world.run_for(KEEP_ALIVE_TIME).await;
    for round in 0..3 {
        for (path, model) in ROUTES {
            let id = format!("noticing-{round}-{path}");
            world.request(1, path, &id, model).await;
        }
    }
    world
}

/// Calls that runners of the site received from gateway `number` since `since`.
fn calls_of_gateway(world: &World, number: u8, since: Instant) -> usize {
    let host = World::gateway_host(number);
    let calls = world.runners.values().flat_map(|runner| runner.calls());
    calls
        .filter(|call| call.node == host && call.at >= since)
        .count()
}

#[tokio::test(start_paused = true)]
async fn a_gateway_calls_runners_itself_again_after_a_partition() {
    for cut in CUTS {
        let world = world_with_partitioned_gateway(cut).await;
        world.network.heal();
        send_load(&world, "healing", SECOND).await;
        let since = Instant::now();
        send_load(&world, "healed", 2 * SECOND).await;
        assert_eq!(calls_of_gateway(&world, 1, since), 60, "{cut:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_runner_gets_no_calls_through_a_peer_during_a_pause_that_it_requested_of_it() {
    let world = world_with_partitioned_gateway(Cut::Silent).await;
    let runner = &world.runners["plain-1"];
    runner.request_pauses(2 * SECOND, 5);
    let sent = send_load(&world, "pausing", 8 * SECOND).await;
    assert!(sent.iter().all(Served::is_served));
    let calls = runner.calls();
    for pause in runner.requested_pauses() {
        // Calls that were under way when the pause was requested.
        let from = pause.at + SECOND / 10;
        let called = calls.iter().filter(|call| {
            call.node == pause.node && (from..pause.at + pause.duration).contains(&call.at)
        });
        assert_eq!(called.count(), 0, "{pause:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_draining_runner_gets_no_requests_through_peers() {
    let world = world_with_partitioned_gateway(Cut::Reset).await;
    let runner = &world.runners["plain-1"];
    runner.signal_draining();
    send_load(&world, "draining", SECOND).await;
    let since = Instant::now();
    let sent = send_load(&world, "drained", 2 * SECOND).await;
    assert!(sent.iter().all(Served::is_served));
    let late = runner.calls().into_iter().filter(|call| call.at > since);
    assert_eq!(late.count(), 0);
}

#[tokio::test(start_paused = true)]
async fn streams_go_on_when_the_peers_that_carry_them_die() {
    let mut world = world_with_partitioned_gateway(Cut::Silent).await;
    // A gateway that has just started may not use its whole retry budget.
    world.run_for(default_bounds().retry_window).await;
    let streams = (0..12).map(|number| {
        let id = format!("stream-{number}");
        let to = (1, "/stream/x", Some("a"));
        world.spawn_request(to, &id)
    });
    let streams: Vec<_> = streams.collect();
    world.run_for(SECOND / 5).await;
    world.kill_gateway(2);
    world.kill_gateway(3);
    for answer in join_all(streams).await {
        let answer = answer.expect("the client does not panic");
        let events: Vec<u64> = (1..=40).collect();
        assert_eq!(
            (answer.code(), answer.complete, answer.event_ids()),
            (200, true, events)
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_planned_stop_of_a_peer_cuts_no_request_that_it_carries() {
    let world = world_with_partitioned_gateway(Cut::Silent).await;
    let writes = (0..12).map(|number| {
        let id = format!("write-{number}");
        world.spawn_request((1, "/write/x", None), &id)
    });
    let writes: Vec<_> = writes.collect();
    world.run_for(SECOND / 50).await;
    let stops = (2..=3).map(|number| world.gateway(number));
    let stops = stops.map(|gateway| async move { gateway.stop().await });
    let (answers, _) = tokio::join!(join_all(writes), join_all(stops));
    let codes = answers
        .iter()
        .map(|answer| answer.as_ref().map_or(0, |answer| answer.code()));
    assert!(codes.into_iter().all(|code| code == 200));
}

#[tokio::test(start_paused = true)]
async fn a_runner_stops_its_run_when_a_caller_behind_a_peer_leaves() {
    let world = world_with_partitioned_gateway(Cut::Silent).await;
    let stream = world.request(1, "/stream/x", "left", Some("a"));
    let left = tokio::time::timeout(SECOND / 5, stream).await;
    assert!(left.is_err());
    world.run_for(SECOND / 10).await;
    let running = world
        .runners
        .values()
        .map(|runner| runner.running_requests());
    assert_eq!(running.sum::<usize>(), 0);
    assert_eq!(world.run_count("left"), 1);
}

#[tokio::test(start_paused = true)]
async fn a_metric_counts_the_runners_that_a_gateway_cannot_reach() {
    for cut in CUTS {
        let world = world().await;
        let unreachable = async |gateway| {
            let value = world
                .metric(gateway, "barleyspar_unreachable_runners")
                .await;
            value.expect("the metric exists")
        };
        partition(&world, [1], cut);
        world.run_for(KEEP_ALIVE_TIME).await;
        send_load(&world, "partitioned", 3 * SECOND).await;
        let during = unreachable(1).await;
        assert!(during >= 3.0, "{cut:?}: {during}");
        assert_eq!(unreachable(2).await, 0.0, "{cut:?}");
        world.network.heal();
        world.run_for(KEEP_ALIVE_TIME).await;
        send_load(&world, "healed", 3 * SECOND).await;
        let after = unreachable(1).await;
        assert!(after < during, "{cut:?}: {after}");
    }
}

/// Number of the gateway that is the placement leader, by the record in the store.
fn leader(world: &World) -> u8 {
    let value = world.store.get("barleyspar/placement/leader");
    let value = value.expect("a gateway is the leader");
    let is_named = |number: &u8| {
        let name = format!("gateway-{number}");
        value
            .windows(name.len())
            .any(|bytes| bytes == name.as_bytes())
    };
    (1..=GATEWAYS)
        .find(is_named)
        .expect("the leader is one of the gateways")
}

#[tokio::test(start_paused = true)]
async fn models_are_loaded_while_the_leader_is_partitioned_from_all_runners() {
    for cut in CUTS {
        let world = world().await;
        let former = leader(&world);
        partition(&world, [former], cut);
        send_load(&world, "detecting", 2 * CONTACT_TIME).await;
        let other = former % GATEWAYS + 1;
        let sent = Instant::now();
        let answer = world
            .request(other, "/stream/x", "cold", Some("cold"))
            .await;
        let took = sent.elapsed();
        assert_eq!(
            (answer.code(), answer.complete),
            (200, true),
            "{cut:?} {took:?}"
        );
        assert_ne!(leader(&world), former, "{cut:?}");
    }
}

/// Only calls of the leader show that its links are lost.
#[tokio::test(start_paused = true)]
async fn a_partitioned_leader_without_callers_hands_over_in_time() {
    for cut in CUTS {
        let world = world().await;
        let former = leader(&world);
        partition(&world, [former], cut);
        world.run_for(KEEP_ALIVE_TIME).await;
        let other = former % GATEWAYS + 1;
        world
            .request(other, "/stream/x", "first", Some("cold"))
            .await;
        let answer = world
            .request(other, "/stream/x", "again", Some("cold"))
            .await;
        assert_eq!((answer.code(), answer.complete), (200, true), "{cut:?}");
        assert_ne!(leader(&world), former, "{cut:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn no_runner_gets_orders_of_two_gateways_within_a_lease_duration() {
    for cut in CUTS {
        let world = world().await;
        let former = leader(&world);
        let other = former % GATEWAYS + 1;
        world.request(other, "/stream/x", "b", Some("b")).await;
        partition(&world, [former], cut);
        let load = send_load(&world, "load", 2 * CONTACT_TIME);
        let cold = async {
            for id in ["first", "second"] {
                world.request(other, "/stream/x", id, Some("cold")).await;
            }
        };
        tokio::join!(load, cold);
        assert_ne!(leader(&world), former, "{cut:?}");
        let orders = world
            .runners
            .values()
            .flat_map(|runner| runner.timed_orders());
        let mut orders: Vec<_> = orders.map(|(at, order)| (at, order.holder)).collect();
        orders.sort();
        let changes = orders.windows(2).filter(|pair| pair[0].1 != pair[1].1);
        for change in changes {
            assert!(
                change[1].0 - change[0].0 >= LEASE_DURATION,
                "{cut:?}: {change:?}"
            );
        }
    }
}

/// The same request runs at three runners when the links of its gateways are reset.
#[tokio::test(start_paused = true)]
async fn a_request_is_not_quarantined_because_its_gateways_lost_their_links() {
    let models = ["a", "b", "c"];
    let mut world = World::new(
        vec![engine_service("engine", &models)],
        vec![route("/stream/", "engine", RequestKind::Streaming)],
    );
    for model in models {
        world.start_runner(&format!("engine-{model}"), "engine", &[model]);
    }
    world.start_gateways(1..=GATEWAYS).await;
    world.run_for(8 * SECOND).await;
    let streams = PARTITIONED.zip(models).map(|(gateway, model)| {
        let world = &world;
        async move {
            let id = format!("before-{gateway}");
            let model = Some(model);
            let answer = world.request_with_body(gateway, "/stream/x", &id, model, "same");
            answer.await
        }
    });
    let cut = async {
        world.run_for(BEFORE_FIRST_EVENT).await;
        partition(&world, PARTITIONED, Cut::Reset);
    };
    tokio::join!(join_all(streams), cut);
    for gateway in (1..=GATEWAYS).rev() {
        let id = format!("after-{gateway}");
        let answer = world.request_with_body(gateway, "/stream/x", &id, Some("a"), "same");
        let answer = answer.await;
        assert_eq!(
            (answer.code(), answer.complete),
            (200, true),
            "gateway {gateway}"
        );
    }
}
