//! Sound runners that send nothing for a second or so, and then go on.

use std::time::Duration;

use barleyspar_standin::{Answer, World};
use futures_util::future::join_all;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
const GATEWAYS: u8 = 4;
/// Longest silence of a sound runner.
const SILENCE: Duration = Duration::from_millis(1300);
/// Time from a request to the middle of its stream, and to the time before its first event.
const MID_STREAM: Duration = Duration::from_millis(400);
const BEFORE_FIRST_EVENT: Duration = Duration::from_millis(30);

/// Silences all runners for [`SILENCE`], `after` the requests were sent: three of `request` to
/// each gateway. Returns their ids and answers.
async fn send_into_silence(
    world: &World,
    (path, model): (&str, Option<&str>),
    after: Duration,
) -> Vec<(String, Answer)> {
    let requests = (0..3 * GATEWAYS).map(|number| async move {
        let id = format!("request-{number}");
        let gateway = number % GATEWAYS + 1;
        let answer = world.request(gateway, path, &id, model).await;
        (id, answer)
    });
    let silence = async {
        world.run_for(after).await;
        for gateway in 1..=GATEWAYS {
            for runner in world.runners.values() {
                let runner = runner.address().ip();
                world.network.cut(World::gateway_host(gateway), runner);
            }
        }
        world.run_for(SILENCE).await;
        world.network.heal();
    };
    let (answers, ()) = tokio::join!(join_all(requests), silence);
    answers
}

fn assert_served_by_one_run(world: &World, answers: &[(String, Answer)]) {
    for (id, answer) in answers {
        assert_eq!((answer.code(), answer.complete), (200, true), "{id}");
        assert_eq!(world.run_count(id), 1, "{id}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_stream_goes_on_at_its_runner_after_a_short_silence() {
    for after in [MID_STREAM, BEFORE_FIRST_EVENT] {
        let world = World::two_of_each(1..=GATEWAYS).await;
        let answers = send_into_silence(&world, ("/stream/x", Some("a")), after).await;
        assert_served_by_one_run(&world, &answers);
    }
}

#[tokio::test(start_paused = true)]
async fn a_write_is_answered_after_a_short_silence() {
    let world = World::two_of_each(1..=GATEWAYS).await;
    let answers = send_into_silence(&world, ("/write/x", None), SECOND / 100).await;
    assert_served_by_one_run(&world, &answers);
}

#[tokio::test(start_paused = true)]
async fn requests_are_served_at_once_after_a_short_silence() {
    let world = World::two_of_each(1..=GATEWAYS).await;
    send_into_silence(&world, ("/stream/x", Some("a")), MID_STREAM).await;
    for gateway in 1..=GATEWAYS {
        for (path, model) in [("/write/x", None), ("/stream/x", Some("a"))] {
            let sent = Instant::now();
            let id = format!("after-{gateway}-{path}");
            let answer = world.request(gateway, path, &id, model).await;
            assert_eq!((answer.code(), answer.complete), (200, true), "{id}");
            assert!(sent.elapsed() < SECOND, "{id}: {:?}", sent.elapsed());
        }
    }
}
