//! Counts the requests of models that have no reachable replica.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::demand::ModelDemand;
use crate::view::RunnerView;

/// Unserved requests that a waiting request adds to the count of its model for each
/// second that it waits.
const WAITING_WEIGHT_PER_SECOND: f64 = 1.0;

/// Unserved requests of each model that has no reachable replica: one for each request at
/// its arrival, and one more for each second that a request waits, so that the value of a
/// load grows with the wait.
#[derive(Debug, Default)]
pub struct UnservedRequests {
    by_model: BTreeMap<Arc<str>, f64>,
}

impl UnservedRequests {
    /// Returns the counts of the models that have any.
    pub fn by_model(&self) -> &BTreeMap<Arc<str>, f64> {
        &self.by_model
    }

    /// Adds the requests that arrived within the last `elapsed` time, and
    /// [`WAITING_WEIGHT_PER_SECOND`] for each second of it that a request waited. Drops the
    /// count of each model in `held`, which has a reachable replica.
    pub fn count(
        &mut self,
        demand: &BTreeMap<Arc<str>, ModelDemand>,
        held: &HashSet<&str>,
        elapsed: Duration,
    ) {
        self.by_model.retain(|model, _| !held.contains(&**model));
        for (model, demand) in demand {
            let has_demand = demand.rate > 0.0 || demand.waiting > 0;
            if has_demand && !held.contains(&**model) {
                let unserved = self.by_model.entry(model.clone()).or_default();
                let per_second =
                    demand.rate + WAITING_WEIGHT_PER_SECOND * f64::from(demand.waiting);
                *unserved += per_second * elapsed.as_secs_f64();
            }
        }
    }
}

/// Returns the models that reachable runners of `service` hold.
pub fn reachable_models<'a>(service: &str, runners: &'a [RunnerView]) -> HashSet<&'a str> {
    runners
        .iter()
        .filter(|runner| {
            *runner.service == *service && runner.accepts_requests() && runner.reachable
        })
        .flat_map(|runner| &runner.models)
        .map(|loaded| &*loaded.model)
        .collect()
}
