//! The schedule of the feed's calls to the store: when the next one is sent and which
//! timeout it has.
//!
//! A call that an unresponsive store received is lost, and waiting for it would delay
//! the node once the store is back. A call to a slow store must not be dropped just
//! before its answer. So while no answer comes, a further call is sent each period, and
//! the timeouts differ: of eight calls, four have a timeout of one period, two of two,
//! one of four and one of eight. A store that is back is called within one period,
//! however long it was away; a store that needs up to eight periods for an answer is
//! still read; at most four calls are open at once. The second call follows the first one
//! sooner, so that one lost answer does not take most of the bound.

use std::time::Duration;

/// Maximum number of doublings of a call's timeout.
const MAX_DOUBLINGS: u32 = 3;
/// Pause after the first refused call; doubled with each further refusal.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Maximum pause after a refusal for a node whose copy is still empty and which cannot
/// serve callers yet.
const MAX_FIRST_PAUSE: Duration = Duration::from_millis(300);

/// Timeouts and pauses of the calls since the store's last answer.
#[derive(Debug)]
pub struct CallSchedule {
    period: Duration,
    first_pause: Duration,
    calls: u32,
    refusals: u32,
}

impl CallSchedule {
    /// Creates a schedule with a call each `period` while no answer comes, but only
    /// `first_pause` between the first two.
    pub fn new(period: Duration, first_pause: Duration) -> Self {
        Self {
            period,
            first_pause,
            calls: 0,
            refusals: 0,
        }
    }

    /// Time between calls while no answer comes.
    pub fn period(&self) -> Duration {
        self.period
    }

    /// Counts a call that is sent now, and returns its timeout.
    pub fn next_timeout(&mut self) -> Duration {
        self.calls = self.calls.wrapping_add(1);
        self.period * 2_u32.pow(self.calls.trailing_zeros().min(MAX_DOUBLINGS))
    }

    /// Returns the pause after the call that was counted last.
    pub fn pause_after_call(&self) -> Duration {
        if self.calls > 1 {
            self.period
        } else {
            self.first_pause
        }
    }

    /// Counts a refused call, and returns the pause before the next one. `has_data`
    /// tells whether the node's copy has been filled.
    pub fn pause_after_refusal(&mut self, has_data: bool) -> Duration {
        let max_pause = if has_data {
            self.period
        } else {
            MAX_FIRST_PAUSE
        };
        let pause = MIN_RETRY_PAUSE.saturating_mul(2_u32.saturating_pow(self.refusals));
        self.refusals = self.refusals.saturating_add(1);
        pause.min(max_pause)
    }

    /// Resets the schedule after an answer of the store, or once a peer made the copy
    /// current, so that earlier failures do not lengthen later timeouts and pauses.
    pub fn reset(&mut self) {
        self.calls = 0;
        self.refusals = 0;
    }
}

#[cfg(test)]
#[path = "call_schedule_tests.rs"]
mod tests;
