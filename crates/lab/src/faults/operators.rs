//! Operators that change policies, race one another and wait for their changes.

use std::sync::{Arc, Mutex};

use barleyspar_control_log::{Change, Proposal};
use barleyspar_domain::{ModelName, ModelSpec, ObjectSpec, PolicyName, PolicySpec};
use barleyspar_node::Node;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::lock;
use crate::history::Event;
use crate::sim::world::World;
use crate::site::Site;

/// Chance of a change at each step of 100 ms.
const CHANGE_CHANCE: f64 = 0.02;
/// Chance that a second operator changes the same thing at the same time.
const RACE_CHANCE: f64 = 0.4;
/// Models whose number of replicas changes.
const CHANGED_MODELS: usize = 4;
const MOST_REPLICAS: u32 = 4;
/// Chance that a model gets no replicas at all.
const NONE_CHANCE: f64 = 0.05;

/// The operators.
pub struct Operators {
    world: Arc<Mutex<World>>,
    models: Vec<ModelName>,
    random: ChaCha8Rng,
}

impl Operators {
    /// Operators of the most popular models.
    pub fn new(world: Arc<Mutex<World>>, site: &Site, seed: u64) -> Self {
        let count = CHANGED_MODELS.min(site.models.count);
        Self {
            world,
            models: (0..count).map(|rank| site.model_name(rank)).collect(),
            random: ChaCha8Rng::seed_from_u64(seed ^ 0x6f70_6572),
        }
    }

    /// Perhaps begins a change.
    pub fn act(&mut self) {
        if !self.random.random_bool(CHANGE_CHANCE) {
            return;
        }
        let Some(model) = self.models.choose(&mut self.random).cloned() else {
            return;
        };
        self.change(model.clone());
        if self.random.random_bool(RACE_CHANCE) {
            self.change(model);
        }
    }

    fn change(&mut self, model: ModelName) {
        let none = self.random.random_bool(NONE_CHANCE);
        let replicas = match none {
            true => 0,
            false => self.random.random_range(1..=MOST_REPLICAS),
        };
        let nodes: Vec<Node> = {
            let world = lock(&self.world);
            world.running().map(|(_, node)| node.clone()).collect()
        };
        let Some(node) = nodes.choose(&mut self.random).cloned() else {
            return;
        };
        let world = Arc::clone(&self.world);
        tokio::spawn(async move { apply(&world, &node, &model, replicas).await });
    }
}

/// Gives `model` a policy of its own with `replicas`, and waits for its spread.
async fn apply(world: &Arc<Mutex<World>>, node: &Node, model: &ModelName, replicas: u32) {
    if !node.is_ready() {
        return;
    }
    let read_at = node.log.state().position();
    let appended = node
        .log
        .append(
            "operator racer".to_owned(),
            proposal(model, replicas, read_at),
        )
        .await;
    let Ok(appended) = appended else { return };
    let position = appended.position;
    lock(world).history.record(Event::Accepted { position });
    if node.log.spread(position).await.is_complete() {
        lock(world).history.record(Event::ToldInForce { position });
    }
}

fn proposal(model: &ModelName, replicas: u32, read_at: u64) -> Proposal {
    let model = model.clone();
    Box::new(move |state| {
        let Some(spec) = state.model(&model) else {
            return Ok(Vec::new());
        };
        let name = format!("policy-of-{model}");
        let policy = PolicyName::try_from(name)
            .unwrap_or_else(|_| unreachable!("model names make policy names"));
        let changed = ModelSpec {
            policy: policy.clone(),
            ..spec.clone()
        };
        let program = format!("fn decide(context) {{ #{{ replicas: {replicas} }} }}");
        let changes = vec![
            Change::PutObject(ObjectSpec::Policy(PolicySpec {
                name: policy,
                program,
            })),
            Change::PutObject(ObjectSpec::Model(changed)),
        ];
        state.check(&changes, Some(read_at))?;
        Ok(changes)
    })
}
