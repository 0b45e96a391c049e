//! A store that comes back from a copy: what it acknowledged since is gone, and its
//! revisions are given out again.

use std::time::Duration;

use barleyspar_catalog::{Bounds, RequestKind};
use barleyspar_standin::{StoreData, World, engine_service, plain_service, route};

const SECOND: Duration = Duration::from_secs(1);
/// Time within which a change must be in force.
const BOUND: Duration = Duration::from_secs(2);
const GATEWAYS: u8 = 6;

async fn world_with(change: impl Fn(&mut Bounds)) -> World {
    let mut world = World::new(
        vec![
            plain_service("plain"),
            engine_service("engine", &["a", "b", "c"]),
        ],
        vec![
            route("/plain/", "plain", RequestKind::Idempotent),
            route("/stream/", "engine", RequestKind::Streaming),
        ],
    );
    for number in 1..=3 {
        world.start_runner(&format!("plain-{number}"), "plain", &[]);
    }
    world.start_runner("engine-1", "engine", &["a"]);
    for number in 1..=GATEWAYS {
        world.start_gateway_with_bounds(number, &change).await;
    }
    world.run_for(12 * SECOND).await;
    world
}

async fn world() -> World {
    world_with(|_| {}).await
}

/// Changes in number, of no consequence.
fn write_much(world: &World, changes: usize) {
    for number in 0..changes {
        let value = number.to_string().into_bytes();
        world.store.put("elsewhere", value.into());
    }
}

/// The operators and the runners write again what they had written last.
fn write_again(world: &mut World) {
    world.configure(|_| {});
    world
        .runners
        .values()
        .for_each(|runner| runner.publish_entry());
}

/// A copy, and then `changes` that the store gives out and loses.
async fn lose(world: &World, changes: usize) -> StoreData {
    let copy = world.store.backup();
    write_much(world, changes);
    world.run_for(SECOND).await;
    copy
}

/// Asks all gateways; how many serve the request.
async fn serving(world: &World, path: &str, id: &str, model: Option<&str>) -> u8 {
    let mut serving = 0;
    for number in 1..=GATEWAYS {
        let id = format!("{id}-{number}");
        let answer = world.request(number, path, &id, model).await;
        serving += u8::from(answer.code() == 200);
    }
    serving
}

fn add_route(world: &mut World, path: &str) {
    let added = route(path, "plain", RequestKind::Idempotent);
    world.configure(|configuration| configuration.routes.push(added.into()));
}

#[tokio::test(start_paused = true)]
async fn a_change_after_the_store_went_back_is_in_force_in_time() {
    let mut world = world().await;
    for restore in 1..=2 {
        let copy = lose(&world, 40).await;
        world.store.restore(&copy);
        write_again(&mut world);
        let path = format!("/added-{restore}/");
        add_route(&mut world, &path);
        world.run_for(BOUND).await;
        let served = serving(&world, &path, &path, None).await;
        assert_eq!(served, GATEWAYS, "restore {restore}");
    }
}

#[tokio::test(start_paused = true)]
async fn what_is_written_under_numbers_given_out_before_is_not_missed() {
    let mut world = world().await;
    let copy = lose(&world, 40).await;
    for number in 1..=GATEWAYS {
        world
            .network
            .cut(World::gateway_host(number), World::store_host());
    }
    world.run_for(SECOND).await;
    world.store.restore(&copy);
    write_again(&mut world);
    add_route(&mut world, "/added/");
    world.runners["plain-1"].drain();
    // The numbers are beyond what the gateways know when they hear the store again.
    write_much(&world, 80);
    world.network.heal();
    world.run_for(BOUND).await;
    let before = world.runners["plain-1"].request_count();
    for time in 0..10 {
        let id = format!("added-{time}");
        assert_eq!(serving(&world, "/added/x", &id, None).await, GATEWAYS);
    }
    assert_eq!(world.runners["plain-1"].request_count(), before);
}

#[tokio::test(start_paused = true)]
async fn a_store_that_went_back_is_read_few_times() {
    let mut world = world().await;
    let copy = lose(&world, 40).await;
    let before = world.store.read_call_count();
    world.store.restore(&copy);
    write_again(&mut world);
    world.run_for(3 * SECOND).await;
    let readings = world.store.read_call_count() - before;
    assert!(readings <= 12 * u64::from(GATEWAYS), "{readings} readings");
}

#[tokio::test(start_paused = true)]
async fn a_gateway_that_starts_serves_by_what_the_store_lost() {
    let mut world = world().await;
    let copy = world.store.backup();
    add_route(&mut world, "/added/");
    world.run_for(BOUND).await;
    world.store.restore(&copy);
    world.run_for(SECOND / 2).await;
    assert_eq!(serving(&world, "/added/x", "kept", None).await, GATEWAYS);
    world.kill_gateway(1);
    world.start_gateway(1).await;
    world.run_for(SECOND).await;
    assert_eq!(serving(&world, "/added/x", "started", None).await, GATEWAYS);
}

