//! A runner that sends a late copy of its last answer in the place where the next one is due.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_gateway::ByteStream;
use barleyspar_standin::{World, plain_service, route};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const SECOND: Duration = Duration::from_secs(1);

/// One gateway and one runner, in whose place [`answer_with_copies`] answers.
async fn world() -> World {
    let mut world = World::new(
        vec![plain_service("plain")],
        vec![route("/plain/", "plain", RequestKind::NonIdempotent)],
    );
    let runner = world.start_runner("plain-1", "plain", &[]);
    world.start_gateway(1).await;
    world.run_for(8 * SECOND).await;
    runner.crash(&world.network);
    let mut connections = world.network.listen(runner.address());
    let answers = Arc::new(AtomicUsize::new(0));
    tokio::spawn(async move {
        while let Some((stream, _)) = connections.recv().await {
            tokio::spawn(answer_with_copies(stream, answers.clone()));
        }
    });
    world
}

/// Answers each request with the number of answers so far, behind a copy of the answer before.
async fn answer_with_copies(mut stream: Box<dyn ByteStream>, answers: Arc<AtomicUsize>) {
    let mut former = String::new();
    let mut buffer = [0; 4096];
    while let Ok(1..) = stream.read(&mut buffer).await {
        let number = answers.fetch_add(1, Ordering::Relaxed);
        let body = format!("answer {number}");
        let length = body.len();
        let answer =
            format!("HTTP/1.1 200 OK\r\nsignature: s\r\ncontent-length: {length}\r\n\r\n{body}");
        let sent = format!("{former}{answer}");
        if stream.write_all(sent.as_bytes()).await.is_err() {
            return;
        }
        former = answer;
    }
}

/// Sends a request without an id, on a connection of its own, and returns the answer's last line.
async fn request_without_id(world: &World) -> String {
    let mut connection = world.connect(1).await;
    let request = "GET /plain/x HTTP/1.1\r\nhost: host\r\nconnection: close\r\n\r\n";
    let sent = connection.write_all(request.as_bytes()).await;
    sent.expect("the gateway reads the request");
    let mut answer = String::new();
    let read = connection.read_to_string(&mut answer).await;
    read.expect("the gateway answers with text");
    answer.lines().last().unwrap_or_default().to_owned()
}

#[tokio::test(start_paused = true)]
async fn a_caller_without_an_id_does_not_get_the_answer_to_another_caller() {
    let world = world().await;
    for number in 0..5 {
        let answer = request_without_id(&world).await;
        assert_eq!(answer, format!("answer {number}"));
        world.run_for(SECOND / 10).await;
    }
}
