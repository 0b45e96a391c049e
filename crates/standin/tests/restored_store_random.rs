//! Random runs: the store is restored from backups while gateways die, start and are cut off,
//! runners drain and the configuration changes.

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
/// Number of rounds of a run; at the end of each, all faults end and all changes are checked.
const ROUNDS: usize = 4;
/// Number of steps of a round; one thing changes in each.
const STEPS: usize = 8;
const STEP: Duration = Duration::from_millis(700);
/// Time within which a change must be in force at all gateways.
const CHANGE_BOUND: Duration = Duration::from_secs(2);
/// Time within which only one gateway may send orders to a runner that checks no fencing
/// tokens.
const LEASE_DURATION: Duration = Duration::from_secs(3);
/// Time within which a model is loaded although the leader was lost: the end of a lease that
/// the store lost, the time without orders after it, and two loads.
const LOADED_WITHIN: Duration = Duration::from_secs(10);
const MODELS: [&str; 5] = ["a", "b", "c", "d", "e"];

/// A site under random changes, and what the test needs to know of them for its checks.
struct Run {
    world: World,
    random: StdRng,
    /// Numbers of the running gateways.
    running: Vec<u8>,
    /// Backup from which the store is restored next.
    backup: StoreData,
    /// Number of routes added so far.
    added_routes: usize,
    /// Number of plain runners started so far.
    started_runners: usize,
    /// Names of runners that drain.
    drained: Vec<String>,
    /// Number of requests sent so far, for their ids.
    sent_requests: u64,
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
        let backup = world.store.backup();
        Self {
            world,
            random: StdRng::seed_from_u64(seed),
            running: (1..=GATEWAYS).collect(),
            backup,
            added_routes: 0,
            started_runners: 3,
            drained: Vec::new(),
            sent_requests: 0,
        }
    }

    /// Makes one change, chosen at random: adds a route, replaces a runner, backs up, restores
    /// or rewrites the store, sets whether it is down, cuts a gateway off from it, heals the
    /// network, or kills or starts a gateway.
    async fn change(&mut self, fenced: bool) {
        match self.random.random_range(0..12) {
            0..2 => self.add_route(),
            2 => self.replace_runner(),
            3..5 => self.backup = self.world.store.backup(),
            5..7 => self.world.store.restore(&self.backup),
            7 => self.rewrite_all(),
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
        self.added_routes += 1;
        let path = format!("/added-{}/", self.added_routes);
        let added = route(&path, "plain", RequestKind::Idempotent);
        self.world
            .configure(|configuration| configuration.routes.push(added.into()));
    }

    /// Starts a plain runner and drains another one, which signals that in all its answers.
    fn replace_runner(&mut self) {
        self.started_runners += 1;
        let id = format!("plain-{}", self.started_runners);
        self.world.start_runner(&id, "plain", &[]);
        let draining = format!("plain-{}", self.drained.len() + 1);
        let runner = &self.world.runners[&draining];
        runner.signal_draining();
        runner.drain();
        self.drained.push(draining);
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

    /// Has the operators and the runners write the configuration and the entries again.
    fn rewrite_all(&mut self) {
        self.world.configure(|_| {});
        self.world
            .runners
            .values()
            .for_each(|runner| runner.publish_entry());
    }

    /// Sends three requests for models to running gateways; some may fail.
    async fn request_models(&mut self) {
        let requests = (0..3).map(|_| {
            self.sent_requests += 1;
            let id = format!("m{}", self.sent_requests);
            let gateway = self.running[self.random.random_range(0..self.running.len())];
            let model = MODELS[self.random.random_range(0..MODELS.len())];
            (id, gateway, model)
        });
        let requests: Vec<_> = requests.collect();
        let world = &self.world;
        let answers = requests.iter().map(|(id, gateway, model)| {
            world.request_with_deadline(*gateway, "/stream/x", id, Some(model), STEP)
        });
        join_all(answers).await;
    }

    /// Ends all faults, starts all gateways, has all entries written again, and waits until
    /// all changes must be in force.
    async fn end_faults(&mut self, fenced: bool) {
        self.world.network.heal();
        self.world.store.set_down(false);
        for number in 1..=GATEWAYS {
            if !self.running.contains(&number) {
                self.start_gateway(number, fenced).await;
            }
        }
        self.rewrite_all();
        self.world.run_for(CHANGE_BOUND).await;
    }

    /// Whether a client that retries each second gets an answer from `model` within `time`.
    async fn is_served_within(&mut self, time: Duration, model: &str) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.sent_requests += 1;
            let id = format!("l{}", self.sent_requests);
            let answer = self.world.request(1, "/stream/x", &id, Some(model)).await;
            if answer.code() == 200 {
                return true;
            }
            self.world.run_for(SECOND).await;
        }
        false
    }

    /// Returns a description of each violation: routes that are not served, and requests sent
    /// to draining runners. To be called after [`Self::end_faults`].
    async fn violations(&mut self) -> Vec<String> {
        let mut violations = Vec::new();
        let drained_counts = |run: &Self| -> Vec<u64> {
            let count = |id: &String| run.world.runners[id].request_count();
            run.drained.iter().map(count).collect()
        };
        let before = drained_counts(self);
        for number in 1..=GATEWAYS {
            for added in 0..=self.added_routes {
                let path = match added {
                    0 => "/plain/x".to_owned(),
                    added => format!("/added-{added}/x"),
                };
                self.sent_requests += 1;
                let id = format!("r{}", self.sent_requests);
                let code = self.world.request(number, &path, &id, None).await.code();
                if code != 200 {
                    violations.push(format!("gateway {number}, {path}: {code}"));
                }
            }
        }
        if before != drained_counts(self) {
            violations.push(format!(
                "{before:?}, then {:?} requests at draining runners",
                drained_counts(self)
            ));
        }
        violations
    }

    /// Returns two consecutive orders of different holders to a runner, less than
    /// [`LEASE_DURATION`] apart; `None` if there are none. Runners that check no fencing
    /// tokens must not get such orders.
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

/// Plays the random run of a seed; even seeds enforce fencing.
async fn run(seed: u64) {
    let fenced = seed.is_multiple_of(2);
    let mut run = Run::new(seed, fenced).await;
    for round in 0..ROUNDS {
        for _ in 0..STEPS {
            run.change(fenced).await;
            run.request_models().await;
            run.world.run_for(STEP / 10).await;
        }
        run.end_faults(fenced).await;
        let violations = run.violations().await;
        assert!(
            violations.is_empty(),
            "seed {seed}, round {round}: {violations:?}"
        );
        let orders_sharing_a_token = run.world.orders_sharing_a_token();
        assert_eq!(orders_sharing_a_token, None, "seed {seed}, round {round}");
        let orders_too_close = run.orders_too_close().filter(|_| !fenced);
        assert_eq!(orders_too_close, None, "seed {seed}, round {round}");
    }
    let served = run.is_served_within(LOADED_WITHIN, "e").await;
    assert!(served, "seed {seed}: a model is not loaded");
}

#[tokio::test(start_paused = true)]
async fn all_changes_are_in_force_after_random_restores_and_faults() {
    for seed in 0..SEEDS {
        run(seed).await;
    }
}
