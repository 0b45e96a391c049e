//! What the leader tells other nodes of runners' models.

use barleyspar_dispatch::Inventory;
use barleyspar_loading::RunnerView;

use crate::messages::Message;

/// Runners in one message of what they hold.
const INVENTORIES_IN_MESSAGE: usize = 6;

/// What a runner holds, for other nodes.
pub fn inventory(view: &RunnerView) -> Inventory {
    let (unloading, held): (Vec<_>, Vec<_>) = view
        .models
        .iter()
        .cloned()
        .partition(|held| view.unloads(&held.model));
    Inventory {
        runner: view.id.clone(),
        sequence: view.sequence,
        models: held,
        unloading: unloading.into_iter().map(|held| held.model).collect(),
    }
}

/// Messages of bounded length that tell `inventories`.
pub fn messages(mut inventories: Vec<Inventory>) -> impl Iterator<Item = Message> {
    std::iter::from_fn(move || {
        let rest = inventories.split_off(inventories.len().min(INVENTORIES_IN_MESSAGE));
        let part = std::mem::replace(&mut inventories, rest);
        (!part.is_empty()).then_some(Message::Held(part))
    })
}
