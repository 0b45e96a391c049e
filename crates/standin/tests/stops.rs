//! Planned stops: callers that still read their answers, and requests that come late, wait or run.

use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{Answer, Fault, World, engine_service, names, plain_service, route};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::JoinHandle;
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

const IDEMPOTENT: &str = "/idempotent/x";
const ONCE: &str = "/once/x";
const STREAM: &str = "/stream/x";
/// Time after the signal to stop at which a request certainly waits, or is at a runner.
const BEFORE_CLOSING: Duration = Duration::from_secs(2);

/// One gateway, whose two plain runners do not answer, and a request at one of them, which keeps
/// the gateway running until the end of the grace period. The engine has not loaded the model `b`.
async fn world_with_silent_runners() -> World {
    let mut world = World::new(
        vec![
            plain_service("plain"),
            engine_service("engine", &["a", "b"]),
        ],
        vec![
            route("/idempotent/", "plain", RequestKind::Idempotent),
            route("/once/", "plain", RequestKind::NonIdempotent),
            route("/stream/", "engine", RequestKind::Streaming),
        ],
    );
    for number in 1..=2 {
        world.start_runner(&format!("plain-{number}"), "plain", &[]);
    }
    world.start_runner("engine-1", "engine", &["a"]);
    world.start_gateway(1).await;
    world.run_for(8 * SECOND).await;
    for runner in world.runners.values() {
        runner.set_fault(Some(Fault::NeverAnswer));
    }
    drop(world.spawn_request((1, ONCE, None), "first"));
    world.run_for(SECOND / 10).await;
    world
}

/// Starts to stop gateway 1.
fn start_stop(world: &World) -> JoinHandle<()> {
    let gateway = world.gateway(1);
    tokio::spawn(async move { gateway.stop().await })
}

/// Waits until gateway 1 has stopped, ends its process, and returns the answer to `request`. The
/// status is 0 if its connection ended without one.
async fn answer_after_stop(
    world: &mut World,
    stop: JoinHandle<()>,
    request: JoinHandle<Answer>,
) -> Answer {
    stop.await.expect("the gateway stops");
    world.kill_gateway(1);
    request.await.expect("no client panics")
}

#[tokio::test(start_paused = true)]
async fn a_request_that_may_outlast_a_stopping_process_is_refused_before_it_runs() {
    for path in [IDEMPOTENT, ONCE] {
        for after in [2700, 3200, 4000, 5000, 5900, 6500, 7200] {
            let mut world = world_with_silent_runners().await;
            let stop = start_stop(&world);
            world.run_for(Duration::from_millis(after)).await;
            let request = world.spawn_request((1, path, None), "late");
            let answer = answer_after_stop(&mut world, stop, request).await;
            let runs = world.run_count("late");
            assert_eq!((answer.code(), runs), (503, 0), "{path} after {after} ms");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_whose_time_ends_before_a_stopping_process_is_served() {
    let world = world_with_silent_runners().await;
    for runner in world.runners.values() {
        runner.set_fault(None);
    }
    let stop = start_stop(&world);
    world.run_for(5 * SECOND).await;
    let answer = world.request_with_deadline(1, ONCE, "short", None, 2 * SECOND);
    assert_eq!(answer.await.code(), 200);
    stop.await.expect("the gateway stops");
}

#[tokio::test(start_paused = true)]
async fn a_request_that_waits_in_a_stopping_process_is_refused_while_it_has_not_run() {
    for (path, model) in [(STREAM, Some("b")), (ONCE, None)] {
        let mut world = world_with_silent_runners().await;
        for runner in world.runners.values() {
            runner.set_fault(None);
            runner.request_pauses(4 * SECOND, 1);
        }
        let stop = start_stop(&world);
        world.run_for(BEFORE_CLOSING).await;
        let request = world.spawn_request((1, path, model), "waiting");
        world.run_for(SECOND / 10).await;
        // At the end of the pause, the request would run and not be answered.
        for runner in world.runners.values() {
            runner.stop_requesting_pauses();
            runner.set_fault(Some(Fault::NeverAnswer));
        }
        let answer = answer_after_stop(&mut world, stop, request).await;
        let runs = world.run_count("waiting");
        assert_eq!((answer.code(), runs), (503, 0), "{path}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_at_a_silent_runner_is_answered_before_a_stopping_process_ends() {
    for path in [IDEMPOTENT, ONCE] {
        for fault in [Fault::NeverAnswer, Fault::StallBody] {
            let mut world = world_with_silent_runners().await;
            for runner in world.runners.values() {
                runner.set_fault(Some(fault));
            }
            let stop = start_stop(&world);
            world.run_for(BEFORE_CLOSING).await;
            let request = world.spawn_request((1, path, None), "running");
            let answer = answer_after_stop(&mut world, stop, request).await;
            let end = (answer.code(), answer.complete);
            assert_eq!(end, (502, true), "{path}, {fault:?}");
            assert!(world.run_count("running") > 0, "{path}, {fault:?}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_whose_body_is_not_complete_when_a_stopping_process_ends_is_refused() {
    let mut world = world_with_silent_runners().await;
    let stop = start_stop(&world);
    world.run_for(BEFORE_CLOSING).await;
    let mut connection = world.connect(1).await;
    let head = format!(
        "POST {ONCE} HTTP/1.1\r\nhost: host\r\n{}: slow\r\n{}: 15000\r\ncontent-length: 9\r\n\r\nhalf",
        names::REQUEST_ID,
        names::DEADLINE,
    );
    let sent = connection.write_all(head.as_bytes()).await;
    sent.expect("the gateway reads the request");
    stop.await.expect("the gateway stops");
    world.kill_gateway(1);
    let mut answer = String::new();
    let read = connection.read_to_string(&mut answer).await;
    assert!(
        read.is_ok() && answer.starts_with("HTTP/1.1 503"),
        "{answer}"
    );
}
