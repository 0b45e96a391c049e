//! Repeated arrivals at the runners of a service stay within the retry budget of all gateways,
//! whatever delays them on their way.

mod repeats;

use barleyspar_standin::{Cut, World};
use tokio::time::Instant;

use repeats::{
    Failing, GATEWAYS, RUNNERS, SECOND, WAYS_OF_FAILING, largest_share_of, repeated_arrivals, world,
};

/// Loads in requests a second to each gateway.
const LOADS: [u32; 2] = [2, 10];
/// Time with traffic before the course begins: longer than a window.
const BEFORE: u64 = 12;
/// Time with traffic after the course has ended.
const AFTER: u64 = 11;

/// Something that begins at [`BEFORE`] and ends `lasts` seconds later.
struct Course {
    lasts: u64,
    begin: fn(&World),
    end: fn(&World),
}

/// Largest number of repeated arrivals within a window, in parts of what the budget allows then.
async fn largest_share(failing: Failing, per_second: u32, course: &Course) -> f64 {
    let world = world(failing).await;
    failing.set(&world, true);
    let (path, model) = failing.target();
    let mut sent = Vec::new();
    for step in 0..(BEFORE + course.lasts + AFTER) * u64::from(per_second) {
        if step == BEFORE * u64::from(per_second) {
            (course.begin)(&world);
        }
        if step == (BEFORE + course.lasts) * u64::from(per_second) {
            (course.end)(&world);
        }
        for gateway in 1..=GATEWAYS {
            let id = format!("t-{step}-{gateway}");
            drop(world.spawn_request((gateway, path, model), &id));
            sent.push(Instant::now());
        }
        world.run_for(SECOND / per_second).await;
    }
    world.run_for(15 * SECOND).await;
    largest_share_of(&repeated_arrivals(&world), &sent)
}

/// Plays `course` with all ways of failing at all loads. Returns those beyond the budget, each with its share.
async fn beyond_budget(course: Course) -> Vec<(Failing, u32, f64)> {
    let mut beyond = Vec::new();
    for (failing, load) in WAYS_OF_FAILING
        .iter()
        .flat_map(|way| LOADS.map(|load| (*way, load)))
    {
        let share = largest_share(failing, load, &course).await;
        if share > 1.0 {
            beyond.push((failing, load, share));
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
