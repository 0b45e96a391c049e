//! Requests that crash every runner that runs them, and that their clients send again.

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
/// Request body at which all runners of the site crash.
const CRASHING_BODY: &str = "deadly";
/// Number of crashes after which the request that was running at each of them is quarantined.
const CRASHES_TO_QUARANTINE: usize = 3;
/// Time from the crash that reaches [`CRASHES_TO_QUARANTINE`] within which all gateways must
/// apply the quarantine.
const QUARANTINED_WITHIN: Duration = Duration::from_secs(3);
/// Number of runs of a crashing request that are allowed after [`QUARANTINED_WITHIN`].
const MAX_LATE_RUNS: usize = 3;
/// Time from an answer to the next attempt of the client, which sends the same body again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

const SEEDS: u64 = 20;
/// Number of steps of a random run: in each, one thing changes and the request is sent again.
const STEPS: usize = 80;

const PLAIN: (&str, Option<&str>) = ("/plain/x", None);
const STREAM: (&str, Option<&str>) = ("/stream/x", Some("a"));

/// Six gateways, and plain runners and engines that crash at [`CRASHING_BODY`]. The gateways
/// send a request to at most two runners.
async fn world() -> World {
    world_with(2).await
}

/// Returns the site of [`world`], but with gateways that send a request to at most
/// `maximum_attempts` runners.
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
        runner.crash_on_body(&world.network, CRASHING_BODY);
    }
    world.start_gateways(1..=GATEWAYS).await;
    world.run_for(12 * SECOND).await;
    world
}

/// Sends a request with this body to the gateways in turn for `time`, with a pause after each
/// answer. Returns the answers.
async fn send_repeatedly(
    world: &World,
    (path, model): (&str, Option<&str>),
    body: &str,
    pause: Duration,
    time: Duration,
) -> Vec<Answer> {
    let started = Instant::now();
    let mut answers = Vec::new();
    while started.elapsed() < time {
        let gateway = answers.len() as u8 % GATEWAYS + 1;
        let id = format!("{body}-{}", started.elapsed().as_nanos());
        answers.push(
            world
                .request_with_body(gateway, path, &id, model, body)
                .await,
        );
        world.run_for(pause).await;
    }
    answers
}

/// Number of runs of the crashing request later than [`QUARANTINED_WITHIN`] allows.
fn late_runs(world: &World) -> usize {
    let Some(quarantined) = world
        .crash_times()
        .get(CRASHES_TO_QUARANTINE - 1)
        .map(|at| *at + QUARANTINED_WITHIN)
    else {
        return 0;
    };
    let runs = world.runners.values().flat_map(|runner| runner.runs());
    runs.filter(|run| run.body == CRASHING_BODY && run.started_at > quarantined)
        .count()
}

#[tokio::test(start_paused = true)]
async fn a_stream_that_crashes_runners_is_soon_quarantined() {
    let world = world().await;
    send_repeatedly(&world, STREAM, CRASHING_BODY, RETRY_PAUSE, 30 * SECOND).await;
    let late_runs = late_runs(&world);
    assert!(late_runs <= MAX_LATE_RUNS, "{late_runs} late runs");
}

#[tokio::test(start_paused = true)]
async fn a_plain_request_that_crashes_runners_is_soon_quarantined() {
    let world = world().await;
    send_repeatedly(&world, PLAIN, CRASHING_BODY, RETRY_PAUSE, 30 * SECOND).await;
    let late_runs = late_runs(&world);
    assert!(late_runs <= MAX_LATE_RUNS, "{late_runs} late runs");
}

/// Several clients send the request at once, each to another gateway, so that each gateway
/// sees only some of the crashes.
#[tokio::test(start_paused = true)]
async fn a_crashing_request_of_many_clients_is_soon_quarantined() {
    let world = world().await;
    let callers = (0..u64::from(GATEWAYS)).map(|number| {
        let world = &world;
        async move {
            world.run_for(RETRY_PAUSE / 7 * number as u32).await;
            send_repeatedly(world, STREAM, CRASHING_BODY, RETRY_PAUSE, 20 * SECOND).await
        }
    });
    join_all(callers).await;
    let late_runs = late_runs(&world);
    assert!(late_runs <= MAX_LATE_RUNS, "{late_runs} late runs");
}

