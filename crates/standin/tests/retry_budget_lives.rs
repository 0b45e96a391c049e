//! Repeated arrivals stay within the retry budget over all lives of gateways and all loads: what a
//! killed gateway sent, and what was sent under a load that is gone, arrive beside what is sent now.

mod repeats;

use std::collections::BTreeSet;

use barleyspar_standin::{Cut, World};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use repeats::{
    Failing, GATEWAYS, RUNNERS, SECOND, WAYS_OF_FAILING, largest_share_of, repeated_arrivals, world,
};

/// Something that is done to the site, or a change of its load.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Requests a second to each gateway, from the first to the last named, from now on.
    Load(u8, u8, u64),
    /// Runners begin to fail, or work again.
    Failing(bool),
    /// The first so many runners stand still.
    StandStill(usize),
    /// The entries of the first so many runners lapse.
    Lapse(usize),
    /// All runners go on, and write their entries.
    GoOn,
    /// Gateways, from the first to the last named, are killed.
    Kill(u8, u8),
    /// They start again.
    Start(u8, u8),
    /// Connections between gateways and runners are reset, and new ones refused, until `Heal`.
    ResetConnections,
    Heal,
}

use Step::{Failing as Fails, GoOn, Heal, Kill, Lapse, Load, ResetConnections, StandStill, Start};

/// What happens to a site, with the tenths of a second at which it does.
struct Course {
    name: String,
    steps: Vec<(u64, Step)>,
    lasts: u64,
}

fn course(name: &str, lasts: u64, steps: impl Into<Vec<(u64, Step)>>) -> Course {
    let (name, steps) = (name.to_owned(), steps.into());
    Course { name, steps, lasts }
}

/// A site on a course, with the requests that its clients have sent.
struct Play {
    world: World,
    failing: Failing,
    up: BTreeSet<u8>,
    /// Requests a second to each gateway.
    loads: [u64; GATEWAYS as usize],
    sent: Vec<Instant>,
}

impl Play {
    async fn new(failing: Failing) -> Self {
        Self {
            world: world(failing).await,
            failing,
            up: (1..=GATEWAYS).collect(),
            loads: [0; GATEWAYS as usize],
            sent: Vec::new(),
        }
    }

    async fn take(&mut self, step: Step) {
        match step {
            Load(first, last, load) => {
                self.loads[usize::from(first) - 1..usize::from(last)].fill(load);
            }
            Fails(fails) => self.failing.set(&self.world, fails),
            StandStill(count) => {
                let runners = self.world.runners.values().take(count);
                runners.for_each(|runner| runner.set_paused(true));
            }
            Lapse(count) => {
                for name in self.world.runners.keys().take(count) {
                    self.world.store.remove(&format!("runner/{name}"));
                }
            }
            GoOn => {
                for runner in self.world.runners.values() {
                    runner.set_paused(false);
                    runner.publish_entry();
                }
            }
            Kill(first, last) => {
                for number in first..=last {
                    self.up.remove(&number);
                    self.world.kill_gateway(number);
                }
            }
            Start(first, last) => {
                self.world.start_gateways(first..=last).await;
                self.up.extend(first..=last);
            }
            ResetConnections => {
                for number in 1..=GATEWAYS {
                    for runner in self.world.runners.values() {
                        let hosts = (World::gateway_host(number), runner.address().ip());
                        let network = &self.world.network;
                        network.cut_in_way(hosts.0, hosts.1, Cut::Reset);
                    }
                }
            }
            Heal => self.world.network.heal(),
        }
    }

    /// Sends what clients send in this tenth of a second.
    fn send(&mut self, tenth: u64) {
        let (path, model) = self.failing.target();
        for number in self.up.clone() {
            let load = self.loads[usize::from(number) - 1];
            let due = (tenth + 1) * load / 10 - tenth * load / 10;
            for _ in 0..due {
                let id = format!("t-{}", self.sent.len());
                drop(self.world.spawn_request((number, path, model), &id));
                self.sent.push(Instant::now());
            }
        }
    }
}

