//! What replicas of a model are worth, in one currency: weighted requests that
//! they serve, or serve sooner, while the present demand is thought to last.

use crate::demand::ModelDemand;

/// Seconds for which the present demand is thought to last.
const HORIZON: f64 = 5.0;
/// How much more a request counts than one of the next less urgent rank.
const RANK_RATIO: f64 = 1.5;
/// Part that replicas beyond those needed are worth.
const SPARE_PART: f64 = 0.1;
/// Part of a runner's slots that one model's requests may take before they wait
/// for each other: what nodes know of each other's requests is up to 0.75 s old,
/// so a runner is never filled to its last slot without some being turned away.
const USABLE_PART: f64 = 0.8;

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
    /// Part of the requests present for which one replica has slots.
    covered_by_one: f64,
}

impl ReplicaValue {
    /// The value for this demand, whose requests have this `weight` each and of
    /// which `starved` came while there was no replica, if the policy wants
    /// `needed` replicas and each runner has `slots`.
    pub fn new(demand: &ModelDemand, weight: f64, starved: f64, needed: usize, slots: u32) -> Self {
        let present = f64::from(demand.in_flight + demand.waiting).max(1.0);
        let coming = demand.rate * HORIZON + f64::from(demand.waiting);
        Self {
            first: weight * (coming + starved),
            spread: weight * coming,
            needed: needed.max(1),
            covered_by_one: USABLE_PART * f64::from(slots) / present,
        }
    }

    /// Worth of this many replicas. The first one serves; each further one
    /// shortens what requests wait for each other, and serves those for which
    /// the others have no slots.
    fn of(&self, replicas: usize) -> f64 {
        let share = |count: usize| 1.0 - 1.0 / count as f64;
        if replicas == 0 {
            return 0.0;
        }
        let useful = share(replicas.min(self.needed));
        let spare = share(replicas) - useful;
        let covered = |count: f64| (count * self.covered_by_one).min(1.0);
        let beyond_the_first = covered(replicas as f64) - covered(1.0);
        self.first + self.spread * (useful + SPARE_PART * spare + beyond_the_first)
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
