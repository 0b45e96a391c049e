//! Selects one runner among those that could take a request, by a cost for each.

use std::time::Instant;

use barleyspar_prefill::RunnerEstimates;

use crate::first_event_forecast::FirstEventForecast;
use crate::query::Query;
use crate::runner::RunnerEntry;

/// Cost of a runner in another zone. The unit of all costs here is the load of a runner
/// with all slots in use.
const OTHER_ZONE_COST: f64 = 0.05;
/// Cost of a runner other than the one that is likely to have the shared prefix of the
/// prompt in its cache.
const OTHER_CACHE_COST: f64 = 0.12;
/// Cost of a runner with a failure rate of 1, above the lowest failure rate among the
/// candidates.
const FAILURE_COST: f64 = 4.0;
/// Cost of a runner that takes twice as long to respond as the fastest candidate.
const SLOW_RESPONSE_COST: f64 = 0.15;
/// Maximum ratio of a runner's response time to the fastest candidate's that counts towards
/// its cost: a still slower runner costs no more.
const MAX_RESPONSE_RATIO: f64 = 8.0;
/// Cost of a runner whose streams are twice as slow as the best candidate's, for each
/// thousand tokens of the prompt: reading a long prompt there delays all its streams.
const SLOW_STREAM_COST: f64 = 0.8;
/// Cost of a runner whose streams are twice as slow as the best candidate's, if it is known
/// how fast the candidates read prompts.
const SLOW_DECODE_COST: f64 = 0.1;
/// Cost of each thousand prompt tokens that the runner has yet to read.
const UNREAD_COST: f64 = 0.08;
/// Cost of a runner that is cold: it has just started and still responds slowly.
const COLD_COST: f64 = 0.3;

/// Largest number of requests in flight by which a runner's load is jittered among many
/// nodes. All nodes have an equally stale view of each other's load, and would all choose
/// the same runner without jitter.
const JITTER_REQUESTS: f64 = 2.0;
/// Minimum number of other nodes at which the jitter reaches [`JITTER_REQUESTS`]; with fewer,
/// it is proportionally smaller.
const FULL_JITTER_NODES: f64 = 24.0;

/// What the selection depends on besides the runners and the request.
#[derive(Debug, Clone, Copy)]
pub struct SelectionContext<'a> {
    /// Zone of this node; runners in other zones cost `OTHER_ZONE_COST` more.
    pub zone: &'a str,
    /// What is known of the time that runners take for prompts.
    pub estimates: &'a RunnerEstimates,
    /// Number of nodes that select among the same runners.
    pub nodes: usize,
    /// Seed of the jitter; differs with each selection and node.
    pub seed: u64,
    /// Time of the selection, to which failure rates and cold times of runners refer.
    pub now: Instant,
}

impl SelectionContext<'_> {
    /// Returns the jitter of this runner: a random number from 0 to 1, smaller if few nodes
    /// select among the same runners.
    pub fn jitter(&self, entry: &RunnerEntry) -> f64 {
        let strength = (self.nodes.saturating_sub(1) as f64 / FULL_JITTER_NODES).min(1.0);
        let random = barleyspar_domain::rendezvous_weight(&self.seed, &*entry.runner.id) as f64;
        strength * (random / u64::MAX as f64)
    }

    /// Returns the jitter of this runner's load: 0 to [`JITTER_REQUESTS`] requests to add
    /// to those in flight.
    fn load_jitter(&self, entry: &RunnerEntry) -> f64 {
        JITTER_REQUESTS * self.jitter(entry)
    }
}

/// Returns the index of the cheapest of `candidates` for `query`; `None` if there are
/// none.
pub fn cheapest_candidate(
    candidates: &[&RunnerEntry],
    query: &Query,
    context: SelectionContext<'_>,
) -> Option<usize> {
    let now = context.now;
    let lowest_failure_rate = candidates
        .iter()
        .map(|entry| entry.health().failure_rate(now))
        .fold(f64::INFINITY, f64::min);
    let fastest_response = candidates
        .iter()
        .filter_map(|entry| entry.health().response_seconds())
        .fold(f64::INFINITY, f64::min);
    let event_gap = |entry: &RunnerEntry| {
        let wanted = query.wanted.as_ref()?;
        entry.usual_event_gap(&wanted.model)
    };
    let shortest_gap = candidates
        .iter()
        .filter_map(|entry| event_gap(entry))
        .fold(f64::INFINITY, f64::min);
    let prompt_kilotokens = query.prompt_tokens as f64 / 1000.0;
    let cached_index = query
        .prefix_key
        .and_then(|key| likely_cached_at(candidates, key));
    let forecast = FirstEventForecast::new(candidates, query, context);
    let cost = |index: usize| {
        let entry = candidates[index];
        let in_flight = f64::from(entry.total_in_flight()) + context.load_jitter(entry);
        let mut cost = in_flight / f64::from(entry.runner.slots.get().max(1));
        cost += FAILURE_COST * (entry.health().failure_rate(now) - lowest_failure_rate);
        let gap_excess = event_gap(entry).map(|gap| (gap / shortest_gap - 1.0).min(1.0));
        if let Some(forecast) = &forecast {
            cost += forecast.cost(entry);
            cost += SLOW_DECODE_COST * gap_excess.unwrap_or(0.0);
        } else {
            cost += slow_response_cost(entry.health().response_seconds(), fastest_response);
            if let Some(gap_excess) = gap_excess {
                cost += SLOW_STREAM_COST * prompt_kilotokens * gap_excess;
            }
            cost += UNREAD_COST * entry.unread.tokens() as f64 / 1000.0;
        }
        if &*entry.runner.zone != context.zone {
            cost += OTHER_ZONE_COST;
        }
        if cached_index.is_some_and(|cached| cached != index) {
            cost += OTHER_CACHE_COST;
        }
        if entry.is_cold(now) {
            cost += COLD_COST;
        }
        cost
    };
    (0..candidates.len()).min_by(|a, b| cost(*a).total_cmp(&cost(*b)))
}

fn slow_response_cost(response: Option<f64>, fastest: f64) -> f64 {
    match response {
        Some(response) if fastest > 0.0 && fastest.is_finite() => {
            SLOW_RESPONSE_COST * ((response / fastest).min(MAX_RESPONSE_RATIO) - 1.0)
        }
        _ => 0.0,
    }
}

/// Returns the index of the candidate that rendezvous hashing selects for `key`. All nodes
/// with the same candidates select the same one, so its cache most likely holds the prefix.
fn likely_cached_at(candidates: &[&RunnerEntry], key: u64) -> Option<usize> {
    (0..candidates.len()).max_by_key(|index| {
        barleyspar_domain::rendezvous_weight(&key, &*candidates[*index].runner.id)
    })
}
