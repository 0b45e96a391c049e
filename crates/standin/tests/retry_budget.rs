//! Repeated arrivals at the runners of a service stay within the retry budget of all gateways,
//! whatever delays them on their way.

use std::collections::BTreeSet;
use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{Cut, Fault, World, default_bounds, engine_service, plain_service, route};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
const GATEWAYS: u8 = 6;
const RUNNERS: usize = 8;
/// Time with traffic before the course begins: longer than a window.
const BEFORE: u64 = 12;
/// Time with traffic after the course has ended.
const AFTER: u64 = 11;

/// What runners do with the requests that they read.
#[derive(Debug, Clone, Copy)]
struct Failing {
    fault: Fault,
    streams: bool,
    /// Requests a second to each gateway.
    per_second: u32,
}

/// Ways of failing that make gateways repeat requests, at two loads.
fn ways_of_failing() -> Vec<Failing> {
    let faults = [
        (Fault::Reject, false),
        (Fault::NeverAnswer, false),
        (Fault::ResetAfterRun, false),
        (Fault::BreakStream(2), true),
    ];
    let at_rate = |per_second| {
        faults.map(|(fault, streams)| Failing {
            fault,
            streams,
            per_second,
        })
    };
    [at_rate(2), at_rate(10)].concat()
}

/// Something that begins at [`BEFORE`] and ends `lasts` seconds later.
struct Course {
    lasts: u64,
    begin: fn(&World),
    end: fn(&World),
}

async fn world(failing: Failing) -> World {
    let mut reads = route("/read/", "plain", RequestKind::Idempotent);
    reads.maximum_attempts = 3;
    let mut streams = route("/stream/", "engine", RequestKind::Streaming);
    streams.maximum_attempts = 3;
    let services = vec![plain_service("plain"), engine_service("engine", &["a"])];
    let mut world = World::new(services, vec![reads, streams]);
    for number in 1..=RUNNERS {
        if failing.streams {
            world.start_runner(&format!("engine-{number}"), "engine", &["a"]);
        } else {
            world.start_runner(&format!("plain-{number}"), "plain", &[]);
        }
    }
    world.start_gateways(1..=GATEWAYS).await;
    world.run_for(20 * SECOND).await;
    let runners = world.runners.values();
    runners.for_each(|runner| runner.set_fault(Some(failing.fault)));
    world
}

/// Largest number of repeated arrivals within a window, in parts of what the budget allows then.
async fn largest_share(failing: Failing, course: &Course) -> f64 {
    let world = world(failing).await;
    let (path, model) = match failing.streams {
        true => ("/stream/x", Some("a")),
        false => ("/read/x", None),
    };
    let mut sent = Vec::new();
    for step in 0..(BEFORE + course.lasts + AFTER) * u64::from(failing.per_second) {
        if step == BEFORE * u64::from(failing.per_second) {
            (course.begin)(&world);
        }
        if step == (BEFORE + course.lasts) * u64::from(failing.per_second) {
            (course.end)(&world);
        }
        for gateway in 1..=GATEWAYS {
            let id = format!("t-{step}-{gateway}");
            drop(world.spawn_request((gateway, path, model), &id));
            sent.push(Instant::now());
        }
        world.run_for(SECOND / failing.per_second).await;
    }
    world.run_for(15 * SECOND).await;
    largest_share_of(&repeated_arrivals(&world), &sent)
}

/// Times of the arrivals past the first of each request, in order.
fn repeated_arrivals(world: &World) -> Vec<Instant> {
    let calls = world.runners.values().flat_map(|runner| runner.calls());
    let mut arrivals: Vec<(Instant, u64)> = calls
        .filter(|call| call.is_request)
        .map(|call| (call.at, call.id))
        .collect();
    arrivals.sort();
    let mut seen = BTreeSet::new();
    let repeated = arrivals.into_iter().filter(|(_, id)| !seen.insert(*id));
    repeated.map(|(at, _)| at).collect()
}

fn largest_share_of(repeats: &[Instant], sent: &[Instant]) -> f64 {
    let bounds = default_bounds();
    let window = bounds.retry_window;
    let within = |times: &[Instant], start: Instant| {
        let is_within = |at: &&Instant| **at >= start && **at < start + window;
        times.iter().filter(is_within).count() as f64
    };
    let share_from = |start: &Instant| {
        let shifts = [Duration::ZERO, window / 2, window];
        let requests = shifts.map(|shift| within(sent, *start - shift));
        let most_requests = requests.into_iter().fold(0.0, f64::max);
        let allowed = bounds.retry_ratio * most_requests + bounds.retry_extra;
        within(repeats, *start) / allowed
    };
    repeats.iter().map(share_from).fold(0.0, f64::max)
}

