//! A runner whose answers have a status that is no status of a final answer.

use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{
    Cut, Script, ScriptedServer, World, engine_service, plain_service, route,
};

const SECOND: Duration = Duration::from_secs(1);
/// Largest number of requests until one comes to the runner with the odd answers.
const MOST_REQUESTS: usize = 40;
/// Status lines that begin no final answer.
const ODD_STATUS_LINES: [&str; 12] = [
    "1.1 000 OK",
    "1.1 001 OK",
    "1.1 099 OK",
    "1.1 0 OK",
    "1.1 -20 OK",
    "1.1 2000 OK",
    "1.1 100 Continue",
    "1.1 101 Switching Protocols",
    "1.0 101 Switching Protocols",
    "1.1 199 OK",
    "1.1 600 OK",
    "1.1 999 OK",
];
const HEADERS: [&str; 2] = ["signature: s\r\n", ""];
const ENDS: [&str; 2] = ["content-length: 10\r\n\r\nthe answer", "\r\nthe answer"];

async fn world() -> World {
    let mut world = World::new(
        vec![plain_service("plain"), engine_service("engine", &["a"])],
        vec![
            route("/write/", "plain", RequestKind::NonIdempotent),
            route("/read/", "plain", RequestKind::Idempotent),
            route("/stream/", "engine", RequestKind::Streaming),
        ],
    );
    for number in 1..=2 {
        world.start_runner(&format!("plain-{number}"), "plain", &[]);
        world.start_runner(&format!("engine-{number}"), "engine", &["a"]);
    }
    world.start_gateways(1..=2).await;
    world.run_for(8 * SECOND).await;
    world
}

fn answers() -> impl Iterator<Item = String> {
    let heads = ODD_STATUS_LINES.into_iter().flat_map(|line| {
        HEADERS.map(|signature| format!("HTTP/{line}\r\nrequest-id: {{id}}\r\n{signature}"))
    });
    heads.flat_map(|head| ENDS.map(|end| format!("{head}{end}")))
}

/// Has gateway 1 reach all runners through gateway 2 alone.
async fn cut_from_runners(world: &World) {
    for runner in world.runners.values() {
        let (gateway, runner) = (World::gateway_host(1), runner.address().ip());
        world.network.cut_in_way(gateway, runner, Cut::Reset);
    }
    world.run_for(3 * SECOND).await;
}

/// Sends requests until one comes to the runner that sends `answer`. Returns the status that its
/// client got.
async fn status_for(
    answer: &str,
    (runner, path, model): (&str, &str, Option<&str>),
    through_peer: bool,
) -> u16 {
    let world = world().await;
    let script = Script::Close(answer.to_owned());
    let scripted = ScriptedServer::replace(&world.network, &world.runners[runner], script);
    if through_peer {
        cut_from_runners(&world).await;
    }
    for number in 0..MOST_REQUESTS {
        let before = scripted.request_count();
        let id = format!("q-{number}");
        let answer = world.request(1, path, &id, model).await;
        if scripted.request_count() > before {
            return answer.code();
        }
    }
    panic!("no request came to the runner");
}

async fn assert_no_odd_status_reaches_clients(through_peer: bool) {
    for answer in answers() {
        let write = status_for(&answer, ("plain-1", "/write/x", None), through_peer).await;
        assert_eq!(write, 502, "write, {answer:?}");
        let read = status_for(&answer, ("plain-1", "/read/x", None), through_peer).await;
        assert_eq!(read, 200, "read, {answer:?}");
        let stream = ("engine-1", "/stream/x", Some("a"));
        let stream = status_for(&answer, stream, through_peer).await;
        assert_eq!(stream, 200, "stream, {answer:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_answer_with_no_final_status_does_not_reach_clients() {
    assert_no_odd_status_reaches_clients(false).await;
}

#[tokio::test(start_paused = true)]
async fn an_answer_with_no_final_status_does_not_reach_clients_through_a_peer() {
    assert_no_odd_status_reaches_clients(true).await;
}
