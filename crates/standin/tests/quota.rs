//! A tenant's limit over gateways that ask its owner.

use std::time::Duration;

use barleyspar_catalog::{Bounds, Quota, QuotaBounds, QuotaUnit, RequestKind};
use barleyspar_standin::{World, names, plain_service, route, tenant};

const SECOND: Duration = Duration::from_secs(1);
const GATEWAYS: u8 = 6;
/// Requests a second, and at once, that the tenant may send.
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

/// What became of requests sent one after the other.
#[derive(Default)]
struct Outcome {
    served: u32,
    limited: u32,
    other: u32,
}

/// Sends `rate` requests a second for `time` to `gateways` in turn.
async fn send(world: &World, rate: u32, time: Duration, gateways: &[u8], run: &str) -> Outcome {
    let mut outcome = Outcome::default();
    let pause = SECOND / rate;
    let begun = tokio::time::Instant::now();
    let mut asked = Vec::new();
    for number in 0..(time.as_secs_f64() * f64::from(rate)) as u32 {
        tokio::time::sleep_until(begun + pause * number).await;
        let gateway = gateways[number as usize % gateways.len()];
        let id = format!("{run}-{number}");
        asked.push(async move {
            let extra = [(names::CREDENTIAL, "secret-1")];
            world
                .request_with_headers(gateway, "/plain/x", &id, None, &extra)
                .await
        });
        if asked.len() == 10 {
            count(&mut outcome, std::mem::take(&mut asked)).await;
        }
    }
    count(&mut outcome, asked).await;
    outcome
}

async fn count(
    outcome: &mut Outcome,
    asked: Vec<impl Future<Output = barleyspar_standin::Answer>>,
) {
    for answer in futures_util::future::join_all(asked).await {
        match answer.code() {
            200 => outcome.served += 1,
            429 => {
                assert!(answer.headers.contains_key("retry-after"));
                outcome.limited += 1;
            }
            _ => outcome.other += 1,
        }
    }
}

/// Most that may be served in `time`.
fn most(time: Duration) -> u32 {
    ((RATE * time.as_secs_f64() + RATE) * (1.0 + OVERAGE)) as u32
}

fn all() -> Vec<u8> {
    (1..=GATEWAYS).collect()
}

#[tokio::test(start_paused = true)]
async fn a_tenant_within_its_limit_is_never_refused() {
    let world = world().await;
    // Uneven: half of it at one gateway.
    let outcome = send(&world, 15, WINDOW, &[1, 2, 1, 3, 1, 4], "a").await;
    assert_eq!((outcome.limited, outcome.other), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn a_tenant_over_its_limit_is_served_what_the_limit_allows() {
    let world = world().await;
    let outcome = send(&world, 80, WINDOW, &all(), "a").await;
    assert!(outcome.served <= most(WINDOW), "{}", outcome.served);
    assert!(
        f64::from(outcome.served) >= RATE * 8.0,
        "{}",
        outcome.served
    );
    assert_eq!(outcome.other, 0);
    let free = [(names::CREDENTIAL, "secret-2")];
    let answer = world
        .request_with_headers(1, "/plain/x", "free", None, &free)
        .await;
    assert_eq!(answer.code(), 200);
}

#[tokio::test(start_paused = true)]
async fn the_limit_holds_whichever_gateway_dies() {
    for victim in 1..=GATEWAYS {
        let mut world = world().await;
        let others: Vec<u8> = all()
            .into_iter()
            .filter(|number| *number != victim)
            .collect();
        let before = send(&world, 80, 3 * SECOND, &all(), "a").await;
        world.kill_gateway(victim);
        let after = send(&world, 80, 5 * SECOND, &others, "b").await;
        let served = before.served + after.served;
        assert!(served <= most(WINDOW), "gateway {victim}: {served}");
        assert!(
            f64::from(served) >= 0.7 * RATE * 8.0,
            "gateway {victim}: {served}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_gateway_cut_off_from_the_others_adds_nothing_beyond_the_limit() {
    for victim in 1..=GATEWAYS {
        let world = world().await;
        for other in all().into_iter().filter(|number| *number != victim) {
            world
                .network
                .cut(World::gateway_host(victim), World::gateway_host(other));
        }
        let outcome = send(&world, 80, WINDOW, &all(), "a").await;
        assert!(
            outcome.served <= most(WINDOW),
            "{victim}: {}",
            outcome.served
        );
        assert!(
            f64::from(outcome.served) >= 0.7 * RATE * 8.0,
            "{victim}: {}",
            outcome.served
        );
    }
}

#[tokio::test(start_paused = true)]
async fn what_did_not_run_does_not_count() {
    let world = world().await;
    for runner in world.runners.values() {
        runner.set_fault(Some(barleyspar_standin::Fault::Reject));
    }
    let refused = send(&world, 80, SECOND / 2, &[1], "a").await;
    assert_eq!(refused.served, 0);
    for runner in world.runners.values() {
        runner.set_fault(None);
    }
    world.run_for(SECOND / 2).await;
    let outcome = send(&world, 80, SECOND / 4, &[1], "b").await;
    assert_eq!(outcome.limited, 0);
}
