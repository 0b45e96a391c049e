//! Answers with neither a length nor chunks, which end with their connection, and bytes that
//! come without end.

use std::time::Duration;

use barleyspar_standin::{Cut, Script, ScriptedServer, World};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
/// Bytes that a runner may send on one connection before the gateway closes it: what is on the
/// way, what the gateway reads at once, and the longest answer that it keeps.
const MAX_BYTES: u64 = 2 * 1024 * 1024;
/// The same for the store, whose answers hold up to a whole site's entries.
const MAX_STORE_BYTES: u64 = 40 * 1024 * 1024;
const HEAD: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nsignature: s\r\n";
/// Path of a request, and the model that it names.
type Target = (&'static str, Option<&'static str>);
const PLAIN: Target = ("/read/x", None);
const WRITE: Target = ("/write/x", None);
const STREAM: Target = ("/stream/x", Some("a"));

fn script(world: &World, runner: &str, script: Script) -> ScriptedServer {
    ScriptedServer::replace(&world.network, &world.runners[runner], script)
}

/// A plain answer with this body, and no length.
fn unframed(body: &str) -> String {
    format!("{HEAD}\r\n{body}")
}

/// A stream of the events up to `last` and of `rest`, with no length.
fn unframed_stream(last: u64, rest: &str) -> String {
    let events = (1..=last).map(|id| format!("id: {id}\ndata: x\n\n"));
    let events: String = events.collect();
    format!("{HEAD}content-type: text/event-stream\r\n\r\n{events}{rest}")
}

#[tokio::test(start_paused = true)]
async fn a_plain_answer_that_ends_with_its_connection_is_whole() {
    let world = World::two_of_each(1..=2).await;
    let scripted = script(&world, "plain-1", Script::Close(unframed("the answer")));
    let (_, answer) = world.request_until_at(&scripted, PLAIN).await;
    assert_eq!((answer.code(), answer.complete), (200, true));
    assert_eq!(&*answer.body, b"the answer");
}

