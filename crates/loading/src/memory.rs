//! Accounting of a runner's accelerator memory.
//!
//! Everything that a runner's report lists is counted until a later report omits it, so
//! the unload of a model frees no memory before the runner confirms it. An adapter is
//! unloaded at once when the order is accepted, and the runner takes no other order
//! before. What is held counts with the size under which it may have been loaded, not with
//! the one that the configuration lists now.

use std::sync::Arc;

use barleyspar_catalog::{EngineSpec, OrderAction};

use crate::model_sizes::KnownSizes;
use crate::view::RunnerView;

/// Megabytes left free to absorb rounding errors.
const RESERVED_MB: f64 = 1.0;

/// Returns the megabytes taken by weights and adapters that are loaded or being loaded;
/// `None` if the size of any of them is not known.
pub fn used_mb(runner: &RunnerView, sizes: &KnownSizes) -> Option<f64> {
    let weights = |model: &str| sizes.weights_mb(runner, model);
    let adapter = |model: &str| sizes.adapter_mb(runner, model);
    let mut used = 0.0;
    for held in &runner.models {
        used += weights(&held.model)?;
        if !held.adapters.is_empty() {
            used += held.adapters.len() as f64 * adapter(&held.model)?;
        }
    }
    for (model, _) in &runner.pending_adapters {
        used += adapter(model)?;
    }
    used += match &runner.order_in_progress {
        Some(OrderAction::LoadModel { model }) if runner.loaded_model(model).is_none() => {
            weights(model)?
        }
        Some(OrderAction::LoadAdapter { model, .. }) => adapter(model)?,
        Some(OrderAction::UnloadAdapter { model, .. }) => -adapter(model)?,
        _ => 0.0,
    };
    Some(used)
}

/// Returns the megabytes that a new load may take: negative if more is held than there is room
/// for, and without end if the size of what is held is not known.
pub fn free_mb(runner: &RunnerView, engine: &EngineSpec, sizes: &KnownSizes) -> f64 {
    let used = used_mb(runner, sizes).unwrap_or(f64::INFINITY);
    runner.capacity(engine).memory_mb - used - RESERVED_MB
}

/// Returns the megabytes that the adapters loaded on the runner take; those of unknown size
/// count as nothing.
pub fn loaded_adapters_mb(runner: &RunnerView, sizes: &KnownSizes) -> f64 {
    let of_model = |model: &str| sizes.adapter_mb(runner, model).unwrap_or(0.0);
    let loaded = runner.models.iter();
    loaded
        .map(|held| held.adapters.len() as f64 * of_model(&held.model))
        .sum()
}

/// Returns a model on the runner whose size is not known; `None` if all are known.
pub fn model_of_unknown_size(runner: &RunnerView, sizes: &KnownSizes) -> Option<Arc<str>> {
    let mut held = runner.models.iter().map(|held| &held.model);
    held.find(|model| sizes.weights_mb(runner, model).is_none())
        .cloned()
}

/// Returns the number of adapters that are loaded or being loaded, with the order in
/// progress carried out.
pub fn adapter_count(runner: &RunnerView) -> usize {
    let held: usize = runner.models.iter().map(|held| held.adapters.len()).sum();
    let count = held + runner.pending_adapters.len();
    match &runner.order_in_progress {
        Some(OrderAction::LoadAdapter { .. }) => count + 1,
        Some(OrderAction::UnloadAdapter { .. }) => count.saturating_sub(1),
        _ => count,
    }
}
