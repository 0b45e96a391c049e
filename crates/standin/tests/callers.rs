//! Callers' credentials: which requests are served and refused, and for how long a revoked
//! credential may still be used at gateways that can and cannot reach the store and peers.

use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{Answer, World, engine_service, names, plain_service, route, tenant};

const SECOND: Duration = Duration::from_secs(1);
/// Time after the revocation of a credential from which no gateway may serve it.
const REVOCATION: Duration = Duration::from_secs(5);
/// Time within which a change must be in force at gateways that reach the store or a peer.
const CHANGE_BOUND: Duration = Duration::from_secs(2);
const GATEWAYS: u8 = 4;

/// Gateways with a bound on revocation, a plain runner, and an engine with no model loaded.
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
        start_gateway(&mut world, number).await;
    }
    world.run_for(12 * SECOND).await;
    world
}

async fn start_gateway(world: &mut World, number: u8) {
    let strict =
        |bounds: &mut barleyspar_catalog::Bounds| bounds.revocation_time = Some(REVOCATION);
    world.start_gateway_with_bounds(number, strict).await;
}

async fn request(world: &World, number: u8, id: &str, secret: &str) -> Answer {
    let extra = [(names::CREDENTIAL, secret)];
    world
        .request_with_headers(number, "/plain/x", id, None, &extra)
        .await
}

fn revoke_first_tenant(world: &mut World) {
    world.configure(|configuration| {
        configuration.tenants.remove(0);
    });
}

#[tokio::test(start_paused = true)]
async fn a_runner_gets_the_tenant_and_not_the_secret() {
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
async fn callers_without_a_known_credential_are_refused_except_on_public_routes() {
    let world = world().await;
    assert_eq!(request(&world, 1, "a", "secret-3").await.code(), 401);
    assert_eq!(world.request(1, "/plain/x", "b", None).await.code(), 401);
    assert_eq!(world.request(1, "/open/x", "c", None).await.code(), 200);
    assert_eq!((world.run_count("a"), world.run_count("b")), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn a_revoked_credential_is_refused_everywhere_within_the_bound() {
    let mut world = world().await;
    revoke_first_tenant(&mut world);
    world.run_for(CHANGE_BOUND).await;
    for number in 1..=GATEWAYS {
        assert_eq!(request(&world, number, "a", "secret-1").await.code(), 401);
        assert_eq!(request(&world, number, "b", "secret-2").await.code(), 200);
    }
}

#[tokio::test(start_paused = true)]
async fn a_new_credential_is_accepted_within_the_bound() {
    let mut world = world().await;
    world.configure(|configuration| {
        configuration
            .tenants
            .push(tenant("third", "secret-3").into());
    });
    world.run_for(CHANGE_BOUND).await;
    for number in 1..=GATEWAYS {
        assert_eq!(request(&world, number, "a", "secret-3").await.code(), 200);
    }
}

/// A gateway that reaches neither the store nor a peer cannot learn of a revocation. It must
/// stop serving credentials before a revoked one may no longer be used.
#[tokio::test(start_paused = true)]
async fn a_gateway_with_a_stale_view_serves_no_credential() {
    for victim in 1..=GATEWAYS {
        let mut world = world().await;
        cut_off(&world, victim);
        revoke_first_tenant(&mut world);
        world.run_for(REVOCATION).await;
        let answer = request(&world, victim, "late", "secret-1").await;
        assert_eq!(answer.code(), 503, "gateway {victim}");
        assert!(answer.headers.contains_key("retry-after"));
        assert_eq!(world.run_count("late"), 0);
        // The cut-off gateway is not ready, and refuses an unknown credential in the same way
        // as a known one, as it cannot tell them apart.
        assert_eq!(world.readiness_status(victim).await, 503);
        assert_eq!(request(&world, victim, "who", "secret-9").await.code(), 503);
        assert_eq!(
            world.request(victim, "/open/x", "open", None).await.code(),
            200
        );
        world.network.heal();
        world.run_for(2 * CHANGE_BOUND).await;
        assert_eq!(
            request(&world, victim, "again", "secret-1").await.code(),
            401
        );
        assert_eq!(
            request(&world, victim, "other", "secret-2").await.code(),
            200
        );
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

/// A gateway that the store refuses learns of changes from its peers.
#[tokio::test(start_paused = true)]
async fn a_gateway_that_only_the_store_refuses_still_serves_credentials() {
    for victim in 1..=GATEWAYS {
        let mut world = world().await;
        world.store.set_refused(World::gateway_host(victim), true);
        world.run_for(4 * SECOND).await;
        revoke_first_tenant(&mut world);
        world.run_for(REVOCATION).await;
        assert_eq!(request(&world, victim, "a", "secret-1").await.code(), 401);
        assert_eq!(request(&world, victim, "b", "secret-2").await.code(), 200);
    }
}

#[tokio::test(start_paused = true)]
async fn no_credential_is_served_while_the_store_stays_down() {
    let mut world = world().await;
    revoke_first_tenant(&mut world);
    world.store.set_down(true);
    world.run_for(REVOCATION).await;
    for number in 1..=GATEWAYS {
        assert_eq!(request(&world, number, "a", "secret-1").await.code(), 503);
        assert_eq!(request(&world, number, "b", "secret-2").await.code(), 503);
    }
    world.store.set_down(false);
    world.run_for(CHANGE_BOUND).await;
    for number in 1..=GATEWAYS {
        assert_eq!(request(&world, number, "c", "secret-2").await.code(), 200);
    }
}

/// A starting gateway that copies its view from a peer must count it as old as the peer does,
/// or it would serve a revoked credential for too long.
#[tokio::test(start_paused = true)]
async fn a_gateway_that_copies_the_view_of_a_peer_takes_over_its_staleness() {
    let mut world = world().await;
    world.store.set_down(true);
    world.run_for(REVOCATION - SECOND).await;
    world.kill_gateway(3);
    start_gateway(&mut world, 3).await;
    world.run_for(2 * SECOND).await;
    assert_eq!(request(&world, 3, "late", "secret-1").await.code(), 503);
    assert_eq!(world.run_count("late"), 0);
}

/// The credential of a request that waits for a model can be revoked before the request is
/// sent; it must then be refused.
#[tokio::test(start_paused = true)]
async fn a_waiting_request_is_not_sent_under_a_revoked_credential() {
    let world = world().await;
    let extra = [(names::CREDENTIAL, "secret-1")];
    let answer = world.request_with_headers(2, "/stream/x", "waits", Some("rare"), &extra);
    // The credential is revoked while the model is being loaded, which takes one second.
    let store = world.store.clone();
    let mut newer = world.configuration().clone();
    newer.version += 1;
    newer.tenants.remove(0);
    let revoke = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        store.put(names::CONFIGURATION_KEY, barleyspar_standin::encode(&newer));
    };
    let (answer, ()) = tokio::join!(answer, revoke);
    assert_eq!(answer.code(), 401);
    assert_eq!(world.run_count("waits"), 0);
}
