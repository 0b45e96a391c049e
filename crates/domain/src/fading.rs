//! How much of something seen still counts.

use std::time::Duration;

/// The part, 0 to 1, that is left of something `age` ago whose weight halves in
/// each `half_life`.
pub fn part_left(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