/// Largest number of repeated arrivals within a window, in parts of what the budget allows then.
async fn largest_share(failing: Failing, course: &Course) -> f64 {
    let mut play = Play::new(failing).await;
    for tenth in 0..course.lasts {
        for (_, step) in course.steps.iter().filter(|(at, _)| *at == tenth) {
            play.take(*step).await;
        }
        play.send(tenth);
        play.world.run_for(SECOND / 10).await;
    }
    play.world.run_for(15 * SECOND).await;
    largest_share_of(&repeated_arrivals(&play.world), &play.sent)
}

/// Plays the courses with all ways of failing. Returns those beyond the budget, with their shares.
async fn beyond_budget(courses: &[Course]) -> Vec<(&str, Failing, f64)> {
    let mut beyond = Vec::new();
    for course in courses {
        for failing in WAYS_OF_FAILING {
            let share = largest_share(failing, course).await;
            if share > 1.0 {
                beyond.push((course.name.as_str(), failing, share));
            }
        }
    }
    beyond
}

macro_rules! assert_within_budget {
    ($($course:expr),+ $(,)?) => {
        let courses = [$($course),+];
        let beyond = beyond_budget(&courses).await;
        assert!(beyond.is_empty(), "{beyond:#?}");
    };
}

/// Kills of all gateways, each followed by their start half a second later.
fn kills_of_all(times: impl Iterator<Item = u64>) -> Vec<(u64, Step)> {
    let kill = |at| [(at, Kill(1, GATEWAYS)), (at + 5, Start(1, GATEWAYS))];
    times.flat_map(kill).collect()
}

/// Kills of single gateways in turn, each followed by its start half a second later.
fn kills_in_turn(times: impl Iterator<Item = u64>) -> Vec<(u64, Step)> {
    let numbers = (1..=GATEWAYS).cycle();
    let kill = |(at, number)| [(at, Kill(number, number)), (at + 5, Start(number, number))];
    times.zip(numbers).flat_map(kill).collect()
}

#[tokio::test(start_paused = true)]
async fn repeats_of_gateways_killed_beside_failing_runners_arrive_within_the_budget() {
    let failing = |load| vec![(0, Load(1, GATEWAYS, load)), (200, Fails(true))];
    let once = [(210, Kill(1, GATEWAYS)), (225, Start(1, GATEWAYS))];
    let series = kills_of_all((210..330).step_by(30));
    let in_turn = kills_in_turn((215..275).step_by(10));
    assert_within_budget!(
        course(
            "all killed once",
            400,
            [failing(10), once.to_vec()].concat()
        ),
        course("all killed in series", 430, [failing(10), series].concat()),
        course("killed in turn", 400, [failing(30), in_turn].concat()),
    );
}

#[tokio::test(start_paused = true)]
async fn repeats_sent_under_a_load_that_is_gone_arrive_within_the_budget() {
    let standstill = |load, until, end| {
        [
            (0, Load(1, GATEWAYS, load)),
            (0, Fails(true)),
            (200, StandStill(RUNNERS)),
            (until, Load(1, GATEWAYS, 0)),
            (end, GoOn),
        ]
    };
    assert_within_budget!(
        course("a long standstill", 620, standstill(40, 250, 600)),
        course("a short standstill", 300, standstill(40, 205, 260)),
    );
}

#[tokio::test(start_paused = true)]
async fn repeats_under_a_load_that_comes_in_bursts_arrive_within_the_budget() {
    let bursts = [
        (150, Fails(true)),
        (199, Load(1, GATEWAYS, 100)),
        (204, Load(1, GATEWAYS, 0)),
        (299, Load(1, GATEWAYS, 100)),
        (304, Load(1, GATEWAYS, 0)),
    ];
    assert_within_budget!(course("a window apart", 400, bursts));
}

#[tokio::test(start_paused = true)]
async fn repeats_of_gateways_killed_beside_runners_that_stand_still_arrive_within_the_budget() {
    let standstill = |load, runners| {
        vec![
            (0, Load(1, GATEWAYS, load)),
            (0, Fails(true)),
            (200, StandStill(runners)),
            (750, GoOn),
        ]
    };
    let series = kills_of_all((330..720).step_by(130));
    let in_turn = kills_in_turn((220..670).step_by(25));
    assert_within_budget!(
        course(
            "all",
            900,
            [standstill(10, RUNNERS), series.clone()].concat()
        ),
        course("in turn", 900, [standstill(10, RUNNERS), in_turn].concat()),
        course("half", 900, [standstill(2, RUNNERS / 2), series].concat()),
    );
}

