//! Parts of prompts that crash every runner which begins to answer a request with them. No two
//! requests with such a part are alike; sound ones share their other parts.

use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{Answer, CrashCourse, Run, World, engine_service, names, route};
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::{Instant, sleep_until};

const SECOND: Duration = Duration::from_secs(1);
const GATEWAYS: u8 = 6;
const RUNNERS: u8 = 9;
/// Part that begins the prompts of all requests.
const FIRST_PART: u64 = 1;
/// Parts that crash runners.
const DEADLY_PART: u64 = 666;
const OTHER_DEADLY_PART: u64 = 667;
/// Number of crashes after which requests with the part must soon reach no runner.
const CRASHES_ALLOWED: usize = 5;
/// Time from the last allowed crash within which all gateways must hold such requests.
const HELD_WITHIN: Duration = Duration::from_secs(3);
/// Number of such requests that may reach runners later.
const MAX_LATE_RUNS: usize = 3;
/// Time over which requests are sent.
const LOAD_TIME: Duration = Duration::from_secs(30);
const SEEDS: u64 = 8;
/// Number of courses of crashes that are drawn.
const COURSES: u64 = 12;

async fn world() -> World {
    world_with(CrashCourse::default()).await
}

/// Returns a running site whose runners crash by deadly parts on this course.
async fn world_with(course: CrashCourse) -> World {
    let mut world = World::new(
        vec![engine_service("engine", &["a", "b"])],
        vec![route("/stream/", "engine", RequestKind::Streaming)],
    );
    for number in 1..=RUNNERS {
        let runner = world.start_runner(&format!("engine-{number}"), "engine", &["a", "b"]);
        runner.crash_on_parts(&world.network, &[DEADLY_PART, OTHER_DEADLY_PART]);
        runner.set_crash_course(course);
    }
    world.start_gateways(1..=GATEWAYS).await;
    world.run_for(12 * SECOND).await;
    world
}

/// One request of a load.
struct Sent {
    at: Instant,
    is_deadly: bool,
    answer: Answer,
}

/// Returns the parts of the `number`th request that other requests may share. `deadly` is one
/// of them, if given, at any place but the first.
fn parts(number: u32, deadly: Option<u64>) -> String {
    let document = 100 + u64::from(number % 7);
    let section = 200 + u64::from(number % 11);
    let mut parts = vec![FIRST_PART, document, section];
    if let Some(deadly) = deadly {
        parts.insert(1 + number as usize % 3, deadly);
    }
    let parts: Vec<String> = parts.iter().map(u64::to_string).collect();
    parts.join(",")
}

/// Sends twelve sound requests and `deadly_per_second` deadly ones a second to the gateways in
/// turn, for [`LOAD_TIME`]. A client whose request fails sends it once more, to the next one.
async fn send_load(world: &World, deadly_per_second: u32, deadly: &[u64]) -> Vec<Sent> {
    send_load_for(world, LOAD_TIME, deadly_per_second, deadly).await
}

async fn send_load_for(
    world: &World,
    time: Duration,
    deadly_per_second: u32,
    deadly: &[u64],
) -> Vec<Sent> {
    let started = Instant::now();
    let seconds = time.as_secs() as u32;
    let send = |number: u32, per_second: u32, deadly: Option<u64>| async move {
        let at = started + SECOND / per_second * number;
        sleep_until(at).await;
        let kind = if deadly.is_some() { "deadly" } else { "sound" };
        let parts = parts(number, deadly);
        let mut first = None;
        for attempt in 0..2 {
            let gateway = ((number + attempt) % u32::from(GATEWAYS)) as u8 + 1;
            let id = format!("{kind}-{number}-{attempt}");
            let model = ["a", "b"][number as usize / 3 % 2];
            let extra = [(names::PARTS, parts.as_str())];
            let answer = world.request_with_headers(gateway, "/stream/x", &id, Some(model), &extra);
            let answer = answer.await;
            let is_served = answer.code() == 200 && answer.complete;
            first.get_or_insert(answer);
            if is_served {
                break;
            }
        }
        Sent {
            at,
            is_deadly: deadly.is_some(),
            answer: first.expect("each request is sent"),
        }
    };
    let sound = (0..12 * seconds).map(|number| send(number, 12, None));
    let deadly = (0..deadly_per_second * seconds).map(|number| {
        let part = deadly[number as usize % deadly.len()];
        send(number, deadly_per_second, Some(part))
    });
    let (mut sent, deadly) = tokio::join!(join_all(sound), join_all(deadly));
    sent.extend(deadly);
    sent
}

