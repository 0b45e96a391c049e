//! Most new connections of clients go to one gateway for some seconds, then to another.

use std::time::Duration;

use barleyspar_catalog::{RequestKind, Service};
use barleyspar_standin::{World, engine_service, plain_service, route};
use futures_util::future::join_all;
use tokio::time::{Instant, sleep_until};

const SECOND: Duration = Duration::from_secs(1);
const GATEWAYS: u32 = 9;
const ENGINES: usize = 6;
const MODELS: [&str; ENGINES] = ["m0", "m1", "m2", "m3", "m4", "m5"];
/// Requests a second, of which the streams take two thirds of the engines' slots.
const STREAMS_PER_SECOND: u32 = 300;
const READS_PER_SECOND: u32 = 60;
/// Seconds of the load at which one gateway gets most requests, and then another.
const FIRST_BUSY: std::ops::Range<u32> = 8..16;
const SECOND_BUSY: std::ops::Range<u32> = 16..24;
const SECONDS: u32 = 28;
/// Percentage of the requests that the busy gateway gets.
const BUSY_PERCENTAGE: u32 = 90;
/// Time from which the busy gateway must serve as well as all did before.
const CONTACT_SECONDS: u32 = 3;
const TARGET_LATENCY: Duration = Duration::from_secs(2);

async fn world() -> World {
    let engine = Service {
        connection_limit: 370,
        ..engine_service("engine", &MODELS)
    };
    let mut world = World::new(
        vec![engine, plain_service("plain")],
        vec![
            route("/stream/", "engine", RequestKind::Streaming),
            route("/read/", "plain", RequestKind::Idempotent),
        ],
    );
    for number in 0..ENGINES {
        let models = [MODELS[number], MODELS[(number + 1) % ENGINES]];
        world.start_runner(&format!("engine-{number}"), "engine", &models);
        world.start_runner(&format!("plain-{number}"), "plain", &[]);
    }
    world.start_gateways(1..=GATEWAYS as u8).await;
    world.run_for(12 * SECOND).await;
    world
}

/// Returns the gateway of the `number`th request, which is sent in this second of the load.
fn gateway(number: u32, second: u32) -> u8 {
    let draw = number.wrapping_mul(2_654_435_761) >> 8;
    let is_for_busy = (draw / GATEWAYS) % 100 < BUSY_PERCENTAGE;
    if FIRST_BUSY.contains(&second) && is_for_busy {
        1
    } else if SECOND_BUSY.contains(&second) && is_for_busy {
        2
    } else {
        (draw % GATEWAYS) as u8 + 1
    }
}

/// When a request was sent, in seconds of the load, and the time to its complete answer; `None`
/// if it was not served at the first try.
type Sent = (u32, Option<Duration>);

/// Sends `per_second` requests a second to `path`.
async fn send_load(world: &World, path: &'static str, per_second: u32) -> Vec<Sent> {
    let started = Instant::now();
    let requests = (0..per_second * SECONDS).map(|number| async move {
        sleep_until(started + SECOND / per_second * number).await;
        let second = number / per_second;
        let gateway = gateway(number, second);
        let model = MODELS[(number as usize * 7919 % 1009) % ENGINES];
        let model = (path == "/stream/x").then_some(model);
        let sent = Instant::now();
        let id = format!("{path}-{number}");
        let answer = world.request(gateway, path, &id, model).await;
        let is_served = answer.code() == 200 && answer.complete;
        (second, is_served.then(|| sent.elapsed()))
    });
    join_all(requests).await
}

/// Returns the share of the requests sent in `seconds` that was served at the first try, and of
/// those the time within which nine in ten were.
fn served(sent: &[Sent], seconds: std::ops::Range<u32>) -> (f64, Duration) {
    let those = sent.iter().filter(|(second, _)| seconds.contains(second));
    let those: Vec<Option<Duration>> = those.map(|(_, took)| *took).collect();
    let mut times: Vec<Duration> = those.iter().flatten().copied().collect();
    times.sort();
    let share = times.len() as f64 / those.len() as f64;
    (share, times[times.len() * 9 / 10])
}

#[tokio::test(start_paused = true)]
async fn requests_are_served_as_before_while_most_connections_go_to_one_gateway() {
    let world = world().await;
    let (streams, reads) = tokio::join!(
        send_load(&world, "/stream/x", STREAMS_PER_SECOND),
        send_load(&world, "/read/x", READS_PER_SECOND)
    );
    for (sent, kind) in [(streams, "streams"), (reads, "reads")] {
        let (before, _) = served(&sent, 0..FIRST_BUSY.start);
        for busy in [FIRST_BUSY, SECOND_BUSY] {
            let seconds = busy.start + CONTACT_SECONDS..busy.end;
            let (share, ninetieth) = served(&sent, seconds.clone());
            let label = format!("{kind}, {seconds:?}: {share:.2}, {ninetieth:?}");
            println!("{label}");
            assert!(share >= 0.75 * before, "{label}");
            assert!(ninetieth <= TARGET_LATENCY, "{label}");
        }
    }
}
