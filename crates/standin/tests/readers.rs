//! Clients that do not read their answers.
//!
//! Guards against answers that are kept beyond their deadline because their client does not
//! read: they hold a slot and a connection of the runner and megabytes of memory, and the
//! client's connection is never closed. This comes about if the gateway waits for space in the
//! send buffer when it sends a chunk of the answer or ends it, as nothing else limits that
//! wait.

use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_gateway::ByteStream;
use barleyspar_standin::{Fault, World, engine_service, names, plain_service, route};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const SECOND: Duration = Duration::from_secs(1);
const DEADLINE: Duration = Duration::from_secs(3);
/// Time for which a client's connection may be idle, by the configuration's default.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Number of bytes on a connection that the in-memory network buffers.
const NETWORK_BYTES: usize = 256 * 1024;
/// Number of clients that do not read their answers.
const CLIENTS: usize = 5;

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
    // The forty events of a stream are more than all buffers between runner and client hold.
    engine.set_fault(Some(Fault::LongEvents(64 * 1024)));
    world.start_gateway(1).await;
    world.run_for(8 * SECOND).await;
    world
}

/// Sends a request and leaves its answer unread. Returns the connection.
async fn send_without_reading(
    world: &World,
    path: &str,
    id: usize,
    body: &[u8],
) -> Box<dyn ByteStream> {
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
    sent.await.expect("the gateway reads the request");
    connection
}

/// Reads a connection to its end. Returns the number of bytes, and whether the answer ends as
/// a complete one does.
async fn read_to_end(mut connection: Box<dyn ByteStream>) -> (usize, bool) {
    let mut bytes = Vec::new();
    // A connection that is closed within an answer may end with an error.
    let _ = connection.read_to_end(&mut bytes).await;
    (bytes.len(), bytes.ends_with(b"\r\n0\r\n\r\n"))
}

/// Sends requests whose answers are not read, and asserts that the gateway frees the runner at
/// their deadline and closes their connections.
async fn assert_unread_answers_are_cut(path: &str, body: &[u8], runner: &str) {
    let world = world().await;
    let mut connections = Vec::new();
    for id in 0..CLIENTS {
        connections.push(send_without_reading(&world, path, id, body).await);
    }
    let runner = &world.runners[runner];
    world.run_for(SECOND / 2).await;
    assert!(runner.open_connections() >= CLIENTS);
    world.run_for(DEADLINE).await;
    assert_eq!(runner.running_requests(), 0, "slots are held at the runner");
    // The leader may keep one connection for its calls.
    assert!(
        runner.open_connections() <= 1,
        "{}",
        runner.open_connections()
    );
    world.run_for(IDLE_TIMEOUT).await;
    for connection in connections {
        let (bytes, complete) = read_to_end(connection).await;
        assert!(
            bytes > 0 && !complete,
            "{bytes} bytes, complete: {complete}"
        );
        assert!(bytes <= NETWORK_BYTES, "{bytes} bytes: it was not closed");
    }
}

#[tokio::test(start_paused = true)]
async fn a_stream_that_nobody_reads_is_cut_at_its_deadline() {
    assert_unread_answers_are_cut("/stream/x", b"", "engine-1").await;
}

#[tokio::test(start_paused = true)]
async fn a_long_answer_that_nobody_reads_is_cut_at_its_deadline() {
    assert_unread_answers_are_cut("/plain/x", &vec![b'x'; 4 * 1024 * 1024], "plain-1").await;
}
