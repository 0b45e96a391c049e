//! Observes which log position each ready node obeys.

use std::sync::{Arc, Mutex};

use super::lock;
use crate::history::Event;
use crate::sim::world::World;

/// Observes all nodes once.
pub fn observe(world: &Arc<Mutex<World>>) {
    let world = lock(world);
    for (number, node) in world.running() {
        let view = node.log.view();
        if view.current && world.nodes[number].accepts {
            world.history.record(Event::Obeys {
                node: world.nodes[number].name.to_string(),
                position: view.state.position(),
            });
        }
    }
}
