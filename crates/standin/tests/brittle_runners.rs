//! Runners that crash if they have to reject many requests for lack of room.

use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{Answer, World, engine_service, plain_service, route};
use futures_util::future::join_all;
use tokio::time::{Instant, sleep_until};

const SECOND: Duration = Duration::from_secs(1);
const GATEWAYS: u8 = 6;
const RUNNERS: u32 = 3;
/// Rejections within a second that a runner survives.
const TOLERATED: u32 = 4;
/// Crashes that are allowed while the runners of a service are brittle.
const ALLOWED_CRASHES: usize = 2 + RUNNERS as usize / 10;
/// Time from the first statement of the runners until they take no request beyond their slots.
const NOTICE: Duration = Duration::from_secs(3);

const PLAIN: (&str, Option<&str>) = ("/plain/x", None);
const STREAM: (&str, Option<&str>) = ("/stream/x", Some("a"));

async fn world(gateways: u8) -> World {
    let mut world = World::new(
        vec![plain_service("plain"), engine_service("engine", &["a"])],
        vec![
            route("/plain/", "plain", RequestKind::Idempotent),
            route("/stream/", "engine", RequestKind::Streaming),
        ],
    );
    for number in 1..=RUNNERS {
        world.start_runner(&format!("plain-{number}"), "plain", &[]);
        world.start_runner(&format!("engine-{number}"), "engine", &["a"]);
    }
    world.start_gateways(1..=gateways).await;
    world.run_for(8 * SECOND).await;
    world
}

/// Sends `burst` requests at once to each gateway every half second, for `time`.
async fn send_bursts(
    world: &World,
    gateways: u8,
    (path, model): (&str, Option<&str>),
    burst: u32,
    time: Duration,
) -> Vec<Answer> {
    let started = Instant::now();
    let bursts = (time.as_secs_f64() * 2.0) as u32;
    let requests = (0..bursts * burst).flat_map(|number| {
        (1..=gateways).map(move |gateway| async move {
            sleep_until(started + SECOND / 2 * (number / burst)).await;
            let id = format!("{started:?}-{gateway}-{number}");
            world.request(gateway, path, &id, model).await
        })
    });
    join_all(requests).await
}

fn crashes(world: &World) -> usize {
    let runners = world.runners.values();
    runners.map(|runner| runner.crash_times().len()).sum()
}

/// Sends bursts while the runners say that they are brittle, and later take no request beyond
/// their slots. Returns the share of answers that succeed then.
async fn share_served_by_brittle_runners(
    gateways: u8,
    request: (&str, Option<&str>),
    burst: u32,
) -> f64 {
    let world = world(gateways).await;
    for runner in world.runners.values() {
        runner.make_brittle(&world.network, u32::MAX, u32::MAX / 2, true);
    }
    send_bursts(&world, gateways, request, 1, NOTICE).await;
    for runner in world.runners.values() {
        runner.make_brittle(&world.network, TOLERATED, 0, true);
    }
    let answers = send_bursts(&world, gateways, request, burst, 8 * SECOND).await;
    let crashes = crashes(&world);
    assert!(crashes <= ALLOWED_CRASHES, "{crashes} crashes, {request:?}");
    let served = answers.iter().filter(|answer| answer.code() == 200);
    served.count() as f64 / answers.len() as f64
}

#[tokio::test(start_paused = true)]
async fn bursts_of_short_requests_crash_no_brittle_runners() {
    let share = share_served_by_brittle_runners(GATEWAYS, PLAIN, 12).await;
    // Fifteen of the eighteen slots are dealt, for 72 requests in each burst.
    assert!(share > 15.0 / 72.0, "{share}");
}

#[tokio::test(start_paused = true)]
async fn bursts_of_streams_crash_no_brittle_runners() {
    let share = share_served_by_brittle_runners(GATEWAYS, STREAM, 40).await;
    // 171 of the 192 slots are dealt, for 240 requests in each burst; a stream takes two bursts.
    assert!(share > 171.0 / 480.0, "{share}");
}

#[tokio::test(start_paused = true)]
async fn brittle_runners_serve_a_load_that_they_have_room_for() {
    for (gateways, request) in [(GATEWAYS, PLAIN), (GATEWAYS, STREAM), (12, PLAIN)] {
        let share = share_served_by_brittle_runners(gateways, request, 1).await;
        assert!(share > 0.99, "{gateways} gateways, {request:?}: {share}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_gateway_hears_of_brittle_runners_from_the_others() {
    let world = world(GATEWAYS).await;
    for runner in world.runners.values() {
        runner.make_brittle(&world.network, TOLERATED, 0, true);
    }
    world.request(1, PLAIN.0, "heard", None).await;
    world.run_for(SECOND).await;
    let bursts =
        (2..=GATEWAYS).map(|gateway| {
            let requests = (0..20).map(move |number| {
                let id = format!("{gateway}-{number}");
                (gateway, id)
            });
            let world = &world;
            join_all(requests.map(async move |(gateway, id)| {
                world.request(gateway, PLAIN.0, &id, PLAIN.1).await
            }))
        });
    join_all(bursts).await;
    assert_eq!(crashes(&world), 0);
}

#[tokio::test(start_paused = true)]
async fn runners_that_are_not_brittle_any_more_get_bursts_again() {
    let world = world(GATEWAYS).await;
    for runner in world.runners.values() {
        runner.make_brittle(&world.network, TOLERATED, 0, true);
    }
    send_bursts(&world, GATEWAYS, PLAIN, 1, SECOND).await;
    for runner in world.runners.values() {
        runner.end_brittle();
    }
    send_bursts(&world, GATEWAYS, PLAIN, 1, 2 * SECOND).await;
    let answers = send_bursts(&world, GATEWAYS, PLAIN, 4, 2 * SECOND).await;
    assert!(answers.iter().all(|answer| answer.code() == 200));
}
