//! Runners that turn requests away and ask the node for a pause.

use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{Answer, RunnerStandIn, World, engine_service, plain_service, route};
use futures_util::future::join_all;
use http::header::RETRY_AFTER;
use tokio::time::{Instant, sleep, sleep_until};

const SECOND: Duration = Duration::from_secs(1);
const GATEWAYS: u8 = 6;
/// Time after a runner's word within which calls may still be on their way.
const ON_THE_WAY: Duration = Duration::from_millis(500);

async fn plain_world(runners: u8) -> World {
    let mut world = World::new(
        vec![plain_service("plain")],
        vec![route("/plain/", "plain", RequestKind::Idempotent)],
    );
    for number in 1..=runners {
        world.start_runner(&format!("plain-{number}"), "plain", &[]);
    }
    world.start_gateways(1..=GATEWAYS).await;
    world.run_for(8 * SECOND).await;
    world
}

/// One runner that holds the models `a` and `b`, and six gateways.
async fn engine_world() -> World {
    let mut world = World::new(
        vec![engine_service("engine", &["a", "b", "c", "d"])],
        vec![route("/stream/", "engine", RequestKind::Streaming)],
    );
    world.start_runner("engine-1", "engine", &["a", "b"]);
    world.start_gateways(1..=GATEWAYS).await;
    world.run_for(12 * SECOND).await;
    world
}

/// Asks the gateways in turn, `rate` times a second.
async fn ask(
    world: &World,
    (path, models): (&str, &[&str]),
    rate: u32,
    time: Duration,
) -> Vec<Answer> {
    let begun = Instant::now();
    let count = (time.as_secs_f64() * f64::from(rate)) as u32;
    let asked = (0..count).map(|number| async move {
        sleep_until(begun + SECOND / rate * number).await;
        let gateway = (number % u32::from(GATEWAYS)) as u8 + 1;
        let model = models.get((number / u32::from(GATEWAYS)) as usize % models.len().max(1));
        let id = format!("{begun:?}-{number}");
        world.request(gateway, path, &id, model.copied()).await
    });
    join_all(asked).await
}

/// Calls of all kinds that came from nodes in the pauses that they had been asked for.
fn calls_in_pauses(runner: &RunnerStandIn) -> usize {
    let calls = runner.calls();
    let in_pause = |pause: &barleyspar_standin::RequestedPause| {
        let (from, until) = (pause.at + ON_THE_WAY, pause.at + pause.duration);
        let of_node = calls.iter().filter(|call| call.node == pause.node);
        of_node
            .filter(|call| (from..until).contains(&call.at))
            .count()
    };
    runner.requested_pauses().iter().map(in_pause).sum()
}

#[tokio::test(start_paused = true)]
async fn a_runner_that_asked_a_gateway_for_a_pause_gets_nothing_from_it_meanwhile() {
    let world = plain_world(3).await;
    let runner = &world.runners["plain-1"];
    runner.request_pauses(3 * SECOND, 8);
    let answers = ask(&world, ("/plain/x", &[]), 240, 12 * SECOND).await;
    assert!(answers.iter().all(|answer| answer.code() == 200));
    assert!(runner.requested_pauses().len() >= usize::from(GATEWAYS));
    assert_eq!(calls_in_pauses(runner), 0);
}

#[tokio::test(start_paused = true)]
async fn the_leader_calls_no_runner_that_asked_it_for_a_pause() {
    let world = engine_world().await;
    let runner = &world.runners["engine-1"];
    runner.request_pauses(3 * SECOND, 1);
    // Models that no runner holds are to be loaded there meanwhile.
    let models = &["a", "c", "b", "d"];
    ask(&world, ("/stream/x", models), 12, 12 * SECOND).await;
    assert!(runner.requested_pauses().len() >= usize::from(GATEWAYS));
    assert_eq!(calls_in_pauses(runner), 0);
}

#[tokio::test(start_paused = true)]
async fn a_request_whose_only_runner_wants_a_short_pause_is_served_after_it() {
    let world = engine_world().await;
    let runner = &world.runners["engine-1"];
    runner.request_pauses(SECOND, 1);
    let asked = Instant::now();
    let end_of_pauses = async {
        sleep(SECOND / 2).await;
        runner.stop_requesting_pauses();
    };
    let answer = world.request(1, "/stream/x", "stream", Some("a"));
    let (answer, ()) = tokio::join!(answer, end_of_pauses);
    assert_eq!((answer.code(), answer.complete), (200, true));
    assert_eq!(runner.requested_pauses().len(), 1);
    let begun = runner.runs()[0].started_at - asked;
    assert!(begun < SECOND + SECOND / 10, "{begun:?}");
}

#[tokio::test(start_paused = true)]
async fn a_request_whose_runners_all_want_long_pauses_is_refused_at_once_with_that_time() {
    let world = plain_world(2).await;
    for runner in world.runners.values() {
        runner.request_pauses(5 * SECOND, 1);
    }
    // The first one is turned away by both.
    for (id, within) in [("first", SECOND / 20), ("second", SECOND / 100)] {
        let asked = Instant::now();
        let answer = world.request(1, "/plain/x", id, None).await;
        assert_eq!(answer.code(), 503, "{id}");
        assert!(asked.elapsed() < within, "{id}: {:?}", asked.elapsed());
        let value = &answer.headers[RETRY_AFTER];
        let seconds: f64 = value.to_str().expect("text").parse().expect("a number");
        assert!((4.5..=5.0).contains(&seconds), "{id}: {seconds}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_runner_is_used_again_after_the_pause_that_it_asked_for() {
    let world = plain_world(3).await;
    let runner = &world.runners["plain-1"];
    runner.request_pauses(2 * SECOND, 1);
    ask(&world, ("/plain/x", &[]), 30, SECOND).await;
    runner.stop_requesting_pauses();
    world.run_for(2 * SECOND).await;
    let before = runner.request_count();
    ask(&world, ("/plain/x", &[]), 30, 2 * SECOND).await;
    let used = runner.request_count() - before;
    assert!(used >= 10, "{used} of 60 requests");
}

#[tokio::test(start_paused = true)]
async fn requests_that_waited_for_the_end_of_a_pause_do_not_come_all_at_once() {
    let world = engine_world().await;
    let runner = &world.runners["engine-1"];
    runner.request_pauses(SECOND, 1);
    let asked = (0..60_u32).map(|number| {
        let world = &world;
        async move {
            sleep(SECOND / 100 * number).await;
            let gateway = (number % u32::from(GATEWAYS)) as u8 + 1;
            let id = format!("stream-{number}");
            world.request(gateway, "/stream/x", &id, Some("a")).await
        }
    });
    let end_of_pauses = async {
        sleep(SECOND * 3 / 4).await;
        runner.stop_requesting_pauses();
    };
    let (answers, ()) = tokio::join!(join_all(asked), end_of_pauses);
    assert!(answers.iter().all(|answer| answer.code() == 200));
    let begun: Vec<Instant> = runner.runs().iter().map(|run| run.started_at).collect();
    let first = *begun.iter().min().expect("all were served");
    let at_once = begun.iter().filter(|at| **at < first + SECOND / 20);
    assert!(at_once.count() <= usize::from(GATEWAYS));
}