#[tokio::test(start_paused = true)]
async fn a_connection_that_ended_with_its_answer_is_not_used_again() {
    let world = World::two_of_each(1..=2).await;
    for runner in ["plain-1", "plain-2"] {
        script(&world, runner, Script::Close(unframed("the answer")));
    }
    for number in 0..40 {
        let id = format!("write-{number}");
        let answer = world.request(1, WRITE.0, &id, WRITE.1).await;
        assert_eq!((answer.code(), answer.complete), (200, true), "{id}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_answer_that_is_reset_in_place_of_its_end_does_not_look_whole() {
    for (runner, target, text) in [
        ("plain-1", WRITE, unframed("half of the ans")),
        ("engine-1", STREAM, unframed_stream(3, "")),
    ] {
        let world = World::two_of_each(1..=2).await;
        let scripted = script(&world, runner, Script::Reset(text));
        let (_, answer) = world.request_until_at(&scripted, target).await;
        let is_by_other = answer.event_ids().len() as u64 == 40;
        let looks_whole = answer.code() == 200 && answer.complete && !is_by_other;
        assert!(!looks_whole, "{runner}: {answer:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_stream_that_ends_inside_an_event_goes_on_at_another_runner() {
    let world = World::two_of_each(1..=2).await;
    let text = unframed_stream(3, "id: 4\ndata: ha");
    let scripted = script(&world, "engine-1", Script::Close(text));
    let (_, answer) = world.request_until_at(&scripted, STREAM).await;
    assert!(answer.complete, "{answer:?}");
    assert!(answer.event_ids().into_iter().eq(1..=40), "{answer:?}");
}

#[tokio::test(start_paused = true)]
async fn a_stream_that_ends_with_its_connection_between_two_events_is_whole() {
    let world = World::two_of_each(1..=2).await;
    let scripted = script(&world, "engine-1", Script::Close(unframed_stream(40, "")));
    let (_, answer) = world.request_until_at(&scripted, STREAM).await;
    assert_eq!((answer.code(), answer.complete), (200, true));
    assert!(answer.event_ids().into_iter().eq(1..=40), "{answer:?}");
}

/// Gateway 1 has lost its links to all runners and reaches them through gateway 2.
#[tokio::test(start_paused = true)]
async fn unframed_answers_arrive_through_a_peer_as_they_do_directly() {
    let cases = [
        (
            "plain-1",
            PLAIN,
            Script::Close(unframed("the answer")),
            true,
        ),
        (
            "engine-1",
            STREAM,
            Script::Close(unframed_stream(40, "")),
            true,
        ),
        (
            "plain-1",
            WRITE,
            Script::Reset(unframed("half of the ans")),
            false,
        ),
    ];
    for (runner, target, text, is_whole) in cases {
        let world = World::two_of_each(1..=2).await;
        let scripted = script(&world, runner, text);
        for runner in world.runners.values() {
            let hosts = (World::gateway_host(1), runner.address().ip());
            world.network.cut_in_way(hosts.0, hosts.1, Cut::Reset);
        }
        world.run_for(3 * SECOND).await;
        let (_, answer) = world.request_until_at(&scripted, target).await;
        let looks_whole = answer.code() == 200 && answer.complete;
        assert_eq!(looks_whole, is_whole, "{runner}: {answer:?}");
    }
}

/// Scripts of answers without end, with the runner and the request that gets them.
fn endless_answers() -> Vec<(&'static str, Target, Script)> {
    let kilobyte = "x".repeat(1000);
    let endless = |first: String, repeated: String| Script::Endless(first, repeated);
    let with_body = |status: &str| {
        let head = format!("HTTP/1.1 {status}\r\nrequest-id: {{id}}\r\nsignature: s\r\n");
        (head, kilobyte.repeat(16))
    };
    let (rejection, body) = with_body("503 Full\r\nnot-run: 1");
    let (failure, _) = with_body("500 Failed");
    let stream = format!("{HEAD}content-type: text/event-stream\r\n\r\n");
    vec![
        (
            "plain-1",
            PLAIN,
            endless(HEAD.to_owned(), format!("a: {kilobyte}\r\n")),
        ),
        (
            "plain-1",
            PLAIN,
            endless(format!("{HEAD}a: "), kilobyte.repeat(16)),
        ),
        ("plain-1", PLAIN, endless(String::new(), kilobyte.clone())),
        (
            "plain-1",
            PLAIN,
            endless(String::new(), "HTTP/1.1 100 Go on\r\n\r\n".repeat(50)),
        ),
        (
            "plain-1",
            PLAIN,
            endless(format!("{rejection}\r\n"), body.clone()),
        ),
        (
            "engine-1",
            STREAM,
            endless(format!("{stream}id: 1\ndata: "), body.clone()),
        ),
        (
            "engine-1",
            STREAM,
            endless(stream, ": comment\n".repeat(1000)),
        ),
        (
            "plain-1",
            WRITE,
            endless(format!("{failure}content-length: 5\r\n\r\n"), body),
        ),
    ]
}

/// Scripts whose bytes without end stand in the framing of an answer, not in its body.
fn endless_framing() -> Vec<(&'static str, Target, Script)> {
    let kilobyte = "x".repeat(1000);
    let chunked = format!("{HEAD}transfer-encoding: chunked\r\n\r\n");
    let early_hints = format!("HTTP/1.1 103 Early Hints\r\nlink: {kilobyte}\r\n\r\n");
    let endless = |first: String, repeated: String| Script::Endless(first, repeated);
    let stream = format!(
        "{HEAD}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\nb\r\nid: 1\ndata:\r\n"
    );
    vec![
        ("plain-1", WRITE, endless(String::new(), early_hints)),
        (
            "engine-1",
            STREAM,
            endless(String::new(), "HTTP/1.1 102 Processing\r\n\r\n".repeat(50)),
        ),
        ("plain-1", PLAIN, endless(chunked.clone(), "0".repeat(4000))),
        ("plain-1", PLAIN, endless(chunked.clone(), " ".repeat(4000))),
        (
            "plain-1",
            WRITE,
            endless(format!("{chunked}5;a="), kilobyte.repeat(8)),
        ),
        (
            "plain-1",
            WRITE,
            endless(
                chunked.clone(),
                format!("1;a={}\r\nx\r\n", kilobyte.repeat(8)),
            ),
        ),
        (
            "plain-1",
            WRITE,
            endless(
                format!("{chunked}2\r\nok\r\n0\r\n"),
                format!("t: {kilobyte}\r\n"),
            ),
        ),
        ("engine-1", STREAM, endless(stream, "0".repeat(4000))),
        ("plain-1", WRITE, endless(String::new(), "\r\n".repeat(500))),
        (
            "plain-1",
            PLAIN,
            endless("HTTP/1.1 200 ".to_owned(), kilobyte.repeat(4)),
        ),
    ]
}

#[tokio::test(start_paused = true)]
async fn bytes_without_end_that_are_no_answer_are_cut_off() {
    assert_all_are_cut_off(endless_answers()).await;
}

#[tokio::test(start_paused = true)]
async fn framing_without_end_around_no_body_is_cut_off() {
    assert_all_are_cut_off(endless_framing()).await;
}

/// Asserts that no gateway reads any of the scripted answers for long.
async fn assert_all_are_cut_off(scripts: Vec<(&'static str, Target, Script)>) {
    for (number, (runner, target, text)) in (0..).zip(scripts) {
        let world = World::two_of_each(1..=2).await;
        let scripted = script(&world, runner, text);
        let sent = Instant::now();
        world.request_until_at(&scripted, target).await;
        let took = sent.elapsed();
        world.run_for(20 * SECOND).await;
        let bytes = scripted.most_bytes_sent();
        assert!(bytes <= MAX_BYTES, "script {number}: {bytes} bytes");
        assert!(took < 15 * SECOND, "script {number}: {took:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_answer_of_the_store_without_end_is_cut_off() {
    let world = World::two_of_each(1..=2).await;
    let head = "HTTP/1.1 200 OK\r\n\r\n".to_owned();
    let text = Script::Endless(head, "x".repeat(64 * 1024));
    let scripted = ScriptedServer::start(&world.network, World::store_address(), text);
    for gateway in 1..=2 {
        let hosts = (World::gateway_host(gateway), World::store_host());
        world.network.cut_in_way(hosts.0, hosts.1, Cut::Reset);
    }
    world.run_for(SECOND / 10).await;
    world.network.heal();
    world.run_for(3 * SECOND).await;
    let bytes = scripted.most_bytes_sent();
    assert!(bytes > 0, "no call reached the store");
    assert!(bytes <= MAX_STORE_BYTES, "{bytes} bytes");
    let answer = world.request(1, PLAIN.0, "served", PLAIN.1).await;
    assert_eq!((answer.code(), answer.complete), (200, true));
}
