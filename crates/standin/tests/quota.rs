//! A tenant's quota, which a limit owner counts for all gateways.

use std::time::Duration;

use barleyspar_catalog::{Bounds, Quota, QuotaBounds, QuotaUnit, RequestKind};
use barleyspar_standin::{World, names, plain_service, route, tenant};

const SECOND: Duration = Duration::from_secs(1);
const GATEWAYS: u8 = 6;
/// Quota of the tenant, in requests per second; also its burst, in requests.
const RATE: f64 = 20.0;
const WINDOW: Duration = Duration::from_secs(8);
const OVERAGE: f64 = 0.1;

fn set_bounds(bounds: &mut Bounds) {
    bounds.quota = QuotaBounds {
        window: WINDOW,
        overage: OVERAGE,
        tolerance: 0.0,
    };
}

async fn world() -> World {
    let mut world = World::new(
        vec![plain_service("plain")],
        vec![route("/plain/", "plain", RequestKind::Idempotent)],
    );
    world.configure(|configuration| {
        let mut limited = tenant("limited", "secret-1");
        limited.quota = Some(Quota {
            unit: QuotaUnit::Requests,
            per_second: RATE,
            burst: RATE,
        });
        let free = tenant("free", "secret-2");
        configuration.tenants = vec![limited.into(), free.into()];
    });
    for number in 1..=3 {
        world.start_runner(&format!("plain-{number}"), "plain", &[]);
    }
    for number in 1..=GATEWAYS {
        world.start_gateway_with_bounds(number, set_bounds).await;
    }
    world.run_for(12 * SECOND).await;
    world
}

/// Number of requests that were served, refused for the quota, or answered otherwise.
#[derive(Default)]
struct ResultCounts {
    served: u32,
    /// Number of requests refused with status 429, as the tenant's quota was used up.
    limited: u32,
    other: u32,
}

/// Sends `rate` requests per second of the limited tenant for `time` to `gateways` in turn.
/// The request ids start with `run`. Returns the counts of the results.
async fn send_load(
    world: &World,
    rate: u32,
    time: Duration,
    gateways: &[u8],
    run: &str,
) -> ResultCounts {
    let mut counts = ResultCounts::default();
    let pause = SECOND / rate;
    let started = tokio::time::Instant::now();
    let mut pending = Vec::new();
    for number in 0..(time.as_secs_f64() * f64::from(rate)) as u32 {
        tokio::time::sleep_until(started + pause * number).await;
        let gateway = gateways[number as usize % gateways.len()];
        let id = format!("{run}-{number}");
        pending.push(async move {
            let extra = [(names::CREDENTIAL, "secret-1")];
            world
                .request_with_headers(gateway, "/plain/x", &id, None, &extra)
                .await
        });
        if pending.len() == 10 {
            count(&mut counts, std::mem::take(&mut pending)).await;
        }
    }
    count(&mut counts, pending).await;
    counts
}

/// Waits for the answers and adds their results to `counts`.
async fn count(
    counts: &mut ResultCounts,
    pending: Vec<impl Future<Output = barleyspar_standin::Answer>>,
) {
    for answer in futures_util::future::join_all(pending).await {
        match answer.code() {
            200 => counts.served += 1,
            429 => {
                assert!(answer.headers.contains_key("retry-after"));
                counts.limited += 1;
            }
            _ => counts.other += 1,
        }
    }
}

/// Maximum number of requests that may be served in `time`.
fn max_served(time: Duration) -> u32 {
    ((RATE * time.as_secs_f64() + RATE) * (1.0 + OVERAGE)) as u32
}

fn all_gateways() -> Vec<u8> {
    (1..=GATEWAYS).collect()
}

#[tokio::test(start_paused = true)]
async fn a_tenant_within_its_quota_is_never_refused() {
    let world = world().await;
    // An uneven load: half of it goes to one gateway.
    let counts = send_load(&world, 15, WINDOW, &[1, 2, 1, 3, 1, 4], "a").await;
    assert_eq!((counts.limited, counts.other), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn a_tenant_over_its_quota_is_served_what_the_quota_allows() {
    let world = world().await;
    let counts = send_load(&world, 80, WINDOW, &all_gateways(), "a").await;
    assert!(counts.served <= max_served(WINDOW), "{}", counts.served);
    assert!(f64::from(counts.served) >= RATE * 8.0, "{}", counts.served);
    assert_eq!(counts.other, 0);
    let free = [(names::CREDENTIAL, "secret-2")];
    let answer = world
        .request_with_headers(1, "/plain/x", "free", None, &free)
        .await;
    assert_eq!(answer.code(), 200);
}

#[tokio::test(start_paused = true)]
async fn the_quota_holds_whichever_gateway_dies() {
    for victim in 1..=GATEWAYS {
        let mut world = world().await;
        let others: Vec<u8> = all_gateways()
            .into_iter()
            .filter(|number| *number != victim)
            .collect();
        let before = send_load(&world, 80, 3 * SECOND, &all_gateways(), "a").await;
        world.kill_gateway(victim);
        let after = send_load(&world, 80, 5 * SECOND, &others, "b").await;
        let served = before.served + after.served;
        assert!(served <= max_served(WINDOW), "gateway {victim}: {served}");
        assert!(
            f64::from(served) >= 0.7 * RATE * 8.0,
            "gateway {victim}: {served}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_gateway_cut_off_from_the_others_does_not_exceed_the_quota() {
    for victim in 1..=GATEWAYS {
        let world = world().await;
        for other in all_gateways()
            .into_iter()
            .filter(|number| *number != victim)
        {
            world
                .network
                .cut(World::gateway_host(victim), World::gateway_host(other));
        }
        let counts = send_load(&world, 80, WINDOW, &all_gateways(), "a").await;
        assert!(
            counts.served <= max_served(WINDOW),
            "{victim}: {}",
            counts.served
        );
        assert!(
            f64::from(counts.served) >= 0.7 * RATE * 8.0,
            "{victim}: {}",
            counts.served
        );
    }
}

#[tokio::test(start_paused = true)]
async fn requests_that_did_not_run_do_not_count_against_the_quota() {
    let world = world().await;
    for runner in world.runners.values() {
        runner.set_fault(Some(barleyspar_standin::Fault::Reject));
    }
    let rejected = send_load(&world, 80, SECOND / 2, &[1], "a").await;
    assert_eq!(rejected.served, 0);
    for runner in world.runners.values() {
        runner.set_fault(None);
    }
    world.run_for(SECOND / 2).await;
    let counts = send_load(&world, 80, SECOND / 4, &[1], "b").await;
    assert_eq!(counts.limited, 0);
}
