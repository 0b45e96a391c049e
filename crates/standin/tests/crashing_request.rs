//! Requests that crash each runner that begins to run them, and come again.
//!
//! A caller's request took ten runners within half a minute: the caller came again with
//! the same request, at any gateway, and each of its tries went to two runners. What else
//! those runners were serving broke with them.

use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{Answer, World, engine_service, plain_service, route};
use futures_util::future::join_all;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
const GATEWAYS: u8 = 6;
const RUNNERS: u8 = 8;
const DEADLY: &str = "deadly";
/// Crashes after which a request is known to cause them.
const CRASHES: usize = 3;
/// Time from the last of these in which all gateways learn of it.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// Times that it may be sent to runners after that.
const MOST_SENT: usize = 3;
/// Pause between two tries of its caller.
const COMES_AGAIN: Duration = Duration::from_millis(300);

const PLAIN: (&str, Option<&str>) = ("/plain/x", None);
const STREAM: (&str, Option<&str>) = ("/stream/x", Some("a"));

/// Runners of both kinds that a request can crash, and six gateways.
async fn world() -> World {
    let mut world = World::new(
        vec![
            plain_service("plain"),
            engine_service("engine", &["a", "b"]),
        ],
        vec![
            route("/plain/", "plain", RequestKind::Idempotent),
            route("/stream/", "engine", RequestKind::Streaming),
        ],
    );
    for number in 1..=RUNNERS {
        world.start_runner(&format!("plain-{number}"), "plain", &[]);
        world.start_runner(&format!("engine-{number}"), "engine", &["a"]);
    }
    for runner in world.runners.values() {
        runner.crash_on(&world.network, DEADLY);
    }
    world.start_gateways(1..=GATEWAYS).await;
    world.pass(12 * SECOND).await;
    world
}

/// Sends a request with this body to the gateways in turn, with a pause after each answer.
async fn come_again(
    world: &World,
    (path, model): (&str, Option<&str>),
    body: &str,
    pause: Duration,
    time: Duration,
) -> Vec<Answer> {
    let begun = Instant::now();
    let mut answers = Vec::new();
    while begun.elapsed() < time {
        let gateway = answers.len() as u8 % GATEWAYS + 1;
        let id = format!("{body}-{}", begun.elapsed().as_nanos());
        answers.push(world.ask_body(gateway, path, &id, model, body).await);
        world.pass(pause).await;
    }
    answers
}

/// When requests crashed runners, in order.
fn crashes(world: &World) -> Vec<Instant> {
    let runners = world.runners.values();
    let mut crashes: Vec<Instant> = runners.flat_map(|runner| runner.crashes()).collect();
    crashes.sort();
    crashes
}

/// Times that the deadly request reached runners later than it may.
fn sent_too_late(world: &World) -> usize {
    let Some(known) = crashes(world).get(CRASHES - 1).map(|at| *at + KNOWN_WITHIN) else {
        return 0;
    };
    let runs = world.runners.values().flat_map(|runner| runner.runs());
    runs.filter(|run| run.body == DEADLY && run.begun > known)
        .count()
}

#[tokio::test(start_paused = true)]
async fn a_stream_that_crashes_its_runners_is_soon_sent_to_no_more() {
    let world = world().await;
    come_again(&world, STREAM, DEADLY, COMES_AGAIN, 30 * SECOND).await;
    let sent = sent_too_late(&world);
    assert!(sent <= MOST_SENT, "sent {sent} times more");
}

#[tokio::test(start_paused = true)]
async fn a_plain_request_that_crashes_its_runners_is_soon_sent_to_no_more() {
    let world = world().await;
    come_again(&world, PLAIN, DEADLY, COMES_AGAIN, 30 * SECOND).await;
    let sent = sent_too_late(&world);
    assert!(sent <= MOST_SENT, "sent {sent} times more");
}

/// Several callers at once, each at another gateway: what one gateway sees is never the
/// whole.
#[tokio::test(start_paused = true)]
async fn a_deadly_request_of_many_callers_is_soon_sent_to_no_more() {
    let world = world().await;
    let callers = (0..u64::from(GATEWAYS)).map(|number| {
        let world = &world;
        async move {
            world.pass(COMES_AGAIN / 7 * number as u32).await;
            come_again(world, STREAM, DEADLY, COMES_AGAIN, 20 * SECOND).await
        }
    });
    join_all(callers).await;
    let sent = sent_too_late(&world);
    assert!(sent <= MOST_SENT, "sent {sent} times more");
}
