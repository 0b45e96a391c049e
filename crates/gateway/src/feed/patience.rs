//! How long the feed waits for the store's answer, and when it stops asking
//! for changes.

use std::time::Duration;

/// Time for the answer to a poll, beyond the poll itself.
const SHORTEST_POLL: Duration = Duration::from_millis(600);
const LONGEST_POLL: Duration = Duration::from_millis(2400);
/// Time for one page of a range. When all nodes start at once, the store's
/// link is busy for seconds.
const SHORTEST_PAGE: Duration = Duration::from_millis(1000);
const LONGEST_PAGE: Duration = Duration::from_secs(10);
/// Polls without an answer after which the present state is read: it stays the
/// same size while the changes since a revision only grow.
const POLLS_UNTIL_RANGE: u32 = 2;

/// Grows with each answer that does not come in time, until one does.
#[derive(Debug, Default)]
pub struct Patience {
    late_polls: u32,
    late_pages: u32,
}

impl Patience {
    /// Time for the answer to a poll.
    pub fn poll(&self) -> Duration {
        doubled(SHORTEST_POLL, self.late_polls).min(LONGEST_POLL)
    }

    /// Time for one page of a range.
    pub fn page(&self) -> Duration {
        doubled(SHORTEST_PAGE, self.late_pages).min(LONGEST_PAGE)
    }

    /// A poll got no answer in time. Whether to read the present state instead.
    pub fn poll_was_late(&mut self) -> bool {
        self.late_polls += 1;
        self.late_polls >= POLLS_UNTIL_RANGE
    }

    /// A page did not come in time.
    pub fn page_was_late(&mut self) {
        self.late_pages += 1;
    }

    /// The store answered.
    pub fn answered(&mut self) {
        *self = Self::default();
    }
}

fn doubled(shortest: Duration, times: u32) -> Duration {
    const MOST_DOUBLINGS: u32 = 8;
    shortest * 2_u32.pow(times.min(MOST_DOUBLINGS))
}
