//! Which runners may get a request at all.

use std::time::Instant;

use barleyspar_catalog::{EngineSpec, RunnerState};

use crate::query::Query;
use crate::runner::RunnerEntry;

/// Requests beyond its slots that a plain runner is given.
const PLAIN_QUEUE: u32 = 2;
/// Part of a runner's cache that requests in flight may want together.
const CACHE_PART: f64 = 0.9;

/// Whether the runner takes requests for what is wanted.
pub fn can_serve(
    entry: &RunnerEntry,
    query: &Query,
    engine: Option<&EngineSpec>,
    now: Instant,
) -> bool {
    debug_assert_eq!(entry.runner.state, RunnerState::Available);
    match (engine, &query.wanted) {
        (Some(_), Some(wanted)) => entry.takes(wanted, now),
        _ => true,
    }
}

/// Whether the runner has a slot and cache for the request.
pub fn has_room(entry: &RunnerEntry, query: &Query, engine: Option<&EngineSpec>) -> bool {
    let slots = entry.runner.slots.max(1);
    match engine {
        Some(engine) => {
            let cache = engine.cache_tokens as f64 * CACHE_PART;
            let fits = entry.tokens == 0 || (entry.tokens + query.tokens) as f64 <= cache;
            entry.total_in_flight() < slots && fits
        }
        None => entry.total_in_flight() < slots + PLAIN_QUEUE,
    }
}