/// Number of runs of requests with a deadly part later than [`HELD_WITHIN`] allows.
fn late_runs(world: &World) -> usize {
    let Some(fifth) = world.crash_times().get(CRASHES_ALLOWED - 1).copied() else {
        return 0;
    };
    let runs = world.runners.values().flat_map(|runner| runner.runs());
    runs.filter(|run| run.request_id.starts_with("deadly"))
        .filter(|run| run.started_at > fifth + HELD_WITHIN)
        .count()
}

/// Number of runs of requests with `part` later than [`HELD_WITHIN`] allows after the crashes that
/// the part caused.
fn late_runs_with(world: &World, part: u64) -> usize {
    let crashes = world.crash_times_by(part);
    let Some(fifth) = crashes.get(CRASHES_ALLOWED - 1).copied() else {
        return 0;
    };
    let has_part = |run: &Run| {
        let ids = run
            .headers
            .get(names::PARTS)
            .and_then(|ids| ids.to_str().ok());
        let mut ids = ids.unwrap_or_default().split(',');
        ids.any(|id| id == part.to_string())
    };
    let runs = world.runners.values().flat_map(|runner| runner.runs());
    runs.filter(has_part)
        .filter(|run| run.started_at > fifth + HELD_WITHIN)
        .count()
}

fn assert_few_late_runs(world: &World, label: &str) {
    let (late, crashes) = (late_runs(world), world.crash_times().len());
    assert!(
        late <= MAX_LATE_RUNS,
        "{label}: {late} late runs, {crashes} crashes"
    );
}

/// Asserts that of the sound requests sent later than `from`, nine in ten are served at the first
/// try.
fn assert_sound_ones_served(sent: &[Sent], from: Instant, label: &str) {
    let sound = sent.iter().filter(|sent| !sent.is_deadly && sent.at > from);
    let served = |sent: &&Sent| sent.answer.code() == 200 && sent.answer.complete;
    let sound: Vec<&Sent> = sound.collect();
    let count = sound.iter().copied().filter(|sent| served(sent)).count();
    assert!(!sound.is_empty(), "{label}");
    assert!(
        10 * count >= 9 * sound.len(),
        "{label}: {count} of {}",
        sound.len()
    );
}

/// Time from which sound requests must be served as often as before: long after the last crash
/// that is allowed.
fn recovered_at(world: &World) -> Instant {
    let crashes = world.crash_times();
    crashes[crashes.len().min(CRASHES_ALLOWED) - 1] + 2 * HELD_WITHIN
}

#[tokio::test(start_paused = true)]
async fn requests_with_a_part_that_crashes_runners_are_soon_held() {
    for per_second in [1, 3] {
        let world = world().await;
        let sent = send_load(&world, per_second, &[DEADLY_PART]).await;
        let label = format!("{per_second} a second");
        assert_few_late_runs(&world, &label);
        assert_sound_ones_served(&sent, recovered_at(&world), &label);
    }
}

#[tokio::test(start_paused = true)]
async fn two_parts_that_crash_runners_are_both_soon_held() {
    let world = world().await;
    let sent = send_load(&world, 4, &[DEADLY_PART, OTHER_DEADLY_PART]).await;
    assert_few_late_runs(&world, "two parts");
    assert_sound_ones_served(&sent, recovered_at(&world), "two parts");
}

/// A part turns deadly after it was served for a while.
#[tokio::test(start_paused = true)]
async fn a_part_that_was_served_before_is_held_once_it_crashes_runners() {
    let world = world().await;
    send_load(&world, 1, &[300]).await;
    for runner in world.runners.values() {
        runner.crash_on_parts(&world.network, &[300]);
    }
    let sent = send_load(&world, 3, &[300]).await;
    assert_few_late_runs(&world, "served before");
    assert_sound_ones_served(&sent, recovered_at(&world), "served before");
}

