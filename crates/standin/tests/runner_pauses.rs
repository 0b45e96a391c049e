//! Runners that reject requests and request a pause of the gateway that sent them.

use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{
    Answer, RunnerStandIn, Script, ScriptedServer, World, engine_service, plain_service, route,
};
use futures_util::future::join_all;
use http::header::RETRY_AFTER;
use tokio::time::{Instant, sleep, sleep_until};

const SECOND: Duration = Duration::from_secs(1);
const GATEWAYS: u8 = 6;
/// Time after a runner requests a pause within which calls that were sent before may still
/// arrive.
const IN_FLIGHT: Duration = Duration::from_millis(500);

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

/// A site with one engine, on which the models `a` and `b` are loaded, and six gateways.
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

/// Sends `rate` requests per second for `time` to the gateways in turn, each for the next of
/// the models. Returns the answers.
async fn send_load(
    world: &World,
    (path, models): (&str, &[&str]),
    rate: u32,
    time: Duration,
) -> Vec<Answer> {
    let started = Instant::now();
    let count = (time.as_secs_f64() * f64::from(rate)) as u32;
    let answers = (0..count).map(|number| async move {
        sleep_until(started + SECOND / rate * number).await;
        let gateway = (number % u32::from(GATEWAYS)) as u8 + 1;
        let model = models.get((number / u32::from(GATEWAYS)) as usize % models.len().max(1));
        let id = format!("{started:?}-{number}");
        world.request(gateway, path, &id, model.copied()).await
    });
    join_all(answers).await
}

/// Number of calls of all kinds that the runner received from a node during a pause that it had
/// requested of that node, later than [`IN_FLIGHT`] after the request for the pause.
fn calls_in_pauses(runner: &RunnerStandIn) -> usize {
    let calls = runner.calls();
    let calls_in_pause = |pause: &barleyspar_standin::RequestedPause| {
        let (from, until) = (pause.at + IN_FLIGHT, pause.at + pause.duration);
        let calls_of_node = calls.iter().filter(|call| call.node == pause.node);
        calls_of_node
            .filter(|call| (from..until).contains(&call.at))
            .count()
    };
    runner.requested_pauses().iter().map(calls_in_pause).sum()
}

#[tokio::test(start_paused = true)]
async fn a_gateway_sends_nothing_during_a_requested_pause() {
    let world = plain_world(3).await;
    let runner = &world.runners["plain-1"];
    runner.request_pauses(3 * SECOND, 8);
    let answers = send_load(&world, ("/plain/x", &[]), 240, 12 * SECOND).await;
    assert!(answers.iter().all(|answer| answer.code() == 200));
    assert!(runner.requested_pauses().len() >= usize::from(GATEWAYS));
    assert_eq!(calls_in_pauses(runner), 0);
}

#[tokio::test(start_paused = true)]
async fn the_leader_calls_no_runner_during_a_requested_pause() {
    let world = engine_world().await;
    let runner = &world.runners["engine-1"];
    runner.request_pauses(3 * SECOND, 1);
    // The models that are not loaded make the leader send orders to the runner.
    let models = &["a", "c", "b", "d"];
    send_load(&world, ("/stream/x", models), 12, 12 * SECOND).await;
    assert!(runner.requested_pauses().len() >= usize::from(GATEWAYS));
    assert_eq!(calls_in_pauses(runner), 0);
}

#[tokio::test(start_paused = true)]
async fn a_request_is_served_after_a_short_pause_of_its_only_runner() {
    let world = engine_world().await;
    let runner = &world.runners["engine-1"];
    runner.request_pauses(SECOND, 1);
    let sent = Instant::now();
    let end_of_pauses = async {
        sleep(SECOND / 2).await;
        runner.stop_requesting_pauses();
    };
    let answer = world.request(1, "/stream/x", "stream", Some("a"));
    let (answer, ()) = tokio::join!(answer, end_of_pauses);
    assert_eq!((answer.code(), answer.complete), (200, true));
    assert_eq!(runner.requested_pauses().len(), 1);
    let waited = runner.runs()[0].started_at - sent;
    assert!(waited < SECOND + SECOND / 10, "{waited:?}");
}

#[tokio::test(start_paused = true)]
async fn a_request_is_refused_at_once_with_a_retry_time_during_long_pauses_of_all_runners() {
    let world = plain_world(2).await;
    for runner in world.runners.values() {
        // Longer than clients wait.
        runner.request_pauses(20 * SECOND, 1);
    }
    // The first request is sent to both runners and rejected.
    for (id, within) in [("first", SECOND / 20), ("second", SECOND / 100)] {
        let sent = Instant::now();
        let answer = world.request(1, "/plain/x", id, None).await;
        assert_eq!(answer.code(), 503, "{id}");
        assert!(sent.elapsed() < within, "{id}: {:?}", sent.elapsed());
        let value = &answer.headers[RETRY_AFTER];
        let seconds: f64 = value.to_str().expect("text").parse().expect("a number");
        assert!((4.5..=5.0).contains(&seconds), "{id}: {seconds}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_runner_gets_requests_again_after_its_requested_pause() {
    let world = plain_world(3).await;
    let runner = &world.runners["plain-1"];
    runner.request_pauses(2 * SECOND, 1);
    send_load(&world, ("/plain/x", &[]), 30, SECOND).await;
    runner.stop_requesting_pauses();
    world.run_for(2 * SECOND).await;
    let before = runner.request_count();
    send_load(&world, ("/plain/x", &[]), 30, 2 * SECOND).await;
    let requests = runner.request_count() - before;
    assert!(requests >= 10, "{requests} of 60 requests");
}

#[tokio::test(start_paused = true)]
async fn requests_that_waited_for_the_end_of_a_pause_are_not_sent_all_at_once() {
    let world = engine_world().await;
    let runner = &world.runners["engine-1"];
    runner.request_pauses(SECOND, 1);
    let answers = (0..60_u32).map(|number| {
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
    let (answers, ()) = tokio::join!(join_all(answers), end_of_pauses);
    assert!(answers.iter().all(|answer| answer.code() == 200));
    let starts: Vec<Instant> = runner.runs().iter().map(|run| run.started_at).collect();
    let first = *starts.iter().min().expect("all were served");
    let at_once = starts.iter().filter(|at| **at < first + SECOND / 20);
    assert!(at_once.count() <= usize::from(GATEWAYS));
}

#[tokio::test(start_paused = true)]
async fn a_late_copy_of_a_rejection_is_not_taken_for_the_answer_to_the_same_request() {
    const SIGNED: &str = "request-id: {id}\r\nsignature: s\r\ncontent-length: 0\r\n";
    let rejection =
        format!("HTTP/1.1 503 Service Unavailable\r\n{SIGNED}not-run: 1\r\npause: 60\r\n\r\n");
    let answer = format!("HTTP/1.1 200 OK\r\n{SIGNED}\r\n");
    let mut world = World::new(
        vec![plain_service("plain")],
        vec![route("/write/", "plain", RequestKind::NonIdempotent)],
    );
    world.start_runner("plain-1", "plain", &[]);
    world.start_gateways(1..=1).await;
    world.run_for(8 * SECOND).await;
    let script = Script::LateCopy(rejection, answer);
    let scripted = ScriptedServer::replace(&world.network, &world.runners["plain-1"], script);
    let answer = world.request(1, "/write/x", "once", None).await;
    let runs = scripted.request_count() - 1;
    assert_eq!((answer.code(), runs), (200, 1));
}
