//! Finds the models on rate-limited runners that need a replica on another runner, and which
//! such runners have calls to spare for further models.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::demand::ModelDemand;
use crate::view::RunnerView;

/// Fraction of a runner's rate limit available to callers' requests; the rest is kept for
/// the calls that load its adapters.
const CALLERS_FRACTION: f64 = 0.8;

/// Calls per second for the orders and reports of the loads at a runner that takes further
/// models: two calls in the four seconds of a load.
const LOAD_CALL_RATE: f64 = 0.5;

/// Sets, for each rate-limited runner of `service`, `spare_rate` to the calls that the limit
/// leaves and `over_limit` to the models whose demand exceeds the limit. Models that an unlimited runner holds too are not counted,
/// because their requests go there. Of the others, the limit is spent on the models with
/// the lowest demand first, so that few models have to be loaded elsewhere.
pub fn mark_over_limit(
    service: &str,
    demand: &BTreeMap<Arc<str>, ModelDemand>,
    runners: &mut [RunnerView],
) {
    for index in 0..runners.len() {
        let runner = &runners[index];
        if *runner.service != *service {
            continue;
        }
        let Some(limit) = runner.rate_limit else {
            continue;
        };
        let rate = |model: &str| demand.get(model).map_or(0.0, |demand| demand.rate);
        let mut only_here: Vec<(f64, Arc<str>)> = runner
            .models
            .iter()
            .filter(|held| !is_held_by_unlimited_runner(service, runners, &held.model))
            .map(|held| (rate(&held.model), held.model.clone()))
            .collect();
        only_here.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        let total_rate: f64 = only_here.iter().map(|(rate, _)| rate).sum();
        let mut remaining = limit * CALLERS_FRACTION;
        let spare_rate = remaining - total_rate - LOAD_CALL_RATE;
        let exceeds = |(rate, _): &(f64, Arc<str>)| {
            remaining -= rate;
            remaining < 0.0
        };
        let over_limit = only_here
            .into_iter()
            .filter(exceeds)
            .map(|(_, model)| model);
        runners[index].over_limit = over_limit.collect();
        runners[index].spare_rate = spare_rate;
    }
}

/// Returns whether a reachable runner without a rate limit holds `model`.
fn is_held_by_unlimited_runner(service: &str, runners: &[RunnerView], model: &str) -> bool {
    runners.iter().any(|runner| {
        *runner.service == *service
            && runner.rate_limit.is_none()
            && runner.reachable
            && runner.accepts_requests()
            && runner.loaded_model(model).is_some()
    })
}
