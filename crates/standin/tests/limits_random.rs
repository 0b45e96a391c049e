//! Runners that set and end limits at random while gateways die, start and are cut off.

use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{World, engine_service, plain_service, route};
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
const GATEWAYS: u8 = 6;
const SEEDS: u64 = 20;
/// Number of steps of a run; one thing changes in each.
const STEPS: usize = 30;
const STEP: Duration = Duration::from_millis(1500);
/// Number of requests in a step, half of them for models.
const REQUESTS: u32 = 30;
/// Length of the windows in which the calls to a runner are compared with its limit.
const WINDOW: Duration = Duration::from_secs(4);
/// Time within which all gateways that call a runner apply its limit.
const PROPAGATED_WITHIN: Duration = Duration::from_millis(500);
const LIMITS: [f64; 4] = [0.5, 1.0, 3.0, 8.0];
const MODELS: [&str; 5] = ["a", "b", "c", "d", "e"];

/// A period in which a runner advertised the same limit.
struct LimitPeriod {
    runner: String,
    per_second: f64,
    from: Instant,
    until: Option<Instant>,
}

/// A site under random changes, and the limits that its runners advertised since the start.
struct Run {
    world: World,
    random: StdRng,
    /// Numbers of the running gateways.
    running: Vec<u8>,
    limit_periods: Vec<LimitPeriod>,
    /// Number of requests sent so far, for their ids.
    sent_requests: u64,
}

impl Run {
    async fn new(seed: u64) -> Self {
        let mut world = World::new(
            vec![plain_service("plain"), engine_service("engine", &MODELS)],
            vec![
                route("/plain/", "plain", RequestKind::Idempotent),
                route("/stream/", "engine", RequestKind::Streaming),
            ],
        );
        for number in 1..=3 {
            world.start_runner(&format!("plain-{number}"), "plain", &[]);
        }
        world.start_runner("engine-1", "engine", &["a", "b"]);
        world.start_runner("engine-2", "engine", &["c", "d"]);
        world.start_runner("engine-3", "engine", &["e"]);
        world.start_gateways(1..=GATEWAYS).await;
        world.run_for(12 * SECOND).await;
        Self {
            world,
            random: StdRng::seed_from_u64(seed),
            running: (1..=GATEWAYS).collect(),
            limit_periods: Vec::new(),
            sent_requests: 0,
        }
    }

    /// Changes a runner's limit, kills or starts a gateway, or cuts or heals the network,
    /// chosen at random.
    async fn change(&mut self) {
        match self.random.random_range(0..10) {
            0..5 => self.change_limit(),
            5..7 => self.change_gateway().await,
            7 => {
                let pair = [(); 2].map(|()| self.random.random_range(1..=GATEWAYS));
                let [one, other] = pair.map(World::gateway_host);
                self.world.network.cut(one, other);
            }
            _ => self.world.network.heal(),
        }
    }

    fn change_limit(&mut self) {
        let ids: Vec<String> = self.world.runners.keys().cloned().collect();
        let id = ids[self.random.random_range(0..ids.len())].clone();
        let now = Instant::now();
        for period in &mut self.limit_periods {
            if period.runner == id {
                period.until.get_or_insert(now);
            }
        }
        let runner = &self.world.runners[&id];
        if self.random.random_bool(0.3) {
            return runner.advertise_limit(None);
        }
        let per_second = LIMITS[self.random.random_range(0..LIMITS.len())];
        runner.advertise_limit(Some(per_second));
        self.limit_periods.push(LimitPeriod {
            runner: id,
            per_second,
            from: now,
            until: None,
        });
    }

    async fn change_gateway(&mut self) {
        let number = self.random.random_range(1..=GATEWAYS);
        if self.running.contains(&number) && self.running.len() > 3 {
            self.running.retain(|running| *running != number);
            self.world.kill_gateway(number);
        } else if !self.running.contains(&number) {
            self.running.push(number);
            self.world.start_gateway(number).await;
        }
    }

    /// Sends the requests of a step to running gateways; some may fail.
    async fn send_requests(&mut self) {
        let started = Instant::now();
        let (world, running) = (&self.world, &self.running);
        let answers = (0..REQUESTS).map(|number| {
            self.sent_requests += 1;
            let id = format!("r{}", self.sent_requests);
            let gateway = running[self.random.random_range(0..running.len())];
            let model = MODELS[self.random.random_range(0..MODELS.len())];
            async move {
                tokio::time::sleep_until(started + STEP / REQUESTS * number).await;
                let (path, model) = if number.is_multiple_of(2) {
                    ("/plain/x", None)
                } else {
                    ("/stream/x", Some(model))
                };
                world.request(gateway, path, &id, model).await
            }
        });
        join_all(answers).await;
    }

    /// Describes the first period in which its runner got more calls in a window than allowed:
    /// half more than its limit, and five calls. `None` if there is none.
    fn exceeded_limit(&self) -> Option<String> {
        self.limit_periods.iter().find_map(|period| {
            let from = period.from + PROPAGATED_WITHIN;
            let until = period.until.unwrap_or_else(Instant::now);
            let calls = self.world.runners[&period.runner].calls();
            let times = calls.iter().map(|call| call.at);
            let times: Vec<Instant> = times.filter(|at| (from..until).contains(at)).collect();
            let calls_in_window = |begin: &Instant| {
                let window = *begin..*begin + WINDOW;
                times.iter().filter(|at| window.contains(at)).count()
            };
            let most = times.iter().map(calls_in_window).max().unwrap_or(0);
            let allowed = period.per_second * 1.5 * WINDOW.as_secs_f64() + 5.0;
            (most as f64 > allowed).then(|| {
                let (runner, limit) = (&period.runner, period.per_second);
                format!("{runner}, limit {limit}: {most} calls, {allowed} allowed")
            })
        })
    }
}

#[tokio::test(start_paused = true)]
async fn limits_hold_while_gateways_die_start_and_are_cut_off() {
    for seed in 0..SEEDS {
        let mut run = Run::new(seed).await;
        for _ in 0..STEPS {
            run.change().await;
            run.send_requests().await;
        }
        assert!(!run.limit_periods.is_empty());
        assert_eq!(run.exceeded_limit(), None, "seed {seed}");
    }
}
