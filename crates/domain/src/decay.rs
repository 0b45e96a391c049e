//! Exponential decay of observations by age.

use std::time::Duration;

/// Returns the remaining weight, from 0 to 1, of an observation that is `age` old and
/// loses half of its weight in each `half_life`.
pub fn decay_factor(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
