//! Random runs: what the configuration lists for the engines changes while callers ask for
//! models, gateways die and start, and runners leave orders unanswered.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_catalog::RequestKind;
use barleyspar_standin::{Answer, World, engine_service, names, one_second_model, route};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinHandle;

const SECOND: Duration = Duration::from_secs(1);
const SEEDS: u64 = 40;
const GATEWAYS: u8 = 3;
const ENGINES: u8 = 3;
/// Number of steps of a run; one thing changes in each.
const STEPS: usize = 30;
const STEP: Duration = Duration::from_millis(900);
const MODELS: [&str; 7] = ["a", "b", "c", "d", "e", "f", "g"];
const ADAPTERS: [&str; 3] = ["a1", "a2", "a3"];
/// Sizes of models in megabytes; an engine has 100.
const SIZES_MB: [f64; 5] = [12.0, 24.0, 32.0, 45.0, 60.0];
/// Sizes of adapters in megabytes.
const ADAPTER_SIZES_MB: [f64; 3] = [1.0, 3.0, 9.0];

struct Run {
    world: World,
    random: StdRng,
    requests: Vec<JoinHandle<Answer>>,
}

impl Run {
    async fn new(seed: u64) -> Self {
        let mut world = World::new(
            vec![engine_service("engine", &MODELS)],
            vec![route("/stream/", "engine", RequestKind::Streaming)],
        );
        for number in 0..ENGINES {
            let first = 2 * usize::from(number);
            let held = [MODELS[first], MODELS[first + 1]];
            world.start_runner(&format!("engine-{number}"), "engine", &held);
        }
        world.start_gateways(1..=GATEWAYS).await;
        world.run_for(2 * SECOND).await;
        Self {
            world,
            random: StdRng::seed_from_u64(seed),
            requests: Vec::new(),
        }
    }

    fn draw<T: Copy>(&mut self, from: &[T]) -> T {
        from[self.random.random_range(0..from.len())]
    }

    /// Lists a random model anew, or no longer.
    fn change_models(&mut self) {
        let model = self.draw(&MODELS);
        let (weights_mb, adapter_mb) = (self.draw(&SIZES_MB), self.draw(&ADAPTER_SIZES_MB));
        let is_listed = self.random.random_bool(0.6);
        self.world.configure(|configuration| {
            let service = configuration.services.get_mut("engine");
            let service = Arc::make_mut(service.expect("the service exists"));
            let engine = service.engine.as_mut().expect("the service has an engine");
            engine.models.remove(model);
            if is_listed {
                let mut spec = one_second_model();
                (spec.weights_mb, spec.adapter_mb) = (weights_mb, adapter_mb);
                engine.models.insert(model.into(), spec);
            }
        });
    }

    /// Kills a random gateway, or all of them, and starts them again.
    async fn restart_gateways(&mut self) {
        let is_for_all = self.random.random_bool(0.4);
        let only = self.random.random_range(1..=GATEWAYS);
        let killed: Vec<u8> = (1..=GATEWAYS)
            .filter(|number| is_for_all || *number == only)
            .collect();
        for number in &killed {
            self.world.kill_gateway(*number);
        }
        self.world.run_for(STEP).await;
        for number in killed {
            self.world.start_gateway(number).await;
        }
    }

    fn lose_order_answers(&mut self) {
        let number = self.random.random_range(0..ENGINES);
        self.world.runners[&format!("engine-{number}")].lose_order_answers(1);
    }

    fn ask(&mut self, step: usize) {
        for number in 0..3 {
            let (model, adapter) = (self.draw(&MODELS), self.draw(&ADAPTERS));
            let gateway = self.random.random_range(1..=GATEWAYS);
            let id = format!("{step}-{number}");
            let headers = self
                .random
                .random_bool(0.3)
                .then_some((names::ADAPTER, adapter));
            let request = self.world.spawn_request_with_headers(
                (gateway, "/stream/x", Some(model)),
                &id,
                headers.into_iter().collect(),
            );
            self.requests.push(request);
        }
    }

    async fn play(&mut self) {
        for step in 0..STEPS {
            match self.random.random_range(0..8) {
                0..=3 => self.change_models(),
                4 => self.restart_gateways().await,
                5 => self.lose_order_answers(),
                _ => {}
            }
            self.ask(step);
            self.world.run_for(STEP).await;
        }
        self.requests.iter().for_each(JoinHandle::abort);
    }

    /// Checks that each listed model is served once nothing changes any more.
    async fn assert_listed_models_are_served(&mut self, seed: u64) {
        self.world.run_for(20 * SECOND).await;
        let service = &self.world.configuration().services["engine"];
        let engine = service.engine.as_ref().expect("the service has an engine");
        let listed: Vec<Arc<str>> = engine.models.keys().cloned().collect();
        for model in listed {
            let id = format!("last-{model}");
            let answer = self.world.request(1, "/stream/x", &id, Some(&model)).await;
            let is_whole = answer.code() == 200 && answer.complete;
            assert!(is_whole, "seed {seed}: {model} got {}", answer.code());
        }
    }
}

#[tokio::test(start_paused = true)]
async fn no_course_of_listed_sizes_makes_a_leader_order_more_than_a_runner_holds() {
    for seed in 0..SEEDS {
        let mut run = Run::new(seed).await;
        run.play().await;
        for (id, runner) in &run.world.runners {
            assert!(!runner.overcommitted(), "seed {seed}: {id}");
        }
        run.assert_listed_models_are_served(seed).await;
        for (id, runner) in &run.world.runners {
            assert!(!runner.overcommitted(), "seed {seed}: {id} at the end");
        }
    }
}
