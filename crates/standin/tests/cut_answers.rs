//! An answer that its runner cuts short anywhere, in its head too, never looks whole to a client.

use barleyspar_standin::{Script, ScriptedServer, World};

const BODY: &str = "the answer";

/// An answer in full, and the length from which on it may look whole.
struct FullAnswer {
    label: &'static str,
    streams: bool,
    text: String,
    whole_from: usize,
}

fn full_answers() -> Vec<FullAnswer> {
    let head =
        |status: &str| format!("HTTP/1.{status} OK\r\nrequest-id: {{id}}\r\nsignature: s\r\n");
    let answer = |label, text: String, whole_from| FullAnswer {
        label,
        streams: false,
        text,
        whole_from,
    };
    let complete = |label, text: String| {
        let whole_from = text.len();
        answer(label, text, whole_from)
    };
    let until_close = format!("{}\r\n", head("0 200"));
    let events = format!("{}content-type: text/event-stream\r\n\r\n", head("1 200"));
    let length = "content-length: 10\r\n\r\n";
    let chunked = "transfer-encoding: chunked\r\n\r\n";
    vec![
        complete("length", format!("{}{length}{BODY}", head("1 200"))),
        complete(
            "interim answer",
            format!("HTTP/1.1 103 Early\r\n\r\n{}{length}{BODY}", head("1 200")),
        ),
        complete("old version", format!("{}{length}{BODY}", head("0 200"))),
        complete(
            "chunks",
            format!("{}{chunked}a\r\n{BODY}\r\n0\r\n\r\n", head("1 200")),
        ),
        complete(
            "chunks with extensions",
            format!(
                "{}{chunked}4;n=v\r\nthe \r\n6;n\r\nanswer\r\n0\r\n\r\n",
                head("1 200")
            ),
        ),
        complete(
            "chunks with a trailer",
            format!(
                "{}{chunked}a\r\n{BODY}\r\n0\r\nchecksum: 1\r\n\r\n",
                head("1 200")
            ),
        ),
        answer("until the end", until_close.clone(), until_close.len()),
        FullAnswer {
            streams: true,
            ..answer("events", events.clone(), events.len())
        },
    ]
}

/// Sends requests until one comes to a runner that cuts its answer after `cut` bytes. Returns
/// whether its client took that for a whole success.
async fn looks_whole(full: &FullAnswer, cut: usize, resets: bool, through_peer: bool) -> bool {
    let world = World::two_of_each(1..=2).await;
    let (runner, path, model) = match full.streams {
        true => ("engine-1", "/stream/x", Some("a")),
        false => ("plain-1", "/write/x", None),
    };
    let text = full.text[..cut].to_owned();
    let script = if resets {
        Script::Reset(text)
    } else {
        Script::Close(text)
    };
    let scripted = ScriptedServer::replace(&world.network, &world.runners[runner], script);
    if through_peer {
        world.cut_from_runners(1).await;
    }
    let (id, answer) = world.request_until_at(&scripted, (path, model)).await;
    let ran_elsewhere = world.run_count(&id) > 0;
    answer.code() == 200 && answer.complete && !ran_elsewhere
}

async fn assert_no_cut_looks_whole(through_peer: bool, step: usize) {
    for full in full_answers() {
        for cut in (0..full.whole_from).step_by(step) {
            for resets in [false, true] {
                let is_whole = looks_whole(&full, cut, resets, through_peer).await;
                let label = full.label;
                assert!(!is_whole, "{label}, cut after {cut} bytes, reset: {resets}");
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn an_answer_that_is_cut_short_looks_whole() {
    assert_no_cut_looks_whole(false, 3).await;
}

#[tokio::test(start_paused = true)]
async fn an_answer_through_a_peer_that_is_cut_short_looks_whole() {
    assert_no_cut_looks_whole(true, 11).await;
}

#[tokio::test(start_paused = true)]
async fn an_answer_that_is_cut_within_its_last_bytes_looks_whole() {
    for full in full_answers() {
        for cut in full.whole_from.saturating_sub(24)..full.whole_from {
            for resets in [false, true] {
                let is_whole = looks_whole(&full, cut, resets, false).await;
                let label = full.label;
                assert!(!is_whole, "{label}, cut after {cut} bytes, reset: {resets}");
            }
        }
    }
}
