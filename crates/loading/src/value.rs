//! Computes the value of replicas of a model, in weighted requests that they serve, or
//! serve sooner, within `HORIZON_SECONDS` of the present demand.

use crate::demand::ModelDemand;
use crate::reading::reading_coverage;

/// Time in seconds for which the present demand is assumed to last.
const HORIZON_SECONDS: f64 = 5.0;
/// Ratio between the weight of a request and that of one with the next lower priority.
const PRIORITY_RATIO: f64 = 1.5;
/// Fraction of their value that replicas beyond the needed number keep.
const SURPLUS_FRACTION: f64 = 0.1;
/// Fraction of a runner's slots that the requests of one model may fill before they wait
/// for each other. A node's view of other nodes' requests is up to 0.75 s stale, so
/// filling a runner to its last slot would cause rejections.
const USABLE_SLOT_FRACTION: f64 = 0.8;

/// Returns the weight of a request of this priority; 0 is the most urgent and has weight
/// 1.
pub fn priority_weight(priority: u8) -> f64 {
    PRIORITY_RATIO.powi(-i32::from(priority))
}

/// Value of the replicas of one model at a given demand, as a function of their number.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplicaValue {
    first_replica: f64,
    further_replicas: f64,
    needed: usize,
    /// Fraction of the present requests for which one replica has slots and can read the
    /// prompts.
    coverage_per_replica: f64,
}

impl ReplicaValue {
    /// Creates the value function for `demand`, whose requests have `weight` each.
    /// `unserved` requests arrived while there was no replica, `needed` is the number of
    /// replicas that the policy demands now, and each runner has `slots`.
    pub fn new(
        demand: &ModelDemand,
        weight: f64,
        unserved: f64,
        needed: usize,
        slots: u32,
    ) -> Self {
        let present = f64::from(demand.in_flight + demand.waiting).max(1.0);
        let slot_coverage = USABLE_SLOT_FRACTION * f64::from(slots) / present;
        let expected = demand.rate * HORIZON_SECONDS + f64::from(demand.waiting);
        Self {
            first_replica: weight * (expected + unserved),
            further_replicas: weight * expected,
            needed: needed.max(1),
            coverage_per_replica: slot_coverage,
        }
    }

    /// Limits the requests that one replica serves by its time to read their prompts, if
    /// all of the model's prompts keep `reading` runners busy; 0 sets no limit.
    pub fn limited_by_reading(self, reading: f64) -> Self {
        let coverage_per_replica = self.coverage_per_replica.min(reading_coverage(reading));
        Self {
            coverage_per_replica,
            ..self
        }
    }

    /// Returns the value of `replicas` replicas. The first one serves all requests; each
    /// further one shortens the time for which requests wait for each other, and serves
    /// requests for which the others have no slots or no time to read the prompts.
    fn total(&self, replicas: usize) -> f64 {
        let waiting_saved = |count: usize| 1.0 - 1.0 / count as f64;
        if replicas == 0 {
            return 0.0;
        }
        let within_need = waiting_saved(replicas.min(self.needed));
        let surplus = waiting_saved(replicas) - within_need;
        let covered = |count: f64| (count * self.coverage_per_replica).min(1.0);
        let added_coverage = covered(replicas as f64) - covered(1.0);
        self.first_replica
            + self.further_replicas * (within_need + SURPLUS_FRACTION * surplus + added_coverage)
    }

    /// Returns the value gained by adding one replica to `replicas`.
    pub fn gain(&self, replicas: usize) -> f64 {
        self.total(replicas + 1) - self.total(replicas)
    }

    /// Returns the value lost by removing one of `replicas` replicas.
    pub fn loss(&self, replicas: usize) -> f64 {
        self.total(replicas) - self.total(replicas.saturating_sub(1))
    }
}

#[cfg(test)]
#[path = "value_tests.rs"]
mod tests;
