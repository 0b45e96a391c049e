//! Requests that crash each runner that begins to run them, and come again.

use std::time::Duration;

use barleyspar_catalog::{RequestKind, Route};
use barleyspar_standin::{Answer, World, engine_service, plain_service, route};
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
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

const SEEDS: u64 = 20;
/// Steps of a run at random: one thing changes in each, and the request comes again.
const STEPS: usize = 80;

const PLAIN: (&str, Option<&str>) = ("/plain/x", None);
const STREAM: (&str, Option<&str>) = ("/stream/x", Some("a"));

/// Runners of both kinds that a request can crash, and six gateways.
async fn world() -> World {
    world_with(2).await
}

/// The same, where a try may go to so many runners.
async fn world_with(maximum_attempts: u32) -> World {
    let routes = [
        route("/plain/", "plain", RequestKind::Idempotent),
        route("/stream/", "engine", RequestKind::Streaming),
    ];
    let routes = routes.map(|route| Route {
        maximum_attempts,
        ..route
    });
    let mut world = World::new(
        vec![
            plain_service("plain"),
            engine_service("engine", &["a", "b"]),
        ],
        routes.into(),
    );
    for number in 1..=RUNNERS {
        world.start_runner(&format!("plain-{number}"), "plain", &[]);
        world.start_runner(&format!("engine-{number}"), "engine", &["a"]);
    }
    for runner in world.runners.values() {
        runner.crash_on_body(&world.network, DEADLY);
    }
    world.start_gateways(1..=GATEWAYS).await;
    world.run_for(12 * SECOND).await;
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
        answers.push(
            world
                .request_with_body(gateway, path, &id, model, body)
                .await,
        );
        world.run_for(pause).await;
    }
    answers
}

/// When requests crashed runners, in order.
fn crashes(world: &World) -> Vec<Instant> {
    let runners = world.runners.values();
    let mut crashes: Vec<Instant> = runners.flat_map(|runner| runner.crash_times()).collect();
    crashes.sort();
    crashes
}

/// Times that the deadly request reached runners later than it may.
fn sent_too_late(world: &World) -> usize {
    let Some(known) = crashes(world).get(CRASHES - 1).map(|at| *at + KNOWN_WITHIN) else {
        return 0;
    };
    let runs = world.runners.values().flat_map(|runner| runner.runs());
    runs.filter(|run| run.body == DEADLY && run.started_at > known)
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
            world.run_for(COMES_AGAIN / 7 * number as u32).await;
            come_again(world, STREAM, DEADLY, COMES_AGAIN, 20 * SECOND).await
        }
    });
    join_all(callers).await;
    let sent = sent_too_late(&world);
    assert!(sent <= MOST_SENT, "sent {sent} times more");
}

/// A try goes to the next runner at once, sooner than the crash of the one before has been
/// counted, and took one more.
#[tokio::test(start_paused = true)]
async fn one_try_crashes_no_third_runner() {
    for (path, model) in [STREAM, PLAIN] {
        let world = world_with(5).await;
        world
            .request_with_body(1, path, "once", model, DEADLY)
            .await;
        world.run_for(SECOND).await;
        assert_eq!(crashes(&world).len(), 2, "{path}");
    }
}

/// What crashes with it waits and is sent on beside it, and is served in the end; so is
/// what has nothing but the route in common with it.
#[tokio::test(start_paused = true)]
async fn requests_beside_a_deadly_one_are_not_held_for_it() {
    for asked in [STREAM, PLAIN] {
        let world = world().await;
        let deadly = come_again(&world, asked, DEADLY, COMES_AGAIN, 20 * SECOND);
        let (path, model) = asked;
        let others = (0..200_u32).map(|number| {
            let world = &world;
            async move {
                world.run_for(SECOND / 10 * number).await;
                let gateway = (number % u32::from(GATEWAYS)) as u8 + 1;
                let mut answer = Answer::none();
                for attempt in 0..4 {
                    let (id, body) = (format!("{number}-{attempt}"), format!("{number}"));
                    answer = world
                        .request_with_body(gateway, path, &id, model, &body)
                        .await;
                    if answer.code() == 200 && answer.complete {
                        break;
                    }
                }
                answer
            }
        });
        let (_, others) = tokio::join!(deadly, join_all(others));
        let served = others
            .iter()
            .filter(|answer| answer.code() == 200 && answer.complete);
        assert_eq!(served.count(), others.len(), "{path}");
    }
}

