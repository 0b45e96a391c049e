//! What a replica is worth, so that the one worth least makes room.

use std::time::Duration;

use crate::demand::ModelDemand;

/// A replica that is never dropped.
pub const NEVER: f64 = f64::INFINITY;
/// Worth of a request in flight.
const IN_FLIGHT_WORTH: f64 = 3.0;
/// Worth of a request a second.
const RATE_WORTH: f64 = 10.0;
/// Worth of having been used a moment ago; halves with each half-life.
const RECENT_WORTH: f64 = 2.0;
const RECENT_HALF_LIFE: Duration = Duration::from_secs(10);
/// Worth of being the last replica.
const LAST_REPLICA_WORTH: f64 = 1.0;

/// Worth of one of `replicas` replicas of a model.
pub fn worth(demand: &ModelDemand, replicas: usize, needed: usize, idle: Option<Duration>) -> f64 {
    let last = replicas <= 1;
    if last && demand.is_active() {
        return NEVER;
    }
    let spare = replicas > needed.max(1);
    let share = replicas.max(1) as f64;
    let load = IN_FLIGHT_WORTH * f64::from(demand.in_flight) + RATE_WORTH * demand.rate;
    let recent = idle.map_or(0.0, |idle| {
        let half_lives = idle.as_secs_f64() / RECENT_HALF_LIFE.as_secs_f64();
        RECENT_WORTH * 0.5_f64.powf(half_lives)
    });
    let kept = load / share + recent;
    if spare {
        return kept / 10.0;
    }
    kept + if last { LAST_REPLICA_WORTH } else { 0.0 }
}
