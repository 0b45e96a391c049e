//! Rate-limited runners: which of their models are to stand elsewhere, too.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::demand::ModelDemand;
use crate::view::RunnerView;

/// Part of a runner's limit that is left to callers: the rest is for the calls by which
/// its adapters are loaded.
const CALLERS_PART: f64 = 0.8;

/// Notes for each runner of `service` that names a limit which of its models are asked
/// for more than it takes. What others hold, too, goes there; of the rest it keeps what
/// its limit suffices for, the models that are asked for least first, so that few have
/// to be loaded elsewhere.
pub fn mark_overtaxed(
    service: &str,
    demand: &BTreeMap<Arc<str>, ModelDemand>,
    runners: &mut [RunnerView],
) {
    for index in 0..runners.len() {
        let runner = &runners[index];
        if *runner.service != *service {
            continue;
        }
        let Some(limit) = runner.limit else {
            continue;
        };
        let rate = |model: &str| demand.get(model).map_or(0.0, |demand| demand.rate);
        let mut alone: Vec<(f64, Arc<str>)> = runner
            .models
            .iter()
            .filter(|held| !stands_elsewhere(service, runners, &held.model))
            .map(|held| (rate(&held.model), held.model.clone()))
            .collect();
        alone.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        let mut left = limit * CALLERS_PART;
        let exceeds = |(rate, _): &(f64, Arc<str>)| {
            left -= rate;
            left < 0.0
        };
        let overtaxed = alone.into_iter().filter(exceeds).map(|(_, model)| model);
        runners[index].overtaxed = overtaxed.collect();
    }
}

/// Whether a runner that names no limit holds `model`.
fn stands_elsewhere(service: &str, runners: &[RunnerView], model: &str) -> bool {
    runners.iter().any(|runner| {
        *runner.service == *service
            && runner.limit.is_none()
            && runner.reachable
            && runner.takes_work()
            && runner.held(model).is_some()
    })
}