/// A gateway sends the request to the next runner before it has counted the crash of the
/// former one. It must stop after two runners, even though the route allows five.
#[tokio::test(start_paused = true)]
async fn one_request_crashes_at_most_two_runners() {
    for (path, model) in [STREAM, PLAIN] {
        let world = world_with(5).await;
        world
            .request_with_body(1, path, "once", model, CRASHING_BODY)
            .await;
        world.run_for(SECOND).await;
        assert_eq!(world.crash_times().len(), 2, "{path}");
    }
}

/// Requests that run on a runner while it crashes must not be quarantined for that crash, and
/// neither must others of the same route: all are served within four attempts.
#[tokio::test(start_paused = true)]
async fn requests_beside_a_crashing_one_are_not_quarantined() {
    for target in [STREAM, PLAIN] {
        let world = world().await;
        let crashing = send_repeatedly(&world, target, CRASHING_BODY, RETRY_PAUSE, 20 * SECOND);
        let (path, model) = target;
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
        let (_, others) = tokio::join!(crashing, join_all(others));
        let served = others
            .iter()
            .filter(|answer| answer.code() == 200 && answer.complete);
        assert_eq!(served.count(), others.len(), "{path}");
    }
}

/// Many clients send the same request while runners crash for other reasons. The request runs
/// on each runner that crashes, and must still not be quarantined.
#[tokio::test(start_paused = true)]
async fn a_frequent_request_is_not_quarantined_for_unrelated_crashes() {
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
            send_repeatedly(world, PLAIN, "the same for all", SECOND / 50, 30 * SECOND).await
        }
    });
    let (_, answers) = tokio::join!(crashing, join_all(callers));
    let answers: Vec<Answer> = answers.into_iter().flatten().collect();
    let refused = answers.iter().filter(|answer| answer.code() == 503);
    assert_eq!(refused.count(), 0, "of {}", answers.len());
}

#[tokio::test(start_paused = true)]
async fn a_restarted_gateway_learns_which_requests_are_quarantined() {
    let mut world = world().await;
    send_repeatedly(&world, STREAM, CRASHING_BODY, RETRY_PAUSE, 5 * SECOND).await;
    let before = world.crash_times().len();
    for number in 1..=GATEWAYS {
        world.kill_gateway(number);
        world.run_for(SECOND).await;
        world.start_gateway(number).await;
        world.run_for(SECOND).await;
        let (path, model) = STREAM;
        let id = format!("again-{number}");
        let answer = world
            .request_with_body(number, path, &id, model, CRASHING_BODY)
            .await;
        assert_eq!(answer.code(), 503, "gateway {number}");
    }
    assert_eq!(world.crash_times().len(), before);
}

/// A request that waits for its model to be loaded is refused as soon as the same body is
/// quarantined, and not only at the end of its wait.
#[tokio::test(start_paused = true)]
async fn a_waiting_request_is_refused_as_soon_as_it_is_quarantined() {
    let world = world().await;
    let path = STREAM.0;
    let started = Instant::now();
    let waiting = async {
        let answer = world
            .request_with_body(2, path, "waits", Some("b"), CRASHING_BODY)
            .await;
        (answer, started.elapsed())
    };
    let crashing = async {
        world.run_for(SECOND / 10).await;
        world
            .request_with_body(1, path, "once", Some("a"), CRASHING_BODY)
            .await;
        started.elapsed()
    };
    let ((answer, waited), quarantined) = tokio::join!(waiting, crashing);
    assert_eq!(answer.code(), 503);
    assert!(waited < quarantined + SECOND / 10, "{waited:?}");
}

/// One change of the gateways or the network at a time, at random, while a crashing request is
/// sent again and again.
#[tokio::test(start_paused = true)]
async fn crashing_requests_are_quarantined_while_gateways_die_start_and_are_cut_off() {
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
            let answer = world.request_with_body(gateway, path, &id, model, CRASHING_BODY);
            // The client gives up after half a second and tries another gateway.
            let _ = tokio::time::timeout(SECOND / 2, answer).await;
        }
        let late_runs = late_runs(&world);
        assert!(
            late_runs <= MAX_LATE_RUNS,
            "seed {seed}: {late_runs} late runs"
        );
    }
}