#[tokio::test(start_paused = true)]
async fn a_runner_that_left_before_the_store_went_back_gets_nothing_more() {
    for drains in [true, false] {
        let world = world().await;
        let copy = world.store.backup();
        let runner = &world.runners["plain-1"];
        if drains {
            runner.drain();
            world.run_for(SECOND).await;
        }
        world.store.remove("runner/plain-1");
        world.run_for(SECOND).await;
        world.store.restore(&copy);
        world.run_for(SECOND / 2).await;
        let before = runner.request_count();
        for time in 0..10 {
            let id = format!("after-{time}");
            assert_eq!(serving(&world, "/plain/x", &id, None).await, GATEWAYS);
        }
        assert_eq!(runner.request_count(), before, "drains: {drains}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_runner_that_the_copy_lacks_is_used_on_while_it_writes_again() {
    let mut world = World::new(
        vec![plain_service("plain")],
        vec![route("/plain/", "plain", RequestKind::Idempotent)],
    );
    world.start_gateways(1..=GATEWAYS).await;
    world.run_for(12 * SECOND).await;
    let copy = world.store.backup();
    world.start_runner("plain-1", "plain", &[]);
    world.run_for(SECOND).await;
    world.store.restore(&copy);
    world.run_for(SECOND).await;
    assert_eq!(serving(&world, "/plain/x", "lacked", None).await, GATEWAYS);
    world.runners["plain-1"].publish_entry();
    world.run_for(3 * SECOND).await;
    assert_eq!(serving(&world, "/plain/x", "back", None).await, GATEWAYS);
    // One that does not write again is gone.
    world.store.restore(&StoreData::default());
    world.run_for(4 * SECOND).await;
    assert_eq!(serving(&world, "/plain/x", "gone", None).await, 0);
}

#[tokio::test(start_paused = true)]
async fn models_are_loaded_soon_after_the_store_lost_the_leader() {
    for fenced in [true, false] {
        let mut world = world_with(|bounds| bounds.fencing_enforced = fenced).await;
        // The copy knows no leader: it is of before the site was there.
        let copy = StoreData::default();
        assert_eq!(
            serving(&world, "/stream/x", "before", Some("b")).await,
            GATEWAYS
        );
        write_much(&world, 40);
        world.run_for(SECOND).await;
        world.store.restore(&copy);
        write_again(&mut world);
        world.run_for(6 * SECOND).await;
        let answer = world.request(1, "/stream/x", "after", Some("c")).await;
        assert_eq!(answer.code(), 200, "fenced: {fenced}");
        assert_eq!(world.orders_sharing_a_token(), None, "fenced: {fenced}");
    }
}

#[tokio::test(start_paused = true)]
async fn members_whose_entries_the_store_lost_are_entered_again() {
    let mut world = world().await;
    let copy = StoreData::default();
    world.store.restore(&copy);
    write_again(&mut world);
    world.run_for(2 * SECOND).await;
    for number in 1..=GATEWAYS {
        let key = format!("barleyspar/node/gateway-{number}");
        assert!(world.store.get(&key).is_some(), "gateway {number}");
    }
}

/// Asks all gateways four times, for 0.8 s; the requests that the runner got.
async fn asked_of(world: &World, runner: &str, id: &str) -> u64 {
    let before = world.runners[runner].request_count();
    for time in 0..4 {
        serving(world, "/plain/x", &format!("{id}-{time}"), None).await;
    }
    world.runners[runner].request_count() - before
}

#[tokio::test(start_paused = true)]
async fn a_runner_that_lives_is_used_again_though_its_entry_had_gone() {
    for writes in [true, false] {
        let world = world().await;
        let copy = world.store.backup();
        world.store.remove("runner/plain-1");
        world.run_for(SECOND).await;
        world.store.restore(&copy);
        world.run_for(SECOND).await;
        assert_eq!(asked_of(&world, "plain-1", "at first").await, 0);
        if writes {
            world.runners["plain-1"].publish_entry();
            world.run_for(SECOND).await;
        } else {
            world.run_for(10 * SECOND).await;
        }
        let used = asked_of(&world, "plain-1", "later").await;
        assert!(used > 0, "writes: {writes}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_zone_stays_evacuated_while_the_operators_write_that_again() {
    let mut world = world().await;
    world.start_runner_in_zone("far", "far-1", "plain", &[]);
    world.run_for(SECOND).await;
    let copy = world.store.backup();
    world.set_evacuated("zone", true);
    world.run_for(BOUND).await;
    world.store.restore(&copy);
    world.run_for(SECOND / 2).await;
    assert_eq!(asked_of(&world, "plain-1", "evacuated").await, 0);
    world.set_evacuated("zone", true);
    world.run_for(3 * SECOND).await;
    assert_eq!(asked_of(&world, "plain-1", "written again").await, 0);
    world.store.restore(&copy);
    world.run_for(4 * SECOND).await;
    assert!(asked_of(&world, "plain-1", "taken back").await > 0);
}
