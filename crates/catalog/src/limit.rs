//! How many requests a runner takes, where it names a limit.

use serde::{Deserialize, Serialize};

/// Thousandths of a request in a request.
const PARTS: f64 = 1000.0;

/// Requests a second that a rate-limited runner takes from all nodes together, in
/// thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerLimit(u32);

impl RunnerLimit {
    /// A limit of `per_second` requests; `None` if that is no rate.
    pub fn new(per_second: f64) -> Option<Self> {
        let is_rate = per_second.is_finite() && per_second >= 0.0;
        // A float beyond the integer's range becomes its largest value.
        is_rate.then_some(Self((per_second * PARTS) as u32))
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / PARTS
    }
}
