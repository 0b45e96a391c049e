//! The inventories of runners that the leader sends to the other nodes.

use barleyspar_catalog::OrderAction;
use barleyspar_dispatch::{Inventory, Loading};
use barleyspar_loading::RunnerView;
use tokio::time::Instant;

/// Maximum bytes of inventories in one message: with its headers, the message fits in
/// one packet of an ordinary network (1,500 bytes).
const MAX_MESSAGE_BYTES: usize = 1200;
/// Estimated bytes of an inventory without its names: numbers and list lengths.
const FIXED_BYTES: usize = 16;
/// Estimated bytes of a name's length prefix.
const NAME_BYTES: usize = 2;

/// Returns a runner's inventory for other nodes: its replicas, and the models being
/// loaded or unloaded.
pub fn inventory(view: &RunnerView) -> Inventory {
    let (unloading, replicas): (Vec<_>, Vec<_>) = view
        .models
        .iter()
        .cloned()
        .partition(|replica| view.is_unloading(&replica.model));
    Inventory {
        runner: view.id.clone(),
        sequence: view.sequence,
        models: replicas,
        unloading: unloading.into_iter().map(|replica| replica.model).collect(),
        loading: loading(view),
    }
}

/// Returns the model that the runner is loading by order, with the expected remaining
/// time; `None` if it is loading none or the time is unknown.
fn loading(view: &RunnerView) -> Option<Loading> {
    let Some(OrderAction::LoadModel { model }) = &view.order_in_progress else {
        return None;
    };
    let remaining = view
        .busy_until?
        .saturating_duration_since(Instant::now().into_std());
    Some(Loading {
        model: model.clone(),
        ready_in_ms: remaining.as_millis() as u32,
    })
}

/// Splits `inventories` into messages of at most about [`MAX_MESSAGE_BYTES`]; a larger
/// inventory gets its own message.
pub fn split_into_messages(inventories: Vec<Inventory>) -> Vec<Vec<Inventory>> {
    let mut messages = Vec::new();
    let mut message: Vec<Inventory> = Vec::new();
    let mut bytes = 0;
    for inventory in inventories {
        let size = estimated_bytes(&inventory);
        if bytes + size > MAX_MESSAGE_BYTES && !message.is_empty() {
            messages.push(std::mem::take(&mut message));
            bytes = 0;
        }
        bytes += size;
        message.push(inventory);
    }
    if !message.is_empty() {
        messages.push(message);
    }
    messages
}

fn estimated_bytes(inventory: &Inventory) -> usize {
    let name_bytes = |name: &str| name.len() + NAME_BYTES;
    let models = inventory.models.iter().map(|replica| {
        let adapters: usize = replica
            .adapters
            .iter()
            .map(|adapter| name_bytes(adapter))
            .sum();
        name_bytes(&replica.model) + adapters + FIXED_BYTES
    });
    let unloading = inventory.unloading.iter().map(|model| name_bytes(model));
    let loading = inventory.loading.as_ref();
    let loading = loading.map_or(0, |loading| name_bytes(&loading.model) + FIXED_BYTES);
    let names_bytes = name_bytes(&inventory.runner) + loading;
    FIXED_BYTES + names_bytes + models.sum::<usize>() + unloading.sum::<usize>()
}

#[cfg(test)]
#[path = "inventories_tests.rs"]
mod tests;
