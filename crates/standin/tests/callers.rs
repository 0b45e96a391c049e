//! Callers' credentials: who is served, who is refused, and until when one that
//! was taken away may be used, at gateways in touch and out of touch.

use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{Answer, World, engine_service, names, plain_service, route, tenant};

const SECOND: Duration = Duration::from_secs(1);
/// Time after which no gateway may serve under a credential that was taken away.
const REVOCATION: Duration = Duration::from_secs(5);
/// Time within which a change must be in force at gateways in touch.
const BOUND: Duration = Duration::from_secs(2);
const GATEWAYS: u8 = 4;

/// Gateways that are strict on revocation, before a plain runner and an engine
/// that holds no model yet.
async fn world() -> World {
    let mut open = route("/open/", "plain", RequestKind::Idempotent);
    open.public = true;
    let mut world = World::new(
        vec![plain_service("plain"), engine_service("engine", &["rare"])],
        vec![
            route("/plain/", "plain", RequestKind::Idempotent),
            route("/stream/", "engine", RequestKind::Streaming),
            open,
        ],
    );
    world.configure(|configuration| {
        configuration.tenants = vec![
            tenant("first", "secret-1").into(),
            tenant("second", "secret-2").into(),
        ];
    });
    world.start_runner("plain-1", "plain", &[]);
    world.start_runner("engine-1", "engine", &[]);
    for number in 1..=GATEWAYS {
        start(&mut world, number).await;
    }
    world.run_for(12 * SECOND).await;
    world
}

async fn start(world: &mut World, number: u8) {
    let strict = |bounds: &mut barleyspar_catalog::Bounds| bounds.revocation = Some(REVOCATION);
    world.start_gateway_with_bounds(number, strict).await;
}

async fn ask(world: &World, number: u8, id: &str, secret: &str) -> Answer {
    let extra = [(names::CREDENTIAL, secret)];
    world
        .request_with_headers(number, "/plain/x", id, None, &extra)
        .await
}

fn revoke_first(world: &mut World) {
    world.configure(|configuration| {
        configuration.tenants.remove(0);
    });
}

#[tokio::test(start_paused = true)]
async fn a_runner_is_told_the_tenant_and_not_the_secret() {
    let world = world().await;
    let forged = [
        (names::CREDENTIAL, "secret-2"),
        (names::TENANT, "first"),
        (names::RUNNER, "elsewhere"),
        (names::SIGNATURE, "forged"),
    ];
    let answer = world
        .request_with_headers(1, "/plain/x", "a", None, &forged)
        .await;
    assert_eq!(answer.code(), 200);
    let runs = world.runners["plain-1"].runs();
    let value = |name: &str| {
        runs[0]
            .headers
            .get(name)
            .map(|value| value.as_bytes().to_vec())
    };
    assert_eq!(value(names::TENANT), Some(b"second".to_vec()));
    assert_eq!(value(names::RUNNER), Some(b"plain-1".to_vec()));
    assert_eq!(value(names::CREDENTIAL), None);
    assert_eq!(value(names::SIGNATURE), None);
}

