//! Gateways whose copy of the store is old: what they say by it, and how soon it is current.

use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{Answer, Cut, World, plain_service, route};
use http::header::RETRY_AFTER;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
/// Time within which a change must be in force at all gateways.
const CHANGE_BOUND: Duration = Duration::from_secs(2);
/// Part of [`CHANGE_BOUND`] that a gateway may use of itself while the store answers it. The
/// rest is for what real machines add: shared processors, quotas, a busy store.
const USUAL_DELAY: Duration = Duration::from_millis(500);
const GATEWAYS: u8 = 8;
/// The gateway of which a test asks.
const ASKED: u8 = 3;

async fn world() -> World {
    let mut world = World::new(
        vec![plain_service("plain"), plain_service("other")],
        vec![
            route("/plain/", "plain", RequestKind::Idempotent),
            route("/moved/", "plain", RequestKind::Idempotent),
        ],
    );
    world.start_runner("plain-1", "plain", &[]);
    world.start_runner("other-1", "other", &[]);
    for number in 1..=GATEWAYS {
        world.start_gateway(number).await;
    }
    world.run_for(5 * SECOND).await;
    world
}

fn add_route(world: &mut World, path: &str) {
    let added = route(path, "plain", RequestKind::Idempotent);
    world.configure(|configuration| configuration.routes.push(added.into()));
}

/// Moves the route `/moved/` to the service `other`.
fn move_route(world: &mut World) {
    let moved = route("/moved/", "other", RequestKind::Idempotent);
    world.configure(|configuration| {
        configuration
            .routes
            .retain(|route| *route.path_prefix != *"/moved/");
        configuration.routes.push(moved.into());
    });
}

fn others(number: u8) -> impl Iterator<Item = u8> {
    (1..=GATEWAYS).filter(move |other| *other != number)
}

/// Cuts the gateway off from the store and from all other gateways.
fn cut_off(world: &World, number: u8) {
    let host = World::gateway_host(number);
    world.network.cut(host, World::store_host());
    for other in others(number) {
        world.network.cut(host, World::gateway_host(other));
    }
}

/// Cuts all gateways off from each other: all of them reach the store.
fn cut_gateways_apart(world: &World) {
    for number in 1..=GATEWAYS {
        for other in others(number) {
            let hosts = (World::gateway_host(number), World::gateway_host(other));
            world.network.cut_in_way(hosts.0, hosts.1, Cut::Silent);
        }
    }
}

async fn ask(world: &World, path: &str) -> Answer {
    world.request(ASKED, path, path, None).await
}

/// Returns after how long all gateways serve `path`, or panics after twice [`CHANGE_BOUND`].
async fn time_until_served(world: &World, path: &str) -> Duration {
    let start = Instant::now();
    for number in 1..=GATEWAYS {
        while world.request(number, path, path, None).await.code() != 200 {
            assert!(start.elapsed() < 2 * CHANGE_BOUND, "{path} at {number}");
            world.run_for(SECOND / 100).await;
        }
    }
    start.elapsed()
}

#[tokio::test(start_paused = true)]
async fn a_gateway_that_is_cut_off_does_not_say_that_an_added_route_is_not_there() {
    let mut world = world().await;
    cut_off(&world, ASKED);
    add_route(&mut world, "/added/");
    world.run_for(2 * CHANGE_BOUND).await;
    let answer = ask(&world, "/added/").await;
    assert_eq!(answer.code(), 503);
    assert!(answer.headers.contains_key(RETRY_AFTER));
    world.network.heal();
    let healed_at = Instant::now();
    loop {
        match ask(&world, "/added/").await.code() {
            200 => return,
            code => assert_eq!(code, 503),
        }
        assert!(healed_at.elapsed() < CHANGE_BOUND);
        world.run_for(SECOND / 50).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_gateway_that_is_cut_off_goes_on_serving_the_routes_that_it_knows() {
    let world = world().await;
    cut_off(&world, ASKED);
    world.run_for(2 * CHANGE_BOUND).await;
    for number in 0..20 {
        let started = Instant::now();
        let path = format!("/plain/{number}");
        assert_eq!(ask(&world, &path).await.code(), 200);
        assert!(started.elapsed() < SECOND / 2, "{:?}", started.elapsed());
    }
}

#[tokio::test(start_paused = true)]
async fn a_flood_of_unknown_paths_at_a_gateway_that_is_cut_off_makes_no_flood_of_calls() {
    let world = world().await;
    cut_off(&world, ASKED);
    world.run_for(2 * CHANGE_BOUND).await;
    // The store takes calls of the gateway again and leaves them unanswered.
    world.store.set_down(true);
    world.network.heal();
    for other in others(ASKED) {
        let hosts = (World::gateway_host(ASKED), World::gateway_host(other));
        world.network.cut(hosts.0, hosts.1);
    }
    let before = world.store.read_call_count();
    let asking = (0..500)
        .map(|number| world.spawn_request((ASKED, "/unknown/", None), &format!("flood-{number}")));
    for answer in asking.collect::<Vec<_>>() {
        assert_eq!(answer.await.expect("it ends").code(), 503);
    }
    let calls = world.store.read_call_count() - before;
    assert!(calls <= 2 * u64::from(GATEWAYS), "{calls} read calls");
}

#[tokio::test(start_paused = true)]
async fn a_gateway_that_stood_still_answers_by_what_is_in_force_now() {
    let mut world = world().await;
    world.pause_gateway(ASKED);
    add_route(&mut world, "/added/");
    move_route(&mut world);
    world.run_for(2 * CHANGE_BOUND).await;
    let added = world.spawn_request((ASKED, "/added/", None), "added");
    let moved = world.spawn_request((ASKED, "/moved/", None), "moved");
    world.run_for(SECOND / 10).await;
    world.resume_gateway(ASKED);
    assert_eq!(added.await.expect("it ends").code(), 200);
    assert_eq!(moved.await.expect("it ends").code(), 200);
    let runs = world.runners["other-1"].runs();
    assert!(runs.iter().any(|run| run.request_id == "moved"), "{runs:?}");
}

#[tokio::test(start_paused = true)]
async fn changes_come_from_the_store_at_once_while_all_peers_are_silent() {
    let mut world = world().await;
    cut_gateways_apart(&world);
    // The change by which the gateways find out that their parents are silent.
    add_route(&mut world, "/first/");
    time_until_served(&world, "/first/").await;
    for change in 0..12 {
        let path = format!("/added-{change}/");
        add_route(&mut world, &path);
        let took = time_until_served(&world, &path).await;
        assert!(took <= USUAL_DELAY, "{path} after {took:?}");
        world.run_for(SECOND * 73 / 100).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_is_in_force_in_time_although_peers_fall_silent_and_an_answer_is_lost() {
    for tenths in 0..10 {
        let mut world = world().await;
        world.run_for(SECOND * tenths / 10).await;
        cut_gateways_apart(&world);
        world.store.lose_read_answers(u32::from(GATEWAYS));
        add_route(&mut world, "/added/");
        let took = time_until_served(&world, "/added/").await;
        assert!(took <= CHANGE_BOUND, "{took:?} at {tenths} tenths");
    }
}
