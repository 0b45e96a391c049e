//! The ledger of a runner's accelerator memory.
//!
//! What a runner's report names is counted until a later report no longer
//! names it, so an unload frees nothing before the runner confirms it.

use barleyspar_catalog::{EngineSpec, OrderAction};

use crate::view::RunnerView;

/// Part of the memory left free, for rounding.
const SPARE_MB: f64 = 1.0;

/// Megabytes that weights and adapters take or are about to take.
pub fn used_mb(runner: &RunnerView, engine: &EngineSpec) -> f64 {
    let weights = |name: &str| engine.models.get(name).map_or(0.0, |spec| spec.weights_mb);
    let adapter = |name: &str| engine.models.get(name).map_or(0.0, |spec| spec.adapter_mb);
    let held: f64 = runner
        .models
        .iter()
        .map(|held| weights(&held.model) + held.adapters.len() as f64 * adapter(&held.model))
        .sum();
    let pending: f64 = runner
        .pending_adapters
        .iter()
        .map(|(model, _)| adapter(model))
        .sum();
    let ordered = match &runner.ordered {
        Some(OrderAction::LoadModel { model }) if runner.held(model).is_none() => weights(model),
        _ => 0.0,
    };
    held + pending + ordered
}

/// Megabytes that are free.
pub fn free_mb(runner: &RunnerView, engine: &EngineSpec) -> f64 {
    engine.memory_mb - used_mb(runner, engine) - SPARE_MB
}

/// Adapters held or on their way.
pub fn adapters(runner: &RunnerView) -> usize {
    let held: usize = runner.models.iter().map(|held| held.adapters.len()).sum();
    held + runner.pending_adapters.len()
}