#[tokio::test(start_paused = true)]
async fn who_has_no_known_credential_is_refused_except_on_public_routes() {
    let world = world().await;
    assert_eq!(ask(&world, 1, "a", "secret-3").await.code(), 401);
    assert_eq!(world.request(1, "/plain/x", "b", None).await.code(), 401);
    assert_eq!(world.request(1, "/open/x", "c", None).await.code(), 200);
    assert_eq!((world.run_count("a"), world.run_count("b")), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn a_credential_taken_away_is_refused_everywhere_within_the_bound() {
    let mut world = world().await;
    revoke_first(&mut world);
    world.run_for(BOUND).await;
    for number in 1..=GATEWAYS {
        assert_eq!(ask(&world, number, "a", "secret-1").await.code(), 401);
        assert_eq!(ask(&world, number, "b", "secret-2").await.code(), 200);
    }
}

#[tokio::test(start_paused = true)]
async fn a_new_credential_is_served_within_the_bound() {
    let mut world = world().await;
    world.configure(|configuration| {
        configuration
            .tenants
            .push(tenant("third", "secret-3").into());
    });
    world.run_for(BOUND).await;
    for number in 1..=GATEWAYS {
        assert_eq!(ask(&world, number, "a", "secret-3").await.code(), 200);
    }
}

/// Whichever gateway hears neither the store nor any peer, it stops serving before
/// a credential that it does not know to be taken away must be dead.
#[tokio::test(start_paused = true)]
async fn a_gateway_that_is_cut_off_serves_nobody_once_its_knowledge_is_old() {
    for victim in 1..=GATEWAYS {
        let mut world = world().await;
        cut_off(&world, victim);
        revoke_first(&mut world);
        world.run_for(REVOCATION).await;
        let answer = ask(&world, victim, "late", "secret-1").await;
        assert_eq!(answer.code(), 503, "gateway {victim}");
        assert!(answer.headers.contains_key("retry-after"));
        assert_eq!(world.run_count("late"), 0);
        // It sends callers to others, and cannot tell who is unknown.
        assert_eq!(world.readiness_status(victim).await, 503);
        assert_eq!(ask(&world, victim, "who", "secret-9").await.code(), 503);
        assert_eq!(
            world.request(victim, "/open/x", "open", None).await.code(),
            200
        );
        world.network.heal();
        world.run_for(2 * BOUND).await;
        assert_eq!(ask(&world, victim, "again", "secret-1").await.code(), 401);
        assert_eq!(ask(&world, victim, "other", "secret-2").await.code(), 200);
        assert_eq!(world.readiness_status(victim).await, 200);
    }
}

fn cut_off(world: &World, victim: u8) {
    world
        .network
        .cut(World::gateway_host(victim), World::store_host());
    for other in (1..=GATEWAYS).filter(|other| *other != victim) {
        world
            .network
            .cut(World::gateway_host(victim), World::gateway_host(other));
    }
}

/// A gateway that the store refuses learns from its peers, and serves on.
#[tokio::test(start_paused = true)]
async fn a_gateway_that_only_the_store_refuses_serves_on() {
    for victim in 1..=GATEWAYS {
        let mut world = world().await;
        world.store.set_refused(World::gateway_host(victim), true);
        world.run_for(4 * SECOND).await;
        revoke_first(&mut world);
        world.run_for(REVOCATION).await;
        assert_eq!(ask(&world, victim, "a", "secret-1").await.code(), 401);
        assert_eq!(ask(&world, victim, "b", "secret-2").await.code(), 200);
    }
}

#[tokio::test(start_paused = true)]
async fn nobody_is_served_by_credentials_while_the_store_stays_down() {
    let mut world = world().await;
    revoke_first(&mut world);
    world.store.set_down(true);
    world.run_for(REVOCATION).await;
    for number in 1..=GATEWAYS {
        assert_eq!(ask(&world, number, "a", "secret-1").await.code(), 503);
        assert_eq!(ask(&world, number, "b", "secret-2").await.code(), 503);
    }
    world.store.set_down(false);
    world.run_for(BOUND).await;
    for number in 1..=GATEWAYS {
        assert_eq!(ask(&world, number, "c", "secret-2").await.code(), 200);
    }
}

/// What a gateway learns from a peer at its start is as old as it is there.
#[tokio::test(start_paused = true)]
async fn a_gateway_that_starts_while_the_store_is_down_takes_over_its_peers_age() {
    let mut world = world().await;
    world.store.set_down(true);
    world.run_for(REVOCATION - SECOND).await;
    world.kill_gateway(3);
    start(&mut world, 3).await;
    world.run_for(2 * SECOND).await;
    assert_eq!(ask(&world, 3, "late", "secret-1").await.code(), 503);
    assert_eq!(world.run_count("late"), 0);
}

/// A request that waits for a model is not sent under a credential that was taken
/// away meanwhile.
#[tokio::test(start_paused = true)]
async fn a_request_that_waited_is_checked_again_when_it_is_sent() {
    let world = world().await;
    let extra = [(names::CREDENTIAL, "secret-1")];
    let asked = world.request_with_headers(2, "/stream/x", "waits", Some("rare"), &extra);
    // The store takes the change before the model is there, one second later.
    let store = world.store.clone();
    let mut newer = world.configuration().clone();
    newer.version += 1;
    newer.tenants.remove(0);
    let revoke = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        store.put(names::CONFIGURATION_KEY, barleyspar_standin::encode(&newer));
    };
    let (answer, ()) = tokio::join!(asked, revoke);
    assert_eq!(answer.code(), 401);
    assert_eq!(world.run_count("waits"), 0);
}