/// Plays `course` with all ways of failing. Returns those beyond the budget, each with its share.
async fn beyond_budget(course: Course) -> Vec<(Failing, f64)> {
    let mut beyond = Vec::new();
    for failing in ways_of_failing() {
        let share = largest_share(failing, &course).await;
        if share > 1.0 {
            beyond.push((failing, share));
        }
    }
    beyond
}

fn set_paused(world: &World, count: usize, paused: bool) {
    let runners = world.runners.values().take(count);
    runners.for_each(|runner| runner.set_paused(paused));
}

/// A standstill of all runners for `lasts` seconds.
fn standstill(lasts: u64) -> Course {
    Course {
        lasts,
        begin: |world| set_paused(world, RUNNERS, true),
        end: |world| set_paused(world, RUNNERS, false),
    }
}

/// A standstill of half of the runners for `lasts` seconds.
fn half_standstill(lasts: u64) -> Course {
    Course {
        lasts,
        begin: |world| set_paused(world, RUNNERS / 2, true),
        end: |world| set_paused(world, RUNNERS / 2, false),
    }
}

macro_rules! assert_within_budget {
    ($course:expr) => {
        let beyond = beyond_budget($course).await;
        assert!(beyond.is_empty(), "{beyond:?}");
    };
}

#[tokio::test(start_paused = true)]
async fn repeats_at_runners_that_stood_still_for_one_window_arrive_within_the_budget() {
    assert_within_budget!(standstill(10));
}

#[tokio::test(start_paused = true)]
async fn repeats_at_runners_that_stood_still_for_two_windows_arrive_within_the_budget() {
    assert_within_budget!(standstill(22));
}

#[tokio::test(start_paused = true)]
async fn repeats_at_runners_that_stood_still_for_a_minute_arrive_within_the_budget() {
    assert_within_budget!(standstill(60));
}

#[tokio::test(start_paused = true)]
async fn first_tries_at_half_of_the_runners_that_arrive_after_their_repeats_are_within_the_budget()
{
    assert_within_budget!(half_standstill(22));
}

#[tokio::test(start_paused = true)]
async fn repeats_that_wait_for_silent_links_arrive_within_the_budget() {
    assert_within_budget!(Course {
        lasts: 22,
        begin: |world| {
            for gateway in 1..=GATEWAYS {
                for runner in world.runners.values() {
                    let hosts = (World::gateway_host(gateway), runner.address().ip());
                    world.network.cut_in_way(hosts.0, hosts.1, Cut::Silent);
                }
            }
        },
        end: |world| world.network.heal(),
    });
}

#[tokio::test(start_paused = true)]
async fn gateways_cut_off_from_one_another_and_the_store_repeat_within_the_budget() {
    assert_within_budget!(Course {
        lasts: 22,
        begin: |world| {
            for one in 1..=GATEWAYS {
                let host = World::gateway_host(one);
                world
                    .network
                    .cut_in_way(host, World::store_host(), Cut::Silent);
                for other in one + 1..=GATEWAYS {
                    let other = World::gateway_host(other);
                    world.network.cut_in_way(host, other, Cut::Silent);
                }
            }
        },
        end: |world| world.network.heal(),
    });
}

#[tokio::test(start_paused = true)]
async fn gateways_that_lost_all_others_repeat_within_the_budget_beside_the_one_that_is_left() {
    assert_within_budget!(Course {
        lasts: 40,
        begin: |world| {
            for one in 2..=GATEWAYS {
                let host = World::gateway_host(one);
                world
                    .network
                    .cut_in_way(host, World::store_host(), Cut::Silent);
                for other in 1..one {
                    let other = World::gateway_host(other);
                    world.network.cut_in_way(host, other, Cut::Silent);
                }
            }
        },
        end: |world| world.network.heal(),
    });
}

#[tokio::test(start_paused = true)]
async fn gateways_that_stood_still_repeat_within_the_budget() {
    assert_within_budget!(Course {
        lasts: 15,
        begin: |world| (1..=GATEWAYS / 2).for_each(|number| world.pause_gateway(number)),
        end: |world| (1..=GATEWAYS / 2).for_each(|number| world.resume_gateway(number)),
    });
}
