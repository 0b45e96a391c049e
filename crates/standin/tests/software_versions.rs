//! Runners of several software versions side by side: what two versions write does not fit
//! together, so a stream goes on only at the version that began it.

use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{Cut, Fault, FollowedStream, RunnerStandIn, World, engine_service, route};
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SECOND: Duration = Duration::from_secs(1);
const GATEWAYS: u8 = 6;
/// Number of runners of each of the two versions at the start.
const RUNNERS_OF_VERSION: u8 = 2;
const STREAM: (&str, &str) = ("/stream/x", "a");
/// Time from the start of streams to the middle of them.
const MID_STREAM: Duration = Duration::from_millis(400);
/// Streams that clients follow at once.
const STREAMS: u8 = 24;
const SEEDS: u64 = 12;

/// Six gateways, and two runners of each of `versions`, all of which hold the model.
async fn world(versions: &[&str]) -> World {
    let mut world = World::new(
        vec![engine_service("engine", &["a", "b"])],
        vec![route("/stream/", "engine", RequestKind::Streaming)],
    );
    for version in versions {
        for number in 1..=RUNNERS_OF_VERSION {
            let name = format!("engine-{version}-{number}");
            world
                .start_runner(&name, "engine", &["a"])
                .set_software(version);
        }
    }
    world.start_gateways(1..=GATEWAYS).await;
    world.run_for(8 * SECOND).await;
    world
}

async fn results(clients: Vec<tokio::task::JoinHandle<FollowedStream>>) -> Vec<FollowedStream> {
    let ended = join_all(clients).await.into_iter();
    ended
        .map(|stream| stream.expect("no client panics"))
        .collect()
}

/// Starts [`STREAMS`] clients, whose tries go to `gateways` in turn.
fn start_streams(world: &World, gateways: &[u8]) -> Vec<tokio::task::JoinHandle<FollowedStream>> {
    let start = |number| world.spawn_stream(gateways, STREAM, &format!("stream-{number}"));
    (0..STREAMS).map(start).collect()
}

fn assert_none_mixes_versions(streams: &[FollowedStream]) {
    let mixed = streams.iter().filter(|stream| stream.mixes_versions());
    let mixed: Vec<&FollowedStream> = mixed.collect();
    assert!(
        mixed.is_empty(),
        "{} of {} streams mix versions, one of them {:?}",
        mixed.len(),
        streams.len(),
        mixed[0]
    );
}

