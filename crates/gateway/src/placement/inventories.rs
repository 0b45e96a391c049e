//! What the leader tells other nodes of runners' models.

use barleyspar_catalog::OrderAction;
use barleyspar_dispatch::{Inventory, Loading};
use barleyspar_loading::RunnerView;
use tokio::time::Instant;

/// Bytes of the inventories in one message, so that it fits into one packet of
/// an ordinary network (1,500 bytes) with its heads.
const MESSAGE_BYTES: usize = 1200;
/// Bytes of an inventory beside its names: numbers and the lengths of its parts.
const FIXED_BYTES: usize = 16;
/// Bytes of a name beside its letters.
const NAME_BYTES: usize = 2;

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
        loading: loading(view),
    }
}

/// The load that was ordered, with the time that it is expected to take still.
fn loading(view: &RunnerView) -> Option<Loading> {
    let Some(OrderAction::LoadModel { model }) = &view.ordered else {
        return None;
    };
    let left = view
        .busy_until?
        .saturating_duration_since(Instant::now().into_std());
    Some(Loading {
        model: model.clone(),
        ready_in_ms: left.as_millis() as u32,
    })
}

/// Parts of `inventories`, each for one message of bounded length.
pub fn parts(inventories: Vec<Inventory>) -> Vec<Vec<Inventory>> {
    let mut parts = Vec::new();
    let mut part: Vec<Inventory> = Vec::new();
    let mut bytes = 0;
    for inventory in inventories {
        let size = size(&inventory);
        if bytes + size > MESSAGE_BYTES && !part.is_empty() {
            parts.push(std::mem::take(&mut part));
            bytes = 0;
        }
        bytes += size;
        part.push(inventory);
    }
    if !part.is_empty() {
        parts.push(part);
    }
    parts
}

/// Bytes of an inventory in a message, about.
fn size(inventory: &Inventory) -> usize {
    let name = |name: &str| name.len() + NAME_BYTES;
    let models = inventory.models.iter().map(|held| {
        let adapters: usize = held.adapters.iter().map(|adapter| name(adapter)).sum();
        name(&held.model) + adapters + FIXED_BYTES
    });
    let unloading = inventory.unloading.iter().map(|model| name(model));
    let loading = inventory.loading.as_ref();
    let loading = loading.map_or(0, |loading| name(&loading.model) + FIXED_BYTES);
    let named = name(&inventory.runner) + loading;
    FIXED_BYTES + named + models.sum::<usize>() + unloading.sum::<usize>()
}

#[cfg(test)]
#[path = "inventories_tests.rs"]
mod tests;
