//! The request rate limit that a runner advertises in its answers.

use serde::{Deserialize, Serialize};

/// Factor from requests per second to the unit in which [`RunnerLimit`] stores them.
const THOUSANDTHS: f64 = 1000.0;

/// Rate limit of a runner for all nodes together, in thousandths of a request per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerLimit(u32);

impl RunnerLimit {
    /// Returns a limit of `per_second` requests per second; `None` if that is negative or
    /// not finite. A rate beyond the type's range becomes its largest value.
    pub fn new(per_second: f64) -> Option<Self> {
        let is_rate = per_second.is_finite() && per_second >= 0.0;
        // The conversion saturates: a float beyond the integer's range becomes its maximum.
        is_rate.then_some(Self((per_second * THOUSANDTHS) as u32))
    }

    /// Returns the limit in requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / THOUSANDTHS
    }
}
