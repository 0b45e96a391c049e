//! Callers that do not read their answers.
//!
//! An answer that nobody read was kept for as long as its caller stayed: it held its
//! place at the runner, the runner's connection and megabytes of memory, whatever its
//! deadline was, and its connection was never closed. Cause: what ended an unfinished
//! answer, and each piece of a long one, waited for room in the way to its reader, and
//! nothing limits how long a caller may leave what is written to it unread. Evidence: five
//! callers that do not read hold five places at the runner half a second behind their
//! deadlines.

use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_gateway::ByteStream;
use barleyspar_standin::{Fault, World, engine_service, names, plain_service, route};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const SECOND: Duration = Duration::from_secs(1);
const DEADLINE: Duration = Duration::from_secs(3);
/// Time for which a connection may rest, by the configuration.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Bytes that the network keeps of what was written to a connection.
const NETWORK_BYTES: usize = 256 * 1024;
/// Callers that do not read.
const CALLERS: usize = 5;

async fn world() -> World {
    let mut world = World::new(
        vec![plain_service("plain"), engine_service("engine", &["a"])],
        vec![
            route("/plain/", "plain", RequestKind::Idempotent),
            route("/stream/", "engine", RequestKind::Streaming),
        ],
    );
    world.start_runner("plain-1", "plain", &[]);
    let engine = world.start_runner("engine-1", "engine", &["a"]);
    // Forty of them are more than all buffers on the way hold.
    engine.set_fault(Some(Fault::LongEvents(64 * 1024)));
    world.start_gateway(1).await;
    world.run_for(8 * SECOND).await;
    world
}

/// Sends a request and leaves its answer unread.
async fn send(world: &World, path: &str, id: usize, body: &[u8]) -> Box<dyn ByteStream> {
    let mut connection = world.connect(1).await;
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: host\r\n{}: reader-{id}\r\n{}: {}\r\n{}: a\r\ncontent-length: {}\r\n\r\n",
        names::REQUEST_ID,
        names::DEADLINE,
        DEADLINE.as_millis(),
        names::MODEL,
        body.len(),
    );
    let sent = async {
        connection.write_all(head.as_bytes()).await?;
        connection.write_all(body).await
    };
    sent.await.expect("the gateway reads it");
    connection
}

/// What is left to be read, and whether the answer ended as if it were whole.
async fn read(mut connection: Box<dyn ByteStream>) -> (usize, bool) {
    let mut bytes = Vec::new();
    // A connection that is closed in mid-answer may say so.
    let _ = connection.read_to_end(&mut bytes).await;
    (bytes.len(), bytes.ends_with(b"\r\n0\r\n\r\n"))
}

async fn unread(path: &str, body: &[u8], runner: &str) {
    let world = world().await;
    let mut connections = Vec::new();
    for id in 0..CALLERS {
        connections.push(send(&world, path, id, body).await);
    }
    let runner = &world.runners[runner];
    world.run_for(SECOND / 2).await;
    assert!(runner.open_connections() >= CALLERS);
    world.run_for(DEADLINE).await;
    assert_eq!(
        runner.running_requests(),
        0,
        "places are held at the runner"
    );
    // The leader may keep one for its questions.
    assert!(
        runner.open_connections() <= 1,
        "{}",
        runner.open_connections()
    );
    world.run_for(IDLE_TIMEOUT).await;
    for connection in connections {
        let (bytes, whole) = read(connection).await;
        assert!(bytes > 0 && !whole, "{bytes} bytes, whole: {whole}");
        assert!(bytes <= NETWORK_BYTES, "{bytes} bytes: it was not closed");
    }
}

#[tokio::test(start_paused = true)]
async fn a_stream_that_nobody_reads_is_cut_at_its_deadline() {
    unread("/stream/x", b"", "engine-1").await;
}

#[tokio::test(start_paused = true)]
async fn a_long_answer_that_nobody_reads_is_cut_at_its_deadline() {
    unread("/plain/x", &vec![b'x'; 4 * 1024 * 1024], "plain-1").await;
}
