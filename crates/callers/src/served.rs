//! Requests that a node has served successfully in the last minute, which are not suspected
//! of crashing runners.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::Fingerprint;

/// Maximum number of recorded answers, which take 64 KB.
const MAXIMUM_ENTRIES: usize = 1024;
/// Time after a successful answer for which a request is considered harmless. It is limited
/// because the request may crash the next version of a model.
const HARMLESS_FOR: Duration = Duration::from_secs(60);

/// The requests that this node has recently served successfully.
#[derive(Debug, Default)]
pub struct RecentlyServed {
    latest: HashMap<Fingerprint, Answer>,
    /// Request and number of each recorded answer, from the oldest to the newest.
    order: VecDeque<(Fingerprint, u64)>,
    /// Number of all answers added, including those that are not recorded any more.
    answers: u64,
}

/// The most recent answer to a request.
#[derive(Debug, Clone, Copy)]
struct Answer {
    /// Value of [`RecentlyServed::answers`] when the answer was added: it differs from
    /// the number in an older entry of [`RecentlyServed::order`] for the same request.
    number: u64,
    at: Instant,
}

impl RecentlyServed {
    /// Records that `request` was answered successfully at `now`.
    pub fn add(&mut self, request: Fingerprint, now: Instant) {
        self.answers += 1;
        let number = self.answers;
        self.latest.insert(request, Answer { number, at: now });
        self.order.push_back((request, number));
        if self.order.len() > MAXIMUM_ENTRIES
            && let Some((oldest, number)) = self.order.pop_front()
            && self
                .latest
                .get(&oldest)
                .is_some_and(|latest| latest.number == number)
        {
            self.latest.remove(&oldest);
        }
    }

    /// Returns whether `request` was answered successfully within `HARMLESS_FOR`.
    pub fn contains(&self, request: Fingerprint, now: Instant) -> bool {
        let latest = self.latest.get(&request);
        latest.is_some_and(|latest| now.saturating_duration_since(latest.at) < HARMLESS_FOR)
    }
}
