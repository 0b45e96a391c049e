//! Planned stops while callers still read their answers.

use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{World, names, plain_service, route};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep};

const SECOND: Duration = Duration::from_secs(1);
/// More than the network and the gateway's buffers hold.
const ANSWER_BYTES: usize = 1024 * 1024;
/// Number of bytes that the slow caller reads at a time, with [`READ_PAUSE`] in between.
const READ_BYTES: usize = 16 * 1024;
/// Such that the whole answer takes some five seconds, within the grace period.
const READ_PAUSE: Duration = Duration::from_millis(80);
/// Number of bytes on a connection that the in-memory network buffers; a host delivers them also
/// when the process has ended.
const NETWORK_BYTES: usize = 256 * 1024;

async fn world() -> World {
    let mut world = World::new(
        vec![plain_service("plain")],
        vec![route("/plain/", "plain", RequestKind::Idempotent)],
    );
    world.start_runner("plain-1", "plain", &[]);
    world.start_gateway(1).await;
    world.run_for(8 * SECOND).await;
    world
}

/// Sends a request, which the runner answers with its body, and reads the answer slowly.
/// Returns the number of bytes read.
async fn read_slowly(world: &World) -> usize {
    let mut connection = world.connect(1).await;
    let head = format!(
        "POST /plain/x HTTP/1.1\r\nhost: host\r\n{}: slow\r\n{}: 15000\r\ncontent-length: {ANSWER_BYTES}\r\n\r\n",
        names::REQUEST_ID,
        names::DEADLINE,
    );
    let request = [head.into_bytes(), vec![b'x'; ANSWER_BYTES]].concat();
    let sent = connection.write_all(&request).await;
    sent.expect("the gateway reads the request");
    let mut buffer = vec![0; READ_BYTES];
    let mut received = 0;
    loop {
        match connection.read(&mut buffer).await {
            Ok(0) | Err(_) => return received,
            Ok(length) => received += length,
        }
        sleep(READ_PAUSE).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_stop_does_not_cut_the_answer_of_a_caller_that_reads_slowly() {
    let world = world().await;
    let gateway = world.gateway(1);
    let stop = async {
        world.run_for(SECOND / 3).await;
        let stopped_at = Instant::now();
        gateway.stop().await;
        stopped_at.elapsed()
    };
    let reading = async {
        let received = read_slowly(&world).await;
        (received, Instant::now())
    };
    let started_at = Instant::now();
    let ((received, read_at), stop_time) = tokio::join!(reading, stop);
    assert!(received > ANSWER_BYTES, "{received} bytes");
    let stop_ended_at = started_at + SECOND / 3 + stop_time;
    let delivered_by_host = READ_PAUSE * (NETWORK_BYTES / READ_BYTES + 2) as u32;
    assert!(
        stop_ended_at + delivered_by_host >= read_at,
        "the process ended {:?} before its caller had the answer",
        read_at - stop_ended_at
    );
}

#[tokio::test(start_paused = true)]
async fn a_stop_does_not_wait_for_idle_connections() {
    let world = world().await;
    let _unused = world.connect(1).await;
    let answer = world.request(1, "/plain/x", "one", None).await;
    assert_eq!(answer.code(), 200);
    let started_at = Instant::now();
    world.gateway(1).stop().await;
    assert!(
        started_at.elapsed() < 4 * SECOND,
        "{:?}",
        started_at.elapsed()
    );
}