/// Several runners crash at once, again and again, for reasons of their own.
#[tokio::test(start_paused = true)]
async fn parts_that_many_requests_share_are_not_held_for_unrelated_crashes() {
    let world = world().await;
    let started = Instant::now();
    let crashing = async {
        for round in 0..6 {
            world.run_for(2 * SECOND).await;
            let struck = (1..=RUNNERS).filter(|number| number % 3 == round % 3);
            let struck: Vec<_> = struck
                .map(|number| world.runners[&format!("engine-{number}")].clone())
                .collect();
            for runner in &struck {
                runner.crash(&world.network);
            }
            world.run_for(2 * SECOND).await;
            for runner in &struck {
                runner.restart(&world.network, &["a", "b"]);
                runner.publish_entry();
            }
        }
    };
    let (sent, ()) = tokio::join!(send_load(&world, 1, &[300]), crashing);
    let refused = sent.iter().filter(|sent| sent.answer.code() == 503).count();
    assert!(refused * 50 < sent.len(), "{refused} of {}", sent.len());
    assert_sound_ones_served(&sent, started + LOAD_TIME * 9 / 10, "afterwards");
}

/// Gateways die and start, and are cut off from each other, while requests with a deadly part
/// come steadily.
#[tokio::test(start_paused = true)]
async fn deadly_parts_are_held_while_gateways_die_start_and_are_cut_off() {
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut world = world().await;
        let mut running: Vec<u8> = (1..=GATEWAYS).collect();
        let mut known_at = None;
        for step in 0..150_u32 {
            let pick = |random: &mut StdRng| random.random_range(0..GATEWAYS) + 1;
            match random.random_range(0..16) {
                0 if running.len() > 3 => {
                    let number = running.swap_remove(random.random_range(0..running.len()));
                    world.kill_gateway(number);
                }
                1 => {
                    let number = pick(&mut random);
                    if !running.contains(&number) {
                        running.push(number);
                        world.start_gateway(number).await;
                    }
                }
                2 => {
                    let (one, other) = (pick(&mut random), pick(&mut random));
                    let hosts = [one, other].map(World::gateway_host);
                    world.network.cut(hosts[0], hosts[1]);
                }
                3 => world.network.heal(),
                _ => {}
            }
            let requests = (0..4_u32).map(|number| {
                let deadly = (number == 0).then_some(DEADLY_PART);
                let kind = if deadly.is_some() { "deadly" } else { "sound" };
                let gateway = running[random.random_range(0..running.len())];
                let (id, parts) = (
                    format!("{kind}-{step}-{number}"),
                    parts(4 * step + number, deadly),
                );
                let world = &world;
                async move {
                    let extra = [(names::PARTS, parts.as_str())];
                    let answer =
                        world.request_with_headers(gateway, "/stream/x", &id, Some("a"), &extra);
                    // The client gives up after half a second.
                    let _ = tokio::time::timeout(SECOND / 2, answer).await;
                }
            });
            join_all(requests).await;
            if known_at.is_none() && world.crash_times().len() >= CRASHES_ALLOWED {
                known_at = Some(Instant::now());
            }
        }
        assert!(
            known_at.is_some() || world.crash_times().len() > 1,
            "seed {seed}"
        );
        assert_few_late_runs(&world, &format!("seed {seed}"));
    }
}

/// Asserts that the parts are held, and sound requests served, if runners crash on this course.
async fn assert_held_on_course(course: CrashCourse, deadly_per_second: u32, deadly: &[u64]) {
    let world = world_with(course).await;
    let sent = send_load(&world, deadly_per_second, deadly).await;
    let label = format!("{deadly:?}, {deadly_per_second} a second, {course:?}");
    assert_few_late_runs(&world, &label);
    assert_sound_ones_served(&sent, recovered_at(&world), &label);
}

#[tokio::test(start_paused = true)]
async fn parts_that_crash_runners_before_the_head_of_an_answer_are_held() {
    for milliseconds in [0, 5, 40, 600] {
        let course = CrashCourse {
            answers: false,
            crash_after: Duration::from_millis(milliseconds),
            ..CrashCourse::default()
        };
        assert_held_on_course(course, 1, &[DEADLY_PART]).await;
        assert_held_on_course(course, 4, &[DEADLY_PART]).await;
    }
}

