//! What replicas of a model are worth, in one currency: weighted requests that
//! they serve, or serve sooner, while the present demand is thought to last.

use crate::demand::ModelDemand;

/// Seconds for which the present demand is thought to last.
const HORIZON: f64 = 5.0;
/// How much more a request counts than one of the next less urgent rank.
const RANK_RATIO: f64 = 1.5;
/// Part that replicas beyond those needed are worth.
const SPARE_PART: f64 = 0.1;

/// Weight of a request of this rank; 0 is the most urgent.
pub fn rank_weight(rank: u8) -> f64 {
    RANK_RATIO.powi(-i32::from(rank))
}

/// What replicas of one model are worth.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplicaValue {
    first: f64,
    spread: f64,
    needed: usize,
}

impl ReplicaValue {
    /// The value for this demand, whose requests have this `weight` each and of
    /// which `starved` came while there was no replica, if the policy wants
    /// `needed` replicas.
    pub fn new(demand: &ModelDemand, weight: f64, starved: f64, needed: usize) -> Self {
        let coming = demand.rate * HORIZON + f64::from(demand.waiting);
        Self {
            first: weight * (coming + starved),
            spread: weight * coming,
            needed: needed.max(1),
        }
    }

    /// Worth of this many replicas. The first one serves; each further one
    /// shortens what requests wait for each other.
    fn of(&self, replicas: usize) -> f64 {
        let share = |count: usize| 1.0 - 1.0 / count as f64;
        if replicas == 0 {
            return 0.0;
        }
        let useful = share(replicas.min(self.needed));
        let spare = share(replicas) - useful;
        self.first + self.spread * (useful + SPARE_PART * spare)
    }

    /// What one more than `replicas` adds.
    pub fn gain(&self, replicas: usize) -> f64 {
        self.of(replicas + 1) - self.of(replicas)
    }

    /// What one less than `replicas` costs.
    pub fn loss(&self, replicas: usize) -> f64 {
        self.of(replicas) - self.of(replicas.saturating_sub(1))
    }
}

#[cfg(test)]
#[path = "value_tests.rs"]
mod tests;
