//! Stores that come back from copies while gateways die, start and are cut off, runners
//! leave and the configuration changes.

use std::time::Duration;

use barleyspar_catalog::{Bounds, Order, RequestKind};
use barleyspar_standin::{StoreData, World, engine_service, plain_service, route};
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
const GATEWAYS: u8 = 5;
const SEEDS: u64 = 26;
/// Times that all is whole again within a run.
const ROUNDS: usize = 4;
/// Steps of a round; one thing changes in each.
const STEPS: usize = 8;
const STEP: Duration = Duration::from_millis(700);
/// Time after which all that was written must be in force.
const BOUND: Duration = Duration::from_secs(2);
/// Time within which only one gateway may order a runner that checks no fences.
const LEASE_DURATION: Duration = Duration::from_secs(3);
/// Time within which a model is loaded though the leader was lost: the end of a lease
/// that the store lost, the time without orders after it, and two loads.
const LOADED_WITHIN: Duration = Duration::from_secs(10);
const MODELS: [&str; 5] = ["a", "b", "c", "d", "e"];

struct Run {
    world: World,
    random: StdRng,
    running: Vec<u8>,
    copy: StoreData,
    routes: usize,
    runners: usize,
    left: Vec<String>,
    numbers: u64,
}

impl Run {
    async fn new(seed: u64, fenced: bool) -> Self {
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
        world.start_runner("engine-2", "engine", &["c"]);
        let bounds = |bounds: &mut Bounds| bounds.fencing_enforced = fenced;
        for number in 1..=GATEWAYS {
            world.start_gateway_with_bounds(number, bounds).await;
        }
        world.run_for(12 * SECOND).await;
        let copy = world.store.backup();
        Self {
            world,
            random: StdRng::seed_from_u64(seed),
            running: (1..=GATEWAYS).collect(),
            copy,
            routes: 0,
            runners: 3,
            left: Vec::new(),
            numbers: 0,
        }
    }

    async fn change(&mut self, fenced: bool) {
        match self.random.random_range(0..12) {
            0..2 => self.add_route(),
            2 => self.replace_runner(),
            3..5 => self.copy = self.world.store.backup(),
            5..7 => self.world.store.restore(&self.copy),
            7 => self.write_again(),
            8 => {
                let down = self.random.random_bool(0.5);
                self.world.store.set_down(down);
            }
            9 => {
                let gateway = World::gateway_host(self.random.random_range(1..=GATEWAYS));
                self.world.network.cut(gateway, World::store_host());
            }
            10 => self.world.network.heal(),
            _ => self.change_gateway(fenced).await,
        }
    }

    fn add_route(&mut self) {
        self.routes += 1;
        let path = format!("/added-{}/", self.routes);
        let added = route(&path, "plain", RequestKind::Idempotent);
        self.world
            .configure(|configuration| configuration.routes.push(added.into()));
    }

    /// A plain runner leaves, and another one comes. It says so in all its answers.
    fn replace_runner(&mut self) {
        self.runners += 1;
        let id = format!("plain-{}", self.runners);
        self.world.start_runner(&id, "plain", &[]);
        let leaving = format!("plain-{}", self.left.len() + 1);
        let runner = &self.world.runners[&leaving];
        runner.signal_draining();
        runner.drain();
        self.left.push(leaving);
    }

    async fn change_gateway(&mut self, fenced: bool) {
        let number = self.random.random_range(1..=GATEWAYS);
        if self.running.contains(&number) && self.running.len() > 2 {
            self.running.retain(|running| *running != number);
            self.world.kill_gateway(number);
        } else if !self.running.contains(&number) {
            self.start_gateway(number, fenced).await;
        }
    }

    async fn start_gateway(&mut self, number: u8, fenced: bool) {
        self.running.push(number);
        let bounds = |bounds: &mut Bounds| bounds.fencing_enforced = fenced;
        self.world.start_gateway_with_bounds(number, bounds).await;
    }

    /// The operators and the runners write again what they had written last.
    fn write_again(&mut self) {
        self.world.configure(|_| {});
        self.world
            .runners
            .values()
            .for_each(|runner| runner.publish_entry());
    }

