//! A budget for retries: over all requests, retries stay a fraction of first
//! attempts, so that failing back ends are not met by a multiple of the load.

/// Hundredths of a retry that one retry costs.
const RETRY_COST: u64 = 100;
/// Most retries that can be saved up.
const MAXIMUM_SAVED: u64 = 50 * RETRY_COST;

/// The budget.
#[derive(Debug)]
pub struct RetryBudget {
    percentage: u64,
    saved: u64,
}

impl RetryBudget {
    /// A budget of `percentage` retries per 100 first attempts, full at the start.
    pub fn new(percentage: u32) -> Self {
        Self {
            percentage: u64::from(percentage),
            saved: MAXIMUM_SAVED,
        }
    }

    /// Notes a first attempt.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + self.percentage).min(MAXIMUM_SAVED);
    }

    /// Takes one retry. Returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        if self.saved < RETRY_COST {
            return false;
        }
        self.saved -= RETRY_COST;
        true
    }
}