#[tokio::test(start_paused = true)]
async fn repeats_whose_connections_are_reset_before_a_runner_goes_on_arrive_within_the_budget() {
    let mut steps = vec![
        (0, Load(1, GATEWAYS, 10)),
        (0, Fails(true)),
        (200, StandStill(RUNNERS)),
        (520, GoOn),
    ];
    for at in (210..510).step_by(15) {
        steps.extend([(at, ResetConnections), (at + 2, Heal)]);
    }
    assert_within_budget!(course("resets in series", 650, steps));
}

#[tokio::test(start_paused = true)]
async fn repeats_at_runners_that_stood_still_for_minutes_arrive_within_the_budget() {
    let steps = [
        (0, Load(1, GATEWAYS, 4)),
        (0, Fails(true)),
        (200, StandStill(RUNNERS)),
        (1650, GoOn),
    ];
    assert_within_budget!(course("145 s", 1780, steps));
}

/// Half of the runners stand still, and their entries lapse; the others fail.
fn lapsed_standstill(load: u64, go_on: u64) -> Vec<(u64, Step)> {
    vec![
        (0, Load(1, GATEWAYS, load)),
        (150, Fails(true)),
        (200, StandStill(RUNNERS / 2)),
        (240, Lapse(RUNNERS / 2)),
        (go_on, GoOn),
    ]
}

#[tokio::test(start_paused = true)]
async fn repeats_of_gateways_killed_after_the_entries_of_runners_lapsed_arrive_within_the_budget() {
    let killed = kills_of_all([260, 390].into_iter());
    assert_within_budget!(
        course(
            "a low load",
            620,
            [lapsed_standstill(1, 520), killed.clone()].concat()
        ),
        course(
            "a high load",
            620,
            [lapsed_standstill(10, 520), killed].concat()
        ),
    );
}

#[tokio::test(start_paused = true)]
async fn repeats_at_runners_that_come_back_minutes_after_their_entries_lapsed_arrive_within_the_budget()
 {
    assert_within_budget!(course("145 s", 1780, lapsed_standstill(2, 1650)));
}

/// Number of random courses.
const SEEDS: u64 = 1;
/// Length of a random course in tenths of a second; all works again at its end.
const RANDOM_COURSE: u64 = 700;

/// One change at random.
fn random_step(random: &mut StdRng) -> Step {
    let first = random.random_range(1..=GATEWAYS);
    let last = random.random_range(first..=GATEWAYS);
    match random.random_range(0..12) {
        0..3 => Load(first, last, [0, 1, 5, 20, 40][random.random_range(0..5)]),
        3..5 => Fails(random.random_bool(0.7)),
        5 => StandStill(random.random_range(1..=RUNNERS)),
        6 => GoOn,
        7..11 => Kill(first, last),
        _ => ResetConnections,
    }
}

/// Changes at random times, each kill and each reset followed by its end.
fn random_course(seed: u64) -> Course {
    let mut random = StdRng::seed_from_u64(seed);
    let mut steps = vec![(0, Load(1, GATEWAYS, 10)), (0, Fails(true))];
    let mut at = 20;
    while at < RANDOM_COURSE {
        let step = random_step(&mut random);
        steps.push((at, step));
        match step {
            Kill(first, last) => steps.push((at + 5, Start(first, last))),
            ResetConnections => steps.push((at + 2, Heal)),
            _ => {}
        }
        at += random.random_range(5..40);
    }
    steps.push((RANDOM_COURSE + 50, GoOn));
    course(&format!("seed {seed}"), RANDOM_COURSE + 200, steps)
}

#[tokio::test(start_paused = true)]
async fn repeats_on_random_courses_of_lives_loads_and_standstills_arrive_within_the_budget() {
    for seed in 1..=SEEDS {
        let courses = [random_course(seed)];
        let beyond = beyond_budget(&courses).await;
        assert!(beyond.is_empty(), "{beyond:#?}");
    }
}
