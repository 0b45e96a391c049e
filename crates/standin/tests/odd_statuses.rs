//! A runner whose answers have a status that is no status of a final answer.

use barleyspar_standin::{Script, ScriptedServer, World};

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

fn answers() -> impl Iterator<Item = String> {
    let heads = ODD_STATUS_LINES.into_iter().flat_map(|line| {
        HEADERS.map(|signature| format!("HTTP/{line}\r\nrequest-id: {{id}}\r\n{signature}"))
    });
    heads.flat_map(|head| ENDS.map(|end| format!("{head}{end}")))
}

/// Sends requests until one comes to the runner that sends `answer`. Returns the status that its
/// client got.
async fn status_for(
    answer: &str,
    (runner, path, model): (&str, &str, Option<&str>),
    through_peer: bool,
) -> u16 {
    let world = World::two_of_each(1..=2).await;
    let script = Script::Close(answer.to_owned());
    let scripted = ScriptedServer::replace(&world.network, &world.runners[runner], script);
    if through_peer {
        world.cut_from_runners(1).await;
    }
    let (_, answer) = world.request_until_at(&scripted, (path, model)).await;
    answer.code()
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
