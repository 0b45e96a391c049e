//! A store that is restored from a backup: changes that it acknowledged since the backup are
//! lost, and their revision numbers are used again.

use std::time::Duration;

use barleyspar_catalog::{Bounds, RequestKind};
use barleyspar_standin::{StoreData, World, engine_service, plain_service, route};

const SECOND: Duration = Duration::from_secs(1);
/// Time within which a change must be in force at all gateways.
const CHANGE_BOUND: Duration = Duration::from_secs(2);
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

/// Makes `changes` changes to the store under a key that gateways do not use.
fn write_unused_key(world: &World, changes: usize) {
    for number in 0..changes {
        let value = number.to_string().into_bytes();
        world.store.put("elsewhere", value.into());
    }
}

/// Has the operators and the runners write the configuration and the entries again.
fn rewrite_all(world: &mut World) {
    world.configure(|_| {});
    world
        .runners
        .values()
        .for_each(|runner| runner.publish_entry());
}

/// Takes a backup and then makes `changes`, which a restore from the backup loses.
async fn backup_before_changes(world: &World, changes: usize) -> StoreData {
    let backup = world.store.backup();
    write_unused_key(world, changes);
    world.run_for(SECOND).await;
    backup
}

/// Sends a request to each gateway. Returns the number of gateways that serve it.
async fn serving_gateways(world: &World, path: &str, id: &str, model: Option<&str>) -> u8 {
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
async fn a_change_after_a_restore_is_in_force_in_time() {
    let mut world = world().await;
    for restore in 1..=2 {
        let backup = backup_before_changes(&world, 40).await;
        world.store.restore(&backup);
        rewrite_all(&mut world);
        let path = format!("/added-{restore}/");
        add_route(&mut world, &path);
        world.run_for(CHANGE_BOUND).await;
        let served = serving_gateways(&world, &path, &path, None).await;
        assert_eq!(served, GATEWAYS, "restore {restore}");
    }
}

#[tokio::test(start_paused = true)]
async fn changes_under_reused_revision_numbers_are_not_missed() {
    let mut world = world().await;
    let backup = backup_before_changes(&world, 40).await;
    for number in 1..=GATEWAYS {
        world
            .network
            .cut(World::gateway_host(number), World::store_host());
    }
    world.run_for(SECOND).await;
    world.store.restore(&backup);
    rewrite_all(&mut world);
    add_route(&mut world, "/added/");
    world.runners["plain-1"].drain();
    // These changes raise the store's revision number above the one that the gateways know from
    // before the restore, so the number does not show that the store was restored.
    write_unused_key(&world, 80);
    world.network.heal();
    world.run_for(CHANGE_BOUND).await;
    let before = world.runners["plain-1"].request_count();
    for time in 0..10 {
        let id = format!("added-{time}");
        assert_eq!(
            serving_gateways(&world, "/added/x", &id, None).await,
            GATEWAYS
        );
    }
    assert_eq!(world.runners["plain-1"].request_count(), before);
}

#[tokio::test(start_paused = true)]
async fn a_restored_store_is_read_few_times() {
    let mut world = world().await;
    let backup = backup_before_changes(&world, 40).await;
    let before = world.store.read_call_count();
    world.store.restore(&backup);
    rewrite_all(&mut world);
    world.run_for(3 * SECOND).await;
    let read_calls = world.store.read_call_count() - before;
    assert!(
        read_calls <= 12 * u64::from(GATEWAYS),
        "{read_calls} read calls"
    );
}

#[tokio::test(start_paused = true)]
async fn a_restarted_gateway_serves_a_route_that_a_restore_lost() {
    let mut world = world().await;
    let backup = world.store.backup();
    add_route(&mut world, "/added/");
    world.run_for(CHANGE_BOUND).await;
    world.store.restore(&backup);
    world.run_for(SECOND / 2).await;
    assert_eq!(
        serving_gateways(&world, "/added/x", "kept", None).await,
        GATEWAYS
    );
    world.kill_gateway(1);
    world.start_gateway(1).await;
    world.run_for(SECOND).await;
    assert_eq!(
        serving_gateways(&world, "/added/x", "started", None).await,
        GATEWAYS
    );
}

#[tokio::test(start_paused = true)]
async fn a_runner_that_left_before_a_restore_gets_no_requests() {
    for drains in [true, false] {
        let world = world().await;
        let backup = world.store.backup();
        let runner = &world.runners["plain-1"];
        if drains {
            runner.drain();
            world.run_for(SECOND).await;
        }
        world.store.remove("runner/plain-1");
        world.run_for(SECOND).await;
        world.store.restore(&backup);
        world.run_for(SECOND / 2).await;
        let before = runner.request_count();
        for time in 0..10 {
            let id = format!("after-{time}");
            assert_eq!(
                serving_gateways(&world, "/plain/x", &id, None).await,
                GATEWAYS
            );
        }
        assert_eq!(runner.request_count(), before, "drains: {drains}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_runner_missing_in_the_backup_is_used_while_it_writes_its_entry_again() {
    let mut world = World::new(
        vec![plain_service("plain")],
        vec![route("/plain/", "plain", RequestKind::Idempotent)],
    );
    world.start_gateways(1..=GATEWAYS).await;
    world.run_for(12 * SECOND).await;
    let backup = world.store.backup();
    world.start_runner("plain-1", "plain", &[]);
    world.run_for(SECOND).await;
    world.store.restore(&backup);
    world.run_for(SECOND).await;
    assert_eq!(
        serving_gateways(&world, "/plain/x", "lacked", None).await,
        GATEWAYS
    );
    world.runners["plain-1"].publish_entry();
    world.run_for(3 * SECOND).await;
    assert_eq!(
        serving_gateways(&world, "/plain/x", "back", None).await,
        GATEWAYS
    );
    // A runner that does not write its entry again gets no more requests.
    world.store.restore(&StoreData::default());
    world.run_for(4 * SECOND).await;
    assert_eq!(serving_gateways(&world, "/plain/x", "gone", None).await, 0);
}

#[tokio::test(start_paused = true)]
async fn models_are_loaded_soon_after_a_restore_lost_the_leader() {
    for fenced in [true, false] {
        let mut world = world_with(|bounds| bounds.fencing_enforced = fenced).await;
        // The backup is empty, so it has no leader.
        let backup = StoreData::default();
        assert_eq!(
            serving_gateways(&world, "/stream/x", "before", Some("b")).await,
            GATEWAYS
        );
        write_unused_key(&world, 40);
        world.run_for(SECOND).await;
        world.store.restore(&backup);
        rewrite_all(&mut world);
        world.run_for(6 * SECOND).await;
        let answer = world.request(1, "/stream/x", "after", Some("c")).await;
        assert_eq!(answer.code(), 200, "fenced: {fenced}");
        assert_eq!(world.orders_sharing_a_token(), None, "fenced: {fenced}");
    }
}

#[tokio::test(start_paused = true)]
async fn gateways_write_their_entries_again_after_a_restore() {
    let mut world = world().await;
    let backup = StoreData::default();
    world.store.restore(&backup);
    rewrite_all(&mut world);
    world.run_for(2 * SECOND).await;
    for number in 1..=GATEWAYS {
        let key = format!("barleyspar/node/gateway-{number}");
        assert!(world.store.get(&key).is_some(), "gateway {number}");
    }
}

/// Sends four requests to each gateway, which takes 0.8 s. Returns the number of requests that
/// the runner got.
async fn requests_to(world: &World, runner: &str, id: &str) -> u64 {
    let count_before = world.runners[runner].request_count();
    for time in 0..4 {
        serving_gateways(world, "/plain/x", &format!("{id}-{time}"), None).await;
    }
    world.runners[runner].request_count() - count_before
}

#[tokio::test(start_paused = true)]
async fn a_live_runner_is_used_again_after_a_restore_of_its_removed_entry() {
    for rewrites_entry in [true, false] {
        let world = world().await;
        let backup = world.store.backup();
        world.store.remove("runner/plain-1");
        world.run_for(SECOND).await;
        world.store.restore(&backup);
        world.run_for(SECOND).await;
        assert_eq!(requests_to(&world, "plain-1", "at first").await, 0);
        if rewrites_entry {
            world.runners["plain-1"].publish_entry();
            world.run_for(SECOND).await;
        } else {
            world.run_for(10 * SECOND).await;
        }
        let used = requests_to(&world, "plain-1", "later").await;
        assert!(used > 0, "rewrites entry: {rewrites_entry}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_zone_stays_evacuated_while_operators_write_a_lost_evacuation_again() {
    let mut world = world().await;
    world.start_runner_in_zone("far", "far-1", "plain", &[]);
    world.run_for(SECOND).await;
    let backup = world.store.backup();
    world.set_evacuated("zone", true);
    world.run_for(CHANGE_BOUND).await;
    world.store.restore(&backup);
    world.run_for(SECOND / 2).await;
    assert_eq!(requests_to(&world, "plain-1", "evacuated").await, 0);
    world.set_evacuated("zone", true);
    world.run_for(3 * SECOND).await;
    assert_eq!(requests_to(&world, "plain-1", "written again").await, 0);
    world.store.restore(&backup);
    world.run_for(4 * SECOND).await;
    assert!(requests_to(&world, "plain-1", "taken back").await > 0);
}