#[tokio::test(start_paused = true)]
async fn parts_that_crash_runners_after_some_events_are_held() {
    for milliseconds in [65, 100, 400] {
        let course = CrashCourse {
            crash_after: Duration::from_millis(milliseconds),
            ..CrashCourse::default()
        };
        assert_held_on_course(course, 1, &[DEADLY_PART]).await;
        assert_held_on_course(course, 4, &[DEADLY_PART]).await;
    }
}

#[tokio::test(start_paused = true)]
async fn two_parts_that_crash_all_runners_within_a_second_before_the_head_are_held() {
    for milliseconds in [0, 5, 40, 600] {
        let course = CrashCourse {
            answers: false,
            crash_after: Duration::from_millis(milliseconds),
            ..CrashCourse::default()
        };
        assert_held_on_course(course, 4, &[DEADLY_PART, OTHER_DEADLY_PART]).await;
    }
}

#[tokio::test(start_paused = true)]
async fn two_parts_that_crash_all_runners_within_a_second_after_some_events_are_held() {
    for milliseconds in [65, 100, 400] {
        let course = CrashCourse {
            crash_after: Duration::from_millis(milliseconds),
            ..CrashCourse::default()
        };
        assert_held_on_course(course, 4, &[DEADLY_PART, OTHER_DEADLY_PART]).await;
    }
}

#[tokio::test(start_paused = true)]
async fn parts_whose_runners_crash_soon_after_the_whole_answer_are_held() {
    let course = CrashCourse {
        crash_after: Duration::from_millis(1500),
        ..CrashCourse::default()
    };
    assert_held_on_course(course, 1, &[DEADLY_PART]).await;
}

/// The gateway leaves each silent runner before it crashes.
#[tokio::test(start_paused = true)]
async fn parts_of_requests_that_left_a_silent_runner_before_it_crashed_are_held() {
    let course = CrashCourse {
        answers: false,
        crash_after: Duration::from_millis(2500),
        ..CrashCourse::default()
    };
    assert_held_on_course(course, 1, &[DEADLY_PART]).await;
}

#[tokio::test(start_paused = true)]
async fn parts_are_held_though_the_crashed_runners_are_back_at_once() {
    let course = CrashCourse {
        restart_after: Duration::from_millis(3),
        ..CrashCourse::default()
    };
    assert_held_on_course(course, 1, &[DEADLY_PART]).await;
    assert_held_on_course(course, 4, &[DEADLY_PART, OTHER_DEADLY_PART]).await;
}

#[tokio::test(start_paused = true)]
async fn parts_that_crash_runners_on_any_course_are_held() {
    for seed in 0..COURSES {
        let mut random = StdRng::seed_from_u64(seed);
        let course = CrashCourse {
            answers: random.random(),
            crash_after: Duration::from_millis(random.random_range(0..2000)),
            restart_after: Duration::from_millis(random.random_range(3..4000)),
        };
        assert_held_on_course(course, random.random_range(1..4), &[DEADLY_PART]).await;
    }
}

/// Draws courses of crashes by these parts, which turn up while sound requests are served.
async fn assert_held_in_running_traffic(deadly: &[u64], seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let mut random = StdRng::seed_from_u64(seed);
        let course = CrashCourse {
            answers: random.random(),
            crash_after: Duration::from_millis(random.random_range(0..2500)),
            restart_after: Duration::from_millis(random.random_range(3..4000)),
        };
        let per_second = random.random_range(1..=4);
        let world = world_with(course).await;
        send_load_for(&world, 10 * SECOND, 0, &[]).await;
        let sent = send_load(&world, per_second, deadly).await;
        let label = format!("seed {seed}, {deadly:?}, {per_second} a second, {course:?}");
        for part in deadly {
            let late = late_runs_with(&world, *part);
            assert!(late <= MAX_LATE_RUNS, "{late} late runs of {part}: {label}");
        }
        assert_sound_ones_served(&sent, recovered_at(&world), &label);
    }
}

#[tokio::test(start_paused = true)]
async fn a_part_that_turns_up_in_running_traffic_is_held_on_any_course() {
    assert_held_in_running_traffic(&[DEADLY_PART], 0..COURSES).await;
}

#[tokio::test(start_paused = true)]
async fn two_parts_that_turn_up_in_running_traffic_are_held_on_any_course() {
    assert_held_in_running_traffic(&[DEADLY_PART, OTHER_DEADLY_PART], 0..COURSES).await;
}