fn assert_all_whole(streams: &[FollowedStream]) {
    for stream in streams {
        assert!(stream.is_whole(), "{stream:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_stream_whose_gateway_died_goes_on_at_the_version_that_began_it() {
    let mut world = world(&["v1", "v2"]).await;
    let clients = start_streams(&world, &[1, 2, 3, 4]);
    world.run_for(MID_STREAM).await;
    world.kill_gateway(1);
    let streams = results(clients).await;
    assert!(streams.iter().all(|stream| stream.resumed_tries > 0));
    assert_none_mixes_versions(&streams);
    assert_all_whole(&streams);
}

#[tokio::test(start_paused = true)]
async fn a_stream_that_breaks_at_a_runner_goes_on_at_the_version_that_began_it() {
    let world = world(&["v1", "v2"]).await;
    for runner in world.runners.values() {
        runner.set_fault(Some(Fault::BreakStream(7)));
    }
    let streams = results(start_streams(&world, &[1, 2, 3, 4])).await;
    assert_none_mixes_versions(&streams);
    assert_all_whole(&streams);
}

#[tokio::test(start_paused = true)]
async fn a_stream_that_stalls_at_a_runner_goes_on_at_the_version_that_began_it() {
    let world = world(&["v1", "v2"]).await;
    for runner in world.runners.values() {
        runner.set_fault(Some(Fault::StallStream(15)));
    }
    let streams = results(start_streams(&world, &[1, 2, 3, 4])).await;
    assert_none_mixes_versions(&streams);
}

#[tokio::test(start_paused = true)]
async fn a_resumed_stream_of_unknown_origin_runs_nowhere_while_two_versions_serve() {
    let world = world(&["v1", "v2"]).await;
    let extra = [("resumes", "unheard-of"), ("after-event", "3")];
    for gateway in 1..=GATEWAYS {
        let id = format!("resumed-{gateway}");
        let (path, model) = STREAM;
        let answer = world.request_with_headers(gateway, path, &id, Some(model), &extra);
        assert_eq!(
            (answer.await.code(), world.run_count(&id)),
            (503, 0),
            "{id}"
        );
    }
}

/// Clients that know nothing of software versions name no attempt.
#[tokio::test(start_paused = true)]
async fn a_stream_resumed_at_a_gateway_that_just_started_goes_on_while_one_version_serves() {
    for (versions, status) in [(&["v1"][..], 200), (&["v1", "v2"], 503)] {
        let mut world = world(versions).await;
        world.kill_gateway(1);
        world.start_gateway(1).await;
        world.run_for(SECOND).await;
        let (path, model) = STREAM;
        let extra = [("after-event", "3")];
        let answer = world
            .request_with_headers(1, path, "resumed", Some(model), &extra)
            .await;
        assert_eq!(answer.code(), status, "{versions:?}");
    }
}

async fn take_up(world: &World, gateway: u8, id: &str, extra: &[(&str, &str)]) -> u16 {
    let (path, model) = STREAM;
    let answer = world.request_with_headers(gateway, path, id, Some(model), extra);
    answer.await.code()
}

#[tokio::test(start_paused = true)]
async fn a_stream_of_a_version_that_has_left_is_not_joined_to_the_one_that_stayed() {
    let mut world = world(&["v1", "v2"]).await;
    for (name, runner) in &world.runners {
        if name.contains("v1") {
            runner.crash(&world.network);
            world.store.remove(&format!("runner/{name}"));
        }
    }
    world.run_for(2 * SECOND).await;
    let unnamed = [("after-event", "3")];
    let named = [("resumes", "unheard-of"), ("after-event", "3")];
    for all_start_again in [false, true] {
        if all_start_again {
            (1..=GATEWAYS).for_each(|number| world.kill_gateway(number));
            world.start_gateways(1..=GATEWAYS).await;
            world.run_for(3 * SECOND).await;
        }
        for gateway in 1..=GATEWAYS {
            for extra in [&unnamed[..], &named[..]] {
                let id = format!("{all_start_again}-{gateway}-{}", extra.len());
                let code = take_up(&world, gateway, &id, extra).await;
                assert_eq!((code, world.run_count(&id)), (503, 0), "{id}");
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn streams_go_on_after_a_loss_of_all_gateways_if_one_version_served() {
    let mut world = world(&["v1"]).await;
    (1..=GATEWAYS).for_each(|number| world.kill_gateway(number));
    world.start_gateways(1..=GATEWAYS).await;
    world.run_for(SECOND).await;
    for gateway in 1..=GATEWAYS {
        let extra = [("resumes", "unheard-of"), ("after-event", "3")];
        let code = take_up(&world, gateway, &format!("resumed-{gateway}"), &extra).await;
        assert_eq!(code, 200, "gateway {gateway}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_resumed_stream_whose_version_is_gone_is_refused_at_once() {
    let mut world = world(&["v1", "v2"]).await;
    let clients = start_streams(&world, &[1, 2, 3, 4]);
    world.run_for(MID_STREAM).await;
    for (name, runner) in &world.runners {
        if name.contains("v1") {
            runner.crash(&world.network);
            world.store.remove(&format!("runner/{name}"));
        }
    }
    world.kill_gateway(1);
    let streams = results(clients).await;
    assert_none_mixes_versions(&streams);
    let begun_by = |version: &str| {
        let begun = streams
            .iter()
            .filter(|stream| stream.software[0] == *version);
        begun.cloned().collect::<Vec<FollowedStream>>()
    };
    assert_all_whole(&begun_by("v2"));
    assert!(!begun_by("v1").is_empty());
    for stream in begun_by("v1") {
        assert!(stream.statuses.len() > 20, "slow refusals: {stream:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_stream_goes_on_at_its_version_though_the_model_must_be_loaded_there() {
    let world = world(&["v1", "v2"]).await;
    // The policy allows two replicas: one at the other version, one more where it is needed.
    for empty in ["engine-v1-2", "engine-v2-2"] {
        world.runners[empty].restart(&world.network, &[]);
        world.runners[empty].publish_entry();
    }
    world.run_for(2 * SECOND).await;
    let clients = start_streams(&world, &[1, 2, 3, 4]);
    world.run_for(MID_STREAM).await;
    world.runners["engine-v1-1"].crash(&world.network);
    world.store.remove("runner/engine-v1-1");
    let streams = results(clients).await;
    assert_none_mixes_versions(&streams);
    assert_all_whole(&streams);
}

/// Longer than any client waits, so that the only version so far is known to be the only one.
const LONG_TIME: Duration = Duration::from_secs(70);

/// How gateway 1 is out of step with the other gateways and the store.
#[derive(Debug, Clone, Copy)]
enum OutOfStep {
    /// Its links to them are cut in this way.
    Cut(Cut),
    /// The same, but its links to the other gateways are restored before streams are taken up.
    CutFromStore(Cut),
    /// It stands still.
    Paused,
    /// It stands still, and loses what is sent to it meanwhile but for what waits on connections.
    PausedAndDeaf,
}

impl OutOfStep {
    const ALL: [Self; 6] = [
        Self::Cut(Cut::Silent),
        Self::Cut(Cut::Reset),
        Self::CutFromStore(Cut::Silent),
        Self::CutFromStore(Cut::Reset),
        Self::Paused,
        Self::PausedAndDeaf,
    ];

    fn begin(self, world: &World) {
        match self {
            Self::Cut(way) | Self::CutFromStore(way) => {
                cut_from_gateways(world, way);
                let hosts = (World::gateway_host(1), World::store_host());
                world.network.cut_in_way(hosts.0, hosts.1, way);
            }
            Self::Paused => world.pause_gateway(1),
            Self::PausedAndDeaf => {
                world.pause_gateway(1);
                cut_from_gateways(world, Cut::Silent);
            }
        }
    }

    /// Changes what must change before streams are taken up at gateway 1.
    fn go_on(self, world: &World) {
        match self {
            Self::Cut(_) => {}
            Self::CutFromStore(way) => {
                world.network.heal();
                let hosts = (World::gateway_host(1), World::store_host());
                world.network.cut_in_way(hosts.0, hosts.1, way);
            }
            Self::Paused | Self::PausedAndDeaf => world.resume_gateway(1),
        }
    }
}

fn cut_from_gateways(world: &World, way: Cut) {
    for other in 2..=GATEWAYS {
        let hosts = (World::gateway_host(1), World::gateway_host(other));
        world.network.cut_in_way(hosts.0, hosts.1, way);
    }
}

/// Gateway 1 is out of step while runners of a second version join. Streams that begin at them
/// through the other gateways break and are taken up at gateway 1.
async fn streams_taken_up_out_of_step(
    out_of_step: OutOfStep,
    joined_after: u64,
) -> Vec<FollowedStream> {
    let mut world = world(&["v1"]).await;
    world.run_for(LONG_TIME).await;
    out_of_step.begin(&world);
    world.run_for(Duration::from_millis(joined_after)).await;
    for runner in world.runners.values() {
        runner.set_fault(Some(Fault::Reject));
    }
    for number in 1..=RUNNERS_OF_VERSION {
        let runner = world.start_runner(&format!("engine-v2-{number}"), "engine", &["a"]);
        runner.set_software("v2");
        runner.set_fault(Some(Fault::BreakStream(7)));
    }
    // The other gateways learn of them meanwhile.
    world.run_for(SECOND * 3 / 10).await;
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let tries = [2 + number % (GATEWAYS - 1), 1, 1, 1, 1, 1, 1, 1];
            world.spawn_stream(&tries, STREAM, &format!("stream-{number}"))
        })
        .collect();
    world.run_for(SECOND * 3 / 10).await;
    for runner in world.runners.values() {
        runner.set_fault(None);
    }
    out_of_step.go_on(&world);
    world.run_for(SECOND).await;
    world.network.heal();
    results(clients).await
}

#[tokio::test(start_paused = true)]
async fn a_gateway_out_of_step_does_not_take_its_former_version_for_the_only_one() {
    for out_of_step in OutOfStep::ALL {
        let mut resumed = 0;
        for joined_after in [0, 100, 300, 600, 1200, 2500] {
            let streams = streams_taken_up_out_of_step(out_of_step, joined_after).await;
            let mixed = streams.iter().filter(|stream| stream.mixes_versions());
            assert_eq!(mixed.count(), 0, "{out_of_step:?}, {joined_after} ms");
            resumed += streams
                .iter()
                .filter(|stream| stream.resumed_tries > 0)
                .count();
        }
        assert!(resumed > 20, "{out_of_step:?}: {resumed} streams taken up");
    }
}

#[tokio::test(start_paused = true)]
async fn an_answer_to_a_question_of_a_former_life_names_no_other_streams_version() {
    let mut world = World::new(
        vec![engine_service("engine", &["a"])],
        vec![route("/stream/", "engine", RequestKind::Streaming)],
    );
    for version in ["v1", "v2"] {
        let runner = world.start_runner(&format!("engine-{version}"), "engine", &["a"]);
        runner.set_software(version);
    }
    world.start_gateways(1..=2).await;
    world.run_for(8 * SECOND).await;
    let (path, model) = STREAM;
    let began = world.request(2, path, "known", Some(model)).await;
    assert_eq!(began.code(), 200);
    world.kill_gateway(1);
    world.start_gateway(1).await;
    world.run_for(SECOND).await;
    world.pause_gateway(2);
    let asked = world.take_up_stream(1, STREAM, "asked", "known").await;
    assert_eq!(asked.code(), 503, "the keeper answers");
    world.kill_gateway(1);
    world.start_gateway(1).await;
    world.run_for(SECOND / 3).await;
    let late_answer = async {
        world.run_for(SECOND / 50).await;
        world.resume_gateway(2);
    };
    let other = world.take_up_stream(1, STREAM, "other", "unheard-of");
    let (other, ()) = tokio::join!(other, late_answer);
    assert_eq!((other.code(), world.run_count("other")), (503, 0));
}

/// What a gateway that was out of step reads anew shows the present runners only.
#[tokio::test(start_paused = true)]
async fn a_version_that_came_and_went_unseen_is_not_forgotten() {
    let mut world = world(&["v1"]).await;
    world.run_for(LONG_TIME).await;
    OutOfStep::Cut(Cut::Reset).begin(&world);
    let joined = world.start_runner("engine-v2-1", "engine", &["a"]);
    joined.set_software("v2");
    joined.publish_entry();
    world.run_for(3 * SECOND).await;
    joined.crash(&world.network);
    world.store.remove("runner/engine-v2-1");
    world.store.compact_history();
    world.network.heal();
    world.run_for(3 * SECOND).await;
    let code = take_up(&world, 1, "resumed", &[("after-event", "3")]).await;
    assert_eq!((code, world.run_count("resumed")), (503, 0));
}

fn random_runner(world: &World, random: &mut StdRng) -> RunnerStandIn {
    let index = random.random_range(0..world.runners.len());
    let runner = world.runners.values().nth(index);
    runner.expect("the index is valid").clone()
}

/// One random fault, or the replacement of a runner by one of any version.
fn strike(world: &mut World, random: &mut StdRng, killed: &mut Vec<u8>) {
    match random.random_range(0..4) {
        0 => {
            let number = random.random_range(1..=GATEWAYS);
            world.kill_gateway(number);
            killed.push(number);
        }
        1 => {
            let runner = random_runner(world, random);
            runner.restart(&world.network, &["a"]);
            runner.publish_entry();
        }
        2 => {
            let replaced = random_runner(world, random);
            replaced.crash(&world.network);
            let version = ["v1", "v2", "v3"][random.random_range(0..3)];
            let name = format!("engine-{}", world.runners.len());
            world
                .start_runner(&name, "engine", &["a"])
                .set_software(version);
        }
        _ => {
            let (one, other) = (
                World::gateway_host(random.random_range(1..=GATEWAYS)),
                World::gateway_host(random.random_range(1..=GATEWAYS)),
            );
            world.network.cut(one, other);
        }
    }
}

/// Streams begin steadily while gateways are killed, cut from each other and started again,
/// and runners are restarted, at times with another version.
#[tokio::test(start_paused = true)]
async fn no_stream_mixes_versions_in_random_releases() {
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut world = world(&["v1", "v2"]).await;
        let mut clients = Vec::new();
        let mut killed: Vec<u8> = Vec::new();
        for round in 0..60 {
            for number in 0..3 {
                let first = random.random_range(0..GATEWAYS);
                let gateways: Vec<u8> = (0..GATEWAYS)
                    .map(|step| (first + step) % GATEWAYS + 1)
                    .collect();
                let id = format!("stream-{round}-{number}");
                clients.push(world.spawn_stream(&gateways, STREAM, &id));
            }
            if random.random_bool(0.7) {
                strike(&mut world, &mut random, &mut killed);
            }
            world.run_for(SECOND / 4).await;
            if random.random_bool(0.2) {
                world.network.heal();
            }
            if killed.len() > 1 {
                world.start_gateway(killed.remove(0)).await;
            }
        }
        world.network.heal();
        let streams = results(clients).await;
        let resumed: usize = streams.iter().map(|stream| stream.resumed_tries).sum();
        assert!(resumed > 10, "seed {seed}: only {resumed} tries resumed");
        assert_none_mixes_versions(&streams);
    }
}