/// Many callers ask for the same, and runners crash for other reasons.
#[tokio::test(start_paused = true)]
async fn what_many_ask_for_is_not_held_to_crash_runners() {
    let world = world().await;
    let crashing = async {
        for number in 1..=RUNNERS {
            world.run_for(2 * SECOND).await;
            let runner = &world.runners[&format!("plain-{number}")];
            runner.crash(&world.network);
            world.run_for(2 * SECOND).await;
            runner.restart(&world.network, &[]);
            runner.publish_entry();
        }
    };
    let callers = (0..12).map(|number| {
        let world = &world;
        async move {
            world.run_for(SECOND / 12 * number).await;
            come_again(world, PLAIN, "the same for all", SECOND / 50, 30 * SECOND).await
        }
    });
    let (_, answers) = tokio::join!(crashing, join_all(callers));
    let answers: Vec<Answer> = answers.into_iter().flatten().collect();
    let held = answers.iter().filter(|answer| answer.code() == 503);
    assert_eq!(held.count(), 0, "of {}", answers.len());
}

#[tokio::test(start_paused = true)]
async fn a_gateway_that_starts_learns_which_requests_are_deadly() {
    let mut world = world().await;
    come_again(&world, STREAM, DEADLY, COMES_AGAIN, 5 * SECOND).await;
    let before = crashes(&world).len();
    for number in 1..=GATEWAYS {
        world.kill_gateway(number);
        world.run_for(SECOND).await;
        world.start_gateway(number).await;
        world.run_for(SECOND).await;
        let (path, model) = STREAM;
        let id = format!("again-{number}");
        let answer = world
            .request_with_body(number, path, &id, model, DEADLY)
            .await;
        assert_eq!(answer.code(), 503, "gateway {number}");
    }
    assert_eq!(crashes(&world).len(), before);
}

/// A caller that waits for a model is told at once when its request is found out.
#[tokio::test(start_paused = true)]
async fn a_deadly_request_that_waits_is_refused_at_once() {
    let world = world().await;
    let path = STREAM.0;
    let begun = Instant::now();
    let waiting = async {
        let answer = world
            .request_with_body(2, path, "waits", Some("b"), DEADLY)
            .await;
        (answer, begun.elapsed())
    };
    let deadly = async {
        world.run_for(SECOND / 10).await;
        world
            .request_with_body(1, path, "once", Some("a"), DEADLY)
            .await;
        begun.elapsed()
    };
    let ((answer, waited), found_out) = tokio::join!(waiting, deadly);
    assert_eq!(answer.code(), 503);
    assert!(waited < found_out + SECOND / 10, "{waited:?}");
}

/// Several such requests while gateways die, start and are cut off from each other.
#[tokio::test(start_paused = true)]
async fn deadly_requests_are_found_out_while_gateways_die_start_and_are_cut_off() {
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut world = world().await;
        let mut running: Vec<u8> = (1..=GATEWAYS).collect();
        for step in 0..STEPS {
            match random.random_range(0..4) {
                0 if running.len() > 3 => {
                    let number = running.swap_remove(random.random_range(0..running.len()));
                    world.kill_gateway(number);
                }
                1 => {
                    let numbers: Vec<u8> = (1..=GATEWAYS).collect();
                    let number = numbers[random.random_range(0..numbers.len())];
                    if !running.contains(&number) {
                        running.push(number);
                        world.start_gateway(number).await;
                    }
                }
                2 => {
                    let pair = [(); 2].map(|()| random.random_range(1..=GATEWAYS));
                    let [one, other] = pair.map(World::gateway_host);
                    world.network.cut(one, other);
                }
                _ => world.network.heal(),
            }
            let (path, model) = if seed.is_multiple_of(2) {
                STREAM
            } else {
                PLAIN
            };
            let gateway = running[random.random_range(0..running.len())];
            let id = format!("{step}");
            let asked = world.request_with_body(gateway, path, &id, model, DEADLY);
            // A caller that waits longer comes again elsewhere.
            let _ = tokio::time::timeout(SECOND / 2, asked).await;
        }
        let sent = sent_too_late(&world);
        assert!(sent <= MOST_SENT, "seed {seed}: sent {sent} times more");
    }
}
