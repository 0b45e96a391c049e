//! When the feed calls the store again, and how long each call may take.
//!
//! A call that a silent store took is lost: it must not be waited for once the
//! store serves again. A call to a slow store must not be given up just before
//! its answer. So while no answer comes, a further call is sent each period, and
//! calls differ in how long they may take: of eight, four may take one period,
//! two take two, one takes four and one eight. A store that is back is asked
//! within one period, however long it was away; one that needs up to eight
//! periods for an answer still gives one; at most four calls are open at once.

use std::time::Duration;

/// Most doublings of the time that a call may take.
const MOST_DOUBLINGS: u32 = 3;
/// Pause after a call that was refused, doubled with each further one.
const SHORTEST_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause of a node that knows nothing yet, and serves nobody.
const LONGEST_FIRST_PAUSE: Duration = Duration::from_millis(300);

/// Calls since the store's last answer.
#[derive(Debug)]
pub struct Patience {
    period: Duration,
    calls: u32,
    refusals: u32,
}

impl Patience {
    /// A call each `period` while no answer comes.
    pub fn new(period: Duration) -> Self {
        Self {
            period,
            calls: 0,
            refusals: 0,
        }
    }

    /// Time between calls while no answer comes.
    pub fn period(&self) -> Duration {
        self.period
    }

    /// A call is sent now: the time that its answer may take.
    pub fn next_call(&mut self) -> Duration {
        self.calls = self.calls.wrapping_add(1);
        self.period * 2_u32.pow(self.calls.trailing_zeros().min(MOST_DOUBLINGS))
    }

    /// A call was refused: the pause before the next one.
    pub fn refused(&mut self, knows_anything: bool) -> Duration {
        let longest = if knows_anything {
            self.period
        } else {
            LONGEST_FIRST_PAUSE
        };
        let pause = SHORTEST_RETRY_PAUSE.saturating_mul(2_u32.saturating_pow(self.refusals));
        self.refusals = self.refusals.saturating_add(1);
        pause.min(longest)
    }

    /// The store answered, or a peer made this node's knowledge current: nothing
    /// of the silence before lengthens the next one.
    pub fn start_anew(&mut self) {
        self.calls = 0;
        self.refusals = 0;
    }
}

#[cfg(test)]
#[path = "patience_tests.rs"]
mod tests;