    /// Asks running gateways for some models; some requests may fail.
    async fn ask_models(&mut self) {
        let asked = (0..3).map(|_| {
            self.numbers += 1;
            let id = format!("m{}", self.numbers);
            let gateway = self.running[self.random.random_range(0..self.running.len())];
            let model = MODELS[self.random.random_range(0..MODELS.len())];
            (id, gateway, model)
        });
        let asked: Vec<_> = asked.collect();
        let world = &self.world;
        let answers = asked.iter().map(|(id, gateway, model)| {
            world.request_with_deadline(*gateway, "/stream/x", id, Some(model), STEP)
        });
        join_all(answers).await;
    }

    /// All is whole again: what is written must be in force in time.
    async fn mend(&mut self, fenced: bool) {
        self.world.network.heal();
        self.world.store.set_down(false);
        for number in 1..=GATEWAYS {
            if !self.running.contains(&number) {
                self.start_gateway(number, fenced).await;
            }
        }
        self.write_again();
        self.world.run_for(BOUND).await;
    }

    /// Whether a caller that comes again each second is served by `model` in time.
    async fn is_served_within(&mut self, time: Duration, model: &str) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.numbers += 1;
            let id = format!("l{}", self.numbers);
            let answer = self.world.request(1, "/stream/x", &id, Some(model)).await;
            if answer.code() == 200 {
                return true;
            }
            self.world.run_for(SECOND).await;
        }
        false
    }

    /// What is not as it must be, all being whole.
    async fn faults(&mut self) -> Vec<String> {
        let mut faults = Vec::new();
        let left = |run: &Self| -> Vec<u64> {
            let arrivals = |id: &String| run.world.runners[id].request_count();
            run.left.iter().map(arrivals).collect()
        };
        let before = left(self);
        for number in 1..=GATEWAYS {
            for added in 0..=self.routes {
                let path = match added {
                    0 => "/plain/x".to_owned(),
                    added => format!("/added-{added}/x"),
                };
                self.numbers += 1;
                let id = format!("r{}", self.numbers);
                let code = self.world.request(number, &path, &id, None).await.code();
                if code != 200 {
                    faults.push(format!("gateway {number}, {path}: {code}"));
                }
            }
        }
        if before != left(self) {
            faults.push(format!(
                "{before:?}, then {:?} at leaving runners",
                left(self)
            ));
        }
        faults
    }

    /// Two orders of two holders at a runner without fences, too soon one after the other.
    fn orders_too_close(&self) -> Option<[(Instant, Order); 2]> {
        self.world.runners.values().find_map(|runner| {
            let orders = runner.timed_orders();
            let too_close = |pair: &&[(Instant, Order)]| {
                pair[0].1.holder != pair[1].1.holder && pair[1].0 - pair[0].0 < LEASE_DURATION
            };
            let pair = orders.windows(2).find(too_close)?;
            Some([pair[0].clone(), pair[1].clone()])
        })
    }
}

async fn run(seed: u64) {
    let fenced = seed.is_multiple_of(2);
    let mut run = Run::new(seed, fenced).await;
    for round in 0..ROUNDS {
        for _ in 0..STEPS {
            run.change(fenced).await;
            run.ask_models().await;
            run.world.run_for(STEP / 10).await;
        }
        run.mend(fenced).await;
        let faults = run.faults().await;
        assert!(faults.is_empty(), "seed {seed}, round {round}: {faults:?}");
        let shared = run.world.orders_sharing_a_token();
        assert_eq!(shared, None, "seed {seed}, round {round}");
        let close = run.orders_too_close().filter(|_| !fenced);
        assert_eq!(close, None, "seed {seed}, round {round}");
    }
    let served = run.is_served_within(LOADED_WITHIN, "e").await;
    assert!(served, "seed {seed}: a model is not loaded");
}

#[tokio::test(start_paused = true)]
async fn all_is_in_force_again_whatever_happens_beside_restored_stores() {
    for seed in 0..SEEDS {
        run(seed).await;
    }
}
