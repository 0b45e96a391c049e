//! Which of the runners that could take a request gets it.

use std::time::Instant;

use crate::query::Query;
use crate::runner::RunnerEntry;

/// Cost of going to another zone, in units of a full runner.
const OTHER_ZONE_COST: f64 = 0.05;
/// Cost of leaving the runner that keeps the prompt's shared parts.
const OTHER_CACHE_COST: f64 = 0.12;
/// Cost of a runner that always fails, beyond the best one's failures.
const FAILURE_COST: f64 = 4.0;
/// Cost of taking twice as long as the fastest.
const SLOWNESS_COST: f64 = 0.15;
/// Largest ratio of response times that counts.
const LARGEST_SLOWNESS: f64 = 8.0;
/// Cost of a runner whose streams are twice as slow as the best one's, for
/// each thousand tokens of the prompt: reading a long prompt there holds up all
/// its streams.
const SLOW_STREAM_COST: f64 = 0.8;
/// Cost for each thousand tokens of prompts that the runner has yet to read.
const UNREAD_COST: f64 = 0.08;
/// Cost of a runner that is still slow from its start.
const WARMING_COST: f64 = 0.3;

/// Requests in flight by which the choice is blurred among many nodes: what each
/// knows of the others is as old for all, and all would choose the same runner.
const BLUR_REQUESTS: f64 = 2.0;
/// Nodes from which on the choice is blurred whole.
const BLURRED_NODES: f64 = 24.0;

/// What the choice depends on besides the runners and the request.
#[derive(Debug, Clone, Copy)]
pub struct Chooser<'a> {
    /// The node's zone.
    pub zone: &'a str,
    /// Nodes that choose among the same runners.
    pub nodes: usize,
    /// A number that differs with each choice and node.
    pub seed: u64,
    /// Now.
    pub now: Instant,
}

impl Chooser<'_> {
    /// Requests to add to those in flight at the runner, 0 to
    /// [`BLUR_REQUESTS`].
    fn blur(&self, entry: &RunnerEntry) -> f64 {
        let strength = (self.nodes.saturating_sub(1) as f64 / BLURRED_NODES).min(1.0);
        let random = barleyspar_domain::rank(&self.seed, &*entry.runner.id) as f64;
        BLUR_REQUESTS * strength * random / u64::MAX as f64
    }
}

/// The cheapest of `candidates` for `query`, as an index.
pub fn cheapest(candidates: &[&RunnerEntry], query: &Query, chooser: Chooser<'_>) -> Option<usize> {
    let now = chooser.now;
    let best_failure = candidates
        .iter()
        .map(|entry| entry.health().failure_rate(now))
        .fold(f64::INFINITY, f64::min);
    let best_response = candidates
        .iter()
        .filter_map(|entry| entry.health().response_seconds())
        .fold(f64::INFINITY, f64::min);
    let gap = |entry: &RunnerEntry| {
        let wanted = query.wanted.as_ref()?;
        entry.usual_gap(&wanted.model)
    };
    let best_gap = candidates
        .iter()
        .filter_map(|entry| gap(entry))
        .fold(f64::INFINITY, f64::min);
    let thousands = query.prompt_tokens as f64 / 1000.0;
    let cached_at = query.affinity.and_then(|key| preferred(candidates, key));
    let cost = |index: usize| {
        let entry = candidates[index];
        let in_flight = f64::from(entry.total_in_flight()) + chooser.blur(entry);
        let mut cost = in_flight / f64::from(entry.runner.slots.max(1));
        cost += FAILURE_COST * (entry.health().failure_rate(now) - best_failure);
        cost += slowness(entry.health().response_seconds(), best_response);
        if let Some(gap) = gap(entry) {
            cost += SLOW_STREAM_COST * thousands * (gap / best_gap - 1.0).min(1.0);
        }
        cost += UNREAD_COST * entry.unread_tokens as f64 / 1000.0;
        if &*entry.runner.zone != chooser.zone {
            cost += OTHER_ZONE_COST;
        }
        if cached_at.is_some_and(|cached| cached != index) {
            cost += OTHER_CACHE_COST;
        }
        if entry.is_cold(now) {
            cost += WARMING_COST;
        }
        cost
    };
    (0..candidates.len()).min_by(|a, b| cost(*a).total_cmp(&cost(*b)))
}

fn slowness(response: Option<f64>, best: f64) -> f64 {
    match response {
        Some(response) if best > 0.0 && best.is_finite() => {
            SLOWNESS_COST * ((response / best).min(LARGEST_SLOWNESS) - 1.0)
        }
        _ => 0.0,
    }
}

/// The candidate that rendezvous hashing picks for `key`: the same at every node.
fn preferred(candidates: &[&RunnerEntry], key: u64) -> Option<usize> {
    (0..candidates.len())
        .max_by_key(|index| barleyspar_domain::rank(&key, &*candidates[*index].runner.id))
}
