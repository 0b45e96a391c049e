//! Whether a single runner can serve a request, and has room for it.

use std::time::Instant;

use barleyspar_catalog::{EngineSpec, RunnerState};

use crate::query::Query;
use crate::runner::RunnerEntry;

/// Requests that a runner of a plain service gets beyond its slots.
const PLAIN_EXTRA_REQUESTS: u32 = 2;
/// Fraction of a runner's cache that this node's requests in flight there may need
/// together.
const USABLE_CACHE_FRACTION: f64 = 0.9;

/// Whether the runner accepts requests for the model that `query` wants. Always true for
/// a service without an engine. The caller passes available runners only.
pub fn accepts_model(
    entry: &RunnerEntry,
    query: &Query,
    engine: Option<&EngineSpec>,
    now: Instant,
) -> bool {
    debug_assert_eq!(entry.runner.state, RunnerState::Available);
    match (engine, &query.wanted) {
        (Some(_), Some(wanted)) => entry.accepts(wanted, now),
        _ => true,
    }
}

/// Whether the runner has a free slot, and enough cache, for the request. A request of
/// any size fits the cache of a runner without other requests of this node.
pub fn has_room(entry: &RunnerEntry, query: &Query, engine: Option<&EngineSpec>) -> bool {
    let slots = entry.runner.slots.get().max(1);
    match engine {
        Some(engine) => {
            let cache = engine.cache_tokens as f64 * USABLE_CACHE_FRACTION;
            let fits = entry.reserved_tokens == 0
                || entry.reserved_tokens.saturating_add(query.cache_tokens) as f64 <= cache;
            entry.total_in_flight() < slots && fits
        }
        None => entry.total_in_flight() < slots + PLAIN_EXTRA_REQUESTS,
    }
}
